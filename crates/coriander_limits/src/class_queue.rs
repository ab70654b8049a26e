//! Waiting requests of one class and role, shared between accounts by deficit round robin.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use coriander_core::{AccountName, KeyDigest, MonotonicTime};

/// Cost that each account may use per round-robin turn.
const QUANTUM: u32 = 1;

/// A class is urgent when the time until its earliest deadline is less than its latency target
/// divided by this number.
const URGENT_DIVISOR: u32 = 4;

#[derive(Clone, Copy, Debug)]
pub(crate) struct QueuedEntry {
    pub ticket: u64,
    pub key: KeyDigest,
    pub cost: u32,
    pub deadline: MonotonicTime,
}

#[derive(Clone, Debug, Default)]
struct AccountQueue {
    entries: VecDeque<QueuedEntry>,
    deficit: u32,
}

#[derive(Clone, Debug)]
pub(crate) struct ClassQueue {
    latency_target: Duration,
    accounts: HashMap<AccountName, AccountQueue>,
    /// Accounts with waiting requests in round-robin order, the current one first.
    account_order: VecDeque<AccountName>,
    deadlines: BTreeSet<(MonotonicTime, u64)>,
}

impl ClassQueue {
    pub fn new(latency_target: Duration) -> Self {
        Self {
            latency_target,
            accounts: HashMap::new(),
            account_order: VecDeque::new(),
            deadlines: BTreeSet::new(),
        }
    }

    pub fn latency_target(&self) -> Duration {
        self.latency_target
    }

    pub fn set_latency_target(&mut self, latency_target: Duration) {
        self.latency_target = latency_target;
    }

    pub fn is_empty(&self) -> bool {
        self.account_order.is_empty()
    }

    pub fn account_len(&self, account: &AccountName) -> usize {
        self.accounts
            .get(account)
            .map_or(0, |queue| queue.entries.len())
    }

    pub fn longest_queue_len(&self) -> usize {
        let lengths = self.accounts.values().map(|queue| queue.entries.len());
        lengths.max().unwrap_or(0)
    }

    pub fn first_deadline(&self) -> Option<MonotonicTime> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Returns whether the earliest deadline is close enough to be served before other classes.
    pub fn is_urgent(&self, now: MonotonicTime) -> bool {
        let first = self.first_deadline();
        first.is_some_and(|deadline| deadline.since(now) < self.latency_target / URGENT_DIVISOR)
    }

    pub fn push(&mut self, account: &AccountName, entry: QueuedEntry) {
        if !self.accounts.contains_key(account) {
            self.accounts
                .insert(account.clone(), AccountQueue::default());
            self.account_order.push_back(account.clone());
        }
        if let Some(queue) = self.accounts.get_mut(account) {
            queue.entries.push_back(entry);
            self.deadlines.insert((entry.deadline, entry.ticket));
        }
    }

    /// Removes the next request by deficit round robin and returns its ticket.
    pub fn pop(&mut self) -> Option<u64> {
        loop {
            let account = self.account_order.front()?.clone();
            let queue = self.accounts.get_mut(&account)?;
            let cost = queue.entries.front()?.cost;
            if queue.deficit < cost {
                queue.deficit += QUANTUM;
                // The turn ends only if the deficit still does not cover the cost.
                if queue.deficit < cost {
                    self.account_order.rotate_left(1);
                    continue;
                }
            }
            queue.deficit -= cost;
            let entry = queue.entries.pop_front()?;
            self.deadlines.remove(&(entry.deadline, entry.ticket));
            if queue.entries.is_empty() {
                // The deficit is reset when an account has no waiting requests.
                self.accounts.remove(&account);
                self.account_order.pop_front();
            } else {
                self.account_order.rotate_left(1);
            }
            return Some(entry.ticket);
        }
    }

    pub fn drop_newest_of_longest(&mut self) -> Option<u64> {
        let queues = self.accounts.iter_mut();
        let (account, queue) = queues.max_by_key(|(_, queue)| queue.entries.len())?;
        let entry = queue.entries.pop_back()?;
        self.deadlines.remove(&(entry.deadline, entry.ticket));
        if queue.entries.is_empty() {
            let account = account.clone();
            self.accounts.remove(&account);
            self.account_order.retain(|other| *other != account);
        }
        Some(entry.ticket)
    }

    /// Removes matching requests and returns their tickets.
    pub fn remove_where(
        &mut self,
        remove: impl Fn(&AccountName, &QueuedEntry) -> bool,
    ) -> Vec<u64> {
        let mut removed = Vec::new();
        for (account, queue) in &mut self.accounts {
            queue.entries.retain(|entry| {
                let matches = remove(account, entry);
                if matches {
                    removed.push(entry.ticket);
                    self.deadlines.remove(&(entry.deadline, entry.ticket));
                }
                !matches
            });
        }
        self.accounts.retain(|_, queue| !queue.entries.is_empty());
        self.account_order
            .retain(|account| self.accounts.contains_key(account));
        removed
    }

    pub fn into_entries(self) -> impl Iterator<Item = (AccountName, QueuedEntry)> {
        self.accounts.into_iter().flat_map(|(account, queue)| {
            let entries = queue.entries.into_iter();
            entries.map(move |entry| (account.clone(), entry))
        })
    }
}
