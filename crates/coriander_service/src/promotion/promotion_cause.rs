//! Decides whether a group needs a new primary and which member becomes it.

use std::sync::Arc;
use std::time::Duration;

use coriander_core::{LogPosition, TermNumber};
use coriander_service_api::{MemberRole, MemberStatus};

use crate::members::member::Member;
use crate::promotion::term_lineage::TermLineage;

/// How long the primary must have failed before a successor is promoted.
const OUTAGE_DELAY: Duration = Duration::from_millis(250);

/// How long a group may be without a member that reports the primary role.
const NO_PRIMARY_DELAY: Duration = Duration::from_millis(700);

/// Why a group needs a new primary.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PromotionCause {
    /// The primary does not reply to this instance.
    Outage,
    /// More than half of the other instances report that the primary does not reply.
    ReportedOutage,
    /// The primary has had no entry in the store for so long that it counts as gone.
    Gone,
    /// No member reports the primary role.
    NoPrimary,
    /// The primary drains or its zone is taken out of service.
    Leaving,
    /// An earlier promotion may have ended halfway, so that replicas receive no commits.
    Interrupted,
}

impl PromotionCause {
    /// Returns the cause as it appears in logs.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Outage => "outage",
            Self::ReportedOutage => "reported_outage",
            Self::Gone => "gone",
            Self::NoPrimary => "no_leader",
            Self::Leaving => "leaving",
            Self::Interrupted => "interrupted",
        }
    }

    /// Returns whether the current primary may still serve, so that it is demoted before its
    /// acknowledged commits are lost.
    pub const fn is_primary_serving(self) -> bool {
        matches!(self, Self::Gone | Self::Leaving)
    }

    /// Returns whether the primary may reply to this instance.
    pub const fn may_primary_reply(self) -> bool {
        !matches!(self, Self::Outage)
    }
}

/// Observations of the primary of a group.
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
    gone: bool,
    leaving: bool,
    no_primary_for: Duration,
}

impl PrimaryObservation {
    /// Sets for how long the primary has failed on this instance.
    #[must_use]
    pub const fn with_failing(mut self, time: Duration) -> Self {
        self.failing_for = time;
        self
    }

    /// Sets how many of the `peers` other instances report an outage of the primary.
    #[must_use]
    pub const fn with_reports(mut self, reports: usize, peers: usize) -> Self {
        self.reports = reports;
        self.peers = peers;
        self
    }

    /// Sets whether the primary has no entry in the store and no outage of the store explains that.
    #[must_use]
    pub const fn with_missing(mut self, missing: bool) -> Self {
        self.missing = missing;
        self
    }

    /// Sets whether the primary has had no entry for so long that it counts as gone.
    #[must_use]
    pub const fn with_gone(mut self, gone: bool) -> Self {
        self.gone = gone;
        self
    }

    /// Sets whether the primary drains or its zone is taken out of service.
    #[must_use]
    pub const fn with_leaving(mut self, leaving: bool) -> Self {
        self.leaving = leaving;
        self
    }

    /// Sets for how long no member has reported the primary role, in reads of the store that follow
    /// so long after an outage of it that the entries of all members are back.
    #[must_use]
    pub const fn with_no_primary(mut self, time: Duration) -> Self {
        self.no_primary_for = time;
        self
    }

    /// Returns the cause for a promotion, if there is one.
    pub fn promotion_cause(self) -> Option<PromotionCause> {
        if self.failing_for >= OUTAGE_DELAY {
            // If no other instance reports the outage, this instance is cut off rather than the
            // primary.
            let is_only_observer = self.reports == 0 && self.peers > 0;
            if !is_only_observer || self.missing {
                return Some(PromotionCause::Outage);
            }
        }
        if self.peers > 0 && self.reports * 2 > self.peers {
            return Some(PromotionCause::ReportedOutage);
        }
        if self.gone {
            return Some(PromotionCause::Gone);
        }
        if self.no_primary_for >= NO_PRIMARY_DELAY {
            return Some(PromotionCause::NoPrimary);
        }
        self.leaving.then_some(PromotionCause::Leaving)
    }
}

/// A member that may become primary.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromotionCandidate {
    /// Identifier.
    pub member: Arc<str>,
    /// Log position up to which it has received the log.
    pub received: LogPosition,
    /// Newest term that it knows.
    pub term: TermNumber,
    /// Whether it drains, its zone is taken out of service or it has no entry in the store.
    pub leaving: bool,
    /// Whether it already is primary.
    pub is_primary: bool,
    /// Whether it has been stopped from receiving commits.
    pub is_paused: bool,
}

