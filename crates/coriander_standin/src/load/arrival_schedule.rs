//! Open-loop arrivals drawn from a fixed seed.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::DeploymentProfile;

/// Multiple of its rate that the greedy account offers.
const GREEDY_FACTOR: f64 = 5.0;
/// Percentage of reads that target the key written by the same session.
const OWN_KEY_PERCENT: u32 = 50;

/// Kind of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// Reads the key that the session writes.
    ReadOwn,
    /// Reads the key of another session.
    ReadOther,
    /// Writes in autocommit mode.
    Write,
    /// Writes in an interactive transaction.
    Transaction,
}

impl RequestKind {
    /// Returns whether the request only reads.
    pub fn is_read(self) -> bool {
        matches!(self, Self::ReadOwn | Self::ReadOther)
    }
}

/// A request to be sent at a given time, whether or not earlier requests have completed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadArrival {
    /// Time since the start of the run.
    pub at: Duration,
    /// Index of the account in the deployment.
    pub account: usize,
    /// Index of the class in the deployment.
    pub class: usize,
    /// Index of the database in the deployment.
    pub database: usize,
    /// Kind of the request.
    pub kind: RequestKind,
}

/// Poisson arrivals of all accounts, merged by time.
pub struct ArrivalSchedule {
    arrivals: Vec<LoadArrival>,
}

impl ArrivalSchedule {
    /// Draws the arrivals of a run.
    ///
    /// ```
    /// use coriander_standin::DeploymentProfile;
    /// use coriander_standin::load::ArrivalSchedule;
    /// use std::time::Duration;
    ///
    /// let profile = DeploymentProfile::bennani();
    /// let draw = || ArrivalSchedule::draw(&profile, Duration::from_secs(2), 50, 7);
    /// assert_eq!(draw().arrivals(), draw().arrivals());
    /// ```
    pub fn draw(
        profile: &DeploymentProfile,
        length: Duration,
        load_percent: u32,
        seed: u64,
    ) -> Self {
        Self::draw_greedy(profile, length, load_percent, (seed, None))
    }

    /// Draws the arrivals of a run in which the account `greedy` offers five times its rate.
    pub fn draw_greedy(
        profile: &DeploymentProfile,
        length: Duration,
        load_percent: u32,
        (seed, greedy): (u64, Option<&str>),
    ) -> Self {
        let mut arrivals = Vec::new();
        for (account, account_profile) in profile.accounts.iter().enumerate() {
            // Each account has its own generator, so that a greedy account does not change the
            // arrivals of the others.
            let mut rng =
                SmallRng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(account as u64));
            let factor = match greedy {
                Some(name) if name == account_profile.name => GREEDY_FACTOR,
                _ => f64::from(load_percent) / 100.0,
            };
            let rate = f64::from(account_profile.rate) * factor;
            let mut at = 0.0;
            loop {
                at += -(1.0 - rng.random::<f64>()).ln() / rate;
                if at >= length.as_secs_f64() {
                    break;
                }
                arrivals.push(draw_arrival(profile, &mut rng, at, account));
            }
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        Self { arrivals }
    }

    /// Turns a percentage of the writes into interactive transactions.
    #[must_use]
    pub fn with_transactions(mut self, percent: u32, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        for arrival in &mut self.arrivals {
            if arrival.kind == RequestKind::Write && rng.random_range(0..100) < percent {
                arrival.kind = RequestKind::Transaction;
            }
        }
        self
    }

    /// Returns the arrivals in order of time.
    pub fn arrivals(&self) -> &[LoadArrival] {
        &self.arrivals
    }
}

fn draw_arrival(
    profile: &DeploymentProfile,
    rng: &mut SmallRng,
    at: f64,
    account: usize,
) -> LoadArrival {
    let total: u32 = profile.classes.iter().map(|class| class.weight).sum();
    let mut drawn = rng.random_range(0..total);
    let class = profile.classes.iter().position(|class| {
        let is_drawn = drawn < class.weight;
        drawn = drawn.saturating_sub(class.weight);
        is_drawn
    });
    let class = class.unwrap_or_default();
    let is_read = rng.random_range(0..100) < profile.classes[class].read_percent;
    let is_own = rng.random_range(0..100) < OWN_KEY_PERCENT;
    LoadArrival {
        at: Duration::from_secs_f64(at),
        account,
        class,
        database: rng.random_range(0..profile.databases.len()),
        kind: match (is_read, is_own) {
            (false, _) => RequestKind::Write,
            (true, true) => RequestKind::ReadOwn,
            (true, false) => RequestKind::ReadOther,
        },
    }
}
