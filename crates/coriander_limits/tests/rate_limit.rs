//! Tests that the fleet never spends more than burst + rate × t of an account under faults.

#[path = "../examples/support/mod.rs"]
mod support;

use std::time::Duration;

use coriander_core::AccountLimits;
use coriander_limits::LimitPolicy;
use proptest::prelude::*;
use support::{Action, Fault, Settings, Simulation};

const SECOND: u64 = 1_000_000;

fn settings(seed: u64, fault: Fault) -> Settings {
    let limits = [(200, 100), (50, 20), (20, 200), (100, 8)];
    let limits = limits.map(|(rate, burst)| AccountLimits { rate, burst });
    Settings {
        seed,
        limits: limits.to_vec(),
        policy: LimitPolicy::default(),
        delay: (500, 3_000),
        loss: 0.0,
        duplicate: 0.0,
        token_timeout: 300_000,
        fault,
    }
}

/// Schedules requests at twice the rate of every account, spread over the instances.
fn schedule_requests(
    simulation: &mut Simulation,
    settings: &Settings,
    instances: usize,
    seconds: u64,
) {
    for (account, limits) in settings.limits.iter().enumerate() {
        let requests = u64::from(limits.rate) * seconds * 2;
        for request in 0..requests {
            let time = request * seconds * SECOND / requests + account as u64;
            let instance = (request as usize * 7 + request as usize / 3) % instances;
            simulation.schedule(time, Action::Request { instance, account });
        }
    }
}

/// Changes the fleet and back while a client and an owner are paused or isolated.
fn run_changes(fault: Fault, seed: u64) -> Simulation {
    let mut settings = settings(seed, fault);
    settings.loss = 0.02;
    settings.duplicate = 0.2;
    let mut simulation = Simulation::new(settings.clone(), 7, 6);
    schedule_requests(&mut simulation, &settings, 7, 20);
    let owner = simulation.owner(0, 0);
    let without_owner: Vec<usize> = (0..7).filter(|i| *i != owner).collect();
    simulation.schedule(6 * SECOND, Action::ChangeFleet(without_owner.clone()));
    let paused = (owner + 1) % 6;
    simulation.schedule(8 * SECOND + 1_000, Action::Pause(paused));
    simulation.schedule(10 * SECOND, Action::Resume(paused));
    let second = simulation.owner(0, 1);
    simulation.schedule(11 * SECOND, Action::Isolate(second));
    let without_both = without_owner.iter().copied().filter(|i| *i != second);
    simulation.schedule(
        11 * SECOND + 50_000,
        Action::ChangeFleet(without_both.collect()),
    );
    simulation.schedule(15 * SECOND, Action::Rejoin(second));
    simulation.schedule(16 * SECOND, Action::ChangeFleet((0..6).collect()));
    simulation.run_until(20 * SECOND);
    simulation
}

fn exceeded_over_seeds(fault: Fault) -> u64 {
    (0..8)
        .map(|seed| run_changes(fault, seed).usage.exceeded())
        .sum()
}

#[test]
fn rate_limit_holds_under_fleet_changes() {
    // Guards against a period in which old and new owners grant the same tokens.
    assert_eq!(exceeded_over_seeds(Fault::None), 0);
    // Without enough admitted requests, the check above would verify nothing.
    let usage = run_changes(Fault::None, 0).usage;
    let admitted: u64 = usage.accounts.iter().map(|account| account.admitted).sum();
    assert!(admitted > 3_000, "admitted {admitted}");
}

#[test]
fn rate_limit_check_detects_missing_waiting_period() {
    assert!(exceeded_over_seeds(Fault::NoWaitingPeriod) > 0);
}

/// Hands a full shard over under load, with every message duplicated.
fn run_hand_over(fault: Fault, seed: u64) -> Simulation {
    let mut settings = settings(seed, fault);
    settings.limits = vec![AccountLimits {
        rate: 50,
        burst: 300,
    }];
    settings.policy = settings.policy.with_reserve_percent(0, 0);
    settings.duplicate = 1.0;
    settings.delay = (500, 200_000);
    let mut simulation = Simulation::new(settings, 7, 6);
    let owner = simulation.owner(0, 0);
    let fleet = (0..7).filter(|i| *i != owner).collect();
    // The buckets are full at this time.
    simulation.schedule(12 * SECOND, Action::ChangeFleet(fleet));
    for step in 0..2_000 {
        let instance = step as usize % 7;
        let request = Action::Request {
            instance,
            account: 0,
        };
        simulation.schedule(12 * SECOND + step * 500, request);
    }
    simulation.run_until(14 * SECOND);
    simulation
}

