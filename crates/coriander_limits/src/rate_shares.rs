//! Shares of each account's rate at its owners, and loans between them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use coriander_core::MonotonicTime;
use smallvec::SmallVec;

use crate::account_share::AccountShare;
use crate::rate_owners::{FleetInstance, OwnerSpread};

/// Time after which an instance that is no longer listed leaves the fleet. Entries that expire
/// during an outage of the store are registered again within this time, and an instance that cannot
/// renew its entry may no longer admit keys after it.
const UNLISTED_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Minimum time between two lists that is treated as an outage of the store.
const STORE_OUTAGE_GAP: Duration = Duration::from_millis(1_800);

/// Validity of a loan. Unspent loans must not accumulate in addition to the lender's refilled
/// share.
const LOAN_LIFETIME: Duration = Duration::from_millis(300);

/// Period of expected demand for which an instance borrows tokens in advance.
const BORROW_HORIZON: Duration = Duration::from_millis(150);

/// Expected demand in [`BORROW_HORIZON`] from which an instance borrows in advance. With less, most
/// tokens of a loan would expire unspent; requests then borrow one token each.
const MIN_ADVANCE_DEMAND: f64 = 3.0;

/// Period of its own expected demand for which a lender keeps tokens.
const LENDER_HORIZON: Duration = Duration::from_millis(50);

/// Minimum interval between two loan requests in advance for one account.
const LOAN_REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum fraction of a lender's spare tokens in one loan.
const MAX_LOAN_FRACTION: f64 = 0.5;

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

/// Shares of the accounts' rates at one instance.
///
/// The owners of an account have equal shares of its rate and burst. Their number follows the rate,
/// not the size of the fleet, so that the tokens of a small account stay in few places. An instance
/// without tokens borrows one for each request, from one owner after the other, those of its own
/// availability zone first; a request is refused only when no owner has a token left. With much
/// demand for an account, an instance borrows in advance. A loan is deducted from the lender's share
/// first, so a lost message loses tokens and never adds any.
///
/// ```
/// use coriander_core::MonotonicTime;
/// use coriander_limits::{FleetInstance, RateShares};
///
/// let start = MonotonicTime::from_millis(10_000);
/// let mut shares = RateShares::new("a".into());
/// shares.set_fleet(&["a", "b"].map(|id| FleetInstance::new(id, "zone")), start);
/// shares.set_limits(&"harbour".into(), 100.0, 16.0, start);
/// let later = MonotonicTime::from_millis(11_000);
/// let admitted = (0..20).filter(|_| shares.spend("harbour", later).is_ok());
/// assert_eq!(admitted.count(), 8);
/// ```
#[derive(Debug)]
pub struct RateShares {
    own_id: Arc<str>,
    /// Availability zone of this instance, whose owners it asks first.
    own_zone: Option<Arc<str>>,
    /// Availability zone of each instance, and the time at which it was listed last.
    listed_at: HashMap<Arc<str>, (Arc<str>, MonotonicTime)>,
    fleet: Vec<FleetInstance>,
    /// Time of the last list of instances.
    last_list: MonotonicTime,
    accounts: HashMap<Arc<str>, AccountShare>,
    /// Time from which this instance admitted nothing until the first limits.
    idle_since: Option<MonotonicTime>,
    /// Time of the first limits.
    first_limits_at: Option<MonotonicTime>,
}

impl RateShares {
    /// Creates the shares of an instance.
    pub fn new(own_id: Arc<str>) -> Self {
        Self {
            own_id,
            own_zone: None,
            listed_at: HashMap::new(),
            fleet: Vec::new(),
            last_list: MonotonicTime::ZERO,
            accounts: HashMap::new(),
            idle_since: None,
            first_limits_at: None,
        }
    }

    /// Spreads the owners of each account over the availability zones, and asks those of the own
    /// zone first. All instances must use the same spread, or they choose different owners.
    #[must_use]
    pub fn with_own_zone(mut self, zone: Arc<str>) -> Self {
        self.own_zone = Some(zone);
        self
    }

    /// Sets the time from which no process has admitted anything for this instance until its first
    /// limits. What the shares have gained since then counts after [`Self::resolve_idle_time`].
    #[must_use]
    pub const fn with_idle_since(mut self, idle_since: MonotonicTime) -> Self {
        self.idle_since = Some(idle_since);
        self
    }

