//! Limits the statements for members that have just started.

use std::collections::VecDeque;
use std::time::Duration;

use coriander_core::MonotonicTime;

/// Sliding window in which statements for a cold member are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Limits the statements that one instance sends to a cold member.
///
/// ```
/// use coriander_core::MonotonicTime;
/// use coriander_service::WarmUpGate;
///
/// let mut gate = WarmUpGate::default();
/// let now = MonotonicTime::from_millis(5_000);
/// assert!(gate.admit(1, now));
/// assert!(!gate.admit(1, now));
/// assert!(gate.admit(1, MonotonicTime::from_millis(6_000)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct WarmUpGate {
    sent_at: VecDeque<MonotonicTime>,
}

impl WarmUpGate {
    /// Admits a statement if fewer than `share` were admitted in the last second.
    pub fn admit(&mut self, share: usize, now: MonotonicTime) -> bool {
        while self
            .sent_at
            .front()
            .is_some_and(|sent_at| now.since(*sent_at) >= WINDOW)
        {
            self.sent_at.pop_front();
        }
        let is_open = self.is_open(share, now);
        if is_open {
            self.sent_at.push_back(now);
        }
        is_open
    }

    /// Returns whether [`admit`](Self::admit) would admit a statement, without counting one.
    ///
    /// ```
    /// use coriander_core::MonotonicTime;
    /// use coriander_service::WarmUpGate;
    ///
    /// let mut gate = WarmUpGate::default();
    /// let now = MonotonicTime::from_millis(5_000);
    /// assert!(gate.is_open(1, now));
    /// assert!(gate.admit(1, now));
    /// assert!(!gate.is_open(1, now));
    /// ```
    pub fn is_open(&self, share: usize, now: MonotonicTime) -> bool {
        let is_recent = |sent_at: &&MonotonicTime| now.since(**sent_at) < WINDOW;
        self.sent_at.iter().filter(is_recent).count() < share
    }

    /// Returns how many statements per second the instance with a rank may send, so that all
    /// instances together stay within `rate`.
    ///
    /// ```
    /// use coriander_service::WarmUpGate;
    ///
    /// let all: usize = (0..6).map(|rank| WarmUpGate::share(20.0, rank, 6)).sum();
    /// assert_eq!(all, 20);
    /// ```
    pub fn share(rate: f64, rank: usize, instances: usize) -> usize {
        let whole = rate.max(0.0).floor() as usize;
        let instances = instances.max(1);
        whole / instances + usize::from(rank < whole % instances)
    }
}
