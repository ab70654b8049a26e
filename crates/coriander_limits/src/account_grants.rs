//! Granted tokens, token requests and waiting requests of one account at a grant client.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use coriander_core::{AccountName, InstanceId, MonotonicTime};
use smallvec::SmallVec;

use crate::owner_link::OwnerLink;
use crate::rate_estimate::RateEstimate;
use crate::token_bucket::PhasedBucket;
use crate::{
    AccountPlan, AdmitDecision, FleetVersion, GrantEvent, GrantNumber, LimitPolicy, PlanTable,
    ReturnedTokens, TokenGrant, TokenRequest,
};

/// Window of the demand estimate; short, so that grants grow quickly when load starts.
const DEMAND_WINDOW: Duration = Duration::from_millis(250);

/// Window of the estimate of granted tokens.
const SUPPLY_WINDOW: Duration = Duration::from_secs(1);

/// Minimum retry time in a refusal.
const MIN_RETRY: Duration = Duration::from_millis(10);

/// Maximum retry time in a refusal.
const MAX_RETRY: Duration = Duration::from_secs(10);

#[derive(Clone, Debug)]
struct HeldGrant {
    owner: InstanceId,
    number: GrantNumber,
    amount: u32,
    /// When to return the tokens that the estimated demand does not use.
    check_surplus_at: MonotonicTime,
    expires_at: MonotonicTime,
}

#[derive(Clone, Debug)]
struct PendingRequest {
    owner: InstanceId,
    number: u64,
    amount: u32,
    sent_at: MonotonicTime,
    times_out_at: MonotonicTime,
    timed_out: bool,
}

#[derive(Clone, Copy, Debug)]
struct WaitingRequest {
    ticket: u64,
    deadline: MonotonicTime,
}

/// State shared by the accounts of one [`crate::GrantClient`].
#[derive(Debug)]
pub(crate) struct ClientContext {
    pub own_hash: usize,
    pub policy: LimitPolicy,
    pub fleet_version: FleetVersion,
    pub fresh_until: MonotonicTime,
    pub links: HashMap<InstanceId, OwnerLink>,
    pub last_number: u64,
    pub events: Vec<GrantEvent>,
}

