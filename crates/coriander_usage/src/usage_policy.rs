//! Length of the windows and times of the reports.

use std::time::Duration;

/// Fraction of the report delay before which a window is not reported. By then the last counts of
/// all instances have arrived, and one lost datagram has been repeated.
const EARLIEST_FRACTION: f64 = 0.3;

/// Fraction of the report delay after which an incomplete window is reported, because windows that
/// are not yet recorded are lost when all instances are killed at once.
const LATEST_FRACTION: f64 = 0.4;

/// Time after the end of a window within which the sums of all zones arrive, if no message is lost.
/// No window is reported earlier, however short the report delay is: a late report is better than a
/// final one without counts.
const COLLECT_TIME: Duration = Duration::from_millis(2_500);

const NANOS_PER_SEC: u128 = 1_000_000_000;

/// Length of the windows and times of the reports.
///
/// ```
/// use std::time::Duration;
/// use coriander_usage::UsagePolicy;
///
/// let policy = UsagePolicy::default().with_window(Duration::from_secs(10));
/// assert_eq!(policy.window_at(Duration::from_secs(25)), 2);
/// assert_eq!(policy.end_of(2), Duration::from_secs(30));
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UsagePolicy {
    window: Duration,
    report_delay: Duration,
}

impl Default for UsagePolicy {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            report_delay: Duration::from_secs(10),
        }
    }
}

impl UsagePolicy {
    /// Sets the length of a window.
    #[must_use]
    pub fn with_window(mut self, window: Duration) -> Self {
        self.window = window.max(Duration::from_millis(1));
        self
    }

    /// Sets the time after the end of a window by which it must be reported.
    #[must_use]
    pub const fn with_report_delay(mut self, report_delay: Duration) -> Self {
        self.report_delay = report_delay;
        self
    }

    /// Returns the number of the window at a time since the Unix epoch.
    pub fn window_at(&self, wall_time: Duration) -> u64 {
        let number = wall_time.as_nanos() / self.window.as_nanos().max(1);
        u64::try_from(number).unwrap_or(u64::MAX)
    }

    /// Returns the end of a window, since the Unix epoch.
    pub fn end_of(&self, window: u64) -> Duration {
        let nanos = (u128::from(window) + 1) * self.window.as_nanos();
        duration_from_nanos(nanos)
    }

    /// Returns the earliest time at which a window is reported.
    pub fn earliest_report(&self, window: u64) -> Duration {
        self.end_of(window) + self.collect_time(EARLIEST_FRACTION)
    }

    /// Returns the time at which a window is reported although counts may be missing.
    pub fn latest_report(&self, window: u64) -> Duration {
        self.end_of(window) + self.collect_time(LATEST_FRACTION)
    }

    fn collect_time(&self, fraction: f64) -> Duration {
        self.report_delay.mul_f64(fraction).max(COLLECT_TIME)
    }

    /// Returns whether a report can have all counts by the time at which it is due.
    pub fn can_be_punctual(&self) -> bool {
        self.report_delay >= COLLECT_TIME
    }

    /// Returns the time by which the report of a window is due at the platform.
    pub fn due_at(&self, window: u64) -> Duration {
        self.end_of(window) + self.report_delay
    }
}

/// Converts nanoseconds; a time beyond the range of [`Duration`] becomes the longest one.
fn duration_from_nanos(nanos: u128) -> Duration {
    let subsec = (nanos % NANOS_PER_SEC) as u32;
    let seconds = u64::try_from(nanos / NANOS_PER_SEC);
    seconds.map_or(Duration::MAX, |seconds| Duration::new(seconds, subsec))
}
