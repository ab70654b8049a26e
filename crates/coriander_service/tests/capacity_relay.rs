//! What instances tell each other about members on relayed exchanges, over real sockets.

mod support;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use coriander_service::{BootClock, SessionService};
use coriander_service_api::{
    FailureCode, InstanceEntry, MemberEntry, ReadFreshness, ServiceFeatures,
};
use support::relay_instance::RelayInstance;
use support::{FakeGroup, Fault, config, open, run, snapshot};

const OWN_WRITES: ReadFreshness = ReadFreshness::OwnWrites { max_age: None };

async fn start_instance(
    name: &str,
    zone: &str,
    group: &Rc<FakeGroup>,
) -> (Rc<SessionService>, InstanceEntry) {
    let features = ServiceFeatures {
        learned_capacity: true,
        ..ServiceFeatures::default()
    };
    let instance = RelayInstance::start(name, zone, features, group).await;
    (instance.service, instance.entry)
}

/// Two instances; the members are in the zone of the second one only.
struct Fleet {
    remote: Rc<SessionService>,
    home: Rc<SessionService>,
    entries: Vec<InstanceEntry>,
    members: Vec<MemberEntry>,
}

impl Fleet {
    async fn start(group: &Rc<FakeGroup>) -> Self {
        let (remote, remote_entry) = start_instance("far", "ain-sebaa", group).await;
        let (home, home_entry) = start_instance("home", "berrechid", group).await;
        let fleet = Self {
            remote,
            home,
            entries: vec![remote_entry, home_entry],
            members: group.entries(),
        };
        fleet.apply(1, OWN_WRITES);
        tokio::time::sleep(Duration::from_millis(20)).await;
        fleet
    }

    fn apply(&self, version: u64, freshness: ReadFreshness) {
        let mut snapshot = snapshot(config(version, freshness), self.members.clone());
        snapshot.instances = self.entries.clone();
        let secret: Arc<[u8]> = Arc::from([7; 32].as_slice());
        snapshot.fleet_secret = Some(secret);
        for service in [&self.remote, &self.home] {
            service.apply_snapshot(&snapshot, BootClock.now());
        }
    }

    /// Confirms a position at the home instance; after `pause` the other instance reads from a
    /// replica, and then with a bound on the age. Returns the member that ran the second read.
    async fn read_after(&self, group: &FakeGroup, pause: Duration, max_age: Duration) -> String {
        let mut session = open(&self.home).await;
        run(&mut session, "w", "WRITE 1 x").await;
        for replica in ["b", "c"] {
            group.member(replica).applied_index.set(11);
        }
        tokio::time::sleep(pause).await;
        let mut session = open(&self.remote).await;
        run(&mut session, "q1", "READ 1").await;
        assert_ne!(last_member(group), "a");
        self.apply(2, ReadFreshness::Bounded { max_age });
        let response = run(&mut session, "q2", "READ 1").await;
        assert!(response.result.is_ok());
        last_member(group)
    }
}

fn last_member(group: &FakeGroup) -> String {
    let ran = group.ran_statements.borrow();
    ran.last().expect("a statement ran").member.clone()
}

#[ntex::test]
async fn read_of_bounded_age_uses_a_position_that_the_home_instance_confirmed() {
    // Guards against reads that go to the primary because their instance has confirmed no position.
    let group = FakeGroup::new(&["a", "b", "c"]);
    let fleet = Fleet::start(&group).await;
    let max_age = Duration::from_millis(1_500);
    let member = fleet.read_after(&group, Duration::ZERO, max_age).await;
    assert_ne!(member, "a");
}

#[ntex::test]
async fn position_is_not_taken_for_newer_than_its_confirmation() {
    // Guards against outdated reads: the position is older than the bound when it is heard of.
    let group = FakeGroup::new(&["a", "b", "c"]);
    let fleet = Fleet::start(&group).await;
    let max_age = Duration::from_millis(400);
    let pause = Duration::from_millis(500);
    let member = fleet.read_after(&group, pause, max_age).await;
    assert_eq!(member, "a");
}

