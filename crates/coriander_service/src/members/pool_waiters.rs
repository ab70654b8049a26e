//! Requests that wait for connections in the order of priority and arrival.

use std::sync::Arc;

use coriander_core::MonotonicTime;
use tokio::sync::oneshot;

struct PoolWaiter {
    account: Arc<str>,
    priority: u32,
    /// When the request started to wait.
    waiting_since: MonotonicTime,
    /// Identifies the waiter within its pool.
    number: u64,
    /// Taken when the request is woken; the entry stays in the list until the request runs.
    wake: Option<oneshot::Sender<()>>,
}

/// Waiting requests of a pool, ordered by priority and arrival. A woken request checks itself
/// whether it can run.
#[derive(Default)]
pub struct PoolWaiters {
    waiters: Vec<PoolWaiter>,
    last_number: u64,
}

impl PoolWaiters {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Adds a request. Returns its number and a receiver that is signalled when it may run.
    pub fn add(
        &mut self,
        account: &Arc<str>,
        priority: u32,
        since: MonotonicTime,
    ) -> (u64, oneshot::Receiver<()>) {
        let (wake, woken) = oneshot::channel();
        self.last_number += 1;
        let is_later =
            |waiter: &PoolWaiter| (waiter.priority, waiter.waiting_since) > (priority, since);
        let index = self.waiters.iter().position(is_later);
        let index = index.unwrap_or(self.waiters.len());
        let waiter = PoolWaiter {
            account: account.clone(),
            priority,
            waiting_since: since,
            number: self.last_number,
            wake: Some(wake),
        };
        self.waiters.insert(index, waiter);
        (self.last_number, woken)
    }

    /// Removes a request.
    pub fn remove(&mut self, number: u64) {
        self.waiters.retain(|waiter| waiter.number != number);
    }

    /// Returns the number of requests that have waited since before `since`.
    pub fn count_before(&self, since: MonotonicTime) -> usize {
        let earlier = self
            .waiters
            .iter()
            .filter(|waiter| waiter.waiting_since < since);
        earlier.count()
    }

    /// Returns whether a request of an account has waited since before `since`.
    pub fn is_awaited(&self, account: &str, since: MonotonicTime) -> bool {
        self.waiters
            .iter()
            .any(|waiter| *waiter.account == *account && waiter.waiting_since < since)
    }

    /// Returns whether a request of another account has waited since `overdue_since` or longer, and
    /// since before `since`.
    pub fn is_other_overdue(
        &self,
        account: &str,
        since: MonotonicTime,
        overdue_since: MonotonicTime,
    ) -> bool {
        self.waiters.iter().any(|waiter| {
            let is_overdue = waiter.waiting_since <= overdue_since;
            is_overdue && waiter.waiting_since < since && *waiter.account != *account
        })
    }

    /// Wakes the first waiting request of an account, or else the first one of any account.
    pub fn wake_one(&mut self, account: &str) {
        let is_same_account =
            |waiter: &PoolWaiter| waiter.wake.is_some() && *waiter.account == *account;
        let is_waiting = |waiter: &PoolWaiter| waiter.wake.is_some();
        let index = self.waiters.iter().position(is_same_account);
        let index = index.or_else(|| self.waiters.iter().position(is_waiting));
        if let Some(wake) = index.and_then(|index| self.waiters[index].wake.take()) {
            // The receiver is gone if the request timed out; the others check at intervals.
            let _ = wake.send(());
        }
    }

    /// Wakes all waiting requests.
    pub fn wake_all(&mut self) {
        for waiter in &mut self.waiters {
            if let Some(wake) = waiter.wake.take() {
                // The receiver is gone if the request timed out.
                let _ = wake.send(());
            }
        }
    }
}
