//! Who acquires the promotion duty, and what remains of it when a process stops.

mod support;

use std::collections::HashSet;
use std::time::Duration;

use coriander_service::{BootClock, rank_delay};
use coriander_service_api::{DutyLease, ReadFreshness};

use support::{FakeGroup, config, snapshot, start};

fn names() -> Vec<String> {
    let zones = ["ain-sebaa", "berrechid", "mohammedia"];
    let of_zone =
        |zone: &str| -> Vec<String> { (0..40).map(|n| format!("frontend-{zone}-{n}")).collect() };
    zones.into_iter().flat_map(of_zone).collect()
}

#[test]
fn rank_delay_lets_one_instance_after_the_other_try() {
    // All instances that found the duty free tried at the same moment: 295 calls to the store.
    let names = names();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let early: HashSet<_> = names
        .iter()
        .map(|name| rank_delay(&names, name))
        .filter(|delay| *delay < Duration::from_secs(2))
        .collect();
    let count = names
        .iter()
        .filter(|name| rank_delay(&names, name) < Duration::from_secs(2))
        .count();
    assert_eq!(early.len(), count, "no two instances try together");
    assert!(count <= 7, "was {count}");
}

#[test]
fn rank_delay_is_short_without_the_first_zone() {
    // In the order of their names, all instances of a lost zone would come before any other.
    let names = names();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let others = names.iter().filter(|name| !name.contains("ain-sebaa"));
    let first = others.map(|name| rank_delay(&names, name)).min();
    assert!(first < Some(Duration::from_secs(2)), "was {first:?}");
}

#[ntex::test]
async fn retire_releases_the_duty_for_good() {
    // A stopping process ends its lease, and the successor may act at once. A read of the store
    // from before must not make the stopping process act as well.
    let group = FakeGroup::new(&["a"]);
    let service = start(&group, ReadFreshness::Newest).await;
    let mut held = snapshot(config(1, ReadFreshness::Newest), group.entries());
    held.duty_lease = Some(DutyLease {
        holder: service.settings().process_id.clone(),
        address: None,
        token: 7,
    });
    service.apply_snapshot(&held, BootClock.now());
    service.promotion_duty.record_renewal(BootClock.now());
    assert_eq!(service.promotion_token(), Some(7));
    service.promotion_duty.retire();
    service.apply_snapshot(&held, BootClock.now());
    assert_eq!(service.promotion_token(), None);
    service.promotion_duty.record_acquired(9);
    assert_eq!(service.promotion_token(), None);
}
