//! The clock of the process, which includes time during which the machine is suspended.

use std::time::Duration;

use coriander_core::MonotonicTime;
use rustix::time::{ClockId, clock_gettime};

/// Reads the time since the machine started, including suspension.
///
/// The age of a confirmation must include suspension of the machine, which `std::time::Instant`
/// leaves out.
///
/// ```
/// use coriander_peer::BootClock;
///
/// let clock = BootClock;
/// assert!(clock.now() <= clock.now());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl BootClock {
    /// Returns the current time.
    pub fn now(self) -> MonotonicTime {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
        MonotonicTime::new(Duration::new(seconds, nanos))
    }
}
