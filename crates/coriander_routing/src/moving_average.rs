//! Exponential moving average of durations.

use std::time::Duration;

/// Inverse of the weight of a new sample; at one eighth, about 20 samples replace an old state.
const INVERSE_WEIGHT: u32 = 8;

/// Mean and mean deviation of recent samples.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MovingAverage {
    mean: Option<Duration>,
    deviation: Duration,
}

impl MovingAverage {
    pub(crate) fn add(&mut self, sample: Duration) {
        let Some(mean) = self.mean else {
            self.mean = Some(sample);
            self.deviation = sample / 2;
            return;
        };
        let distance = sample.abs_diff(mean);
        self.deviation = (self.deviation * (INVERSE_WEIGHT - 1) + distance) / INVERSE_WEIGHT;
        self.mean = Some((mean * (INVERSE_WEIGHT - 1) + sample) / INVERSE_WEIGHT);
    }

    pub(crate) const fn mean(&self) -> Option<Duration> {
        self.mean
    }

    /// Returns an upper estimate that most samples do not exceed.
    pub(crate) fn upper_estimate(&self) -> Option<Duration> {
        self.mean.map(|mean| mean + self.deviation)
    }
}
