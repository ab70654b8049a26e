//! Plays the operations of one account to a fleet of [`RateShares`] in virtual time.

#![allow(dead_code, missing_docs)]

use std::sync::Arc;
use std::time::Duration;

use coriander_core::MonotonicTime;
use coriander_limits::{FleetInstance, LoanOffer, RateShares};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub const ACCOUNT: &str = "harbour";
pub const START_MS: f64 = 10_000.0;
pub const DURATION_MS: f64 = 30_000.0;
const ZONES: usize = 3;

/// Operations of an account and the instances that they reach.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Operations relative to the rate.
    pub factor: f64,
    /// Fraction of the operations that reach the first availability zone; the others get the rest
    /// in equal parts.
    pub first_zone: f64,
    /// Number of instances per zone to which the callers are connected.
    pub connected: usize,
    pub seed: u64,
}

impl Load {
    /// Operations that reach each instance alike.
    pub const fn even(factor: f64) -> Self {
        Self {
            factor,
            first_zone: 1.0 / ZONES as f64,
            connected: usize::MAX,
            seed: 7,
        }
    }
}

#[derive(Debug, Default)]
pub struct Played {
    pub operations: u32,
    pub admitted: u32,
    /// Refused although one bucket for the whole fleet had a token.
    pub refused_within_rate: u32,
    pub messages: u32,
    /// Messages between availability zones.
    pub zone_messages: u32,
    /// Maximum of what any 5 s admitted beyond the rate of this time and the burst.
    pub excess: f64,
}

pub struct Fleet {
    pub instances: Vec<RateShares>,
    /// Instances that reply to no loan request.
    pub silent: Vec<usize>,
    rate: f64,
    turn: usize,
    played: Played,
}

impl Fleet {
    /// Creates a fleet whose instances are in three availability zones in turn.
    pub fn new(size: usize, rate: f64, by_zone: bool) -> Self {
        let zone = |index: usize| -> Arc<str> { format!("zone-{}", index % ZONES).into() };
        let listed: Vec<_> = (0..size)
            .map(|index| FleetInstance::new(index.to_string(), zone(index)))
            .collect();
        let account: Arc<str> = ACCOUNT.into();
        let start = MonotonicTime::ZERO;
        let make = |instance: &FleetInstance| {
            let mut shares = RateShares::new(instance.id.clone());
            if by_zone {
                shares = shares.with_own_zone(instance.zone.clone());
            }
            shares.set_fleet(&listed, start);
            shares.set_limits(&account, rate, rate, start);
            shares
        };
        Self {
            instances: listed.iter().map(make).collect(),
            silent: Vec::new(),
            rate,
            turn: 0,
            played: Played::default(),
        }
    }

    /// Returns the owners of the account.
    pub fn owners(&self) -> Vec<usize> {
        let is_owner = |index: &usize| self.instances[*index].is_owner(ACCOUNT);
        (0..self.instances.len()).filter(is_owner).collect()
    }

    fn borrow(&mut self, instance: usize, owner: usize, wanted: u32, now: MonotonicTime) {
        let is_silent = self.silent.contains(&owner);
        let messages = if is_silent { 1 } else { 2 };
        self.played.messages += messages;
        if instance % ZONES != owner % ZONES {
            self.played.zone_messages += messages;
        }
        if is_silent {
            return;
        }
        if let Some(LoanOffer::Tokens(amount)) = self.instances[owner].lend(ACCOUNT, wanted, now) {
            self.instances[instance].receive_loan(ACCOUNT, amount, now, now);
        }
    }

    fn lenders(&mut self, instance: usize, now: MonotonicTime) -> Vec<usize> {
        self.turn += 1;
        let lenders = self.instances[instance].lenders_in_turn(ACCOUNT, self.turn, |_| false, now);
        let index = |name: &Arc<str>| name.parse().expect("a number");
        lenders.into_iter().map(index).collect()
    }

    /// Admits an operation as an instance of the service does.
    pub fn admit(&mut self, instance: usize, now: MonotonicTime) -> bool {
        self.instances[instance].record_demand(ACCOUNT, now);
        let admitted = self.instances[instance].spend(ACCOUNT, now).is_ok();
        let wanted = self.instances[instance].tokens_to_borrow(ACCOUNT, now);
        if wanted > 0
            && let Some(owner) = self.lenders(instance, now).first()
        {
            self.borrow(instance, *owner, wanted, now);
        }
        if admitted {
            return true;
        }
        let lenders = self.lenders(instance, now);
        let wanted = self.instances[instance].loan_size(ACCOUNT, now);
        let asked = lenders.len();
        for owner in lenders {
            self.borrow(instance, owner, wanted, now);
            if self.instances[instance].spend(ACCOUNT, now).is_ok() {
                return true;
            }
        }
        let asked_all = asked == self.instances[instance].lenders(ACCOUNT).count();
        if asked_all {
            self.instances[instance].record_saturated(ACCOUNT, now);
        }
        false
    }

    /// Plays random arrivals.
    pub fn play(mut self, load: Load) -> Played {
        let mut rng = SmallRng::seed_from_u64(load.seed);
        let per_zone = (self.instances.len() / ZONES).max(1);
        let mut bucket = self.rate;
        let mut admitted_at = Vec::new();
        let mut time_ms = START_MS;
        loop {
            let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
            let gap_ms = -uniform.ln() * 1_000.0 / (self.rate * load.factor);
            time_ms += gap_ms;
            if time_ms > START_MS + DURATION_MS {
                break;
            }
            bucket = (bucket + gap_ms * self.rate / 1_000.0).min(self.rate);
            let now = MonotonicTime::new(Duration::from_secs_f64(time_ms / 1_000.0));
            let zone = if rng.random_bool(load.first_zone) {
                0
            } else {
                rng.random_range(1..ZONES)
            };
            let row = rng.random_range(0..per_zone.min(load.connected));
            self.played.operations += 1;
            if self.admit(row * ZONES + zone, now) {
                self.played.admitted += 1;
                admitted_at.push(time_ms);
                bucket -= 1.0;
            } else if bucket >= 1.0 {
                self.played.refused_within_rate += 1;
            }
        }
        self.played.excess = excess(&admitted_at, self.rate);
        self.played
    }
}

/// Returns the maximum of what the 5 s after any admission admitted beyond rate and burst.
fn excess(admitted_at: &[f64], rate: f64) -> f64 {
    let mut until = 0;
    let mut most = 0;
    for (from, start) in admitted_at.iter().enumerate() {
        while admitted_at
            .get(until)
            .is_some_and(|at| *at <= start + 5_000.0)
        {
            until += 1;
        }
        most = most.max(until - from);
    }
    most as f64 - 6.0 * rate
}
