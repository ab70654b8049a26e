//! Limit on retries and hedged reads.

/// Number of requests that add one retry to the budget: retries are limited to 10 % of requests.
const REQUESTS_PER_RETRY: u32 = 10;

/// Maximum number of saved retries; covers the requests in flight at a failover.
const MAX_SAVED_RETRIES: u32 = 100;

/// Token bucket that requests refill and that retries and hedged reads consume.
///
/// ```
/// use coriander_limits::RetryBudget;
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
    requests_per_retry: u32,
    max_saved: u32,
    refused: u64,
}

impl Default for RetryBudget {
    /// Returns a full budget for the requests of a whole instance, so that a new instance can retry
    /// immediately.
    fn default() -> Self {
        Self::new(REQUESTS_PER_RETRY, MAX_SAVED_RETRIES)
    }
}

impl RetryBudget {
    /// Creates a full budget that gains a retry with each `requests_per_retry` requests, up to
    /// `max_saved`.
    pub const fn new(requests_per_retry: u32, max_saved: u32) -> Self {
        Self {
            balance: max_saved * requests_per_retry,
            requests_per_retry,
            max_saved,
            refused: 0,
        }
    }

    /// Records a request of a caller; retries and hedges must not be recorded.
    pub fn record_request(&mut self) {
        self.balance = (self.balance + 1).min(self.max_saved * self.requests_per_retry);
    }

    /// Takes one retry or hedge from the budget, if it allows one.
    pub fn try_take(&mut self) -> bool {
        match self.balance.checked_sub(self.requests_per_retry) {
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
        self.balance / self.requests_per_retry
    }

    /// Returns the number of requests until a retry is available.
    pub const fn requests_to_retry(&self) -> u32 {
        self.requests_per_retry.saturating_sub(self.balance)
    }

    /// Returns whether the budget gains nothing from further requests.
    pub const fn is_full(&self) -> bool {
        self.balance >= self.max_saved * self.requests_per_retry
    }

    /// Returns the number of refused retries.
    pub const fn refused(&self) -> u64 {
        self.refused
    }
}
