//! Usual latency of one class of statements.

use std::time::Duration;

/// Samples after which the profile is used.
const MIN_SAMPLES: u32 = 20;

/// Relative step of the estimate of the median. About 14 samples on one side halve or double it.
const MEDIAN_STEP: f64 = 0.05;

/// Relative step of the estimate of the high quantile.
const HIGH_STEP: f64 = 0.1;

/// The high quantile. A higher one would follow the latency of a single hanging member among 20.
const HIGH_QUANTILE: f64 = 0.95;

/// Number of first samples that are averaged to start the estimates.
const START_SAMPLES: u32 = 5;

/// Usual latency of a class of statements: estimates of the median and of a high quantile by
/// stochastic approximation, which need no stored samples.
///
/// ```
/// use std::time::Duration;
/// use coriander_capacity::LatencyProfile;
///
/// let mut profile = LatencyProfile::default();
/// assert_eq!(profile.ratio(Duration::from_millis(50)), None);
/// (0..50).for_each(|_| profile.record(Duration::from_millis(10)));
/// let ratio = profile.ratio(Duration::from_millis(50)).expect("enough samples");
/// assert!((4.0..6.0).contains(&ratio));
/// ```
#[derive(Clone, Debug, Default)]
pub struct LatencyProfile {
    samples: u32,
    median_secs: f64,
    high_secs: f64,
}

impl LatencyProfile {
    /// Records the latency of a statement that was served.
    pub fn record(&mut self, latency: Duration) {
        let latency = latency.as_secs_f64().max(1e-4);
        self.samples = self.samples.saturating_add(1);
        if self.samples <= START_SAMPLES {
            self.median_secs += (latency - self.median_secs) / f64::from(self.samples);
            self.high_secs = self.high_secs.max(latency);
            return;
        }
        if latency > self.median_secs {
            self.median_secs *= 1.0 + MEDIAN_STEP;
        } else {
            self.median_secs *= 1.0 - MEDIAN_STEP;
        }
        if latency > self.high_secs {
            self.high_secs *= 1.0 + HIGH_STEP * HIGH_QUANTILE;
        } else {
            self.high_secs *= 1.0 - HIGH_STEP * (1.0 - HIGH_QUANTILE);
        }
        self.high_secs = self.high_secs.max(self.median_secs);
    }

    /// Returns a latency relative to the median; `None` before enough samples.
    pub fn ratio(&self, latency: Duration) -> Option<f64> {
        let is_known = self.samples >= MIN_SAMPLES;
        is_known.then(|| latency.as_secs_f64() / self.median_secs.max(1e-4))
    }

    /// Returns the high quantile; `None` before enough samples.
    pub fn high_quantile(&self) -> Option<Duration> {
        (self.samples >= MIN_SAMPLES).then(|| Duration::from_secs_f64(self.high_secs))
    }
}
