//! Limit on retries and hedged reads.

/// Number of requests that add one retry to the budget: retries are limited to 10 % of requests.
const REQUESTS_PER_RETRY: u32 = 10;

/// Maximum number of saved retries; covers the requests in flight at a failover.
const MAX_SAVED_RETRIES: u32 = 100;

/// Token bucket that requests refill and that retries and hedged reads consume.
///
/// ```
/// use coriander_routing::RetryBudget;
///
/// let mut budget = RetryBudget::default();
/// while budget.try_take() {}
/// for _ in 0..10 {
///     budget.record_request();
/// }
/// assert!(budget.try_take());
/// assert!(!budget.try_take());
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Balance, in requests.
    balance: u32,
    refused: u64,
}

impl Default for RetryBudget {
    /// Returns a full budget, so that a new instance can retry immediately.
    fn default() -> Self {
        Self {
            balance: MAX_SAVED_RETRIES * REQUESTS_PER_RETRY,
            refused: 0,
        }
    }
}

impl RetryBudget {
    /// Records a request of a caller; retries and hedges must not be recorded.
    pub fn record_request(&mut self) {
        self.balance = (self.balance + 1).min(MAX_SAVED_RETRIES * REQUESTS_PER_RETRY);
    }

    /// Takes one retry or hedge from the budget, if it allows one.
    pub fn try_take(&mut self) -> bool {
        match self.balance.checked_sub(REQUESTS_PER_RETRY) {
            Some(balance) => {
                self.balance = balance;
                true
            }
            None => {
                self.refused += 1;
                false
            }
        }
    }

    /// Returns the number of retries that are available.
    pub const fn available(&self) -> u32 {
        self.balance / REQUESTS_PER_RETRY
    }

    /// Returns the number of refused retries.
    pub const fn refused(&self) -> u64 {
        self.refused
    }
}
