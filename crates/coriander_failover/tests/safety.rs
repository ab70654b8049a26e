//! Random faults against two monitors at once; no acknowledged write may be lost.

mod cluster;

use cluster::member::BrokenRule;
use cluster::{Cluster, Fault, MEMBERS, Network};
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;

const MILLISECOND: u64 = 1_000;
const SECOND: u64 = 1_000 * MILLISECOND;
/// Cases within which a broken rule must be detected.
const MAX_BROKEN_CASES: u32 = 400;

type Schedule = (u64, Vec<(u64, Fault)>);

fn fault() -> impl Strategy<Value = Fault> {
    let member = 0..MEMBERS;
    let pause = 20 * MILLISECOND..2_500 * MILLISECOND;
    prop_oneof![
        2 => member.clone().prop_map(Fault::KillMember),
        3 => Just(Fault::KillPrimary),
        6 => member.clone().prop_map(Fault::RestartMember),
        2 => (member.clone(), pause.clone()).prop_map(|(m, time)| Fault::PauseMember(m, time)),
        3 => pause.clone().prop_map(Fault::PausePrimary),
        2 => member.clone().prop_map(Fault::IsolateMember),
        3 => Just(Fault::IsolatePrimary),
        5 => Just(Fault::HealAll),
        3 => (0..2_usize, pause).prop_map(|(p, time)| Fault::PauseProposer(p, time)),
        2 => (0..2_usize).prop_map(Fault::RestartProposer),
        1 => member.prop_map(Fault::TakeOutZone),
    ]
}

fn schedule() -> impl Strategy<Value = Schedule> {
    let step = (0..900 * MILLISECOND, fault());
    (any::<u64>(), prop::collection::vec(step, 1..16))
}

/// Runs a schedule, ends all faults and runs on for 6 s; returns the time at which the faults end.
fn run(schedule: &Schedule, broken_rule: Option<BrokenRule>) -> (Cluster, u64) {
    let (seed, steps) = schedule;
    let mut cluster = Cluster::new(*seed, Network::FAULTY, broken_rule);
    cluster.interval_factor = 3;
    let mut time = SECOND;
    for (step, fault) in steps {
        time += step;
        cluster.inject_at(time, *fault);
    }
    time += SECOND;
    cluster.inject_at(time, Fault::HealAll);
    for member in 0..MEMBERS {
        cluster.inject_at(time, Fault::RestartMember(member));
    }
    cluster.run_until(time + 6 * SECOND);
    (cluster, time)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 150, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against lost acknowledged writes, two primaries of one term, acknowledgements of an
    /// old primary, and groups that never recover.
    #[test]
    fn promotion_keeps_acknowledged_writes(schedule in schedule()) {
        let (cluster, faults_end) = run(&schedule, None);
        prop_assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
        prop_assert!(!cluster.acknowledged.is_empty());
        prop_assert!(cluster.gap_after(faults_end).is_some(), "no service after the faults");
    }
}

fn assert_detected(broken_rule: BrokenRule) {
    let mut runner = TestRunner::deterministic();
    for case in 0..MAX_BROKEN_CASES {
        let schedule = schedule()
            .new_tree(&mut runner)
            .expect("schedule")
            .current();
        let (cluster, _) = run(&schedule, Some(broken_rule));
        if let Some(violation) = cluster.violations.first() {
            println!("{broken_rule:?}: detected in case {case}: {violation}");
            return;
        }
    }
    panic!("{broken_rule:?} was not detected in {MAX_BROKEN_CASES} cases");
}

/// Shows that the property fails if the proposer cannot compare log positions.
#[test]
fn broken_position_comparison_is_detected() {
    assert_detected(BrokenRule::HiddenPosition);
}

/// Shows that the property fails if fewer than a majority are fenced.
#[test]
fn broken_fence_is_detected() {
    assert_detected(BrokenRule::ForgedFence);
}

/// Shows that the property fails if fenced members continue to replicate and confirm older terms.
#[test]
fn broken_replication_is_detected() {
    assert_detected(BrokenRule::UnfencedReplication);
}
