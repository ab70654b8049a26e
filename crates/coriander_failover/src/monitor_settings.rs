//! Times and limits of a group monitor.

use std::time::Duration;

/// Times and limits of a [`GroupMonitor`](crate::GroupMonitor).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MonitorSettings {
    pub(crate) group_size: usize,
    pub(crate) probe_interval: Duration,
    pub(crate) replica_probe_interval: Duration,
    pub(crate) refused_interval: Duration,
    pub(crate) refused_limit: u32,
    pub(crate) silence_floor: Duration,
    pub(crate) silence_ceiling: Duration,
    pub(crate) rank_delay: Duration,
    pub(crate) proposer_patience: Duration,
    pub(crate) backoff: Duration,
    pub(crate) handover_limit: Duration,
    pub(crate) handover_pause: Duration,
}

impl Default for MonitorSettings {
    fn default() -> Self {
        Self {
            group_size: 3,
            probe_interval: Duration::from_millis(100),
            replica_probe_interval: Duration::from_millis(100),
            refused_interval: Duration::from_millis(50),
            refused_limit: 3,
            silence_floor: Duration::from_millis(300),
            silence_ceiling: Duration::from_millis(900),
            rank_delay: Duration::from_millis(500),
            proposer_patience: Duration::from_millis(300),
            backoff: Duration::from_millis(100),
            handover_limit: Duration::from_millis(500),
            handover_pause: Duration::from_secs(2),
        }
    }
}

impl MonitorSettings {
    /// Sets the number of members of the group.
    ///
    /// Majorities are computed from the greater of this number and the number of known members. A
    /// platform list that omits unreachable members would otherwise make a minority a majority.
    #[must_use]
    pub fn with_group_size(mut self, members: usize) -> Self {
        self.group_size = members;
        self
    }

    /// Sets the time between probes of the primary.
    #[must_use]
    pub fn with_probe_interval(mut self, interval: Duration) -> Self {
        self.probe_interval = interval;
        self
    }

    /// Sets the time between probes of the other members while the primary is healthy.
    #[must_use]
    pub fn with_replica_probe_interval(mut self, interval: Duration) -> Self {
        self.replica_probe_interval = interval;
        self
    }

    /// Sets how often a refusing primary is probed, and how many refusals in a row count as a
    /// failure.
    #[must_use]
    pub fn with_refusals(mut self, interval: Duration, limit: u32) -> Self {
        self.refused_interval = interval;
        self.refused_limit = limit;
        self
    }

    /// Sets the least and greatest time after which silence counts as a failure.
    #[must_use]
    pub fn with_silence_timeouts(mut self, floor: Duration, ceiling: Duration) -> Self {
        self.silence_floor = floor;
        self.silence_ceiling = ceiling.max(floor);
        self
    }

    /// Sets the additional delay of each rank before it promotes.
    #[must_use]
    pub fn with_rank_delay(mut self, delay: Duration) -> Self {
        self.rank_delay = delay;
        self
    }

    /// Sets how long another proposer's term may stay without a primary.
    #[must_use]
    pub fn with_proposer_timeout(mut self, patience: Duration) -> Self {
        self.proposer_patience = patience;
        self
    }

    /// Sets how long writes are held back before a planned promotion, and the pause after a
    /// planned promotion that was given up.
    #[must_use]
    pub fn with_handover_times(mut self, limit: Duration, pause: Duration) -> Self {
        self.handover_limit = limit;
        self.handover_pause = pause;
        self
    }
}
