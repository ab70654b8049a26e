//! Decides from outcomes whether a member may be tried.

use std::time::Duration;

use coriander_core::MonotonicTime;

/// Pause after the first failure.
const MIN_RETRY_BACKOFF: Duration = Duration::from_millis(100);

/// Longest pause between two trials of a failing member.
const MAX_RETRY_BACKOFF: Duration = Duration::from_millis(800);

/// Outcomes of one member.
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
    /// Start of the current series of failures.
    failing_since: Option<MonotonicTime>,
    failures: u32,
    retry_at: MonotonicTime,
}

impl MemberHealth {
    /// Notes an answer, whatever it says.
    pub fn record_success(&mut self, now: MonotonicTime) {
        self.last_success = now;
        self.failing_since = None;
        self.failures = 0;
        self.retry_at = MonotonicTime::ZERO;
    }

    /// Notes a connection that was refused, reset or not accepted in time.
    pub fn record_failure(&mut self, now: MonotonicTime) {
        self.failing_since.get_or_insert(now);
        let backoff = MIN_RETRY_BACKOFF * 2u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.retry_at = now + backoff.min(MAX_RETRY_BACKOFF);
    }

    /// Returns when the member answered last.
    pub const fn last_success(&self) -> MonotonicTime {
        self.last_success
    }

    /// Tells whether the member may be tried.
    pub fn is_usable(&self, now: MonotonicTime) -> bool {
        now >= self.retry_at
    }

    /// Returns how long the member has failed without an answer.
    pub fn failing_for(&self, now: MonotonicTime) -> Option<Duration> {
        self.failing_since.map(|since| now.since(since))
    }

    /// Returns the number of failures since the last answer.
    pub const fn failures(&self) -> u32 {
        self.failures
    }
}
