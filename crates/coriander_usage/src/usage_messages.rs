//! Counts as they are sent between instances, recorded and reported.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Maximum size of the counts in one message, in bytes, so that it fits into a datagram.
const MAX_COUNT_BYTES: usize = 1_200;

/// Bytes of an entry besides the name of its account.
const ENTRY_BYTES: usize = 6;

/// Number of operations by client account.
pub type AccountCounts = Vec<(Arc<str>, u64)>;

/// Splits counts into parts that each fit into a datagram; at least one, which may be empty. Every
/// part stands for itself, because counts are merged by account.
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
    /// Counts since the beginning of the window.
    pub counts: AccountCounts,
}

impl InstanceCounts {
    /// Creates the message.
    pub fn new(
        process: u64,
        zone: impl Into<Arc<str>>,
        window: u64,
        is_closed: bool,
        counts: AccountCounts,
    ) -> Self {
        Self {
            process,
            zone: zone.into(),
            window,
            is_closed,
            counts,
        }
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
    /// Sums over the processes.
    pub counts: AccountCounts,
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
