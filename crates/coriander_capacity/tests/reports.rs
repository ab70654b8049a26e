//! What instances tell each other, and what is lost with one of them.

use std::time::Duration;

use coriander_capacity::{
    CapacityBoard, ConcurrencyLimit, ExchangeSample, ReadCandidate, SampleOutcome, StatementClass,
};
use coriander_core::MonotonicTime;

const fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn fail(board: &mut CapacityBoard, member: &str, now: MonotonicTime) {
    let sample = ExchangeSample {
        class: StatementClass::new(1, false, false),
        outcome: SampleOutcome::Failed,
        latency: Duration::from_millis(5),
    };
    for _ in 0..4 {
        board.record_local(member, &sample, now);
    }
}

fn candidate(member: &str) -> ReadCandidate<'_> {
    ReadCandidate {
        member,
        in_flight: 0,
        is_primary: false,
    }
}

#[test]
fn report_reaches_a_third_instance_and_ends() {
    // Guards against a report that instances keep alive among themselves after the member is well.
    let (mut home, mut first, mut second) =
        <(CapacityBoard, CapacityBoard, CapacityBoard)>::default();
    fail(&mut home, "a", at(1_000));
    first.apply_notice(&home.notice(at(1_000)), None, at(1_000));
    assert!(first.is_set_aside("a", at(1_100)));
    second.apply_notice(&first.notice(at(1_100)), None, at(1_100));
    assert!(second.is_set_aside("a", at(1_200)));
    for step in 0..30 {
        let now = at(1_100 + step * 100);
        second.apply_notice(&first.notice(now), None, now);
        first.apply_notice(&second.notice(now), None, now);
    }
    assert!(!first.is_set_aside("a", at(4_000)));
    assert!(!second.is_set_aside("a", at(4_000)));
}

#[test]
fn notice_is_empty_while_members_are_well() {
    // Guards against bytes on each message of a quiet day.
    let mut board = CapacityBoard::default();
    board.begin("a", at(1_000));
    board.end("a");
    assert!(board.notice(at(1_000)).reports.is_empty());
}

#[test]
fn successor_of_a_killed_home_instance_starts_cautiously_and_hears_what_is_set_aside() {
    // Guards against a successor that sends all callers to a member that its predecessor, which
    // was killed, had set aside, and against one that starts with the highest limit.
    let (mut predecessor, mut caller) = <(CapacityBoard, CapacityBoard)>::default();
    fail(&mut predecessor, "a", at(1_000));
    caller.apply_notice(&predecessor.notice(at(1_000)), None, at(1_000));
    drop(predecessor);
    let mut successor = CapacityBoard::default();
    successor.apply_notice(&caller.notice(at(1_300)), None, at(1_300));
    let candidates = [candidate("a"), candidate("b"), candidate("c")];
    assert_ne!(successor.order(&candidates, 3, at(1_400))[0], 0);
    assert!(successor.limit("a") <= ConcurrencyLimit::default().limit());
}

#[test]
fn last_read_target_is_used_though_it_is_set_aside() {
    // Guards against refusing reads that the only reachable member could run.
    let mut board = CapacityBoard::default();
    fail(&mut board, "a", at(1_000));
    let order = board.order(&[candidate("a")], 3, at(1_010));
    assert_eq!(order.as_slice(), [0]);
}

#[test]
fn full_member_spills_to_the_next_and_small_differences_do_not() {
    // Guards against accounts that change their member, and open connections, with each sample.
    let mut board = CapacityBoard::default();
    let mut notice = board.notice(at(1_000));
    notice.load = Some(15);
    board.apply_notice(&notice, Some("a"), at(1_000));
    let candidates = [candidate("a"), candidate("b")];
    assert_eq!(board.order(&candidates, 2, at(1_010))[0], 0);
    notice.load = Some(40);
    board.apply_notice(&notice, Some("a"), at(1_020));
    assert_eq!(board.order(&candidates, 2, at(1_030))[0], 1);
    assert_eq!(board.order(&candidates, 2, at(1_600))[0], 0);
}

#[test]
fn attempt_time_follows_the_latency_within_its_bounds() {
    // Guards against breaking off statements before the class has samples, and against waiting
    // far beyond what the class usually takes.
    let mut board = CapacityBoard::default();
    let class = StatementClass::new(0, false, false);
    let longest = Duration::from_millis(900);
    assert_eq!(board.attempt_time(class, longest), longest);
    let sample = ExchangeSample {
        class,
        outcome: SampleOutcome::Served,
        latency: Duration::from_millis(60),
    };
    for _ in 0..200 {
        board.record_local("a", &sample, at(1_000));
    }
    let learned = board.attempt_time(class, longest);
    assert!(learned >= Duration::from_millis(100) && learned <= Duration::from_millis(400));
}
