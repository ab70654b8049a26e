//! Tokens, requests for tokens and waiting requests of one account at a holder.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use coriander_core::{AccountName, InstanceId, MonotonicTime};
use smallvec::SmallVec;

use crate::owner_link::OwnerLink;
use crate::rate_estimate::RateEstimate;
use crate::token_bucket::PhasedBucket;
use crate::{
    AccountPlan, AdmitDecision, FleetVersion, GrantNumber, HolderEvent, LimitPolicy, PlanTable,
    ReturnedTokens, TakeTokens, TokenGrant,
};

/// Window of the demand estimate; short, so that a starting load soon gets larger grants.
const DEMAND_WINDOW: Duration = Duration::from_millis(250);

/// Window of the estimate of granted tokens.
const SUPPLY_WINDOW: Duration = Duration::from_secs(1);

/// Shortest retry time in a refusal.
const LEAST_RETRY: Duration = Duration::from_millis(10);

/// Longest retry time in a refusal.
const MOST_RETRY: Duration = Duration::from_secs(10);

#[derive(Clone, Debug)]
struct HeldGrant {
    owner: InstanceId,
    number: GrantNumber,
    amount: u32,
    /// When to return what will not be needed.
    review: MonotonicTime,
    expires: MonotonicTime,
}

#[derive(Clone, Debug)]
struct PendingTake {
    owner: InstanceId,
    number: u64,
    amount: u32,
    sent: MonotonicTime,
    timeout: MonotonicTime,
    timed_out: bool,
}

#[derive(Clone, Copy, Debug)]
struct WaitingRequest {
    ticket: u64,
    deadline: MonotonicTime,
}

/// What the entries of one holder share.
#[derive(Debug)]
pub(crate) struct HolderContext {
    pub own_hash: usize,
    pub policy: LimitPolicy,
    pub fleet_version: FleetVersion,
    pub fresh_until: MonotonicTime,
    pub links: HashMap<InstanceId, OwnerLink>,
    pub last_number: u64,
    pub events: Vec<HolderEvent>,
}

#[derive(Clone, Debug)]
pub(crate) struct AccountGrants {
    account: AccountName,
    plan: AccountPlan,
    reserve: PhasedBucket,
    grants: SmallVec<[HeldGrant; 3]>,
    pending: SmallVec<[PendingTake; 3]>,
    waiting: VecDeque<WaitingRequest>,
    /// When each owner in the plan may be asked again.
    next_try: SmallVec<[MonotonicTime; 3]>,
    demand: RateEstimate,
    supply: RateEstimate,
    /// Whether the owner that replied last has run out of tokens.
    scarce: bool,
}

impl AccountGrants {
    pub fn new(
        account: &AccountName,
        plan: &AccountPlan,
        plans: &PlanTable,
        now: MonotonicTime,
    ) -> Self {
        Self {
            account: account.clone(),
            plan: plan.clone(),
            reserve: PhasedBucket::new(plan.reserve, plans.config_version, now),
            grants: SmallVec::new(),
            pending: SmallVec::new(),
            waiting: VecDeque::new(),
            next_try: plan.owners.iter().map(|_| now).collect(),
            demand: RateEstimate::new(DEMAND_WINDOW, now),
            supply: RateEstimate::new(SUPPLY_WINDOW, now),
            scarce: false,
        }
    }

    /// Takes over a new plan. Grants in hand stay valid until they expire.
    pub fn apply(&mut self, plan: &AccountPlan, plans: &PlanTable, keep: bool, now: MonotonicTime) {
        let version = plans.config_version;
        if keep {
            self.reserve.settle(plans.policy.freshness, now);
            self.reserve.set_target(plan.reserve, version, now);
        } else {
            self.reserve = PhasedBucket::new(plan.reserve, version, now);
        }
        if plan.owners != self.plan.owners {
            self.next_try = plan.owners.iter().map(|_| now).collect();
        }
        self.plan = plan.clone();
    }

    pub fn reserve_mut(&mut self) -> &mut PhasedBucket {
        &mut self.reserve
    }

    pub fn admit(
        &mut self,
        ticket: u64,
        deadline: MonotonicTime,
        context: &mut HolderContext,
        now: MonotonicTime,
    ) -> AdmitDecision {
        self.demand.record(1, now);
        self.grants.retain(|grant| grant.expires > now);
        if self.waiting.is_empty() && self.spend(context, now) {
            self.ask(context, now);
            return AdmitDecision::Admitted;
        }
        let wait = self.expected_wait(self.waiting.len(), now);
        let full = self.waiting.len() >= context.policy.most_waiting;
        if full || deadline <= now || now + wait > deadline {
            return AdmitDecision::Refused {
                retry_after: wait.clamp(LEAST_RETRY, MOST_RETRY),
            };
        }
        self.waiting.push_back(WaitingRequest { ticket, deadline });
        self.ask(context, now);
        AdmitDecision::WaitUntil(deadline)
    }

