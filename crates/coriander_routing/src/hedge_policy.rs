//! Delay after which a read is hedged, that is, also sent to a second replica.

use std::time::Duration;

use coriander_limits::RetryBudget;
use hdrhistogram::Histogram;

/// Latency samples per measurement period; the policy uses the last complete period.
const PERIOD_SAMPLES: u64 = 1000;

/// Maximum recorded latency in microseconds.
const MAX_LATENCY_MICROS: u64 = 60_000_000;

/// Latency quantile used as the hedging delay; a lower one would spend the budget on ordinary
/// reads.
const DELAY_QUANTILE: f64 = 0.99;

/// Maximum delay as a fraction of the latency target; the rest remains for the second attempt.
const MAX_DELAY_FRACTION: f64 = 0.5;

/// Hedging delay of one request class, from its latency target and measured latencies.
///
/// ```
/// use coriander_limits::RetryBudget;
/// use coriander_routing::HedgePolicy;
/// use std::time::Duration;
///
/// let mut policy = HedgePolicy::new(Duration::from_millis(100));
/// assert_eq!(policy.delay(), Duration::from_millis(50));
/// for _ in 0..1000 {
///     policy.record_latency(Duration::from_millis(4));
/// }
/// assert!(policy.delay() < Duration::from_millis(5));
/// assert!(policy.try_hedge(Duration::from_millis(5), &mut RetryBudget::default()));
/// ```
#[derive(Clone, Debug)]
pub struct HedgePolicy {
    latency_target: Duration,
    current_latencies: Histogram<u32>,
    latency_quantile: Option<Duration>,
}

impl HedgePolicy {
    /// Creates the policy of a class with a latency target.
    pub fn new(latency_target: Duration) -> Self {
        Self {
            latency_target,
            // The bounds are valid constants, so the error cannot occur.
            current_latencies: Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, 2)
                .expect("valid histogram bounds"),
            latency_quantile: None,
        }
    }

    /// Changes the latency target of the class.
    pub const fn set_latency_target(&mut self, latency_target: Duration) {
        self.latency_target = latency_target;
    }

    /// Records the latency of a read that was not hedged, or of its first attempt.
    pub fn record_latency(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_MICROS);
        self.current_latencies.saturating_record(micros.max(1));
        if self.current_latencies.len() >= PERIOD_SAMPLES {
            let micros = self.current_latencies.value_at_quantile(DELAY_QUANTILE);
            self.latency_quantile = Some(Duration::from_micros(micros));
            self.current_latencies.reset();
        }
    }

    /// Returns the time after which a read without a reply should be hedged.
    ///
    /// This is the 99th percentile of the measured latencies, but at most half of the latency
    /// target, so that the second attempt can still meet the target.
    pub fn delay(&self) -> Duration {
        let max_delay = self.latency_target.mul_f64(MAX_DELAY_FRACTION);
        self.latency_quantile
            .map_or(max_delay, |quantile| quantile.min(max_delay))
    }

    /// Takes a hedge from the budget if the hedging delay of a read has elapsed.
    pub fn try_hedge(&self, elapsed: Duration, budget: &mut RetryBudget) -> bool {
        elapsed >= self.delay() && budget.try_take()
    }
}
