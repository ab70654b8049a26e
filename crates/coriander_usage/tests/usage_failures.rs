//! One failure each on the way from the sums of the zones to accepted reports.

mod support;

use std::time::Duration;

use coriander_usage::{KEPT_WINDOWS, UsageRecord, WindowUsage, ZoneCounts};
use support::{Holder, Platform, Store, policy, sums};

const WINDOW: u64 = 1_000;
/// Instances of the fleet in these tests.
const INSTANCES: usize = 4;

fn at(offset_ms: u64) -> Duration {
    policy().end_of(WINDOW) + Duration::from_millis(offset_ms)
}

/// Starts a holder that has held the duty since the beginning of the window and has its sums.
fn holder(store: &mut Store, count: u64) -> Holder {
    let started = policy().end_of(WINDOW - 1);
    let mut holder = Holder::acquire(store, started);
    holder.ledger.receive(&sums(1, "north", WINDOW, 2, count));
    holder.ledger.receive(&sums(3, "south", WINDOW, 2, count));
    holder
}

#[test]
fn report_is_sent_once_when_all_processes_have_closed_the_window() {
    // A report before the last counts arrived would be final and too low.
    let (mut store, mut platform) = (Store::default(), Platform::default());
    let mut holder = holder(&mut store, 5);
    holder.run(&mut store, &mut platform, at(2_900), INSTANCES);
    assert!(platform.reports.is_empty());
    holder.run(&mut store, &mut platform, at(3_100), INSTANCES);
    holder.run(&mut store, &mut platform, at(4_100), INSTANCES);
    assert_eq!(platform.reports[&WINDOW]["harbour"], 10);
    assert_eq!((store.writes, platform.calls), (1, 1));
}

#[test]
fn holder_killed_before_the_record_leaves_the_window_to_the_next() {
    // The window would be missed, or counted from what only the killed process knew.
    let (mut store, mut platform) = (Store::default(), Platform::default());
    // Without a record, a holder starts with the window in which it acquired the duty.
    store.record.last_window = WINDOW - 1;
    drop(holder(&mut store, 5));
    let mut next = Holder::acquire(&mut store, at(5_000));
    // The collectors learn of it later, and it must not report too little before.
    next.run(&mut store, &mut platform, at(7_000), INSTANCES);
    assert!(platform.reports.is_empty());
    next.ledger.receive(&sums(1, "north", WINDOW, 2, 5));
    next.ledger.receive(&sums(3, "south", WINDOW, 2, 5));
    next.run(&mut store, &mut platform, at(7_400), INSTANCES);
    assert!(platform.reports.is_empty());
    next.run(&mut store, &mut platform, at(7_500), INSTANCES);
    assert_eq!(platform.reports[&WINDOW]["harbour"], 10);
}

#[test]
fn holder_killed_after_sending_is_followed_by_the_same_counts() {
    // The next holder knows more counts by then, and a second report with them breaks the contract.
    let (mut store, mut platform) = (Store::default(), Platform::default());
    let mut first = holder(&mut store, 5);
    first.run(&mut store, &mut platform, at(3_100), INSTANCES);
    drop(first);
    let mut next = holder(&mut store, 9);
    next.run(&mut store, &mut platform, at(8_000), INSTANCES);
    assert_eq!(platform.calls, 2, "the next holder cannot know the answer");
    assert_eq!(platform.reports[&WINDOW]["harbour"], 10);
    assert!(platform.conflicts.is_empty());
}

#[test]
fn holder_woken_behind_a_new_one_neither_records_nor_reports() {
    // A frozen process still has its token and other counts.
    let (mut store, mut platform) = (Store::default(), Platform::default());
    let mut frozen = holder(&mut store, 5);
    frozen.run(&mut store, &mut platform, at(2_000), INSTANCES);
    let mut next = holder(&mut store, 7);
    next.run(&mut store, &mut platform, at(7_000), INSTANCES);
    frozen.run(&mut store, &mut platform, at(7_500), INSTANCES);
    assert_eq!(platform.reports[&WINDOW]["harbour"], 14);
    assert!(platform.conflicts.is_empty());
    assert_eq!(store.writes, 1);
}

#[test]
fn store_lost_for_the_whole_window_delays_its_report() {
    // Nothing may be sent that is not recorded, and the window must not be forgotten.
    let (mut store, mut platform) = (Store::default(), Platform::default());
    let mut holder = holder(&mut store, 5);
    holder.run(&mut store, &mut platform, at(0), INSTANCES);
    store.is_down = true;
    holder.run(&mut store, &mut platform, at(7_000), INSTANCES);
    assert!(platform.reports.is_empty());
    store.is_down = false;
    holder.run(&mut store, &mut platform, at(12_000), INSTANCES);
    assert_eq!(platform.reports[&WINDOW]["harbour"], 10);
}

