//! The token bucket shards that one instance owns.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use coriander_core::{AccountName, ConfigVersion, InstanceId, MonotonicTime};

use crate::{
    AccountPlan, BucketShard, GrantNumber, HandOver, HandOverReply, PlanTable, TokenGrant,
    TokenRequest,
};

/// Retry time in replies of an instance that cannot grant any tokens.
const UNAVAILABLE_RETRY: Duration = Duration::from_millis(500);

/// Refill time for which a client waits before it requests tokens again. It limits the number of
/// requests for a busy account without tokens.
const RETRY_REFILL_TIME: Duration = Duration::from_millis(100);

#[derive(Clone, Debug)]
struct OwnedShard {
    shard: BucketShard,
    /// Owner in the previous fleet version, whose hand-over is accepted once.
    predecessor: Option<InstanceId>,
}

/// Shards of an instance, with their grants and hand-overs.
///
/// ```
/// use coriander_core::{AccountLimits, ConfigDocument, FleetMember, MonotonicTime};
/// use coriander_limits::{FleetVersion, LimitPolicy, OwnerTable, PlanTable, TokenRequest};
/// use std::sync::Arc;
///
/// let (own_id, account) = ("i-0".parse()?, "harbour".parse()?);
/// let mut document = ConfigDocument::default();
/// document.accounts.insert("harbour".parse()?, AccountLimits { rate: 100, burst: 100 });
/// let owners = |_: &_| [("i-0".parse()).expect("valid name")].into_iter().collect();
/// let plans = PlanTable::new(&document, FleetVersion::new(1), &LimitPolicy::default(), owners);
///
/// let mut table = OwnerTable::new(own_id);
/// let start = MonotonicTime::ZERO;
/// table.apply(&Arc::new(plans), start);
/// table.record_acceptance(document.version, start);
/// table.set_fresh_until(MonotonicTime::from_millis(10_000));
/// let request = TokenRequest {
///     account,
///     fleet_version: FleetVersion::new(1),
///     number: 1,
///     amount: 5,
///     returned: Default::default(),
/// };
/// // No token is granted before the freshness period has passed; then the shard is refilled.
/// assert_eq!(table.handle_request(&request, MonotonicTime::from_millis(1_999)).amount, 0);
/// assert_eq!(table.handle_request(&request, MonotonicTime::from_millis(2_000)).amount, 0);
/// assert_eq!(table.handle_request(&request, MonotonicTime::from_millis(2_500)).amount, 5);
/// # Ok::<(), coriander_core::NameError>(())
/// ```
#[derive(Clone, Debug)]
pub struct OwnerTable {
    own_id: InstanceId,
    plans: Arc<PlanTable>,
    shards: HashMap<AccountName, OwnedShard>,
    /// Newest accepted version and the time at which this instance received the acceptance, which
    /// can be before it applied the version itself.
    accepted: Option<(ConfigVersion, MonotonicTime)>,
    fresh_until: MonotonicTime,
    last_grant: u64,
}

impl OwnerTable {
    /// Creates the table of an instance without shards.
    pub fn new(own_id: InstanceId) -> Self {
        Self {
            own_id,
            plans: Arc::default(),
            shards: HashMap::new(),
            accepted: None,
            fresh_until: MonotonicTime::ZERO,
            last_grant: 0,
        }
    }

    /// Applies new plans and returns the shards to hand over with their next owners.
    ///
    /// A shard is kept if this instance owned it in the directly preceding fleet version with
    /// the same number of owners. Any other shard starts empty, with a waiting period.
    pub fn apply(
        &mut self,
        plans: &Arc<PlanTable>,
        now: MonotonicTime,
    ) -> Vec<(InstanceId, HandOver)> {
        let old_plans = std::mem::replace(&mut self.plans, Arc::clone(plans));
        let mut old_shards = std::mem::take(&mut self.shards);
        let follows = plans.follows(&old_plans);
        let mut hand_overs = Vec::new();
        for (account, plan) in plans.iter() {
            let old_plan = old_plans
                .get(account)
                .filter(|old| follows && has_same_owner_count(old, plan));
            let old_shard = old_shards.remove(account).filter(|_| old_plan.is_some());
            if plan.owners.contains(&self.own_id) {
                let mut owned = self.next_shard(old_shard, old_plan, plan, now);
                if let Some((version, time)) = self.accepted {
                    owned.shard.record_acceptance(version, time);
                }
                self.shards.insert(account.clone(), owned);
            } else if let (Some(mut owned), Some(old_plan)) = (old_shard, old_plan) {
                // A shard in its waiting period is not handed over: its previous owner may
                // still grant.
                if owned.shard.is_active(&plans.policy, now)
                    && let Some(next) = counterpart(&self.own_id, old_plan, plan)
                {
                    let (share, tokens) = owned.shard.content(now);
                    let hand_over = HandOver {
                        account: account.clone(),
                        fleet_version: plans.fleet_version,
                        share,
                        tokens,
                    };
                    hand_overs.push((next, hand_over));
                }
            }
        }
        hand_overs
    }

