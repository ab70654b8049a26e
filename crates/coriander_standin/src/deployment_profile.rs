//! Profiles of the two current deployments: zones, limits, classes and client accounts.

use std::collections::BTreeMap;
use std::time::Duration;

use coriander_core::{
    AccountLimits, ClassTarget, ConfigDocument, KeyDigest, KeyEntry, NameError, WriteCertainty,
    ZoneState,
};
use sha2::{Digest, Sha256};
use thiserror::Error;

/// Client accounts of both deployments and their rates in requests per second; three are large.
const ACCOUNTS: [(&str, u32); 8] = [
    ("account-1", 80),
    ("account-2", 60),
    ("account-3", 40),
    ("account-4", 12),
    ("account-5", 12),
    ("account-6", 8),
    ("account-7", 8),
    ("account-8", 8),
];

/// A request class and its percentage of the load.
#[derive(Clone, Debug)]
pub struct ClassProfile {
    /// Name of the class.
    pub name: &'static str,
    /// Percentage of all requests.
    pub weight: u32,
    /// Percentage of the class's requests that are reads.
    pub read_percent: u32,
    /// Maximum accepted age of the data in milliseconds.
    pub freshness_ms: u64,
    /// Latency target in milliseconds.
    pub latency_ms: u64,
    /// Additional payload of each write in bytes.
    pub payload_bytes: usize,
}

/// A client account with its rate and burst.
#[derive(Clone, Debug)]
pub struct AccountProfile {
    /// Name of the account.
    pub name: &'static str,
    /// Requests per second that the account may send.
    pub rate: u32,
    /// Maximum number of requests in one burst.
    pub burst: u32,
}

/// A deployment in its current size.
#[derive(Clone, Debug)]
pub struct DeploymentProfile {
    /// Name of the deployment.
    pub name: &'static str,
    /// Availability zones.
    pub zones: [&'static str; 3],
    /// One-way delay between zones.
    pub zone_delay: Duration,
    /// One-way delay between clients and instances.
    pub client_delay: Duration,
    /// Databases, each with one member per zone.
    pub databases: Vec<&'static str>,
    /// Maximum number of concurrent statements per member.
    pub slots: usize,
    /// Maximum number of connections per database, summed over all instances.
    pub connections: usize,
    /// Time to open a connection.
    pub open_delay: Duration,
    /// Number of instances.
    pub instances: usize,
    /// Request classes.
    pub classes: Vec<ClassProfile>,
    /// Client accounts.
    pub accounts: Vec<AccountProfile>,
}

/// Error for a name that no deployment has.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("unknown deployment {0}; expected bennani or karamanlis")]
pub struct UnknownDeployment(String);

impl std::str::FromStr for DeploymentProfile {
    type Err = UnknownDeployment;

    fn from_str(name: &str) -> Result<Self, UnknownDeployment> {
        match name {
            "bennani" => Ok(Self::bennani()),
            "karamanlis" => Ok(Self::karamanlis()),
            _ => Err(UnknownDeployment(name.to_owned())),
        }
    }
}

fn class(
    name: &'static str,
    (weight, read_percent): (u32, u32),
    (freshness_ms, latency_ms): (u64, u64),
) -> ClassProfile {
    ClassProfile {
        name,
        weight,
        read_percent,
        freshness_ms,
        latency_ms,
        payload_bytes: 0,
    }
}

fn accounts() -> Vec<AccountProfile> {
    let profile = |(name, rate)| AccountProfile {
        name,
        rate,
        burst: rate,
    };
    ACCOUNTS.into_iter().map(profile).collect()
}

impl DeploymentProfile {
    /// Returns the profile of Bennani, which keeps waste records.
    pub fn bennani() -> Self {
        Self {
            name: "bennani",
            zones: ["berrechid", "ain-sebaa", "mohammedia"],
            zone_delay: Duration::from_micros(1_500),
            client_delay: Duration::from_millis(1),
            databases: vec![
                "berrechid-records",
                "ain-sebaa-records",
                "mohammedia-records",
            ],
            slots: 3,
            connections: 20,
            open_delay: Duration::from_millis(10),
            instances: 6,
            classes: vec![
                class("collection-orders", (20, 30), (0, 500)),
                class("tracking-reads", (65, 100), (2_000, 250)),
                class("weighbridge-entries", (15, 10), (0, 400)),
            ],
            accounts: accounts(),
        }
    }

