//! What one instance tells another of the store: the parts that have changed.

use std::hash::{DefaultHasher, Hasher};
use std::sync::Arc;
use std::time::Duration;

use coriander_sessions::{ControlSnapshot, FleetConfig, InstanceEntry, MemberEntry};
use serde::{Deserialize, Serialize};

/// Digests of the parts of a snapshot, by which an instance tells which of them it has.
///
/// ```
/// use coriander_service::SnapshotDigest;
/// use coriander_sessions::ControlSnapshot;
///
/// let mut snapshot = ControlSnapshot::default();
/// let before = SnapshotDigest::of(&snapshot);
/// snapshot.revision = 7;
/// assert_eq!(SnapshotDigest::of(&snapshot), before);
/// snapshot.zones_out.push("berrechid".into());
/// assert_ne!(SnapshotDigest::of(&snapshot), before);
/// ```
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotDigest {
    /// Version of the configuration; 0 if there is none.
    pub config_version: u64,
    members: u64,
    instances: u64,
    rest: u64,
}

impl SnapshotDigest {
    /// Computes the digests of a snapshot. Revisions alone make no difference: members write
    /// their entries all the time.
    pub fn of(snapshot: &ControlSnapshot) -> Self {
        let mut members = snapshot.members.clone();
        for member in &mut members {
            member.revision = 0;
        }
        Self {
            config_version: snapshot.config.as_ref().map_or(0, |config| config.version),
            members: digest(&members),
            instances: digest(&snapshot.instances),
            rest: digest(&rest_of(snapshot)),
        }
    }

    /// Tells whether the instances are the same as those of another snapshot.
    pub const fn same_instances(&self, other: &Self) -> bool {
        self.instances == other.instances
    }

    /// Tells whether the members are the same as those of another snapshot.
    pub const fn same_members(&self, other: &Self) -> bool {
        self.members == other.members
    }
}

fn digest(value: &impl Serialize) -> u64 {
    let mut hasher = DefaultHasher::new();
    match postcard::to_stdvec(value) {
        Ok(bytes) => hasher.write(&bytes),
        // No digest equals another part's then, so the part is sent.
        Err(error) => {
            log::error!(error:% = error; "snapshot not encoded");
            return rand::random();
        }
    }
    hasher.finish()
}

/// The small parts of a snapshot, which are sent together.
fn rest_of(snapshot: &ControlSnapshot) -> ControlSnapshot {
    ControlSnapshot {
        revision: 0,
        config: None,
        members: Vec::new(),
        instances: Vec::new(),
        zones_out: snapshot.zones_out.clone(),
        fleet_secret: snapshot.fleet_secret.clone(),
        duty: snapshot.duty.clone(),
        primaries: snapshot.primaries.clone(),
        term_starts: snapshot.term_starts.clone(),
    }
}

/// What an instance knows of the store. Parts that the asking instance has are left out.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct StoreNews {
    /// Time since the read of the store was sent; `None` if there was none.
    pub age: Option<Duration>,
    /// Revision of the store.
    pub revision: u64,
    /// Configuration.
    pub config: Option<Arc<FleetConfig>>,
    /// Members.
    pub members: Option<Vec<MemberEntry>>,
    /// Instances.
    pub instances: Option<Vec<InstanceEntry>>,
    /// All other parts.
    pub rest: Option<Box<ControlSnapshot>>,
}

impl StoreNews {
    /// Returns what has changed between what the asking instance knows and a snapshot.
    pub fn since(
        known: &SnapshotDigest,
        snapshot: &ControlSnapshot,
        digest: &SnapshotDigest,
        age: Duration,
    ) -> Self {
        let is_new = |known: u64, current: u64| known != current;
        let config = snapshot.config.clone();
        Self {
            age: Some(age),
            revision: snapshot.revision,
            config: config.filter(|config| config.version != known.config_version),
            members: is_new(known.members, digest.members).then(|| snapshot.members.clone()),
            instances: is_new(known.instances, digest.instances)
                .then(|| snapshot.instances.clone()),
            rest: is_new(known.rest, digest.rest).then(|| Box::new(rest_of(snapshot))),
        }
    }

    /// Completes the news with what the asking instance knows.
    pub fn complete(self, known: &ControlSnapshot) -> ControlSnapshot {
        let rest = self.rest.map_or_else(|| rest_of(known), |rest| *rest);
        ControlSnapshot {
            revision: self.revision,
            config: self.config.or_else(|| known.config.clone()),
            members: self.members.unwrap_or_else(|| known.members.clone()),
            instances: self.instances.unwrap_or_else(|| known.instances.clone()),
            ..rest
        }
    }
}
