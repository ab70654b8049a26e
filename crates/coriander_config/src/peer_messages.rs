//! Messages by which instances confirm versions to each other.

use std::time::Duration;

use coriander_core::{ConfigVersion, InstanceId, MonotonicTime};
use serde::{Deserialize, Serialize};

/// Asks an instance which version it has applied.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfirmVersion {
    /// Incarnation of the asking process.
    pub requester: Incarnation,
    /// Time at which the request was sent, on the clock of the asking process.
    pub sent: Duration,
    /// Version of the asking instance, from which the asked one may fetch it.
    pub version: ConfigVersion,
}

impl ConfirmVersion {
    /// Returns the send time on the clock of the asking process.
    pub const fn sent_at(&self) -> MonotonicTime {
        MonotonicTime::new(self.sent)
    }
}

/// Answer to [`ConfirmVersion`].
///
/// It repeats the request. The asking instance counts the answer from the time at which it sent
/// the request, so a delay in either direction makes the confirmation older, never younger.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionConfirmed {
    /// The request.
    pub request: ConfirmVersion,
    /// Answering instance.
    pub instance: InstanceId,
    /// Incarnation of the answering process.
    pub incarnation: Incarnation,
    /// Version that the answering instance has applied.
    pub version: ConfigVersion,
    /// Whether the answering instance counts as confirming.
    pub loaded: bool,
    /// Time since `version` was confirmed as current, if that is within the freshness period.
    pub age: Option<Duration>,
    /// Whether the answering instance reached the platform within the freshness period.
    pub has_recent_platform_read: bool,
}

/// Random number of one process, drawn at its start.
///
/// It tells a restarted process, which has forgotten what it applied, from its predecessor.
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
