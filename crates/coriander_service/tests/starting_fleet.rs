//! A fleet whose instances all start together, in virtual time and without a network.

use std::time::Duration;

use coriander_core::stable_hash;
use coriander_service::UpdateTree;

/// Fleets of 30, 300 and 2,100 instances in three zones.
const ZONE_SIZES: [usize; 3] = [10, 100, 700];

/// Entries of a page of the store's listing.
const PAGE: usize = 50;

/// Time that a reader needs for the whole store: a document of 256 KB on a link of 10 Mbit/s.
const READ_MS: u64 = 300;

/// Time from a snapshot at a source to the same at an instance whose request it holds, on a busy
/// machine.
const HOP_MS: u64 = 60;

/// A starting instance: its place in the tree of the instances that it knows, and its parent.
struct Starter {
    position: UpdateTree,
    parent: Option<usize>,
}

/// Returns the instances of a zone, each of which knows itself and the page after its own key, as
/// `read_contacts` returns them.
fn start_zone(size: usize) -> Vec<Starter> {
    let rank = |number: usize| stable_hash(("zone", format!("instance-{number:04}")));
    let starter = |own: usize| {
        let mut known: Vec<_> = (own..size.min(own + 1 + PAGE)).collect();
        if size <= PAGE {
            known = (0..size).collect();
        }
        known.sort_by_key(|number| rank(*number));
        let own_rank = known.iter().position(|number| *number == own);
        let position = UpdateTree::new(own_rank.expect("knows itself"), true, known.len());
        let parent = position.parent().map(|rank| known[rank]);
        Starter { position, parent }
    };
    (0..size).map(starter).collect()
}

/// Returns the time at which an instance has a snapshot, if the readers read the store at 0.
fn snapshot_time(zone: &[Starter], number: usize) -> u64 {
    let starter = &zone[number];
    match starter.parent {
        Some(parent) if !starter.position.is_reader() => snapshot_time(zone, parent) + HOP_MS,
        _ => READ_MS,
    }
}

#[test]
fn few_instances_read_the_store_when_all_start() {
    // When every instance read the store at its start, 300 of them transferred a configuration of
    // 256 KB 300 times, and again after each kill of the fleet.
    for size in ZONE_SIZES {
        let zone = start_zone(size);
        let readers = zone.iter().filter(|starter| starter.position.is_reader());
        let readers = readers.count();
        assert!(readers <= 4 + size / 6, "{size} instances: {readers} read");
        let reads_at_once = |starter: &&Starter| starter.position.start_delay(0.0).is_zero();
        assert_eq!(zone.iter().filter(reads_at_once).count(), readers);
    }
}

#[test]
fn all_have_a_snapshot_before_they_would_read_the_store() {
    // Guards against a delay that ends before the tree has served the zone, so that all read.
    for size in ZONE_SIZES {
        let zone = start_zone(size);
        let late = (0..size).filter(|number| {
            let delay = zone[*number].position.start_delay(0.0);
            !delay.is_zero() && Duration::from_millis(snapshot_time(&zone, *number)) >= delay
        });
        assert_eq!(late.count(), 0, "{size} instances");
        let last = (0..size).map(|number| snapshot_time(&zone, number)).max();
        assert!(last < Some(600), "{size} instances: {last:?} ms");
    }
}

#[test]
fn start_delays_spread_the_reads_of_instances_without_a_source() {
    // If no other instance replies, the reads must neither come together nor wait for long.
    let tree = UpdateTree::new(60, true, 100);
    let delays: Vec<_> = (0..100)
        .map(|step| tree.start_delay(f64::from(step) / 100.0))
        .collect();
    let bounds = Duration::from_millis(600)..=Duration::from_millis(1_200);
    assert!(delays.iter().all(|delay| bounds.contains(delay)));
    for start in (600..1_200).step_by(100).map(Duration::from_millis) {
        let end = start + Duration::from_millis(100);
        let reads = delays.iter().filter(|delay| (start..end).contains(*delay));
        assert!(reads.count() <= 18, "within 100 ms from {start:?}");
    }
    // The only instance of a zone, and readers, read at once.
    assert!(UpdateTree::new(0, true, 1).start_delay(1.0).is_zero());
    assert!(UpdateTree::new(3, true, 100).start_delay(1.0).is_zero());
}
