//! Shares of each account's rate at its owners, and loans between them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use coriander_core::{MonotonicTime, stable_hash};

use crate::rate_estimate::RateEstimate;

/// Time after which an instance that is no longer listed leaves the fleet. Entries that expire
/// during an outage of the store are registered again within this time, and an instance that cannot
/// renew its entry may no longer admit keys after it.
const UNLISTED_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Minimum time between two lists that is treated as an outage of the store.
const STORE_OUTAGE_GAP: Duration = Duration::from_millis(1_800);

/// Validity of a loan. Unspent loans must not accumulate in addition to the lender's refilled
/// share.
const LOAN_LIFETIME: Duration = Duration::from_millis(300);

/// Fraction of the burst with which a new process starts. The previous process may have spent the
/// whole burst shortly before.
const INITIAL_BURST_FRACTION: f64 = 0.3;

/// Window of the demand estimate; short, so that loans grow quickly when load starts.
const DEMAND_WINDOW: Duration = Duration::from_millis(400);

/// Period of expected demand for which an instance borrows tokens in advance.
const BORROW_HORIZON: Duration = Duration::from_millis(150);

/// Expected demand in [`BORROW_HORIZON`] from which an instance borrows in advance. With less, most
/// tokens of a loan would expire unspent; requests then borrow one token each.
const MIN_ADVANCE_DEMAND: f64 = 3.0;

/// Period of its own expected demand for which a lender keeps tokens.
const LENDER_HORIZON: Duration = Duration::from_millis(50);

/// Minimum interval between two loan requests in advance for one account.
const LOAN_REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Number of owners of an account. The loss of one leaves most of the rate, and a request has to
/// ask few of them.
const MIN_OWNERS: usize = 6;

/// Rate per owner from which an account has more owners, in operations per second.
const MAX_OWNER_RATE: f64 = 100.0;

/// Minimum burst per owner of an account. The refill of a full share is lost.
const MIN_OWNER_BURST: f64 = 3.0;

/// Maximum fraction of a lender's spare tokens in one loan.
const MAX_LOAN_FRACTION: f64 = 0.5;

/// Maximum delay after which a refused caller is asked to retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Maximum time for which the answers of the owners are taken to hold.
const MAX_EXHAUSTED_PERIOD: Duration = Duration::from_millis(200);

/// Time after a refusal by all owners during which a request asks only a few of them. The account
/// sends more than its rate, and its other requests ask the other owners.
const SATURATED_PERIOD: Duration = Duration::from_millis(200);

/// Time beyond which callers who were asked to come back are not counted: most have given up.
const MAX_PROMISED_PERIOD: Duration = Duration::from_secs(2);

/// Number of owners that a request of a saturated account asks.
const SATURATED_ASKS: usize = 2;

/// Answer of an owner to a loan request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoanOffer {
    /// Number of tokens lent, at least 1.
    Tokens(u32),
    /// No token is left. Callers that are refused one after the other get increasing delays, each
    /// for a token of its own.
    RetryAfter(Duration),
}

#[derive(Debug)]
struct AccountShare {
    rate: f64,
    burst: f64,
    /// Instances that own a share of the account, in rank order.
    owners: Vec<Arc<str>>,
    /// Whether this instance is one of the owners.
    is_owner: bool,
    tokens: f64,
    /// Tokens of the future that refused callers have been told to come back for.
    promised: f64,
    refilled_at: MonotonicTime,
    borrowed: f64,
    borrowed_until: MonotonicTime,
    demand: RateEstimate,
    requested_at: Option<MonotonicTime>,
    /// Time until which no owner has a token, according to their answers.
    exhausted_until: MonotonicTime,
    /// Delay that was last returned to a refused caller.
    last_retry_after: Duration,
    /// Time until which a request asks few owners.
    saturated_until: MonotonicTime,
}

