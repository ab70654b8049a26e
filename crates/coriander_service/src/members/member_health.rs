//! Tracks replies and failures of a member to decide whether it may be tried.

use std::time::Duration;

use coriander_core::MonotonicTime;

/// Backoff after the first failure; doubled after each further one.
const MIN_RETRY_BACKOFF: Duration = Duration::from_millis(100);

/// Maximum backoff between two attempts at a failing member.
const MAX_RETRY_BACKOFF: Duration = Duration::from_millis(800);

/// Replies and failures of one member.
///
/// ```
/// use coriander_core::MonotonicTime;
/// use coriander_service::MemberHealth;
///
/// let mut health = MemberHealth::default();
/// health.record_failure(MonotonicTime::from_millis(1_000));
/// assert!(!health.is_usable(MonotonicTime::from_millis(1_050)));
/// assert!(health.is_usable(MonotonicTime::from_millis(1_101)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct MemberHealth {
    last_success: MonotonicTime,
    /// Time of the first failure after the last reply.
    failing_since: Option<MonotonicTime>,
    failures: u32,
    retry_at: MonotonicTime,
}

impl MemberHealth {
    /// Records a reply, successful or not.
    pub fn record_success(&mut self, now: MonotonicTime) {
        self.last_success = now;
        self.failing_since = None;
        self.failures = 0;
        self.retry_at = MonotonicTime::ZERO;
    }

    /// Records a connection that was refused, reset or not accepted in time.
    pub fn record_failure(&mut self, now: MonotonicTime) {
        self.failing_since.get_or_insert(now);
        let backoff = MIN_RETRY_BACKOFF * 2u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.retry_at = now + backoff.min(MAX_RETRY_BACKOFF);
    }

    /// Returns the time of the last reply.
    pub const fn last_success(&self) -> MonotonicTime {
        self.last_success
    }

    /// Returns whether the member may be tried.
    pub fn is_usable(&self, now: MonotonicTime) -> bool {
        now >= self.retry_at
    }

    /// Returns the time since the first failure after the last reply; `None` if there is none.
    pub fn failing_for(&self, now: MonotonicTime) -> Option<Duration> {
        self.failing_since.map(|since| now.since(since))
    }

    /// Returns the number of failures since the last reply.
    pub const fn failures(&self) -> u32 {
        self.failures
    }
}
