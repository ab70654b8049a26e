//! One version of the operators' configuration.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What a read of a route must contain.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ReadFreshness {
    /// Every commit acknowledged before the read; served by the primary.
    Newest,
    /// Every commit acknowledged longer than `max_age` before the read.
    Bounded {
        /// Greatest age of the data.
        max_age: Duration,
    },
    /// Every commit of the same session, and the bound of `Bounded` if there is one.
    OwnWrites {
        /// Greatest age of the data.
        max_age: Option<Duration>,
    },
}

impl ReadFreshness {
    /// Returns the greatest age of the data, if replicas may serve the route.
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
    /// Name that clients use.
    pub database: Arc<str>,
    /// Group of members that serves it.
    pub group: Arc<str>,
    /// What reads must contain.
    pub freshness: ReadFreshness,
    /// Longest time for one statement.
    pub statement_timeout: Duration,
    /// Time in which an operation should end.
    pub latency_target: Duration,
    /// Order of waiting requests; lower values go first.
    pub priority: u32,
    /// Whether requests need no key.
    pub open_to_all: bool,
}

/// Limits of one group of members.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GroupLimits {
    /// Connections that one member accepts from the whole fleet.
    pub connections_per_member: usize,
    /// Requests per second that a member may receive while it warms up; `None`: no limit.
    pub warm_up_rate: Option<f64>,
    /// Replicas that must hold a commit before it is acknowledged.
    pub sync_replicas: u32,
}

/// A client account.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClientAccount {
    /// Name; members learn it.
    pub name: Arc<str>,
    /// Operations per second over the whole fleet; `None`: no limit.
    pub rate: Option<f64>,
    /// Operations that may come at once.
    pub burst: f64,
}

/// Everything that operators have configured, in one version.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct FleetConfig {
    /// Version number; rises with each change.
    pub version: u64,
    /// Size of the document that holds it, in bytes.
    pub document_bytes: usize,
    /// Routes by database name.
    pub routes: HashMap<Arc<str>, Arc<DatabaseRoute>>,
    /// Limits by group.
    pub groups: HashMap<Arc<str>, GroupLimits>,
    /// Accounts by name.
    pub accounts: HashMap<Arc<str>, Arc<ClientAccount>>,
    /// Accounts by key.
    pub keys: HashMap<Arc<str>, Arc<ClientAccount>>,
    /// Time after which an unused transaction may be ended.
    pub idle_transaction_timeout: Option<Duration>,
}

impl FleetConfig {
    /// Returns the account that holds a key.
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
