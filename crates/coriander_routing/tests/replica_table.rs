//! Individual cases of the replica table, the router, the retry budget and hedging.

use std::time::Duration;

use coriander_core::{LogPosition, MemberId, MonotonicTime};
use coriander_limits::RetryBudget;
use coriander_routing::{
    HedgePolicy, MemberPlacement, MemberReport, ReadChoice, ReadRequest, ReadRouter, ReplicaTable,
};
use coriander_tokens::SessionPosition;

fn id(name: &str) -> MemberId {
    name.parse().expect("valid name")
}

fn placement(zone: &str) -> MemberPlacement {
    let zone = zone.parse().expect("valid name");
    MemberPlacement {
        zone,
        is_leaving: false,
        is_zone_out: false,
    }
}

fn millis(time: u64) -> MonotonicTime {
    MonotonicTime::from_millis(time)
}

fn log(text: &str) -> LogPosition {
    text.parse().expect("valid position")
}

fn report(table: &mut ReplicaTable, name: &str, position: &str, is_primary: bool, sent: u64) {
    let log = log(position);
    let report = MemberReport {
        term: log.term,
        is_primary,
        log,
    };
    table.record_status(&id(name), report, millis(sent), millis(sent + 2));
}

/// Returns a group of `a` (primary), `b` and `c`, all of which reported position 1.5 at 100 ms.
fn group() -> ReplicaTable {
    let mut table = ReplicaTable::new("z1".parse().expect("valid name"), 2);
    for (name, zone) in [("a", "z1"), ("b", "z2"), ("c", "z3")] {
        table.set_member(&id(name), placement(zone));
        report(&mut table, name, "1.5", name == "a", 100);
    }
    table
}

fn choose(
    table: &ReplicaTable,
    freshness: u64,
    session: SessionPosition,
    now: u64,
) -> Option<String> {
    let freshness = Duration::from_millis(freshness);
    let request = ReadRequest {
        freshness,
        session,
        primary_queue_time: Duration::ZERO,
        elapsed_wait: Duration::ZERO,
        excluded: &[],
    };
    match ReadRouter.choose(table, &request, millis(now)) {
        ReadChoice::Replica { member, .. } | ReadChoice::Primary { member, .. } => {
            Some(member.to_string())
        }
        ReadChoice::Wait { .. } | ReadChoice::Unavailable => None,
    }
}

const UNWRITTEN: SessionPosition = SessionPosition::Unwritten;

/// Guards against trusting an isolated primary: its samples must not prove replicas fresh when a
/// majority may already follow another primary.
#[test]
fn data_age_unconfirmed_primary() {
    let mut table = group();
    report(&mut table, "a", "1.5", true, 500);
    assert_eq!(
        table.data_age(&id("b"), millis(500)),
        Some(Duration::from_millis(400))
    );
    report(&mut table, "c", "1.5", false, 450);
    assert_eq!(
        table.data_age(&id("b"), millis(500)),
        Some(Duration::from_millis(50))
    );
}

/// Guards against confirmations of a later term that validate samples of a replaced primary.
#[test]
fn data_age_after_promotion() {
    let mut table = group();
    report(&mut table, "a", "1.5", true, 500);
    report(&mut table, "c", "2.6", true, 600);
    report(&mut table, "b", "2.6", false, 610);
    assert_eq!(table.primary(), Some(&id("c")));
    assert_eq!(
        table.data_age(&id("b"), millis(700)),
        Some(Duration::from_millis(100))
    );
    assert_eq!(
        table.data_age(&id("a"), millis(700)),
        Some(Duration::from_millis(600))
    );
}

/// Guards against reads of entries that the new primary does not have.
#[test]
fn read_router_uncertain_log() {
    let mut table = group();
    report(&mut table, "b", "1.9", false, 200);
    report(&mut table, "c", "2.6", true, 210);
    assert_eq!(
        choose(&table, 10_000, UNWRITTEN, 220).as_deref(),
        Some("c"),
        "b and a are of term 1"
    );
    report(&mut table, "b", "2.6", false, 230);
    assert_eq!(choose(&table, 10_000, UNWRITTEN, 240).as_deref(), Some("b"));
}

