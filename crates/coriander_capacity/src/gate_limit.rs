//! Number of statements that an instance lets through to a member at a time, learned by latency.

use std::collections::HashMap;
use std::time::Duration;

use coriander_core::MonotonicTime;

use crate::concurrency_limit::ConcurrencyLimit;
use crate::exchange_sample::{ExchangeSample, SampleOutcome, StatementClass};

/// Fraction of the shortest latency target of the callers that statements may take at a member. The
/// member runs them in any order, so that this is also what an urgent one waits there.
const TARGET_FRACTION: f64 = 0.25;

/// Latency relative to the lowest one of the class up to which statements do not wait in the member.
const LOWEST_FACTOR: f64 = 2.0;

/// Growth of the lowest latency per sample: 700 samples double it, so that a member that is slower
/// for good is found out. One faster sample undoes it, and there are some under overload, too.
const LOWEST_GROWTH: f64 = 1.001;

/// Weight of a sample below the lowest latency.
const LOWEST_WEIGHT: f64 = 0.3;

/// Minimum bound on the latency, for callers without a target and classes without a sample.
const MIN_BOUND_SECS: f64 = 0.01;

/// Multiple of the bound on the latency after which a statement counts as unanswered. A member that
/// slows down sixteen times is as good as lost.
const OVERDUE_FACTOR: f64 = 8.0;

/// Relative latency up to which [`ConcurrencyLimit`] grows.
const LIMIT_TOLERANCE: f64 = 2.0;

/// Limit of the statements at one member, such that they are not held up there. The queue ahead of
/// the member orders the others.
///
/// The usual latency of [`LatencyProfile`](crate::LatencyProfile) is no measure for it: it follows
/// a lasting overload within a second.
///
/// ```
/// use std::time::Duration;
/// use coriander_capacity::{ExchangeSample, GateLimit, SampleOutcome, StatementClass};
/// use coriander_core::MonotonicTime;
///
/// let mut limit = GateLimit::default();
/// limit.set_shortest_target(Duration::from_millis(150));
/// let class = StatementClass::new(1, false, false);
/// let mut record = |ms| {
///     let latency = Duration::from_millis(ms);
///     let sample = ExchangeSample { class, outcome: SampleOutcome::Served, latency };
///     limit.record(&sample, 4, MonotonicTime::from_millis(ms));
///     limit.limit()
/// };
/// let well = record(12);
/// let slow = record(90);
/// assert!(slow < well);
/// ```
#[derive(Clone, Debug, Default)]
pub struct GateLimit {
    limit: ConcurrencyLimit,
    shortest_target: Duration,
    /// Lowest latencies in seconds, by class.
    lowest: HashMap<StatementClass, f64>,
}

impl GateLimit {
    /// Sets the shortest latency target of the callers of the member's group.
    pub fn set_shortest_target(&mut self, target: Duration) {
        self.shortest_target = target;
    }

    /// Returns the limit.
    pub const fn limit(&self) -> f64 {
        self.limit.limit()
    }

    /// Records an exchange; `in_flight` are the statements that run or wait, with this one.
    pub fn record(&mut self, sample: &ExchangeSample, in_flight: u32, now: MonotonicTime) {
        let secs = sample.latency.as_secs_f64();
        match sample.outcome {
            SampleOutcome::Served => {
                let lowest = self.lowest.entry(sample.class).or_insert(secs);
                *lowest = if secs < *lowest {
                    *lowest + LOWEST_WEIGHT * (secs - *lowest)
                } else {
                    (*lowest * LOWEST_GROWTH).min(secs)
                };
                self.record_latency(sample.class, secs, in_flight);
            }
            // One that was given up within the bound says nothing, and it must not make the limit of
            // a silent member grow.
            SampleOutcome::Unanswered if secs <= self.bound_secs(sample.class) => {}
            SampleOutcome::Unanswered => self.record_latency(sample.class, secs, in_flight),
            SampleOutcome::Rejected => self.limit.record_rejection(in_flight, now),
            // A statement that fails says nothing about the room.
            SampleOutcome::Failed => {}
        }
    }

    fn record_latency(&mut self, class: StatementClass, secs: f64, in_flight: u32) {
        let ratio = LIMIT_TOLERANCE * secs / self.bound_secs(class);
        self.limit.record_served(ratio, in_flight);
    }

    /// Returns the time after which a statement is no longer expected to be answered, and leaves its
    /// place to another.
    pub fn overdue_time(&self, class: StatementClass) -> Duration {
        Duration::from_secs_f64(self.bound_secs(class) * OVERDUE_FACTOR)
    }

    /// Returns the latency of a class up to which the limit grows.
    fn bound_secs(&self, class: StatementClass) -> f64 {
        let lowest = self.lowest.get(&class).copied().unwrap_or(0.0);
        let by_target = self.shortest_target.as_secs_f64() * TARGET_FRACTION;
        by_target.max(lowest * LOWEST_FACTOR).max(MIN_BOUND_SECS)
    }
}
