//! What instances tell each other about members, on messages that they send anyway.

use coriander_core::{LogPosition, stable_hash};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// A member that an instance has set aside.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberReport {
    /// Hash of the member's identifier, which is several times as long. Two members with the same
    /// hash are set aside together for the time of the report.
    pub member: u32,
    /// Time in milliseconds for which the report holds. Only the instance that has seen the
    /// exchanges sends it, so that it ends unless that instance renews it.
    pub valid_ms: u16,
}

impl MemberReport {
    /// Returns the hash that stands for a member.
    pub fn hash(member: &str) -> u32 {
        stable_hash(member) as u32
    }
}

/// Log position of a primary that was confirmed as such.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfirmedPosition {
    /// The position.
    pub position: LogPosition,
    /// Time in milliseconds, rounded up, from the request that confirmed it to this message.
    pub age_ms: u16,
}

/// Reports on one message. Empty while no member is set aside.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CapacityNotice {
    /// Members that are set aside.
    pub reports: SmallVec<[MemberReport; 1]>,
    /// On a reply: statements in flight at the home instance, in sixteenths of its limit.
    pub load: Option<u8>,
    /// On a reply: newest confirmed position of the group's primary.
    pub position: Option<ConfirmedPosition>,
}
