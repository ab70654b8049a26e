//! Counting in processes, collecting in zones, and the time of a window.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use coriander_core::MonotonicTime;
use coriander_usage::{
    AccountCounter, AccountCounts, ClockEstimate, InstanceCounts, KEPT_WINDOWS, WindowCounts,
    ZoneCollector, split_counts,
};
use proptest::prelude::*;

fn counts(process: u64, window: u64, count: u64) -> InstanceCounts {
    InstanceCounts {
        process,
        zone: "north".into(),
        window,
        is_closed: true,
        total: count,
        counts: vec![("harbour".into(), count)],
    }
}

/// Returns the counts of window 7 after its end.
fn closed(counts: AccountCounts) -> WindowCounts {
    WindowCounts {
        window: 7,
        is_closed: true,
        counts,
    }
}

#[test]
fn closed_window_is_sent_until_both_collectors_have_confirmed_it() {
    // A datagram may be lost; endless repetition would cost every instance each second.
    let mut counter = AccountCounter::default();
    counter.count(&"harbour".into(), 7);
    assert_eq!(counter.take_due(7, 2).len(), 1);
    assert_eq!(counter.take_due(7, 2).len(), 0);
    assert_eq!(counter.take_due(8, 2).len(), 1);
    counter.confirm(7, 1, 1);
    counter.confirm(7, 1, 1);
    assert_eq!(counter.take_due(8, 2).len(), 1);
    counter.confirm(7, 2, 1);
    assert_eq!(counter.take_due(8, 2).len(), 0);
    counter.count(&"harbour".into(), 7);
    let due = counter.take_due(8, 2);
    assert_eq!(due, [closed(vec![("harbour".into(), 2)])]);
    // A confirmation of the former counts does not end the repetition of the present ones.
    counter.confirm(7, 1, 1);
    counter.confirm(7, 2, 1);
    assert_eq!(counter.take_due(8, 2).len(), 1);
}

#[test]
fn closed_window_without_confirmation_is_sent_four_times() {
    // Counts for lost collectors would be repeated for as long as the window is kept.
    let mut counter = AccountCounter::default();
    counter.count(&"harbour".into(), 7);
    counter.take_due(7, 2);
    let sent: usize = (0..20).map(|_| counter.take_due(8, 2).len()).sum();
    // The window after it is still open.
    assert_eq!(sent, 4);
}

#[test]
fn lost_part_keeps_the_window_of_the_process_open() {
    // Counts of many accounts need several datagrams. A process whose window counts as closed while
    // one of them is missing would leave its accounts out of the report.
    let mut counter = AccountCounter::default();
    for number in 0..300 {
        counter.count(&format!("account-{number}").into(), 7);
    }
    let mut collector = ZoneCollector::default();
    let zone: Arc<str> = "north".into();
    let due = counter.take_due(8, 1).remove(0);
    let parts = InstanceCounts::parts(1, &zone, due);
    assert!(parts.len() > 2);
    for part in &parts[1..] {
        collector.record(part);
    }
    assert_eq!(collector.take_due(9, 8)[0].closed_processes, 0);
    let received = collector.received(1, &zone, 7).unwrap_or(0);
    counter.confirm(7, 9, received);
    let again = counter.take_due(8, 1).remove(0);
    for part in InstanceCounts::parts(1, &zone, again) {
        collector.record(&part);
    }
    let sums = collector.take_due(9, 8).remove(0);
    assert_eq!((sums.closed_processes, sums.total), (1, 300));
    counter.confirm(7, 9, 300);
    assert!(counter.take_due(8, 1).is_empty());
}

#[test]
fn window_without_operations_is_closed() {
    // The holder would wait for an idle instance with every report.
    let mut counter = AccountCounter::default();
    counter.take_due(7, 2);
    assert_eq!(counter.take_due(8, 2), [closed(Vec::new())]);
}

#[test]
fn old_windows_are_removed() {
    // The memory of an instance must not grow with its age.
    let mut counter = AccountCounter::default();
    counter.count(&"harbour".into(), 7);
    counter.resend_all();
    assert!(counter.take_due(7 + KEPT_WINDOWS, 2).is_empty());
}

#[test]
fn restarted_process_counts_besides_its_former_one() {
    // With the name of the instance as key, the counts of one of the two processes would be lost.
    let mut collector = ZoneCollector::default();
    collector.record(&counts(1, 7, 5));
    collector.record(&counts(2, 7, 3));
    let due = collector.take_due(9, 8);
    assert_eq!(due[0].counts, [("harbour".into(), 8)]);
    assert_eq!(due[0].closed_processes, 2);
}

