//! Configuration of the fleet: routes, limits, accounts and keys.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Commits that a read of a route must reflect.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ReadFreshness {
    /// Every commit acknowledged before the read; served by the primary.
    Newest,
    /// Every commit acknowledged longer than `max_age` before the read.
    Bounded {
        /// Maximum age of the data.
        max_age: Duration,
    },
    /// Every commit of the same session, and those of `Bounded` if `max_age` is set.
    OwnWrites {
        /// Maximum age of the data.
        max_age: Option<Duration>,
    },
}

impl ReadFreshness {
    /// Returns the maximum age of the data; `None` if it is not bounded by age.
    pub const fn max_age(self) -> Option<Duration> {
        match self {
            Self::Newest => None,
            Self::Bounded { max_age } => Some(max_age),
            Self::OwnWrites { max_age } => max_age,
        }
    }
}

/// How requests for one database name are served.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DatabaseRoute {
    /// Database name in client requests.
    pub database: Arc<str>,
    /// Group of members that serves the database.
    pub group: Arc<str>,
    /// Commits that reads must reflect.
    pub freshness: ReadFreshness,
    /// Maximum duration of one statement.
    pub statement_timeout: Duration,
    /// Target duration of an operation.
    pub latency_target: Duration,
    /// Priority of waiting requests; lower values are served first.
    pub priority: u32,
    /// Whether requests are accepted without a key.
    pub open_to_all: bool,
}

/// Limits of one group of members.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GroupLimits {
    /// Connections that one member accepts from the whole fleet.
    pub connections_per_member: usize,
    /// Requests per second to a member during its warm-up; `None`: no limit.
    pub warm_up_rate: Option<f64>,
    /// Replicas that must have received a commit before it is acknowledged.
    pub sync_replicas: u32,
}

/// A client account.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClientAccount {
    /// Name; it is sent to members.
    pub name: Arc<str>,
    /// Operations per second over the whole fleet; `None`: no limit.
    pub rate: Option<f64>,
    /// Operations that may run at once above the rate.
    pub burst: f64,
}

/// One version of the configuration that operators write.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct FleetConfig {
    /// Version number; increases with each change.
    pub version: u64,
    /// Size of the configuration document in bytes.
    pub document_bytes: usize,
    /// Routes by database name.
    pub routes: HashMap<Arc<str>, Arc<DatabaseRoute>>,
    /// Limits by group.
    pub groups: HashMap<Arc<str>, GroupLimits>,
    /// Accounts by name.
    pub accounts: HashMap<Arc<str>, Arc<ClientAccount>>,
    /// Accounts by key.
    pub keys: HashMap<Arc<str>, Arc<ClientAccount>>,
    /// Idle time after which a transaction may be rolled back.
    pub idle_transaction_timeout: Option<Duration>,
}

impl FleetConfig {
    /// Returns the account to which a key belongs.
    ///
    /// ```
    /// use coriander_service_api::FleetConfig;
    ///
    /// assert!(FleetConfig::default().account_for_key("unknown").is_none());
    /// ```
    pub fn account_for_key(&self, key: &str) -> Option<&Arc<ClientAccount>> {
        self.keys.get(key)
    }
}
