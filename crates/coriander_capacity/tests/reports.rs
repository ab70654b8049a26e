//! What instances tell each other, and what is lost with one of them.

use std::collections::VecDeque;
use std::time::Duration;

use coriander_capacity::{
    CapacityBoard, CapacityNotice, ConcurrencyLimit, ExchangeSample, ReadCandidate, SampleOutcome,
    StatementClass,
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

/// Sends an exchange between two instances every 5 ms, in turn one from each side. An exchange
/// takes 20 ms: the request is received after 5 ms, and the reply leaves 10 ms later.
fn exchange_until(boards: &mut [CapacityBoard; 2], start_ms: u64, end_ms: u64) {
    let mut requests = VecDeque::new();
    let mut replies = VecDeque::new();
    for step in 0..(end_ms - start_ms) / 5 {
        let now_ms = start_ms + step * 5;
        let sender = (step % 2) as usize;
        requests.push_back((now_ms, sender, boards[sender].notice()));
        while let Some((sent_ms, sender, notice)) =
            requests.pop_front_if(|request: &mut Request| request.0 + 5 <= now_ms)
        {
            boards[1 - sender].apply_reports(&notice, at(now_ms), at(now_ms));
            replies.push_back((sent_ms, sender, None));
        }
        for (sent_ms, sender, reply) in &mut replies {
            if reply.is_none() && *sent_ms + 15 <= now_ms {
                *reply = Some(boards[1 - *sender].reply_notice("a"));
            }
        }
        while let Some((sent_ms, sender, reply)) =
            replies.pop_front_if(|reply: &mut Reply| reply.0 + 20 <= now_ms)
        {
            let reply = reply.expect("the reply has left");
            boards[sender].apply_reply(&reply, "a", at(sent_ms), at(now_ms));
        }
    }
}

type Request = (u64, usize, CapacityNotice);
type Reply = (u64, usize, Option<CapacityNotice>);

#[test]
fn report_ends_within_its_lifetime_after_its_origin_is_gone() {
    // Guards against a report that instances keep alive among themselves, by exchanges that
    // overlap, after the member is well and the instance that set it aside is gone.
    let mut home = CapacityBoard::default();
    let mut boards = <[CapacityBoard; 2]>::default();
    fail(&mut home, "a", at(1_000));
    for board in &mut boards {
        board.apply_reports(&home.notice(), at(1_010), at(1_010));
    }
    drop(home);
    exchange_until(&mut boards, 1_010, 2_500);
    assert!(
        boards
            .iter()
            .all(|board| board.is_set_aside("a", at(2_500)))
    );
    exchange_until(&mut boards, 2_500, 2_515);
    assert!(
        !boards
            .iter()
            .any(|board| board.is_set_aside("a", at(2_515)))
    );
}

#[test]
fn report_is_heard_by_exchange_partners_in_both_directions_and_renewed() {
    // Guards against an origin whose requests or replies do not tell its partner, and against a
    // report that ends while the origin renews it.
    let mut boards = <[CapacityBoard; 2]>::default();
    fail(&mut boards[0], "a", at(1_000));
    fail(&mut boards[1], "b", at(1_000));
    exchange_until(&mut boards, 1_000, 6_000);
    assert!(boards[0].is_set_aside("b", at(6_000)));
    assert!(boards[1].is_set_aside("a", at(6_000)));
}

#[test]
fn reply_that_takes_long_does_not_prolong_its_report() {
    // Guards against a report that counts from the arrival of a reply that was held up.
    let (mut home, mut caller) = <(CapacityBoard, CapacityBoard)>::default();
    fail(&mut home, "a", at(1_000));
    caller.apply_reply(&home.reply_notice("a"), "a", at(1_000), at(1_800));
    assert!(caller.is_set_aside("a", at(2_400)));
    assert!(!caller.is_set_aside("a", at(2_500)));
}

#[test]
fn member_that_left_is_not_reported() {
    // Guards against reports about a member that is forgotten while it is set aside.
    let mut board = CapacityBoard::default();
    fail(&mut board, "a", at(1_000));
    assert_eq!(board.notice().reports.len(), 1);
    board.remove("a");
    assert!(board.notice().reports.is_empty());
}

#[test]
fn notice_is_empty_while_members_are_well() {
    // Guards against bytes on each message of a quiet day.
    let mut board = CapacityBoard::default();
    board.begin("a", at(1_000));
    board.end("a");
    assert!(board.notice().reports.is_empty());
}

#[test]
fn successor_of_a_killed_home_instance_starts_cautiously_and_hears_what_is_set_aside() {
    // Guards against a successor that sends all callers to a member that its predecessor, which
    // was killed, had set aside, and against one that starts with the highest limit. The caller has
    // seen the failures by the replies of the predecessor.
    let mut caller = CapacityBoard::default();
    for _ in 0..2 {
        caller.record_relayed("a", SampleOutcome::Failed, at(1_000));
    }
    let mut successor = CapacityBoard::default();
    successor.apply_reports(&caller.notice(), at(1_300), at(1_300));
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
    let mut notice = board.notice();
    notice.load = Some(15);
    board.apply_reply(&notice, "a", at(1_000), at(1_000));
    let candidates = [candidate("a"), candidate("b")];
    assert_eq!(board.order(&candidates, 2, at(1_010))[0], 0);
    notice.load = Some(40);
    board.apply_reply(&notice, "a", at(1_020), at(1_020));
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
    assert_eq!(board.attempt_time("a", class, longest, at(1_000)), longest);
    let sample = ExchangeSample {
        class,
        outcome: SampleOutcome::Served,
        latency: Duration::from_millis(60),
    };
    for _ in 0..200 {
        board.record_local("a", &sample, at(1_000));
    }
    let learned = board.attempt_time("a", class, longest, at(1_000));
    assert!(learned >= Duration::from_millis(100) && learned <= Duration::from_millis(400));
}

#[test]
fn description_of_an_unused_member_has_all_fields() {
    // Guards against a line that scripts can't split, and against a report that it does not show.
    let (mut home, mut board) = <(CapacityBoard, CapacityBoard)>::default();
    let unused = board.describe("a", at(1_000));
    assert_eq!(unused, "limit=- load=- set_aside=-");
    fail(&mut home, "a", at(1_000));
    board.apply_reports(&home.notice(), at(1_000), at(1_000));
    let reported = board.describe("a", at(1_100));
    assert_eq!(reported, "limit=- load=- set_aside=reported");
}