/// Guards against a reply that arrives out of order and replaces newer state.
#[test]
fn record_status_out_of_order() {
    let mut table = group();
    report(&mut table, "b", "1.9", false, 300);
    report(&mut table, "b", "1.7", false, 200);
    assert_eq!(table.position(&id("b")), Some(log("1.9")));
    report(&mut table, "b", "2.6", false, 250);
    assert_eq!(
        table.position(&id("b")),
        Some(log("2.6")),
        "a higher term is always newer"
    );
    report(&mut table, "a", "1.9", true, 400);
    assert_eq!(
        table.primary(),
        None,
        "a primary of an earlier term does not count"
    );
}

/// Guards against sending reads to members that are leaving, out of service, failing or refusing.
#[test]
fn read_router_excluded_members() {
    let mut table = group();
    assert_eq!(choose(&table, 1000, UNWRITTEN, 110).as_deref(), Some("b"));
    table.set_member(
        &id("b"),
        MemberPlacement {
            is_leaving: true,
            ..placement("z2")
        },
    );
    assert_eq!(choose(&table, 1000, UNWRITTEN, 110).as_deref(), Some("c"));
    table.set_member(
        &id("c"),
        MemberPlacement {
            is_zone_out: true,
            ..placement("z3")
        },
    );
    assert_eq!(choose(&table, 1000, UNWRITTEN, 110).as_deref(), Some("a"));
    table.set_member(&id("b"), placement("z2"));
    let ticket = table.record_start(&id("b"), millis(110));
    table.record_failure(&ticket, millis(112));
    assert_eq!(choose(&table, 1000, UNWRITTEN, 120).as_deref(), Some("a"));
    assert_eq!(
        choose(&table, 1000, UNWRITTEN, 400).as_deref(),
        Some("b"),
        "after the pause"
    );
    let ticket = table.record_start(&id("b"), millis(400));
    table.record_refusal(&ticket);
    assert_eq!(
        choose(&table, 1000, UNWRITTEN, 401).as_deref(),
        Some("a"),
        "until its next report"
    );
    report(&mut table, "b", "1.5", false, 402);
    assert_eq!(choose(&table, 1000, UNWRITTEN, 410).as_deref(), Some("b"));
    assert_eq!(table.in_flight(&id("b")), 0);
    table.remove_member(&id("a"));
    assert_eq!(table.primary(), None);
}

/// Guards against reads from a primary that the session's position proves to be replaced.
#[test]
fn read_router_later_term() {
    let table = group();
    let later = SessionPosition::AtLeast(log("2.3"));
    assert_eq!(choose(&table, 1000, later, 110), None);
    assert_eq!(
        choose(&table, 1000, SessionPosition::Unknown, 110).as_deref(),
        Some("a")
    );
    assert_eq!(
        choose(&table, 0, UNWRITTEN, 100).as_deref(),
        Some("a"),
        "the newest data is required"
    );
}

/// Guards against unbounded memory, and against an age that is too low after samples are dropped.
#[test]
fn data_age_long_history() {
    let mut table = group();
    for step in 1..5000u64 {
        report(
            &mut table,
            "a",
            &format!("1.{}", 5 + step),
            true,
            100 + 10 * step,
        );
    }
    let now = 100 + 10 * 4999;
    report(&mut table, "c", "1.5004", false, now);
    report(&mut table, "b", "1.4900", false, now);
    let age = table
        .data_age(&id("b"), millis(now))
        .expect("known age")
        .as_millis();
    assert!((1040..1200).contains(&age), "{age}");
}

