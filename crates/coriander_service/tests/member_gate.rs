//! Statements that the queue lets through to a member at a time, where the settings ask for ordered
//! waiting and learned capacity.

mod support;

use std::rc::Rc;
use std::time::{Duration, Instant};

use coriander_service::{RelayServer, ServiceSettings, SessionService, ShutdownTask};
use coriander_service_api::{ClientAccount, ReadFreshness, ServiceFeatures, SessionHost};

use support::fake_store::FakeStore;
use support::{DATABASE, FakeGroup, GROUP, apply, config, open, run, start_with};

/// Time of a statement far above what the limit of a group with a target of 150 ms allows.
const SLOW: Duration = Duration::from_millis(100);

async fn start_gated(group: &Rc<FakeGroup>, learned_capacity: bool) -> Rc<SessionService> {
    let features = ServiceFeatures {
        ordered_waiting: true,
        learned_capacity,
        ..ServiceFeatures::default()
    };
    let settings = ServiceSettings::new("instance-1", "berrechid", ([127, 0, 0, 1], 0).into())
        .with_platform_fences(true)
        .with_features(features);
    let service = start_with(group, settings).await;
    let mut config = config(1, ReadFreshness::Newest);
    let limits = config.groups.get_mut(GROUP).expect("group is configured");
    limits.connections_per_member = 56;
    for name in ["second", "third"] {
        let account = ClientAccount {
            name: name.into(),
            rate: None,
            burst: 0.0,
        };
        config.keys.insert(name.into(), account.into());
    }
    apply(&service, config, group.entries());
    service
}

fn spawn_reads(service: &Rc<SessionService>, count: usize) -> Vec<ntex::rt::JoinHandle<()>> {
    let read = |_| {
        let service = service.clone();
        ntex::rt::spawn(async move {
            let mut session = open(&service).await;
            let _ = run(&mut session, "q", "READ 1").await;
        })
    };
    (0..count).map(read).collect()
}

/// Returns the statements that run at the only member, and the limit.
fn gate_counts(service: &SessionService) -> (usize, usize) {
    let members = service.groups()[0].members();
    members[0]
        .pool
        .gate_counts()
        .expect("the member has a gate")
}

#[ntex::test]
async fn slow_member_gets_few_statements_and_more_when_it_is_well() {
    // Guards against a crowd inside a slow member while its home instance has connections left, and
    // against a limit that stays low.
    let group = FakeGroup::new(&["a"]);
    let service = start_gated(&group, true).await;
    let member = group.member("a");
    let mut session = open(&service).await;
    for index in 0..10 {
        run(&mut session, &format!("w{index}"), "READ 1").await;
    }
    member.statement_time.set(SLOW);
    let crowd = spawn_reads(&service, 60);
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let (running, limit) = gate_counts(&service);
    assert!(running <= limit && limit <= 2, "{running} of {limit} run");
    assert!(service.describe().contains(" gate_limit="));
    member.statement_time.set(Duration::from_millis(2));
    for read in crowd {
        read.await.expect("not cancelled");
    }
    for read in spawn_reads(&service, 40) {
        read.await.expect("not cancelled");
    }
    assert!(gate_counts(&service).1 >= 4, "{:?}", gate_counts(&service));
    let metrics = service.encode_metrics();
    assert!(metrics.contains("member_statements{"), "{metrics}");
}

#[ntex::test]
async fn connection_of_the_next_request_is_opened_while_it_waits_for_room() {
    // Guards against handshakes and statements by turns at a member that takes one statement, and
    // against connections for all that wait.
    let group = FakeGroup::new(&["a"]);
    let service = start_gated(&group, true).await;
    let mut session = open(&service).await;
    for index in 0..10 {
        run(&mut session, &format!("w{index}"), "READ 1").await;
    }
    group.member("a").statement_time.set(SLOW / 2);
    for index in 0..20 {
        run(&mut session, &format!("s{index}"), "READ 1").await;
    }
    group.member("a").statement_time.set(SLOW);
    assert_eq!(gate_counts(&service).1, 1);
    let open_count = || service.groups()[0].members()[0].pool.open_count();
    let before = open_count();
    let mut reads = spawn_reads(&service, 1);
    for key in ["second", "third"] {
        let session = service.open(DATABASE, key).await;
        let mut session = session.unwrap_or_else(|failure| panic!("{}", failure.message()));
        reads.push(ntex::rt::spawn(async move {
            let _ = run(&mut session, "q", "READ 1").await;
        }));
    }
    tokio::time::sleep(SLOW / 2).await;
    assert_eq!(gate_counts(&service).0, 1);
    assert_eq!(open_count(), before + 1);
    for read in reads {
        read.await.expect("not cancelled");
    }
}

