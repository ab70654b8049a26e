//! Causes of promotions and the choice of the successor.

use std::time::Duration;

use coriander_core::{LogPosition, TermNumber};
use coriander_service::{
    PrimaryObservation, PromotionCandidate, PromotionCause, SuccessorRule, TermLineage,
    choose_successor,
};

const LONG: Duration = Duration::from_secs(1);

#[test]
fn promotion_cause_is_an_outage_that_another_instance_reports() {
    let observation = PrimaryObservation::default()
        .with_failing(LONG)
        .with_reports(1, 5);
    assert_eq!(observation.promotion_cause(), Some(PromotionCause::Outage));
}

#[test]
fn promotion_cause_is_none_when_only_this_instance_is_cut_off() {
    let observation = PrimaryObservation::default()
        .with_failing(LONG)
        .with_reports(0, 5);
    assert_eq!(observation.promotion_cause(), None);
}

#[test]
fn promotion_cause_follows_the_majority_of_reports() {
    // The primary replies to this instance, but not to most of the others.
    let observation = PrimaryObservation::default().with_reports(3, 5);
    assert_eq!(
        observation.promotion_cause(),
        Some(PromotionCause::ReportedOutage)
    );
    let observation = PrimaryObservation::default().with_reports(2, 5);
    assert_eq!(observation.promotion_cause(), None);
}

#[test]
fn promotion_cause_is_an_outage_for_a_single_instance() {
    let observation = PrimaryObservation::default().with_failing(LONG);
    assert_eq!(observation.promotion_cause(), Some(PromotionCause::Outage));
}

#[test]
fn promotion_cause_prefers_a_primary_that_is_gone_to_a_planned_change() {
    let observation = PrimaryObservation::default()
        .with_missing(true)
        .with_gone(true)
        .with_leaving(true);
    assert_eq!(observation.promotion_cause(), Some(PromotionCause::Gone));
}

#[test]
fn promotion_cause_is_none_for_a_primary_that_replies_without_an_entry() {
    // Guards against the replacement of a healthy primary that only lost the store for a moment.
    let observation = PrimaryObservation::default().with_missing(true);
    assert_eq!(observation.promotion_cause(), None);
}

#[test]
fn promotion_cause_is_an_outage_when_a_missing_primary_fails_for_this_instance_only() {
    // Guards against an idle primary that is dead: no other instance uses it, so none reports it.
    let observation = PrimaryObservation::default()
        .with_failing(LONG)
        .with_missing(true)
        .with_reports(0, 5);
    assert_eq!(observation.promotion_cause(), Some(PromotionCause::Outage));
}

#[test]
fn promotion_cause_is_no_primary_after_a_delay() {
    let short = PrimaryObservation::default().with_no_primary(Duration::from_millis(100));
    assert_eq!(short.promotion_cause(), None);
    let long = PrimaryObservation::default().with_no_primary(LONG);
    assert_eq!(long.promotion_cause(), Some(PromotionCause::NoPrimary));
}

fn at(member: &str, term: u64, index: u64) -> PromotionCandidate {
    PromotionCandidate {
        member: member.into(),
        received: LogPosition::new(TermNumber::new(term), index),
        term: TermNumber::new(term),
        leaving: false,
        is_primary: false,
        is_paused: false,
    }
}

fn leaving(member: &str, index: u64) -> PromotionCandidate {
    PromotionCandidate {
        leaving: true,
        ..at(member, 1, index)
    }
}

fn rule(sync_replicas: usize) -> SuccessorRule {
    SuccessorRule {
        replicas: 2,
        sync_replicas,
        ..SuccessorRule::default()
    }
}

#[test]
fn choose_successor_prefers_a_later_term_to_a_greater_index() {
    let candidates = [at("a", 1, 900), at("b", 2, 20), at("c", 2, 19)];
    let best = choose_successor(&candidates, &rule(0)).expect("three candidates");
    assert_eq!(&*best.member, "b");
}

#[test]
fn choose_successor_is_the_same_for_equal_positions_in_any_order() {
    let first = [at("a", 1, 4), at("b", 1, 4)];
    let second = [at("b", 1, 4), at("a", 1, 4)];
    assert_eq!(
        choose_successor(&first, &rule(0)),
        choose_successor(&second, &rule(0))
    );
}

