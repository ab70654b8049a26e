//! Random histories of a whole fleet that runs the real decision code.
//!
//! They guard against serving under an outdated configuration, changes that are lost, applied
//! twice or reported wrongly, and against checks that cannot fail.

mod simulation;

use coriander_config::{ChangeCommand, ChangeResult};
use coriander_core::ConfigVersion;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;
use simulation::world::World;
use simulation::{BrokenRule, Step, any_steps, choose_command};

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    #[test]
    fn histories_keep_the_guarantees(
        seed in any::<u64>(),
        fleet in 3..=5usize,
        steps in any_steps(),
    ) {
        let mut world = World::new(seed, fleet, None);
        world.run_history(&steps);
        prop_assert!(world.violations.is_empty(), "{:?}", world.violations);
    }
}

/// Runs random histories until a check fails; returns how many that took.
fn histories_until_caught(broken: Option<BrokenRule>, limit: usize) -> Option<usize> {
    let mut runner = TestRunner::deterministic();
    (1..=limit).find(|seed| {
        let steps = any_steps()
            .new_tree(&mut runner)
            .expect("history")
            .current();
        let mut world = World::new(*seed as u64, 3 + seed % 3, broken);
        world.run_history(&steps);
        if let Some(violation) = world.violations.first() {
            println!("{broken:?}: history {seed}: {violation}");
        }
        !world.violations.is_empty()
    })
}

#[test]
fn checks_notice_clock_that_stops() {
    assert!(histories_until_caught(Some(BrokenRule::ClockStopsInPause), 100).is_some());
}

fn serving(world: &World) -> Vec<usize> {
    let nodes = world.nodes.iter().enumerate();
    let serving = nodes.filter(|(_, node)| node.may_serve(world.now));
    serving.map(|(index, _)| index).collect()
}

fn withdraw_first_key(world: &mut World, node: usize) {
    let key_id = "k0".to_owned();
    world.submit(node, ChangeCommand::WithdrawKey { key_id });
}

/// Fails if an outage of the platform stops a connected fleet, or if an isolated minority goes on.
#[test]
fn platform_outage_stops_only_the_minority() {
    let mut world = World::new(1, 5, None);
    world.step(&Step::PlatformDown(true));
    for _ in 0..100 {
        world.run(100);
        assert_eq!(serving(&world), [0, 1, 2, 3, 4], "at {}", world.now);
    }
    world.step(&Step::Split(0b00011));
    world.run(2_100);
    assert_eq!(serving(&world), [2, 3, 4]);
    world.step(&Step::Heal);
    world.run(1_000);
    assert_eq!(serving(&world), [0, 1, 2, 3, 4]);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Instance 2 misses a withdrawal, instance 1 confirms it and restarts, and the platform fails.
fn restart_after_acceptance(broken: Option<BrokenRule>) -> World {
    let mut world = World::new(2, 3, broken);
    world.step(&Step::Split(0b00100));
    world.step(&Step::CutPlatform(0b00100));
    withdraw_first_key(&mut world, 0);
    world.run(1_500);
    let last = world.changes.last().expect("a change");
    assert!(
        matches!(last.results[..], [ChangeResult::Accepted { .. }]),
        "{:?}",
        last.results
    );
    world.step(&Step::PlatformDown(true));
    world.step(&Step::Restart(1));
    world.step(&Step::Split(0b00110));
    world.run(6_000);
    world
}

/// Fails if a restarted instance, which has forgotten a version, helps an older one to a majority.
#[test]
fn restarted_instance_does_not_count() {
    let world = restart_after_acceptance(None);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    assert_eq!(serving(&world), Vec::<usize>::new());
}

/// The check above must be able to fail.
#[test]
fn checks_notice_counted_restart() {
    let world = restart_after_acceptance(Some(BrokenRule::CountRestarted));
    assert!(!world.violations.is_empty());
}

/// Fails if instances cannot return after a restart while the platform is down.
#[test]
fn restarted_instance_loads_from_majority() {
    let mut world = World::new(3, 5, None);
    world.step(&Step::PlatformDown(true));
    world.run(3_000);
    for node in [1, 3, 4] {
        world.step(&Step::Restart(node));
        world.run(2_000);
        assert!(
            world.nodes[node].guard.is_loaded(),
            "instance {node} is not loaded"
        );
        assert_eq!(serving(&world), [0, 1, 2, 3, 4]);
    }
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Fails if both or neither of two racing changes win, or if the loser is not told who won.
#[test]
fn racing_changes_have_one_winner() {
    for seed in 0..40 {
        let mut world = World::new(seed, 3, None);
        let first = world.changes.len();
        let version = world.platform.version();
        world.submit(0, choose_command(3, 0));
        world.submit(1, choose_command(0, 77));
        world.run(3_000);
        let results: Vec<_> = world.changes[first..].iter().map(|c| &c.results).collect();
        let won =
            |results: &&&Vec<ChangeResult>| matches!(results[..], [ChangeResult::Accepted { .. }]);
        assert_eq!(results.iter().filter(won).count(), 1, "{results:?}");
        let winner = results
            .iter()
            .position(|results| won(&results))
            .expect("a winner");
        let conflict = ChangeResult::Conflict {
            version: ConfigVersion::new(version + 1),
            winner: format!("operator{}", first + winner),
            winner_version: ConfigVersion::new(version + 1),
        };
        assert_eq!(*results[1 - winner], [conflict]);
    }
}

/// Fails if a withdrawn key is accepted later than the freshness period after acceptance.
#[test]
fn withdrawn_key_is_refused_everywhere() {
    let mut world = World::new(4, 5, None);
    world.step(&Step::Split(0b10000));
    withdraw_first_key(&mut world, 2);
    world.run(1_500);
    assert_eq!(world.accepted.len(), world.changes.len());
    world.run(2_000);
    for node in &world.nodes {
        let serves_key = node.may_serve(world.now) && node.verifier.verify("secret0").is_ok();
        assert!(!serves_key, "{} accepts the key", node.id);
    }
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Only instance 0 reaches the platform, and only it learns of the change that it makes.
fn change_on_isolated_instance(broken: Option<BrokenRule>) -> World {
    let mut world = World::new(5, 5, broken);
    world.step(&Step::Split(0b00001));
    world.step(&Step::CutPlatform(0b11110));
    withdraw_first_key(&mut world, 0);
    world.run(6_000);
    world
}

/// Fails if a change is reported as accepted although no majority has applied it.
#[test]
fn change_without_majority_stays_unconfirmed() {
    let world = change_on_isolated_instance(None);
    let result = &world.changes.last().expect("a change").results[0];
    let ChangeResult::Unconfirmed { missing, .. } = result else {
        panic!("{result:?}");
    };
    assert_eq!(missing.len(), 4);
    assert_eq!(serving(&world), [0, 1, 2, 3, 4]);
}

/// The check above must be able to fail.
#[test]
fn checks_notice_skipped_confirmation() {
    let world = change_on_isolated_instance(Some(BrokenRule::SkipConfirmation));
    assert!(!world.violations.is_empty());
}
