//! Exchanges on home instances, over real sockets.

mod support;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use coriander_core::MonotonicTime;
use coriander_peer::{ConnectionId, PeerService, serve_peers};
use coriander_service::{BootClock, RelayReply, RelayRequest, ServicePhase};
use coriander_service_api::{
    AccessMode, ClientStatement, FailureCode, InstanceEntry, PreparedShape, ReadFreshness,
    StatementKind,
};
use tokio::net::TcpListener;

use support::relay_instance::{RelayInstance, fleet_snapshot, usage_reports};
use support::{FakeGroup, code, config, open, run, snapshot};

/// Accepts requests and never replies.
struct SilentService;

#[async_trait(?Send)]
impl PeerService<RelayRequest, RelayReply> for SilentService {
    async fn handle(&self, _: ConnectionId, _: RelayRequest, _: MonotonicTime) -> RelayReply {
        std::future::pending().await
    }

    fn count_invalid_frame(&self) {}
}

fn opened_count(instance: &RelayInstance) -> u64 {
    let groups = instance.service.groups();
    let members = groups.iter().flat_map(|group| group.members());
    members.map(|member| member.pool.opened_count()).sum()
}

#[ntex::test]
async fn statements_use_the_connections_of_the_home_instance() {
    let group = FakeGroup::new(&["a"]);
    let (remote, home_instance) = RelayInstance::start_two(&group).await;
    let mut session = open(&remote.service).await;
    let response = run(&mut session, "q1", "WRITE 1 x").await;
    assert_eq!(response.result, Ok(Some("signed-q1".into())));
    assert_eq!(
        (opened_count(&remote), opened_count(&home_instance)),
        (0, 1)
    );
}

#[ntex::test]
async fn transaction_keeps_its_connection_on_the_home_instance() {
    let group = FakeGroup::new(&["a"]);
    let (remote, home_instance) = RelayInstance::start_two(&group).await;
    let mut session = open(&remote.service).await;
    run(&mut session, "b", "BEGIN").await;
    run(&mut session, "w", "WRITE 1 x").await;
    assert_eq!(home_instance.relay.active_count(), 1);
    let response = run(&mut session, "c", "COMMIT").await;
    assert!(response.result.is_ok());
    assert_eq!(home_instance.relay.active_count(), 0);
    assert_eq!(group.member("a").applied_index.get(), 11);
}

