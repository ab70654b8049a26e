//! Limits of a stream pool.

use std::time::Duration;

/// Limits of a [`StreamPool`](crate::StreamPool).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PoolSettings {
    pub(crate) max_streams: usize,
    pub(crate) max_transactions: usize,
    pub(crate) min_streams: usize,
    pub(crate) spare_streams: usize,
    pub(crate) idle_timeout: Duration,
    pub(crate) demand_window: Duration,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            max_streams: 6,
            max_transactions: usize::MAX,
            min_streams: 1,
            spare_streams: 1,
            idle_timeout: Duration::from_secs(8),
            demand_window: Duration::from_secs(5),
        }
    }
}

impl PoolSettings {
    /// Sets the maximum number of open streams.
    #[must_use]
    pub fn with_max_streams(mut self, count: usize) -> Self {
        self.max_streams = count;
        self
    }

    /// Sets the maximum number of streams of transactions, so that they cannot use all streams.
    #[must_use]
    pub fn with_max_transactions(mut self, count: usize) -> Self {
        self.max_transactions = count;
        self
    }

    /// Sets the number of streams that are kept open without demand.
    #[must_use]
    pub fn with_min_streams(mut self, count: usize) -> Self {
        self.min_streams = count;
        self
    }

    /// Sets the number of streams that are opened in addition to the recent peak demand.
    #[must_use]
    pub fn with_spare_streams(mut self, count: usize) -> Self {
        self.spare_streams = count;
        self
    }

    /// Sets the idle time after which a stream is closed; must be less than the member's timeout.
    #[must_use]
    pub fn with_idle_timeout(mut self, limit: Duration) -> Self {
        self.idle_timeout = limit;
        self
    }

    /// Sets the time window in which peak demand is measured.
    #[must_use]
    pub fn with_demand_window(mut self, window: Duration) -> Self {
        self.demand_window = window;
        self
    }
}
