//! Messages by which instances confirm versions to each other.

use std::time::Duration;

use coriander_core::{ConfigVersion, InstanceId, MonotonicTime};
use serde::{Deserialize, Serialize};

/// Request for the version that an instance has applied.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfirmVersion {
    /// Incarnation of the requesting process.
    pub requester: Incarnation,
    /// Time at which the request was sent, on the clock of the requesting process.
    pub sent: Duration,
    /// Version of the requesting instance; the recipient may fetch it from there.
    pub version: ConfigVersion,
}

impl ConfirmVersion {
    /// Returns the send time on the clock of the requesting process.
    pub const fn sent_at(&self) -> MonotonicTime {
        MonotonicTime::new(self.sent)
    }
}

/// Reply to [`ConfirmVersion`].
///
/// It repeats the request. For the requesting instance the confirmation has the time at which the
/// request was sent, so a delay in either direction makes it older, never younger.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionConfirmed {
    /// The request.
    pub request: ConfirmVersion,
    /// Replying instance.
    pub instance: InstanceId,
    /// Incarnation of the replying process.
    pub incarnation: Incarnation,
    /// Version that the replying instance has applied.
    pub version: ConfigVersion,
    /// Whether replies of the instance count as confirmations.
    pub loaded: bool,
    /// Time since `version` was confirmed as current, if that is within the freshness period.
    pub age: Option<Duration>,
    /// Whether the instance read the root from the platform within the freshness period.
    pub has_recent_platform_read: bool,
}

/// Random number of one process, drawn at its start.
///
/// It distinguishes a restarted process, which has lost its applied version, from the previous one.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Incarnation(u64);

impl Incarnation {
    /// Creates an incarnation from a random number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number.
    pub const fn get(self) -> u64 {
        self.0
    }
}
