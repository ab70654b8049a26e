//! What instances tell each other about members, on messages that they send anyway.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// A member that an instance has set aside.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberReport {
    /// The member.
    pub member: Arc<str>,
    /// Time in milliseconds for which the report holds. It shrinks as the report is passed on, so
    /// that a report ends unless the instance that has seen the exchanges renews it.
    pub valid_ms: u16,
}

/// Reports on one message. Empty while no member is set aside.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CapacityNotice {
    /// Members that are set aside.
    pub reports: SmallVec<[MemberReport; 1]>,
    /// On a reply: statements in flight at the home instance, in sixteenths of its limit.
    pub load: Option<u8>,
}
