//! Exchanges on home instances, over real sockets.

mod support;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use coriander_core::MonotonicTime;
use coriander_peer::{ConnectionId, PeerService, serve_peers};
use coriander_service::{
    BootClock, KnownSnapshot, PeerSocket, RelayClient, RelayReply, RelayRequest, RelayServer,
    ServicePhase, ServiceSettings, SessionService, run_store_sync,
};
use coriander_service_api::{
    AccessMode, ClientStatement, ControlSnapshot, FailureCode, FleetContacts, InstanceEntry,
    PreparedShape, ReadFreshness, ServiceFeatures, StatementKind,
};
use coriander_wire::FrameCodec;
use tokio::net::{TcpListener, UdpSocket};

use support::fake_store::FakeStore;
use support::{FakeGroup, code, config, open, run, snapshot};

struct Instance {
    service: Rc<SessionService>,
    relay: Rc<RelayServer>,
    entry: InstanceEntry,
}

async fn start_instance(name: &str, zone: &str, group: &Rc<FakeGroup>) -> Instance {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let address = listener.local_addr().expect("bound");
    let socket = UdpSocket::bind(address).await.expect("same port is free");
    let id = format!("{name}-a").parse().expect("valid name");
    let peers = Rc::new(PeerSocket::new(socket, name.into(), id, 1));
    let features = ServiceFeatures {
        usage_reports: true,
        ..ServiceFeatures::default()
    };
    let settings = ServiceSettings::new(name, zone, address).with_features(features);
    let service = SessionService::new(settings, group.clone(), peers);
    let relay = RelayServer::new(&service);
    ntex::rt::spawn(relay.clone().run(listener, service.clone()));
    ntex::rt::spawn(RelayClient::monitor(service.clone()));
    Instance {
        service,
        relay,
        entry: InstanceEntry {
            id: name.into(),
            address,
            zone: zone.into(),
            created: 1,
        },
    }
}

fn fleet_snapshot(group: &FakeGroup, instances: Vec<InstanceEntry>) -> ControlSnapshot {
    let mut snapshot = snapshot(config(1, ReadFreshness::Newest), group.entries());
    snapshot.instances = instances;
    let secret: Arc<[u8]> = Arc::from([7; 32].as_slice());
    snapshot.fleet_secret = Some(secret);
    snapshot
}

/// Returns the codec of the fleet that an instance has joined.
fn fleet_codec(instance: &Instance) -> FrameCodec {
    let key = *instance.service.fleet_key.borrow();
    FrameCodec::new(&key.expect("the secret has been read"))
}

/// Accepts requests and never replies.
struct SilentService;

#[async_trait(?Send)]
impl PeerService<RelayRequest, RelayReply> for SilentService {
    async fn handle(&self, _: ConnectionId, _: RelayRequest, _: MonotonicTime) -> RelayReply {
        std::future::pending().await
    }

    fn count_invalid_frame(&self) {}
}

/// Starts two instances; the members are in the zone of the second one only.
async fn start_two(group: &Rc<FakeGroup>) -> (Instance, Instance) {
    let remote = start_instance("far", "ain-sebaa", group).await;
    let home_instance = start_instance("home", "berrechid", group).await;
    let entries = vec![remote.entry.clone(), home_instance.entry.clone()];
    let snapshot = fleet_snapshot(group, entries);
    for instance in [&remote, &home_instance] {
        instance.service.apply_snapshot(&snapshot, BootClock.now());
    }
    tokio::time::sleep(Duration::from_millis(20)).await;
    (remote, home_instance)
}

fn opened_count(instance: &Instance) -> u64 {
    let groups = instance.service.groups();
    let members = groups.iter().flat_map(|group| group.members());
    members.map(|member| member.pool.opened_count()).sum()
}

