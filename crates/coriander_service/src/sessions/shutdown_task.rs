//! Stops the process: hands over its duties, ends its sessions, and answers what still runs.

use std::rc::Rc;
use std::time::Duration;

use coriander_core::MonotonicTime;
use coriander_service_api::ControlStore;
use tokio::time::{sleep, timeout};

use crate::fleet::relay::RelayServer;
use crate::process_lifecycle::ServicePhase;
use crate::service::SessionService;

/// Time from the stop signal until idle sessions are closed; the platform stops sending sessions
/// after two failed readiness checks, one second apart.
const DRAIN_DELAY: Duration = Duration::from_millis(2_300);

/// Fraction of the shutdown timeout in which open transactions may go on.
const TRANSACTION_FRACTION: f64 = 0.5;

/// Part of the shutdown time that is reserved for the exit of the process.
const EXIT_MARGIN: Duration = Duration::from_millis(500);

/// Time before the exit at which running statements are answered, so that the answers are sent.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);

/// Interval at which the end of all sessions is checked.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Takes the process out of service within its shutdown timeout.
pub struct ShutdownTask {
    service: Rc<SessionService>,
    relay: Rc<RelayServer>,
    store: Rc<dyn ControlStore>,
}

impl ShutdownTask {
    /// Creates the task; it does nothing until it is run.
    pub fn new(
        service: Rc<SessionService>,
        relay: Rc<RelayServer>,
        store: Rc<dyn ControlStore>,
    ) -> Self {
        Self {
            service,
            relay,
            store,
        }
    }

    /// Returns when the process may exit.
    pub async fn run(self) {
        let service = &self.service;
        let started = service.clock.now();
        let shutdown_timeout = service.settings().shutdown_timeout;
        let limit = shutdown_timeout.saturating_sub(EXIT_MARGIN);
        service.set_phase(ServicePhase::Draining);
        self.hand_over(limit / 2).await;
        let drain_end = started + DRAIN_DELAY.min(limit / 2);
        sleep(drain_end.since(service.clock.now())).await;
        service.set_phase(ServicePhase::Closing);
        self.wait_for_sessions(started + shutdown_timeout.mul_f64(TRANSACTION_FRACTION))
            .await;
        service.set_phase(ServicePhase::Finishing);
        self.wait_for_sessions(started + limit.saturating_sub(ANSWER_MARGIN))
            .await;
        service.set_phase(ServicePhase::Stopping);
        // The last answers leave the process before its connections close.
        sleep(CLOSE_CHECK_INTERVAL).await;
        self.wait_for_sessions(started + limit).await;
        if let Some(usage) = &service.usage {
            usage.send_all(service);
        }
        log::info!(
            sessions = service.lifecycle.session_count(), relayed = self.relay.active_count(),
            took:? = service.clock.now().since(started);
            "process stopped"
        );
    }

    /// Gives up the duties and the registration. The registration ends by itself later if the store
    /// does not reply within `time_limit`.
    async fn hand_over(&self, time_limit: Duration) {
        // The successor may act as soon as the lease has ended.
        self.service.promotion_duty.retire();
        self.service.usage_duty.retire();
        self.service.announce_shutdown();
        if let Some(usage) = &self.service.usage {
            usage.send_all(&self.service);
        }
        let Some(lease) = self.service.registration_lease() else {
            return;
        };
        match timeout(time_limit, self.store.end_lease(lease)).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => {
                log::warn!(lease = lease.0, error:% = error; "registration not ended");
            }
            Err(_) => {
                log::warn!(lease = lease.0, time_limit:? = time_limit; "registration not ended in time");
            }
        }
    }

    /// Waits until no session and no exchange of another instance is left, at most until `end`.
    async fn wait_for_sessions(&self, end: MonotonicTime) {
        let clock = self.service.clock;
        let in_use = || self.service.lifecycle.session_count() + self.relay.active_count();
        while in_use() > 0 && clock.now() < end {
            sleep(CLOSE_CHECK_INTERVAL).await;
        }
    }
}