#[derive(Clone, Debug)]
pub(crate) struct AccountGrants {
    account: AccountName,
    plan: AccountPlan,
    reserve: PhasedBucket,
    grants: SmallVec<[HeldGrant; 3]>,
    pending: SmallVec<[PendingRequest; 3]>,
    waiting: VecDeque<WaitingRequest>,
    /// Earliest time of the next request to each owner in the plan.
    next_requests: SmallVec<[MonotonicTime; 3]>,
    demand: RateEstimate,
    supply: RateEstimate,
    /// Whether the last reply came from an owner without enough tokens.
    is_scarce: bool,
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
            next_requests: plan.owners.iter().map(|_| now).collect(),
            demand: RateEstimate::new(DEMAND_WINDOW, now),
            supply: RateEstimate::new(SUPPLY_WINDOW, now),
            is_scarce: false,
        }
    }

    /// Applies a new plan. Existing grants stay valid until they expire.
    pub fn apply(
        &mut self,
        plan: &AccountPlan,
        plans: &PlanTable,
        keep_reserve: bool,
        now: MonotonicTime,
    ) {
        let version = plans.config_version;
        if keep_reserve {
            self.reserve
                .activate_due_target(plans.policy.freshness_period, now);
            self.reserve.set_target(plan.reserve, version, now);
        } else {
            self.reserve = PhasedBucket::new(plan.reserve, version, now);
        }
        if plan.owners != self.plan.owners {
            self.next_requests = plan.owners.iter().map(|_| now).collect();
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
        context: &mut ClientContext,
        now: MonotonicTime,
    ) -> AdmitDecision {
        self.demand.record(1, now);
        self.grants.retain(|grant| grant.expires_at > now);
        if self.waiting.is_empty() && self.spend(context, now) {
            self.request_tokens(context, now);
            return AdmitDecision::Admitted;
        }
        let wait = self.expected_wait(self.waiting.len(), now);
        let is_full = self.waiting.len() >= context.policy.max_waiting;
        if is_full || deadline <= now || now + wait > deadline {
            return AdmitDecision::Refused {
                retry_after: wait.clamp(MIN_RETRY, MAX_RETRY),
            };
        }
        self.waiting.push_back(WaitingRequest { ticket, deadline });
        self.request_tokens(context, now);
        AdmitDecision::WaitUntil(deadline)
    }

    /// Handles an owner's reply. Unexpected, duplicate and late replies add no tokens.
    pub fn handle_grant(
        &mut self,
        owner: &InstanceId,
        grant: &TokenGrant,
        context: &mut ClientContext,
        now: MonotonicTime,
    ) {
        let matches = |p: &PendingRequest| p.number == grant.number && p.owner == *owner;
        let Some(index) = self.pending.iter().position(matches) else {
            return;
        };
        let request = self.pending.remove(index);
        let link = context.links.entry(owner.clone()).or_default();
        link.record_reply(now.since(request.sent_at));
        let amount = grant.amount.min(request.amount);
        // The expiry is counted from the sending of the request, so that a pause of this process
        // cannot extend it.
        let expiry = grant.expiry.min(context.policy.grant_expiry);
        if amount > 0 && request.sent_at + expiry > now {
            self.supply.record(amount, now);
            self.grants.push(HeldGrant {
                owner: owner.clone(),
                number: grant.grant,
                amount,
                check_surplus_at: request.sent_at + expiry / 2,
                expires_at: request.sent_at + expiry,
            });
        }
        // In a partial grant without a retry time the owner has kept tokens for other clients.
        self.is_scarce = amount < request.amount && !grant.retry_after.is_zero();
        if amount < request.amount
            && let Some(index) = self.plan.owners.iter().position(|id| id == owner)
        {
            self.next_requests[index] =
                now + grant.retry_after.max(context.policy.empty_retry_interval);
        }
        self.refresh(context, now);
    }

    /// Handles a failed token request, for example after a refused connection.
    pub fn handle_request_failure(
        &mut self,
        number: u64,
        context: &mut ClientContext,
        now: MonotonicTime,
    ) {
        if let Some(index) = self.pending.iter().position(|p| p.number == number) {
            let request = self.pending.remove(index);
            context
                .links
                .entry(request.owner)
                .or_default()
                .record_failure(now);
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

    /// Processes expired grants, timeouts, waiting requests, returns and new token requests.
    pub fn refresh(&mut self, context: &mut ClientContext, now: MonotonicTime) {
        self.grants.retain(|grant| grant.expires_at > now);
        self.check_timeouts(context, now);
        while !self.waiting.is_empty() && self.spend(context, now) {
            if let Some(request) = self.waiting.pop_front() {
                let ticket = request.ticket;
                context.events.push(GrantEvent::Admitted { ticket });
            }
        }
        self.refuse_overdue(context, now);
        self.return_surplus(context, now);
        self.request_tokens(context, now);
    }

    /// Returns the time of the next call to `refresh`, if one is needed.
    pub fn wakeup(&self, context: &ClientContext, now: MonotonicTime) -> Option<MonotonicTime> {
        let deadlines = self.waiting.iter().map(|request| request.deadline);
        let timeouts = self.pending.iter().map(|request| {
            if request.timed_out {
                request.sent_at + context.policy.grant_expiry
            } else {
                request.times_out_at
            }
        });
        let surplus_checks = self
            .grants
            .iter()
            .filter(|grant| grant.check_surplus_at > now);
        let surplus_checks = surplus_checks.map(|grant| grant.check_surplus_at);
        let retries = self.plan.owners.iter().enumerate().map(|(index, owner)| {
            let link = context.links.get(owner);
            let available = link.map_or(MonotonicTime::ZERO, OwnerLink::available_at);
            self.next_requests[index].max(available)
        });
        let retries = retries.filter(|time| !self.waiting.is_empty() && *time > now);
        deadlines
            .chain(timeouts)
            .chain(surplus_checks)
            .chain(retries)
            .min()
    }

    /// Spends one token, in this order: from a full reserve, from the grant that expires first,
    /// from the reserve.
    fn spend(&mut self, context: &ClientContext, now: MonotonicTime) -> bool {
        let is_fresh = now < context.fresh_until;
        if is_fresh {
            self.reserve
                .activate_due_target(context.policy.freshness_period, now);
            // A full reserve loses the tokens of its refill.
            if self.reserve.is_full(now) && self.reserve.take(1, now) == 1 {
                return true;
            }
        }
        let grants = self.grants.iter_mut().enumerate();
        let first = grants.min_by_key(|(_, grant)| grant.expires_at);
        if let Some((index, grant)) = first {
            grant.amount -= 1;
            if grant.amount == 0 {
                self.grants.swap_remove(index);
            }
            return true;
        }
        is_fresh && self.reserve.take(1, now) == 1
    }

    fn held_tokens(&self) -> f64 {
        self.grants.iter().map(|g| f64::from(g.amount)).sum()
    }

    /// Returns the expected wait of a request behind `ahead` others; zero unless tokens are scarce.
    fn expected_wait(&self, ahead: usize, now: MonotonicTime) -> Duration {
        if !self.is_scarce {
            return Duration::ZERO;
        }
        let next = self.next_requests.iter().min().copied().unwrap_or(now);
        // Without recent grants, only a tenth of the rate is assumed.
        let min_supply = f64::from(self.plan.rate.max(1)) / 10.0;
        let supply = self.supply.per_second(now).max(min_supply);
        next.since(now) + Duration::from_secs_f64(ahead as f64 / supply)
    }

    fn check_timeouts(&mut self, context: &mut ClientContext, now: MonotonicTime) {
        let expiry = context.policy.grant_expiry;
        self.pending
            .retain(|request| request.sent_at + expiry > now);
        for request in &mut self.pending {
            if !request.timed_out && request.times_out_at <= now {
                request.timed_out = true;
                let link = context.links.entry(request.owner.clone()).or_default();
                link.record_failure(now);
            }
        }
    }

    fn refuse_overdue(&mut self, context: &mut ClientContext, now: MonotonicTime) {
        let retry_after = self.expected_wait(self.waiting.len(), now);
        let retry_after = retry_after.clamp(MIN_RETRY, MAX_RETRY);
        self.waiting.retain(|request| {
            let is_overdue = request.deadline <= now;
            if is_overdue {
                let ticket = request.ticket;
                context.events.push(GrantEvent::Refused {
                    ticket,
                    retry_after,
                });
            }
            !is_overdue
        });
    }

    /// Returns surplus tokens of grants that have reached half of their validity to their owners.
    fn return_surplus(&mut self, context: &mut ClientContext, now: MonotonicTime) {
        let demand = self.demand.per_second(now);
        let due = |grant: &HeldGrant| grant.check_surplus_at <= now && grant.amount > 0;
        while let Some(index) = self.grants.iter().position(due) {
            let held_tokens = self.held_tokens();
            let grant = &mut self.grants[index];
            grant.check_surplus_at = grant.expires_at;
            let needed = demand * grant.expires_at.since(now).as_secs_f64();
            // Rounded to the nearest, so that the last token is returned if demand is low.
            let surplus = (held_tokens - needed.round()).max(0.0) as u32;
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
                self.grants.remove(index);
            }
            context.last_number += 1;
            let message = self.message(0, context, [returned].into_iter().collect());
            context.events.push(GrantEvent::Send { owner, message });
        }
    }

    /// Requests tokens from owners for waiting requests and for the demand of the prefetch time.
    fn request_tokens(&mut self, context: &mut ClientContext, now: MonotonicTime) {
        let target =
            (self.demand.per_second(now) * context.policy.prefetch_time.as_secs_f64()).round();
        let requested = self.pending.iter().filter(|request| !request.timed_out);
        let requested: f64 = requested.map(|request| f64::from(request.amount)).sum();
        let expected_tokens = self.held_tokens() + requested;
        if self.waiting.is_empty() && expected_tokens * 2.0 >= target {
            return;
        }
        let mut wanted = (self.waiting.len() as f64 + target - expected_tokens)
            .ceil()
            .max(0.0) as u32;
        let count = self.plan.owners.len();
        for step in 0..count {
            if wanted == 0 {
                return;
            }
            // Clients start with different owners, which spreads the load over the shards.
            let index = (context.own_hash + step) % count;
            let owner = &self.plan.owners[index];
            let link = context.links.entry(owner.clone()).or_default();
            let has_pending_request = self.pending.iter().any(|request| request.owner == *owner);
            if has_pending_request || self.next_requests[index] > now || link.available_at() > now {
                continue;
            }
            let owner = owner.clone();
            let times_out_at = now + link.timeout();
            context.last_number += 1;
            self.pending.push(PendingRequest {
                owner: owner.clone(),
                number: context.last_number,
                amount: wanted,
                sent_at: now,
                times_out_at,
                timed_out: false,
            });
            let message = self.message(wanted, context, SmallVec::new());
            context.events.push(GrantEvent::Send { owner, message });
            wanted = 0;
        }
    }

    fn message(
        &self,
        amount: u32,
        context: &ClientContext,
        returned: SmallVec<[ReturnedTokens; 2]>,
    ) -> TokenRequest {
        TokenRequest {
            account: self.account.clone(),
            fleet_version: context.fleet_version,
            number: context.last_number,
            amount,
            returned,
        }
    }
}
