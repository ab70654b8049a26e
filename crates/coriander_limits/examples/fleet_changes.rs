//! Prints what changes of the list of instances cost one instance, by instances and accounts.
//!
//! `cargo run --release -p coriander_limits --example fleet_changes`

use std::sync::Arc;
use std::time::{Duration, Instant};

use coriander_core::MonotonicTime;
use coriander_limits::RateShares;

/// Longer than the time for which an instance without an entry still counts.
const STEP: Duration = Duration::from_secs(20);

fn names(range: std::ops::Range<usize>) -> Vec<Arc<str>> {
    range
        .map(|number| format!("instance-{number}").into())
        .collect()
}

fn timed(work: impl FnOnce()) -> f64 {
    let started = Instant::now();
    work();
    started.elapsed().as_secs_f64() * 1e3
}

fn main() {
    println!("instances accounts  start_ms same_ms added_ms lost_ms half_lost_ms");
    for (instances, accounts) in [(300, 330), (300, 3_400), (2_100, 3_400)] {
        let all = names(0..instances);
        let mut now = MonotonicTime::from_millis(100_000);
        let mut shares = RateShares::new(all[0].clone());
        shares.set_fleet(&all, now);
        let start = timed(|| {
            for number in 0..accounts {
                shares.set_limits(&format!("account-{number}").into(), 40.0, 60.0, now);
            }
        });
        let mut change = |range| {
            now = now + Duration::from_millis(1_000);
            let list = names(range);
            timed(|| shares.set_fleet(&list, now))
        };
        let same = change(0..instances);
        let added = change(0..instances + 1);
        for _ in 0..STEP.as_secs() {
            change(0..instances + 1);
        }
        let mut lost = 0.0_f64;
        for _ in 0..STEP.as_secs() {
            lost = lost.max(change(0..instances));
        }
        let mut half_lost = 0.0_f64;
        for _ in 0..STEP.as_secs() {
            half_lost = half_lost.max(change(0..instances / 2));
        }
        println!(
            "{instances:9} {accounts:8} {start:9.2} {same:7.3} {added:8.2} {lost:7.2} {half_lost:12.2}"
        );
    }
}
