//! Decides when a write may be acknowledged.

use coriander_core::{ConfirmReply, LogPosition, MemberId, WriteCertainty};
use smallvec::SmallVec;

use crate::PrimaryView;

/// Returns the number of members that form a majority of a group.
///
/// ```
/// assert_eq!(coriander_failover::majority_of(3), 2);
/// assert_eq!(coriander_failover::majority_of(4), 3);
/// ```
pub const fn majority_of(members: usize) -> usize {
    members / 2 + 1
}

/// State of the acknowledgement of a write.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum AckState {
    /// More confirmations are needed.
    Waiting,
    /// Enough members hold the write; it survives any promotion.
    Acknowledged,
    /// Too many members have moved to a later term; the outcome must be reported as unknown.
    Impossible,
}

/// Confirmations of one write.
///
/// ```
/// use coriander_core::{ConfirmReply, LogPosition, MemberId, TermNumber, WriteCertainty};
/// use coriander_failover::{AckState, PrimaryView, WriteAcknowledgement};
///
/// let members: Vec<MemberId> = ["a", "b", "c"].map(|m| m.parse().expect("name")).to_vec();
/// let term = TermNumber::new(4);
/// let view = PrimaryView { member: members[0].clone(), term };
/// let position = LogPosition::new(term, 9);
/// let mut write = WriteAcknowledgement::new(&view, position, &members, WriteCertainty::Majority);
/// assert_eq!(write.state(), AckState::Waiting);
/// let reply = ConfirmReply { confirmed: true, term, log: position };
/// assert_eq!(write.record(&members[1], &reply), AckState::Acknowledged);
/// ```
#[derive(Clone, Debug)]
pub struct WriteAcknowledgement {
    position: LogPosition,
    required_count: usize,
    confirmed_members: SmallVec<[MemberId; 4]>,
    undecided: SmallVec<[MemberId; 4]>,
}

impl WriteAcknowledgement {
    /// Creates the confirmations of a write that the primary has executed.
    ///
    /// A position of another term than the primary's can never be acknowledged.
    pub fn new(
        primary: &PrimaryView,
        position: LogPosition,
        members: &[MemberId],
        certainty: WriteCertainty,
    ) -> Self {
        let required_count = required_confirmations(members.len(), certainty);
        let mut confirmed_members = SmallVec::new();
        let mut undecided = SmallVec::new();
        if position.term == primary.term && members.contains(&primary.member) {
            confirmed_members.push(primary.member.clone());
            undecided.extend(members.iter().filter(|m| **m != primary.member).cloned());
        }
        Self {
            position,
            required_count,
            confirmed_members,
            undecided,
        }
    }

    /// Sets the size of a group of which not all members are known.
    #[must_use]
    pub fn with_group_size(mut self, members: usize, certainty: WriteCertainty) -> Self {
        self.required_count = self
            .required_count
            .max(required_confirmations(members, certainty));
        self
    }

    /// Records a member's reply to a confirm call for this write's position.
    ///
    /// The reply is checked against the rule again, so that a reply to another call cannot count.
    pub fn record(&mut self, member: &MemberId, reply: &ConfirmReply) -> AckState {
        let Some(index) = self.undecided.iter().position(|m| m == member) else {
            return self.state();
        };
        let is_same_term = reply.term == self.position.term;
        let is_held =
            reply.log.term == self.position.term && reply.log.index >= self.position.index;
        if reply.confirmed && is_same_term && is_held {
            self.confirmed_members
                .push(self.undecided.swap_remove(index));
        } else if reply.term > self.position.term {
            self.undecided.swap_remove(index);
        }
        self.state()
    }

    /// Returns the members that have neither confirmed the write nor moved to a later term.
    pub fn undecided(&self) -> &[MemberId] {
        &self.undecided
    }

    /// Returns the current state.
    pub fn state(&self) -> AckState {
        if !self.confirmed_members.is_empty() && self.confirmed_members.len() >= self.required_count
        {
            AckState::Acknowledged
        } else if self.confirmed_members.len() + self.undecided.len() < self.required_count {
            AckState::Impossible
        } else {
            AckState::Waiting
        }
    }
}

fn required_confirmations(members: usize, certainty: WriteCertainty) -> usize {
    match certainty {
        WriteCertainty::Majority => majority_of(members),
        WriteCertainty::All => members,
    }
}
