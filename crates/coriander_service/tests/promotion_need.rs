//! When a group needs a new primary, and which member it should be.

use std::time::Duration;

use coriander_core::{LogPosition, TermNumber};
use coriander_service::{
    LeaderObservation, PromotionCandidate, PromotionNeed, SuccessorRule, choose_successor,
};

const LONG: Duration = Duration::from_secs(1);

#[test]
fn need_is_an_outage_when_another_instance_sees_it_too() {
    let observation = LeaderObservation::default()
        .with_failing(LONG)
        .with_reports(1, 5);
    assert_eq!(observation.need(), Some(PromotionNeed::Outage));
}

#[test]
fn need_is_none_when_only_this_instance_is_cut_off() {
    let observation = LeaderObservation::default()
        .with_failing(LONG)
        .with_reports(0, 5);
    assert_eq!(observation.need(), None);
}

#[test]
fn need_follows_the_majority_although_the_primary_answers_here() {
    let observation = LeaderObservation::default().with_reports(3, 5);
    assert_eq!(observation.need(), Some(PromotionNeed::ReportedOutage));
    let observation = LeaderObservation::default().with_reports(2, 5);
    assert_eq!(observation.need(), None);
}

#[test]
fn need_is_an_outage_for_a_single_instance() {
    let observation = LeaderObservation::default().with_failing(LONG);
    assert_eq!(observation.need(), Some(PromotionNeed::Outage));
}

#[test]
fn need_names_a_missing_entry_before_a_planned_change() {
    let observation = LeaderObservation::default()
        .with_missing(true)
        .with_leaving(true);
    assert_eq!(observation.need(), Some(PromotionNeed::Missing));
}

#[test]
fn need_waits_before_it_replaces_a_leader_that_nobody_claims_to_be() {
    let short = LeaderObservation::default().with_no_leader(Duration::from_millis(100));
    assert_eq!(short.need(), None);
    let long = LeaderObservation::default().with_no_leader(LONG);
    assert_eq!(long.need(), Some(PromotionNeed::NoLeader));
}

fn at(member: &str, term: u64, index: u64) -> PromotionCandidate {
    PromotionCandidate {
        member: member.into(),
        received: LogPosition::new(TermNumber::new(term), index),
        leaving: false,
    }
}

fn leaving(member: &str, index: u64) -> PromotionCandidate {
    PromotionCandidate {
        leaving: true,
        ..at(member, 1, index)
    }
}

const ASYNCHRONOUS: SuccessorRule = SuccessorRule {
    replicas: 2,
    synchronous: 0,
};
const ONE_SYNCHRONOUS: SuccessorRule = SuccessorRule {
    replicas: 2,
    synchronous: 1,
};

#[test]
fn choose_successor_prefers_a_later_term_to_a_greater_index() {
    let candidates = [at("a", 1, 900), at("b", 2, 20), at("c", 2, 19)];
    let best = choose_successor(&candidates, ASYNCHRONOUS).expect("three candidates");
    assert_eq!(&*best.member, "b");
}

#[test]
fn choose_successor_is_the_same_for_equal_positions_in_any_order() {
    let first = [at("a", 1, 4), at("b", 1, 4)];
    let second = [at("b", 1, 4), at("a", 1, 4)];
    assert_eq!(
        choose_successor(&first, ASYNCHRONOUS),
        choose_successor(&second, ASYNCHRONOUS)
    );
}

#[test]
fn choose_successor_waits_for_the_replica_that_may_hold_the_newest_commit() {
    // The replica that does not answer may be the one that had a commit acknowledged.
    assert_eq!(choose_successor(&[at("a", 1, 4)], ONE_SYNCHRONOUS), None);
    let both = [at("a", 1, 4), at("b", 1, 9)];
    let best = choose_successor(&both, ONE_SYNCHRONOUS).expect("both are known");
    assert_eq!(&*best.member, "b");
}

#[test]
fn choose_successor_takes_a_leaving_member_that_alone_holds_the_newest_commit() {
    let candidates = [at("a", 1, 4), leaving("b", 9)];
    let best = choose_successor(&candidates, ONE_SYNCHRONOUS).expect("both are known");
    assert_eq!(&*best.member, "b");
    let candidates = [leaving("a", 4), at("b", 1, 4)];
    let best = choose_successor(&candidates, ONE_SYNCHRONOUS).expect("both are known");
    assert_eq!(&*best.member, "b", "equal logs: the one that stays");
}

#[test]
fn choose_successor_takes_no_leaving_member_without_synchronous_commits() {
    let candidates = [at("a", 1, 4), leaving("b", 9)];
    let best = choose_successor(&candidates, ASYNCHRONOUS).expect("a stays");
    assert_eq!(&*best.member, "a");
}
