//! Tests that an account above its rate does not reduce the rates of the others.

#[path = "../examples/support/mod.rs"]
mod support;

use coriander_core::AccountLimits;
use coriander_limits::LimitPolicy;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use support::{Action, Fault, Settings, Simulation};

const SECOND: u64 = 1_000_000;

/// Eight accounts on six instances for 60 s: Poisson arrivals at 80 % of the rate, and at five
/// times the rate for the first account.
fn run(policy: LimitPolicy) -> Simulation {
    let rates = [100, 300, 200, 100, 100, 50, 50, 40];
    let settings = Settings {
        seed: 7,
        limits: rates
            .map(|rate| AccountLimits { rate, burst: rate })
            .to_vec(),
        policy,
        delay: (1_000, 1_500),
        loss: 0.0,
        duplicate: 0.0,
        token_timeout: 200_000,
        fault: Fault::None,
    };
    let mut simulation = Simulation::new(settings, 6, 6);
    let mut rng = SmallRng::seed_from_u64(7);
    for (account, rate) in rates.into_iter().enumerate() {
        let factor = if account == 0 { 5.0 } else { 0.8 };
        let mean = 1e6 / (f64::from(rate) * factor);
        let mut time = 6.0 * SECOND as f64;
        while time < 66.0 * SECOND as f64 {
            let instance = rng.random_range(0..6);
            simulation.schedule(time as u64, Action::Request { instance, account });
            time -= mean * rng.random::<f64>().max(1e-12).ln();
        }
    }
    simulation.run_until(67 * SECOND);
    simulation
}

/// Returns the refused fraction of the requests within rate, for all accounts but the first.
fn refused_fraction(simulation: &Simulation) -> f64 {
    let others = &simulation.usage.accounts[1..];
    let entitled: u64 = others.iter().map(|usage| usage.entitled).sum();
    let missed = others
        .iter()
        .map(|usage| usage.entitled.saturating_sub(usage.admitted));
    missed.sum::<u64>() as f64 / entitled as f64
}

#[test]
fn other_accounts_get_their_rate() {
    let simulation = run(LimitPolicy::default());
    let fraction = refused_fraction(&simulation);
    println!("refused within rate: {:.4} %", fraction * 100.0);
    assert!(fraction < 0.001, "{fraction}");
    for usage in &simulation.usage.accounts[1..] {
        assert!(
            usage.admitted as f64 >= 0.99 * usage.entitled as f64,
            "{usage:?}"
        );
    }
    let greedy = &simulation.usage.accounts[0];
    assert!(greedy.admitted <= greedy.entitled && greedy.refused > greedy.admitted);
    assert_eq!(simulation.usage.exceeded(), 0);
}

#[test]
fn fairness_check_detects_large_reserves() {
    // With reserves of the whole rate, the split is equal and fixed, which the check must reject.
    let simulation = run(LimitPolicy::default().with_reserve_percent(100, 100));
    assert!(refused_fraction(&simulation) > 0.001);
}
