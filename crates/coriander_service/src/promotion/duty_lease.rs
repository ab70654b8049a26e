//! Acquires the promotion duty and renews its lease.
//!
//! The lease of the duty is shorter than that of the registration and only its holder renews it, so
//! that a lost promoter is replaced soon at little cost for the store.

use std::rc::Rc;
use std::time::Duration;

use coriander_core::stable_hash;
use coriander_service_api::{ControlSnapshot, ControlStore, LeaseId, StoreError};
use tokio::time::sleep;

use crate::service::{ServicePhase, SessionService};

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

/// Acquires the promotion duty whenever it is free, and keeps its lease until the process is asked
/// to stop.
pub async fn run_promotion_duty(service: Rc<SessionService>, store: Rc<dyn ControlStore>) {
    let mut free_since = None;
    while service.phase() == ServicePhase::Serving {
        sleep(CHECK_INTERVAL).await;
        let snapshot = service.store_view.snapshot();
        let Some(snapshot) = snapshot.filter(|_| service.promotion_duty.is_free()) else {
            free_since = None;
            continue;
        };
        let now = service.clock.now();
        let since = *free_since.get_or_insert(now);
        if now.since(since) < own_delay(&service, &snapshot) {
            continue;
        }
        free_since = None;
        match acquire(&service, &*store).await {
            Ok(lease) => hold(&service, &*store, lease).await,
            // The next snapshot contains the lease of the instance that was faster.
            Err(StoreError::Conflict) => sleep(RETRY_DELAY).await,
            Err(error) => {
                log::warn!(error:% = error; "promotion duty not acquired");
                sleep(RETRY_DELAY.mul_f64(rand::random_range(0.5..1.5))).await;
            }
        }
    }
}

fn own_delay(service: &SessionService, snapshot: &ControlSnapshot) -> Duration {
    let names: Vec<_> = snapshot.instances.iter().map(|entry| &*entry.id).collect();
    rank_delay(&names, &service.settings().name)
}

async fn acquire(
    service: &SessionService,
    store: &dyn ControlStore,
) -> Result<LeaseId, StoreError> {
    let sent_at = service.clock.now();
    let lease = store.start_lease(LEASE_TTL).await?;
    let acquisition = write_holder(service, store, lease, None).await;
    match acquisition {
        Ok(()) => {
            service.promotion_duty.record_renewal(sent_at);
            Ok(lease)
        }
        Err(error) => {
            end_lease(store, lease).await;
            Err(error)
        }
    }
}

/// Writes this process as the holder of the duty and records its fencing token.
async fn write_holder(
    service: &SessionService,
    store: &dyn ControlStore,
    lease: LeaseId,
    replaced_token: Option<u64>,
) -> Result<(), StoreError> {
    let settings = service.settings();
    let token = store.acquire_promotion_duty(
        &settings.process_id,
        settings.peer_address,
        lease,
        replaced_token,
    );
    service.promotion_duty.record_acquired(token.await?);
    Ok(())
}

/// Renews the lease until the duty is lost or the process is asked to stop, and then ends it.
async fn hold(service: &SessionService, store: &dyn ControlStore, lease: LeaseId) {
    let mut renewed_at = service.clock.now();
    while service.phase() == ServicePhase::Serving && service.promotion_duty.is_held() {
        sleep(CHECK_INTERVAL).await;
        if let Some(token) = service.promotion_duty.spent_token() {
            replace_token(service, store, lease, token).await;
        }
        let now = service.clock.now();
        if now.since(renewed_at) < RENEW_INTERVAL {
            continue;
        }
        renewed_at = now;
        match store.renew_lease(lease).await {
            Ok(()) => service.promotion_duty.record_renewal(now),
            Err(StoreError::LeaseEnded) => {
                log::warn!(lease = lease.0; "lease of the promotion duty has expired");
                service.promotion_duty.release();
                return;
            }
            Err(error) => {
                log::warn!(lease = lease.0, error:% = error; "promotion duty not renewed");
            }
        }
    }
    // Ended only after this process has stopped to act on the duty.
    service.promotion_duty.release();
    end_lease(store, lease).await;
}

async fn replace_token(
    service: &SessionService,
    store: &dyn ControlStore,
    lease: LeaseId,
    token: u64,
) {
    match write_holder(service, store, lease, Some(token)).await {
        Ok(()) => {}
        Err(StoreError::Conflict) => service.promotion_duty.release(),
        Err(error) => log::warn!(token = token, error:% = error; "fencing token not replaced"),
    }
}

async fn end_lease(store: &dyn ControlStore, lease: LeaseId) {
    if let Err(error) = store.end_lease(lease).await {
        log::warn!(lease = lease.0, error:% = error; "lease of the promotion duty not ended");
    }
}
