//! Rates of accounts across instances, over real sockets.

mod support;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coriander_service::{BootClock, PeerSocket, ServiceSettings, SessionService};
use coriander_service_api::{
    ClientAccount, ControlSnapshot, FailureReason, InstanceEntry, ReadFreshness, ServiceFeatures,
};
use tokio::net::UdpSocket;

use support::{ACCOUNT, FakeGroup, KEY, config, open, run, snapshot};

const INSTANCES: usize = 12;

async fn start_instance(
    name: &str,
    group: &Rc<FakeGroup>,
    features: ServiceFeatures,
) -> (Rc<SessionService>, SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("free port");
    let address = socket.local_addr().expect("bound");
    let id = format!("{name}-a").parse().expect("valid name");
    let peers = Rc::new(PeerSocket::new(socket, name.into(), id, 1));
    let settings = ServiceSettings::new(name, "berrechid", address).with_features(features);
    let service = SessionService::new(settings, group.clone(), peers.clone());
    let handler = service.clone();
    ntex::rt::spawn(peers.receive(move |sender, message| {
        handler.handle_message(sender, &message);
    }));
    (service, address)
}

fn entry(name: &str, address: SocketAddr) -> InstanceEntry {
    InstanceEntry {
        id: name.into(),
        address,
        zone: "berrechid".into(),
        created: 1,
    }
}

/// Starts instances that share the rate of one account; `silent` of them do not run.
async fn start_fleet(group: &Rc<FakeGroup>, rate: f64, silent: usize) -> Vec<Rc<SessionService>> {
    let mut services = Vec::new();
    let mut entries = Vec::new();
    for index in 0..INSTANCES {
        let name = format!("instance-{index}");
        if index < silent {
            entries.push(entry(&name, ([127, 0, 0, 1], 9).into()));
            continue;
        }
        let (service, address) = start_instance(&name, group, ServiceFeatures::default()).await;
        entries.push(entry(&name, address));
        services.push(service);
    }
    let snapshot = fleet_snapshot(group, rate, entries);
    for service in &services {
        service.apply_snapshot(&snapshot, BootClock.now());
    }
    services
}

fn fleet_snapshot(
    group: &Rc<FakeGroup>,
    rate: f64,
    entries: Vec<InstanceEntry>,
) -> ControlSnapshot {
    let mut config = config(1, ReadFreshness::Newest);
    let account = Arc::new(ClientAccount {
        name: ACCOUNT.into(),
        rate: Some(rate),
        burst: rate,
    });
    config.keys.insert(KEY.into(), account.clone());
    config.accounts.insert(ACCOUNT.into(), account);
    let mut snapshot = snapshot(config, group.entries());
    snapshot.instances = entries;
    let secret: Arc<[u8]> = Arc::from([7; 32].as_slice());
    snapshot.fleet_secret = Some(secret);
    snapshot
}

/// Runs one read on each instance in turn and returns how many were admitted.
async fn run_reads(services: &[Rc<SessionService>], count: usize) -> usize {
    let mut admitted = 0;
    for service in services.iter().cycle().take(count) {
        let mut session = open(service).await;
        let response = run(&mut session, "q", "READ 1").await;
        let failure = response.result.as_ref().err();
        admitted += usize::from(
            failure.is_none_or(|failure| failure.reason != FailureReason::RateExceeded),
        );
    }
    admitted
}

#[ntex::test]
async fn statements_spend_the_tokens_of_every_owner() {
    // The account starts with 0.3 of its burst, 30 tokens at 6 owners.
    let group = FakeGroup::new(&["a"]);
    let services = start_fleet(&group, 100.0, 0).await;
    assert_eq!(run_reads(&services, 24).await, 24);
}

#[ntex::test]
async fn statements_are_admitted_while_owners_are_silent() {
    // Owners that were killed remain listed for seconds.
    let group = FakeGroup::new(&["a"]);
    let services = start_fleet(&group, 100.0, 4).await;
    let started = Instant::now();
    assert_eq!(run_reads(&services, 12).await, 12);
    let mean = started.elapsed() / 12;
    assert!(mean.as_millis() < 100, "mean time {mean:?}");
}

#[ntex::test]
async fn refused_statement_names_when_to_retry() {
    let group = FakeGroup::new(&["a"]);
    let services = start_fleet(&group, 10.0, 0).await;
    run_reads(&services, 12).await;
    let mut session = open(&services[0]).await;
    let failure = loop {
        let response = run(&mut session, "q", "READ 1").await;
        if let Err(failure) = response.result {
            break failure;
        }
    };
    assert_eq!(failure.reason, FailureReason::RateExceeded);
    let delay = failure.retry_after.expect("a delay");
    assert!(delay.as_millis() >= 10 && delay.as_secs() < 10, "{delay:?}");
}

/// Returns the tokens left at an instance that waited for its configuration for half a second, if
/// its entry was created in revision `created` and registered in revision 5.
async fn tokens_after_idle_time(created: u64, features: ServiceFeatures) -> f64 {
    tokens_after_failures(created, features, 0).await
}

/// As [`tokens_after_idle_time`], after `failures` registrations without a reply.
async fn tokens_after_failures(created: u64, features: ServiceFeatures, failures: usize) -> f64 {
    let group = FakeGroup::new(&["a"]);
    let (service, address) = start_instance("instance-1", &group, features).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let own = InstanceEntry {
        created,
        ..entry("instance-1", address)
    };
    let mut snapshot = fleet_snapshot(&group, 1_000.0, vec![own]);
    snapshot.revision = 7;
    service.apply_snapshot(&snapshot, BootClock.now());
    for _ in 0..failures {
        service.rate_limiter.record_failed_registration();
    }
    service.rate_limiter.record_registration(5);
    let text = service.rate_limiter.describe(ACCOUNT);
    let left = text
        .split("left=")
        .nth(1)
        .and_then(|rest| rest.split(' ').next());
    left.expect("a field").parse().expect("a number")
}

#[ntex::test]
async fn idle_time_counts_if_the_instance_was_listed_throughout() {
    // Guards against tokens that another owner may have spent while the entry was missing.
    let ordered = ServiceFeatures {
        ordered_waiting: true,
        ..ServiceFeatures::default()
    };
    let listed = tokens_after_idle_time(3, ordered).await;
    assert!(listed >= 500.0, "{listed}");
    let recreated = tokens_after_idle_time(5, ordered).await;
    assert!((300.0..450.0).contains(&recreated), "{recreated}");
    let without = tokens_after_idle_time(3, ServiceFeatures::default()).await;
    assert!((300.0..450.0).contains(&without), "{without}");
}

#[ntex::test]
async fn idle_time_does_not_count_after_a_registration_without_reply() {
    // Such a registration may have created the entry in revision 3, after another instance had owned
    // the share.
    let ordered = ServiceFeatures {
        ordered_waiting: true,
        ..ServiceFeatures::default()
    };
    let left = tokens_after_failures(3, ordered, 1).await;
    assert!((300.0..450.0).contains(&left), "{left}");
}
