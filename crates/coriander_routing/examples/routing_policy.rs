//! Compares read routing policies in virtual time.
//!
//! One gateway serves three databases of three members, with the slots, zone delays and freshness
//! targets of a deployment. Replicas lag, and occasionally stall or slow down. The seed is fixed,
//! so that the output of two versions can be compared.
//!
//! Run with `cargo run --release -p coriander_routing --example routing_policy`.

mod simulation;

use simulation::{Deployment, Policy, ReadStatistics, Simulation};

const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "bennani",
        zones: ["berrechid", "ain-sebaa", "mohammedia"],
        zone_delay: 1_500,
        slots: 3,
        // Collection orders, tracking reads, weighbridge entries.
        classes: [(0.3, 0.3, 300_000), (0.5, 0.0, 2_000_000), (0.2, 0.6, 0)],
    },
    Deployment {
        name: "karamanlis",
        zones: ["piraeus", "elefsina", "acharnes"],
        zone_delay: 1_000,
        slots: 2,
        // Price edits, counter lookups, promotion loads.
        classes: [(0.15, 0.6, 0), (0.65, 0.0, 150_000), (0.2, 0.2, 5_000_000)],
    },
];

fn main() {
    println!(
        "deployment  load policy       replica% allowed%  p50ms   p99ms  rep99ms rep999ms  stale99ms stalemax violations refused waits status hedges   reads"
    );
    for deployment in &DEPLOYMENTS {
        for load in [0.1, 0.7, 1.6] {
            for policy in [
                Policy::PrimaryOnly,
                Policy::RoundRobin,
                Policy::Router,
                Policy::HedgedRouter,
            ] {
                let mut statistics = ReadStatistics::new();
                for primary in 0..3 {
                    Simulation::new(deployment, policy, load, primary).run(&mut statistics);
                }
                let percent = |count: u64| 100.0 * count as f64 / statistics.reads as f64;
                let millis = |micros: u64| micros as f64 / 1000.0;
                println!(
                    "{:<11} {load:<4} {:<12} {:>8.1} {:>8.1} {:>6.1} {:>8.1} {:>8.1} {:>8.1} {:>9.1} {:>8.1} {:>10} {:>7} {:>6} {:>6} {:>6} {:>7}",
                    deployment.name,
                    format!("{policy:?}"),
                    percent(statistics.on_replica),
                    percent(statistics.allowed),
                    millis(statistics.latency.value_at_quantile(0.5)),
                    millis(statistics.latency.value_at_quantile(0.99)),
                    millis(statistics.replica_latency.value_at_quantile(0.99)),
                    millis(statistics.replica_latency.value_at_quantile(0.999)),
                    millis(statistics.staleness.value_at_quantile(0.99)),
                    millis(statistics.staleness.max()),
                    statistics.violations,
                    statistics.refused,
                    statistics.waits,
                    statistics.status_rounds,
                    statistics.hedges,
                    statistics.reads,
                );
            }
        }
    }
}
