//! Limits the rate of platform calls and delays them after failures.

use std::time::Duration;

use coriander_core::MonotonicTime;

/// Limits of the platform calls of one instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PacerSettings {
    /// Sustained calls per second.
    pub rate: f64,
    /// Maximum number of calls at once.
    pub burst: f64,
    /// Delay after the first failure.
    pub base_delay: Duration,
    /// Maximum delay after repeated failures.
    ///
    /// With 2,100 instances and jittered delays between 1.5 s and 3 s, the platform receives about
    /// 930 calls/s during an outage, less than half of its limit of 2,000 reads/s.
    pub max_delay: Duration,
    /// Time after which a trial call without a result no longer blocks other calls.
    pub trial_timeout: Duration,
}

impl Default for PacerSettings {
    fn default() -> Self {
        Self {
            rate: 20.0,
            burst: 40.0,
            base_delay: Duration::from_millis(50),
            max_delay: Duration::from_secs(3),
            trial_timeout: Duration::from_secs(2),
        }
    }
}

/// Whether a call may be sent now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallPermit {
    /// The call may be sent; its result must be recorded.
    Send,
    /// The caller must wait for this time and then request the call again.
    Wait(Duration),
}

/// Decides when a platform call may be sent.
///
/// A token bucket limits the rate. After a failure only one trial call is admitted at a time, each
/// after a longer, jittered delay, until a call succeeds.
///
/// ```
/// use coriander_core::MonotonicTime;
/// use coriander_consul::{CallPacer, CallPermit, PacerSettings};
/// use std::time::Duration;
///
/// let mut pacer = CallPacer::new(PacerSettings::default());
/// let now = MonotonicTime::from_millis(10);
/// assert_eq!(pacer.request_call(now), CallPermit::Send);
/// pacer.record_failure(now, 1.0);
/// assert_eq!(pacer.request_call(now), CallPermit::Wait(Duration::from_millis(50)));
/// ```
#[derive(Clone, Debug)]
pub struct CallPacer {
    settings: PacerSettings,
    tokens: f64,
    refilled_at: MonotonicTime,
    failures: u32,
    blocked_until: MonotonicTime,
    trial_sent_at: Option<MonotonicTime>,
}

impl CallPacer {
    /// Creates a pacer with a full bucket.
    pub fn new(settings: PacerSettings) -> Self {
        Self {
            settings,
            tokens: settings.burst,
            refilled_at: MonotonicTime::ZERO,
            failures: 0,
            blocked_until: MonotonicTime::ZERO,
            trial_sent_at: None,
        }
    }

    /// Takes a token for a call, or returns the time to wait.
    pub fn request_call(&mut self, now: MonotonicTime) -> CallPermit {
        self.refill(now);
        if self.failures > 0 {
            if now < self.blocked_until {
                return CallPermit::Wait(self.blocked_until.since(now));
            }
            if let Some(sent) = self.trial_sent_at {
                let trial_deadline = sent + self.settings.trial_timeout;
                if now < trial_deadline {
                    return CallPermit::Wait(
                        self.settings.base_delay.min(trial_deadline.since(now)),
                    );
                }
            }
        }
        if self.tokens < 1.0 {
            let wait_seconds = (1.0 - self.tokens) / self.settings.rate;
            // Rounded up, so that a token is available after the wait.
            return CallPermit::Wait(
                Duration::from_secs_f64(wait_seconds) + Duration::from_micros(1),
            );
        }
        self.tokens -= 1.0;
        if self.failures > 0 {
            self.trial_sent_at = Some(now);
        }
        CallPermit::Send
    }

    /// Records that the platform replied to a call, even if it refused the request.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.trial_sent_at = None;
        self.blocked_until = MonotonicTime::ZERO;
    }

    /// Records a call to which the platform did not reply.
    ///
    /// `jitter` is uniform in 0 to 1. Failures of concurrent calls count once, because they have
    /// the same cause.
    pub fn record_failure(&mut self, now: MonotonicTime, jitter: f64) {
        self.trial_sent_at = None;
        if self.failures > 0 && now < self.blocked_until {
            return;
        }
        self.failures = self.failures.saturating_add(1);
        let doublings = (self.failures - 1).min(16);
        let delay = self
            .settings
            .base_delay
            .saturating_mul(1 << doublings)
            .min(self.settings.max_delay);
        let delay_fraction = 0.5 + 0.5 * jitter.clamp(0.0, 1.0);
        self.blocked_until = now + delay.mul_f64(delay_fraction);
    }

    fn refill(&mut self, now: MonotonicTime) {
        let earned_tokens = now.since(self.refilled_at).as_secs_f64() * self.settings.rate;
        self.tokens = (self.tokens + earned_tokens).min(self.settings.burst);
        self.refilled_at = self.refilled_at.max(now);
    }
}
