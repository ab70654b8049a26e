//! The applied configuration of one instance.

use std::collections::VecDeque;
use std::rc::Rc;

use coriander_core::{
    AccountName, ClassName, ConfigDocument, ConfigVersion, DatabaseName, InstanceId, KeyDigest,
    ZoneName, ZoneState,
};
use serde::{Deserialize, Serialize};

use crate::config_section::{assemble_document, encode_section, sections_to_fetch};
use crate::{ConfigDelta, ConfigRoot, EncodedSection, SectionError, SectionRefs};

/// Deltas that are kept for instances with an older version. At one change every 13 s these cover
/// more than 3 minutes.
const MAX_DELTAS: usize = 16;

/// Size up to which deltas are sent without a comparison with the encoded sections.
const SMALL_DELTA_BYTES: usize = 16 * 1024;

/// A difference between two applied versions.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigChange {
    /// Classes were added, changed or removed.
    ClassesChanged(Vec<ClassName>),
    /// Accounts were added or their limits changed.
    AccountsChanged(Vec<AccountName>),
    /// Accounts were removed.
    AccountsRemoved(Vec<AccountName>),
    /// Keys became valid.
    KeysGiven(Vec<KeyDigest>),
    /// Keys became invalid; their pending requests and open transactions must end.
    KeysWithdrawn(Vec<KeyDigest>),
    /// Zones were taken out of service or returned to it.
    ZonesChanged(Vec<(ZoneName, ZoneState)>),
    /// Databases were added.
    DatabasesAdded(Vec<DatabaseName>),
    /// Databases were removed.
    DatabasesRemoved(Vec<DatabaseName>),
    /// The fleet or the properties of its members changed.
    FleetChanged {
        /// Instances that joined or whose entry changed.
        set: Vec<InstanceId>,
        /// Instances that left.
        removed: Vec<InstanceId>,
    },
}

/// Request for a newer configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FetchConfig {
    /// Version that the requesting instance has applied.
    pub version: ConfigVersion,
    /// Sections that the requesting instance has applied.
    pub sections: Option<SectionRefs>,
}

/// Reply to [`FetchConfig`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ConfigBundle {
    /// The replying instance has no newer version.
    Current,
    /// Successive deltas from the version of the requesting instance.
    Deltas(Vec<ConfigDelta>),
    /// The sections that differ.
    Sections {
        /// Root of the newer version.
        root: Box<ConfigRoot>,
        /// Sections that the requesting instance does not have.
        sections: Vec<EncodedSection>,
    },
}

/// Applied document and the last deltas; the version never decreases.
///
/// ```
/// use coriander_config::ConfigState;
///
/// let state = ConfigState::default();
/// assert_eq!(state.version().get(), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ConfigState {
    document: Rc<ConfigDocument>,
    root: Option<Rc<ConfigRoot>>,
    deltas: VecDeque<ConfigDelta>,
}

impl ConfigState {
    /// Returns the applied version; 0 before the first one.
    pub fn version(&self) -> ConfigVersion {
        self.document.version
    }

    /// Returns the applied document.
    pub fn document(&self) -> &Rc<ConfigDocument> {
        &self.document
    }

    /// Returns the applied root.
    pub fn root(&self) -> Option<&Rc<ConfigRoot>> {
        self.root.as_ref()
    }

    /// Returns the applied root with its document.
    pub fn applied(&self) -> Option<(&ConfigRoot, &ConfigDocument)> {
        Some((self.root.as_deref()?, &self.document))
    }

    /// Assembles and applies the document of a root that was read from the platform.
    pub fn apply_sections(
        &mut self,
        root: &ConfigRoot,
        fetched: &[EncodedSection],
    ) -> Result<Vec<ConfigChange>, SectionError> {
        if root.version <= self.version() {
            return Ok(Vec::new());
        }
        let document = assemble_document(self.applied(), root, fetched)?;
        Ok(self.apply(root.clone(), document))
    }

    /// Applies a reply of another instance.
    pub fn apply_bundle(
        &mut self,
        bundle: &ConfigBundle,
    ) -> Result<Vec<ConfigChange>, SectionError> {
        match bundle {
            ConfigBundle::Current => Ok(Vec::new()),
            ConfigBundle::Sections { root, sections } => self.apply_sections(root, sections),
            ConfigBundle::Deltas(deltas) => {
                let first = self.version();
                let mut document = (*self.document).clone();
                // A late or duplicate reply repeats deltas before the applied version.
                for delta in deltas.iter().filter(|delta| delta.root.version > first) {
                    document = delta.apply(&document)?;
                }
                match deltas.last() {
                    Some(last) if last.root.version > first => {
                        Ok(self.apply(last.root.clone(), document))
                    }
                    _ => Ok(Vec::new()),
                }
            }
        }
    }

