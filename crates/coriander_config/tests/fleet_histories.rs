//! Random histories of a fleet that runs the state machines of the crate.
//!
//! They guard against serving under an outdated configuration, changes that are lost, applied
//! twice or reported wrongly, and against checks that cannot fail.

mod simulation;

use coriander_config::{ChangeCommand, ChangeResult};
use coriander_core::ConfigVersion;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;
use simulation::fleet_simulation::FleetSimulation;
use simulation::{BrokenRule, Step, any_steps, choose_command};

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    #[test]
    fn histories_keep_the_guarantees(
        seed in any::<u64>(),
        fleet in 3..=5usize,
        steps in any_steps(),
    ) {
        let mut simulation = FleetSimulation::new(seed, fleet, None);
        simulation.run_history(&steps);
        prop_assert!(simulation.violations.is_empty(), "{:?}", simulation.violations);
    }
}

/// Runs random histories until a check fails; returns the number of histories.
fn histories_until_detected(broken_rule: Option<BrokenRule>, limit: usize) -> Option<usize> {
    let mut runner = TestRunner::deterministic();
    (1..=limit).find(|seed| {
        let steps = any_steps()
            .new_tree(&mut runner)
            .expect("history")
            .current();
        let mut simulation = FleetSimulation::new(*seed as u64, 3 + seed % 3, broken_rule);
        simulation.run_history(&steps);
        if let Some(violation) = simulation.violations.first() {
            println!("{broken_rule:?}: history {seed}: {violation}");
        }
        !simulation.violations.is_empty()
    })
}

#[test]
fn checks_detect_stopped_clock() {
    assert!(histories_until_detected(Some(BrokenRule::ClockStopsInPause), 100).is_some());
}

fn serving(simulation: &FleetSimulation) -> Vec<usize> {
    let nodes = simulation.nodes.iter().enumerate();
    let serving = nodes.filter(|(_, node)| node.may_serve(simulation.now));
    serving.map(|(index, _)| index).collect()
}

fn withdraw_first_key(simulation: &mut FleetSimulation, node: usize) {
    let key_id = "k0".to_owned();
    simulation.submit(node, ChangeCommand::WithdrawKey { key_id });
}

/// Guards against an outage of the platform that stops a connected fleet, and against an isolated
/// minority that continues to serve.
#[test]
fn platform_outage_stops_only_the_minority() {
    let mut simulation = FleetSimulation::new(1, 5, None);
    simulation.step(&Step::PlatformDown(true));
    for _ in 0..100 {
        simulation.run(100);
        assert_eq!(
            serving(&simulation),
            [0, 1, 2, 3, 4],
            "at {}",
            simulation.now
        );
    }
    simulation.step(&Step::Partition(0b00011));
    simulation.run(2_100);
    assert_eq!(serving(&simulation), [2, 3, 4]);
    simulation.step(&Step::Heal);
    simulation.run(1_000);
    assert_eq!(serving(&simulation), [0, 1, 2, 3, 4]);
    assert!(
        simulation.violations.is_empty(),
        "{:?}",
        simulation.violations
    );
}

/// Instance 2 misses a withdrawal, instance 1 confirms it and restarts, and the platform is down.
fn restart_after_acceptance(broken_rule: Option<BrokenRule>) -> FleetSimulation {
    let mut simulation = FleetSimulation::new(2, 3, broken_rule);
    simulation.step(&Step::Partition(0b00100));
    simulation.step(&Step::DisconnectPlatform(0b00100));
    withdraw_first_key(&mut simulation, 0);
    simulation.run(1_500);
    let last = simulation.changes.last().expect("a change");
    assert!(
        matches!(last.results[..], [ChangeResult::Accepted { .. }]),
        "{:?}",
        last.results
    );
    simulation.step(&Step::PlatformDown(true));
    simulation.step(&Step::Restart(1));
    simulation.step(&Step::Partition(0b00110));
    simulation.run(6_000);
    simulation
}

/// Guards against a restarted instance, which has lost a version, that confirms an older one.
#[test]
fn restarted_instance_does_not_count() {
    let simulation = restart_after_acceptance(None);
    assert!(
        simulation.violations.is_empty(),
        "{:?}",
        simulation.violations
    );
    assert_eq!(serving(&simulation), Vec::<usize>::new());
}

