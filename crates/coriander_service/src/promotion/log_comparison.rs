//! Compares the logs of the members of a group.

use coriander_core::TermNumber;

use crate::promotion::promotion_cause::{PromotionCandidate, SuccessorRule, choose_successor};

/// The members that have replied, and the conditions under which one of them is promoted.
#[derive(Clone, Debug, Default)]
pub struct LogComparison {
    /// Members that may become primary.
    pub candidates: Vec<PromotionCandidate>,
    /// Conditions on them.
    pub rule: SuccessorRule,
    /// The former primary, if it has just been demoted. It becomes primary again if no other member
    /// qualifies.
    pub demoted_primary: Option<PromotionCandidate>,
}

impl LogComparison {
    /// Returns the member to promote, if one qualifies.
    pub fn successor(&self) -> Option<&PromotionCandidate> {
        self.replica().or(self.demoted_primary.as_ref())
    }

    /// Returns the member to promote unless only the demoted primary qualifies.
    pub fn replica(&self) -> Option<&PromotionCandidate> {
        choose_successor(&self.candidates, &self.rule)
    }

    /// Returns the newest term that a member has reported.
    pub fn newest_term(&self) -> TermNumber {
        let reported = self.candidates.iter().chain(&self.demoted_primary);
        let terms = reported.map(|candidate| candidate.term);
        terms.max().unwrap_or_default()
    }

    /// Returns the member that is primary of the newest term, if it has replied.
    pub fn current_primary(&self) -> Option<&PromotionCandidate> {
        let newest_term = self.newest_term();
        let mut candidates = self.candidates.iter();
        candidates.find(|candidate| candidate.is_primary && candidate.term == newest_term)
    }

    /// Returns whether a member does not receive commits because a promotion has stopped it.
    pub fn has_paused_member(&self) -> bool {
        let mut candidates = self.candidates.iter();
        candidates.any(|candidate| candidate.is_paused)
    }
}
