//! Monotonic time of one process.

use std::ops::Add;
use std::time::Duration;

/// A point on the monotonic clock of one process.
///
/// The start of the clock is arbitrary, so values of different processes must not be compared.
/// Processes exchange durations only.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct MonotonicTime(Duration);

impl MonotonicTime {
    /// Start of the clock.
    pub const ZERO: Self = Self(Duration::ZERO);

    /// Creates a time from the duration since the start of the clock.
    pub const fn new(since_start: Duration) -> Self {
        Self(since_start)
    }

    /// Creates a time from milliseconds since the start of the clock.
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// Returns the duration since the start of the clock.
    pub const fn since_start(self) -> Duration {
        self.0
    }

    /// Returns the duration since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the time `duration` before this one, but not before the start of the clock.
    pub const fn saturating_sub(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration))
    }
}

impl Add<Duration> for MonotonicTime {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration))
    }
}
