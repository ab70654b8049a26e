//! Delays between the attempts of one statement at busy members.

use std::time::Duration;

/// Mean delay after the first refusal of a busy member; doubled after each further one.
const MIN_DELAY: Duration = Duration::from_millis(20);

/// Maximum mean delay.
const MAX_DELAY: Duration = Duration::from_millis(240);

/// Delays between the attempts of one statement. They grow, because a member that refuses has a
/// full queue, and are random, because its callers must not return together.
///
/// ```
/// use std::time::Duration;
///
/// use coriander_service::BusyBackoff;
///
/// let mut backoff = BusyBackoff::default();
/// let second = Duration::from_secs(1);
/// assert_eq!(backoff.next_delay(second, 0.5), Some(Duration::from_millis(20)));
/// assert_eq!(backoff.next_delay(second, 0.5), Some(Duration::from_millis(40)));
/// assert_eq!(backoff.next_delay(Duration::from_millis(50), 0.5), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct BusyBackoff {
    refusals: u32,
}

impl BusyBackoff {
    /// Returns the delay before the next attempt, given a random number from 0 to 1; `None` if the
    /// attempt could not start within `remaining`, so that the statement is refused now.
    pub fn next_delay(&mut self, remaining: Duration, random: f64) -> Option<Duration> {
        let mean = MIN_DELAY * 2_u32.saturating_pow(self.refusals.min(8));
        self.refusals += 1;
        let delay = mean.min(MAX_DELAY).mul_f64(0.5 + random);
        (delay < remaining).then_some(delay)
    }
}
