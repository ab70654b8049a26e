//! Budget of the statements that this instance repeats.

use std::cell::RefCell;

use coriander_core::MonotonicTime;
use coriander_limits::{RepetitionBudget, RepetitionRefusal};
use coriander_service_api::{FailureCode, FailureReason, SessionFailure};

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

    /// Takes a repetition after a failed attempt, if the budget allows it. An attempt that reached
    /// no member and no queue is repeated for free, because it has taken nothing from others.
    pub fn try_repeat(
        &self,
        account: &str,
        failure: &SessionFailure,
        now: MonotonicTime,
    ) -> Result<(), RepetitionRefusal> {
        match &self.budget {
            Some(budget) if has_used_a_member(failure) => {
                budget.borrow_mut().try_repeat(account, now)
            }
            _ => Ok(()),
        }
    }
}

/// Returns whether a failed attempt has taken time of a member or a place in its queue.
const fn has_used_a_member(failure: &SessionFailure) -> bool {
    match failure.code {
        // The member only said that another one has to run the statement.
        FailureCode::Lagging | FailureCode::ReadOnly | FailureCode::Misrouted => false,
        FailureCode::Busy => !matches!(
            failure.reason,
            FailureReason::ConnectionLost | FailureReason::NoMember | FailureReason::NoPrimary
        ),
        _ => true,
    }
}