#[test]
fn choose_successor_waits_for_the_replica_that_may_hold_the_newest_commit() {
    // The replica that does not reply may be the one that confirmed the last acknowledged commit.
    assert_eq!(choose_successor(&[at("a", 1, 4)], &rule(1)), None);
    let both = [at("a", 1, 4), at("b", 1, 9)];
    let best = choose_successor(&both, &rule(1)).expect("both have replied");
    assert_eq!(&*best.member, "b");
}

#[test]
fn choose_successor_takes_a_leaving_member_that_alone_holds_the_newest_commit() {
    let candidates = [at("a", 1, 4), leaving("b", 9)];
    let best = choose_successor(&candidates, &rule(1)).expect("both have replied");
    assert_eq!(&*best.member, "b");
    let candidates = [leaving("a", 4), at("b", 1, 4)];
    let best = choose_successor(&candidates, &rule(1)).expect("both have replied");
    assert_eq!(
        &*best.member, "b",
        "equal logs: the member that is not leaving"
    );
}

#[test]
fn choose_successor_takes_no_leaving_member_without_synchronous_commits() {
    let candidates = [at("a", 1, 4), leaving("b", 9)];
    let best = choose_successor(&candidates, &rule(0)).expect("a is not leaving");
    assert_eq!(&*best.member, "a");
}

/// Term 2 began at index 38; a primary of term 1 that crashed had reached index 83.
fn second_term() -> TermLineage {
    let mut lineage = TermLineage::default();
    let parent = at("new", 1, 38);
    lineage.record_attempt(&parent.member, parent.received, parent.term);
    lineage
}

#[test]
fn choose_successor_prefers_a_shorter_log_to_one_with_discarded_commits() {
    // Sessions have read from term 2 without the commits 39 to 83 of term 1. Promoting a member
    // with these commits would undo what the sessions have read.
    let rule = SuccessorRule {
        lineage: second_term(),
        ..rule(0)
    };
    let candidates = [at("returned", 1, 83), at("behind", 1, 38)];
    let best = choose_successor(&candidates, &rule).expect("one belongs to the history");
    assert_eq!(&*best.member, "behind");
}

#[test]
fn choose_successor_takes_discarded_commits_only_without_an_alternative() {
    let mut rule = SuccessorRule {
        lineage: second_term(),
        ..rule(0)
    };
    let candidates = [at("returned", 1, 83)];
    assert_eq!(choose_successor(&candidates, &rule), None);
    rule.candidates_complete = true;
    assert!(choose_successor(&candidates, &rule).is_some());
}

#[test]
fn choose_successor_takes_a_replica_with_the_whole_log_of_the_former_primary() {
    // The replica that does not reply cannot hold an acknowledged commit that the primary lacked.
    let mut rule = rule(1);
    rule.primary_position = Some(at("old", 1, 9).received);
    assert_eq!(choose_successor(&[at("a", 1, 8)], &rule), None);
    assert!(choose_successor(&[at("a", 1, 9)], &rule).is_some());
}

#[test]
fn choose_successor_keeps_a_member_that_is_primary_of_the_newest_term() {
    // Guards against a second primary after a call without a reply that was executed late.
    let late = PromotionCandidate {
        is_primary: true,
        ..at("late", 2, 4)
    };
    let candidates = [at("ahead", 1, 9), late.clone()];
    let chosen = choose_successor(&candidates, &rule(0)).expect("it is primary");
    assert_eq!(&*chosen.member, "late");
    let deposed = PromotionCandidate {
        is_primary: true,
        ..at("deposed", 1, 9)
    };
    let candidates = [deposed, at("newer", 2, 4)];
    let chosen = choose_successor(&candidates, &rule(0)).expect("two candidates");
    assert_eq!(&*chosen.member, "newer");
}

#[test]
fn choose_successor_counts_replicas_of_groups_of_any_size() {
    let replies = |count: usize| {
        let names = ["a", "b", "c", "d"];
        names[..count]
            .iter()
            .map(|name| at(name, 1, 4))
            .collect::<Vec<_>>()
    };
    // Replicas, synchronous replicas, and the replies that are needed.
    for (replicas, sync_replicas, needed) in [(1, 1, 1), (2, 1, 2), (4, 1, 4), (4, 2, 3), (4, 4, 1)]
    {
        let rule = SuccessorRule {
            replicas,
            sync_replicas,
            ..SuccessorRule::default()
        };
        assert!(choose_successor(&replies(needed), &rule).is_some());
        assert_eq!(choose_successor(&replies(needed - 1), &rule), None);
    }
}
