//! Heartbeat messages between instances.

use std::time::Duration;

use coriander_core::{ConfigVersion, InstanceId, ZoneName};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// Maximum number of notices per message; keeps a heartbeat below the datagram limit of 1,200
/// bytes.
pub(crate) const MAX_NOTICES: usize = 8;

/// State that an instance reports for itself.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub enum InstanceState {
    /// Accepts new work.
    #[default]
    Serving,
    /// Completes its work and accepts no new work.
    Draining,
    /// Has completed its work.
    Stopped,
}

/// State of a third instance, reported by an instance that observed it or received a notice.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerNotice {
    /// Instance to which the notice refers.
    pub instance: InstanceId,
    /// Sequence of the last heartbeat on which the notice is based.
    pub sequence: u64,
    /// State in that heartbeat.
    pub state: InstanceState,
    /// Whether no later heartbeat arrived within the timeout.
    pub timed_out: bool,
}

/// Status of the own instance for its messages.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OwnStatus {
    /// Version of the applied fleet section.
    pub fleet_version: u64,
    /// Version of the applied configuration.
    pub config_version: ConfigVersion,
    /// Time since the version was confirmed as current; `None` if it never was.
    pub confirmed_age: Option<Duration>,
    /// Drain state.
    pub state: InstanceState,
}

/// Heartbeat of an instance, sent periodically.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Sender.
    pub instance: InstanceId,
    /// Availability zone of the sender.
    pub zone: ZoneName,
    /// Sequence number, increased with each round.
    pub sequence: u64,
    /// Version of the fleet section that the sender has applied.
    pub fleet_version: u64,
    /// Version of the configuration that the sender has applied.
    pub config_version: ConfigVersion,
    /// Time since the sender confirmed its version as current.
    pub confirmed_age: Option<Duration>,
    /// Drain state of the sender.
    pub state: InstanceState,
    /// Sender's clock, copied to the acknowledgement to measure the delay.
    pub sent: Duration,
    /// Recent changes of other instances.
    pub notices: SmallVec<[PeerNotice; 2]>,
}

/// Acknowledgement of a heartbeat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeartbeatAck {
    /// Instance that replies.
    pub instance: InstanceId,
    /// Sequence of the acknowledged heartbeat.
    pub sequence: u64,
    /// Clock value copied from the acknowledged heartbeat.
    pub sent: Duration,
    /// Version of the fleet section that the replying instance has applied.
    pub fleet_version: u64,
    /// Version of the configuration that the replying instance has applied.
    pub config_version: ConfigVersion,
    /// Time since the replying instance confirmed its version as current.
    pub confirmed_age: Option<Duration>,
    /// Recent changes of other instances.
    pub notices: SmallVec<[PeerNotice; 2]>,
}