impl AccountShare {
    fn new(rate: f64, burst: f64, now: MonotonicTime) -> Self {
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
        }
    }

    /// Returns the fraction of rate and burst of one owner.
    fn owner_fraction(&self) -> f64 {
        1.0 / self.owners.len().max(1) as f64
    }

    /// Returns the fraction of rate and burst that this instance owns.
    fn fraction(&self) -> f64 {
        if self.is_owner {
            return self.owner_fraction();
        }
        0.0
    }

    fn refill(&mut self, now: MonotonicTime) {
        let fraction = self.fraction();
        let gained = now.since(self.refilled_at).as_secs_f64() * self.rate * fraction;
        self.tokens = (self.tokens + gained).min(self.burst * fraction);
        self.promised = (self.promised - gained).max(0.0);
        self.refilled_at = now;
        if now >= self.borrowed_until {
            self.borrowed = 0.0;
        }
    }

    fn max_owners(&self) -> usize {
        let by_rate = (self.rate / MAX_OWNER_RATE).ceil() as usize;
        let by_burst = (self.burst / MIN_OWNER_BURST).floor() as usize;
        by_rate.max(MIN_OWNERS).min(by_burst).max(1)
    }

    /// Chooses the owners from the instances of the fleet.
    fn choose_owners(
        &mut self,
        account: &str,
        fleet: &[Arc<str>],
        own_id: &str,
        now: MonotonicTime,
    ) {
        self.refill(now);
        let mut ranked: Vec<_> = fleet
            .iter()
            .map(|instance| (stable_hash((account, &**instance)), instance))
            .collect();
        let max_owners = self.max_owners();
        if max_owners < ranked.len() {
            ranked.select_nth_unstable(max_owners);
            ranked.truncate(max_owners);
        }
        ranked.sort_unstable();
        self.owners = ranked
            .into_iter()
            .map(|(_, instance)| instance.clone())
            .collect();
        self.is_owner = self.owners.iter().any(|instance| **instance == *own_id);
        self.tokens = self.tokens.min(self.burst * self.fraction());
    }

    fn expected_demand(&self, time: Duration, now: MonotonicTime) -> f64 {
        self.demand.per_second(now) * time.as_secs_f64()
    }

    /// Returns the time until this share has a token that no earlier caller was told to come for.
    fn time_to_token(&self) -> Duration {
        let missing = (1.0 + self.promised - self.tokens).max(0.0);
        let rate = (self.rate * self.owner_fraction()).max(0.01);
        Duration::from_secs_f64(missing / rate).min(MAX_RETRY_AFTER)
    }
}

/// Shares of the accounts' rates at one instance.
///
/// The owners of an account have equal shares of its rate and burst. Their number follows the rate,
/// not the size of the fleet, so that the tokens of a small account stay in few places. An instance
/// without tokens borrows one for each request, from one owner after the other; a request is refused
/// only when no owner has a token left. With much demand for an account, an instance borrows in
/// advance. A loan is deducted from the lender's share first, so a lost message loses tokens and
/// never adds any.
///
/// ```
/// use coriander_core::MonotonicTime;
/// use coriander_limits::RateShares;
///
/// let start = MonotonicTime::from_millis(10_000);
/// let mut shares = RateShares::new("a".into());
/// shares.set_fleet(&["a".into(), "b".into()], start);
/// shares.set_limits(&"harbour".into(), 100.0, 16.0, start);
/// let later = MonotonicTime::from_millis(11_000);
/// let admitted = (0..20).filter(|_| shares.spend("harbour", later).is_ok());
/// assert_eq!(admitted.count(), 8);
/// ```
#[derive(Debug)]
pub struct RateShares {
    own_id: Arc<str>,
    /// Time at which each instance was listed last.
    listed_at: HashMap<Arc<str>, MonotonicTime>,
    fleet: Vec<Arc<str>>,
    /// Time of the last list of instances.
    last_list: MonotonicTime,
    accounts: HashMap<Arc<str>, AccountShare>,
}

impl RateShares {
    /// Creates the shares of an instance.
    pub fn new(own_id: Arc<str>) -> Self {
        Self {
            own_id,
            listed_at: HashMap::new(),
            fleet: Vec::new(),
            last_list: MonotonicTime::ZERO,
            accounts: HashMap::new(),
        }
    }