    /// Applies a document if it is newer, and returns what changed.
    ///
    /// A document of the applied or a lower version is ignored.
    pub fn apply(&mut self, root: ConfigRoot, document: ConfigDocument) -> Vec<ConfigChange> {
        if root.version <= self.version() || document.version != root.version {
            return Vec::new();
        }
        let delta = ConfigDelta::between(&self.document, &document, &root);
        let changes = list_changes(&delta, &self.document);
        self.document = Rc::new(document);
        self.root = Some(Rc::new(root));
        if let Some(previous) = self.deltas.back_mut() {
            // Only the root of the last delta of a reply is applied as a whole.
            previous.root.recent.clear();
        }
        self.deltas.push_back(delta);
        if self.deltas.len() > MAX_DELTAS {
            self.deltas.pop_front();
        }
        changes
    }

    /// Creates the request for a newer configuration.
    pub fn fetch_request(&self) -> FetchConfig {
        FetchConfig {
            version: self.version(),
            sections: self.root.as_ref().map(|root| root.sections.clone()),
        }
    }

    /// Returns the reply to a request for a newer configuration, with the smaller of deltas and
    /// sections.
    pub fn reply_to_fetch(&self, request: &FetchConfig) -> Result<ConfigBundle, SectionError> {
        let version = request.version;
        let Some(root) = self.root.as_deref().filter(|root| root.version > version) else {
            return Ok(ConfigBundle::Current);
        };
        let deltas = self.deltas_since(version);
        let delta_bytes = encoded_size(&deltas)?;
        if !deltas.is_empty() && delta_bytes <= SMALL_DELTA_BYTES {
            return Ok(ConfigBundle::Deltas(deltas));
        }
        let mut sections = Vec::new();
        for name in sections_to_fetch(request.sections.as_ref(), root) {
            let bytes = encode_section(&self.document, name)?;
            sections.push(EncodedSection { name, bytes });
        }
        let section_bytes: usize = sections.iter().map(|section| section.bytes.len()).sum();
        if !deltas.is_empty() && delta_bytes < section_bytes {
            return Ok(ConfigBundle::Deltas(deltas));
        }
        let root = Box::new(root.clone());
        Ok(ConfigBundle::Sections { root, sections })
    }

    /// Returns the deltas from a version to the applied one, or none if the first was dropped.
    fn deltas_since(&self, version: ConfigVersion) -> Vec<ConfigDelta> {
        let start = self.deltas.iter().position(|delta| delta.from == version);
        let start = start.unwrap_or(self.deltas.len());
        self.deltas.iter().skip(start).cloned().collect()
    }
}

fn encoded_size<T: Serialize>(value: &T) -> Result<usize, SectionError> {
    let bytes = serde_json::to_vec(value);
    let bytes = bytes.map_err(|error| SectionError::Encode(error.to_string()))?;
    Ok(bytes.len())
}

fn list_changes(delta: &ConfigDelta, old: &ConfigDocument) -> Vec<ConfigChange> {
    let mut changes = Vec::new();
    let mut push = |is_empty: bool, change: ConfigChange| {
        if !is_empty {
            changes.push(change);
        }
    };
    let classes = delta.classes.set.keys().chain(&delta.classes.removed);
    let classes = ConfigChange::ClassesChanged(classes.cloned().collect());
    push(delta.classes.is_empty(), classes);
    let accounts: Vec<_> = delta.accounts.set.keys().cloned().collect();
    push(accounts.is_empty(), ConfigChange::AccountsChanged(accounts));
    let removed = delta.accounts.removed.clone();
    push(removed.is_empty(), ConfigChange::AccountsRemoved(removed));
    // A key that moves to another account is withdrawn from the first one.
    let moved = delta
        .keys
        .set
        .keys()
        .filter(|key| old.keys.contains_key(key));
    let withdrawn: Vec<_> = delta.keys.removed.iter().chain(moved).copied().collect();
    push(withdrawn.is_empty(), ConfigChange::KeysWithdrawn(withdrawn));
    let given: Vec<_> = delta.keys.set.keys().copied().collect();
    push(given.is_empty(), ConfigChange::KeysGiven(given));
    let listed = delta
        .zones
        .set
        .iter()
        .map(|(zone, state)| (zone.clone(), *state));
    let unlisted = delta.zones.removed.iter();
    // A zone that is no longer listed is in service.
    let unlisted = unlisted.map(|zone| (zone.clone(), ZoneState::In));
    let zones: Vec<_> = listed.chain(unlisted).collect();
    push(zones.is_empty(), ConfigChange::ZonesChanged(zones));
    let added: Vec<_> = delta.databases.set.keys().cloned().collect();
    push(added.is_empty(), ConfigChange::DatabasesAdded(added));
    let removed = delta.databases.removed.clone();
    push(removed.is_empty(), ConfigChange::DatabasesRemoved(removed));
    let fleet = ConfigChange::FleetChanged {
        set: delta.fleet.set.keys().cloned().collect(),
        removed: delta.fleet.removed.clone(),
    };
    push(delta.fleet.is_empty(), fleet);
    changes
}