#[test]
fn rate_limit_holds_for_hand_over() {
    // Guards against a repeated hand-over that fills the shard twice.
    for seed in 0..8 {
        let simulation = run_hand_over(Fault::None, seed);
        assert!(simulation.usage.hand_overs > 0);
        assert_eq!(simulation.usage.exceeded(), 0);
    }
}

#[test]
fn rate_limit_check_detects_duplicate_hand_over() {
    let exceeded = (0..8).map(|seed| {
        run_hand_over(Fault::DuplicateHandOver, seed)
            .usage
            .exceeded()
    });
    assert!(exceeded.sum::<u64>() > 0);
}

/// Pauses all clients with prefetched grants until the shards are full again.
fn run_paused_clients(fault: Fault) -> Simulation {
    let mut settings = settings(1, fault);
    settings.limits = vec![AccountLimits {
        rate: 100,
        burst: 200,
    }];
    let prefetch = Duration::from_millis(400);
    settings.policy = settings
        .policy
        .with_reserve_percent(0, 0)
        .with_prefetch_time(prefetch);
    let mut simulation = Simulation::new(settings, 6, 6);
    let request = |instance| Action::Request {
        instance,
        account: 0,
    };
    for instance in 0..6 {
        for step in 0..15 {
            simulation.schedule(8 * SECOND + step * 5_000, request(instance));
        }
        simulation.schedule(8 * SECOND + 100_000, Action::Pause(instance));
        simulation.schedule(11 * SECOND, Action::Resume(instance));
        for step in 0..100 {
            simulation.schedule(11 * SECOND + 300_000 + step * 500, request(instance));
        }
    }
    simulation.run_until(13 * SECOND);
    simulation
}

#[test]
fn rate_limit_holds_for_paused_clients() {
    // Guards against clients that spend expired grants after a pause.
    assert_eq!(run_paused_clients(Fault::None).usage.exceeded(), 0);
}

#[test]
fn rate_limit_check_detects_missing_expiry() {
    assert!(run_paused_clients(Fault::NoClientExpiry).usage.exceeded() > 0);
}

fn fault_action() -> impl Strategy<Value = (u64, Action)> {
    let instance = 0..8usize;
    let action = prop_oneof![
        instance.clone().prop_map(Action::Pause),
        instance.clone().prop_map(Action::Resume),
        instance.clone().prop_map(Action::Isolate),
        instance.prop_map(Action::Rejoin),
        proptest::sample::subsequence((0..8usize).collect::<Vec<_>>(), 3..=8)
            .prop_map(Action::ChangeFleet),
        (5..=100u32).prop_map(Action::ScaleLimits),
    ];
    (0..14 * SECOND, action)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 32, failure_persistence: None, ..ProptestConfig::default() })]

    // Guards against sequences of loss, duplication, pauses, isolation and fleet changes in which
    // tokens are spent twice.
    #[test]
    fn rate_limit_holds_under_random_faults(
        seed in 0..u64::MAX,
        loss in 0.0..0.3f64,
        duplicate in 0.0..0.5f64,
        max_delay in 1_000..400_000u64,
        reserve in 0..=100u32,
        actions in proptest::collection::vec(fault_action(), 0..20),
    ) {
        let mut settings = settings(seed, Fault::None);
        settings.loss = loss;
        settings.duplicate = duplicate;
        settings.delay = (200, max_delay);
        settings.policy = settings.policy.with_reserve_percent(reserve, reserve);
        let mut simulation = Simulation::new(settings.clone(), 8, 6);
        schedule_requests(&mut simulation, &settings, 8, 15);
        for (time, action) in actions {
            simulation.schedule(time, action);
        }
        for instance in 0..8 {
            simulation.schedule(14 * SECOND, Action::Resume(instance));
        }
        simulation.run_until(16 * SECOND);
        prop_assert_eq!(simulation.usage.exceeded(), 0);
    }
}
