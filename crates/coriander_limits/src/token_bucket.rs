//! A token bucket and its change from one share to another.

use std::time::Duration;

use coriander_core::{ConfigVersion, MonotonicTime};
use serde::{Deserialize, Serialize};

/// Unit in which buckets count tokens.
pub(crate) const MICROTOKENS_PER_TOKEN: u64 = 1_000_000;

/// Rate and capacity of one bucket in millionths of a token.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct BucketShare {
    /// Millionths of a token per second.
    pub rate: u64,
    /// Maximum content in millionths of a token.
    pub capacity: u64,
}

impl BucketShare {
    /// Returns the smaller rate and the smaller capacity of two shares.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self {
            rate: self.rate.min(other.rate),
            capacity: self.capacity.min(other.capacity),
        }
    }
}

/// A token bucket whose share decreases immediately but increases only after a waiting period.
///
/// During that period after the acceptance of a new version, instances with the old version may
/// still spend the tokens by which this share increases.
#[derive(Clone, Debug)]
pub(crate) struct PhasedBucket {
    tokens: u64,
    refilled_at: MonotonicTime,
    active_share: BucketShare,
    target_share: BucketShare,
    /// Configuration version of the target share.
    version: ConfigVersion,
    /// Start of the waiting period: the time at which the version was accepted.
    accepted_at: Option<MonotonicTime>,
}

impl PhasedBucket {
    /// Creates an empty bucket whose share becomes `target_share` after the waiting period.
    pub fn new(target_share: BucketShare, version: ConfigVersion, now: MonotonicTime) -> Self {
        Self {
            tokens: 0,
            refilled_at: now,
            active_share: BucketShare::default(),
            target_share,
            version,
            accepted_at: None,
        }
    }

    /// Sets a new target share. A decrease becomes active immediately.
    ///
    /// Must be called after `activate_due_target`, or a waiting period that has already passed
    /// would have no effect.
    pub fn set_target(
        &mut self,
        target_share: BucketShare,
        version: ConfigVersion,
        now: MonotonicTime,
    ) {
        if target_share != self.target_share {
            self.target_share = target_share;
            self.version = version;
            self.accepted_at = None;
        }
        self.change_share(self.active_share.min(target_share), now);
    }

    /// Starts the waiting period if the version of the target share is accepted.
    pub fn record_acceptance(&mut self, version: ConfigVersion, now: MonotonicTime) {
        if version >= self.version {
            self.accepted_at.get_or_insert(now);
        }
    }

    /// Activates the target share if the waiting period has passed.
    pub fn activate_due_target(&mut self, freshness_period: Duration, now: MonotonicTime) {
        if self.active_share == self.target_share {
            return;
        }
        let ready = self.accepted_at.map(|start| start + freshness_period);
        if let Some(ready) = ready.filter(|ready| *ready <= now) {
            self.change_share(self.target_share, ready);
        }
    }

    /// Continues with the share and content of the bucket that this one replaces.
    pub fn continue_from(&mut self, share: BucketShare, tokens: u64, now: MonotonicTime) {
        self.active_share = share.min(self.target_share);
        self.tokens = tokens.min(self.active_share.capacity);
        self.refilled_at = now;
    }

    /// Returns whether the active share is not empty.
    pub fn is_active(&self) -> bool {
        self.active_share.rate > 0 || self.active_share.capacity > 0
    }

    /// Returns whether the target share is active.
    pub fn is_target_active(&self) -> bool {
        self.active_share == self.target_share
    }

    pub fn share(&self) -> BucketShare {
        self.active_share
    }

    pub fn tokens(&mut self, now: MonotonicTime) -> u64 {
        self.refill(now);
        self.tokens
    }

    pub fn is_full(&mut self, now: MonotonicTime) -> bool {
        self.tokens(now) >= self.active_share.capacity
    }

    /// Takes whole tokens, at most `wanted`.
    pub fn take(&mut self, wanted: u32, now: MonotonicTime) -> u32 {
        let available = u32::try_from(self.tokens(now) / MICROTOKENS_PER_TOKEN).unwrap_or(u32::MAX);
        let taken = wanted.min(available);
        self.tokens -= u64::from(taken) * MICROTOKENS_PER_TOKEN;
        taken
    }

    /// Adds whole tokens that were taken and not spent.
    pub fn put_back(&mut self, count: u32, now: MonotonicTime) {
        let tokens = self.tokens(now) + u64::from(count) * MICROTOKENS_PER_TOKEN;
        self.tokens = tokens.min(self.active_share.capacity);
    }

    /// Returns the time until the bucket contains `count` whole tokens, or `None` if it never will.
    pub fn time_until(&mut self, count: u32, now: MonotonicTime) -> Option<Duration> {
        let wanted = u64::from(count) * MICROTOKENS_PER_TOKEN;
        let missing = wanted.saturating_sub(self.tokens(now));
        if missing == 0 {
            return Some(Duration::ZERO);
        }
        if self.active_share.rate == 0 || wanted > self.active_share.capacity {
            return None;
        }
        Some(Duration::from_secs_f64(
            missing as f64 / self.active_share.rate as f64,
        ))
    }

    fn change_share(&mut self, share: BucketShare, now: MonotonicTime) {
        self.refill(now);
        // Time before the change must not be refilled at the new rate.
        self.refilled_at = self.refilled_at.max(now);
        self.active_share = share;
        self.tokens = self.tokens.min(share.capacity);
    }

    fn refill(&mut self, now: MonotonicTime) {
        let nanos = now.since(self.refilled_at).as_nanos();
        // Rounded down, so that frequent calls do not add more than the rate allows.
        let added = nanos * u128::from(self.active_share.rate) / 1_000_000_000;
        let added = u64::try_from(added).unwrap_or(u64::MAX);
        if added > 0 {
            self.tokens = self
                .tokens
                .saturating_add(added)
                .min(self.active_share.capacity);
            self.refilled_at = now;
        }
    }
}
