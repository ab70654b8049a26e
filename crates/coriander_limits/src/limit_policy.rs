//! Parameters of the grant protocol; identical on all instances.

use std::time::Duration;

/// Parameters of the grant protocol.
///
/// All instances must use the same shares, expiry and freshness period. If some of them used other
/// values, the sum of the shares could exceed an account's rate.
///
/// ```
/// use coriander_limits::LimitPolicy;
///
/// let policy = LimitPolicy::default().with_reserve_percent(0, 20);
/// assert_eq!(policy.reserve_burst_percent, 20);
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct LimitPolicy {
    /// Percentage of the rate that is split between the local reserves.
    pub reserve_rate_percent: u32,
    /// Percentage of the burst that is split between the local reserves.
    pub reserve_burst_percent: u32,
    /// Maximum validity of a grant, counted from the sending of its request.
    pub grant_expiry: Duration,
    /// Time after the acceptance of a version during which instances with the old version may still
    /// spend tokens.
    pub freshness_period: Duration,
    /// Period of expected demand for which a client requests tokens in advance.
    pub prefetch_time: Duration,
    /// Maximum percentage of an owner's tokens in one grant.
    pub max_grant_percent: u32,
    /// Minimum interval between two requests for an account to an owner without tokens.
    pub empty_retry_interval: Duration,
    /// Maximum number of requests per account that wait for tokens.
    pub max_waiting: usize,
}

impl Default for LimitPolicy {
    fn default() -> Self {
        Self {
            reserve_rate_percent: 5,
            reserve_burst_percent: 20,
            grant_expiry: Duration::from_millis(500),
            freshness_period: Duration::from_secs(2),
            prefetch_time: Duration::from_millis(100),
            max_grant_percent: 50,
            empty_retry_interval: Duration::from_millis(50),
            max_waiting: 256,
        }
    }
}

impl LimitPolicy {
    /// Sets the percentages of rate and burst that are split between the local reserves.
    #[must_use]
    pub fn with_reserve_percent(mut self, rate: u32, burst: u32) -> Self {
        self.reserve_rate_percent = rate.min(100);
        self.reserve_burst_percent = burst.min(100);
        self
    }

    /// Sets the maximum validity of a grant.
    #[must_use]
    pub fn with_grant_expiry(mut self, expiry: Duration) -> Self {
        self.grant_expiry = expiry;
        self
    }

    /// Sets the period of expected demand for which a client requests tokens in advance.
    #[must_use]
    pub fn with_prefetch_time(mut self, prefetch_time: Duration) -> Self {
        self.prefetch_time = prefetch_time;
        self
    }

    /// Sets the maximum percentage of an owner's tokens in one grant.
    #[must_use]
    pub fn with_max_grant_percent(mut self, percent: u32) -> Self {
        self.max_grant_percent = percent.clamp(1, 100);
        self
    }

    /// Sets the minimum interval between two requests to an owner without tokens.
    #[must_use]
    pub fn with_empty_retry_interval(mut self, retry: Duration) -> Self {
        self.empty_retry_interval = retry;
        self
    }

    /// Sets the time after acceptance during which instances with the old version may spend tokens.
    #[must_use]
    pub fn with_freshness_period(mut self, freshness_period: Duration) -> Self {
        self.freshness_period = freshness_period;
        self
    }
}
