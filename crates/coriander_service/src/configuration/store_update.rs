//! Updates of the store that one instance sends to another: the parts that have changed.

use std::sync::Arc;
use std::time::Duration;

use coriander_core::stable_hash;
use coriander_service_api::{ControlSnapshot, FleetConfig, InstanceEntry, MemberEntry};
use serde::{Deserialize, Serialize};

use crate::configuration::list_update::{ListHistory, ListUpdate, sorted};

/// Maximum size of a configuration in an update, in bytes as it is sent. Larger ones would saturate
/// the network link of an instance that serves twelve others; those read them from the store.
const MAX_UPDATE_CONFIG_BYTES: usize = 32 * 1024;

/// Lower bound of the size of one key, account or route as it is sent, in bytes.
const MIN_ENTRY_BYTES: usize = 16;

/// Returns the size of a configuration as it is sent. One with so many entries that it is too large
/// for an update is not encoded to find out: with 10,000 keys that takes milliseconds.
fn encoded_bytes(config: &FleetConfig) -> usize {
    let entries = config.keys.len() + config.accounts.len() + config.routes.len();
    let min_bytes = entries * MIN_ENTRY_BYTES;
    if min_bytes > MAX_UPDATE_CONFIG_BYTES {
        return min_bytes;
    }
    postcard::to_stdvec(config).map_or(usize::MAX, |bytes| bytes.len())
}

/// Instances of the fleet, as a full list or as a difference.
pub type InstanceUpdate = ListUpdate<InstanceEntry>;

/// Members, as a full list or as a difference.
pub type MemberUpdate = ListUpdate<MemberEntry>;

/// Digests of the parts of a snapshot, by which an instance states which parts it has.
///
/// ```
/// use coriander_service::SnapshotDigest;
/// use coriander_service_api::ControlSnapshot;
///
/// let mut snapshot = ControlSnapshot::default();
/// let before = SnapshotDigest::of(&snapshot);
/// snapshot.revision = 7;
/// assert_eq!(SnapshotDigest::of(&snapshot), before);
/// snapshot.evacuated_zones.push("berrechid".into());
/// assert_ne!(SnapshotDigest::of(&snapshot), before);
/// ```
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotDigest {
    /// Version of the configuration; 0 if there is none.
    pub config_version: u64,
    members: u64,
    instances: u64,
    other: u64,
}

impl SnapshotDigest {
    /// Computes the digests of a snapshot. They ignore the revisions of members, because members
    /// renew their entries continuously.
    pub fn of(snapshot: &ControlSnapshot) -> Self {
        let mut members = sorted(&snapshot.members);
        for member in &mut members {
            member.revision = 0;
        }
        Self {
            config_version: snapshot.config.as_ref().map_or(0, |config| config.version),
            members: digest(&members),
            instances: digest(&sorted(&snapshot.instances)),
            other: digest(&other_parts(snapshot)),
        }
    }

    /// Returns whether the instances equal those of another snapshot.
    pub const fn same_instances(&self, other: &Self) -> bool {
        self.instances == other.instances
    }

    /// Returns whether the members equal those of another snapshot.
    pub const fn same_members(&self, other: &Self) -> bool {
        self.members == other.members
    }
}

/// The snapshot that an instance has, as it states it in a request for an update.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct KnownSnapshot {
    /// Digests of its parts.
    pub digest: SnapshotDigest,
    /// Revision of the store; 0 if there is no snapshot.
    pub revision: u64,
}

impl KnownSnapshot {
    /// Returns whether a source with the snapshot `own` holds a request from an instance with this
    /// one. Without a newer snapshot it has nothing to send: lists of an older one, sent about six
    /// times a second to each instance that had read the store itself, were ignored there.
    pub fn waits_for(&self, own: &Self) -> bool {
        self.revision > own.revision || self.digest == own.digest
    }
}

fn digest(value: &impl Serialize) -> u64 {
    match postcard::to_stdvec(value) {
        Ok(bytes) => stable_hash(bytes),
        // A random digest matches no other one, so the part is sent.
        Err(error) => {
            log::error!(error:% = error; "encoding of a snapshot failed");
            rand::random()
        }
    }
}

/// Returns the small parts of a snapshot, which are sent together.
fn other_parts(snapshot: &ControlSnapshot) -> ControlSnapshot {
    ControlSnapshot {
        revision: 0,
        config: None,
        config_revision: 0,
        members: Vec::new(),
        instances: Vec::new(),
        evacuated_zones: snapshot.evacuated_zones.clone(),
        fleet_secret: snapshot.fleet_secret.clone(),
        duty_lease: snapshot.duty_lease.clone(),
        usage_lease: snapshot.usage_lease.clone(),
        primaries: snapshot.primaries.clone(),
        entries_left_out: snapshot.entries_left_out,
    }
}

