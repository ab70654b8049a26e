//! Tests of ranks: agreement between instances, few moves, zones and liveness.

use std::collections::{BTreeMap, BTreeSet};

use coriander_core::{
    AccountName, ConfigDocument, DatabaseName, FleetMember, InstanceId, MonotonicTime, ZoneState,
};
use coriander_membership::{RankKey, RankTable, WeightedRanks};
use proptest::prelude::*;

fn fleet(count: usize, zones: usize) -> ConfigDocument {
    let mut document = ConfigDocument::default();
    for number in 0..count {
        let member = FleetMember {
            zone: format!("zone-{}", number % zones)
                .parse()
                .expect("valid name"),
            peer_address: ([127, 0, 0, 1], 7000).into(),
            draining: false,
        };
        let id = format!("i-{number}").parse().expect("valid name");
        document.fleet.insert(id, member);
    }
    document
}

fn database(number: usize) -> DatabaseName {
    format!("db-{number}").parse().expect("valid name")
}

fn table(document: &ConfigDocument) -> RankTable {
    let mut table = RankTable::new();
    table.apply_document(document, MonotonicTime::ZERO);
    table
}

fn gateways(table: &mut RankTable, count: usize) -> Vec<InstanceId> {
    let first = |number| table.gateways(&database(number))[0].clone();
    (0..count).map(first).collect()
}

fn id(number: usize) -> InstanceId {
    format!("i-{number}").parse().expect("valid name")
}

#[test]
fn gateways_move_only_from_lost_instance() {
    // Guards against a change that moves databases between unaffected instances.
    let document = fleet(30, 3);
    let mut ranks = table(&document);
    let before = gateways(&mut ranks, 600);
    ranks.set_available(&id(4), false);
    let after = gateways(&mut ranks, 600);
    for (old, new) in before.iter().zip(&after) {
        assert!(*new != id(4) && (old == new || *old == id(4)));
    }
    ranks.set_available(&id(4), true);
    assert_eq!(gateways(&mut ranks, 600), before);
}

#[test]
fn gateways_spread_evenly() {
    let mut ranks = table(&fleet(30, 3));
    let mut counts: BTreeMap<InstanceId, usize> = BTreeMap::new();
    for gateway in gateways(&mut ranks, 6_000) {
        *counts.entry(gateway).or_default() += 1;
    }
    assert_eq!(counts.len(), 30);
    assert!(
        counts.values().all(|count| (120..290).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn gateways_skip_zone_out_of_service_and_ramp_up_on_return() {
    // Guards against work in a zone that is out of service (G8) and a load peak in a zone that
    // returns to service.
    let mut document = fleet(30, 3);
    let mut ranks = table(&document);
    let zone: coriander_core::ZoneName = "zone-1".parse().expect("valid name");
    let before = gateways(&mut ranks, 600);
    document.zones.insert(zone.clone(), ZoneState::Out);
    ranks.apply_document(&document, MonotonicTime::from_millis(1_000));
    let in_zone = |list: &[InstanceId]| {
        let member = |id: &&InstanceId| document_zone(id) == 1;
        list.iter().filter(member).count()
    };
    assert_eq!(in_zone(&gateways(&mut ranks, 600)), 0);
    for number in 0..50 {
        let account: AccountName = format!("a-{number}").parse().expect("valid name");
        assert_eq!(in_zone(&ranks.rate_owners(&account)), 0);
    }
    assert_eq!(
        ranks.watchers(&zone).len(),
        2,
        "the zone must receive its return to service"
    );

    document.zones.insert(zone, ZoneState::In);
    ranks.apply_document(&document, MonotonicTime::from_millis(2_000));
    let mut last = in_zone(&gateways(&mut ranks, 600));
    assert!(last < 40, "{last} of 600 at the start of the ramp");
    for second in 3..=12 {
        ranks.advance(MonotonicTime::from_millis(second * 1_000));
        let count = in_zone(&gateways(&mut ranks, 600));
        assert!(count >= last && count - last < 60, "from {last} to {count}");
        last = count;
    }
    assert_eq!(gateways(&mut ranks, 600), before);
}

fn document_zone(id: &InstanceId) -> usize {
    id.as_str()[2..].parse::<usize>().expect("a number") % 3
}

#[test]
fn rate_owners_ignore_liveness_and_differ_in_zone() {
    // Guards against instances with different liveness data that choose different owners.
    let mut ranks = table(&fleet(6, 3));
    let account: AccountName = "harbour".parse().expect("valid name");
    let before = ranks.rate_owners(&account);
    let zones: BTreeSet<usize> = before.iter().map(document_zone).collect();
    assert_eq!(zones.len(), 3);
    ranks.set_available(&before[0], false);
    assert_eq!(ranks.rate_owners(&account), before);
}

#[test]
fn draining_instance_is_removed_from_all_ranks() {
    let mut document = fleet(6, 3);
    let mut ranks = table(&document);
    document.fleet.get_mut(&id(2)).expect("member").draining = true;
    ranks.apply_document(&document, MonotonicTime::from_millis(10));
    assert!(!gateways(&mut ranks, 200).contains(&id(2)));
    for number in 0..50 {
        let account: AccountName = format!("a-{number}").parse().expect("valid name");
        assert!(!ranks.rate_owners(&account).contains(&id(2)));
    }
}

#[test]
fn apply_document_removes_slots_of_replaced_instances() {
    // Guards against slots that accumulate with each of the 310 replacements a day.
    let mut document = fleet(12, 3);
    let mut ranks = table(&document);
    for number in 12..200 {
        document.fleet.remove(&id(number - 12));
        let member = fleet(number + 1, 3)
            .fleet
            .remove(&id(number))
            .expect("member");
        document.fleet.insert(id(number), member);
        ranks.apply_document(&document, MonotonicTime::from_millis(number as u64));
        let mut fresh = table(&document);
        assert_eq!(gateways(&mut ranks, 20), gateways(&mut fresh, 20));
    }
    assert_eq!(ranks.available_count(), 12);
}

proptest! {
    // Guards against cached ranks that differ from newly computed ones.
    #[test]
    fn cached_ranks_equal_computed_ranks(
        changes in proptest::collection::vec((0..40u32, 0..=4u32, any::<bool>()), 1..200),
    ) {
        let mut weights = vec![1.0; 40];
        let mut ranks = WeightedRanks::default();
        for number in 0..40 {
            ranks.add(&format!("i-{number}"), 1.0);
        }
        for (slot, quarters, look_up) in changes {
            weights[slot as usize] = f64::from(quarters) / 4.0;
            ranks.set_weight(slot, weights[slot as usize]);
            if !look_up {
                continue;
            }
            let mut fresh = WeightedRanks::default();
            for (number, weight) in weights.iter().enumerate() {
                fresh.add(&format!("i-{number}"), *weight);
            }
            for name in ["a", "b", "c"] {
                let key = RankKey::new("gateway", name);
                let (cached, computed) = (ranks.top(key), fresh.top(key));
                let count = computed.len().min(8);
                prop_assert_eq!(&cached[..count], &computed[..count]);
            }
        }
    }
}