    /// Returns the profile of Karamanlis, which keeps price lists.
    pub fn karamanlis() -> Self {
        let mut promotion = class("promotion-loads", (3, 0), (0, 2_000));
        promotion.payload_bytes = 2_048;
        Self {
            name: "karamanlis",
            zones: ["piraeus", "elefsina", "acharnes"],
            zone_delay: Duration::from_millis(1),
            client_delay: Duration::from_millis(3),
            databases: vec!["piraeus-prices", "elefsina-prices", "acharnes-prices"],
            slots: 2,
            connections: 30,
            open_delay: Duration::from_millis(30),
            instances: 6,
            classes: vec![
                class("price-edits", (12, 40), (0, 500)),
                class("counter-lookups", (85, 100), (1_000, 200)),
                promotion,
            ],
            accounts: accounts(),
        }
    }

    /// Returns a deployment with one database and three instances for tests of single guarantees.
    ///
    /// ```
    /// use coriander_standin::DeploymentProfile;
    ///
    /// let profile = DeploymentProfile::small();
    /// assert_eq!((profile.databases.len(), profile.instances), (1, 3));
    /// ```
    pub fn small() -> Self {
        let account = |name, rate| AccountProfile {
            name,
            rate,
            burst: rate,
        };
        Self {
            name: "small",
            zones: ["north", "south", "west"],
            zone_delay: Duration::from_micros(500),
            client_delay: Duration::ZERO,
            databases: vec!["records"],
            slots: 4,
            connections: 20,
            open_delay: Duration::from_millis(2),
            instances: 3,
            // Long latency targets, so that a busy machine does not cause refusals.
            classes: vec![
                class("default", (50, 50), (0, 8_000)),
                class("tracking", (50, 100), (60_000, 8_000)),
                // A short target, so that requests over the rate are refused instead of queued.
                class("quick", (0, 100), (0, 300)),
            ],
            accounts: vec![
                account("account-1", 2_000),
                account("account-2", 2_000),
                account("limited", 20),
            ],
        }
    }

    /// Returns the key of an account in test fleets.
    pub fn account_key(account: &str) -> String {
        format!("test-key-of-{account}")
    }

    /// Returns the fraction of reads whose class accepts stale data.
    pub fn allowed_replica_share(&self) -> f64 {
        let reads = |class: &ClassProfile| f64::from(class.weight * class.read_percent);
        let total: f64 = self.classes.iter().map(reads).sum();
        let stale_allowed = self.classes.iter().filter(|class| class.freshness_ms > 0);
        stale_allowed.map(reads).sum::<f64>() / total
    }

    /// Returns a configuration with the classes, accounts, keys, zones and databases, but without
    /// a fleet.
    ///
    /// ```
    /// use coriander_standin::DeploymentProfile;
    ///
    /// let document = DeploymentProfile::bennani().to_document().unwrap();
    /// assert_eq!((document.accounts.len(), document.classes.len()), (8, 3));
    /// ```
    pub fn to_document(&self) -> Result<ConfigDocument, NameError> {
        let mut document = ConfigDocument {
            author: "standin".to_owned(),
            ..ConfigDocument::default()
        };
        for class in &self.classes {
            let target = ClassTarget {
                freshness: Duration::from_millis(class.freshness_ms),
                latency: Duration::from_millis(class.latency_ms),
                certainty: WriteCertainty::Majority,
            };
            document.classes.insert(class.name.parse()?, target);
        }
        for account in &self.accounts {
            let limits = AccountLimits {
                rate: account.rate,
                burst: account.burst,
            };
            document.accounts.insert(account.name.parse()?, limits);
            let digest = Sha256::digest(Self::account_key(account.name));
            let entry = KeyEntry {
                account: account.name.parse()?,
                key_id: format!("key-{}", account.name),
            };
            document.keys.insert(KeyDigest::new(digest.into()), entry);
        }
        let zones = self
            .zones
            .iter()
            .map(|zone| Ok((zone.parse()?, ZoneState::In)));
        document.zones = zones.collect::<Result<BTreeMap<_, _>, NameError>>()?;
        let databases = self.databases.iter().map(|name| name.parse());
        document.databases = databases.collect::<Result<_, _>>()?;
        Ok(document)
    }
}