#[ntex::test]
async fn statements_use_the_connections_of_the_home_instance() {
    let group = FakeGroup::new(&["a"]);
    let (remote, home_instance) = start_two(&group).await;
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
    let (remote, home_instance) = start_two(&group).await;
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
    let (remote, home_instance) = start_two(&group).await;
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
    let (remote, home_instance) = start_two(&group).await;
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
    let remote = start_instance("far", "ain-sebaa", &group).await;
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
    let remote = start_instance("far", "ain-sebaa", &group).await;
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
        fleet_codec(&remote),
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
async fn store_reader_is_one_instance_of_the_zone() {
    let group = FakeGroup::new(&["a"]);
    let first = start_instance("first", "berrechid", &group).await;
    let second = start_instance("second", "berrechid", &group).await;
    let entries = vec![first.entry.clone(), second.entry.clone()];
    let snapshot = fleet_snapshot(&group, entries);
    for instance in [&first, &second] {
        instance.service.apply_snapshot(&snapshot, BootClock.now());
    }
    tokio::time::sleep(Duration::from_millis(20)).await;
    let readers = [
        first.service.update_sources(false, 0),
        second.service.update_sources(false, 0),
    ];
    let updated = readers.iter().filter(|readers| !readers.is_empty()).count();
    assert_eq!(
        updated, 1,
        "one reads the store, the other requests updates: {readers:?}"
    );
    // The store may turn away the first reader alone, which then needs the others.
    for instance in [&first, &second] {
        assert_eq!(instance.service.update_sources(true, 0).len(), 1);
    }
}

#[ntex::test]
async fn config_delta_is_sent_to_an_instance_of_an_older_version() {
    let group = FakeGroup::new(&["a"]);
    let (remote, home_instance) = start_two(&group).await;
    let mut newer = fleet_snapshot(&group, vec![remote.entry.clone()]);
    newer.config = Some(config(4, ReadFreshness::Newest).into());
    newer.revision += 1;
    let reader = &remote.service;
    reader.apply_snapshot(&newer, BootClock.now());
    let relay = &home_instance.service.relay;
    let delta = relay.request_config_delta(remote.entry.address, 1).await;
    let known = config(1, ReadFreshness::Newest);
    let version = delta.and_then(|delta| delta.apply_to(&known));
    assert_eq!(version.map(|config| config.version), Some(4));
    let delta = relay.request_config_delta(remote.entry.address, 2).await;
    assert!(delta.is_none(), "version 2 was never known");
}

#[ntex::test]
async fn store_update_omits_known_parts() {
    let group = FakeGroup::new(&["a"]);
    let (remote, _home) = start_two(&group).await;
    let known = remote.service.store_view.known();
    let update = remote
        .service
        .store_view
        .update_since(&known, BootClock.now());
    assert!(update.age.is_some());
    assert!(update.config.is_none() && update.members.is_none());
    assert!(update.instances.is_none() && update.other.is_none());
    let update = remote
        .service
        .store_view
        .update_since(&KnownSnapshot::default(), BootClock.now());
    assert!(update.config.is_some() && update.members.is_some());
}

#[ntex::test]
async fn held_update_is_sent_when_a_snapshot_is_applied() {
    // A request that is answered at once tells a change only with the next request, so that each
    // level of the tree would add the interval between two of them.
    let group = FakeGroup::new(&["a"]);
    let (remote, home) = start_two(&group).await;
    let known = remote.service.store_view.known();
    let hold = Duration::from_millis(600);
    let mut newer = (*remote.service.store_view.snapshot().expect("applied")).clone();
    newer.revision += 1;
    newer.evacuated_zones.push("berrechid".into());
    let service = remote.service.clone();
    ntex::rt::spawn(async move {
        tokio::time::sleep(Duration::from_millis(60)).await;
        service.apply_snapshot(&newer, BootClock.now());
    });
    let relay = &home.service.relay;
    let request = relay.request_update(remote.entry.address, known, hold);
    let reply = request.await.expect("replies");
    assert!(reply.update.other.is_some(), "{reply:?}");
    assert!(reply.held >= Duration::from_millis(40), "{:?}", reply.held);
    assert!(reply.held < hold, "{:?}", reply.held);
    // The sender lacks a part now, so the next request is not held.
    let request = relay.request_update(remote.entry.address, known, hold);
    let reply = request.await.expect("replies");
    assert!(reply.held < Duration::from_millis(40), "{:?}", reply.held);
}

#[ntex::test]
async fn held_update_without_news_has_the_age_of_its_reply() {
    // The sender takes the held time off the age; an age from before the hold would let it believe
    // that the store was read later than it was.
    let group = FakeGroup::new(&["a"]);
    let (remote, home) = start_two(&group).await;
    let known = remote.service.store_view.known();
    let hold = Duration::from_millis(120);
    let relay = &home.service.relay;
    let request = relay.request_update(remote.entry.address, known, hold);
    let reply = request.await.expect("replies");
    assert!(reply.update.is_unchanged(known.digest.config_version));
    assert!(
        reply.held >= hold && reply.update.age >= Some(reply.held),
        "{reply:?}"
    );
}

#[ntex::test]
async fn held_update_counts_age_and_hold_at_one_moment() {
    // A source that is paused between two reads of its clock made its read look younger, at each
    // level of the tree, so that withdrawn keys were accepted for longer.
    let group = FakeGroup::new(&["a"]);
    let (remote, _home) = start_two(&group).await;
    let known = remote.service.store_view.known();
    let arrived_at = BootClock.now();
    let made_at = arrived_at + Duration::from_millis(400);
    let update = remote.service.held_update(&known, arrived_at, made_at);
    let true_read = made_at.saturating_sub(update.update.age.expect("has read the store"));
    for delay in [0, 5, 250].map(Duration::from_millis) {
        // The request takes `delay`, the reply arrives at once.
        let sent_at = arrived_at.saturating_sub(delay);
        let read_at = update.read_time(sent_at, made_at).expect("has an age");
        assert!(
            read_at <= true_read,
            "{read_at:?} is later than {true_read:?}"
        );
    }
    // A hold longer than the whole exchange is limited by it.
    let received_at = arrived_at + Duration::from_millis(100);
    let limited = update
        .read_time(arrived_at, received_at)
        .expect("has an age");
    assert!(limited < true_read);
}

#[ntex::test]
async fn confirmed_snapshot_without_leases_frees_both_duties() {
    // A lease that ended before any snapshot contained it changes no content, so the duty counted as
    // held until something else changed.
    let group = FakeGroup::new(&["a"]);
    let (remote, _home) = start_two(&group).await;
    let service = &remote.service;
    service.promotion_duty.record_acquired(5);
    service.promotion_duty.release();
    service.usage_duty.record_acquired(6);
    service.usage_duty.release();
    assert!(!service.promotion_duty.is_free() && !service.usage_duty.is_free());
    let snapshot = service.store_view.snapshot().expect("has read the store");
    service.confirm_snapshot(snapshot.revision + 1, BootClock.now());
    assert!(service.promotion_duty.is_free() && service.usage_duty.is_free());
}

#[ntex::test]
async fn stopping_home_instance_lets_open_transactions_commit_only() {
    // Guards against statements that a home instance accepts shortly before it ends.
    let group = FakeGroup::new(&["a"]);
    let (remote, home_instance) = start_two(&group).await;
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
    let (remote, home_instance) = start_two(&group).await;
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
    let (remote, home_instance) = start_two(&group).await;
    let counted = |instance: &Instance| {
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

#[ntex::test]
async fn starting_instance_gets_a_snapshot_from_another() {
    // A fleet that starts together transferred its document, 256 KB, once for each instance, and
    // again after each kill, although the service uses a small part of it.
    let group = FakeGroup::new(&["a"]);
    let (remote, _home) = start_two(&group).await;
    let mut newer = (*remote.service.store_view.snapshot().expect("applied")).clone();
    let mut large = config(2, ReadFreshness::Newest);
    large.document_bytes = 256 << 10;
    newer.config = Some(Arc::new(large));
    newer.revision += 1;
    remote.service.apply_snapshot(&newer, BootClock.now());
    let starting = start_instance("new", "ain-sebaa", &group).await;
    let contacts = FleetContacts {
        fleet_secret: newer.fleet_secret.clone(),
        instances: vec![remote.entry.clone()],
    };
    starting.service.apply_contacts(&contacts);
    let sources = starting.service.update_sources(true, 0);
    assert!(sources.contains(&remote.entry.address), "{sources:?}");
    let relay = &starting.service.relay;
    let hold = Duration::from_millis(300);
    let request = relay.request_update(remote.entry.address, KnownSnapshot::default(), hold);
    let reply = request.await.expect("replies");
    assert!(reply.held < hold, "{:?}", reply.held);
    assert!(!reply.update.lacks_config(0), "{reply:?}");
    let snapshot = reply.update.apply_to(&ControlSnapshot::default());
    assert_eq!(snapshot.instances, newer.instances);
    // Contacts without a secret, as before the first start, leave an instance on its own.
    let alone = start_instance("alone", "ain-sebaa", &group).await;
    let contacts = FleetContacts {
        fleet_secret: None,
        ..contacts
    };
    alone.service.apply_contacts(&contacts);
    assert!(alone.service.update_sources(true, 0).is_empty());
    assert!(alone.service.update_tree().is_reader());
}

/// Lets a caller of a transaction go while its first statement waits for a connection, and returns
/// what the member has run.
async fn leave_while_acquiring(
    group: &Rc<FakeGroup>,
    leave: impl FnOnce(&Instance, &Instance),
    opens: bool,
) -> Vec<String> {
    let (remote, home_instance) = start_two(group).await;
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
    let disconnect = |remote: &Instance, home: &Instance| {
        let relay = &remote.service.relay;
        relay.set_down(home.entry.address, BootClock.now());
    };
    let ran = leave_while_acquiring(&group, disconnect, true).await;
    assert!(ran.is_empty(), "{ran:?}");
}

#[ntex::test]
async fn starting_instance_reads_its_contacts_again() {
    // An instance whose first read of the contacts failed had no way to ask others while it could
    // not read the whole store either.
    let group = FakeGroup::new(&["a"]);
    let starting = start_instance("new", "ain-sebaa", &group).await;
    let store = FakeStore::new(1);
    store.failing_contacts.set(1);
    ntex::rt::spawn(run_store_sync(starting.service.clone(), store));
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(starting.service.fleet_key.borrow().is_none());
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    assert!(starting.service.fleet_key.borrow().is_some());
}
