//! Inputs and outputs of a group monitor.

use coriander_core::{ControlReply, GroupStatus, MemberId, TermNumber, ZoneName};

/// Identifier of one probe; later probes have greater numbers.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ProbeId(pub(crate) u64);

/// A member of the group as the platform lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GroupMember {
    /// Identifier of the member.
    pub id: MemberId,
    /// Availability zone of the member.
    pub zone: ZoneName,
    /// Whether the platform reports the member as leaving.
    pub is_leaving: bool,
    /// Whether operators took the member's zone out of service.
    pub is_zone_out: bool,
}

impl GroupMember {
    /// Returns whether the member should become or stay primary.
    ///
    /// ```
    /// use coriander_failover::GroupMember;
    ///
    /// let (id, zone) = ("a".parse()?, "acharnes".parse()?);
    /// let member = GroupMember { id, zone, is_leaving: false, is_zone_out: true };
    /// assert!(!member.is_eligible());
    /// # Ok::<(), coriander_core::NameError>(())
    /// ```
    pub fn is_eligible(&self) -> bool {
        !self.is_leaving && !self.is_zone_out
    }
}

/// Why a call to a member failed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum CallFailure {
    /// The member's host refused the connection.
    Refused,
    /// No response was received.
    NoResponse,
}

/// An input of the monitor.
#[derive(Clone, Debug)]
pub enum GroupEvent {
    /// Time has passed.
    Tick,
    /// A member replied to a probe.
    Status {
        /// Probe that was replied to.
        probe: ProbeId,
        /// Member that was probed.
        member: MemberId,
        /// Status in the reply.
        status: GroupStatus,
    },
    /// A probe failed.
    ProbeFailed {
        /// Probe that failed.
        probe: ProbeId,
        /// Member that was probed.
        member: MemberId,
        /// Why it failed.
        failure: CallFailure,
    },
    /// A fence call ended.
    FenceDone {
        /// Member that was called.
        member: MemberId,
        /// Term of the call.
        term: TermNumber,
        /// Reply or failure.
        result: Result<ControlReply, CallFailure>,
    },
    /// A promote call ended.
    PromoteDone {
        /// Member that was called.
        member: MemberId,
        /// Term of the call.
        term: TermNumber,
        /// Reply or failure.
        result: Result<ControlReply, CallFailure>,
    },
    /// A follow call ended.
    FollowDone {
        /// Member that was called.
        member: MemberId,
        /// Term of the call.
        term: TermNumber,
        /// Reply or failure.
        result: Result<ControlReply, CallFailure>,
    },
    /// This instance replaces one that used the primary and was lost.
    ///
    /// Open transactions of the lost instance may hold locks. Members close all streams when the
    /// term changes, so the same member is promoted in the next term.
    GatewayReplaced,
    /// A statement request to a member was not sent, or a member refused its term.
    ///
    /// The monitor then probes the member before the next interval.
    StatementFailed {
        /// Member that was called.
        member: MemberId,
    },
}

/// A call to a member, which must be sent without waiting for earlier ones.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GroupAction {
    /// Request the status.
    Probe {
        /// Member to call.
        member: MemberId,
        /// Identifier to pass back.
        probe: ProbeId,
    },
    /// Fence the member.
    Fence {
        /// Member to call.
        member: MemberId,
        /// New term.
        term: TermNumber,
    },
    /// Make the member primary.
    Promote {
        /// Member to call.
        member: MemberId,
        /// Term of the new primary.
        term: TermNumber,
    },
    /// Make the member replicate from a primary.
    Follow {
        /// Member to call.
        member: MemberId,
        /// Term of the primary.
        term: TermNumber,
        /// Member to replicate from.
        primary: MemberId,
    },
}

impl GroupAction {
    /// Returns the member to call.
    ///
    /// ```
    /// use coriander_core::TermNumber;
    /// use coriander_failover::GroupAction;
    ///
    /// let action = GroupAction::Fence { member: "a".parse()?, term: TermNumber::new(2) };
    /// assert_eq!(action.member().as_str(), "a");
    /// # Ok::<(), coriander_core::NameError>(())
    /// ```
    pub fn member(&self) -> &MemberId {
        match self {
            Self::Probe { member, .. }
            | Self::Fence { member, .. }
            | Self::Promote { member, .. }
            | Self::Follow { member, .. } => member,
        }
    }

    /// Returns the event that reports the failure of the call.
    ///
    /// ```
    /// use coriander_core::TermNumber;
    /// use coriander_failover::{CallFailure, GroupAction, GroupEvent};
    ///
    /// let action = GroupAction::Fence { member: "a".parse()?, term: TermNumber::new(2) };
    /// let event = action.into_failure_event(CallFailure::Refused);
    /// assert!(matches!(event, GroupEvent::FenceDone { result: Err(CallFailure::Refused), .. }));
    /// # Ok::<(), coriander_core::NameError>(())
    /// ```
    pub fn into_failure_event(self, failure: CallFailure) -> GroupEvent {
        match self {
            Self::Probe { member, probe } => GroupEvent::ProbeFailed {
                probe,
                member,
                failure,
            },
            action => action.into_event(Err(failure)),
        }
    }

    /// Returns the event that reports the result of a fence, promote or follow call.
    ///
    /// A reply to a probe is reported as [`GroupEvent::Status`] instead; here a probe has failed.
    ///
    /// ```
    /// use coriander_core::{ControlReply, LogPosition, TermNumber};
    /// use coriander_failover::{GroupAction, GroupEvent};
    ///
    /// let term = TermNumber::new(2);
    /// let action = GroupAction::Promote { member: "a".parse()?, term };
    /// let reply = ControlReply { accepted: true, term, log: LogPosition::new(term, 1) };
    /// assert!(matches!(action.into_event(Ok(reply)), GroupEvent::PromoteDone { .. }));
    /// # Ok::<(), coriander_core::NameError>(())
    /// ```
    pub fn into_event(self, result: Result<ControlReply, CallFailure>) -> GroupEvent {
        match self {
            Self::Probe { member, probe } => {
                let failure = result.err().unwrap_or(CallFailure::NoResponse);
                GroupEvent::ProbeFailed {
                    probe,
                    member,
                    failure,
                }
            }
            Self::Fence { member, term } => GroupEvent::FenceDone {
                member,
                term,
                result,
            },
            Self::Promote { member, term } => GroupEvent::PromoteDone {
                member,
                term,
                result,
            },
            Self::Follow { member, term, .. } => GroupEvent::FollowDone {
                member,
                term,
                result,
            },
        }
    }
}

/// The known primary of a group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PrimaryView {
    /// The primary.
    pub member: MemberId,
    /// Its term, which statement requests must carry.
    pub term: TermNumber,
}