impl PromotionCandidate {
    /// Creates a candidate from the status of a member.
    pub fn new(member: &Member, status: &MemberStatus) -> Self {
        Self {
            member: member.id.clone(),
            received: status.received,
            term: status.term,
            leaving: member.is_leaving() || member.is_missing(),
            is_primary: status.role == MemberRole::Primary,
            is_paused: status.is_paused,
        }
    }
}

/// Conditions on the replicas of a group under which one of them is promoted.
#[derive(Clone, Debug, Default)]
pub struct SuccessorRule {
    /// Number of replicas of the group, with those that have lost their entries lately.
    pub replicas: usize,
    /// Number of replicas that hold a commit when it is acknowledged.
    pub sync_replicas: usize,
    /// End of the log of the former primary, if it has replied. A replica that has received it holds
    /// all acknowledged commits.
    pub primary_position: Option<LogPosition>,
    /// Recorded promotions.
    pub lineage: TermLineage,
    /// Whether a log with discarded commits may be chosen if no candidate has another: the
    /// candidates include every member that is present, and others have had time to return.
    pub candidates_complete: bool,
}

impl SuccessorRule {
    /// Returns whether commits are acknowledged only when replicas have received them.
    pub const fn is_synchronous(&self) -> bool {
        self.sync_replicas > 0
    }

    /// Returns whether any `count` replicas include one that holds all acknowledged commits. If they
    /// receive no more commits, none can be acknowledged any longer.
    pub const fn is_met_by(&self, count: usize) -> bool {
        count > 0 && count + self.sync_replicas > self.replicas
    }

    fn holds_all(&self, candidate: &PromotionCandidate) -> bool {
        let position = self.primary_position;
        position.is_some_and(|position| candidate.received >= position)
    }
}

/// Returns the candidate to promote: the one that has received most. The smaller identifier breaks
/// ties, so that a repeated choice has the same result. A candidate that already is primary of the
/// newest term is chosen before all others.
///
/// If commits are synchronous, enough candidates must have replied, or the chosen one must have
/// received the whole log of the former primary; a leaving one is chosen if it alone holds the newest
/// commit. Otherwise a leaving one is never chosen. A log with commits that a promotion may have
/// discarded is chosen only if no other log is left, because it would restore these commits in place
/// of newer ones.
///
/// ```
/// use coriander_core::{LogPosition, TermNumber};
/// use coriander_service::{PromotionCandidate, SuccessorRule, choose_successor};
///
/// let at = |member: &str, index| PromotionCandidate {
///     member: member.into(),
///     received: LogPosition::new(TermNumber::new(1), index),
///     term: TermNumber::new(1),
///     leaving: false,
///     is_primary: false,
///     is_paused: false,
/// };
/// let candidates = [at("a", 4), at("b", 7)];
/// let best = choose_successor(&candidates, &SuccessorRule::default()).expect("two candidates");
/// assert_eq!(&*best.member, "b");
/// ```
pub fn choose_successor<'a>(
    candidates: &'a [PromotionCandidate],
    rule: &SuccessorRule,
) -> Option<&'a PromotionCandidate> {
    let is_whole = |candidate: &PromotionCandidate| rule.lineage.contains(candidate.received);
    let newest_term = candidates.iter().map(|candidate| candidate.term).max();
    let primary = candidates.iter().find(|candidate| {
        candidate.is_primary && Some(candidate.term) == newest_term && is_whole(candidate)
    });
    if primary.is_some() {
        return primary;
    }
    let is_synchronous = rule.is_synchronous();
    let are_enough = !is_synchronous || rule.is_met_by(candidates.len());
    let eligible = candidates
        .iter()
        .filter(|candidate| is_synchronous || !candidate.leaving)
        .filter(|candidate| are_enough || rule.holds_all(candidate))
        .filter(|candidate| rule.candidates_complete || is_whole(candidate));
    eligible.max_by(|a, b| {
        let by_lineage = is_whole(a).cmp(&is_whole(b));
        let by_position = by_lineage.then_with(|| a.received.cmp(&b.received));
        let by_leaving = by_position.then_with(|| b.leaving.cmp(&a.leaving));
        by_leaving.then_with(|| b.member.cmp(&a.member))
    })
}