    /// Updates the instances of the fleet. New instances are added immediately; those that are no
    /// longer listed are removed after a timeout, which is extended by outages of the store.
    pub fn set_fleet(&mut self, instances: &[Arc<str>], now: MonotonicTime) {
        let gap = now.since(self.last_list);
        self.last_list = now;
        if gap >= STORE_OUTAGE_GAP {
            for listed_at in self.listed_at.values_mut() {
                *listed_at = *listed_at + gap;
            }
        }
        for instance in instances {
            self.listed_at.insert(instance.clone(), now);
        }
        self.listed_at
            .retain(|_, listed_at| now.since(*listed_at) < UNLISTED_TIMEOUT);
        let mut fleet: Vec<_> = self.listed_at.keys().cloned().collect();
        fleet.sort();
        if fleet == self.fleet {
            return;
        }
        let old = std::mem::replace(&mut self.fleet, fleet);
        let is_listed = |list: &[Arc<str>], name: &Arc<str>| list.binary_search(name).is_ok();
        let added = self.fleet.iter().filter(|name| !is_listed(&old, name));
        let added: Vec<_> = added.cloned().collect();
        for (account, share) in &mut self.accounts {
            // Unless an owner has left, the new owners are among the old ones and the instances
            // that were added. Ranking the whole fleet for each account at each change cost up to
            // 8 ms with 300 instances, and while a fleet starts, every list is a change.
            if share.owners.iter().all(|name| is_listed(&self.fleet, name)) {
                let candidates: Vec<_> = share.owners.iter().chain(&added).cloned().collect();
                share.choose_owners(account, &candidates, &self.own_id, now);
            } else {
                share.choose_owners(account, &self.fleet, &self.own_id, now);
            }
        }
    }

    /// Returns the identifier of this instance.
    pub fn own_id(&self) -> &str {
        &self.own_id
    }

    /// Returns the instances of the fleet, including those that were listed shortly before.
    pub fn fleet(&self) -> &[Arc<str>] {
        &self.fleet
    }

    /// Sets the rate in operations per second and the burst of an account over the whole fleet.
    /// A new account starts with a fraction of its burst.
    pub fn set_limits(&mut self, account: &Arc<str>, rate: f64, burst: f64, now: MonotonicTime) {
        let is_new = !self.accounts.contains_key(account);
        let share = self.accounts.entry(account.clone());
        let share = share.or_insert_with(|| AccountShare::new(rate, burst, now));
        if !is_new && share.rate == rate && share.burst == burst {
            return;
        }
        share.refill(now);
        share.rate = rate;
        share.burst = burst;
        share.choose_owners(account, &self.fleet, &self.own_id, now);
        if is_new {
            share.tokens = burst * share.fraction() * INITIAL_BURST_FRACTION;
        }
    }

    /// Removes the accounts for which `keep` returns false.
    pub fn retain_accounts(&mut self, mut keep: impl FnMut(&str) -> bool) {
        self.accounts.retain(|account, _| keep(account));
    }

    /// Returns a description of this instance's share of an account, for logs.
    pub fn describe(&self, account: &str) -> String {
        let Some(share) = self.accounts.get(account) else {
            return "no limits".to_owned();
        };
        format!(
            "rate={} part={:.3} holders={} left={:.2} borrowed={:.2}",
            share.rate,
            share.fraction(),
            share.owners.len(),
            share.tokens,
            share.borrowed
        )
    }

    /// Spends one token, or returns the time until one is expected.
    pub fn spend(&mut self, account: &str, now: MonotonicTime) -> Result<(), Duration> {
        let Some(share) = self.accounts.get_mut(account) else {
            return Ok(());
        };
        share.refill(now);
        if share.borrowed >= 1.0 {
            share.borrowed -= 1.0;
            return Ok(());
        }
        if share.tokens >= 1.0 {
            share.tokens -= 1.0;
            return Ok(());
        }
        Err(share.time_to_token())
    }

    /// Records that a client requested an operation, whether or not it is admitted.
    pub fn record_demand(&mut self, account: &str, now: MonotonicTime) {
        if let Some(share) = self.accounts.get_mut(account) {
            share.demand.record(1, now);
        }
    }

    /// Returns the number of tokens to borrow in advance; 0 if the available ones suffice or if the
    /// demand is small.
    pub fn tokens_to_borrow(&mut self, account: &str, now: MonotonicTime) -> u32 {
        let Some(share) = self.accounts.get_mut(account) else {
            return 0;
        };
        share.refill(now);
        let target = share.expected_demand(BORROW_HORIZON, now);
        let missing = target - share.tokens - share.borrowed;
        let recently_requested = share
            .requested_at
            .is_some_and(|at| now.since(at) < LOAN_REQUEST_INTERVAL);
        let is_exhausted = now < share.exhausted_until;
        if target < MIN_ADVANCE_DEMAND || missing <= 0.0 || recently_requested || is_exhausted {
            return 0;
        }
        share.requested_at = Some(now);
        missing.ceil() as u32
    }