    const fn spread(&self) -> OwnerSpread {
        if self.own_zone.is_some() {
            return OwnerSpread::Zones;
        }
        OwnerSpread::Fleet
    }

    /// Updates the instances of the fleet. New instances are added immediately; those that are no
    /// longer listed are removed after a timeout, which is extended by outages of the store.
    pub fn set_fleet(&mut self, instances: &[FleetInstance], now: MonotonicTime) {
        let gap = now.since(self.last_list);
        self.last_list = now;
        if gap >= STORE_OUTAGE_GAP {
            for (_, listed_at) in self.listed_at.values_mut() {
                *listed_at = *listed_at + gap;
            }
        }
        for instance in instances {
            let listing = (instance.zone.clone(), now);
            self.listed_at.insert(instance.id.clone(), listing);
        }
        self.listed_at
            .retain(|_, (_, listed_at)| now.since(*listed_at) < UNLISTED_TIMEOUT);
        let listed = self.listed_at.iter();
        let mut fleet: Vec<_> = listed
            .map(|(id, (zone, _))| FleetInstance::new(id.clone(), zone.clone()))
            .collect();
        fleet.sort();
        if fleet == self.fleet {
            return;
        }
        let old = std::mem::replace(&mut self.fleet, fleet);
        let is_listed =
            |list: &[FleetInstance], item: &FleetInstance| list.binary_search(item).is_ok();
        let added = self.fleet.iter().filter(|item| !is_listed(&old, item));
        let added: Vec<_> = added.cloned().collect();
        let spread = self.spread();
        for (account, share) in &mut self.accounts {
            // Unless an owner has left, the new owners are among the old ones and the instances
            // that were added. Ranking the whole fleet for each account at each change cost up to
            // 8 ms with 300 instances, and while a fleet starts, every list is a change.
            if share.owners.iter().all(|item| is_listed(&self.fleet, item)) {
                let candidates: Vec<_> = share.owners.iter().chain(&added).cloned().collect();
                share.choose_owners(account, &candidates, spread, &self.own_id, now);
            } else {
                share.choose_owners(account, &self.fleet, spread, &self.own_id, now);
            }
        }
    }

    /// Returns the identifier of this instance.
    pub fn own_id(&self) -> &str {
        &self.own_id
    }

    /// Returns the instances of the fleet, including those that were listed shortly before.
    pub fn fleet(&self) -> &[FleetInstance] {
        &self.fleet
    }

    /// Sets the rate in operations per second and the burst of an account over the whole fleet.
    /// A new account starts with a fraction of its burst.
    pub fn set_limits(&mut self, account: &Arc<str>, rate: f64, burst: f64, now: MonotonicTime) {
        let spread = self.spread();
        let is_new = !self.accounts.contains_key(account);
        let share = self.accounts.entry(account.clone());
        let share = share.or_insert_with(|| AccountShare::new(rate, burst, now));
        if !is_new && share.rate == rate && share.burst == burst {
            return;
        }
        share.refill(now);
        share.rate = rate;
        share.burst = burst;
        share.choose_owners(account, &self.fleet, spread, &self.own_id, now);
        if is_new {
            // Later, an account that was removed and added again may have spent its burst.
            let is_first = *self.first_limits_at.get_or_insert(now) == now;
            share.start(self.idle_since.filter(|_| is_first), now);
        }
    }

    /// Returns whether limits have been set.
    pub const fn has_limits(&self) -> bool {
        self.first_limits_at.is_some()
    }

