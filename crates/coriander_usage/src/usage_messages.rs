//! Counts as they are sent between instances, recorded and reported.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::account_counter::WindowCounts;

/// Maximum size of the counts in one message, in bytes, so that it fits into a datagram.
const MAX_COUNT_BYTES: usize = 1_200;

/// Bytes of an entry besides the name of its account.
const ENTRY_BYTES: usize = 6;

/// Number of operations by client account.
pub type AccountCounts = Vec<(Arc<str>, u64)>;

/// Splits counts into parts that each fit into a datagram; at least one, which may be empty. Counts
/// are merged by account, and the total in each part tells whether another one is missing.
pub fn split_counts(counts: AccountCounts) -> Vec<AccountCounts> {
    let mut parts = vec![AccountCounts::new()];
    let mut bytes = 0;
    for (account, count) in counts {
        let entry_bytes = account.len() + ENTRY_BYTES;
        if bytes + entry_bytes > MAX_COUNT_BYTES {
            parts.push(AccountCounts::new());
            bytes = 0;
        }
        bytes += entry_bytes;
        if let Some(part) = parts.last_mut() {
            part.push((account, count));
        }
    }
    parts
}

/// The operations that one process has counted in a window so far.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct InstanceCounts {
    /// The process; another one after each start.
    pub process: u64,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Number of the window.
    pub window: u64,
    /// Whether the window has ended for the process.
    pub is_closed: bool,
    /// Operations of all accounts since the beginning of the window, also of those in other parts.
    pub total: u64,
    /// Counts since the beginning of the window, or a part of them.
    pub counts: AccountCounts,
}

impl InstanceCounts {
    /// Creates the messages with the counts of a window, one for each part that fits into a
    /// datagram.
    ///
    /// ```
    /// use coriander_usage::{InstanceCounts, WindowCounts};
    ///
    /// let counts = vec![("harbour".into(), 2), ("quay".into(), 3)];
    /// let window = WindowCounts { window: 7, is_closed: true, counts };
    /// let parts = InstanceCounts::parts(1, &"north".into(), window);
    /// assert_eq!((parts.len(), parts[0].total), (1, 5));
    /// ```
    pub fn parts(process: u64, zone: &Arc<str>, window: WindowCounts) -> Vec<Self> {
        let total = total_of(&window.counts);
        let parts = split_counts(window.counts).into_iter();
        let message = |counts| Self {
            process,
            zone: zone.clone(),
            window: window.window,
            is_closed: window.is_closed,
            total,
            counts,
        };
        parts.map(message).collect()
    }
}

/// The operations of an availability zone in a window, as one collector knows them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ZoneCounts {
    /// Process of the collector.
    pub collector: u64,
    /// The availability zone.
    pub zone: Arc<str>,
    /// Number of the window.
    pub window: u64,
    /// Number of processes that have closed the window.
    pub closed_processes: u32,
    /// Operations of all accounts, also of those in other parts.
    pub total: u64,
    /// Sums over the processes, or a part of them.
    pub counts: AccountCounts,
}

impl ZoneCounts {
    /// Splits the message into parts that each fit into a datagram.
    pub fn into_parts(mut self) -> Vec<Self> {
        let counts = std::mem::take(&mut self.counts);
        let parts = split_counts(counts).into_iter();
        parts
            .map(|counts| Self {
                counts,
                ..self.clone()
            })
            .collect()
    }
}

/// Returns the operations of all accounts.
pub fn total_of(counts: &AccountCounts) -> u64 {
    counts.iter().map(|(_, count)| count).sum()
}

/// The report of a window.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WindowUsage {
    /// Number of the window.
    pub window: u64,
    /// Number of operations by client account.
    pub counts: BTreeMap<Arc<str>, u64>,
}

/// The reports that the store holds.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageRecord {
    /// Newest window that was ever recorded; 0 for none.
    pub last_window: u64,
    /// Recorded reports of which it is not known that the platform has accepted them.
    pub reports: Vec<WindowUsage>,
    /// Revision of the record in the store; 0 if there is none.
    #[serde(skip)]
    pub revision: u64,
}