#[ntex::test]
async fn committed_transaction_sends_nothing_after_its_last_reply() {
    // Guards against a message and its acknowledgement for each transaction that has ended anyway,
    // and against one that goes on under other names than it was opened with.
    let group = FakeGroup::new(&["a"]);
    let (remote, home_instance) = RelayInstance::start_two(&group).await;
    let mut session = open(&remote.service).await;
    let shape = PreparedShape {
        access: AccessMode::Write,
        shape: "q2c".into(),
    };
    let name: Arc<str> = "s1".into();
    let prepare = StatementKind::Prepare {
        name: name.clone(),
        shape,
    };
    let execute = StatementKind::Execute {
        name,
        arguments: "1 x".into(),
    };
    for (id, text, kind) in [
        ("p", "PREPARE s1", prepare),
        ("b", "BEGIN", StatementKind::Begin { read_only: false }),
        ("e1", "EXECUTE s1 1 x", execute.clone()),
        ("e2", "EXECUTE s1 1 x", execute),
        ("c", "COMMIT", StatementKind::Commit),
    ] {
        let statement = ClientStatement::new(id, text, kind);
        let response = session.execute(statement).await;
        assert!(response.result.is_ok(), "{id}");
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    let metrics = home_instance.service.encode_metrics();
    assert!(metrics.contains("kind=\"exchange\""), "{metrics}");
    assert!(!metrics.contains("kind=\"end_stream\""), "{metrics}");
    assert_eq!(group.member("a").applied_index.get(), 11);
    let accounts = home_instance.service.usage.as_ref();
    assert_eq!(accounts.map(|usage| usage.counted()), Some(1));
}

#[ntex::test]
async fn abandoned_transaction_is_rolled_back_on_the_home_instance() {
    let group = FakeGroup::new(&["a"]);
    let (remote, home_instance) = RelayInstance::start_two(&group).await;
    let mut session = open(&remote.service).await;
    run(&mut session, "b", "BEGIN").await;
    run(&mut session, "w", "WRITE 1 x").await;
    drop(session);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(home_instance.relay.active_count(), 0);
    assert_eq!(group.member("a").applied_index.get(), 10);
}

#[ntex::test]
async fn statement_uses_a_local_connection_without_the_home_instance() {
    let group = FakeGroup::new(&["a"]);
    let remote = RelayInstance::start("far", "ain-sebaa", usage_reports(), &group).await;
    let closed = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let address: SocketAddr = closed.local_addr().expect("bound");
    drop(closed);
    let unreachable = InstanceEntry {
        id: "home".into(),
        address,
        zone: "berrechid".into(),
        created: 1,
    };
    let snapshot = fleet_snapshot(&group, vec![remote.entry.clone(), unreachable]);
    remote.service.apply_snapshot(&snapshot, BootClock.now());
    let mut session = open(&remote.service).await;
    let response = run(&mut session, "q1", "READ 1").await;
    assert!(response.result.is_ok(), "{response:?}");
    assert_eq!(opened_count(&remote), 1);
}

#[ntex::test]
async fn write_on_a_silent_home_instance_is_in_doubt_and_not_retried() {
    // The home instance accepts the request and never replies; it may still run the write.
    let group = FakeGroup::new(&["a"]);
    let remote = RelayInstance::start("far", "ain-sebaa", usage_reports(), &group).await;
    let silent = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let address = silent.local_addr().expect("bound");
    let home_instance = InstanceEntry {
        id: "home".into(),
        address,
        zone: "berrechid".into(),
        created: 1,
    };
    let snapshot = fleet_snapshot(&group, vec![remote.entry.clone(), home_instance]);
    remote.service.apply_snapshot(&snapshot, BootClock.now());
    ntex::rt::spawn(serve_peers(
        silent,
        remote.fleet_codec(),
        Rc::new(SilentService),
    ));
    let mut session = open(&remote.service).await;
    let response = run(&mut session, "w1", "WRITE 1 x").await;
    let failure = response.result.expect_err("no reply");
    assert_eq!(failure.code, FailureCode::InDoubt);
    assert!(group.ran_statements.borrow().is_empty());
    let response = run(&mut session, "w2", "WRITE 1 x").await;
    assert!(
        response.result.is_ok(),
        "the silent home instance is no longer used: {response:?}"
    );
}

#[ntex::test]
async fn stopping_home_instance_lets_open_transactions_commit_only() {
    // Guards against statements that a home instance accepts shortly before it ends.
    let group = FakeGroup::new(&["a"]);
    let (remote, home_instance) = RelayInstance::start_two(&group).await;
    let mut going_on = open(&remote.service).await;
    let mut committing = open(&remote.service).await;
    for session in [&mut going_on, &mut committing] {
        run(session, "b", "BEGIN").await;
        run(session, "w", "WRITE 1 x").await;
    }
    home_instance.service.set_phase(ServicePhase::Finishing);
    let response = run(&mut going_on, "w2", "WRITE 2 y").await;
    assert_eq!(code(&response), Some(FailureCode::Aborted));
    let response = run(&mut committing, "c", "COMMIT").await;
    assert_eq!(code(&response), None);
    assert_eq!(group.member("a").applied_index.get(), 11);
    let mut session = open(&remote.service).await;
    let response = run(&mut session, "q", "READ 1").await;
    assert_eq!(code(&response), None, "an own connection is used");
    assert_eq!(opened_count(&remote), 1);
}

#[ntex::test]
async fn home_instance_starts_no_read_on_a_leaving_member() {
    // Guards against a relayed read that reaches a member which drains, as only the home instance
    // knows.
    let group = FakeGroup::new(&["a"]);
    let (remote, home_instance) = RelayInstance::start_two(&group).await;
    let mut entries = group.entries();
    entries[0].draining = true;
    let mut draining = snapshot(config(1, ReadFreshness::Newest), entries);
    draining.instances = vec![remote.entry.clone(), home_instance.entry.clone()];
    draining.fleet_secret = Some(Arc::from([7; 32].as_slice()));
    draining.revision += 1;
    let freshness = ReadFreshness::OwnWrites { max_age: None };
    let mut bounded = fleet_snapshot(&group, draining.instances.clone());
    bounded.config = Some(config(2, freshness).into());
    remote.service.apply_snapshot(&bounded, BootClock.now());
    home_instance
        .service
        .apply_snapshot(&draining, BootClock.now());
    let mut session = open(&remote.service).await;
    let response = run(&mut session, "q", "READ 1").await;
    assert_eq!(code(&response), Some(FailureCode::Busy));
    assert!(group.ran_texts().is_empty(), "{:?}", group.ran_texts());
}

#[ntex::test]
async fn relayed_operations_count_on_their_home_instance_only() {
    // Counted by both instances, the usage of an account would be twice the truth.
    let group = FakeGroup::new(&["a"]);
    let (remote, home_instance) = RelayInstance::start_two(&group).await;
    let counted = |instance: &RelayInstance| {
        let usage = instance.service.usage.as_ref();
        usage.expect("reports are expected").counted()
    };
    let mut session = open(&remote.service).await;
    run(&mut session, "q1", "WRITE 1 x").await;
    run(&mut session, "b", "BEGIN").await;
    run(&mut session, "w1", "WRITE 2 x").await;
    run(&mut session, "w2", "WRITE 3 x").await;
    run(&mut session, "c", "COMMIT").await;
    assert_eq!((counted(&remote), counted(&home_instance)), (0, 2));
}

/// Lets a caller of a transaction go while its first statement waits for a connection, and returns
/// what the member has run.
async fn leave_while_acquiring(
    group: &Rc<FakeGroup>,
    leave: impl FnOnce(&RelayInstance, &RelayInstance),
    opens: bool,
) -> Vec<String> {
    let (remote, home_instance) = RelayInstance::start_two(group).await;
    let member = group.member("a");
    member.handshake_time.set(Duration::from_millis(200));
    if !opens {
        member.max_connections.set(0);
    }
    let mut session = open(&remote.service).await;
    run(&mut session, "b", "BEGIN").await;
    {
        let write = run(&mut session, "w", "WRITE 1 x");
        let first = tokio::time::timeout(Duration::from_millis(50), write).await;
        assert!(first.is_err(), "the statement waits");
    }
    assert_eq!(home_instance.relay.active_count(), 1);
    leave(&remote, &home_instance);
    drop(session);
    tokio::time::sleep(Duration::from_millis(40)).await;
    assert_eq!(home_instance.relay.active_count(), 1);
    tokio::time::sleep(Duration::from_millis(900)).await;
    assert_eq!(home_instance.relay.active_count(), 0);
    assert_eq!(home_instance.relay.ended_count(), 0);
    group.ran_texts()
}

#[ntex::test]
async fn stream_that_ends_before_a_failed_connect_is_forgotten() {
    // Guards against an entry that stays for each caller that is gone when no connection opens.
    let group = FakeGroup::new(&["a"]);
    let ran = leave_while_acquiring(&group, |_, _| {}, false).await;
    assert!(ran.is_empty(), "{ran:?}");
}

#[ntex::test]
async fn statement_of_a_stream_that_ended_while_it_waited_does_not_run() {
    // Guards against statements at a member for which nobody waits.
    let group = FakeGroup::new(&["a"]);
    let ran = leave_while_acquiring(&group, |_, _| {}, true).await;
    assert!(ran.is_empty(), "{ran:?}");
}

#[ntex::test]
async fn statement_of_a_connection_that_ended_while_it_waited_does_not_run() {
    // Guards against statements, and streams, of a connection that nobody uses any more.
    let group = FakeGroup::new(&["a"]);
    let disconnect = |remote: &RelayInstance, home: &RelayInstance| {
        let relay = &remote.service.relay;
        relay.set_down(home.entry.address, BootClock.now());
    };
    let ran = leave_while_acquiring(&group, disconnect, true).await;
    assert!(ran.is_empty(), "{ran:?}");
}