#[ntex::test]
async fn home_instance_fills_in_the_position_for_an_age() {
    // Guards against reads that go to the primary because their instance is the only one that knows
    // no position, and against a home instance that takes an old one for new.
    let group = FakeGroup::new(&["a", "b", "c"]);
    let fleet = Fleet::start(&group).await;
    let max_age = Duration::from_millis(400);
    fleet.apply(2, ReadFreshness::Bounded { max_age });
    let mut session = open(&fleet.home).await;
    run(&mut session, "w", "WRITE 1 x").await;
    for replica in ["b", "c"] {
        group.member(replica).applied_index.set(11);
    }
    let mut session = open(&fleet.remote).await;
    for (id, begin) in [("q1", None), ("q2", Some("BEGIN READ"))] {
        if let Some(begin) = begin {
            run(&mut session, "b", begin).await;
        }
        let response = run(&mut session, id, "READ 1").await;
        assert!(response.result.is_ok());
        assert_ne!(last_member(&group), "a");
        run(&mut session, "r", "ROLLBACK").await;
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let mut session = open(&fleet.remote).await;
    let started = BootClock.now();
    let response = run(&mut session, "q3", "READ 1").await;
    assert!(response.result.is_ok());
    assert_eq!(last_member(&group), "a");
    assert!(BootClock.now().since(started) < Duration::from_millis(100));
}

#[ntex::test]
async fn replica_that_lacks_the_filled_in_position_is_not_read() {
    // Guards against outdated reads: the home instance knows a newer position than the replicas have.
    let group = FakeGroup::new(&["a", "b", "c"]);
    let fleet = Fleet::start(&group).await;
    let max_age = Duration::from_millis(400);
    fleet.apply(2, ReadFreshness::Bounded { max_age });
    let mut session = open(&fleet.home).await;
    run(&mut session, "w", "WRITE 1 x").await;
    let mut session = open(&fleet.remote).await;
    let response = run(&mut session, "q1", "READ 1").await;
    assert!(response.result.is_ok());
    assert_eq!(last_member(&group), "a");
}

#[ntex::test]
async fn member_set_aside_by_its_home_instance_is_avoided_by_others() {
    // Guards against each of many instances learning by failures of its own callers.
    let group = FakeGroup::new(&["a", "b", "c"]);
    let fleet = Fleet::start(&group).await;
    let mut session = open(&fleet.home).await;
    run(&mut session, "q", "READ 1").await;
    let failing = last_member(&group);
    for _ in 0..200 {
        group.add_fault(&failing, "READ", Fault::Refuse(FailureCode::Failed));
    }
    for index in 0..6 {
        run(&mut session, &format!("h{index}"), "READ 1").await;
    }
    assert!(fleet.home.describe().contains("set_aside=failing"));
    let faults = || group.member(&failing).faults.borrow()["READ"].len();
    let before = faults();
    let mut session = open(&fleet.remote).await;
    for index in 0..12 {
        let response = run(&mut session, &format!("r{index}"), "READ 1").await;
        assert!(response.result.is_ok());
    }
    assert!(fleet.remote.describe().contains("set_aside=reported"));
    // The first read brings the report.
    assert!(before - faults() <= 1, "{} reads failed", before - faults());
}

#[ntex::test]
async fn home_instance_of_a_replica_learns_the_position_from_its_callers() {
    // Guards against a zone in which each instance sends its first read to a primary elsewhere,
    // because only that one's home instance confirms positions.
    let group = FakeGroup::new(&["a", "b"]);
    let mut members = group.entries();
    members[1].zone = "ain-sebaa".into();
    let mut started = vec![start_instance("at-primary", "berrechid", &group).await];
    for name in ["one", "two", "three"] {
        started.push(start_instance(name, "ain-sebaa", &group).await);
    }
    let max_age = Duration::from_millis(1_500);
    let mut snapshot = snapshot(config(1, ReadFreshness::Bounded { max_age }), members);
    snapshot.instances = started.iter().map(|(_, entry)| entry.clone()).collect();
    let secret: Arc<[u8]> = Arc::from([7; 32].as_slice());
    snapshot.fleet_secret = Some(secret);
    for (service, _) in &started {
        service.apply_snapshot(&snapshot, BootClock.now());
    }
    tokio::time::sleep(Duration::from_millis(20)).await;
    let is_caller = |service: &Rc<SessionService>| {
        let replica = service.find_member(support::GROUP, "b");
        let replica = replica.expect("it is listed");
        service.home_instance(&replica, support::ACCOUNT).is_some()
    };
    let services = started[1..].iter().map(|(service, _)| service);
    let callers: Vec<_> = services.filter(|service| is_caller(service)).collect();
    let [first, second] = callers.as_slice() else {
        panic!("one of three is the home instance");
    };
    let mut session = open(first).await;
    run(&mut session, "w", "WRITE 1 x").await;
    group.member("b").applied_index.set(11);
    run(&mut session, "q1", "READ 1").await;
    assert_eq!(last_member(&group), "b");
    let mut session = open(second).await;
    run(&mut session, "q2", "READ 1").await;
    assert_eq!(last_member(&group), "b");
    let metrics = second.encode_metrics();
    assert!(metrics.contains("target=\"replica_by_age\""), "{metrics}");
}
