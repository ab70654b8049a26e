//! Implementation of [`PlatformStore`] over the Consul HTTP interface.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use ntex::SharedCfg;
use ntex::client::{Client, Connector};
use ntex::http::Method;
use ntex::io::IoConfig;
use ntex::time::Millis;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::consul_messages::{
    CatalogDeregister, CatalogRegister, HealthEntry, KvEntry, SessionCreate, SessionCreated,
};
use crate::consul_request::{ConsulReply, ConsulRequest, ConsulTransport};
use crate::{
    CallPacer, ExpiryBehavior, InstanceRegistration, KeyRead, ModifyIndex, PacerSettings,
    PlatformError, PlatformStore, PutCondition, PutOutcome, RenewOutcome, ServiceList, SessionId,
};

/// Maximum time to open a connection.
const CONNECT_TIMEOUT: Millis = Millis(500);
/// Maximum number of open connections; each waiting watch uses one.
const MAX_CONNECTIONS: usize = 256;

/// Settings of a [`ConsulStore`].
#[derive(Clone, Debug)]
pub struct ConsulBuilder {
    addresses: Vec<SocketAddr>,
    pacer: PacerSettings,
    call_timeout: Duration,
    permit_timeout: Duration,
}

impl ConsulBuilder {
    /// Adds the address of an agent that is used if calls to the others fail.
    #[must_use]
    pub fn address(mut self, address: SocketAddr) -> Self {
        self.addresses.push(address);
        self
    }

    /// Sets the limits of the rate of calls.
    #[must_use]
    pub fn pacer(mut self, settings: PacerSettings) -> Self {
        self.pacer = settings;
        self
    }

    /// Sets the timeout of a call, in addition to the wait of a watch.
    #[must_use]
    pub fn call_timeout(mut self, timeout: Duration) -> Self {
        self.call_timeout = timeout;
        self
    }

    /// Sets how long a call may wait for a permit before it fails with [`PlatformError::Paced`].
    #[must_use]
    pub fn permit_timeout(mut self, timeout: Duration) -> Self {
        self.permit_timeout = timeout;
        self
    }

    /// Creates the store; opens no connection yet.
    pub async fn build(self) -> Result<ConsulStore, PlatformError> {
        let config = IoConfig::new().set_connect_timeout(CONNECT_TIMEOUT);
        let client = Client::builder()
            .connector::<()>(Connector::default().limit(MAX_CONNECTIONS))
            .disable_redirects()
            .build(SharedCfg::new("PLATFORM").add(config))
            .await
            .map_err(|error| PlatformError::NotSent {
                reason: error.to_string(),
            })?;
        Ok(ConsulStore {
            transport: ConsulTransport {
                client,
                addresses: self.addresses,
                address_index: Cell::new(0),
                pacer: RefCell::new(CallPacer::new(self.pacer)),
                started_at: Instant::now(),
                call_timeout: self.call_timeout,
                permit_timeout: self.permit_timeout,
            },
        })
    }
}

/// Client of the Consul HTTP interface.
pub struct ConsulStore {
    transport: ConsulTransport,
}

impl ConsulStore {
    /// Creates a builder with the address of an agent.
    ///
    /// ```
    /// use coriander_consul::ConsulStore;
    /// use std::time::Duration;
    ///
    /// let address = "127.0.0.1:8500".parse().expect("valid address");
    /// let builder = ConsulStore::builder(address).call_timeout(Duration::from_millis(800));
    /// ```
    pub fn builder(address: SocketAddr) -> ConsulBuilder {
        ConsulBuilder {
            addresses: vec![address],
            pacer: PacerSettings::default(),
            call_timeout: Duration::from_secs(1),
            permit_timeout: Duration::from_millis(500),
        }
    }

    async fn send_read(&self, path: String, wait: Duration) -> Result<ConsulReply, PlatformError> {
        let mut request = ConsulRequest::read(path);
        request.wait = wait;
        self.transport.call(request).await
    }

    async fn send_write(&self, path: String, body: Vec<u8>) -> Result<ConsulReply, PlatformError> {
        let request = ConsulRequest::write(Method::PUT, path, body);
        self.transport.call(request).await
    }

    async fn send_json<T: Serialize>(
        &self,
        path: &str,
        body: &T,
    ) -> Result<ConsulReply, PlatformError> {
        let body = serde_json::to_vec(body).map_err(|error| PlatformError::NotSent {
            reason: error.to_string(),
        })?;
        expect_found(self.send_write(path.to_owned(), body).await?)
    }

    async fn send_put(&self, path: String, value: &[u8]) -> Result<PutOutcome, PlatformError> {
        let reply = expect_found(self.send_write(path, value.to_vec()).await?)?;
        match reply.body.trim_ascii() {
            b"true" => Ok(PutOutcome::Written),
            b"false" => Ok(PutOutcome::ConditionFailed),
            _ => Err(PlatformError::ResponseLost {
                reason: "response to a write is neither true nor false".into(),
            }),
        }
    }

    async fn fetch_key(&self, path: String, wait: Duration) -> Result<KeyRead, PlatformError> {
        let reply = self.send_read(path, wait).await?;
        let mut read = KeyRead {
            value: None,
            watch_index: reply.index,
        };
        if reply.found {
            let entries: Vec<KvEntry> = parse_body(&reply)?;
            let value = entries.into_iter().next().map(KvEntry::into_value);
            read.value = value.transpose().map_err(malformed_response)?;
        }
        Ok(read)
    }

