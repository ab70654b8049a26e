//! Types of the operator configuration.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{AccountName, ClassName, DatabaseName, InstanceId, ZoneName};

/// Version of the configuration; 0 means that no version has been applied.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct ConfigVersion(u64);

impl ConfigVersion {
    /// Creates a version.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the next version.
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Number of members that must store a write before it is acknowledged.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum WriteCertainty {
    /// A majority of the group, the minimum that survives the loss of the primary.
    #[default]
    Majority,
    /// All members of the group.
    All,
}

/// Service targets of a request class.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClassTarget {
    /// Maximum data age of reads; zero requires the newest data.
    pub freshness: Duration,
    /// Target response time of requests.
    pub latency: Duration,
    /// Members that must store a write before it is acknowledged.
    pub certainty: WriteCertainty,
}

impl Default for ClassTarget {
    fn default() -> Self {
        Self {
            freshness: Duration::ZERO,
            latency: Duration::from_secs(1),
            certainty: WriteCertainty::Majority,
        }
    }
}

/// Request rate and burst of a client account, summed over the fleet.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AccountLimits {
    /// Requests per second.
    pub rate: u32,
    /// Requests that may arrive at once.
    pub burst: u32,
}

/// SHA-256 digest of an API key; the key itself is never stored.
#[derive(Clone, Copy, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Creates a digest from its bytes.
    pub const fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Returns the bytes.
    pub const fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Eight hexadecimal digits identify a key in logs without disclosing the digest.
        write!(
            f,
            "KeyDigest({:02x}{:02x}{:02x}{:02x}..)",
            self.0[0], self.0[1], self.0[2], self.0[3]
        )
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> Self {
        digest.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

/// Error for a text that is not 64 hexadecimal digits.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
#[error("key digest must be 64 hexadecimal digits")]
pub struct KeyDigestError;

impl TryFrom<String> for KeyDigest {
    type Error = KeyDigestError;

    fn try_from(text: String) -> Result<Self, KeyDigestError> {
        if text.len() != 64 || !text.is_ascii() {
            return Err(KeyDigestError);
        }
        let mut bytes = [0; 32];
        for (byte, start) in bytes.iter_mut().zip((0..64).step_by(2)) {
            *byte = u8::from_str_radix(&text[start..start + 2], 16).map_err(|_| KeyDigestError)?;
        }
        Ok(Self(bytes))
    }
}

/// Configuration entry of an API key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyEntry {
    /// Account that requests with this key belong to.
    pub account: AccountName,
    /// Short public identifier, used to withdraw the key.
    pub key_id: String,
}

/// Operator setting of an availability zone.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum ZoneState {
    /// The zone is in service.
    #[default]
    In,
    /// The zone receives no new work.
    Out,
}

/// An instance that must confirm configuration changes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FleetMember {
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Address for messages between instances, over TCP and UDP.
    pub peer_address: SocketAddr,
    /// Whether operators requested that the instance drains.
    #[serde(default)]
    pub draining: bool,
}

/// One complete version of the configuration.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigDocument {
    /// Version, incremented by one with each change.
    pub version: ConfigVersion,
    /// Operator or instance that made the change.
    pub author: String,
    /// Random identifier of the change; shows after a lost reply whether the change was applied.
    pub change_id: String,
    /// Number of changes to the fleet or the zones; the owners of rate limits depend on both.
    #[serde(default)]
    pub fleet_version: u64,
    /// Request classes with their targets.
    #[serde(default)]
    pub classes: BTreeMap<ClassName, ClassTarget>,
    /// Client accounts with their limits.
    #[serde(default)]
    pub accounts: BTreeMap<AccountName, AccountLimits>,
    /// Valid API keys by digest.
    #[serde(default)]
    pub keys: BTreeMap<KeyDigest, KeyEntry>,
    /// Availability zones; a zone that is not listed is in service.
    #[serde(default)]
    pub zones: BTreeMap<ZoneName, ZoneState>,
    /// Names of the database groups.
    #[serde(default)]
    pub databases: Vec<DatabaseName>,
    /// Instances that must confirm changes.
    #[serde(default)]
    pub fleet: BTreeMap<InstanceId, FleetMember>,
}

impl ConfigDocument {
    /// Returns whether a zone is in service.
    ///
    /// ```
    /// use coriander_core::{ConfigDocument, ZoneState};
    ///
    /// let zone = "mohammedia".parse().expect("valid name");
    /// let mut document = ConfigDocument::default();
    /// assert!(document.is_zone_in(&zone));
    /// document.zones.insert(zone.clone(), ZoneState::Out);
    /// assert!(!document.is_zone_in(&zone));
    /// ```
    pub fn is_zone_in(&self, zone: &ZoneName) -> bool {
        self.zones.get(zone).copied().unwrap_or_default() == ZoneState::In
    }
}
