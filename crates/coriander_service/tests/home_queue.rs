//! Requests that wait in the queue of a home instance when that instance is killed, frozen, cut off
//! or stopped.

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coriander_service::{BootClock, ServicePhase, SessionService};
use coriander_service_api::{
    ControlSnapshot, FailureCode, ReadFreshness, ServiceFeatures, SessionResponse,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use support::relay_instance::RelayInstance;
use support::{FakeGroup, config, open, run, snapshot};

/// Statement timeout of [`config`]; a caller must have an answer by then.
const STATEMENT_TIMEOUT: Duration = Duration::from_millis(800);

/// Requests that wait when the fault begins; the member needs 80 ms for each.
const WAITING: usize = 12;

/// State of the network path to the home instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PathState {
    Open,
    /// Accepts bytes and carries none.
    Silent,
    /// Closes connections.
    Closed,
}

/// Forwards TCP connections to a home instance while the path is open.
async fn start_path(target: std::net::SocketAddr) -> (std::net::SocketAddr, Rc<Cell<PathState>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let address = listener.local_addr().expect("bound");
    let state = Rc::new(Cell::new(PathState::Open));
    let path = state.clone();
    ntex::rt::spawn(async move {
        while let Ok((caller, _)) = listener.accept().await {
            let path = path.clone();
            if path.get() == PathState::Closed {
                continue;
            }
            ntex::rt::spawn(async move {
                let Ok(home) = TcpStream::connect(target).await else {
                    return;
                };
                let (from_caller, to_caller) = caller.into_split();
                let (from_home, to_home) = home.into_split();
                let requests = forward(from_caller, to_home, path.clone());
                let replies = forward(from_home, to_caller, path);
                tokio::select! { () = requests => {}, () = replies => {} }
            });
        }
    });
    (address, state)
}

async fn forward(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    path: Rc<Cell<PathState>>,
) {
    let mut buffer = vec![0; 16_384];
    loop {
        let read = tokio::time::timeout(Duration::from_millis(5), from.read(&mut buffer)).await;
        match (path.get(), read) {
            (PathState::Closed, _) | (_, Ok(Err(_) | Ok(0))) => return,
            (PathState::Silent, _) | (_, Err(_)) => {}
            (PathState::Open, Ok(Ok(count))) => {
                if to.write_all(&buffer[..count]).await.is_err() {
                    return;
                }
            }
        }
    }
}

async fn start_instance(name: &str, zone: &str, group: &Rc<FakeGroup>) -> RelayInstance {
    let features = ServiceFeatures {
        ordered_waiting: true,
        ..ServiceFeatures::default()
    };
    RelayInstance::start(name, zone, features, group).await
}

struct TestFleet {
    remote: RelayInstance,
    home: RelayInstance,
    path: Rc<Cell<PathState>>,
}

/// Starts two instances; the members are in the zone of the second one only, which the first one
/// reaches over the path.
async fn start_fleet(group: &Rc<FakeGroup>) -> TestFleet {
    group
        .member("a")
        .statement_time
        .set(Duration::from_millis(80));
    let remote = start_instance("far", "ain-sebaa", group).await;
    let home = start_instance("home", "berrechid", group).await;
    let (address, path) = start_path(home.entry.address).await;
    let mut config = config(1, ReadFreshness::Newest);
    for limits in config.groups.values_mut() {
        limits.connections_per_member = 4;
    }
    let mut known: ControlSnapshot = snapshot(config, group.entries());
    known.fleet_secret = Some(Arc::from([7; 32].as_slice()));
    known.instances = vec![remote.entry.clone(), home.entry.clone()];
    home.service.apply_snapshot(&known, BootClock.now());
    known.instances[1].address = address;
    remote.service.apply_snapshot(&known, BootClock.now());
    tokio::time::sleep(Duration::from_millis(20)).await;
    TestFleet { remote, home, path }
}

async fn read_timed(service: Rc<SessionService>) -> (SessionResponse, Duration) {
    let mut session = open(&service).await;
    let started = Instant::now();
    let response = run(&mut session, "q", "READ 1").await;
    (response, started.elapsed())
}

/// Waits until a condition holds; fails after a second.
async fn wait_until(condition: &str, holds: impl Fn() -> bool) {
    for _ in 0..500 {
        if holds() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    panic!("not within a second: {condition}");
}

/// Lets requests wait at the home instance, causes a fault, and checks that each caller gets its
/// rows or a refusal in time, and that later callers are served without the home instance.
async fn play_fault(fault: impl FnOnce(&TestFleet)) {
    let group = FakeGroup::new(&["a"]);
    let fleet = start_fleet(&group).await;
    let waiting: Vec<_> = (0..WAITING)
        .map(|_| ntex::rt::spawn(read_timed(fleet.remote.service.clone())))
        .collect();
    let members = fleet.home.service.groups()[0].members();
    wait_until("requests wait at home", || {
        members[0].pool.waiting_count() > 0
    })
    .await;
    fault(&fleet);
    for task in waiting {
        let (response, took) = task.await.expect("not cancelled");
        // Scheduling of the test is granted 100 ms.
        assert!(
            took < STATEMENT_TIMEOUT + Duration::from_millis(100),
            "answer after {took:?}: {response:?}"
        );
        if let Err(failure) = response.result {
            let is_retryable = matches!(failure.code, FailureCode::Busy | FailureCode::Timeout);
            assert!(is_retryable, "a read is never in doubt: {failure:?}");
        }
    }
    let (response, took) = read_timed(fleet.remote.service.clone()).await;
    assert!(response.result.is_ok(), "after the fault: {response:?}");
    assert!(took < STATEMENT_TIMEOUT, "took {took:?}");
    assert_eq!(members[0].pool.waiting_count(), 0, "nothing stays queued");
}

#[ntex::test]
async fn waiting_requests_of_a_killed_home_instance_are_answered() {
    // Guards against requests that wait for an instance whose connections have closed.
    play_fault(|fleet| fleet.path.set(PathState::Closed)).await;
}

#[ntex::test]
async fn waiting_requests_of_a_frozen_home_instance_are_answered() {
    // Guards against requests that wait for an instance which accepts bytes and never replies.
    play_fault(|fleet| fleet.path.set(PathState::Silent)).await;
}

#[ntex::test]
async fn waiting_requests_of_a_stopped_home_instance_are_answered() {
    // Guards against requests that are dropped by an instance which ends as planned.
    play_fault(|fleet| fleet.home.service.set_phase(ServicePhase::Finishing)).await;
}

#[ntex::test]
async fn home_instance_that_is_reachable_again_is_used_again() {
    // Guards against a fleet that stays at the few connections of other instances after a cut.
    let group = FakeGroup::new(&["a"]);
    let fleet = start_fleet(&group).await;
    fleet.path.set(PathState::Silent);
    let _ = read_timed(fleet.remote.service.clone()).await;
    fleet.path.set(PathState::Open);
    let member = fleet.home.service.groups()[0].members()[0].clone();
    let before = member.pool.opened_count();
    for _ in 0..60 {
        let (response, _) = read_timed(fleet.remote.service.clone()).await;
        assert!(response.result.is_ok(), "after the cut: {response:?}");
        if member.pool.opened_count() > before {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the home instance is not used within 3 s after the cut");
}