#[ntex::test]
async fn transaction_goes_on_while_others_wait_for_room() {
    // Guards against a transaction that keeps its locks while it waits behind new work.
    let group = FakeGroup::new(&["a"]);
    let service = start_gated(&group, true).await;
    group.member("a").statement_time.set(SLOW);
    let mut session = open(&service).await;
    run(&mut session, "b", "BEGIN").await;
    let response = run(&mut session, "t", "READ 1").await;
    assert!(response.result.is_ok(), "{:?}", response.result);
    let crowd = spawn_reads(&service, 60);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let (running, limit) = gate_counts(&service);
    assert!(running >= limit, "there is room: {running} of {limit}");
    for (id, text) in [("w", "WRITE 1 x"), ("c", "COMMIT")] {
        let started = Instant::now();
        let response = run(&mut session, id, text).await;
        assert!(response.result.is_ok(), "{:?}", response.result);
        assert!(
            started.elapsed() < SLOW * 2,
            "{id}: {:?}",
            started.elapsed()
        );
    }
    for read in crowd {
        read.await.expect("not cancelled");
    }
}

#[ntex::test]
async fn statement_of_a_caller_that_is_gone_leaves_its_place() {
    // Guards against places lost with callers on the home instance itself. Relayed statements keep
    // theirs until they end; see docs/design/admission-and-queueing.md.
    let group = FakeGroup::new(&["a"]);
    let service = start_gated(&group, true).await;
    group.member("a").statement_time.set(SLOW);
    let mut tasks = Vec::new();
    for _ in 0..20 {
        let service = service.clone();
        tasks.push(ntex::rt::spawn(async move {
            let mut session = open(&service).await;
            let read = run(&mut session, "q", "READ 1");
            let _ = tokio::time::timeout(Duration::from_millis(50), read).await;
        }));
    }
    for task in tasks {
        task.await.expect("not cancelled");
    }
    assert_eq!(gate_counts(&service).0, 0);
}

#[ntex::test]
async fn planned_stop_of_a_home_instance_serves_requests_that_wait_for_room() {
    // Guards against requests in the queue of an instance that stops, which nobody answers, and
    // against a commit that waits behind them.
    let group = FakeGroup::new(&["a"]);
    let service = start_gated(&group, true).await;
    let mut transaction = open(&service).await;
    run(&mut transaction, "b", "BEGIN").await;
    run(&mut transaction, "w", "WRITE 1 x").await;
    group
        .member("a")
        .statement_time
        .set(Duration::from_millis(30));
    let mut reads = Vec::new();
    for _ in 0..12 {
        let mut session = open(&service).await;
        reads.push(ntex::rt::spawn(async move {
            run(&mut session, "q", "READ 1").await.result
        }));
    }
    tokio::time::sleep(Duration::from_millis(20)).await;
    assert!(service.groups()[0].members()[0].pool.waiting_count() > 0);
    let shutdown = ShutdownTask::new(
        service.clone(),
        RelayServer::new(&service),
        FakeStore::new(1),
    );
    ntex::rt::spawn(async move { shutdown.run().await });
    let response = run(&mut transaction, "c", "COMMIT").await;
    assert!(response.result.is_ok(), "{:?}", response.result);
    for read in reads {
        let result = read.await.expect("not cancelled");
        assert!(result.is_ok(), "{result:?}");
    }
}

#[ntex::test]
async fn statements_are_not_limited_without_learned_capacity() {
    // Guards against a change on deployments that ask for ordered waiting only.
    let group = FakeGroup::new(&["a"]);
    let service = start_gated(&group, false).await;
    for read in spawn_reads(&service, 4) {
        read.await.expect("not cancelled");
    }
    assert!(!service.describe().contains("gate_limit="));
}
