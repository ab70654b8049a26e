//! A service that uses a database group in memory, and its configuration.

#![allow(dead_code, reason = "each test file uses some items")]

pub mod fake_group;
pub mod fake_promotion_api;
pub mod fake_store;
pub mod relay_instance;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use coriander_service::{BootClock, PeerSocket, ServiceSettings, SessionService};
use coriander_service_api::{
    ClientAccount, ClientSession, ClientStatement, ControlSnapshot, DatabaseRoute, FailureCode,
    FleetConfig, GroupLimits, MemberEntry, ReadFreshness, SessionHost, SessionResponse,
    StatementKind,
};
use tokio::net::UdpSocket;

#[allow(unused_imports, reason = "each test file uses some items")]
pub use fake_group::{FakeGroup, Fault, member_entry};

pub const DATABASE: &str = "orders";
pub const GROUP: &str = "group-1";
pub const KEY: &str = "key-1";
pub const ACCOUNT: &str = "warehouse";

/// Returns a configuration with one route for [`DATABASE`].
pub fn config(version: u64, freshness: ReadFreshness) -> FleetConfig {
    let route = DatabaseRoute {
        database: DATABASE.into(),
        group: GROUP.into(),
        freshness,
        statement_timeout: Duration::from_millis(800),
        latency_target: Duration::from_millis(150),
        priority: 1,
        open_to_all: false,
    };
    let limits = GroupLimits {
        connections_per_member: 20,
        warm_up_rate: None,
        sync_replicas: 0,
    };
    let account = Arc::new(ClientAccount {
        name: ACCOUNT.into(),
        rate: None,
        burst: 0.0,
    });
    FleetConfig {
        version,
        document_bytes: 0,
        routes: [(DATABASE.into(), Arc::new(route))].into_iter().collect(),
        groups: [(GROUP.into(), limits)].into_iter().collect(),
        accounts: [(ACCOUNT.into(), account.clone())].into_iter().collect(),
        keys: [(KEY.into(), account)].into_iter().collect(),
        idle_transaction_timeout: Some(Duration::from_secs(3)),
    }
}

pub fn snapshot(config: FleetConfig, members: Vec<MemberEntry>) -> ControlSnapshot {
    ControlSnapshot {
        revision: config.version,
        config: Some(Arc::new(config)),
        members,
        ..ControlSnapshot::default()
    }
}

/// Starts a service for a group and applies a configuration.
pub async fn start(group: &Rc<FakeGroup>, freshness: ReadFreshness) -> Rc<SessionService> {
    let settings = ServiceSettings::new("instance-1", "berrechid", ([127, 0, 0, 1], 0).into())
        .with_key_lifetime(Some(Duration::from_secs(5)))
        .with_platform_fences(true);
    let service = start_with(group, settings).await;
    apply(&service, config(1, freshness), group.entries());
    service
}

pub async fn start_with(group: &Rc<FakeGroup>, settings: ServiceSettings) -> Rc<SessionService> {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("free port");
    let id = "instance-1-a".parse().expect("valid name");
    let peers = Rc::new(PeerSocket::new(socket, "instance-1".into(), id, 1));
    SessionService::new(settings, group.clone(), peers)
}

pub fn apply(service: &SessionService, config: FleetConfig, members: Vec<MemberEntry>) {
    service.apply_snapshot(&snapshot(config, members), BootClock.now());
}

pub async fn open(service: &Rc<SessionService>) -> Box<dyn ClientSession> {
    let session = service.open(DATABASE, KEY).await;
    session.unwrap_or_else(|failure| panic!("session refused: {}", failure.message()))
}

/// Runs a statement; `text` starts with one of the words of [`first_word`].
pub async fn run(session: &mut Box<dyn ClientSession>, id: &str, text: &str) -> SessionResponse {
    let kind = match text {
        "BEGIN" => StatementKind::Begin { read_only: false },
        "BEGIN READ" => StatementKind::Begin { read_only: true },
        "COMMIT" => StatementKind::Commit,
        "ROLLBACK" => StatementKind::Rollback,
        text if text.starts_with("READ") => StatementKind::Read,
        text if text.starts_with("WRITE") => StatementKind::Write,
        _ => StatementKind::Unknown,
    };
    session.execute(ClientStatement::new(id, text, kind)).await
}

pub fn code(response: &SessionResponse) -> Option<FailureCode> {
    response.result.as_ref().err().map(|failure| failure.code)
}