#[test]
fn lost_answers_are_followed_by_the_same_counts() {
    // Counts that arrive between two attempts must not change the report.
    let (mut store, mut platform) = (Store::default(), Platform::default());
    let mut holder = holder(&mut store, 5);
    platform.loses_answers = true;
    holder.run(&mut store, &mut platform, at(3_100), INSTANCES);
    holder.ledger.receive(&sums(1, "north", WINDOW, 2, 50));
    platform.loses_answers = false;
    holder.run(&mut store, &mut platform, at(4_100), INSTANCES);
    assert_eq!(platform.calls, 2);
    assert!(platform.conflicts.is_empty());
}

#[test]
fn lost_answer_of_the_store_is_followed_by_a_read() {
    // The write may have taken effect; other counts in its place would follow another report.
    let (mut store, mut platform) = (Store::default(), Platform::default());
    let mut holder = holder(&mut store, 5);
    store.loses_answers = true;
    holder.run(&mut store, &mut platform, at(3_100), INSTANCES);
    assert!(platform.reports.is_empty());
    store.loses_answers = false;
    holder.ledger.receive(&sums(1, "north", WINDOW, 2, 50));
    holder.run(&mut store, &mut platform, at(4_100), INSTANCES);
    assert_eq!(platform.reports[&WINDOW]["harbour"], 10);
}

#[test]
fn write_applied_late_does_not_replace_what_was_sent() {
    // A write without an answer may be executed seconds later, after another one.
    let (mut store, mut platform) = (Store::default(), Platform::default());
    let mut holder = holder(&mut store, 5);
    store.delays_writes = true;
    holder.run(&mut store, &mut platform, at(3_100), INSTANCES);
    store.delays_writes = false;
    holder.ledger.receive(&sums(1, "north", WINDOW, 2, 50));
    holder.run(&mut store, &mut platform, at(4_100), INSTANCES);
    store.apply_delayed();
    assert_eq!(platform.reports[&WINDOW]["harbour"], 55);
    assert_eq!(store.record.reports[0].counts["harbour"], 55);
    assert!(platform.conflicts.is_empty());
}

#[test]
fn call_applied_late_carries_the_recorded_counts() {
    // A report without an answer may be executed after its repetition.
    let (mut store, mut platform) = (Store::default(), Platform::default());
    let mut holder = holder(&mut store, 5);
    platform.delays_calls = true;
    holder.run(&mut store, &mut platform, at(3_100), INSTANCES);
    platform.delays_calls = false;
    holder.ledger.receive(&sums(1, "north", WINDOW, 2, 50));
    holder.run(&mut store, &mut platform, at(4_100), INSTANCES);
    platform.apply_delayed();
    assert_eq!(platform.reports[&WINDOW]["harbour"], 10);
    assert!(platform.conflicts.is_empty());
}

#[test]
fn instance_killed_in_the_window_delays_the_report_only() {
    // Its window is never closed, and the others must still be reported in time.
    let (mut store, mut platform) = (Store::default(), Platform::default());
    let mut holder = Holder::acquire(&mut store, policy().end_of(WINDOW - 1));
    holder.ledger.receive(&sums(1, "north", WINDOW, 1, 5));
    holder.ledger.receive(&sums(3, "south", WINDOW, 2, 5));
    holder.run(&mut store, &mut platform, at(3_900), INSTANCES);
    assert!(platform.reports.is_empty());
    holder.run(&mut store, &mut platform, at(4_100), INSTANCES);
    assert_eq!(platform.reports[&WINDOW]["harbour"], 10);
}

#[test]
fn counts_known_after_the_report_are_returned_as_difference() {
    // Operators would not learn that a report was too low.
    let (mut store, mut platform) = (Store::default(), Platform::default());
    let mut holder = holder(&mut store, 5);
    holder.run(&mut store, &mut platform, at(3_100), INSTANCES);
    holder.ledger.receive(&sums(1, "north", WINDOW, 2, 8));
    let differences = holder.ledger.remove_old(at(120_000));
    assert_eq!(differences.len(), 1);
    assert_eq!((differences[0].reported, differences[0].missing), (10, 3));
}

#[test]
fn holder_that_sees_only_itself_waits_for_the_settle_time() {
    // After an outage of the store the first instance back would report the windows of the outage
    // with its own counts, finally.
    for instances in [0, 1] {
        let (mut store, mut platform) = (Store::default(), Platform::default());
        store.record.last_window = WINDOW - 1;
        let mut holder = Holder::acquire(&mut store, at(20_000));
        holder.ledger.receive(&sums(1, "north", WINDOW, 1, 5));
        holder.run(&mut store, &mut platform, at(22_400), instances);
        assert!(platform.reports.is_empty(), "instances={instances}");
        holder.ledger.receive(&sums(3, "south", WINDOW, 2, 5));
        holder.run(&mut store, &mut platform, at(22_500), instances);
        assert_eq!(platform.reports[&WINDOW]["harbour"], 10);
    }
}

#[test]
fn window_without_known_instances_is_not_complete() {
    // Nothing is known of the fleet, so that nothing may be concluded from missing counts.
    let (mut store, mut platform) = (Store::default(), Platform::default());
    let mut holder = Holder::acquire(&mut store, policy().end_of(WINDOW - 1));
    holder.run(&mut store, &mut platform, at(3_900), 0);
    assert!(platform.reports.is_empty());
}

