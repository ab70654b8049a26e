//! Estimate of the true time from the clocks of several instances.

use std::collections::HashMap;
use std::time::Duration;

use coriander_core::MonotonicTime;

/// How long the clock of another instance is used after it was heard.
const PEER_LIFETIME: Duration = Duration::from_secs(15);

/// Estimates the true time as the median of the clocks of this and other instances, so that a clock
/// that steps by seconds does not move operations into another window.
///
/// ```
/// use std::time::Duration;
/// use coriander_core::MonotonicTime;
/// use coriander_usage::ClockEstimate;
///
/// let now = MonotonicTime::from_millis(100);
/// let mut clock = ClockEstimate::default();
/// clock.record_peer(1, Duration::from_secs(50), now);
/// clock.record_peer(2, Duration::from_secs(50), now);
/// clock.record_own(Duration::from_secs(52), now);
/// assert_eq!(clock.wall_time(now), Duration::from_secs(50));
/// ```
#[derive(Debug, Default)]
pub struct ClockEstimate {
    /// Microseconds from the monotonic clock to the true time.
    offset: i64,
    peers: HashMap<u64, (i64, MonotonicTime)>,
}

impl ClockEstimate {
    /// Records the clock of this instance and estimates the true time again.
    pub fn record_own(&mut self, wall_time: Duration, now: MonotonicTime) {
        self.peers
            .retain(|_, (_, heard_at)| now.since(*heard_at) < PEER_LIFETIME);
        let mut offsets: Vec<i64> = self.peers.values().map(|(offset, _)| *offset).collect();
        offsets.push(offset(wall_time, now));
        offsets.sort_unstable();
        self.offset = offsets[offsets.len() / 2];
    }

    /// Records the clock of another process, received at `now`.
    pub fn record_peer(&mut self, process: u64, wall_time: Duration, now: MonotonicTime) {
        self.peers.insert(process, (offset(wall_time, now), now));
    }

    /// Returns the estimated true time since the Unix epoch.
    pub fn wall_time(&self, now: MonotonicTime) -> Duration {
        let micros = micros(now.since_start()).saturating_add(self.offset);
        Duration::from_micros(u64::try_from(micros).unwrap_or(0))
    }
}

fn offset(wall_time: Duration, now: MonotonicTime) -> i64 {
    micros(wall_time) - micros(now.since_start())
}

fn micros(duration: Duration) -> i64 {
    i64::try_from(duration.as_micros()).unwrap_or(i64::MAX / 4)
}