    /// Records that all owners have refused a request, which is to be retried after a delay.
    /// Further requests are refused without asking until the rate has yielded another token.
    pub fn record_exhausted(&mut self, account: &str, retry_after: Duration, now: MonotonicTime) {
        if let Some(share) = self.accounts.get_mut(account) {
            let time_per_token = Duration::from_secs_f64(1.0 / share.rate.max(0.01));
            share.exhausted_until = now + time_per_token.min(MAX_EXHAUSTED_PERIOD);
            share.last_retry_after = retry_after;
        }
    }

    /// Records that a request has asked all owners and that all have refused it.
    pub fn record_saturated(&mut self, account: &str, now: MonotonicTime) {
        if let Some(share) = self.accounts.get_mut(account) {
            share.saturated_until = now + SATURATED_PERIOD;
        }
    }

    /// Returns the maximum number of owners that a request should ask, given how many there are.
    /// Soon after all owners have refused a request, few of them are asked.
    pub fn owners_to_ask(&self, account: &str, owners: usize, now: MonotonicTime) -> usize {
        let share = self.accounts.get(account);
        if share.is_some_and(|share| now < share.saturated_until) {
            return owners.min(SATURATED_ASKS);
        }
        owners
    }

    /// Returns whether this instance owns a share of an account.
    pub fn is_owner(&self, account: &str) -> bool {
        let share = self.accounts.get(account);
        share.is_some_and(|share| share.is_owner)
    }

    /// Returns the delay for a caller if no owner has a token; `None` if one may have one.
    pub fn exhausted_retry_after(&self, account: &str, now: MonotonicTime) -> Option<Duration> {
        let share = self.accounts.get(account)?;
        (now < share.exhausted_until).then_some(share.last_retry_after)
    }

    /// Returns the other instances that own a share of an account.
    pub fn lenders(&self, account: &str) -> impl Iterator<Item = &Arc<str>> {
        let share = self.accounts.get(account);
        let owners = share.map(|share| share.owners.iter());
        let others = owners.into_iter().flatten();
        others.filter(|owner| **owner != self.own_id)
    }

    /// Deducts a loan of at most `wanted` tokens from the own share, for a request that asks all
    /// owners.
    pub fn lend(&mut self, account: &str, wanted: u32, now: MonotonicTime) -> LoanOffer {
        self.lend_to_one_of(account, wanted, None, now)
    }

    /// Deducts a loan of at most `wanted` tokens from the own share, for a request that asks
    /// `asked_owners`; `None`: all of them.
    pub fn lend_to_one_of(
        &mut self,
        account: &str,
        wanted: u32,
        asked_owners: Option<u32>,
        now: MonotonicTime,
    ) -> LoanOffer {
        let Some(share) = self.accounts.get_mut(account) else {
            return LoanOffer::RetryAfter(MAX_RETRY_AFTER);
        };
        share.refill(now);
        let spare = (share.tokens - share.expected_demand(LENDER_HORIZON, now)).max(0.0);
        let max_amount = (spare * MAX_LOAN_FRACTION).max(spare.min(1.0)).floor();
        let amount = max_amount.min(f64::from(wanted));
        if amount < 1.0 {
            let retry_after = share.time_to_token();
            // The caller will need a token of one of the owners that it asks.
            let owner_fraction = share.owner_fraction();
            match asked_owners {
                Some(asked) => {
                    let promise = (1.0 / f64::from(asked.max(1))).max(owner_fraction);
                    let max_promised =
                        share.rate * owner_fraction * MAX_PROMISED_PERIOD.as_secs_f64();
                    share.promised = (share.promised + promise).min(max_promised.max(1.0));
                }
                None => share.promised += owner_fraction,
            }
            return LoanOffer::RetryAfter(retry_after);
        }
        share.tokens -= amount;
        LoanOffer::Tokens(amount as u32)
    }

    /// Adds a loan that was requested at `requested_at`, unless it has expired.
    pub fn receive_loan(
        &mut self,
        account: &str,
        amount: u32,
        requested_at: MonotonicTime,
        now: MonotonicTime,
    ) {
        let Some(share) = self.accounts.get_mut(account) else {
            return;
        };
        if now >= share.borrowed_until {
            share.borrowed = 0.0;
        }
        let until = requested_at + LOAN_LIFETIME;
        if until > now {
            share.borrowed += f64::from(amount);
            share.borrowed_until = until;
        }
    }
}
