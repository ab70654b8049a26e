//! Tokens, requests for tokens and waiting requests of one account at a holder.

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

/// Window of the demand estimate; short, so that a starting load soon gets larger grants.
const DEMAND_WINDOW: Duration = Duration::from_millis(250);

/// Window of the estimate of granted tokens.
const SUPPLY_WINDOW: Duration = Duration::from_secs(1);

/// Shortest retry time in a refusal.
const MIN_RETRY: Duration = Duration::from_millis(10);

/// Longest retry time in a refusal.
const MAX_RETRY: Duration = Duration::from_secs(10);

#[derive(Clone, Debug)]
struct HeldGrant {
    owner: InstanceId,
    number: GrantNumber,
    amount: u32,
    /// When to return what will not be needed.
    surplus_check: MonotonicTime,
    expires: MonotonicTime,
}

#[derive(Clone, Debug)]
struct PendingRequest {
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
    /// When each owner in the plan may be asked again.
    next_requests: SmallVec<[MonotonicTime; 3]>,
    demand: RateEstimate,
    supply: RateEstimate,
    /// Whether the owner that replied last has run out of tokens.
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

    /// Takes over a new plan. Grants in hand stay valid until they expire.
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
        self.grants.retain(|grant| grant.expires > now);
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

    /// Takes over a reply; one that was not asked for, came twice or came too late adds nothing.
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
        link.record_reply(now.since(request.sent));
        let amount = grant.amount.min(request.amount);
        // The expiry counts from the sending, so that a pause of this process cannot extend it.
        let expiry = grant.expiry.min(context.policy.grant_expiry);
        if amount > 0 && request.sent + expiry > now {
            self.supply.record(amount, now);
            self.grants.push(HeldGrant {
                owner: owner.clone(),
                number: grant.grant,
                amount,
                surplus_check: request.sent + expiry / 2,
                expires: request.sent + expiry,
            });
        }
        // A partial grant without a retry time means that the owner kept tokens for others.
        self.is_scarce = amount < request.amount && !grant.retry_after.is_zero();
        if amount < request.amount
            && let Some(index) = self.plan.owners.iter().position(|id| id == owner)
        {
            self.next_requests[index] =
                now + grant.retry_after.max(context.policy.empty_retry_interval);
        }
        self.refresh(context, now);
    }

    /// Notes that a request for tokens failed, for example because the connection was refused.
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

    /// Does all that is due: expiry, timeouts, waiting requests, returns and new requests.
    pub fn refresh(&mut self, context: &mut ClientContext, now: MonotonicTime) {
        self.grants.retain(|grant| grant.expires > now);
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

    /// Time at which `refresh` has something to do.
    pub fn wakeup(&self, context: &ClientContext, now: MonotonicTime) -> Option<MonotonicTime> {
        let deadlines = self.waiting.iter().map(|request| request.deadline);
        let timeouts = self.pending.iter().map(|request| {
            if request.timed_out {
                request.sent + context.policy.grant_expiry
            } else {
                request.timeout
            }
        });
        let reviews = self.grants.iter().filter(|grant| grant.surplus_check > now);
        let reviews = reviews.map(|grant| grant.surplus_check);
        let retries = self.plan.owners.iter().enumerate().map(|(index, owner)| {
            let link = context.links.get(owner);
            let available = link.map_or(MonotonicTime::ZERO, OwnerLink::available_at);
            self.next_requests[index].max(available)
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
    fn spend(&mut self, context: &ClientContext, now: MonotonicTime) -> bool {
        let fresh = now < context.fresh_until;
        if fresh {
            self.reserve
                .activate_due_target(context.policy.freshness_period, now);
            // A full reserve would lose its next tokens.
            if self.reserve.is_full(now) && self.reserve.take(1, now) == 1 {
                return true;
            }
        }
        let grants = self.grants.iter_mut().enumerate();
        let first = grants.min_by_key(|(_, grant)| grant.expires);
        if let Some((index, grant)) = first {
            grant.amount -= 1;
            if grant.amount == 0 {
                self.grants.swap_remove(index);
            }
            return true;
        }
        fresh && self.reserve.take(1, now) == 1
    }

    fn held_tokens(&self) -> f64 {
        self.grants.iter().map(|g| f64::from(g.amount)).sum()
    }

    /// Expected wait of a request behind `ahead` others; zero while tokens are not known to be
    /// scarce.
    fn expected_wait(&self, ahead: usize, now: MonotonicTime) -> Duration {
        if !self.is_scarce {
            return Duration::ZERO;
        }
        let next = self.next_requests.iter().min().copied().unwrap_or(now);
        // A holder without recent grants can count on a part of the rate only.
        let min_supply = f64::from(self.plan.rate.max(1)) / 10.0;
        let supply = self.supply.per_second(now).max(min_supply);
        next.since(now) + Duration::from_secs_f64(ahead as f64 / supply)
    }

    fn check_timeouts(&mut self, context: &mut ClientContext, now: MonotonicTime) {
        let expiry = context.policy.grant_expiry;
        self.pending.retain(|request| request.sent + expiry > now);
        for request in &mut self.pending {
            if !request.timed_out && request.timeout <= now {
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

    /// Returns the part of grants at half of their validity that will not be needed.
    fn return_surplus(&mut self, context: &mut ClientContext, now: MonotonicTime) {
        let demand = self.demand.per_second(now);
        let due = |grant: &HeldGrant| grant.surplus_check <= now && grant.amount > 0;
        while let Some(index) = self.grants.iter().position(due) {
            let held_tokens = self.held_tokens();
            let grant = &mut self.grants[index];
            grant.surplus_check = grant.expires;
            let needed = demand * grant.expires.since(now).as_secs_f64();
            // Rounded to the nearest, so that a small demand does not keep the last token.
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

    /// Asks owners for tokens for waiting requests and for the demand of the prefetch time.
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
            // Holders start with different owners, which spreads the load over the shards.
            let index = (context.own_hash + step) % count;
            let owner = &self.plan.owners[index];
            let link = context.links.entry(owner.clone()).or_default();
            let has_pending_request = self.pending.iter().any(|request| request.owner == *owner);
            if has_pending_request || self.next_requests[index] > now || link.available_at() > now {
                continue;
            }
            let owner = owner.clone();
            let timeout = now + link.timeout();
            context.last_number += 1;
            self.pending.push(PendingRequest {
                owner: owner.clone(),
                number: context.last_number,
                amount: wanted,
                sent: now,
                timeout,
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