    /// Records that the fleet has accepted a configuration version.
    pub fn record_acceptance(&mut self, version: ConfigVersion, now: MonotonicTime) {
        if self.accepted.is_some_and(|(newest, _)| newest >= version) {
            return;
        }
        self.accepted = Some((version, now));
        for owned in self.shards.values_mut() {
            owned.shard.record_acceptance(version, now);
        }
    }

    /// Sets the time until which the configuration is confirmed; after it, no tokens are granted.
    pub fn set_fresh_until(&mut self, until: MonotonicTime) {
        self.fresh_until = until;
    }

    /// Handles a token request and returns the reply. A request with amount 0 needs no reply.
    pub fn handle_request(&mut self, request: &TokenRequest, now: MonotonicTime) -> TokenGrant {
        let mut reply = TokenGrant {
            account: request.account.clone(),
            number: request.number,
            grant: GrantNumber::default(),
            amount: 0,
            expiry: Duration::ZERO,
            retry_after: UNAVAILABLE_RETRY,
        };
        if now >= self.fresh_until {
            return reply;
        }
        let Some(owned) = self.shards.get_mut(&request.account) else {
            return reply;
        };
        for returned in &request.returned {
            owned.shard.return_tokens(*returned, now);
        }
        if request.amount > 0 {
            self.last_grant += 1;
            let policy = &self.plans.policy;
            reply.grant = GrantNumber(self.last_grant);
            reply.amount = owned.shard.grant(request.amount, reply.grant, policy, now);
            reply.expiry = owned.shard.expiry();
            let missing = request.amount - reply.amount;
            reply.retry_after = retry_time(&mut owned.shard, missing, now);
        }
        reply
    }

    /// Applies the hand-over of a shard by its previous owner, at most once.
    pub fn hand_over(
        &mut self,
        from: &InstanceId,
        hand_over: &HandOver,
        now: MonotonicTime,
    ) -> HandOverReply {
        if hand_over.fleet_version > self.plans.fleet_version {
            return HandOverReply::NotYet;
        }
        let Some(owned) = self.shards.get_mut(&hand_over.account) else {
            return HandOverReply::Ignored;
        };
        let expected = hand_over.fleet_version == self.plans.fleet_version
            && owned.predecessor.as_ref() == Some(from);
        if !expected || owned.shard.is_active(&self.plans.policy, now) {
            return HandOverReply::Ignored;
        }
        owned.predecessor = None;
        owned
            .shard
            .continue_from(hand_over.share, hand_over.tokens, now);
        HandOverReply::Done
    }

    /// Returns the number of shards.
    pub fn len(&self) -> usize {
        self.shards.len()
    }

    /// Returns whether the instance owns no shards.
    pub fn is_empty(&self) -> bool {
        self.shards.is_empty()
    }

    fn next_shard(
        &self,
        old_shard: Option<OwnedShard>,
        old_plan: Option<&AccountPlan>,
        plan: &AccountPlan,
        now: MonotonicTime,
    ) -> OwnedShard {
        if let Some(mut owned) = old_shard {
            owned.shard.apply(plan, &self.plans, now);
            return owned;
        }
        OwnedShard {
            shard: BucketShard::new(plan, &self.plans, now),
            predecessor: old_plan.and_then(|old| counterpart(&self.own_id, plan, old)),
        }
    }
}

fn has_same_owner_count(old: &AccountPlan, new: &AccountPlan) -> bool {
    old.owners.len() == new.owners.len()
}

/// Pairs the owners that are only in `from` with those that are only in `to`, in rank order, and
/// returns the counterpart of `own_id`. Both sides of a hand-over compute the same pairs.
fn counterpart(own_id: &InstanceId, from: &AccountPlan, to: &AccountPlan) -> Option<InstanceId> {
    let mut only_from = from.owners.iter().filter(|id| !to.owners.contains(id));
    let mut only_to = to.owners.iter().filter(|id| !from.owners.contains(id));
    let index = only_from.position(|id| id == own_id)?;
    only_to.nth(index).cloned()
}

/// Returns the time after which a new request can succeed: when the shard contains one token, or
/// the refill of [`RETRY_REFILL_TIME`] for an account with a high rate.
fn retry_time(shard: &mut BucketShard, missing: u32, now: MonotonicTime) -> Duration {
    if missing == 0 {
        return Duration::ZERO;
    }
    let batch = shard.tokens_gained_in(RETRY_REFILL_TIME).clamp(1, missing);
    let wait = shard.time_until(batch, now);
    let next = wait.or_else(|| shard.time_until(1, now));
    next.unwrap_or(UNAVAILABLE_RETRY).min(UNAVAILABLE_RETRY)
}
