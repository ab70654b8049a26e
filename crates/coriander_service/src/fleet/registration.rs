//! Keeps this instance registered in the store.

use std::rc::Rc;
use std::time::Duration;

use coriander_core::MonotonicTime;
use coriander_service_api::{ControlStore, InstanceEntry, LeaseId, StoreError};
use tokio::time::sleep;

use crate::process_lifecycle::ServicePhase;
use crate::service::SessionService;

/// Lifetime of the registration without renewal. It bounds how long a lost instance is still listed
/// as home instance and as owner of rates.
const LEASE_TTL: Duration = Duration::from_millis(4_200);

/// Interval between two renewals; two can fail before the lease ends.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_400);

/// Mean delay after the first failed registration; doubled after each further one.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Maximum mean delay after a failed registration.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_600);

/// Keeps this instance registered until the process is asked to stop.
pub async fn run_registration(service: Rc<SessionService>, store: Rc<dyn ControlStore>) {
    let settings = service.settings();
    let entry = InstanceEntry {
        id: settings.name.clone(),
        address: settings.peer_address,
        zone: settings.zone.clone(),
        created: 0,
    };
    let mut retry_delay = MIN_RETRY_DELAY;
    while service.phase() == ServicePhase::Serving {
        match register(&service, &*store, &entry).await {
            Ok((lease, revision)) => {
                service.rate_limiter.record_registration(revision);
                log::info!(id = &*entry.id, lease = lease.0; "instance registered");
                retry_delay = MIN_RETRY_DELAY;
                service.set_registration_lease(Some(lease));
                keep_registered(&service, &*store, lease).await;
                service.set_registration_lease(None);
            }
            Err(error) => {
                log::warn!(error:% = error; "instance not registered");
                // Instances that start together must not retry together.
                sleep(retry_delay.mul_f64(rand::random_range(0.5..1.5))).await;
                retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
            }
        }
    }
}

/// Returns the lease of the entry and the revision at which it was written.
async fn register(
    service: &SessionService,
    store: &dyn ControlStore,
    entry: &InstanceEntry,
) -> Result<(LeaseId, u64), StoreError> {
    let lease = store.start_lease(LEASE_TTL).await?;
    let registration = store.register(entry, lease).await;
    if registration.is_err() {
        service.rate_limiter.record_failed_registration();
    }
    Ok((lease, registration?))
}

/// Renews the lease until it has ended or the process is asked to stop.
async fn keep_registered(service: &SessionService, store: &dyn ControlStore, lease: LeaseId) {
    let mut renewed_at: MonotonicTime = service.clock.now();
    loop {
        sleep(RENEW_INTERVAL).await;
        if service.phase() != ServicePhase::Serving {
            return;
        }
        let sent_at = service.clock.now();
        match store.renew_lease(lease).await {
            Ok(()) => renewed_at = sent_at,
            Err(StoreError::LeaseEnded) => {
                log::warn!(lease = lease.0; "lease of the registration has expired");
                return;
            }
            Err(error) => {
                let age = service.clock.now().since(renewed_at);
                log::warn!(
                    lease = lease.0, last_renewal:? = age, error:% = error;
                    "registration not renewed"
                );
            }
        }
    }
}
