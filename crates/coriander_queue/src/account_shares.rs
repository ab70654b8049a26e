//! Weighted sharing between client accounts.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use coriander_core::MonotonicTime;

use crate::decayed_rate::DecayedRate;
use crate::queued_request::QueuedRequest;

/// Window of the current rate of an account.
const RECENT_WINDOW: Duration = Duration::from_millis(1_000);

/// Window of the usual rate of an account.
const USUAL_WINDOW: Duration = Duration::from_secs(20);

/// Time after which the usual rate of an account counts as known.
const MIN_USUAL_AGE: Duration = Duration::from_secs(3);

/// Multiple of its usual rate from which the requests of an account wait behind all others.
const EXCESS_FACTOR: f64 = 2.0;

/// Multiple of its usual rate up to which an account's requests raise it. A short peak must not
/// become the usual rate while it lasts; a lasting one does within a minute.
const USUAL_GROWTH_FACTOR: f64 = 1.25;

/// Service per second below which an account is forgotten.
const MIN_RATE: f64 = 0.01;

/// How an account's use of the connections compares with its share.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ShareStanding {
    /// At most its share.
    Within,
    /// More than its share of what has been served.
    Above,
    /// More than its share, and it sends far more than usual.
    Excessive,
}

#[derive(Clone, Debug)]
struct AccountUse {
    weight: f64,
    requested: DecayedRate,
    usual: DecayedRate,
    served: DecayedRate,
}

impl AccountUse {
    fn new(weight: u32, now: MonotonicTime) -> Self {
        Self {
            weight: f64::from(weight.max(1)),
            requested: DecayedRate::new(RECENT_WINDOW, now),
            usual: DecayedRate::new(USUAL_WINDOW, now),
            served: DecayedRate::new(RECENT_WINDOW, now),
        }
    }

    fn record_request(&mut self, now: MonotonicTime) {
        self.requested.record(now);
        let usual = self.usual.per_second_since(MIN_USUAL_AGE, now);
        let limit = usual.map_or(f64::INFINITY, |usual| usual * USUAL_GROWTH_FACTOR);
        let weight = (limit / self.requested.per_second(now)).min(1.0);
        self.usual.record_weighted(weight, now);
    }

    fn exceeds_usual(&self, now: MonotonicTime) -> bool {
        let usual = self.usual.per_second_since(MIN_USUAL_AGE, now);
        usual.is_some_and(|usual| self.requested.per_second(now) > usual * EXCESS_FACTOR)
    }
}

/// Requests and service of the accounts.
#[derive(Clone, Debug, Default)]
pub struct AccountShares {
    accounts: HashMap<Arc<str>, AccountUse>,
}

impl AccountShares {
    pub fn record_request(&mut self, request: &QueuedRequest, now: MonotonicTime) {
        let account = self.accounts.entry(request.account.clone());
        let account = account.or_insert_with(|| AccountUse::new(request.weight, now));
        account.weight = f64::from(request.weight.max(1));
        account.record_request(now);
    }

    pub fn record_service(&mut self, account: &str, now: MonotonicTime) {
        if let Some(account) = self.accounts.get_mut(account) {
            account.served.record(now);
        }
    }

    /// Drops accounts that have sent nothing for long.
    pub fn forget_idle(&mut self, now: MonotonicTime) {
        self.accounts
            .retain(|_, account| account.usual.per_second(now) >= MIN_RATE);
    }

    /// Returns the mean service per second and unit of weight of the accounts in use.
    pub fn mean_service(&self, now: MonotonicTime) -> f64 {
        let mut served = 0.0;
        let mut weight = 0.0;
        for account in self.accounts.values() {
            if account.requested.per_second(now) >= MIN_RATE {
                served += account.served.per_second(now);
                weight += account.weight;
            }
        }
        if weight > 0.0 { served / weight } else { 0.0 }
    }

    /// Returns the standing of an account, given the result of [`Self::mean_service`].
    pub fn standing(&self, account: &str, mean_service: f64, now: MonotonicTime) -> ShareStanding {
        let Some(account) = self.accounts.get(account) else {
            return ShareStanding::Within;
        };
        if account.served.per_second(now) <= mean_service * account.weight {
            return ShareStanding::Within;
        }
        if account.exceeds_usual(now) {
            return ShareStanding::Excessive;
        }
        ShareStanding::Above
    }
}
