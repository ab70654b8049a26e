//! Constants of the grant protocol that all instances share.

use std::time::Duration;

/// Shares, sizes and times of the grant protocol.
///
/// All instances must use the same shares, expiry and freshness; a different value in a part of
/// the fleet would let the sum of the shares exceed an account's rate.
///
/// ```
/// use coriander_limits::LimitPolicy;
///
/// let policy = LimitPolicy::default().with_reserve_percent(0, 20);
/// assert_eq!(policy.reserve_burst_percent, 20);
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct LimitPolicy {
    /// Part of the rate that is split between the local reserves.
    pub reserve_rate_percent: u32,
    /// Part of the burst that is split between the local reserves.
    pub reserve_burst_percent: u32,
    /// Longest validity of a grant, counted from the sending of its request.
    pub grant_expiry: Duration,
    /// Time after acceptance in which instances of the old version may still spend.
    pub freshness_period: Duration,
    /// Time of expected demand that a holder keeps in hand.
    pub prefetch_time: Duration,
    /// Greatest part of an owner's tokens in one grant, in percent.
    pub max_grant_percent: u32,
    /// Shortest time between two requests for an account to an owner without tokens.
    pub empty_retry_interval: Duration,
    /// Requests that may wait for tokens per account.
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
    /// Sets the parts of rate and burst that are split between the local reserves.
    #[must_use]
    pub fn with_reserve_percent(mut self, rate: u32, burst: u32) -> Self {
        self.reserve_rate_percent = rate.min(100);
        self.reserve_burst_percent = burst.min(100);
        self
    }

    /// Sets the longest validity of a grant.
    #[must_use]
    pub fn with_grant_expiry(mut self, expiry: Duration) -> Self {
        self.grant_expiry = expiry;
        self
    }

    /// Sets the time of expected demand that a holder keeps in hand.
    #[must_use]
    pub fn with_prefetch_time(mut self, prefetch_time: Duration) -> Self {
        self.prefetch_time = prefetch_time;
        self
    }

    /// Sets the greatest part of an owner's tokens in one grant.
    #[must_use]
    pub fn with_max_grant_percent(mut self, percent: u32) -> Self {
        self.max_grant_percent = percent.clamp(1, 100);
        self
    }

    /// Sets the shortest time between two requests to an owner without tokens.
    #[must_use]
    pub fn with_empty_retry_interval(mut self, retry: Duration) -> Self {
        self.empty_retry_interval = retry;
        self
    }

    /// Sets the time after acceptance in which old instances may still spend.
    #[must_use]
    pub fn with_freshness_period(mut self, freshness_period: Duration) -> Self {
        self.freshness_period = freshness_period;
        self
    }
}