    /// Takes over a reply; one that was not asked for, came twice or came too late adds nothing.
    pub fn grant_received(
        &mut self,
        owner: &InstanceId,
        grant: &TokenGrant,
        context: &mut HolderContext,
        now: MonotonicTime,
    ) {
        let matches = |p: &PendingTake| p.number == grant.number && p.owner == *owner;
        let Some(place) = self.pending.iter().position(matches) else {
            return;
        };
        let take = self.pending.remove(place);
        let link = context.links.entry(owner.clone()).or_default();
        link.replied(now.since(take.sent));
        let amount = grant.amount.min(take.amount);
        // The expiry counts from the sending, so that a pause of this process cannot extend it.
        let expiry = grant.expiry.min(context.policy.grant_expiry);
        if amount > 0 && take.sent + expiry > now {
            self.supply.record(amount, now);
            self.grants.push(HeldGrant {
                owner: owner.clone(),
                number: grant.grant,
                amount,
                review: take.sent + expiry / 2,
                expires: take.sent + expiry,
            });
        }
        // A partial grant without a retry time means that the owner kept tokens for others.
        self.scarce = amount < take.amount && !grant.retry_after.is_zero();
        if amount < take.amount
            && let Some(place) = self.plan.owners.iter().position(|id| id == owner)
        {
            self.next_try[place] = now + grant.retry_after.max(context.policy.empty_retry);
        }
        self.refresh(context, now);
    }

    /// Notes that a request for tokens failed, for example because the connection was refused.
    pub fn take_failed(&mut self, number: u64, context: &mut HolderContext, now: MonotonicTime) {
        if let Some(place) = self.pending.iter().position(|p| p.number == number) {
            let take = self.pending.remove(place);
            context.links.entry(take.owner).or_default().failed(now);
            self.refresh(context, now);
        }
    }

