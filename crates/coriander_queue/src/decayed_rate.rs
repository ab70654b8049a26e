//! Rate of events with exponentially decreasing weight of older ones.

use std::time::Duration;

use coriander_core::MonotonicTime;

/// Mean rate of events over about one window.
#[derive(Clone, Debug)]
pub struct DecayedRate {
    window: Duration,
    started_at: MonotonicTime,
    updated_at: MonotonicTime,
    count: f64,
}

impl DecayedRate {
    pub fn new(window: Duration, now: MonotonicTime) -> Self {
        Self {
            window,
            started_at: now,
            updated_at: now,
            count: 0.0,
        }
    }

    pub fn record(&mut self, now: MonotonicTime) {
        self.record_weighted(1.0, now);
    }

    pub fn record_weighted(&mut self, weight: f64, now: MonotonicTime) {
        self.count = self.count_at(now) + weight;
        self.updated_at = now;
    }

    fn count_at(&self, now: MonotonicTime) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.count * (-elapsed / self.window.as_secs_f64()).exp()
    }

    /// Returns the number of events per second.
    pub fn per_second(&self, now: MonotonicTime) -> f64 {
        self.count_at(now) / self.window.as_secs_f64()
    }

    /// Returns the number of events per second, corrected for a rate that is younger than the
    /// window; `None` if it is younger than `min_age`.
    pub fn per_second_since(&self, min_age: Duration, now: MonotonicTime) -> Option<f64> {
        let age = now.since(self.started_at);
        if age < min_age {
            return None;
        }
        let filled = 1.0 - (-age.as_secs_f64() / self.window.as_secs_f64()).exp();
        Some(self.per_second(now) / filled)
    }
}
