//! Connections handed over in the order of the queue, and what happens to waiting requests when
//! the member or the home instance fails.

mod support;

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coriander_service::{ServiceSettings, SessionService};
use coriander_service_api::{
    ClientAccount, ClientSession, DatabaseRoute, FailureCode, FailureReason, ReadFreshness,
    ServiceFeatures, SessionHost, SessionResponse,
};

use support::{DATABASE, FakeGroup, GROUP, apply, config, open, run, start_with};

/// Latency target of the urgent database; [`config`] has the same for the usual one.
const TARGET: Duration = Duration::from_millis(150);

/// Database whose requests are served before those of [`DATABASE`].
const URGENT_DATABASE: &str = "urgent";

fn ordered_settings() -> ServiceSettings {
    let features = ServiceFeatures {
        ordered_waiting: true,
        ..ServiceFeatures::default()
    };
    ServiceSettings::new("instance-1", "berrechid", ([127, 0, 0, 1], 0).into())
        .with_platform_fences(true)
        .with_features(features)
}

/// Starts an instance with ordered waiting and `count` accounts, each with a key `key-N`. The
/// home instance of a member may open `connections` of them.
async fn start_ordered(
    group: &Rc<FakeGroup>,
    count: usize,
    connections: usize,
) -> Rc<SessionService> {
    let service = start_with(group, ordered_settings()).await;
    let mut config = config(1, ReadFreshness::Newest);
    let urgent = DatabaseRoute {
        database: URGENT_DATABASE.into(),
        priority: 0,
        latency_target: TARGET,
        ..(*config.routes[DATABASE]).clone()
    };
    config
        .routes
        .insert(URGENT_DATABASE.into(), Arc::new(urgent));
    for index in 0..count {
        let account = ClientAccount {
            name: format!("account-{index}").into(),
            rate: None,
            burst: 0.0,
        };
        config
            .keys
            .insert(format!("key-{index}").into(), account.into());
    }
    let limits = config.groups.get_mut(GROUP).expect("group is configured");
    limits.connections_per_member = connections;
    apply(&service, config, group.entries());
    service
}

async fn open_as(
    service: &Rc<SessionService>,
    database: &str,
    account: usize,
) -> Box<dyn ClientSession> {
    let session = service.open(database, &format!("key-{account}")).await;
    session.unwrap_or_else(|failure| panic!("{}", failure.message()))
}

async fn read_as(
    service: &Rc<SessionService>,
    database: &str,
    account: usize,
) -> (SessionResponse, Duration) {
    let mut session = open_as(service, database, account).await;
    let started = Instant::now();
    let response = run(&mut session, "q", "READ 1").await;
    (response, started.elapsed())
}

/// Starts a read in a task of its own.
fn spawn_read(
    service: &Rc<SessionService>,
    database: &'static str,
    account: usize,
) -> ntex::rt::JoinHandle<(SessionResponse, Duration)> {
    let service = service.clone();
    ntex::rt::spawn(async move { read_as(&service, database, account).await })
}

fn member_pool_counts(service: &SessionService) -> (usize, usize) {
    let groups = service.groups();
    let members = groups.iter().flat_map(|group| group.members());
    members.fold((0, 0), |(open, waiting), member| {
        (
            open + member.pool.open_count(),
            waiting + member.pool.waiting_count(),
        )
    })
}

#[ntex::test]
async fn load_of_many_accounts_on_few_connections_is_served() {
    // Guards against handshakes that keep the member busy while requests wait.
    let group = FakeGroup::new(&["a"]);
    let service = start_ordered(&group, 8, 8).await;
    let member = group.member("a");
    member.handshake_time.set(Duration::from_millis(27));
    member.statement_time.set(Duration::from_millis(3));
    let mut tasks = Vec::new();
    for index in 0..200 {
        tokio::time::sleep(Duration::from_millis(10)).await;
        tasks.push(spawn_read(&service, DATABASE, index % 8));
    }
    for task in tasks {
        let (response, _) = task.await.expect("not cancelled");
        assert!(response.result.is_ok(), "{:?}", response.result);
    }
    let opened = member.opened_connections.get();
    assert!(opened <= 100, "at most one per two requests, got {opened}");
}

#[ntex::test]
async fn urgent_request_is_served_before_a_waiting_crowd() {
    // Guards against a queue in which a class with a short target waits behind a burst of another.
    let group = FakeGroup::new(&["a"]);
    let service = start_ordered(&group, 1, 4).await;
    let member = group.member("a");
    member.statement_time.set(Duration::from_millis(20));
    let crowd: Vec<_> = (0..40).map(|_| spawn_read(&service, DATABASE, 0)).collect();
    tokio::time::sleep(Duration::from_millis(50)).await;
    let (response, _) = read_as(&service, URGENT_DATABASE, 0).await;
    assert!(response.result.is_ok());
    let served = group.ran_statements.borrow().len();
    // What three connections serve in 50 ms and the target, at 40 ms each.
    assert!(
        served <= 15 + 1,
        "served up to the urgent request: {served}"
    );
    for task in crowd {
        task.await.expect("not cancelled");
    }
}

