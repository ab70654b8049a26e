//! Acquires a duty and renews its lease.
//!
//! The lease of a duty is shorter than that of the registration and only its holder renews it, so
//! that a lost holder is replaced soon at little cost for the store.

use std::rc::Rc;
use std::time::Duration;

use coriander_core::stable_hash;
use coriander_service_api::{ControlSnapshot, ControlStore, Duty, LeaseId, StoreError};
use tokio::time::sleep;

use crate::duties::duty_state::DutyState;
use crate::process_lifecycle::ServicePhase;
use crate::service::SessionService;

/// Lifetime of the lease without renewal.
const LEASE_TTL: Duration = Duration::from_millis(4_000);

/// Time after a renewal for which the lease is valid even if clock rates differ.
pub const SAFE_LEASE_LIFETIME: Duration = Duration::from_millis(3_500);

/// Interval between two renewals of the lease.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_200);

/// Interval at which the state of the duty is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How long a task must be undone before the instance of the first rank takes it. Instances that
/// start together see each other within this time.
const FIRST_RANK_DELAY: Duration = Duration::from_millis(500);

/// Additional time for each further rank, so that only few instances try.
const RANK_DELAY: Duration = Duration::from_millis(250);

/// Maximum additional time.
const MAX_RANK_DELAY: Duration = Duration::from_millis(4_000);

/// Mean delay after a failed attempt.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Time after the loss of the duty to report usage in which this process does not take it again, so
/// that two processes do not take turns. A promotion must not wait for this.
const REGAIN_DELAY: Duration = Duration::from_millis(4_000);

/// Returns how long a task of the fleet must be undone before an instance may take it, so that one
/// instance after the other tries. Their order is independent of their names, because similar names
/// often share a zone.
pub fn rank_delay(instances: &[&str], own_name: &str) -> Duration {
    let rank = |name: &str| stable_hash(("fleet task", name));
    let own_rank = rank(own_name);
    let others = instances.iter().filter(|name| **name != own_name);
    let earlier = others.filter(|name| rank(name) < own_rank).count();
    let earlier = u32::try_from(earlier).unwrap_or(u32::MAX);
    FIRST_RANK_DELAY + RANK_DELAY.saturating_mul(earlier).min(MAX_RANK_DELAY)
}

/// Acquires a duty whenever it is free, and keeps its lease until the process is asked to stop.
pub async fn run_duty(service: Rc<SessionService>, store: Rc<dyn ControlStore>, duty: Duty) {
    let lease = DutyLeaseTask {
        service: &service,
        store: &*store,
        state: service.duty(duty),
    };
    lease.run().await;
}

/// Keeps the lease of one duty.
struct DutyLeaseTask<'a> {
    service: &'a SessionService,
    store: &'a dyn ControlStore,
    state: &'a DutyState,
}

impl DutyLeaseTask<'_> {
    async fn run(&self) {
        let service = self.service;
        let mut free_since = None;
        while service.phase() == ServicePhase::Serving {
            sleep(CHECK_INTERVAL).await;
            let snapshot = service.store_view.snapshot();
            let Some(snapshot) = snapshot.filter(|_| self.state.is_free()) else {
                free_since = None;
                continue;
            };
            let now = service.clock.now();
            let since = *free_since.get_or_insert(now);
            if now.since(since) < self.own_delay(&snapshot) {
                continue;
            }
            free_since = None;
            match self.acquire().await {
                Ok(lease) => {
                    self.hold(lease).await;
                    if self.state.duty() == Duty::UsageReport {
                        sleep(REGAIN_DELAY).await;
                    }
                }
                // The next snapshot contains the lease of the instance that was faster.
                Err(StoreError::Conflict) => sleep(RETRY_DELAY).await,
                Err(error) => {
                    log::warn!(duty = self.label(), error:% = error; "duty not acquired");
                    sleep(RETRY_DELAY.mul_f64(rand::random_range(0.5..1.5))).await;
                }
            }
        }
    }

    fn label(&self) -> &'static str {
        self.state.duty().label()
    }

    fn own_delay(&self, snapshot: &ControlSnapshot) -> Duration {
        let names: Vec<_> = snapshot.instances.iter().map(|entry| &*entry.id).collect();
        rank_delay(&names, &self.service.settings().name)
    }

    async fn acquire(&self) -> Result<LeaseId, StoreError> {
        let sent_at = self.service.clock.now();
        let lease = self.store.start_lease(LEASE_TTL).await?;
        match self.write_holder(lease, None).await {
            Ok(()) => {
                self.state.record_renewal(sent_at);
                Ok(lease)
            }
            Err(error) => {
                self.end_lease(lease).await;
                Err(error)
            }
        }
    }

    /// Writes this process as the holder of the duty and records its fencing token.
    async fn write_holder(
        &self,
        lease: LeaseId,
        replaced_token: Option<u64>,
    ) -> Result<(), StoreError> {
        let settings = self.service.settings();
        let token = self.store.acquire_duty(
            self.state.duty(),
            &settings.process_id,
            settings.peer_address,
            lease,
            replaced_token,
        );
        self.state.record_acquired(token.await?);
        Ok(())
    }

    /// Renews the lease until the duty is lost or the process is asked to stop, and then ends it.
    async fn hold(&self, lease: LeaseId) {
        let service = self.service;
        let mut renewed_at = service.clock.now();
        while service.phase() == ServicePhase::Serving && self.state.is_held() {
            sleep(CHECK_INTERVAL).await;
            if let Some(token) = self.state.spent_token() {
                self.replace_token(lease, token).await;
            }
            let now = service.clock.now();
            if now.since(renewed_at) < RENEW_INTERVAL {
                continue;
            }
            renewed_at = now;
            match self.store.renew_lease(lease).await {
                Ok(()) => self.state.record_renewal(now),
                Err(StoreError::LeaseEnded) => {
                    log::warn!(
                        duty = self.label(), lease = lease.0;
                        "lease of the duty has expired"
                    );
                    self.state.release();
                    return;
                }
                Err(error) => log::warn!(
                    duty = self.label(), lease = lease.0, error:% = error;
                    "lease of the duty not renewed"
                ),
            }
        }
        // Ended only after this process has stopped to act on the duty.
        self.state.release();
        self.end_lease(lease).await;
    }

    async fn replace_token(&self, lease: LeaseId, token: u64) {
        match self.write_holder(lease, Some(token)).await {
            Ok(()) => {}
            Err(StoreError::Conflict) => self.state.release(),
            Err(error) => log::warn!(
                duty = self.label(), token = token, error:% = error;
                "fencing token not replaced"
            ),
        }
    }

    async fn end_lease(&self, lease: LeaseId) {
        if let Err(error) = self.store.end_lease(lease).await {
            log::warn!(
                duty = self.label(), lease = lease.0, error:% = error;
                "lease of the duty not ended"
            );
        }
    }
}
