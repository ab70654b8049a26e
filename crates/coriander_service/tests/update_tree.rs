//! The update tree of a zone, in virtual time and without a network.

use std::time::Duration;

use coriander_service::{FAN_OUT, READERS_PER_ZONE, UpdateTree};

/// Fleets of 30, 300 and 2,100 instances in three zones.
const ZONE_SIZES: [usize; 3] = [10, 100, 700];

/// Time from a request to its reply between two instances of a zone.
const HOP_MS: u64 = 20;

/// Pause of an instance between a reply and its next request, and the time for which its source
/// holds that request.
const PAUSE_MS: u64 = 150;
const HOLD_MS: u64 = 600;

/// Interval between two reads of the store by the reader of a zone.
const READ_MS: u64 = 1_050;

fn zone(size: usize) -> Vec<UpdateTree> {
    let position = |rank| UpdateTree::new(rank, true, size);
    (0..size).map(position).collect()
}

/// Returns how many instances ask each one first.
fn first_requests(zone: &[UpdateTree]) -> Vec<usize> {
    let mut requests = vec![0; zone.len()];
    for position in zone {
        if let Some(source) = position.sources(false, 0).first() {
            requests[*source] += 1;
        }
    }
    requests
}

#[test]
fn sources_load_no_instance_with_the_size_of_the_zone() {
    // When all instances of a zone asked one reader, a change of the members saturated its link at
    // 100 instances, its replies were late, and the zone read the store instead.
    for size in ZONE_SIZES {
        let zone = zone(size);
        let requests = first_requests(&zone);
        // The other readers ask the first one as well.
        let most = requests.iter().max().copied().unwrap_or_default();
        assert!(most <= FAN_OUT, "{size} instances: {most} ask the same one");
        let asked: usize = requests.iter().sum();
        assert_eq!(asked, size - 1, "{size}: only the first instance asks none");
    }
}

#[test]
fn sources_of_a_small_zone_are_its_readers() {
    // Guards against readers that ask higher ranks while they can read the store, and against an
    // instance of a small zone without a second source.
    for rank in READERS_PER_ZONE..10 {
        let sources = UpdateTree::new(rank, true, 10).sources(false, 5);
        assert_eq!(sources.as_slice(), [0, 1, 2, 3]);
    }
    assert_eq!(
        UpdateTree::new(2, true, 10).sources(false, 0).as_slice(),
        [0, 1]
    );
    assert_eq!(
        UpdateTree::new(2, true, 10).sources(true, 0).as_slice(),
        [0, 1, 3]
    );
    assert!(UpdateTree::new(0, true, 10).sources(false, 0).is_empty());
    assert!(UpdateTree::new(0, false, 0).sources(true, 0).is_empty());
}

#[test]
fn depth_grows_with_the_logarithm_of_the_zone() {
    // Guards against a tree whose levels add up to an outdated configuration in a large zone.
    let depths = ZONE_SIZES.map(|size| UpdateTree::new(size - 1, true, size).depth());
    assert_eq!(depths, [1, 2, 3]);
}

/// Time at which each instance of a zone knows a change that the reader finds at time 0, if all
/// others start to ask at times spread by their ranks. An instance listens again `PAUSE_MS` after
/// each reply; its source answers at once when it has a newer snapshot.
fn times_of_change(zone: &[UpdateTree]) -> Vec<u64> {
    let mut times = vec![0; zone.len()];
    for (rank, position) in zone.iter().enumerate().skip(1) {
        let source = position.parent().expect("below the first");
        // The last reply came up to a pause before, so the next request may be this much later.
        let late = (rank as u64 * 37) % PAUSE_MS;
        times[rank] = times[source] + late + HOP_MS;
    }
    times
}

#[test]
fn change_reaches_all_within_one_read_of_the_store() {
    // Guards against a level of the tree that falls behind the reads of the store.
    for size in ZONE_SIZES {
        let last = times_of_change(&zone(size)).into_iter().max();
        let bound = READ_MS;
        assert!(last < Some(bound), "{size} instances: {last:?} ms");
    }
}

#[test]
fn requests_per_second_do_not_depend_on_the_zone() {
    // Per instance: its own requests and those that it answers. A request lasts until the reader
    // has read the store again, or until the hold ends.
    let per_second = 1_000.0 / (PAUSE_MS + HOLD_MS.min(READ_MS - PAUSE_MS)) as f64;
    for size in ZONE_SIZES {
        let requests = first_requests(&zone(size));
        let busiest = requests.iter().max().copied().unwrap_or_default() as f64;
        let total: usize = requests.iter().sum();
        let mean = total as f64 / size as f64;
        assert!((1.0 + busiest) * per_second < 20.0, "{size}: {busiest}");
        assert!((1.0 + mean) * per_second < 3.0, "{size}: {mean}");
    }
}

#[test]
fn killed_readers_leave_every_instance_a_source() {
    // The instances that notice drop the readers from their ranking; the others still have them.
    for size in ZONE_SIZES {
        let killed = READERS_PER_ZONE;
        let without: Vec<_> = zone(size - killed);
        assert!(without[0].is_reader() && without[0].sources(false, 0).is_empty());
        let requests = first_requests(&without);
        assert_eq!(requests.iter().sum::<usize>(), size - killed - 1);
        let late = UpdateTree::new(size - 1, true, size);
        if late.depth() == 1 {
            // Its only sources were the readers, so it reads the store.
            let age = late.read_age(false, 1.0);
            assert_eq!(age, Duration::from_millis(2_600));
            continue;
        }
        // One that has not noticed asks, after its parent, a different instance each time.
        let other = |turn| late.sources(false, turn).get(1).copied();
        let others: Vec<_> = (0..20).filter_map(other).collect();
        let alive = others.iter().filter(|rank| **rank >= killed).count();
        assert!(alive * 2 > others.len(), "{size} instances: {others:?}");
    }
}

#[test]
fn reads_of_a_zone_without_updates_are_spread() {
    // 300 instances that read the store at the same age overloaded it: each read takes ten calls,
    // and no read ended before its timeout.
    let size = 100;
    let ages: Vec<_> = zone(size)
        .iter()
        .enumerate()
        .map(|(rank, position)| position.read_age(true, rank as f64 / size as f64))
        .collect();
    let at_once = ages
        .iter()
        .filter(|age| **age <= Duration::from_millis(2_600));
    assert_eq!(at_once.count(), 1 + FAN_OUT, "readers and the first level");
    let limit = Duration::from_millis(4_500);
    assert!(
        ages.iter().all(|age| *age < limit),
        "before keys expire at 5 s"
    );
    for start in (3_300..4_300).step_by(100).map(Duration::from_millis) {
        let end = start + Duration::from_millis(100);
        let reads = ages.iter().filter(|age| (start..end).contains(*age));
        assert!(reads.count() <= size / 8, "within 100 ms from {start:?}");
    }
}

#[test]
fn read_age_without_a_reply_is_that_of_a_small_fleet() {
    // An instance that reaches the store but no other instance must not wait for them.
    for size in ZONE_SIZES {
        let deepest = UpdateTree::new(size - 1, true, size);
        assert_eq!(deepest.read_age(false, 1.0), Duration::from_millis(2_600));
    }
    assert_eq!(
        UpdateTree::new(0, false, 0).read_age(false, 0.0),
        Duration::ZERO
    );
}
