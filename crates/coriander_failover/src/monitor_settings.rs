//! Times and limits of a group monitor.

use std::time::Duration;

/// Times and limits of a [`GroupMonitor`](crate::GroupMonitor).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MonitorSettings {
    pub(crate) group_size: usize,
    pub(crate) probe_interval: Duration,
    pub(crate) replica_probe_interval: Duration,
    pub(crate) refused_probe_interval: Duration,
    pub(crate) max_refusals: u32,
    pub(crate) min_silence_timeout: Duration,
    pub(crate) max_silence_timeout: Duration,
    pub(crate) rank_delay: Duration,
    pub(crate) proposer_timeout: Duration,
    pub(crate) retry_backoff: Duration,
    pub(crate) handover_timeout: Duration,
    pub(crate) handover_retry_delay: Duration,
}

impl Default for MonitorSettings {
    fn default() -> Self {
        Self {
            group_size: 3,
            probe_interval: Duration::from_millis(100),
            replica_probe_interval: Duration::from_millis(100),
            refused_probe_interval: Duration::from_millis(50),
            max_refusals: 3,
            min_silence_timeout: Duration::from_millis(300),
            max_silence_timeout: Duration::from_millis(900),
            rank_delay: Duration::from_millis(500),
            proposer_timeout: Duration::from_millis(300),
            retry_backoff: Duration::from_millis(100),
            handover_timeout: Duration::from_millis(500),
            handover_retry_delay: Duration::from_secs(2),
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

    /// Sets the interval between probes of a primary that refuses connections, and the number of
    /// refusals since its last reply at which it is considered failed.
    #[must_use]
    pub fn with_refusals(mut self, interval: Duration, limit: u32) -> Self {
        self.refused_probe_interval = interval;
        self.max_refusals = limit;
        self
    }

    /// Sets the bounds of the time without a reply after which a member is considered failed.
    ///
    /// Within them the time follows the measured delays of the replies.
    #[must_use]
    pub fn with_silence_timeouts(mut self, min: Duration, max: Duration) -> Self {
        self.min_silence_timeout = min;
        self.max_silence_timeout = max.max(min);
        self
    }

    /// Sets the delay before a promotion, which is multiplied by the rank of the instance.
    #[must_use]
    pub fn with_rank_delay(mut self, delay: Duration) -> Self {
        self.rank_delay = delay;
        self
    }

    /// Sets the time for which another proposer's term may have no primary.
    #[must_use]
    pub fn with_proposer_timeout(mut self, timeout: Duration) -> Self {
        self.proposer_timeout = timeout;
        self
    }

    /// Sets the time for which a planned promotion may hold writes back, and the delay before the
    /// next planned promotion if one fails.
    #[must_use]
    pub fn with_handover_times(mut self, timeout: Duration, retry_delay: Duration) -> Self {
        self.handover_timeout = timeout;
        self.handover_retry_delay = retry_delay;
        self
    }
}
