//! Times at which refused callers are asked to come back.

use std::time::Duration;

use coriander_core::MonotonicTime;

/// Minimum delay, so that a caller does not return before the state has changed.
const MIN_DELAY: Duration = Duration::from_millis(20);

/// Maximum delay. What will happen later is not known.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// Assigns each refused caller a time of its own, behind those already asked to come back.
///
/// ```
/// use std::time::Duration;
/// use coriander_core::MonotonicTime;
/// use coriander_queue::ReturnSchedule;
///
/// let mut schedule = ReturnSchedule::default();
/// let now = MonotonicTime::from_millis(1_000);
/// let wait = Duration::from_millis(100);
/// let interval = Duration::from_millis(5);
/// assert_eq!(schedule.next_delay(wait, interval, now), Duration::from_millis(100));
/// assert_eq!(schedule.next_delay(wait, interval, now), Duration::from_millis(105));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ReturnSchedule {
    last_return: MonotonicTime,
}

impl ReturnSchedule {
    /// Returns the delay for a refused caller. Room is expected after `wait`, and then for one more
    /// caller after each `interval`.
    pub fn next_delay(
        &mut self,
        wait: Duration,
        interval: Duration,
        now: MonotonicTime,
    ) -> Duration {
        let earliest = now + wait.max(MIN_DELAY);
        let next = earliest.max(self.last_return + interval);
        let delay = next.since(now).min(MAX_DELAY);
        self.last_return = now + delay;
        delay
    }
}