/// Shows that the checks of the previous test can fail.
#[test]
fn checks_detect_counted_restart() {
    let simulation = restart_after_acceptance(Some(BrokenRule::CountRestarted));
    assert!(!simulation.violations.is_empty());
}

/// Guards against instances that cannot serve after a restart while the platform is down.
#[test]
fn restarted_instance_loads_from_majority() {
    let mut simulation = FleetSimulation::new(3, 5, None);
    simulation.step(&Step::PlatformDown(true));
    simulation.run(3_000);
    for node in [1, 3, 4] {
        simulation.step(&Step::Restart(node));
        simulation.run(2_000);
        assert!(
            simulation.nodes[node].guard.is_loaded(),
            "instance {node} is not loaded"
        );
        assert_eq!(serving(&simulation), [0, 1, 2, 3, 4]);
    }
    assert!(
        simulation.violations.is_empty(),
        "{:?}",
        simulation.violations
    );
}

/// Guards against two concurrent changes of which both or neither are made, or whose conflict does
/// not report the winner.
#[test]
fn racing_changes_have_one_winner() {
    for seed in 0..40 {
        let mut simulation = FleetSimulation::new(seed, 3, None);
        let first = simulation.changes.len();
        let version = simulation.platform.version();
        simulation.submit(0, choose_command(3, 0));
        simulation.submit(1, choose_command(0, 77));
        simulation.run(3_000);
        let results: Vec<_> = simulation.changes[first..]
            .iter()
            .map(|c| &c.results)
            .collect();
        let is_winner =
            |results: &&&Vec<ChangeResult>| matches!(results[..], [ChangeResult::Accepted { .. }]);
        assert_eq!(results.iter().filter(is_winner).count(), 1, "{results:?}");
        let winner = results
            .iter()
            .position(|results| is_winner(&results))
            .expect("a winner");
        let conflict = ChangeResult::Conflict {
            version: ConfigVersion::new(version + 1),
            winner: format!("operator{}", first + winner),
            winner_version: ConfigVersion::new(version + 1),
        };
        assert_eq!(*results[1 - winner], [conflict]);
    }
}

/// Guards against a withdrawn key that is valid for longer than the freshness period after
/// acceptance.
#[test]
fn withdrawn_key_is_refused_everywhere() {
    let mut simulation = FleetSimulation::new(4, 5, None);
    simulation.step(&Step::Partition(0b10000));
    withdraw_first_key(&mut simulation, 2);
    simulation.run(1_500);
    assert_eq!(simulation.accepted.len(), simulation.changes.len());
    simulation.run(2_000);
    for node in &simulation.nodes {
        let serves_key = node.may_serve(simulation.now) && node.verifier.verify("secret0").is_ok();
        assert!(!serves_key, "{} accepts the key", node.id);
    }
    assert!(
        simulation.violations.is_empty(),
        "{:?}",
        simulation.violations
    );
}

/// Only instance 0 reaches the platform, and only it applies the change that it makes.
fn change_on_isolated_instance(broken_rule: Option<BrokenRule>) -> FleetSimulation {
    let mut simulation = FleetSimulation::new(5, 5, broken_rule);
    simulation.step(&Step::Partition(0b00001));
    simulation.step(&Step::DisconnectPlatform(0b11110));
    withdraw_first_key(&mut simulation, 0);
    simulation.run(6_000);
    simulation
}

/// Guards against reporting a change as accepted that no majority has applied.
#[test]
fn change_without_majority_stays_unconfirmed() {
    let simulation = change_on_isolated_instance(None);
    let result = &simulation.changes.last().expect("a change").results[0];
    let ChangeResult::Unconfirmed { missing, .. } = result else {
        panic!("{result:?}");
    };
    assert_eq!(missing.len(), 4);
    assert_eq!(serving(&simulation), [0, 1, 2, 3, 4]);
}

/// Shows that the checks of the previous test can fail.
#[test]
fn checks_detect_skipped_confirmation() {
    let simulation = change_on_isolated_instance(Some(BrokenRule::SkipConfirmation));
    assert!(!simulation.violations.is_empty());
}