    /// Adds what the shares gained while this instance was idle, if no other instance owned them
    /// meanwhile, or drops it.
    pub fn resolve_idle_time(&mut self, is_proven: bool, now: MonotonicTime) {
        for share in self.accounts.values_mut() {
            share.refill(now);
            let unproven = std::mem::take(&mut share.unproven);
            if is_proven {
                share.tokens += unproven;
            }
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

    /// Records that `asked` other owners have refused a request, which is to be retried after a
    /// delay. Returns whether these are all owners. Then further requests are refused without asking
    /// until the rate has yielded another token; otherwise the rest may have tokens.
    pub fn record_refusal(
        &mut self,
        account: &str,
        asked: usize,
        retry_after: Duration,
        now: MonotonicTime,
    ) -> bool {
        let asked_all = asked >= self.lenders(account).count();
        if asked_all && let Some(share) = self.accounts.get_mut(account) {
            let time_per_token = Duration::from_secs_f64(1.0 / share.rate.max(0.01));
            share.exhausted_until = now + time_per_token.min(MAX_EXHAUSTED_PERIOD);
            share.last_retry_after = retry_after;
        }
        asked_all
    }

    /// Records that a request has asked all owners and that all have refused it: the next requests
    /// ask few of them.
    pub fn record_saturated(&mut self, account: &str, now: MonotonicTime) {
        if let Some(share) = self.accounts.get_mut(account) {
            share.saturated_until = now + SATURATED_PERIOD;
        }
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
        self.other_owners(account).map(|owner| &owner.id)
    }

    fn other_owners(&self, account: &str) -> impl Iterator<Item = &FleetInstance> {
        let share = self.accounts.get(account);
        let owners = share.map(|share| share.owners.iter());
        let others = owners.into_iter().flatten();
        others.filter(|owner| owner.id != self.own_id)
    }

    /// Returns the other owners that a request asks, in order: those that `is_silent` last, before
    /// that those of the own availability zone, and `turn` rotates the rest. Soon after all owners
    /// have refused a request, few of them are asked, so that all tokens remain within reach: one of
    /// the own zone and one of another.
    pub fn lenders_in_turn(
        &self,
        account: &str,
        turn: usize,
        is_silent: impl Fn(&str) -> bool,
        now: MonotonicTime,
    ) -> SmallVec<[&Arc<str>; 8]> {
        let is_near = |owner: &&FleetInstance| self.own_zone.as_ref() == Some(&owner.zone);
        let others: SmallVec<[_; 8]> = self.other_owners(account).collect();
        let (mut near, mut far): (SmallVec<[_; 8]>, SmallVec<[_; 8]>) =
            others.into_iter().partition(is_near);
        for group in [&mut near, &mut far] {
            let count = group.len().max(1);
            group.rotate_left(turn % count);
            group.sort_by_key(|owner| is_silent(&owner.id));
        }
        let share = self.accounts.get(account);
        if share.is_some_and(|share| now < share.saturated_until) {
            near.truncate(SATURATED_ASKS / 2);
            far.truncate(SATURATED_ASKS - near.len());
        }
        let mut ordered: SmallVec<[_; 8]> = near.into_iter().chain(far).collect();
        ordered.sort_by_key(|owner| is_silent(&owner.id));
        ordered.into_iter().map(|owner| &owner.id).collect()
    }

    /// Returns the number of tokens to request for an operation that has just been recorded and
    /// found none: one, and what further operations will probably spend before the loan expires.
    pub fn loan_size(&self, account: &str, now: MonotonicTime) -> u32 {
        let share = self.accounts.get(account);
        let Some(share) = share.filter(|_| self.own_zone.is_some()) else {
            return 1;
        };
        1 + share.further_demand(LOAN_LIFETIME, now).floor() as u32
    }

    /// Deducts a loan of at most `wanted` tokens from the own share, for a request that asks all
    /// owners. `None` without limits of the account.
    pub fn lend(&mut self, account: &str, wanted: u32, now: MonotonicTime) -> Option<LoanOffer> {
        self.lend_to_one_of(account, wanted, None, now)
    }

    /// Deducts a loan of at most `wanted` tokens from the own share, for a request that asks
    /// `asked_owners`; `None`: all of them. Returns `None` without limits of the account: a process
    /// that has just started knows nothing about its tokens, and the caller asks the next owner.
    pub fn lend_to_one_of(
        &mut self,
        account: &str,
        wanted: u32,
        asked_owners: Option<u32>,
        now: MonotonicTime,
    ) -> Option<LoanOffer> {
        let share = self.accounts.get_mut(account)?;
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
            return Some(LoanOffer::RetryAfter(retry_after));
        }
        share.tokens -= amount;
        Some(LoanOffer::Tokens(amount as u32))
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
