//! The configuration in force and the time at which it was last confirmed as the newest.

use std::cell::{Cell, RefCell};
use std::sync::Arc;
use std::time::Duration;

use coriander_core::MonotonicTime;
use coriander_service_api::FleetConfig;

/// Configuration and the time at which it was last confirmed as the newest.
#[derive(Debug, Default)]
pub struct ConfigView {
    config: RefCell<Option<Arc<FleetConfig>>>,
    confirmed_at: Cell<Option<MonotonicTime>>,
}

impl ConfigView {
    /// Returns the configuration in force.
    pub fn config(&self) -> Option<Arc<FleetConfig>> {
        self.config.borrow().clone()
    }

    /// Applies the configuration of a read sent at `sent_at`; older versions are ignored. Returns
    /// whether the version is new.
    pub fn apply(&self, config: &Arc<FleetConfig>, sent_at: MonotonicTime) -> bool {
        let mut current = self.config.borrow_mut();
        let known = current.as_ref().map(|config| config.version);
        if known.is_some_and(|version| version > config.version) {
            return false;
        }
        if self
            .confirmed_at
            .get()
            .is_none_or(|confirmed| confirmed < sent_at)
        {
            self.confirmed_at.set(Some(sent_at));
        }
        if known == Some(config.version) {
            return false;
        }
        *current = Some(config.clone());
        true
    }

    /// Returns the time since the configuration was last confirmed; `None` if there is none.
    pub fn age(&self, now: MonotonicTime) -> Option<Duration> {
        self.confirmed_at
            .get()
            .map(|confirmed| now.since(confirmed))
    }
}
