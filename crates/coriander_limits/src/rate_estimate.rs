//! Estimate of an event rate with exponential decay.

use std::time::Duration;

use coriander_core::MonotonicTime;

/// Exponentially decaying estimate of events per second.
#[derive(Clone, Debug)]
pub(crate) struct RateEstimate {
    window_secs: f64,
    count: f64,
    updated: MonotonicTime,
}

impl RateEstimate {
    pub fn new(window: Duration, now: MonotonicTime) -> Self {
        Self {
            window_secs: window.as_secs_f64(),
            count: 0.0,
            updated: now,
        }
    }

    pub fn record(&mut self, events: u32, now: MonotonicTime) {
        self.count = self.decayed(now) + f64::from(events);
        self.updated = now;
    }

    pub fn per_second(&self, now: MonotonicTime) -> f64 {
        self.decayed(now) / self.window_secs
    }

    fn decayed(&self, now: MonotonicTime) -> f64 {
        let passed = now.since(self.updated).as_secs_f64();
        self.count * (-passed / self.window_secs).exp()
    }
}
