//! Budget of the statements that this instance repeats.

use std::cell::RefCell;

use coriander_core::MonotonicTime;
use coriander_limits::{RepetitionBudget, RepetitionRefusal};

/// Budget of repetitions; without limits where the settings do not ask for ordered waiting.
pub struct Repetitions {
    budget: Option<RefCell<RepetitionBudget>>,
}

impl Repetitions {
    /// Creates the budget; with `limited` false it allows every repetition.
    pub fn new(limited: bool, now: MonotonicTime) -> Self {
        let budget = limited.then(|| RefCell::new(RepetitionBudget::new(now)));
        Self { budget }
    }

    /// Records the first attempt of a statement.
    pub fn record_first(&self, account: &str, now: MonotonicTime) {
        if let Some(budget) = &self.budget {
            budget.borrow_mut().record_first(account, now);
        }
    }

    /// Takes a repetition, if the budget allows it.
    pub fn try_repeat(&self, account: &str, now: MonotonicTime) -> Result<(), RepetitionRefusal> {
        match &self.budget {
            Some(budget) => budget.borrow_mut().try_repeat(account, now),
            None => Ok(()),
        }
    }
}