#[ntex::test]
async fn request_without_room_is_refused_early_with_a_return_time() {
    // Guards against callers who wait until their deadline for nothing, and who all return at the
    // same moment.
    let group = FakeGroup::new(&["a"]);
    let service = start_ordered(&group, 1, 4).await;
    let member = group.member("a");
    member.statement_time.set(Duration::from_millis(40));
    for _ in 0..20 {
        let _ = read_as(&service, DATABASE, 0).await;
    }
    let crowd: Vec<_> = (0..100)
        .map(|_| spawn_read(&service, DATABASE, 0))
        .collect();
    let mut delays = Vec::new();
    for task in crowd {
        let (response, took) = task.await.expect("not cancelled");
        if let Err(failure) = response.result {
            assert_eq!(failure.code, FailureCode::Busy);
            assert_eq!(failure.reason, FailureReason::NoConnection);
            if took < Duration::from_millis(60) {
                delays.push(failure.retry_after.expect("a refused caller is told when"));
            }
        }
    }
    assert!(delays.len() > 50, "refused early: {}", delays.len());
    delays.sort_unstable();
    delays.dedup();
    assert!(delays.len() > 30, "distinct delays: {}", delays.len());
    let refused_ran = group.ran_statements.borrow().len();
    assert!(refused_ran < 120, "refused requests have not run");
}

#[ntex::test]
async fn cancelled_request_leaves_the_queue_and_its_connection() {
    // Guards against connections lost when a caller goes away while its request is handed one.
    let group = FakeGroup::new(&["a"]);
    let service = start_ordered(&group, 1, 4).await;
    let member = group.member("a");
    member.statement_time.set(Duration::from_millis(30));
    let mut tasks = Vec::new();
    for _ in 0..12 {
        let service = service.clone();
        tasks.push(ntex::rt::spawn(async move {
            let read = read_as(&service, DATABASE, 0);
            let _ = tokio::time::timeout(Duration::from_millis(45), read).await;
        }));
    }
    for task in tasks {
        task.await.expect("not cancelled");
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(member_pool_counts(&service).1, 0);
    let (response, took) = read_as(&service, DATABASE, 0).await;
    assert!(response.result.is_ok());
    assert!(took < TARGET, "a connection is free, took {took:?}");
}

#[ntex::test]
async fn requests_waiting_at_an_unreachable_member_are_refused_at_once() {
    // Guards against requests that wait until their deadline at a member that has stopped.
    let group = FakeGroup::new(&["a"]);
    let service = start_ordered(&group, 1, 4).await;
    group.member("a").reachable.set(false);
    let started = Instant::now();
    let mut session = open_as(&service, DATABASE, 0).await;
    let response = run(&mut session, "q", "READ 1").await;
    assert!(response.result.is_err());
    assert_eq!(member_pool_counts(&service), (0, 0));
    assert!(started.elapsed() < Duration::from_millis(800));
}

#[ntex::test]
async fn long_transaction_leaves_room_for_reads_of_other_accounts() {
    // Guards against an instance that refuses every request after a transaction that held its
    // connection for longer than the time limit of a read.
    let group = FakeGroup::new(&["a"]);
    let service = start_ordered(&group, 4, 8).await;
    let mut session = open_as(&service, DATABASE, 0).await;
    run(&mut session, "b", "BEGIN").await;
    for index in 0..4 {
        let response = run(&mut session, &format!("r{index}"), "READ 1").await;
        assert!(response.result.is_ok(), "{:?}", response.result);
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    let response = run(&mut session, "c", "COMMIT").await;
    assert!(response.result.is_ok(), "{:?}", response.result);
    for index in 0..12 {
        let (response, _) = read_as(&service, DATABASE, 1 + index % 3).await;
        assert!(response.result.is_ok(), "{index}: {:?}", response.result);
    }
}

#[ntex::test]
async fn read_refused_by_a_full_member_does_not_retry_for_a_cold_one() {
    // Guards against attempts in a loop without a pause: the full member refuses at once, and the
    // other one is cold and takes no statement, so that no member is left to try.
    let freshness = ReadFreshness::OwnWrites { max_age: None };
    let group = FakeGroup::new(&["a", "b"]);
    let service = start_with(&group, ordered_settings()).await;
    let mut config = config(2, freshness);
    let limits = config.groups.get_mut(GROUP).expect("group is configured");
    limits.connections_per_member = 1;
    limits.warm_up_rate = Some(0.0);
    let mut entries = group.entries();
    for entry in entries.iter_mut().filter(|entry| &*entry.id == "b") {
        entry.warm_up_remaining = Duration::from_secs(5);
    }
    apply(&service, config, entries);
    // An exchange takes longer than an attempt of a read may, so that the queue refuses reads while
    // the only connection is in use.
    group
        .member("a")
        .statement_time
        .set(Duration::from_millis(200));
    let mut transaction = open(&service).await;
    run(&mut transaction, "b", "BEGIN").await;
    let response = run(&mut transaction, "t", "READ 1").await;
    assert!(response.result.is_ok(), "{:?}", response.result);
    let mut session = open(&service).await;
    let started = Instant::now();
    let response = run(&mut session, "q", "READ 1").await;
    let failure = response.result.expect_err("no member has room");
    assert_eq!(failure.reason, FailureReason::NoConnection);
    assert!(
        started.elapsed() < Duration::from_millis(100),
        "refused after {:?}",
        started.elapsed()
    );
    let metrics = service.encode_metrics();
    let refused = metrics
        .lines()
        .filter(|line| line.contains("attempts") && line.contains("no_room"));
    let refused: Vec<_> = refused.collect();
    assert!(
        refused.len() == 1 && refused[0].ends_with(" 1"),
        "one attempt is refused: {metrics}"
    );
}
