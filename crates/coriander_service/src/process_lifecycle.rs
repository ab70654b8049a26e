//! Phase of the process, and the sessions that are open in it.

use std::cell::Cell;

use tokio::sync::Notify;
use tokio::sync::futures::Notified;

/// Phase of the process lifecycle, in order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ServicePhase {
    /// Accepts work.
    Serving,
    /// Reports to the platform that it is not ready, but serves callers that still connect.
    Draining,
    /// Closes sessions as soon as they are idle and opens no new ones.
    Closing,
    /// Refuses statements; an open transaction may only commit or roll back.
    Finishing,
    /// Gives a final answer to every statement that still runs.
    Stopping,
}

/// Phase of the process, and the number of its sessions.
///
/// ```
/// use coriander_service::{ProcessLifecycle, ServicePhase};
///
/// let lifecycle = ProcessLifecycle::default();
/// lifecycle.set_phase(ServicePhase::Draining);
/// assert!(lifecycle.phase() < ServicePhase::Closing);
/// ```
#[derive(Debug)]
pub struct ProcessLifecycle {
    phase: Cell<ServicePhase>,
    phase_changed: Notify,
    session_count: Cell<usize>,
}

impl Default for ProcessLifecycle {
    fn default() -> Self {
        Self {
            phase: Cell::new(ServicePhase::Serving),
            phase_changed: Notify::new(),
            session_count: Cell::new(0),
        }
    }
}

impl ProcessLifecycle {
    /// Returns the phase of the process.
    pub fn phase(&self) -> ServicePhase {
        self.phase.get()
    }

    /// Changes the phase of the process.
    pub fn set_phase(&self, phase: ServicePhase) {
        log::info!(phase:? = phase, sessions = self.session_count(); "process phase changed");
        self.phase.set(phase);
        self.phase_changed.notify_waiters();
    }

    /// Returns a future that completes at the next change of phase.
    pub fn changed(&self) -> Notified<'_> {
        self.phase_changed.notified()
    }

    /// Waits until the process is in a phase or in a later one.
    pub async fn wait_for_phase(&self, phase: ServicePhase) {
        loop {
            let changed = self.changed();
            if self.phase() >= phase {
                return;
            }
            changed.await;
        }
    }

    /// Returns the number of open sessions.
    pub fn session_count(&self) -> usize {
        self.session_count.get()
    }

    pub(crate) fn count_session(&self, opened: bool) {
        let count = self.session_count.get();
        self.session_count
            .set(if opened { count + 1 } else { count - 1 });
    }
}
