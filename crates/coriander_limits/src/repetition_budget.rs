//! Limit on the repetitions of statements by an instance.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use coriander_core::MonotonicTime;

use crate::RetryBudget;
use crate::rate_estimate::RateEstimate;

/// Number of first attempts that allow one repetition. The loss of one of three members concerns a
/// third of the reads for the moment until it is known; more repetitions than this come from
/// members that are short, where they displace first attempts.
const ATTEMPTS_PER_REPETITION: u32 = 5;

/// Saved repetitions of the instance: the statements in flight when a member is lost.
const INSTANCE_SAVED: u32 = 20;

/// Saved repetitions of an account, so that one account leaves half of them to others.
const ACCOUNT_SAVED: u32 = 10;

/// Number of accounts from which those with a full budget are forgotten.
const MAX_ACCOUNTS: usize = 1_024;

/// Window of the estimate of first attempts, from which the return time follows.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Bounds of the return time: below, the caller would return into the same shortage; above, a
/// caller that sends again may itself be the next first attempt.
const RETURN_TIMES: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(1));

/// Refusal of a repetition.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RepetitionRefusal {
    /// Whose budget is used up: `account` or `instance`.
    pub budget: &'static str,
    /// Delay after which the caller should retry.
    pub retry_after: Duration,
}

#[derive(Debug)]
struct Budget {
    retries: RetryBudget,
    first_attempts: RateEstimate,
}

impl Budget {
    fn new(max_saved: u32, now: MonotonicTime) -> Self {
        Self {
            retries: RetryBudget::new(ATTEMPTS_PER_REPETITION, max_saved),
            first_attempts: RateEstimate::new(RATE_WINDOW, now),
        }
    }

    fn record_first(&mut self, now: MonotonicTime) {
        self.retries.record_request();
        self.first_attempts.record(1, now);
    }

    /// Returns the time until the expected first attempts allow a repetition.
    fn retry_after(&self, now: MonotonicTime) -> Duration {
        let (min, max) = RETURN_TIMES;
        let rate = self.first_attempts.per_second(now);
        let missing = f64::from(self.retries.requests_to_retry());
        let wait = Duration::try_from_secs_f64(missing / rate).unwrap_or(max);
        wait.clamp(min, max)
    }
}

/// Repetitions of statements that an instance may make for each account and in all. First attempts
/// are never refused.
///
/// ```
/// use coriander_core::MonotonicTime;
/// use coriander_limits::RepetitionBudget;
///
/// let now = MonotonicTime::from_millis(1_000);
/// let mut budget = RepetitionBudget::new(now);
/// let repeated = (0..50).filter(|_| budget.try_repeat("harbour", now).is_ok());
/// assert_eq!(repeated.count(), 10);
/// assert!(budget.try_repeat("quarry", now).is_ok());
/// ```
#[derive(Debug)]
pub struct RepetitionBudget {
    instance: Budget,
    accounts: HashMap<Arc<str>, Budget>,
}

impl RepetitionBudget {
    /// Creates a full budget, so that a new instance can repeat statements immediately.
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            instance: Budget::new(INSTANCE_SAVED, now),
            accounts: HashMap::new(),
        }
    }

    /// Records the first attempt of a statement.
    pub fn record_first(&mut self, account: &str, now: MonotonicTime) {
        self.instance.record_first(now);
        self.account(account, now).record_first(now);
    }

    /// Takes a repetition from the budgets of the account and of the instance, if both allow it.
    pub fn try_repeat(
        &mut self,
        account: &str,
        now: MonotonicTime,
    ) -> Result<(), RepetitionRefusal> {
        let refusal = |name, budget: &Budget| RepetitionRefusal {
            budget: name,
            retry_after: budget.retry_after(now),
        };
        if self.instance.retries.available() == 0 {
            return Err(refusal("instance", &self.instance));
        }
        let of_account = self.account(account, now);
        if !of_account.retries.try_take() {
            return Err(refusal("account", of_account));
        }
        self.instance.retries.try_take();
        Ok(())
    }

    fn account(&mut self, name: &str, now: MonotonicTime) -> &mut Budget {
        if self.accounts.len() >= MAX_ACCOUNTS && !self.accounts.contains_key(name) {
            self.accounts.retain(|_, budget| !budget.retries.is_full());
        }
        let budget = self.accounts.entry(name.into());
        budget.or_insert_with(|| Budget::new(ACCOUNT_SAVED, now))
    }
}