/// Recent lists of instances and members, from which differences are computed.
#[derive(Debug, Default)]
pub struct SnapshotHistory {
    instances: ListHistory<InstanceEntry>,
    members: ListHistory<MemberEntry>,
    /// Version of the newest configuration, and its size as it is sent.
    config_bytes: Option<(u64, usize)>,
}

impl SnapshotHistory {
    /// Records the lists of a snapshot.
    pub fn record(&mut self, digest: &SnapshotDigest, snapshot: &ControlSnapshot) {
        self.instances.record(digest.instances, &snapshot.instances);
        self.members.record(digest.members, &snapshot.members);
        if let Some(config) = &snapshot.config
            && self.config_bytes.map(|(version, _)| version) != Some(config.version)
        {
            self.config_bytes = Some((config.version, encoded_bytes(config)));
        }
    }

    /// Returns the size of a configuration as it is sent. A document may be many times larger,
    /// because it has fields that the service does not use; its size counts for a configuration that
    /// is not the newest one.
    fn sent_bytes(&self, config: &FleetConfig) -> usize {
        let newest = self.config_bytes;
        let known = newest.filter(|(version, _)| *version == config.version);
        known.map_or(config.document_bytes, |(_, bytes)| bytes)
    }
}

/// The parts of a snapshot that the requesting instance lacks.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct StoreUpdate {
    /// Time since the read of the store was sent; `None` if there was none.
    pub age: Option<Duration>,
    /// Revision of the store.
    pub revision: u64,
    /// Version of the newest configuration; 0 if there is none.
    pub config_version: u64,
    /// The configuration, unless it is large or unchanged.
    pub config: Option<Arc<FleetConfig>>,
    /// Revision at which the configuration was written; 0 if it is not known.
    pub config_revision: u64,
    /// Members, if changed.
    pub members: Option<MemberUpdate>,
    /// Instances, if changed.
    pub instances: Option<InstanceUpdate>,
    /// All other parts, if changed.
    pub other: Option<Box<ControlSnapshot>>,
}

impl StoreUpdate {
    /// Returns the parts of a snapshot that an instance with the digest `known` lacks.
    pub fn since(
        known: &SnapshotDigest,
        history: &SnapshotHistory,
        snapshot: &ControlSnapshot,
        digest: &SnapshotDigest,
        age: Duration,
    ) -> Self {
        let is_new = |known: u64, current: u64| known != current;
        let config = snapshot.config.clone();
        Self {
            age: Some(age),
            revision: snapshot.revision,
            config_version: digest.config_version,
            config: config.filter(|config| {
                let is_small = history.sent_bytes(config) <= MAX_UPDATE_CONFIG_BYTES;
                config.version != known.config_version && is_small
            }),
            config_revision: snapshot.config_revision,
            members: is_new(known.members, digest.members).then(|| {
                let members = &history.members;
                members.update_since(known.members, &snapshot.members)
            }),
            instances: is_new(known.instances, digest.instances).then(|| {
                let instances = &history.instances;
                instances.update_since(known.instances, &snapshot.instances)
            }),
            other: is_new(known.other, digest.other).then(|| Box::new(other_parts(snapshot))),
        }
    }

    /// Returns the update for an instance whose snapshot is newer: only what it needs to know how
    /// far this instance is.
    pub fn older(snapshot: &ControlSnapshot, config_version: u64, age: Duration) -> Self {
        Self {
            age: Some(age),
            revision: snapshot.revision,
            config_version,
            ..Self::default()
        }
    }

    /// Returns whether the configuration differs from the known one and was left out.
    pub const fn lacks_config(&self, known_version: u64) -> bool {
        self.config_version != known_version && self.config.is_none()
    }

    /// Returns whether the requesting instance has all parts, given the version of its
    /// configuration.
    pub const fn is_unchanged(&self, known_version: u64) -> bool {
        self.config_version == known_version
            && self.config.is_none()
            && self.members.is_none()
            && self.instances.is_none()
            && self.other.is_none()
    }

    /// Returns the snapshot that results from applying the update to a known one.
    pub fn apply_to(self, known: &ControlSnapshot) -> ControlSnapshot {
        let instances = match self.instances {
            Some(update) => update.apply_to(&known.instances),
            None => known.instances.clone(),
        };
        let members = match self.members {
            Some(update) => update.apply_to(&known.members),
            None => known.members.clone(),
        };
        let other = self
            .other
            .map_or_else(|| other_parts(known), |other| *other);
        ControlSnapshot {
            revision: self.revision,
            config: self.config.or_else(|| known.config.clone()),
            config_revision: self.config_revision,
            members,
            instances,
            ..other
        }
    }
}
