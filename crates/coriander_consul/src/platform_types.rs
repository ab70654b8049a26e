//! Values that the platform stores and returns.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use coriander_core::{InstanceId, ZoneName};

/// Index of the platform's state at which a key or a list last changed.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ModifyIndex(u64);

impl ModifyIndex {
    /// Creates an index.
    pub const fn new(index: u64) -> Self {
        Self(index)
    }

    /// Returns the number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for ModifyIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Identifier of a platform session, which acts as a lease.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct SessionId(String);

impl SessionId {
    /// Creates an identifier from the text that the platform returned.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Value of a key with the index of its last change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredValue {
    /// Bytes of the value.
    pub bytes: Vec<u8>,
    /// Index of the last change, for compare-and-swap.
    pub modify_index: ModifyIndex,
    /// Session that holds the key.
    pub session: Option<SessionId>,
}

/// Result of reading or watching a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyRead {
    /// The value, or `None` if the key does not exist.
    pub value: Option<StoredValue>,
    /// Index to pass to the next watch.
    pub watch_index: ModifyIndex,
}

/// Condition under which a key is written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PutCondition {
    /// The key does not exist.
    Absent,
    /// The key was last changed at this index.
    Unchanged(ModifyIndex),
    /// No condition.
    Always,
}

/// Result of a conditional write that the platform has processed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PutOutcome {
    /// The value was written.
    Written,
    /// The condition does not hold, or another session holds the key.
    ConditionFailed,
}

/// Result of renewing a session.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RenewOutcome {
    /// The session is valid for another TTL.
    Renewed,
    /// The session has expired; its keys are released or deleted.
    Expired,
}

/// What the platform does with the keys of an expired session.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ExpiryBehavior {
    /// Deletes the keys.
    #[default]
    Delete,
    /// Keeps the keys and releases them.
    Release,
}

/// Whether a member of a service may receive new requests.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub enum MemberState {
    /// The member serves.
    #[default]
    Live,
    /// The member is leaving, or it or its node is in maintenance.
    Leaving,
}

/// One member of a service in the platform's list, which can lag behind the actual state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceMember {
    /// Identifier of the service instance.
    pub id: String,
    /// Address on which it accepts requests.
    pub address: SocketAddr,
    /// Availability zone, from the key `zone` of its metadata.
    pub zone: Option<ZoneName>,
    /// Whether the member is leaving.
    pub state: MemberState,
    /// Whether no health check is critical; the checks for maintenance are ignored.
    pub healthy: bool,
    /// All metadata of the service instance.
    pub meta: BTreeMap<String, String>,
}

/// Members of a service, ordered by identifier.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ServiceList {
    /// Members with a usable address.
    pub members: Vec<ServiceMember>,
    /// Index to pass to the next watch.
    pub watch_index: ModifyIndex,
}

/// Entry of a proxy instance in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InstanceRegistration {
    /// Name of the service under which the instances are listed.
    pub service: String,
    /// Identifier of the instance.
    pub instance: InstanceId,
    /// Address for messages between instances.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Whether the instance is leaving.
    pub state: MemberState,
}
