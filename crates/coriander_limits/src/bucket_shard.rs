//! One owner's shard of an account's token bucket.

use std::collections::VecDeque;
use std::time::Duration;

use coriander_core::{ConfigVersion, MonotonicTime};

use crate::token_bucket::{MICROTOKENS_PER_TOKEN, PhasedBucket};
use crate::{AccountPlan, BucketShare, GrantNumber, LimitPolicy, PlanTable, ReturnedTokens};

/// Maximum number of grants whose unused tokens can be returned. Returns for older grants are
/// ignored, which loses tokens but never creates any.
const MAX_OUTSTANDING_GRANTS: usize = 64;

#[derive(Clone, Copy, Debug)]
struct OutstandingGrant {
    number: GrantNumber,
    amount: u32,
    expires_at: MonotonicTime,
}

/// Shard of a token bucket at its owner.
///
/// Tokens are deducted when they are granted and may be spent until the grant expires. The
/// capacity is reduced by rate × expiry, so that spending stays within burst + rate × t.
#[derive(Clone, Debug)]
pub struct BucketShard {
    bucket: PhasedBucket,
    expiry: Duration,
    /// Expiry for the bucket's target share. A longer expiry applies only once the target share is
    /// active.
    target_expiry: Duration,
    outstanding: VecDeque<OutstandingGrant>,
}

impl BucketShard {
    /// Creates an empty shard that grants no tokens before the waiting period has passed.
    pub fn new(plan: &AccountPlan, plans: &PlanTable, now: MonotonicTime) -> Self {
        Self {
            bucket: PhasedBucket::new(plan.shard, plans.config_version, now),
            expiry: plan.expiry,
            target_expiry: plan.expiry,
            outstanding: VecDeque::new(),
        }
    }

    /// Changes the share; an increase becomes active after the waiting period.
    pub fn apply(&mut self, plan: &AccountPlan, plans: &PlanTable, now: MonotonicTime) {
        self.bucket
            .activate_due_target(plans.policy.freshness_period, now);
        self.bucket
            .set_target(plan.shard, plans.config_version, now);
        self.expiry = self.expiry.min(plan.expiry);
        self.target_expiry = plan.expiry;
    }

    /// Records that a version has been accepted, which starts the waiting period.
    pub fn record_acceptance(&mut self, version: ConfigVersion, now: MonotonicTime) {
        self.bucket.record_acceptance(version, now);
    }

    /// Grants tokens and returns their number, which can be less than `wanted`.
    pub fn grant(
        &mut self,
        wanted: u32,
        number: GrantNumber,
        policy: &LimitPolicy,
        now: MonotonicTime,
    ) -> u32 {
        self.bucket
            .activate_due_target(policy.freshness_period, now);
        if self.bucket.is_target_active() {
            self.expiry = self.target_expiry;
        }
        let whole = self.bucket.tokens(now) / MICROTOKENS_PER_TOKEN;
        // One client must not empty the shard just before other clients request tokens.
        let max_amount = (whole * u64::from(policy.max_grant_percent)).div_ceil(100);
        let max_amount = u32::try_from(max_amount).unwrap_or(u32::MAX);
        let amount = self.bucket.take(wanted.min(max_amount), now);
        if amount > 0 {
            if self.outstanding.len() == MAX_OUTSTANDING_GRANTS {
                self.outstanding.pop_front();
            }
            self.outstanding.push_back(OutstandingGrant {
                number,
                amount,
                expires_at: now + self.expiry,
            });
        }
        amount
    }

    /// Returns unused tokens to the shard. Each token of a grant is accepted once, and only before
    /// the grant expires.
    pub fn return_tokens(&mut self, returned: ReturnedTokens, now: MonotonicTime) {
        while self
            .outstanding
            .front()
            .is_some_and(|g| g.expires_at <= now)
        {
            self.outstanding.pop_front();
        }
        let number = returned.grant;
        let Some(index) = self.outstanding.iter().position(|g| g.number == number) else {
            return;
        };
        if let Some(grant) = self.outstanding.remove(index) {
            self.bucket.put_back(returned.amount.min(grant.amount), now);
        }
    }

    /// Returns the validity of grants.
    pub fn expiry(&self) -> Duration {
        self.expiry
    }

    /// Returns the time until the shard contains `count` tokens, or `None` if it never will.
    pub fn time_until(&mut self, count: u32, now: MonotonicTime) -> Option<Duration> {
        self.bucket.time_until(count, now)
    }

    /// Returns the number of whole tokens that the refill adds in a time.
    pub fn tokens_gained_in(&self, time: Duration) -> u32 {
        let gained =
            time.as_secs_f64() * self.bucket.share().rate as f64 / MICROTOKENS_PER_TOKEN as f64;
        gained as u32
    }

    /// Returns whether the shard may grant tokens; false during its waiting period.
    pub fn is_active(&mut self, policy: &LimitPolicy, now: MonotonicTime) -> bool {
        self.bucket
            .activate_due_target(policy.freshness_period, now);
        self.bucket.is_active()
    }

    /// Returns share and content for a hand-over. The shard must grant no tokens afterwards.
    pub fn content(&mut self, now: MonotonicTime) -> (BucketShare, u64) {
        (self.bucket.share(), self.bucket.tokens(now))
    }

    /// Continues with the content of the previous owner, without a waiting period.
    pub fn continue_from(&mut self, share: BucketShare, tokens: u64, now: MonotonicTime) {
        self.bucket.continue_from(share, tokens, now);
    }
}
