//! Proof that a primary still leads, where the platform itself does not stop a former primary.
//!
//! Such a platform lets a primary that is cut off keep its lead in its own view. The store then
//! names the one member of a group that may be used as primary. Instances use it only while their
//! last read of the store is recent, and a successor is promoted only after every read that still
//! names another member has become too old.

use std::time::Duration;

use coriander_core::MonotonicTime;

use crate::service::SessionService;

/// Age of the last read of the store up to which a primary may be used.
const CONFIRMATION_LIFETIME: Duration = Duration::from_millis(2_000);

/// Time that a statement may take after the proof has become too old.
const STATEMENT_ALLOWANCE: Duration = Duration::from_millis(400);

/// Covers differences between clock rates and the way of a statement to the member.
const CLOCK_MARGIN: Duration = Duration::from_millis(300);

/// Time from the designation of a successor until no instance uses another primary.
pub const HAND_OVER_DELAY: Duration = Duration::from_millis(
    (CONFIRMATION_LIFETIME.as_millis() + STATEMENT_ALLOWANCE.as_millis() + CLOCK_MARGIN.as_millis())
        as u64,
);

impl SessionService {
    /// Returns how long a statement that needs the primary may take from now on; `None` if the
    /// member may not be used as primary.
    pub fn primary_use_remaining(
        &self,
        group: &str,
        member: &str,
        now: MonotonicTime,
    ) -> Option<Duration> {
        if self.settings().platform_fences {
            return Some(Duration::MAX);
        }
        let designated = self.find_group(group)?.designated();
        if designated.is_some_and(|designated| *designated != *member) {
            return None;
        }
        let age = self.config_view.age(now)?;
        let remaining = CONFIRMATION_LIFETIME.checked_sub(age)?;
        Some(remaining + STATEMENT_ALLOWANCE)
    }
}
