//! Number of concurrent statements that a member takes well.

use std::time::Duration;

use coriander_core::MonotonicTime;

/// Limit of a member without samples. A home instance that takes over from another starts here, as
/// the successor does not know what its predecessor had learned.
const START_LIMIT: f64 = 4.0;

/// Maximum limit of one instance for one member.
const MAX_LIMIT: f64 = 64.0;

/// Minimum limit: one statement at a time is needed to learn of a recovery.
const MIN_LIMIT: f64 = 1.0;

/// Latency, relative to the usual one, up to which the limit grows.
const TOLERANCE: f64 = 2.0;

/// Factor of the limit after a rejection.
const REJECTION_FACTOR: f64 = 0.7;

/// Minimum time between two reductions. Rejections of statements sent together arrive together and
/// count once.
const REDUCTION_INTERVAL: Duration = Duration::from_millis(100);

/// Weight of the newest gradient.
const GRADIENT_WEIGHT: f64 = 0.2;

/// Concurrency limit of one member, learned by one instance: a gradient of the latency with
/// multiplicative decrease after rejections and failures.
///
/// ```
/// use coriander_capacity::ConcurrencyLimit;
/// use coriander_core::MonotonicTime;
///
/// let mut limit = ConcurrencyLimit::default();
/// let before = limit.limit();
/// limit.record_rejection(4, MonotonicTime::from_millis(1_000));
/// assert!(limit.limit() < before);
/// ```
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    reduced_at: MonotonicTime,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        Self {
            limit: START_LIMIT,
            reduced_at: MonotonicTime::ZERO,
        }
    }
}

impl ConcurrencyLimit {
    /// Records a served statement: its latency relative to the usual one, and the number of
    /// statements in flight at its end, including itself.
    pub fn record_served(&mut self, ratio: f64, in_flight: u32) {
        let gradient = (TOLERANCE / ratio.max(0.01)).clamp(0.5, 1.0);
        let is_used = f64::from(in_flight) * 2.0 >= self.limit;
        if gradient >= 1.0 {
            // A limit that is not reached proves nothing about a higher one.
            if is_used {
                self.limit += 1.0 / self.limit.max(1.0);
            } else if self.limit < START_LIMIT {
                self.limit += GRADIENT_WEIGHT;
            }
        } else {
            self.limit *= 1.0 - GRADIENT_WEIGHT * (1.0 - gradient);
        }
        self.limit = self.limit.clamp(MIN_LIMIT, MAX_LIMIT);
    }

    /// Records a rejection or a failure with `in_flight` statements in flight, including this one.
    pub fn record_rejection(&mut self, in_flight: u32, now: MonotonicTime) {
        if now.since(self.reduced_at) < REDUCTION_INTERVAL {
            return;
        }
        self.reduced_at = now;
        let reached = self.limit.min(f64::from(in_flight.max(1)).max(2.0));
        self.limit = (reached * REJECTION_FACTOR).max(MIN_LIMIT);
    }

    /// Returns the limit.
    pub const fn limit(&self) -> f64 {
        self.limit
    }
}
