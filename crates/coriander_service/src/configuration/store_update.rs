//! Updates of the store that one instance sends to another: the parts that have changed.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use coriander_core::stable_hash;
use coriander_service_api::{ControlSnapshot, FleetConfig, InstanceEntry, MemberEntry};
use serde::{Deserialize, Serialize};

/// Maximum size of a configuration document in an update, in bytes. Larger ones would saturate the
/// network link of a store reader that serves all instances of its zone; those instances read them
/// from the store.
const MAX_UPDATE_CONFIG_BYTES: usize = 32 * 1024;

/// Number of recent instance lists that are kept to compute differences.
const MAX_INSTANCE_LISTS: usize = 8;

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
        let mut members = snapshot.members.clone();
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

fn sorted(instances: &[InstanceEntry]) -> Vec<InstanceEntry> {
    let mut sorted = instances.to_vec();
    sorted.sort_by(|a, b| a.id.cmp(&b.id));
    sorted
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

/// Instances of the fleet, as a full list or as a difference.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum InstanceUpdate {
    /// All instances.
    Full(Vec<InstanceEntry>),
    /// Difference from the list that the requesting instance has.
    Delta {
        /// Entries that are new or have changed.
        changed: Vec<InstanceEntry>,
        /// Instances that are no longer listed.
        removed: Vec<Arc<str>>,
    },
}

impl InstanceUpdate {
    fn between(old: &[InstanceEntry], new: &[InstanceEntry]) -> Self {
        let known: HashMap<_, _> = old.iter().map(|entry| (&entry.id, entry)).collect();
        let listed: HashSet<_> = new.iter().map(|entry| &entry.id).collect();
        let differs = |entry: &&InstanceEntry| known.get(&entry.id) != Some(entry);
        let removed = old.iter().filter(|entry| !listed.contains(&entry.id));
        Self::Delta {
            changed: new.iter().filter(differs).cloned().collect(),
            removed: removed.map(|entry| entry.id.clone()).collect(),
        }
    }

    /// Returns the full list, given the one that the requesting instance has.
    fn apply_to(self, known: &[InstanceEntry]) -> Vec<InstanceEntry> {
        let (changed, removed) = match self {
            Self::Full(instances) => return instances,
            Self::Delta { changed, removed } => (changed, removed),
        };
        let replaced = |entry: &&InstanceEntry| changed.iter().any(|new| new.id == entry.id);
        let kept = known
            .iter()
            .filter(|entry| !removed.contains(&entry.id) && !replaced(entry));
        let mut instances: Vec<_> = kept.chain(&changed).cloned().collect();
        instances.sort_by(|a, b| a.id.cmp(&b.id));
        instances
    }
}

/// Recent instance lists, from which differences are computed.
#[derive(Debug, Default)]
pub struct InstanceHistory {
    lists: VecDeque<(u64, Vec<InstanceEntry>)>,
}

impl InstanceHistory {
    /// Records the list of a snapshot.
    pub fn record(&mut self, digest: &SnapshotDigest, instances: &[InstanceEntry]) {
        let newest = self.lists.back().map(|(known, _)| *known);
        if newest == Some(digest.instances) {
            return;
        }
        self.lists.push_back((digest.instances, instances.to_vec()));
        if self.lists.len() > MAX_INSTANCE_LISTS {
            self.lists.pop_front();
        }
    }

    /// Returns the update for an instance that has the list with the digest `known`.
    fn update_since(&self, known: &SnapshotDigest, instances: &[InstanceEntry]) -> InstanceUpdate {
        let old = self
            .lists
            .iter()
            .find(|(digest, _)| *digest == known.instances);
        old.map_or_else(
            || InstanceUpdate::Full(instances.to_vec()),
            |(_, old)| InstanceUpdate::between(old, instances),
        )
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
    /// Members, if changed.
    pub members: Option<Vec<MemberEntry>>,
    /// Instances, if changed.
    pub instances: Option<InstanceUpdate>,
    /// All other parts, if changed.
    pub other: Option<Box<ControlSnapshot>>,
}

impl StoreUpdate {
    /// Returns the parts of a snapshot that an instance with the digest `known` lacks.
    pub fn since(
        known: &SnapshotDigest,
        history: &InstanceHistory,
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
                let is_small = config.document_bytes <= MAX_UPDATE_CONFIG_BYTES;
                config.version != known.config_version && is_small
            }),
            members: is_new(known.members, digest.members).then(|| snapshot.members.clone()),
            instances: is_new(known.instances, digest.instances)
                .then(|| history.update_since(known, &snapshot.instances)),
            other: is_new(known.other, digest.other).then(|| Box::new(other_parts(snapshot))),
        }
    }

    /// Returns whether the configuration differs from the known one and was left out.
    pub const fn lacks_config(&self, known_version: u64) -> bool {
        self.config_version != known_version && self.config.is_none()
    }

    /// Returns the snapshot that results from applying the update to a known one.
    pub fn apply_to(self, known: &ControlSnapshot) -> ControlSnapshot {
        let instances = match self.instances {
            Some(update) => update.apply_to(&known.instances),
            None => known.instances.clone(),
        };
        let other = self
            .other
            .map_or_else(|| other_parts(known), |other| *other);
        ControlSnapshot {
            revision: self.revision,
            config: self.config.or_else(|| known.config.clone()),
            members: self.members.unwrap_or_else(|| known.members.clone()),
            instances,
            ..other
        }
    }
}
