//! Offered and admitted requests of the accounts in a simulation.

use coriander_core::AccountLimits;

/// A token bucket in virtual time, as specified by guarantee G7.
#[derive(Clone, Debug)]
pub struct IdealBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    updated: u64,
}

impl IdealBucket {
    pub fn new(limits: AccountLimits) -> Self {
        Self::equal_share(limits, 1)
    }

    /// Creates the bucket of one of `instances` instances, with an equal share of the limits.
    pub fn equal_share(limits: AccountLimits, instances: u32) -> Self {
        let burst = f64::from(limits.burst) / f64::from(instances);
        Self {
            rate: f64::from(limits.rate) / f64::from(instances),
            burst,
            tokens: burst,
            updated: 0,
        }
    }

    /// Takes a token; returns false if there is none. `now` is in microseconds.
    pub fn take(&mut self, now: u64) -> bool {
        let passed = (now - self.updated) as f64 / 1e6;
        self.tokens = (self.tokens + passed * self.rate).min(self.burst);
        self.updated = now;
        // The tolerance is far below one token and far above the rounding error of the sum.
        let enough = self.tokens >= 1.0 - 1e-6;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}

/// Request counts of one account.
#[derive(Clone, Debug)]
pub struct AccountUsage {
    pub offered: u64,
    /// Offered requests that one bucket for the whole fleet would have admitted.
    pub entitled: u64,
    pub admitted: u64,
    pub refused: u64,
    /// Requests at an instance that was paused or had no confirmed configuration.
    pub unavailable: u64,
    /// Admitted requests that exceeded burst + rate × t over some window.
    pub exceeded: u64,
    pub waits: Vec<u64>,
    /// Control messages between instances.
    pub messages: u64,
    entitled_bucket: IdealBucket,
    limit_bucket: IdealBucket,
}

/// Usage of all accounts, and the number of hand-overs.
#[derive(Clone, Debug)]
pub struct UsageRecord {
    pub accounts: Vec<AccountUsage>,
    pub hand_overs: u64,
}

impl UsageRecord {
    pub fn new(limits: &[AccountLimits]) -> Self {
        let account = |limits: &AccountLimits| AccountUsage {
            offered: 0,
            entitled: 0,
            admitted: 0,
            refused: 0,
            unavailable: 0,
            exceeded: 0,
            waits: Vec::new(),
            messages: 0,
            entitled_bucket: IdealBucket::new(*limits),
            limit_bucket: IdealBucket::new(*limits),
        };
        Self {
            accounts: limits.iter().map(account).collect(),
            hand_overs: 0,
        }
    }

    pub fn record_offered(&mut self, account: usize, now: u64) {
        let usage = &mut self.accounts[account];
        usage.offered += 1;
        usage.entitled += u64::from(usage.entitled_bucket.take(now));
    }

    /// Counts an admitted request. It stays within burst + rate × t over every window if and only
    /// if a bucket that starts full contains a token for it.
    pub fn record_admitted(&mut self, account: usize, now: u64, waited: u64) {
        let usage = &mut self.accounts[account];
        usage.admitted += 1;
        usage.exceeded += u64::from(!usage.limit_bucket.take(now));
        usage.waits.push(waited);
    }

    pub fn record_refused(&mut self, account: usize) {
        self.accounts[account].refused += 1;
    }

    pub fn record_unavailable(&mut self, account: usize) {
        self.accounts[account].unavailable += 1;
    }

    pub fn messages(&self) -> u64 {
        self.accounts.iter().map(|usage| usage.messages).sum()
    }

    pub fn exceeded(&self) -> u64 {
        self.accounts.iter().map(|usage| usage.exceeded).sum()
    }
}
