//! Adaptive timeout from the gaps between arrivals.

use std::time::Duration;

use coriander_core::MonotonicTime;

/// Weight of a new sample in the running mean and deviation.
const SAMPLE_WEIGHT: f64 = 0.125;

/// Deviations above the mean after which silence counts as a failure.
const TIMEOUT_DEVIATIONS: f64 = 4.0;

/// Running mean and deviation of the gaps between heartbeats of one peer.
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
    /// Creates a window that starts as if a message had just come.
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
        // A gap above the longest timeout was an outage and says nothing about the usual delay.
        let gap = now
            .since(self.last_arrival)
            .min(self.max_timeout())
            .as_secs_f64();
        let error = gap - self.mean_secs;
        self.mean_secs += SAMPLE_WEIGHT * error;
        self.deviation_secs += SAMPLE_WEIGHT * (error.abs() - self.deviation_secs);
        self.last_arrival = now;
    }

    /// Silence after which the peer counts as failed.
    ///
    /// The lower bound of three periods tolerates two lost datagrams; the upper bound of five
    /// keeps a peer with a poor network from staying in the ranks after it died.
    pub fn timeout(&self) -> Duration {
        let secs = self.mean_secs + TIMEOUT_DEVIATIONS * self.deviation_secs;
        Duration::from_secs_f64(secs).clamp(self.period * 3, self.max_timeout())
    }

    /// Returns whether the peer has been silent for longer than the timeout.
    pub fn is_silent(&self, now: MonotonicTime) -> bool {
        now.since(self.last_arrival) > self.timeout()
    }

    fn max_timeout(&self) -> Duration {
        self.period * 5
    }
}
