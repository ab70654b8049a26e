//! What the accounts of a simulation offered and got.

use coriander_core::AccountLimits;

/// A token bucket in virtual time, as the guarantee G7 states it.
#[derive(Clone, Debug)]
pub struct IdealBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    updated: u64,
}

impl IdealBucket {
    pub fn new(limits: AccountLimits) -> Self {
        Self::fraction(limits, 1)
    }

    /// An equal part of the limits, at one of `parts` instances.
    pub fn fraction(limits: AccountLimits, parts: u32) -> Self {
        let burst = f64::from(limits.burst) / f64::from(parts);
        Self {
            rate: f64::from(limits.rate) / f64::from(parts),
            burst,
            tokens: burst,
            updated: 0,
        }
    }

    /// Takes a token at a time in microseconds; false if there is none.
    pub fn take(&mut self, now: u64) -> bool {
        let passed = (now - self.updated) as f64 / 1e6;
        self.tokens = (self.tokens + passed * self.rate).min(self.burst);
        self.updated = now;
        // Far less than a token and far more than the rounding error of the sum.
        let enough = self.tokens >= 1.0 - 1e-6;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}

/// Counts of one account.
#[derive(Clone, Debug)]
pub struct AccountUsage {
    pub offered: u64,
    /// Offered requests that an ideal bucket for the whole fleet would have admitted.
    pub entitled: u64,
    pub admitted: u64,
    pub refused: u64,
    /// Requests at an instance that was paused or had no confirmed configuration.
    pub unavailable: u64,
    /// Admitted requests beyond burst + rate × t over some window.
    pub exceeded: u64,
    pub waits: Vec<u64>,
    /// Control messages between instances.
    pub messages: u64,
    entitled_bucket: IdealBucket,
    limit_bucket: IdealBucket,
}

/// Usage of all accounts and the messages spent on it.
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

    pub fn offered(&mut self, account: usize, now: u64) {
        let usage = &mut self.accounts[account];
        usage.offered += 1;
        usage.entitled += u64::from(usage.entitled_bucket.take(now));
    }

    /// A full bucket that never lacks a token is equivalent to the bound over every window.
    pub fn admitted(&mut self, account: usize, now: u64, waited: u64) {
        let usage = &mut self.accounts[account];
        usage.admitted += 1;
        usage.exceeded += u64::from(!usage.limit_bucket.take(now));
        usage.waits.push(waited);
    }

    pub fn refused(&mut self, account: usize) {
        self.accounts[account].refused += 1;
    }

    pub fn unavailable(&mut self, account: usize) {
        self.accounts[account].unavailable += 1;
    }

    pub fn messages(&self) -> u64 {
        self.accounts.iter().map(|usage| usage.messages).sum()
    }

    pub fn exceeded(&self) -> u64 {
        self.accounts.iter().map(|usage| usage.exceeded).sum()
    }
}
