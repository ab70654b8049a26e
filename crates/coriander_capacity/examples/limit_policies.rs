//! Plays one member with four slots and a queue of twelve against three ways to learn its limit,
//! in virtual time with a fixed seed, and prints a table. The member takes five times as long from
//! second 10 to 20. Two instances offer more than it takes.

use std::time::Duration;

use coriander_capacity::{ConcurrencyLimit, LatencyProfile};
use coriander_core::MonotonicTime;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SLOTS: usize = 4;
const QUEUE: usize = 12;
const TARGET_MS: f64 = 250.0;
const SECONDS: u64 = 30;
const SEED: u64 = 42;

enum Policy {
    /// Plus one per limit of answers, times 0.7 after a rejection.
    Aimd(f64),
    /// Throughput of the last second times the lowest latency of the last ten.
    Little { limit: f64, ends: Vec<(f64, f64)> },
    /// The crate's limit: gradient of the latency, less after rejections.
    Gradient(ConcurrencyLimit, LatencyProfile),
}

impl Policy {
    fn limit(&self) -> f64 {
        match self {
            Self::Aimd(limit) | Self::Little { limit, .. } => *limit,
            Self::Gradient(limit, _) => limit.limit(),
        }
    }

    fn served(&mut self, latency_ms: f64, in_flight: usize, now_ms: f64) {
        match self {
            Self::Aimd(limit) => *limit = (*limit + 1.0 / *limit).min(64.0),
            Self::Little { limit, ends } => {
                ends.push((now_ms, latency_ms));
                ends.retain(|end| end.0 > now_ms - 10_000.0);
                let rate = ends.iter().filter(|end| end.0 > now_ms - 1_000.0).count() as f64;
                let lowest = ends.iter().map(|end| end.1).fold(f64::MAX, f64::min);
                *limit = (rate * lowest / 1_000.0 + 1.0).clamp(1.0, 64.0);
            }
            Self::Gradient(limit, profile) => {
                let latency = Duration::from_secs_f64(latency_ms / 1_000.0);
                let ratio = profile.ratio(latency).unwrap_or(1.0);
                // The usual latency comes from all members of the service; here the others do well.
                profile.record(Duration::from_millis(14));
                limit.record_served(ratio, in_flight as u32);
            }
        }
    }

    fn rejected(&mut self, in_flight: usize, now_ms: f64) {
        match self {
            Self::Aimd(limit) => *limit = (*limit * 0.7).max(1.0),
            Self::Little { .. } => {}
            Self::Gradient(limit, _) => {
                let now = MonotonicTime::from_millis(now_ms as u64);
                limit.record_rejection(in_flight as u32, now);
            }
        }
    }
}

type Create = fn() -> Policy;

#[derive(Default)]
struct Counts {
    in_target: u32,
    late: u32,
    rejected: u32,
    limit: f64,
    latency_ms: f64,
}

fn play(create: impl Fn() -> Policy) -> [Counts; 3] {
    let mut random = SmallRng::seed_from_u64(SEED);
    let mut instances = [create(), create()];
    let mut slots = [0.0_f64; SLOTS];
    let mut open: Vec<(f64, usize, f64)> = Vec::new();
    let mut phases = <[Counts; 3]>::default();
    for step in 0..SECONDS * 1_000 {
        let now = step as f64;
        let phase = (step / 10_000) as usize;
        let work = if phase == 1 { 70.0 } else { 14.0 };
        let (ended, rest): (Vec<_>, Vec<_>) = open.into_iter().partition(|e| e.0 <= now);
        open = rest;
        for (_, instance, latency) in ended {
            let in_flight = open.iter().filter(|e| e.1 == instance).count() + 1;
            instances[instance].served(latency, in_flight, now);
            let counts = &mut phases[phase];
            counts.latency_ms += latency;
            if latency <= TARGET_MS {
                counts.in_target += 1;
            } else {
                counts.late += 1;
            }
        }
        for (index, instance) in instances.iter_mut().enumerate() {
            phases[phase].limit += instance.limit() / 20_000.0;
            let in_flight = open.iter().filter(|e| e.1 == index).count();
            if in_flight as f64 >= instance.limit() || random.random::<f64>() > 0.3 {
                continue;
            }
            if open.len() >= SLOTS + QUEUE {
                phases[phase].rejected += 1;
                instance.rejected(in_flight, now);
                continue;
            }
            let slot = slots
                .iter_mut()
                .min_by(|a, b| a.total_cmp(b))
                .expect("slots");
            *slot = slot.max(now) + work * random.random_range(0.7..1.3);
            open.push((*slot, index, *slot - now));
        }
    }
    phases
}

fn main() {
    println!("policy    phase     in_target   late  rejected  mean_limit  mean_ms");
    let policies: [(&str, Create); 3] = [
        ("aimd", || Policy::Aimd(4.0)),
        ("little", || Policy::Little {
            limit: 4.0,
            ends: Vec::new(),
        }),
        ("gradient", || {
            Policy::Gradient(ConcurrencyLimit::default(), LatencyProfile::default())
        }),
    ];
    for (name, create) in policies {
        for (phase, counts) in ["well", "slow", "well again"].iter().zip(play(create)) {
            let served = counts.in_target + counts.late;
            println!(
                "{name:<9} {phase:<11} {:>7} {:>6} {:>9} {:>11.1} {:>8.0}",
                counts.in_target,
                counts.late,
                counts.rejected,
                counts.limit,
                counts.latency_ms / f64::from(served.max(1))
            );
        }
    }
}
