//! JSON messages of the Consul HTTP interface.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};

use crate::{
    InstanceRegistration, MemberState, ModifyIndex, ServiceMember, SessionId, StoredValue,
};

/// Metadata key of the availability zone.
const ZONE_KEY: &str = "zone";
/// Metadata key of the member state.
const STATE_KEY: &str = "state";
/// Value of [`STATE_KEY`] for a leaving member.
const LEAVING_VALUE: &str = "leaving";
/// Value of [`STATE_KEY`] for a member that serves.
const LIVE_VALUE: &str = "live";
/// Check that Consul adds to a node in maintenance.
const NODE_MAINTENANCE_CHECK: &str = "_node_maintenance";
/// Prefix of the check that Consul adds to a service in maintenance.
const SERVICE_MAINTENANCE_PREFIX: &str = "_service_maintenance";

/// One element of the response to `GET /v1/kv/KEY`.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct KvEntry {
    value: Option<String>,
    modify_index: u64,
    #[serde(default)]
    session: Option<String>,
}

impl KvEntry {
    /// Decodes the value; JSON without a value stands for an empty one.
    pub fn into_value(self) -> Result<StoredValue, base64::DecodeError> {
        Ok(StoredValue {
            bytes: STANDARD.decode(self.value.unwrap_or_default())?,
            modify_index: ModifyIndex::new(self.modify_index),
            session: self.session.map(SessionId::new),
        })
    }
}

/// Body of `PUT /v1/session/create`.
#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct SessionCreate<'a> {
    pub name: &'a str,
    #[serde(rename = "TTL")]
    pub ttl: String,
    pub behavior: &'a str,
    pub lock_delay: &'a str,
    /// Empty, so that the session depends only on its TTL and not on the agent's health.
    pub node_checks: [&'a str; 0],
}

/// Response to `PUT /v1/session/create`.
#[derive(Debug, Deserialize)]
pub struct SessionCreated {
    #[serde(rename = "ID")]
    pub id: String,
}

/// One element of the response to `GET /v1/health/service/NAME`.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct HealthEntry {
    node: HealthNode,
    service: HealthService,
    #[serde(default)]
    checks: Vec<HealthCheck>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct HealthNode {
    address: String,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct HealthService {
    #[serde(rename = "ID")]
    id: String,
    #[serde(default)]
    address: String,
    port: u16,
    #[serde(default)]
    meta: Option<BTreeMap<String, String>>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct HealthCheck {
    #[serde(rename = "CheckID")]
    check_id: String,
    status: String,
}

impl HealthCheck {
    fn is_maintenance(&self) -> bool {
        self.check_id == NODE_MAINTENANCE_CHECK
            || self.check_id.starts_with(SERVICE_MAINTENANCE_PREFIX)
    }
}

impl HealthEntry {
    /// Converts the entry; `None` if its address is not an IP address.
    pub fn into_member(self) -> Option<ServiceMember> {
        // Consul leaves the service address empty if it equals the address of the node.
        let host = match self.service.address.as_str() {
            "" => &self.node.address,
            address => address,
        };
        let Ok(ip) = host.parse::<IpAddr>() else {
            log::warn!(
                "platform: ignored member={} because address={host:?} is not an IP address",
                self.service.id
            );
            return None;
        };
        let meta = self.service.meta.unwrap_or_default();
        let is_leaving = meta
            .get(STATE_KEY)
            .is_some_and(|state| state == LEAVING_VALUE);
        let in_maintenance = self.checks.iter().any(HealthCheck::is_maintenance);
        let is_critical =
            |check: &HealthCheck| check.status == "critical" && !check.is_maintenance();
        Some(ServiceMember {
            address: SocketAddr::new(ip, self.service.port),
            zone: meta.get(ZONE_KEY).and_then(|zone| zone.parse().ok()),
            state: if is_leaving || in_maintenance {
                MemberState::Leaving
            } else {
                MemberState::Live
            },
            healthy: !self.checks.iter().any(is_critical),
            id: self.service.id,
            meta,
        })
    }
}

/// Body of `PUT /v1/catalog/register`.
#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct CatalogRegister {
    node: String,
    address: String,
    service: CatalogService,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
struct CatalogService {
    #[serde(rename = "ID")]
    id: String,
    service: String,
    address: String,
    port: u16,
    meta: BTreeMap<&'static str, String>,
}

/// Body of `PUT /v1/catalog/deregister`, which removes the node with its service.
#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct CatalogDeregister {
    node: String,
}

/// Returns the node name of an instance.
///
/// Each instance is a separate catalog node, because no agent runs on its host.
fn node_name(registration: &InstanceRegistration) -> String {
    format!("{}-{}", registration.service, registration.instance)
}

impl CatalogRegister {
    pub fn new(registration: &InstanceRegistration) -> Self {
        let address = registration.address.ip().to_string();
        let state = match registration.state {
            MemberState::Live => LIVE_VALUE,
            MemberState::Leaving => LEAVING_VALUE,
        };
        Self {
            node: node_name(registration),
            address: address.clone(),
            service: CatalogService {
                id: registration.instance.to_string(),
                service: registration.service.clone(),
                address,
                port: registration.address.port(),
                meta: BTreeMap::from([
                    (ZONE_KEY, registration.zone.to_string()),
                    (STATE_KEY, state.to_owned()),
                ]),
            },
        }
    }
}

impl CatalogDeregister {
    pub fn new(registration: &InstanceRegistration) -> Self {
        Self {
            node: node_name(registration),
        }
    }
}
