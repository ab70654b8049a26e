//! Differences between two versions of the configuration, sent between instances.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use coriander_service_api::{ClientAccount, DatabaseRoute, FleetConfig, GroupLimits};
use serde::{Deserialize, Serialize};

/// Number of recent versions that are kept to compute differences.
const MAX_VERSIONS: usize = 8;

/// Difference between two maps with names as keys.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct MapDelta<V> {
    /// Entries that are new or have changed.
    changed: Vec<(Arc<str>, V)>,
    /// Names that the newer map lacks.
    removed: Vec<Arc<str>>,
}

impl<V: Clone + PartialEq> MapDelta<V> {
    fn between(old: &HashMap<Arc<str>, V>, new: &HashMap<Arc<str>, V>) -> Self {
        let differs = |(name, value): &(&Arc<str>, &V)| old.get(*name) != Some(*value);
        let changed = new.iter().filter(differs);
        let removed = old.keys().filter(|name| !new.contains_key(*name));
        Self {
            changed: changed
                .map(|(name, value)| (name.clone(), value.clone()))
                .collect(),
            removed: removed.cloned().collect(),
        }
    }

    fn apply_to(&self, known: &HashMap<Arc<str>, V>) -> HashMap<Arc<str>, V> {
        let mut newer = known.clone();
        newer.retain(|name, _| !self.removed.contains(name));
        newer.extend(self.changed.iter().cloned());
        newer
    }
}

/// Difference between two versions of the configuration.
///
/// ```
/// use coriander_service::ConfigDelta;
/// use coriander_service_api::FleetConfig;
///
/// let old = FleetConfig { version: 3, ..FleetConfig::default() };
/// let new = FleetConfig { version: 5, ..FleetConfig::default() };
/// let delta = ConfigDelta::between(&old, &new);
/// assert_eq!(delta.apply_to(&old), Some(new.clone()));
/// assert_eq!(delta.apply_to(&new), None);
/// ```
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConfigDelta {
    /// Version to which the difference applies.
    base_version: u64,
    version: u64,
    document_bytes: usize,
    routes: MapDelta<Arc<DatabaseRoute>>,
    groups: MapDelta<GroupLimits>,
    accounts: MapDelta<Arc<ClientAccount>>,
    keys: MapDelta<Arc<ClientAccount>>,
    idle_transaction_timeout: Option<Duration>,
}

impl ConfigDelta {
    /// Computes the difference between two versions.
    pub fn between(old: &FleetConfig, new: &FleetConfig) -> Self {
        Self {
            base_version: old.version,
            version: new.version,
            document_bytes: new.document_bytes,
            routes: MapDelta::between(&old.routes, &new.routes),
            groups: MapDelta::between(&old.groups, &new.groups),
            accounts: MapDelta::between(&old.accounts, &new.accounts),
            keys: MapDelta::between(&old.keys, &new.keys),
            idle_transaction_timeout: new.idle_transaction_timeout,
        }
    }

    /// Returns the newer version, given the older one; `None` if the difference is for another one.
    pub fn apply_to(&self, known: &FleetConfig) -> Option<FleetConfig> {
        (known.version == self.base_version).then(|| FleetConfig {
            version: self.version,
            document_bytes: self.document_bytes,
            routes: self.routes.apply_to(&known.routes),
            groups: self.groups.apply_to(&known.groups),
            accounts: self.accounts.apply_to(&known.accounts),
            keys: self.keys.apply_to(&known.keys),
            idle_transaction_timeout: self.idle_transaction_timeout,
        })
    }
}

/// Recent versions of the configuration, from which differences are computed.
#[derive(Debug, Default)]
pub struct ConfigHistory {
    versions: VecDeque<Arc<FleetConfig>>,
    /// The last computed difference to the newest version. All instances that ask the same one need
    /// it at about the same time, and each computation compares all accounts and keys.
    last_delta: Option<ConfigDelta>,
}

impl ConfigHistory {
    /// Records the configuration of a snapshot.
    pub fn record(&mut self, config: &Arc<FleetConfig>) {
        let newest = self.versions.back().map(|newest| newest.version);
        if newest >= Some(config.version) {
            return;
        }
        self.last_delta = None;
        self.versions.push_back(config.clone());
        if self.versions.len() > MAX_VERSIONS {
            self.versions.pop_front();
        }
    }

    /// Returns the difference between a recent version and the newest one; `None` if that version
    /// is not known.
    pub fn delta_since(&mut self, version: u64) -> Option<ConfigDelta> {
        let last = self.last_delta.as_ref();
        if let Some(delta) = last.filter(|delta| delta.base_version == version) {
            return Some(delta.clone());
        }
        let mut versions = self.versions.iter();
        let old = versions.find(|config| config.version == version)?;
        let new = self.versions.back()?;
        let delta = ConfigDelta::between(old, new);
        self.last_delta = Some(delta.clone());
        Some(delta)
    }
}
