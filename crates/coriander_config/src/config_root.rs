//! The root, which refers to the sections of one version.

use std::fmt;

use coriander_core::{ConfigVersion, KeyDigest};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::SectionError;

/// Key of the root in the platform.
pub const ROOT_KEY: &str = "corianderstile/root";
/// Prefix of the keys of sections in the platform.
const SECTION_PREFIX: &str = "corianderstile/sections";
/// Changes that the root lists, so that a change whose response was lost is found after later ones.
/// At 6,700 changes a day these cover about 14 minutes.
pub const MAX_RECENT_CHANGES: usize = 64;

/// Name of a section.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SectionName {
    /// Classes with their targets.
    Classes,
    /// Client accounts with their limits.
    Accounts,
    /// Valid keys.
    Keys,
    /// Availability zones.
    Zones,
    /// Database groups.
    Databases,
    /// Instances that confirm changes.
    Fleet,
}

impl SectionName {
    /// All sections.
    pub const ALL: [Self; 6] = [
        Self::Classes,
        Self::Accounts,
        Self::Keys,
        Self::Zones,
        Self::Databases,
        Self::Fleet,
    ];
}

impl fmt::Display for SectionName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Classes => "classes",
            Self::Accounts => "accounts",
            Self::Keys => "keys",
            Self::Zones => "zones",
            Self::Databases => "databases",
            Self::Fleet => "fleet",
        })
    }
}

/// Content digest of a section and the change that stored it.
///
/// The change id is part of the key in the platform. Each stored section belongs to one change,
/// so the deletion of a superseded one cannot delete equal content that a later change stored.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SectionRef {
    /// SHA-256 digest of the encoded section.
    pub digest: KeyDigest,
    /// Change that stored the section.
    pub change_id: String,
}

impl SectionRef {
    /// Creates a reference to an encoded section.
    pub fn new(encoded: &[u8], change_id: &str) -> Self {
        Self {
            digest: KeyDigest::new(Sha256::digest(encoded).into()),
            change_id: change_id.to_owned(),
        }
    }

    /// Returns the key of the section in the platform.
    pub fn platform_key(&self, name: SectionName) -> String {
        let digest = String::from(self.digest);
        format!("{SECTION_PREFIX}/{name}/{digest}.{}", self.change_id)
    }
}

/// References to all sections of one version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SectionRefs {
    /// Classes with their targets.
    pub classes: SectionRef,
    /// Client accounts with their limits.
    pub accounts: SectionRef,
    /// Valid keys.
    pub keys: SectionRef,
    /// Availability zones.
    pub zones: SectionRef,
    /// Database groups.
    pub databases: SectionRef,
    /// Instances that confirm changes.
    pub fleet: SectionRef,
}

impl SectionRefs {
    /// Returns the reference to one section.
    pub const fn get(&self, name: SectionName) -> &SectionRef {
        match name {
            SectionName::Classes => &self.classes,
            SectionName::Accounts => &self.accounts,
            SectionName::Keys => &self.keys,
            SectionName::Zones => &self.zones,
            SectionName::Databases => &self.databases,
            SectionName::Fleet => &self.fleet,
        }
    }
}

/// One of the last changes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecentChange {
    /// Version that the change produced.
    pub version: ConfigVersion,
    /// Identifier of the change.
    pub change_id: String,
    /// Who made the change.
    pub author: String,
}

/// The value under [`ROOT_KEY`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigRoot {
    /// Version.
    pub version: ConfigVersion,
    /// Who made the last change.
    pub author: String,
    /// Identifier of the last change.
    pub change_id: String,
    /// Number of changes of the fleet or the zones up to this version.
    #[serde(default)]
    pub fleet_version: u64,
    /// Sections of this version.
    pub sections: SectionRefs,
    /// Fleets of which a majority must have applied this version before it is accepted.
    ///
    /// These are the fleets of all versions since the last one that was known to be accepted when
    /// this root was written. The last two fleets are not sufficient: after an unconfirmed fleet
    /// change the next change would be confirmed by the new instances alone.
    pub fleets: Vec<SectionRef>,
    /// Last changes including this one, oldest first.
    pub recent: Vec<RecentChange>,
}

impl ConfigRoot {
    /// Encodes the root for the platform.
    pub fn encode(&self) -> Result<Vec<u8>, SectionError> {
        serde_json::to_vec(self).map_err(|error| SectionError::Encode(error.to_string()))
    }

    /// Decodes a root from the platform.
    pub fn decode(bytes: &[u8]) -> Result<Self, SectionError> {
        serde_json::from_slice(bytes).map_err(|error| SectionError::Decode(error.to_string()))
    }

    /// Returns the version that a change produced, if it is among the last changes.
    pub fn find_change(&self, change_id: &str) -> Option<ConfigVersion> {
        let found = self.recent.iter().find(|c| c.change_id == change_id);
        found.map(|change| change.version)
    }

    /// Returns the change that produced a version, if it is among the last changes.
    pub fn change_at(&self, version: ConfigVersion) -> Option<&RecentChange> {
        self.recent.iter().find(|change| change.version == version)
    }

    /// Returns whether every change after `version` is among the last changes.
    pub fn lists_changes_since(&self, version: ConfigVersion) -> bool {
        version >= self.version || self.change_at(version.next()).is_some()
    }

    /// Returns the platform keys of all sections and fleets that this root refers to.
    pub fn platform_keys(&self) -> Vec<String> {
        let sections = SectionName::ALL.map(|name| self.sections.get(name).platform_key(name));
        let fleets = self.fleets.iter();
        let fleets = fleets.map(|fleet| fleet.platform_key(SectionName::Fleet));
        let mut keys: Vec<_> = sections.into_iter().chain(fleets).collect();
        keys.sort();
        keys.dedup();
        keys
    }
}
