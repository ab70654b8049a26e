//! Share of one account's rate at one instance.

use std::time::Duration;

use coriander_core::MonotonicTime;

use crate::rate_estimate::RateEstimate;
use crate::rate_owners::{FleetInstance, OwnerSpread, choose_owners};

/// Window of the demand estimate; short, so that loans grow quickly when load starts.
const DEMAND_WINDOW: Duration = Duration::from_millis(400);

/// Number of owners of an account. The loss of one leaves most of the rate, and a request has to
/// ask few of them.
const MIN_OWNERS: usize = 6;

/// Rate per owner from which an account has more owners, in operations per second.
const MAX_OWNER_RATE: f64 = 100.0;

/// Minimum burst per owner of an account. The refill of a full share is lost.
const MIN_OWNER_BURST: f64 = 3.0;

/// Fraction of the burst with which a new process starts. The previous process may have spent the
/// whole burst shortly before.
const INITIAL_BURST_FRACTION: f64 = 0.3;

/// Maximum fraction of a full share that the time without a configuration adds. Another instance may
/// have owned the share shortly before although the entry of this one was listed.
const MAX_IDLE_FRACTION: f64 = 0.5;

/// Maximum delay after which a refused caller is asked to retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

#[derive(Debug)]
pub(crate) struct AccountShare {
    pub rate: f64,
    pub burst: f64,
    /// Instances that own a share of the account, in rank order.
    pub owners: Vec<FleetInstance>,
    /// Whether this instance is one of the owners.
    pub is_owner: bool,
    pub tokens: f64,
    /// Tokens of the future that refused callers have been told to come back for.
    pub promised: f64,
    refilled_at: MonotonicTime,
    pub borrowed: f64,
    pub borrowed_until: MonotonicTime,
    pub demand: RateEstimate,
    pub requested_at: Option<MonotonicTime>,
    /// Time until which no owner has a token, according to their answers.
    pub exhausted_until: MonotonicTime,
    /// Delay that was last returned to a refused caller.
    pub last_retry_after: Duration,
    /// Time until which a request asks few owners.
    pub saturated_until: MonotonicTime,
    /// Tokens that this share has in addition if its instance proves that nobody spent from it
    /// before the first configuration.
    pub unproven: f64,
}

impl AccountShare {
    pub fn new(rate: f64, burst: f64, now: MonotonicTime) -> Self {
        Self {
            rate,
            burst,
            owners: Vec::new(),
            is_owner: false,
            tokens: 0.0,
            promised: 0.0,
            refilled_at: now,
            borrowed: 0.0,
            borrowed_until: now,
            demand: RateEstimate::new(DEMAND_WINDOW, now),
            requested_at: None,
            exhausted_until: now,
            last_retry_after: Duration::ZERO,
            saturated_until: now,
            unproven: 0.0,
        }
    }

    /// Returns the fraction of rate and burst of one owner.
    pub fn owner_fraction(&self) -> f64 {
        1.0 / self.owners.len().max(1) as f64
    }

    /// Returns the fraction of rate and burst that this instance owns.
    pub fn fraction(&self) -> f64 {
        if self.is_owner {
            return self.owner_fraction();
        }
        0.0
    }

    pub fn refill(&mut self, now: MonotonicTime) {
        let fraction = self.fraction();
        let gained = now.since(self.refilled_at).as_secs_f64() * self.rate * fraction;
        let full = self.burst * fraction;
        self.tokens = (self.tokens + gained).min(full);
        self.unproven = self.unproven.min(full - self.tokens);
        self.promised = (self.promised - gained).max(0.0);
        self.refilled_at = now;
        if now >= self.borrowed_until {
            self.borrowed = 0.0;
        }
    }

    /// Gives a new share a fraction of its burst. If nobody has spent from it since `idle_since`, it
    /// has what it has gained since then, which may be more.
    pub fn start(&mut self, idle_since: Option<MonotonicTime>, now: MonotonicTime) {
        let full = self.burst * self.fraction();
        self.tokens = full * INITIAL_BURST_FRACTION;
        let idle = idle_since.map_or(Duration::ZERO, |since| now.since(since));
        let gained = (idle.as_secs_f64() * self.rate * self.fraction()).min(full);
        self.unproven = (gained - self.tokens).clamp(0.0, full * MAX_IDLE_FRACTION);
    }

    fn max_owners(&self) -> usize {
        let by_rate = (self.rate / MAX_OWNER_RATE).ceil() as usize;
        let by_burst = (self.burst / MIN_OWNER_BURST).floor() as usize;
        by_rate.max(MIN_OWNERS).min(by_burst).max(1)
    }

    /// Chooses the owners from the instances of the fleet.
    pub fn choose_owners(
        &mut self,
        account: &str,
        fleet: &[FleetInstance],
        spread: OwnerSpread,
        own_id: &str,
        now: MonotonicTime,
    ) {
        self.refill(now);
        self.owners = choose_owners(account, fleet, self.max_owners(), spread);
        self.is_owner = self.owners.iter().any(|owner| *owner.id == *own_id);
        let full = self.burst * self.fraction();
        self.tokens = self.tokens.min(full);
        self.unproven = self.unproven.min(full - self.tokens);
    }

    pub fn expected_demand(&self, time: Duration, now: MonotonicTime) -> f64 {
        self.demand.per_second(now) * time.as_secs_f64()
    }

    /// Returns the demand expected in a period from now, given that a request has just been
    /// recorded: without the weight of that request itself.
    pub fn further_demand(&self, time: Duration, now: MonotonicTime) -> f64 {
        let own_weight = 1.0 / DEMAND_WINDOW.as_secs_f64();
        (self.demand.per_second(now) - own_weight).max(0.0) * time.as_secs_f64()
    }

    /// Returns the time until this share has a token that no earlier caller was told to come for.
    pub fn time_to_token(&self) -> Duration {
        let missing = (1.0 + self.promised - self.tokens).max(0.0);
        let rate = (self.rate * self.owner_fraction()).max(0.01);
        Duration::from_secs_f64(missing / rate).min(MAX_RETRY_AFTER)
    }
}
