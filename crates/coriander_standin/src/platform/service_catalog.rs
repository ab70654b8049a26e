//! Registered services and their lists, which lag behind registrations.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// A registered service instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct ServiceEntry {
    /// Identifier of the service instance.
    #[serde(rename = "ID", default)]
    pub id: String,
    /// Name of the service.
    pub service: String,
    /// IP address; empty if it is that of the node.
    #[serde(default)]
    pub address: String,
    /// Port.
    #[serde(default)]
    pub port: u16,
    /// Metadata such as zone and state.
    #[serde(default)]
    pub meta: BTreeMap<String, String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct CheckBody {
    #[serde(rename = "CheckID", default)]
    check_id: String,
    #[serde(default)]
    status: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RegisterBody {
    node: String,
    #[serde(default)]
    address: String,
    service: Option<ServiceEntry>,
    check: Option<CheckBody>,
    #[serde(default)]
    checks: Vec<CheckBody>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct DeregisterBody {
    node: String,
    #[serde(rename = "ServiceID", default)]
    service_id: String,
}

#[derive(Clone)]
struct NodeService {
    node: String,
    node_address: String,
    entry: ServiceEntry,
    checks: Vec<(String, String)>,
}

enum CatalogChange {
    Register(NodeService),
    Deregister(DeregisterBody),
}

/// Catalog of services; changes are applied after a lag.
#[derive(Default)]
pub struct ServiceCatalog {
    pending_changes: VecDeque<(Instant, CatalogChange)>,
    services: BTreeMap<(String, String), NodeService>,
    change_indexes: BTreeMap<String, u64>,
    index: u64,
}

impl ServiceCatalog {
    /// Registers a service from the body of a request.
    pub fn register(&mut self, body: &[u8], due: Instant) -> serde_json::Result<()> {
        let body: RegisterBody = serde_json::from_slice(body)?;
        let Some(mut entry) = body.service else {
            return Ok(());
        };
        if entry.id.is_empty() {
            entry.id = entry.service.clone();
        }
        let checks = body.checks.into_iter().chain(body.check);
        let change = CatalogChange::Register(NodeService {
            node: body.node,
            node_address: body.address,
            entry,
            checks: checks.map(|check| (check.check_id, check.status)).collect(),
        });
        self.pending_changes.push_back((due, change));
        Ok(())
    }

    /// Removes a service, or a node with all its services.
    pub fn deregister(&mut self, body: &[u8], due: Instant) -> serde_json::Result<()> {
        let body = serde_json::from_slice(body)?;
        self.pending_changes
            .push_back((due, CatalogChange::Deregister(body)));
        Ok(())
    }

    /// Applies changes whose lag has elapsed; returns whether there was one.
    pub fn apply_due(&mut self, now: Instant) -> bool {
        let mut is_changed = false;
        while self
            .pending_changes
            .front()
            .is_some_and(|(due, _)| *due <= now)
        {
            if let Some((_, change)) = self.pending_changes.pop_front() {
                self.apply(change);
                is_changed = true;
            }
        }
        is_changed
    }

    /// Returns the time until the next change is applied.
    pub fn time_to_next_change(&self, now: Instant) -> Option<Duration> {
        let (due, _) = self.pending_changes.front()?;
        Some(due.saturating_duration_since(now))
    }

    /// Returns the index of the last change of a service's list, at least 1.
    pub fn change_index(&self, service: &str) -> u64 {
        self.change_indexes.get(service).copied().unwrap_or(1)
    }

    /// Returns the list of a service in the format of `/v1/health/service`.
    pub fn list(&self, service: &str, passing_only: bool) -> Vec<Value> {
        let is_passing = |service: &NodeService| service.checks.iter().all(|(_, s)| s == "passing");
        self.services
            .values()
            .filter(|found| found.entry.service == service)
            .filter(|found| !passing_only || is_passing(found))
            .map(|found| {
                let checks = found.checks.iter();
                let checks = checks.map(|(id, status)| json!({"CheckID": id, "Status": status}));
                json!({
                    "Node": {"Node": found.node, "Address": found.node_address},
                    "Service": found.entry,
                    "Checks": checks.collect::<Vec<_>>(),
                })
            })
            .collect()
    }

    fn apply(&mut self, change: CatalogChange) {
        match change {
            CatalogChange::Register(service) => {
                self.record_change(&service.entry.service);
                let key = (service.node.clone(), service.entry.id.clone());
                self.services.insert(key, service);
            }
            CatalogChange::Deregister(body) => {
                let is_removed = |node: &str, id: &str| {
                    node == body.node && (body.service_id.is_empty() || id == body.service_id)
                };
                let removed = self.services.iter();
                let removed = removed.filter(|((node, id), _)| is_removed(node, id));
                let names: Vec<_> = removed
                    .map(|(_, service)| service.entry.service.clone())
                    .collect();
                self.services.retain(|(node, id), _| !is_removed(node, id));
                for name in &names {
                    self.record_change(name);
                }
            }
        }
    }

    fn record_change(&mut self, service: &str) {
        self.index = self.index.max(1) + 1;
        self.change_indexes.insert(service.to_owned(), self.index);
    }
}