#[test]
fn new_holder_gets_all_sums_again() {
    // The former holder may have been killed with what it had received.
    let mut collector = ZoneCollector::default();
    collector.record(&counts(1, 7, 5));
    collector.take_due(9, 8);
    collector.take_due(9, 8);
    assert!(collector.take_due(9, 8).is_empty());
    collector.resend_all();
    assert_eq!(collector.take_due(9, 8).len(), 1);
}

#[test]
fn stepped_third_of_the_clocks_does_not_move_the_time() {
    // A clock that steps by 2 s moves two fifths of the operations of a window into another one.
    let now = MonotonicTime::from_millis(4_000);
    let wall_time = Duration::from_secs(1_000);
    let stepped = wall_time + Duration::from_secs(2);
    let mut clock = ClockEstimate::default();
    for process in 0..24 {
        let is_stepped = process % 3 == 0;
        clock.record_peer(process, if is_stepped { stepped } else { wall_time }, now);
    }
    clock.record_own(stepped, now);
    assert_eq!(clock.wall_time(now), wall_time);
    // An instance that is no collector compares its clock with those of two.
    let mut clock = ClockEstimate::default();
    clock.record_peer(1, wall_time, now);
    clock.record_peer(2, wall_time, now);
    clock.record_own(stepped, now);
    assert_eq!(clock.wall_time(now), wall_time);
}

#[test]
fn split_counts_fit_into_a_datagram() {
    // A longer datagram is invalid at its receiver.
    let accounts = (0..500).map(|n| (Arc::from(format!("account-{n}")), 1));
    let parts = split_counts(accounts.collect());
    assert_eq!(parts.iter().map(Vec::len).sum::<usize>(), 500);
    let bytes = |part: &Vec<(Arc<str>, u64)>| part.iter().map(|(name, _)| name.len() + 6).sum();
    assert!(parts.iter().map(bytes).all(|bytes: usize| bytes <= 1_200));
    assert_eq!(split_counts(Vec::new()).len(), 1);
}

#[test]
fn counter_and_collector_without_receivers_keep_few_windows() {
    // An instance without a collector or a holder for hours would run out of memory.
    let mut counter = AccountCounter::default();
    let mut collector = ZoneCollector::default();
    for window in 1..=1_000 {
        counter.count(&"harbour".into(), window);
        collector.record(&counts(1, window, 5));
        counter.remove_old(window);
        collector.remove_old(window);
    }
    let kept = usize::try_from(KEPT_WINDOWS).expect("small");
    assert_eq!(
        (counter.window_count(), collector.window_count()),
        (kept, kept)
    );
    assert_eq!(collector.take_due(9, 1_001).len(), kept);
}

#[test]
fn windows_of_wrong_clocks_are_rejected() {
    // Windows far ahead would be kept for ever, and the highest number would overflow.
    let mut collector = ZoneCollector::default();
    collector.remove_old(1_000);
    for window in [7, 1_000 + KEPT_WINDOWS + 1, u64::MAX] {
        collector.record(&counts(1, window, 5));
    }
    assert_eq!(collector.window_count(), 0);
    collector.record(&counts(1, 1_001, 5));
    assert_eq!(collector.window_count(), 1);
    let mut counter = AccountCounter::default();
    counter.count(&"harbour".into(), u64::MAX);
    assert_eq!(counter.take_due(1_000, 2), []);
}

proptest! {
    #[test]
    fn sums_do_not_depend_on_order_or_repetition(
        mut messages in prop::collection::vec((0_u64..4, 0_u64..20), 1..30),
        seed in any::<usize>(),
    ) {
        // Datagrams are lost, repeated and reordered; a count must never be added twice.
        let mut newest: BTreeMap<u64, u64> = BTreeMap::new();
        for (process, count) in &messages {
            let known = newest.entry(*process).or_default();
            *known = (*known).max(*count);
        }
        let mut collector = ZoneCollector::default();
        let shift = seed % messages.len();
        messages.rotate_left(shift);
        for (process, count) in messages.iter().chain(&messages) {
            collector.record(&counts(*process, 7, *count));
        }
        let due = collector.take_due(9, 8);
        prop_assert_eq!(due[0].counts[0].1, newest.values().sum::<u64>());
    }
}
