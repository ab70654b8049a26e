//! The time of another instance, as far as it is known.

use std::cell::Cell;
use std::time::Duration;

use coriander_core::MonotonicTime;

/// Part of the passed time by which the other clock may have fallen behind: 200 ppm, as the clock of
/// each machine may be off by 100 ppm.
const DRIFT_DIVISOR: u32 = 5_000;

/// A lower bound of the time on the clock of another instance.
///
/// The other instance sends its time; the message takes a while to arrive, and both clocks go on at
/// almost the same rate. So its time is at least the one that it sent plus the time since the
/// arrival, less an allowance for a slower clock. Because of the allowance, newer times that arrive
/// replace older ones.
///
/// ```
/// use std::time::Duration;
/// use coriander_core::MonotonicTime;
/// use coriander_peer::PeerTime;
///
/// let time = PeerTime::new(Duration::from_secs(7), MonotonicTime::ZERO);
/// assert!(time.at(MonotonicTime::from_millis(1_000)) <= Duration::from_secs(8));
/// ```
#[derive(Debug)]
pub struct PeerTime {
    sent: Cell<Duration>,
    received_at: Cell<MonotonicTime>,
}

impl PeerTime {
    /// Creates the bound from a time that the other instance has sent.
    pub const fn new(sent: Duration, received_at: MonotonicTime) -> Self {
        Self {
            sent: Cell::new(sent),
            received_at: Cell::new(received_at),
        }
    }

    /// Records a further time that the other instance has sent.
    pub fn record(&self, sent: Duration, received_at: MonotonicTime) {
        if sent > self.at(received_at) {
            self.sent.set(sent);
            self.received_at.set(received_at);
        }
    }

    /// Returns the lower bound at a time of the own clock.
    pub fn at(&self, now: MonotonicTime) -> Duration {
        let passed = now.since(self.received_at.get());
        let drift = passed / DRIFT_DIVISOR;
        self.sent.get().saturating_add(passed - drift)
    }
}
