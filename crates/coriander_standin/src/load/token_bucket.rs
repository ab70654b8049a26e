//! Token bucket with which the driver tracks the rate of an account.

use std::time::Duration;

/// A token bucket that classifies requests as within or over an account's rate.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Duration,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(rate: u32, burst: u32) -> Self {
        Self {
            rate: f64::from(rate),
            burst: f64::from(burst),
            tokens: f64::from(burst),
            refilled_at: Duration::ZERO,
        }
    }

    /// Takes a token for a request at a time since the start; `true` if the request is within the
    /// rate.
    ///
    /// ```
    /// use coriander_standin::load::TokenBucket;
    /// use std::time::Duration;
    ///
    /// let mut bucket = TokenBucket::new(10, 1);
    /// assert!(bucket.take_token(Duration::ZERO));
    /// assert!(!bucket.take_token(Duration::from_millis(50)));
    /// assert!(bucket.take_token(Duration::from_millis(160)));
    /// ```
    pub fn take_token(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + self.rate * elapsed).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
        let is_within_rate = self.tokens >= 1.0;
        if is_within_rate {
            self.tokens -= 1.0;
        }
        is_within_rate
    }
}
