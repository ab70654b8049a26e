//! Confirmation of the primary role, on a platform that does not fence a former primary.
//!
//! On such a platform a primary that is cut off still acts as primary. The store therefore
//! designates the one member of a group that may be used as primary. Instances use it only while
//! their last read of the store is recent, and a successor is promoted only after every read that
//! designates another member has become too old.

use std::time::Duration;

use coriander_core::MonotonicTime;

use crate::service::SessionService;

/// Age of the last read of the store up to which a primary may be used.
const CONFIRMATION_LIFETIME: Duration = Duration::from_millis(2_000);

/// Time for which a statement may continue after the last read has become too old.
const STATEMENT_ALLOWANCE: Duration = Duration::from_millis(400);

/// Covers different clock rates and the transfer of a statement to the member.
const CLOCK_MARGIN: Duration = Duration::from_millis(300);

/// Time from the designation of a successor until no instance uses another primary.
pub const HAND_OVER_DELAY: Duration = Duration::from_millis(
    (CONFIRMATION_LIFETIME.as_millis() + STATEMENT_ALLOWANCE.as_millis() + CLOCK_MARGIN.as_millis())
        as u64,
);

impl SessionService {
    /// Returns how long a statement may use a member as primary from now on; `None` if it may not
    /// be used.
    pub fn primary_use_remaining(
        &self,
        group: &str,
        member: &str,
        now: MonotonicTime,
    ) -> Option<Duration> {
        if self.settings().platform_fences {
            return Some(Duration::MAX);
        }
        let designated = self.find_group(group)?.designated_primary();
        if designated.is_some_and(|designated| *designated != *member) {
            return None;
        }
        let age = self.config_view.age(now)?;
        let remaining = CONFIRMATION_LIFETIME.checked_sub(age)?;
        Some(remaining + STATEMENT_ALLOWANCE)
    }
}