#[test]
fn instances_lost_from_the_store_are_waited_for() {
    // Registrations expire in an outage of the store, though the instances still count.
    let (mut store, mut platform) = (Store::default(), Platform::default());
    let mut holder = Holder::acquire(&mut store, policy().end_of(WINDOW - 1));
    holder.ledger.receive(&sums(1, "north", WINDOW, 1, 5));
    let began = policy().end_of(WINDOW - 1) + Duration::from_millis(100);
    holder.run(&mut store, &mut platform, began, INSTANCES);
    holder.run(&mut store, &mut platform, at(3_100), 1);
    assert!(platform.reports.is_empty());
    holder.ledger.receive(&sums(1, "north", WINDOW, 4, 9));
    holder.run(&mut store, &mut platform, at(3_200), 1);
    assert_eq!(platform.reports[&WINDOW]["harbour"], 9);
}

#[test]
fn ledger_without_token_keeps_few_windows() {
    // A former holder still gets sums, and its memory would grow for as long as it runs.
    let (mut store, mut platform) = (Store::default(), Platform::default());
    let mut former = holder(&mut store, 5);
    former.run(&mut store, &mut platform, at(3_100), INSTANCES);
    for window in WINDOW..WINDOW + 1_000 {
        former.ledger.receive(&sums(1, "north", window, 2, 5));
        former.ledger.remove_old(policy().end_of(window));
    }
    assert!(former.ledger.window_count() as u64 <= KEPT_WINDOWS + 1);
}

#[test]
fn holder_forgets_accepted_windows() {
    // A holder in office for months would keep every window that it has reported.
    let mut ledger = holder(&mut Store::default(), 5).ledger;
    for window in WINDOW..WINDOW + 1_000 {
        let usage = WindowUsage {
            window,
            counts: [("harbour".into(), 5)].into(),
        };
        ledger.set_record(UsageRecord {
            last_window: window,
            revision: window,
            reports: vec![usage],
        });
        ledger.accept(window, policy().due_at(window));
        ledger.remove_old(policy().end_of(window));
    }
    assert!(ledger.window_count() as u64 <= KEPT_WINDOWS + 1);
}

#[test]
fn sums_of_wrong_clocks_are_rejected() {
    // Windows far ahead would be kept until their time comes.
    let mut ledger = holder(&mut Store::default(), 5).ledger;
    ledger.remove_old(at(0));
    for window in [7, WINDOW + 1_000, u64::MAX] {
        ledger.receive(&sums(1, "north", window, 2, 5));
        assert_eq!(ledger.closed_processes(window), 0);
    }
}

#[test]
fn report_refused_for_its_content_does_not_block_later_windows() {
    // Every later window would be missed as well, with a call each second for ever.
    let (mut store, mut platform) = (Store::default(), Platform::default());
    let mut holder = holder(&mut store, 5);
    platform.refused_window = Some(WINDOW);
    for second in 4..=10 {
        holder.run(&mut store, &mut platform, at(second * 1_000), INSTANCES);
    }
    assert!(platform.reports.is_empty(), "not given up before it is due");
    assert_eq!(platform.calls, 7);
    holder.ledger.receive(&sums(1, "north", WINDOW + 1, 2, 5));
    holder.run(&mut store, &mut platform, at(11_000), INSTANCES);
    holder.run(&mut store, &mut platform, at(12_000), INSTANCES);
    assert_eq!(platform.reports[&(WINDOW + 1)]["harbour"], 5);
    assert_eq!(platform.calls, 9);
}

#[test]
fn single_refusal_past_the_due_time_is_repeated() {
    // After an outage the first call may carry an outdated token, which is replaced.
    let (mut store, mut platform) = (Store::default(), Platform::default());
    let mut holder = holder(&mut store, 5);
    platform.refused_window = Some(WINDOW);
    holder.run(&mut store, &mut platform, at(12_000), INSTANCES);
    holder.run(&mut store, &mut platform, at(13_000), INSTANCES);
    platform.refused_window = None;
    holder.run(&mut store, &mut platform, at(14_000), INSTANCES);
    assert_eq!(platform.reports[&WINDOW]["harbour"], 10);
}

#[test]
fn lost_part_of_the_sums_delays_the_report_until_it_arrives() {
    // The report is final, so accounts in a datagram that was lost would not be billed.
    let (mut store, mut platform) = (Store::default(), Platform::default());
    let mut holder = holder(&mut store, 5);
    let accounts = (0..300).map(|number| (format!("account-{number}").into(), 1));
    let all = ZoneCounts {
        total: 300,
        counts: accounts.collect(),
        ..sums(5, "east", WINDOW, 2, 0)
    };
    let parts = all.into_parts();
    for part in &parts[1..] {
        holder.ledger.receive(part);
    }
    holder.run(&mut store, &mut platform, at(3_100), INSTANCES + 2);
    assert!(platform.reports.is_empty());
    holder.ledger.receive(&parts[0]);
    holder.run(&mut store, &mut platform, at(3_200), INSTANCES + 2);
    assert_eq!(platform.reports[&WINDOW].len(), 301);
}