    async fn fetch_service(
        &self,
        path: String,
        wait: Duration,
    ) -> Result<ServiceList, PlatformError> {
        let reply = expect_found(self.send_read(path, wait).await?)?;
        let entries: Vec<HealthEntry> = parse_body(&reply)?;
        let members = entries.into_iter().filter_map(HealthEntry::into_member);
        let mut members: Vec<_> = members.collect();
        members.sort_by(|a, b| a.id.cmp(&b.id));
        Ok(ServiceList {
            members,
            watch_index: reply.index,
        })
    }
}

#[async_trait(?Send)]
impl PlatformStore for ConsulStore {
    async fn read_key(&self, key: &str) -> Result<KeyRead, PlatformError> {
        let path = format!("/v1/kv/{}?consistent", validate_name(key)?);
        self.fetch_key(path, Duration::ZERO).await
    }

    async fn watch_key(
        &self,
        key: &str,
        index: ModifyIndex,
        wait: Duration,
    ) -> Result<KeyRead, PlatformError> {
        let query = watch_query(index, wait);
        let path = format!("/v1/kv/{}?consistent&{query}", validate_name(key)?);
        self.fetch_key(path, wait).await
    }

    async fn put_key(
        &self,
        key: &str,
        value: &[u8],
        condition: PutCondition,
    ) -> Result<PutOutcome, PlatformError> {
        let query = match condition {
            PutCondition::Absent => "?cas=0".to_owned(),
            PutCondition::Unchanged(index) => format!("?cas={index}"),
            PutCondition::Always => String::new(),
        };
        self.send_put(format!("/v1/kv/{}{query}", validate_name(key)?), value)
            .await
    }

    async fn put_key_for_session(
        &self,
        key: &str,
        value: &[u8],
        session: &SessionId,
    ) -> Result<PutOutcome, PlatformError> {
        let session = validate_name(session.as_str())?;
        let path = format!("/v1/kv/{}?acquire={session}", validate_name(key)?);
        self.send_put(path, value).await
    }

    async fn delete_key(&self, key: &str) -> Result<(), PlatformError> {
        let path = format!("/v1/kv/{}", validate_name(key)?);
        let request = ConsulRequest::write(Method::DELETE, path, Vec::new());
        self.transport.call(request).await.map(drop)
    }

    async fn create_session(
        &self,
        name: &str,
        ttl: Duration,
        behavior: ExpiryBehavior,
    ) -> Result<SessionId, PlatformError> {
        let body = SessionCreate {
            name,
            ttl: format!("{}s", ttl.as_secs().max(1)),
            behavior: match behavior {
                ExpiryBehavior::Delete => "delete",
                ExpiryBehavior::Release => "release",
            },
            lock_delay: "0s",
            node_checks: [],
        };
        let reply = self.send_json("/v1/session/create", &body).await?;
        let created: SessionCreated = parse_body(&reply)?;
        Ok(SessionId::new(created.id))
    }

    async fn renew_session(&self, session: &SessionId) -> Result<RenewOutcome, PlatformError> {
        let path = format!("/v1/session/renew/{}", validate_name(session.as_str())?);
        let reply = self.send_write(path, Vec::new()).await?;
        Ok(if reply.found {
            RenewOutcome::Renewed
        } else {
            RenewOutcome::Expired
        })
    }

    async fn destroy_session(&self, session: &SessionId) -> Result<(), PlatformError> {
        let path = format!("/v1/session/destroy/{}", validate_name(session.as_str())?);
        self.send_write(path, Vec::new()).await.map(drop)
    }

    async fn list_service(&self, service: &str) -> Result<ServiceList, PlatformError> {
        let path = format!("/v1/health/service/{}", validate_name(service)?);
        self.fetch_service(path, Duration::ZERO).await
    }

    async fn watch_service(
        &self,
        service: &str,
        index: ModifyIndex,
        wait: Duration,
    ) -> Result<ServiceList, PlatformError> {
        let query = watch_query(index, wait);
        let path = format!("/v1/health/service/{}?{query}", validate_name(service)?);
        self.fetch_service(path, wait).await
    }

    async fn register_instance(
        &self,
        registration: &InstanceRegistration,
    ) -> Result<(), PlatformError> {
        let body = CatalogRegister::new(registration);
        let reply = self.send_json("/v1/catalog/register", &body).await;
        reply.map(drop)
    }

    async fn deregister_instance(
        &self,
        registration: &InstanceRegistration,
    ) -> Result<(), PlatformError> {
        let body = CatalogDeregister::new(registration);
        let reply = self.send_json("/v1/catalog/deregister", &body).await;
        reply.map(drop)
    }
}

fn watch_query(index: ModifyIndex, wait: Duration) -> String {
    format!("index={index}&wait={}ms", wait.as_millis())
}

/// Refuses names that would change the path or query of the request.
fn validate_name(name: &str) -> Result<&str, PlatformError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | '/');
    if !name.is_empty() && name.chars().all(allowed) {
        return Ok(name);
    }
    Err(PlatformError::NotSent {
        reason: format!("name {name:?} is empty or has characters that are not allowed"),
    })
}

fn expect_found(reply: ConsulReply) -> Result<ConsulReply, PlatformError> {
    if reply.found {
        return Ok(reply);
    }
    Err(PlatformError::Refused {
        status: 404,
        message: "not found".into(),
    })
}

fn parse_body<T: DeserializeOwned>(reply: &ConsulReply) -> Result<T, PlatformError> {
    serde_json::from_slice(&reply.body).map_err(malformed_response)
}

fn malformed_response(error: impl std::fmt::Display) -> PlatformError {
    PlatformError::ResponseLost {
        reason: format!("response is malformed: {error}"),
    }
}
