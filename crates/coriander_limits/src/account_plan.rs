//! Split of each account's rate and burst between owners and instances.

use std::collections::HashMap;
use std::time::Duration;

use coriander_core::{AccountLimits, AccountName, ConfigDocument, ConfigVersion, InstanceId};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::token_bucket::MICROTOKENS_PER_TOKEN;
use crate::{BucketShare, LimitPolicy};

/// Minimum capacity of a shard. With less, the bucket is split between fewer owners.
const MIN_SHARD_TOKENS: u64 = 8;

/// At most the burst divided by this number may be outstanding in grants. It shortens the expiry
/// for accounts whose burst is small relative to their rate.
const OUTSTANDING_DIVISOR: u64 = 4;

/// Version of the fleet section and zones, increased by one with each change of either.
///
/// Owners keep their shards between consecutive versions. After a gap they start with empty
/// shards, because another instance may have owned them in between.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct FleetVersion(u64);

impl FleetVersion {
    /// Creates a fleet version.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns whether this version is `earlier` or the one directly after it.
    pub const fn follows(self, earlier: Self) -> bool {
        self.0 == earlier.0 || self.0 == earlier.0 + 1
    }
}

/// Owners and shares of one account.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AccountPlan {
    /// Owners of the shards, in rank order.
    pub owners: SmallVec<[InstanceId; 3]>,
    /// Share of each owner. The capacity is reduced by the tokens that may be outstanding in
    /// grants.
    pub shard: BucketShare,
    /// Share of each instance's local reserve.
    pub reserve: BucketShare,
    /// Validity of grants, counted from the sending of their request.
    pub expiry: Duration,
    /// Rate of the account over the whole fleet, in requests per second.
    pub rate: u32,
}

impl AccountPlan {
    /// Splits an account's limits.
    ///
    /// The shares are rounded down, so their sum is at most the limits. Accounts with a burst below
    /// 2 get no tokens, because a grant in transit counts against the burst.
    ///
    /// ```
    /// use coriander_core::AccountLimits;
    /// use coriander_limits::{AccountPlan, LimitPolicy};
    ///
    /// let limits = AccountLimits { rate: 600, burst: 600 };
    /// let owners = ["a".parse()?, "b".parse()?, "c".parse()?];
    /// let policy = LimitPolicy::default().with_reserve_percent(10, 10);
    /// let plan = AccountPlan::new(limits, 6, &owners, &policy);
    /// assert_eq!(plan.shard.rate, 180_000_000);
    /// assert_eq!(plan.reserve.rate, 10_000_000);
    /// # Ok::<(), coriander_core::NameError>(())
    /// ```
    pub fn new(
        limits: AccountLimits,
        fleet_size: usize,
        owners: &[InstanceId],
        policy: &LimitPolicy,
    ) -> Self {
        let rate = u64::from(limits.rate) * MICROTOKENS_PER_TOKEN;
        let burst = u64::from(limits.burst) * MICROTOKENS_PER_TOKEN;
        let instances = fleet_size.max(1) as u64;
        let per_instance = |whole: u64, percent: u32| whole / 100 * u64::from(percent) / instances;
        let mut reserve = BucketShare {
            rate: per_instance(rate, policy.reserve_rate_percent),
            capacity: per_instance(burst, policy.reserve_burst_percent),
        };
        // A reserve with a capacity below one token could never be spent.
        if reserve.capacity < MICROTOKENS_PER_TOKEN {
            reserve = BucketShare::default();
        }
        let pool_rate = rate - reserve.rate * instances;
        let pool_burst = burst - reserve.capacity * instances;
        let expiry = grant_expiry(pool_rate, pool_burst, policy);
        let shard = |count: u64| {
            let rate = pool_rate / count;
            let outstanding = u128::from(rate) * expiry.as_nanos() / 1_000_000_000;
            let outstanding = u64::try_from(outstanding).unwrap_or(u64::MAX);
            BucketShare {
                rate,
                capacity: (pool_burst / count).saturating_sub(outstanding.saturating_add(1)),
            }
        };
        let mut count = owners.len().max(1);
        while count > 1 && shard(count as u64).capacity < MIN_SHARD_TOKENS * MICROTOKENS_PER_TOKEN {
            count -= 1;
        }
        Self {
            owners: owners.iter().take(count).cloned().collect(),
            shard: shard(count as u64),
            reserve,
            expiry,
            rate: limits.rate,
        }
    }
}

fn grant_expiry(pool_rate: u64, pool_burst: u64, policy: &LimitPolicy) -> Duration {
    if pool_rate == 0 {
        return policy.grant_expiry;
    }
    let burst_time = pool_burst as f64 / pool_rate as f64;
    Duration::from_secs_f64(burst_time / OUTSTANDING_DIVISOR as f64).min(policy.grant_expiry)
}

/// Plans of all accounts in one configuration.
#[derive(Clone, Debug, Default)]
pub struct PlanTable {
    /// Configuration version of the plans.
    pub config_version: ConfigVersion,
    /// Fleet version of the plans.
    pub fleet_version: FleetVersion,
    /// Policy from which the plans were computed.
    pub policy: LimitPolicy,
    fleet: Vec<InstanceId>,
    accounts: HashMap<AccountName, AccountPlan>,
}

impl PlanTable {
    /// Computes the plans of a configuration. `owners` returns the owners of an account in rank
    /// order.
    pub fn new(
        document: &ConfigDocument,
        fleet_version: FleetVersion,
        policy: &LimitPolicy,
        mut owners: impl FnMut(&AccountName) -> SmallVec<[InstanceId; 3]>,
    ) -> Self {
        let size = document.fleet.len();
        let accounts = document.accounts.iter().map(|(account, limits)| {
            let plan = AccountPlan::new(*limits, size, &owners(account), policy);
            (account.clone(), plan)
        });
        Self {
            config_version: document.version,
            fleet_version,
            policy: policy.clone(),
            accounts: accounts.collect(),
            fleet: document.fleet.keys().cloned().collect(),
        }
    }

    /// Returns the plan of an account.
    pub fn get(&self, account: &AccountName) -> Option<&AccountPlan> {
        self.accounts.get(account)
    }

    /// Returns all plans.
    pub fn iter(&self) -> impl Iterator<Item = (&AccountName, &AccountPlan)> {
        self.accounts.iter()
    }

    /// Returns whether an instance is in the fleet.
    pub fn has_instance(&self, instance: &InstanceId) -> bool {
        self.fleet.binary_search(instance).is_ok()
    }

    /// Returns whether owners may keep their shards when these plans replace `earlier`.
    pub fn follows(&self, earlier: &Self) -> bool {
        self.fleet_version.follows(earlier.fleet_version)
    }
}
