//! Adaptive timeout based on the intervals between heartbeats.

use std::time::Duration;

use coriander_core::MonotonicTime;

/// Weight of a new sample in the moving mean and deviation.
const SAMPLE_WEIGHT: f64 = 0.125;

/// Number of deviations above the mean interval at which a peer times out.
const TIMEOUT_DEVIATIONS: f64 = 4.0;

/// Moving mean and deviation of the intervals between heartbeats of one peer.
///
/// ```
/// use coriander_core::MonotonicTime;
/// use coriander_membership::ArrivalWindow;
/// use std::time::Duration;
///
/// let period = Duration::from_millis(200);
/// let mut window = ArrivalWindow::new(period, MonotonicTime::ZERO);
/// for round in 1..50 {
///     window.record(MonotonicTime::from_millis(200 * round));
/// }
/// assert!(window.timeout() >= Duration::from_millis(600));
/// assert!(window.timeout() <= Duration::from_millis(1_000));
/// ```
#[derive(Clone, Debug)]
pub struct ArrivalWindow {
    period: Duration,
    last_arrival: MonotonicTime,
    mean_secs: f64,
    deviation_secs: f64,
}

impl ArrivalWindow {
    /// Creates a window that starts as if a heartbeat had arrived at `now`.
    pub fn new(period: Duration, now: MonotonicTime) -> Self {
        Self {
            period,
            last_arrival: now,
            mean_secs: period.as_secs_f64(),
            deviation_secs: period.as_secs_f64() / 2.0,
        }
    }

    /// Records an arrival.
    pub fn record(&mut self, now: MonotonicTime) {
        // An interval above the maximum timeout was an outage and does not show the usual interval, so
        // it is capped.
        let gap = now
            .since(self.last_arrival)
            .min(self.max_timeout())
            .as_secs_f64();
        let error = gap - self.mean_secs;
        self.mean_secs += SAMPLE_WEIGHT * error;
        self.deviation_secs += SAMPLE_WEIGHT * (error.abs() - self.deviation_secs);
        self.last_arrival = now;
    }

    /// Returns the time without a heartbeat after which the peer counts as failed.
    ///
    /// The lower bound of three periods tolerates two lost datagrams. The upper bound of five
    /// periods removes a failed peer from the ranks in time even if its network was unreliable.
    pub fn timeout(&self) -> Duration {
        let secs = self.mean_secs + TIMEOUT_DEVIATIONS * self.deviation_secs;
        Duration::from_secs_f64(secs).clamp(self.period * 3, self.max_timeout())
    }

    /// Returns whether no heartbeat has arrived for longer than the timeout.
    pub fn is_timed_out(&self, now: MonotonicTime) -> bool {
        now.since(self.last_arrival) > self.timeout()
    }

    fn max_timeout(&self) -> Duration {
        self.period * 5
    }
}
