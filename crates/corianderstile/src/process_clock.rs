//! The monotonic clock of this process.

use std::time::Instant;

use coriander_core::MonotonicTime;

/// Reads the time since process start.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock(Instant);

impl ProcessClock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// Returns the current time; the clock also advances while the process is paused.
    pub fn now(self) -> MonotonicTime {
        MonotonicTime::new(self.0.elapsed())
    }
}