    pub fn cancel(&mut self, ticket: u64) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|request| request.ticket != ticket);
        self.waiting.len() < before
    }

    pub fn cancel_all(&mut self) -> impl Iterator<Item = u64> + '_ {
        self.waiting.drain(..).map(|request| request.ticket)
    }

    /// Does all that is due: expiry, timeouts, waiting requests, returns and new requests.
    pub fn refresh(&mut self, context: &mut HolderContext, now: MonotonicTime) {
        self.grants.retain(|grant| grant.expires > now);
        self.check_timeouts(context, now);
        while !self.waiting.is_empty() && self.spend(context, now) {
            if let Some(request) = self.waiting.pop_front() {
                let ticket = request.ticket;
                context.events.push(HolderEvent::Admitted { ticket });
            }
        }
        self.refuse_late(context, now);
        self.return_surplus(context, now);
        self.ask(context, now);
    }

    /// Time at which `refresh` has something to do.
    pub fn wakeup(&self, context: &HolderContext, now: MonotonicTime) -> Option<MonotonicTime> {
        let deadlines = self.waiting.iter().map(|request| request.deadline);
        let timeouts = self.pending.iter().map(|take| {
            if take.timed_out {
                take.sent + context.policy.grant_expiry
            } else {
                take.timeout
            }
        });
        let reviews = self.grants.iter().filter(|grant| grant.review > now);
        let reviews = reviews.map(|grant| grant.review);
        let retries = self.plan.owners.iter().enumerate().map(|(place, owner)| {
            let link = context.links.get(owner);
            let available = link.map_or(MonotonicTime::ZERO, OwnerLink::available_at);
            self.next_try[place].max(available)
        });
        let retries = retries.filter(|time| !self.waiting.is_empty() && *time > now);
        deadlines
            .chain(timeouts)
            .chain(reviews)
            .chain(retries)
            .min()
    }

    /// Spends one token: of a full reserve, else of the grant that expires first, else of the
    /// reserve.
    fn spend(&mut self, context: &HolderContext, now: MonotonicTime) -> bool {
        let fresh = now < context.fresh_until;
        if fresh {
            self.reserve.settle(context.policy.freshness, now);
            // A full reserve would lose its next tokens.
            if self.reserve.is_full(now) && self.reserve.take(1, now) == 1 {
                return true;
            }
        }
        let grants = self.grants.iter_mut().enumerate();
        let first = grants.min_by_key(|(_, grant)| grant.expires);
        if let Some((place, grant)) = first {
            grant.amount -= 1;
            if grant.amount == 0 {
                self.grants.swap_remove(place);
            }
            return true;
        }
        fresh && self.reserve.take(1, now) == 1
    }

    fn held(&self) -> f64 {
        self.grants.iter().map(|g| f64::from(g.amount)).sum()
    }

    /// Expected wait of a request behind `ahead` others; zero while tokens are not known to be
    /// scarce.
    fn expected_wait(&self, ahead: usize, now: MonotonicTime) -> Duration {
        if !self.scarce {
            return Duration::ZERO;
        }
        let next = self.next_try.iter().min().copied().unwrap_or(now);
        // A holder without recent grants can count on a part of the rate only.
        let least = f64::from(self.plan.rate.max(1)) / 10.0;
        let supply = self.supply.per_second(now).max(least);
        next.since(now) + Duration::from_secs_f64(ahead as f64 / supply)
    }

    fn check_timeouts(&mut self, context: &mut HolderContext, now: MonotonicTime) {
        let expiry = context.policy.grant_expiry;
        self.pending.retain(|take| take.sent + expiry > now);
        for take in &mut self.pending {
            if !take.timed_out && take.timeout <= now {
                take.timed_out = true;
                let link = context.links.entry(take.owner.clone()).or_default();
                link.failed(now);
            }
        }
    }

    fn refuse_late(&mut self, context: &mut HolderContext, now: MonotonicTime) {
        let retry_after = self.expected_wait(self.waiting.len(), now);
        let retry_after = retry_after.clamp(LEAST_RETRY, MOST_RETRY);
        self.waiting.retain(|request| {
            let late = request.deadline <= now;
            if late {
                let ticket = request.ticket;
                context.events.push(HolderEvent::Refused {
                    ticket,
                    retry_after,
                });
            }
            !late
        });
    }

    /// Returns the part of grants at half of their validity that will not be needed.
    fn return_surplus(&mut self, context: &mut HolderContext, now: MonotonicTime) {
        let demand = self.demand.per_second(now);
        let due = |grant: &HeldGrant| grant.review <= now && grant.amount > 0;
        while let Some(place) = self.grants.iter().position(due) {
            let held = self.held();
            let grant = &mut self.grants[place];
            grant.review = grant.expires;
            let needed = demand * grant.expires.since(now).as_secs_f64();
            // Rounded to the nearest, so that a small demand does not keep the last token.
            let surplus = (held - needed.round()).max(0.0) as u32;
            let amount = surplus.min(grant.amount);
            if amount == 0 {
                continue;
            }
            let returned = ReturnedTokens {
                grant: grant.number,
                amount,
            };
            let owner = grant.owner.clone();
            grant.amount -= amount;
            if grant.amount == 0 {
                self.grants.remove(place);
            }
            context.last_number += 1;
            let message = self.message(0, context, [returned].into_iter().collect());
            context.events.push(HolderEvent::Send { owner, message });
        }
    }

    /// Asks owners for tokens for waiting requests and for the demand of the prefetch time.
    fn ask(&mut self, context: &mut HolderContext, now: MonotonicTime) {
        let target = (self.demand.per_second(now) * context.policy.prefetch.as_secs_f64()).round();
        let asked = self.pending.iter().filter(|take| !take.timed_out);
        let asked: f64 = asked.map(|take| f64::from(take.amount)).sum();
        let coming = self.held() + asked;
        if self.waiting.is_empty() && coming * 2.0 >= target {
            return;
        }
        let mut wanted = (self.waiting.len() as f64 + target - coming)
            .ceil()
            .max(0.0) as u32;
        let count = self.plan.owners.len();
        for step in 0..count {
            if wanted == 0 {
                return;
            }
            // Holders start with different owners, which spreads the load over the shards.
            let place = (context.own_hash + step) % count;
            let owner = &self.plan.owners[place];
            let link = context.links.entry(owner.clone()).or_default();
            let busy = self.pending.iter().any(|take| take.owner == *owner);
            if busy || self.next_try[place] > now || link.available_at() > now {
                continue;
            }
            let owner = owner.clone();
            let timeout = now + link.timeout();
            context.last_number += 1;
            self.pending.push(PendingTake {
                owner: owner.clone(),
                number: context.last_number,
                amount: wanted,
                sent: now,
                timeout,
                timed_out: false,
            });
            let message = self.message(wanted, context, SmallVec::new());
            context.events.push(HolderEvent::Send { owner, message });
            wanted = 0;
        }
    }

    fn message(
        &self,
        amount: u32,
        context: &HolderContext,
        returned: SmallVec<[ReturnedTokens; 2]>,
    ) -> TakeTokens {
        TakeTokens {
            account: self.account.clone(),
            fleet_version: context.fleet_version,
            number: context.last_number,
            amount,
            returned,
        }
    }
}