/// Guards against retries or hedges beyond the budget.
#[test]
fn retry_budget_fraction() {
    let mut budget = RetryBudget::default();
    let policy = HedgePolicy::new(Duration::from_millis(20));
    assert!(!policy.try_hedge(Duration::from_millis(9), &mut budget));
    assert_eq!(budget.available(), 100);
    let mut taken = 0;
    for _ in 0..10_000 {
        budget.record_request();
        taken += u32::from(policy.try_hedge(Duration::from_millis(10), &mut budget));
    }
    // The budget is full at the first request, which therefore adds nothing.
    assert_eq!(
        taken,
        100 + 9_999 / 10,
        "the saved retries and 10 % of the requests"
    );
    assert_eq!(budget.refused(), 10_000 - 1_099);
}

/// Guards against waiting for a replica while the primary is free, waiting without a limit, or
/// waiting for a replica that cannot qualify.
#[test]
fn read_router_wait() {
    let mut table = group();
    let _ticket = table.record_start(&id("c"), millis(110));
    let session = SessionPosition::AtLeast(log("1.6"));
    let choose = |freshness: u64, session, primary_queue_time: u64, elapsed_wait: u64| {
        let request = ReadRequest {
            freshness: Duration::from_millis(freshness),
            session,
            primary_queue_time: Duration::from_millis(primary_queue_time),
            elapsed_wait: Duration::from_millis(elapsed_wait),
            excluded: &[],
        };
        ReadRouter.choose(&table, &request, millis(110))
    };
    let is_wait = |choice| matches!(choice, ReadChoice::Wait { member, .. } if member == id("b"));
    assert!(is_wait(choose(1000, session, 50, 0)));
    assert!(!is_wait(choose(1000, session, 0, 0)), "the primary is free");
    assert!(
        !is_wait(choose(1000, session, 50, 20)),
        "the usual delay has elapsed"
    );
    assert!(
        !is_wait(choose(0, session, 50, 0)),
        "the newest data is required"
    );
    assert!(
        !is_wait(choose(3, session, 50, 0)),
        "the target is below the round trip"
    );
    assert!(
        !is_wait(choose(1000, SessionPosition::Unknown, 50, 0)),
        "no token"
    );
    let later = SessionPosition::AtLeast(log("2.6"));
    assert_eq!(choose(1000, later, 50, 0), ReadChoice::Unavailable);
}

/// Guards against excessive status requests, and against none for low freshness targets.
#[test]
fn is_status_due_rate() {
    let mut table = group();
    let tight = Duration::from_millis(60);
    assert!(
        !table.is_status_due(tight, millis(110)),
        "the sample is new enough"
    );
    assert!(table.is_status_due(tight, millis(140)));
    assert!(
        !table.is_status_due(tight, millis(160)),
        "requested already"
    );
    assert!(table.is_status_due(tight, millis(171)));
    assert!(
        !table.is_status_due(Duration::ZERO, millis(900)),
        "no sample is ever new enough"
    );
    let due =
        (1000..2000).filter(|now| table.is_status_due(Duration::from_millis(1), millis(*now)));
    assert_eq!(due.count(), 100);
}

/// Guards against hedges that queue at a busy replica or go to the first replica again.
#[test]
fn choose_hedge_free_replica() {
    let mut table = group();
    let excluded = [id("b")];
    let request = ReadRequest {
        freshness: Duration::from_secs(1),
        session: UNWRITTEN,
        primary_queue_time: Duration::ZERO,
        elapsed_wait: Duration::ZERO,
        excluded: &excluded,
    };
    let expected = Some((id("c"), log("1.5")));
    assert_eq!(
        ReadRouter.choose_hedge(&table, &request, millis(110)),
        expected
    );
    let _first = table.record_start(&id("c"), millis(110));
    assert_eq!(
        ReadRouter.choose_hedge(&table, &request, millis(110)),
        expected
    );
    let _second = table.record_start(&id("c"), millis(110));
    assert_eq!(ReadRouter.choose_hedge(&table, &request, millis(110)), None);
}
