//! JSON messages of the group control interface of an upstream member.

use serde::{Deserialize, Serialize};

use crate::{LogPosition, MemberId, TermNumber};

/// Role of a member in its group.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberRole {
    /// Executes the writes of its term.
    Primary,
    /// Replicates from the primary of its term.
    Replica,
    /// Has accepted a term but has received no promote or follow call.
    Fenced,
}

/// Reply to `GET /group/status`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GroupStatus {
    /// Member that replied.
    pub member: MemberId,
    /// Highest term that the member has accepted.
    pub term: TermNumber,
    /// Role of the member in that term.
    pub role: MemberRole,
    /// Last entry of the member's log.
    pub log: LogPosition,
    /// Address of the primary that a replica follows.
    #[serde(default)]
    pub primary: Option<String>,
}

/// Reply to the fence, promote and follow calls.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ControlReply {
    /// Whether the member executed the call.
    pub accepted: bool,
    /// Highest term that the member has accepted.
    pub term: TermNumber,
    /// Last entry of the member's log.
    pub log: LogPosition,
}

/// Reply to `GET /group/confirm`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfirmReply {
    /// Whether the member stores the entry and still accepts its term.
    pub confirmed: bool,
    /// Highest term that the member has accepted.
    pub term: TermNumber,
    /// Last entry of the member's log.
    pub log: LogPosition,
}
