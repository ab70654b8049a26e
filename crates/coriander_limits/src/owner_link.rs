//! Delay and silence of one owner as seen by a holder.

use std::time::Duration;

use coriander_core::MonotonicTime;

/// Reply timeout before a delay has been measured, and its bounds afterwards.
const FIRST_TIMEOUT: Duration = Duration::from_millis(60);
const SHORTEST_TIMEOUT: Duration = Duration::from_millis(20);
const LONGEST_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which an owner is passed over after its first unanswered request; doubled with each
/// further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(250);
const LONGEST_BACKOFF: Duration = Duration::from_secs(4);

#[derive(Clone, Debug)]
pub(crate) struct OwnerLink {
    round_trip: Option<Duration>,
    backoff: Duration,
    passed_over_until: MonotonicTime,
}

impl Default for OwnerLink {
    fn default() -> Self {
        Self {
            round_trip: None,
            backoff: FIRST_BACKOFF,
            passed_over_until: MonotonicTime::ZERO,
        }
    }
}

impl OwnerLink {
    pub fn timeout(&self) -> Duration {
        self.round_trip.map_or(FIRST_TIMEOUT, |time| {
            (time * 4).clamp(SHORTEST_TIMEOUT, LONGEST_TIMEOUT)
        })
    }

    pub fn replied(&mut self, round_trip: Duration) {
        let mean = self.round_trip.unwrap_or(round_trip);
        self.round_trip = Some((mean * 7 + round_trip) / 8);
        self.backoff = FIRST_BACKOFF;
        self.passed_over_until = MonotonicTime::ZERO;
    }

    pub fn failed(&mut self, now: MonotonicTime) {
        if now >= self.passed_over_until {
            self.passed_over_until = now + self.backoff;
            self.backoff = (self.backoff * 2).min(LONGEST_BACKOFF);
        }
    }

    pub fn available_at(&self) -> MonotonicTime {
        self.passed_over_until
    }
}
