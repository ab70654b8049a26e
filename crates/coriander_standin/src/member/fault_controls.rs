//! Injected faults of a running member.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How requests of a disconnected peer fail.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CutMode {
    /// The connection is closed immediately.
    #[default]
    Refuse,
    /// The request gets no response.
    Ignore,
}

/// Active faults.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FaultSettings {
    /// Replication lag in milliseconds.
    pub lag_ms: u64,
    /// Whether the member has stopped copying the primary's log.
    pub replication_paused: bool,
    /// Disconnected peers: member ids, proposers, addresses, `members`, `instances` or `*`.
    pub cut_peers: BTreeSet<String>,
    /// How requests of these peers fail.
    pub cut_mode: CutMode,
    /// Whether statements fail as well as group control and replication.
    pub cut_statements: bool,
    /// Additional delay of a late response in milliseconds.
    pub late_ms: u64,
    /// Number of responses to delay.
    pub late_count: u64,
    /// Number of statement responses to drop after the statements have been executed.
    pub drop_count: u64,
}

/// Update of faults; absent fields keep their value.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FaultUpdate {
    /// New replication lag in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lag_ms: Option<u64>,
    /// Pauses or resumes replication.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub replication_paused: Option<bool>,
    /// New set of disconnected peers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cut_peers: Option<BTreeSet<String>>,
    /// New value of `cut_mode`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cut_mode: Option<CutMode>,
    /// New value of `cut_statements`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cut_statements: Option<bool>,
    /// New delay of a late response in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub late_ms: Option<u64>,
    /// New number of responses to delay.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub late_count: Option<u64>,
    /// New number of statement responses to drop.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub drop_count: Option<u64>,
}

fn replace<T>(target: &mut T, update: Option<T>) {
    if let Some(value) = update {
        *target = value;
    }
}

impl FaultSettings {
    /// Applies an update.
    pub fn apply(&mut self, update: FaultUpdate) {
        replace(&mut self.lag_ms, update.lag_ms);
        replace(&mut self.replication_paused, update.replication_paused);
        replace(&mut self.cut_peers, update.cut_peers);
        replace(&mut self.cut_mode, update.cut_mode);
        replace(&mut self.cut_statements, update.cut_statements);
        replace(&mut self.late_ms, update.late_ms);
        replace(&mut self.late_count, update.late_count);
        replace(&mut self.drop_count, update.drop_count);
    }

    /// Returns whether a peer with one of these names is disconnected.
    pub fn is_cut(&self, names: &[&str]) -> bool {
        self.cut_peers.contains("*") || names.iter().any(|name| self.cut_peers.contains(*name))
    }

    /// Returns the delay of the next response if it is late, and counts it.
    pub fn take_late_delay(&mut self) -> Option<Duration> {
        self.late_count = self.late_count.checked_sub(1)?;
        Some(Duration::from_millis(self.late_ms))
    }

    /// Returns whether the next statement response is dropped, and counts it.
    pub fn take_dropped_response(&mut self) -> bool {
        let is_dropped = self.drop_count > 0;
        self.drop_count = self.drop_count.saturating_sub(1);
        is_dropped
    }
}
