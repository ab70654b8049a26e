//! Statement limits of members that have just started.

mod support;

use std::time::Duration;

use coriander_service::WarmUpGate;
use coriander_service_api::ReadFreshness;

use support::{FakeGroup, GROUP, apply, config, open, run, start};

const OWN_WRITES: ReadFreshness = ReadFreshness::OwnWrites { max_age: None };

#[test]
fn share_gives_a_large_fleet_no_more_than_the_rate() {
    let all: usize = (0..71).map(|rank| WarmUpGate::share(10.0, rank, 71)).sum();
    assert_eq!(all, 10);
}

async fn read_all(cold: &[&str]) -> Vec<String> {
    let group = FakeGroup::new(&["a", "b"]);
    let service = start(&group, OWN_WRITES).await;
    let mut config = config(2, OWN_WRITES);
    let limits = config.groups.get_mut(GROUP).expect("group is configured");
    limits.warm_up_rate = Some(3.0);
    let mut entries = group.entries();
    for entry in &mut entries {
        if cold.contains(&&*entry.id) {
            entry.warm_up_remaining = Duration::from_secs(5);
        }
    }
    apply(&service, config, entries);
    let mut session = open(&service).await;
    for index in 0..20 {
        run(&mut session, &format!("q{index}"), "READ 1").await;
    }
    group.ran_texts()
}

#[ntex::test]
async fn cold_replica_gets_its_share_and_the_others_the_rest() {
    let texts = read_all(&["b"]).await;
    let cold = texts.iter().filter(|text| text.starts_with('b')).count();
    assert!(
        (1..=3).contains(&cold),
        "at most three per second are allowed, got {cold}"
    );
    assert_eq!(texts.len(), 20);
}

#[ntex::test]
async fn cold_primary_gets_its_share_only() {
    let group = FakeGroup::new(&["a"]);
    let service = start(&group, ReadFreshness::Newest).await;
    let mut config = config(2, ReadFreshness::Newest);
    let limits = config.groups.get_mut(GROUP).expect("group is configured");
    limits.warm_up_rate = Some(2.0);
    let mut entries = group.entries();
    entries[0].warm_up_remaining = Duration::from_secs(5);
    apply(&service, config, entries);
    let mut tasks = Vec::new();
    for index in 0..10 {
        let mut session = open(&service).await;
        tasks.push(ntex::rt::spawn(async move {
            run(&mut session, &format!("q{index}"), "READ 1").await
        }));
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(group.ran_texts().len(), 2, "two per second are allowed");
}
