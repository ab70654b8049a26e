//! Injected faults of the platform.

use serde::{Deserialize, Serialize};

/// Active faults.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlatformFaults {
    /// Whether every connection is closed without a response.
    pub down: bool,
    /// Additional time before each call is executed, in milliseconds.
    pub slow_ms: u64,
    /// Number of writes whose response is lost after they take effect.
    pub lose_writes: u64,
    /// Time by which the lists lag, in milliseconds.
    pub list_lag_ms: u64,
}

/// Update of faults; absent fields keep their value.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformUpdate {
    /// Starts or ends an outage.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub down: Option<bool>,
    /// New additional time of calls in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slow_ms: Option<u64>,
    /// New number of write responses to lose.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lose_writes: Option<u64>,
    /// New lag of the lists in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub list_lag_ms: Option<u64>,
}

impl PlatformFaults {
    /// Applies an update.
    pub fn apply(&mut self, update: PlatformUpdate) {
        self.down = update.down.unwrap_or(self.down);
        self.slow_ms = update.slow_ms.unwrap_or(self.slow_ms);
        self.lose_writes = update.lose_writes.unwrap_or(self.lose_writes);
        self.list_lag_ms = update.list_lag_ms.unwrap_or(self.list_lag_ms);
    }

    /// Returns whether the response to the next write is lost, and counts it.
    pub fn take_lost_response(&mut self) -> bool {
        let is_lost = self.lose_writes > 0;
        self.lose_writes = self.lose_writes.saturating_sub(1);
        is_lost
    }
}
