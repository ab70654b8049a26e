//! One attempt to fence a majority and to promote the member with the greatest log.

use std::collections::BTreeMap;
use std::time::Duration;

use coriander_core::{LogPosition, MemberId, MonotonicTime, TermNumber};
use smallvec::SmallVec;

use crate::PromotionCause;
use crate::member_record::MemberRecord;

/// Time for which an attempt waits for preferred members before it may choose another one.
const PREFERENCE_TIMEOUT: Duration = Duration::from_millis(100);

/// Progress of an attempt.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum AttemptStage {
    Fencing,
    /// The candidate never changes within a term; another choice needs a new term.
    Promoting(MemberId),
}

/// Result of counting the fenced members.
#[derive(Debug, Eq, PartialEq)]
pub(crate) enum FenceOutcome {
    Waiting,
    Candidate(MemberId),
    /// Too many members have accepted another proposer or a later term.
    Refused,
}

/// An attempt; each attempt of a monitor has its own term.
#[derive(Debug)]
pub(crate) struct PromotionAttempt {
    pub(crate) term: TermNumber,
    pub(crate) cause: PromotionCause,
    pub(crate) stage: AttemptStage,
    pub(crate) started: MonotonicTime,
    pub(crate) stage_started: MonotonicTime,
    pub(crate) resend_due: MonotonicTime,
    /// Member that should become primary, if its log allows it.
    pub(crate) target: Option<MemberId>,
    /// Member that is suspected to have failed.
    pub(crate) suspect: Option<MemberId>,
    votes: BTreeMap<MemberId, LogPosition>,
    refusals: SmallVec<[MemberId; 4]>,
}

impl PromotionAttempt {
    pub(crate) fn new(term: TermNumber, cause: PromotionCause, now: MonotonicTime) -> Self {
        Self {
            term,
            cause,
            stage: AttemptStage::Fencing,
            started: now,
            stage_started: now,
            resend_due: now,
            target: None,
            suspect: None,
            votes: BTreeMap::new(),
            refusals: SmallVec::new(),
        }
    }

    pub(crate) fn add_vote(&mut self, member: MemberId, log: LogPosition) {
        // A reply to a repeated fence call can be sent after the member began to follow; only the
        // first reply contains the fenced position.
        self.votes.entry(member).or_insert(log);
    }

    pub(crate) fn add_refusal(&mut self, member: MemberId) {
        if !self.votes.contains_key(&member) && !self.refusals.contains(&member) {
            self.refusals.push(member);
        }
    }

    pub(crate) fn has_vote(&self, member: &MemberId) -> bool {
        self.votes.contains_key(member)
    }

    /// Returns the time until which the attempt waits for preferred members.
    pub(crate) fn preference_deadline(&self) -> MonotonicTime {
        self.started + PREFERENCE_TIMEOUT
    }

    /// Counts the votes of a group of `size` members.
    ///
    /// Any majority of fenced members is sufficient, because every acknowledged write is on one of
    /// them. Members that lost entries do not count, unless every member has accepted the fence.
    pub(crate) fn count_votes(
        &self,
        records: &BTreeMap<MemberId, MemberRecord>,
        size: usize,
        majority_position: LogPosition,
        now: MonotonicTime,
    ) -> FenceOutcome {
        let majority = crate::majority_of(size);
        if self.is_majority_unreachable(records, majority, now) {
            return FenceOutcome::Refused;
        }
        let is_complete = self.votes.len() >= size;
        let is_intact = |id: &MemberId, log: LogPosition| {
            is_complete
                || records
                    .get(id)
                    .is_some_and(|record| !record.has_lost_entries(log))
        };
        let counted: SmallVec<[&MemberId; 4]> = self
            .votes
            .iter()
            .filter(|(id, log)| is_intact(id, **log))
            .map(|(id, _)| id)
            .collect();
        if counted.len() < majority {
            return FenceOutcome::Waiting;
        }
        let preferred: SmallVec<[&MemberId; 4]> = counted
            .iter()
            .copied()
            .filter(|id| self.is_preferred(id, records))
            .collect();
        let has_target_vote = self
            .target
            .as_ref()
            .is_none_or(|target| self.has_vote(target));
        let can_wait =
            now < self.preference_deadline() && self.votes.len() + self.refusals.len() < size;
        let is_majority = preferred.len() >= majority && (has_target_vote || !can_wait);
        let choice = Some(&preferred)
            .filter(|_| is_majority)
            .and_then(|voters| self.greatest_log(voters, records))
            .filter(|(_, log)| *log >= majority_position);
        let choice = match choice {
            None if !can_wait => self.greatest_log(&counted, records),
            choice => choice,
        };
        match choice {
            Some((id, log)) if log >= majority_position || is_complete => {
                FenceOutcome::Candidate(id.clone())
            }
            _ => FenceOutcome::Waiting,
        }
    }

    /// Returns whether a member has refused and the attempt should end: no majority can be reached
    /// without the suspect, or none was reached by the preference deadline.
    fn is_majority_unreachable(
        &self,
        records: &BTreeMap<MemberId, MemberRecord>,
        majority: usize,
        now: MonotonicTime,
    ) -> bool {
        let is_undecided = |id: &MemberId| {
            !self.has_vote(id) && !self.refusals.contains(id) && self.suspect.as_ref() != Some(id)
        };
        let reachable = self.votes.len() + records.keys().filter(|id| is_undecided(id)).count();
        !self.refusals.is_empty()
            && self.votes.len() < majority
            && (reachable < majority || now >= self.preference_deadline())
    }

    fn is_preferred(&self, id: &MemberId, records: &BTreeMap<MemberId, MemberRecord>) -> bool {
        self.suspect.as_ref() != Some(id)
            && records
                .get(id)
                .is_some_and(|record| record.member.is_eligible())
    }

    /// Returns the voter with the greatest log; of equal ones a preferred member or the target.
    fn greatest_log<'a>(
        &self,
        voters: &[&'a MemberId],
        records: &BTreeMap<MemberId, MemberRecord>,
    ) -> Option<(&'a MemberId, LogPosition)> {
        let key = |id: &MemberId| {
            let log = self.votes.get(id).copied().unwrap_or_default();
            (
                log,
                self.is_preferred(id, records),
                self.target.as_ref() == Some(id),
            )
        };
        let best = voters.iter().copied().max_by_key(|id| key(id))?;
        Some((best, key(best).0))
    }
}
