//! Follows the rate at which an answer is read.

use std::time::Duration;

use coriander_core::MonotonicTime;

use crate::byte_budget::MIN_BYTES_PER_SEC;

/// Time by which a reader may be behind the minimum rate. Longer than the grace of the budget,
/// because the answer is closed although memory may be free.
const WRITE_GRACE: Duration = Duration::from_secs(10);

/// Progress of one answer. A client that reads a byte now and then would otherwise keep its session
/// and its open transaction without bound.
///
/// ```
/// use std::time::Duration;
/// use coriander_core::MonotonicTime;
/// use coriander_memory::WritePace;
///
/// let pace = WritePace::new(MonotonicTime::ZERO);
/// assert_eq!(pace.time_left(MonotonicTime::from_millis(4_000)), Duration::from_secs(6));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct WritePace {
    /// Time until which the written bytes last at the minimum rate.
    covered_until: MonotonicTime,
}

impl WritePace {
    /// Starts an answer.
    pub const fn new(now: MonotonicTime) -> Self {
        Self { covered_until: now }
    }

    /// Records that bytes were read.
    pub fn record(&mut self, bytes: usize, now: MonotonicTime) {
        let duration = Duration::from_secs_f64(bytes as f64 / MIN_BYTES_PER_SEC);
        self.covered_until = (self.covered_until + duration).min(now);
    }

    /// Returns the time until the answer has to be closed if nothing more is read.
    pub fn time_left(&self, now: MonotonicTime) -> Duration {
        WRITE_GRACE.saturating_sub(now.since(self.covered_until))
    }
}
