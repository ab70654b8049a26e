//! Round-trip time and backoff of a grant client towards one owner.

use std::time::Duration;

use coriander_core::MonotonicTime;

/// Reply timeout before the first measured round trip, and its bounds afterwards.
const INITIAL_TIMEOUT: Duration = Duration::from_millis(60);
const MIN_TIMEOUT: Duration = Duration::from_millis(20);
const MAX_TIMEOUT: Duration = Duration::from_millis(400);

/// Time without requests to an owner after its first failed request; doubled with each further
/// failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
const MAX_BACKOFF: Duration = Duration::from_secs(4);

#[derive(Clone, Debug)]
pub(crate) struct OwnerLink {
    round_trip: Option<Duration>,
    backoff: Duration,
    unavailable_until: MonotonicTime,
}

impl Default for OwnerLink {
    fn default() -> Self {
        Self {
            round_trip: None,
            backoff: INITIAL_BACKOFF,
            unavailable_until: MonotonicTime::ZERO,
        }
    }
}

impl OwnerLink {
    pub fn timeout(&self) -> Duration {
        self.round_trip.map_or(INITIAL_TIMEOUT, |time| {
            (time * 4).clamp(MIN_TIMEOUT, MAX_TIMEOUT)
        })
    }

    pub fn record_reply(&mut self, round_trip: Duration) {
        let mean = self.round_trip.unwrap_or(round_trip);
        self.round_trip = Some((mean * 7 + round_trip) / 8);
        self.backoff = INITIAL_BACKOFF;
        self.unavailable_until = MonotonicTime::ZERO;
    }

    pub fn record_failure(&mut self, now: MonotonicTime) {
        if now >= self.unavailable_until {
            self.unavailable_until = now + self.backoff;
            self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        }
    }

    pub fn available_at(&self) -> MonotonicTime {
        self.unavailable_until
    }
}
