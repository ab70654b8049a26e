//! Messages by which instances report their state to each other.

use std::time::Duration;

use coriander_core::{ConfigVersion, InstanceId, ZoneName};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// Most notices in one message; keeps a heartbeat under the datagram bound of 1,200 bytes.
pub(crate) const MAX_NOTICES: usize = 8;

/// What an instance says about itself.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub enum InstanceState {
    /// Takes new work.
    #[default]
    Serving,
    /// Finishes its work and takes no new work.
    Draining,
    /// Has finished its work.
    Stopped,
}

/// State of a third instance, passed on by an instance that observed it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerNotice {
    /// Instance that the notice is about.
    pub instance: InstanceId,
    /// Sequence of the last heartbeat on which the notice rests.
    pub sequence: u64,
    /// State in that heartbeat.
    pub state: InstanceState,
    /// Whether no later heartbeat came within the timeout.
    pub silent: bool,
}

/// Status of the own instance that goes into its messages.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OwnStatus {
    /// Version of the fleet section in force.
    pub fleet_version: u64,
    /// Version of the configuration in force.
    pub config_version: ConfigVersion,
    /// Time since the version was confirmed as current, if it ever was.
    pub confirmed_age: Option<Duration>,
    /// Drain state.
    pub state: InstanceState,
}

/// Periodic report of an instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Sender.
    pub instance: InstanceId,
    /// Availability zone of the sender.
    pub zone: ZoneName,
    /// Number of the heartbeat, raised with each round.
    pub sequence: u64,
    /// Version of the fleet section that the sender has applied.
    pub fleet_version: u64,
    /// Version of the configuration that the sender has applied.
    pub config_version: ConfigVersion,
    /// Time since the sender confirmed its version as current.
    pub confirmed_age: Option<Duration>,
    /// Drain state of the sender.
    pub state: InstanceState,
    /// Sender's clock, returned in the acknowledgement to measure the delay.
    pub sent: Duration,
    /// Recent changes of other instances.
    pub notices: SmallVec<[PeerNotice; 2]>,
}

/// Reply to a heartbeat.
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
