//! Differences between successive versions, for instances that lag by a few versions.

use std::collections::{BTreeMap, BTreeSet};

use coriander_core::{
    AccountLimits, AccountName, ClassName, ClassTarget, ConfigDocument, ConfigVersion,
    DatabaseName, FleetMember, InstanceId, KeyDigest, KeyEntry, ZoneName, ZoneState,
};
use serde::{Deserialize, Serialize};

use crate::config_section::encode_section;
use crate::{ConfigRoot, SectionError, SectionName, SectionRef};

/// Entries of a map that were set or removed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(bound(deserialize = "K: Deserialize<'de> + Ord, V: Deserialize<'de>"))]
pub struct MapDelta<K: Ord, V> {
    /// New and changed entries.
    pub set: BTreeMap<K, V>,
    /// Removed entries.
    pub removed: Vec<K>,
}

impl<K: Clone + Ord, V: Clone + PartialEq> MapDelta<K, V> {
    /// Compares two maps.
    pub fn between(old: &BTreeMap<K, V>, new: &BTreeMap<K, V>) -> Self {
        let changed = new
            .iter()
            .filter(|(key, value)| old.get(key) != Some(value));
        let removed = old.keys().filter(|key| !new.contains_key(key));
        Self {
            set: changed
                .map(|(key, value)| (key.clone(), value.clone()))
                .collect(),
            removed: removed.cloned().collect(),
        }
    }

    /// Returns whether the maps are equal.
    pub fn is_empty(&self) -> bool {
        self.set.is_empty() && self.removed.is_empty()
    }

    fn apply(&self, map: &mut BTreeMap<K, V>) {
        for key in &self.removed {
            map.remove(key);
        }
        let set = self.set.iter();
        map.extend(set.map(|(key, value)| (key.clone(), value.clone())));
    }
}

/// The difference between two versions, with the root of the later one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigDelta {
    /// Version to which the delta applies.
    pub from: ConfigVersion,
    /// Root of the resulting version.
    pub root: ConfigRoot,
    /// Classes.
    pub classes: MapDelta<ClassName, ClassTarget>,
    /// Client accounts.
    pub accounts: MapDelta<AccountName, AccountLimits>,
    /// Keys.
    pub keys: MapDelta<KeyDigest, KeyEntry>,
    /// Availability zones.
    pub zones: MapDelta<ZoneName, ZoneState>,
    /// Database groups.
    pub databases: MapDelta<DatabaseName, ()>,
    /// Fleet.
    pub fleet: MapDelta<InstanceId, FleetMember>,
}

impl ConfigDelta {
    /// Compares two documents.
    pub fn between(old: &ConfigDocument, new: &ConfigDocument, root: &ConfigRoot) -> Self {
        Self {
            from: old.version,
            root: root.clone(),
            classes: MapDelta::between(&old.classes, &new.classes),
            accounts: MapDelta::between(&old.accounts, &new.accounts),
            keys: MapDelta::between(&old.keys, &new.keys),
            zones: MapDelta::between(&old.zones, &new.zones),
            databases: MapDelta::between(&name_map(old), &name_map(new)),
            fleet: MapDelta::between(&old.fleet, &new.fleet),
        }
    }

    /// Applies the delta and checks the digests of the sections that it changed.
    pub fn apply(&self, base: &ConfigDocument) -> Result<ConfigDocument, SectionError> {
        if base.version != self.from {
            return Err(SectionError::BaseMismatch {
                from: self.from,
                applied: base.version,
            });
        }
        let mut document = base.clone();
        self.classes.apply(&mut document.classes);
        self.accounts.apply(&mut document.accounts);
        self.keys.apply(&mut document.keys);
        self.zones.apply(&mut document.zones);
        self.fleet.apply(&mut document.fleet);
        let mut databases = name_map(base);
        self.databases.apply(&mut databases);
        document.databases = databases.into_keys().collect();
        document.version = self.root.version;
        document.author = self.root.author.clone();
        document.change_id = self.root.change_id.clone();
        document.fleet_version = self.root.fleet_version;
        for name in self.changed_sections() {
            let bytes = encode_section(&document, name)?;
            let digest = SectionRef::new(&bytes, "").digest;
            if digest != self.root.sections.get(name).digest {
                return Err(SectionError::DigestMismatch { name });
            }
        }
        Ok(document)
    }

    /// Returns the sections that differ.
    pub fn changed_sections(&self) -> BTreeSet<SectionName> {
        let sections = [
            (SectionName::Classes, self.classes.is_empty()),
            (SectionName::Accounts, self.accounts.is_empty()),
            (SectionName::Keys, self.keys.is_empty()),
            (SectionName::Zones, self.zones.is_empty()),
            (SectionName::Databases, self.databases.is_empty()),
            (SectionName::Fleet, self.fleet.is_empty()),
        ];
        let changed = sections.into_iter().filter(|(_, is_empty)| !is_empty);
        changed.map(|(name, _)| name).collect()
    }
}

fn name_map(document: &ConfigDocument) -> BTreeMap<DatabaseName, ()> {
    document
        .databases
        .iter()
        .map(|name| (name.clone(), ()))
        .collect()
}
