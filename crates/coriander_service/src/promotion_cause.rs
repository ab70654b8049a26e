//! Decides whether a group needs a new primary and which member it should be.

use std::sync::Arc;
use std::time::Duration;

use coriander_core::LogPosition;

use crate::term_history::TermHistory;

/// How long the primary must have failed before a successor is promoted.
const OUTAGE_DELAY: Duration = Duration::from_millis(250);

/// How long a group may be without a member that claims the lead.
const NO_PRIMARY_DELAY: Duration = Duration::from_millis(700);

/// Why a group needs a new primary.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PromotionCause {
    /// The primary does not answer.
    Outage,
    /// The primary does not answer half of the other instances or more.
    ReportedOutage,
    /// The member list lacks the primary.
    Missing,
    /// No member claims the lead.
    NoPrimary,
    /// The primary drains or its zone is taken out.
    Leaving,
}

impl PromotionCause {
    /// Returns the word for logs.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Outage => "outage",
            Self::ReportedOutage => "reported_outage",
            Self::Missing => "missing",
            Self::NoPrimary => "no_leader",
            Self::Leaving => "leaving",
        }
    }

    /// Tells whether the present primary still serves, so that nothing it has acknowledged may
    /// be lost.
    pub const fn is_planned(self) -> bool {
        matches!(self, Self::Leaving)
    }
}

/// What is known of a group's primary.
///
/// ```
/// use std::time::Duration;
/// use coriander_service::{PrimaryObservation, PromotionCause};
///
/// let observation = PrimaryObservation::default().with_leaving(true);
/// assert_eq!(observation.promotion_cause(), Some(PromotionCause::Leaving));
/// assert_eq!(PrimaryObservation::default().promotion_cause(), None);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct PrimaryObservation {
    failing_for: Duration,
    reports: usize,
    peers: usize,
    missing: bool,
    leaving: bool,
    no_primary_for: Duration,
}

impl PrimaryObservation {
    /// Sets for how long the primary has failed here.
    #[must_use]
    pub const fn with_failing(mut self, time: Duration) -> Self {
        self.failing_for = time;
        self
    }

    /// Sets how many of the other instances cannot reach the primary.
    #[must_use]
    pub const fn with_reports(mut self, reports: usize, peers: usize) -> Self {
        self.reports = reports;
        self.peers = peers;
        self
    }

    /// Sets whether the member list lacks the primary.
    #[must_use]
    pub const fn with_missing(mut self, missing: bool) -> Self {
        self.missing = missing;
        self
    }

    /// Sets whether the primary should get no new work.
    #[must_use]
    pub const fn with_leaving(mut self, leaving: bool) -> Self {
        self.leaving = leaving;
        self
    }

    /// Sets for how long no member has claimed the lead.
    #[must_use]
    pub const fn with_no_primary(mut self, time: Duration) -> Self {
        self.no_primary_for = time;
        self
    }

    /// Decides whether a successor is needed.
    pub fn promotion_cause(&self) -> Option<PromotionCause> {
        if self.failing_for >= OUTAGE_DELAY {
            // If nobody else sees the outage, this instance is cut off rather than the primary.
            let alone = self.reports == 0 && self.peers > 0;
            if !alone || self.missing {
                return Some(PromotionCause::Outage);
            }
        }
        if self.peers > 0 && self.reports * 2 > self.peers {
            return Some(PromotionCause::ReportedOutage);
        }
        if self.missing {
            return Some(PromotionCause::Missing);
        }
        if self.no_primary_for >= NO_PRIMARY_DELAY {
            return Some(PromotionCause::NoPrimary);
        }
        self.leaving.then_some(PromotionCause::Leaving)
    }
}

/// A member that could become primary.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromotionCandidate {
    /// Identifier.
    pub member: Arc<str>,
    /// End of what it has received.
    pub received: LogPosition,
    /// Whether it should get no new work.
    pub leaving: bool,
}

/// What must be known of a group's replicas before one of them is promoted.
#[derive(Clone, Copy, Debug, Default)]
pub struct SuccessorRule {
    /// Replicas of the group.
    pub replicas: usize,
    /// Replicas that hold a commit when it is acknowledged.
    pub synchronous: usize,
    /// Which logs belong to the history of the newest term.
    pub term_history: TermHistory,
    /// Whether the candidates are all that is left of the group.
    pub candidates_complete: bool,
}

impl SuccessorRule {
    /// Tells whether `known` replicas include one that holds all acknowledged commits.
    const fn is_met_by(self, known: usize) -> bool {
        known > 0 && known + self.synchronous > self.replicas
    }
}

/// Returns the candidate to promote: the one that has received most. The smaller identifier
/// breaks ties, so that a repeated choice is the same.
///
/// Where commits are synchronous, enough candidates must be known, and one that is leaving is
/// chosen if it alone holds the newest commit. Elsewhere a leaving one is not chosen. A log with
/// commits that the newest term has discarded is chosen only if nothing else is left, because it
/// would bring them back in place of newer ones.
///
/// ```
/// use coriander_core::{LogPosition, TermNumber};
/// use coriander_service::{PromotionCandidate, SuccessorRule, choose_successor};
///
/// let at = |member: &str, index| PromotionCandidate {
///     member: member.into(),
///     received: LogPosition::new(TermNumber::new(1), index),
///     leaving: false,
/// };
/// let candidates = [at("a", 4), at("b", 7)];
/// let best = choose_successor(&candidates, SuccessorRule::default()).expect("two candidates");
/// assert_eq!(&*best.member, "b");
/// ```
pub fn choose_successor(
    candidates: &[PromotionCandidate],
    rule: SuccessorRule,
) -> Option<&PromotionCandidate> {
    let synchronous = rule.synchronous > 0;
    if synchronous && !rule.is_met_by(candidates.len()) {
        return None;
    }
    let is_in_history =
        |candidate: &PromotionCandidate| rule.term_history.contains(candidate.received);
    let eligible = candidates
        .iter()
        .filter(|candidate| synchronous || !candidate.leaving)
        .filter(|candidate| rule.candidates_complete || is_in_history(candidate));
    eligible.max_by(|a, b| {
        let by_history = is_in_history(a).cmp(&is_in_history(b));
        let by_position = by_history.then_with(|| a.received.cmp(&b.received));
        let by_leaving = by_position.then_with(|| b.leaving.cmp(&a.leaving));
        by_leaving.then_with(|| b.member.cmp(&a.member))
    })
}
