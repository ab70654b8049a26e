//! Reads the store, keeps this instance registered, and applies changes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use coriander_core::MonotonicTime;
use coriander_service_api::{ControlSnapshot, ControlStore, InstanceEntry, LeaseId, StoreError};
use tokio::time::{sleep, timeout};

use crate::service::{ServicePhase, SessionService};

/// Interval between two reads of the store.
const READ_INTERVAL: Duration = Duration::from_millis(900);

/// Interval between two update requests to a store reader of the zone.
const UPDATE_INTERVAL: Duration = Duration::from_millis(400);

/// Age from which an update of another instance is too old, so that this instance reads the store.
const MAX_UPDATE_AGE: Duration = Duration::from_millis(1_600);

/// Minimum time between two reads that requests have triggered.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(150);

/// Lifetime of the instance's lease without renewal.
const LEASE_TTL: Duration = Duration::from_millis(4_000);

/// Time after a renewal for which the lease is valid even if clock rates differ.
pub const SAFE_LEASE_LIFETIME: Duration = Duration::from_millis(3_500);

/// Interval between two renewals of the lease.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_200);

/// Length of the secret that authenticates messages between instances.
const SECRET_BYTES: usize = 32;

/// How long the promotion duty must be free before any instance but the first may acquire it.
const ACQUIRE_DUTY_DELAY: Duration = Duration::from_millis(700);

/// Mean delay after a failed registration.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Keeps the snapshot of the store up to date until the process ends.
///
/// One instance of each zone reads the store. The others request updates from it, with the age of
/// the read, and read the store themselves only if it has no recent read.
pub async fn run_store_sync(service: Rc<SessionService>, store: Rc<dyn ControlStore>) {
    let mut is_reachable = true;
    let mut free_since = None;
    loop {
        let started = service.clock.now();
        let is_updated = receive_update(&service, &*store).await;
        let interval = if is_updated {
            UPDATE_INTERVAL
        } else {
            READ_INTERVAL
        };
        if !is_updated {
            read_store(&service, &*store, &mut is_reachable).await;
        }
        maintain_fleet(&service, &*store, &mut free_since).await;
        sleep(MIN_READ_INTERVAL).await;
        let remaining = interval.saturating_sub(service.clock.now().since(started));
        // A request that needs a newer snapshot ends the wait early.
        let _ = timeout(remaining, service.refresh_requested.notified()).await;
    }
}

/// Requests an update from the store readers of the zone. Returns false if this instance must read
/// the store itself.
async fn receive_update(service: &SessionService, store: &dyn ControlStore) -> bool {
    for store_reader in service.store_readers() {
        if request_update(service, store, store_reader).await {
            return true;
        }
    }
    false
}

async fn request_update(
    service: &SessionService,
    store: &dyn ControlStore,
    store_reader: SocketAddr,
) -> bool {
    let sent_at = service.clock.now();
    let digest = service.store_view.digest();
    let Some(mut update) = service.relay.request_update(store_reader, digest).await else {
        return false;
    };
    let Some(age) = update.age.filter(|age| *age < MAX_UPDATE_AGE) else {
        return false;
    };
    if update.lacks_config(digest.config_version) {
        match store.read_config().await {
            Ok(Some(config)) => update.config = Some(config),
            // It has been deleted since, or it is invalid, which has been logged.
            Ok(None) => return false,
            Err(error) => {
                log::warn!(
                    version = update.config_version, error:% = error;
                    "read of a new configuration failed"
                );
                return false;
            }
        }
    }
    let known = service.store_view.snapshot().unwrap_or_default();
    let snapshot = update.apply_to(&known);
    service.metrics.count_store_call("heard");
    // The store reader replied after this request was sent, so its read is at most this old.
    service.apply_snapshot(&snapshot, sent_at.saturating_sub(age));
    true
}

async fn read_store(service: &SessionService, store: &dyn ControlStore, is_reachable: &mut bool) {
    let sent_at = service.clock.now();
    match store.read_all().await {
        Ok(snapshot) => {
            service.metrics.count_store_call("ok");
            if !*is_reachable {
                log::info!("store is reachable again");
                *is_reachable = true;
            }
            service.apply_snapshot(&snapshot, sent_at);
        }
        Err(error) => {
            service.metrics.count_store_call("failed");
            if *is_reachable {
                let age = service.config_view.age(service.clock.now());
                log::warn!(error:% = error, proof_age:? = age; "store is not reachable");
                *is_reachable = false;
            }
        }
    }
}

/// Creates the fleet secret if it is missing and acquires the promotion duty if it is free.
async fn maintain_fleet(
    service: &SessionService,
    store: &dyn ControlStore,
    free_since: &mut Option<MonotonicTime>,
) {
    let Some(snapshot) = service.store_view.snapshot() else {
        return;
    };
    if snapshot.fleet_secret.is_none() {
        create_secret(store).await;
    }
    acquire_promotion_duty(service, store, &snapshot, free_since).await;
}

/// Keeps this instance registered until the process is asked to stop.
pub async fn run_registration(service: Rc<SessionService>, store: Rc<dyn ControlStore>) {
    let settings = service.settings();
    let entry = InstanceEntry {
        id: settings.name.clone(),
        address: settings.peer_address,
        zone: settings.zone.clone(),
        created: 0,
    };
    while service.phase() == ServicePhase::Serving {
        let started = service.clock.now();
        match register(&*store, &entry).await {
            Ok(lease) => {
                log::info!(id = &*entry.id, lease = lease.0; "instance registered");
                service.promotion_duty.record_renewal(started);
                service.set_registration_lease(Some(lease));
                keep_registered(&service, &*store, lease).await;
                service.set_registration_lease(None);
                service.promotion_duty.release();
            }
            Err(error) => {
                log::warn!(error:% = error; "instance not registered");
                // Instances that start together must not retry together.
                sleep(REGISTER_RETRY_DELAY.mul_f64(rand::random_range(0.5..1.5))).await;
            }
        }
    }
}

async fn register(store: &dyn ControlStore, entry: &InstanceEntry) -> Result<LeaseId, StoreError> {
    let lease = store.start_lease(LEASE_TTL).await?;
    store.register(entry, lease).await?;
    Ok(lease)
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
            Ok(()) => {
                renewed_at = sent_at;
                service.promotion_duty.record_renewal(sent_at);
            }
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

async fn create_secret(store: &dyn ControlStore) {
    let secret: [u8; SECRET_BYTES] = rand::random();
    if let Err(error) = store.create_fleet_secret(&secret).await {
        log::warn!(error:% = error; "fleet secret not stored");
    }
}

/// Acquires the promotion duty if it is free, or replaces a rejected token. The first instance by
/// name tries at once and the others later, so that few calls are made.
async fn acquire_promotion_duty(
    service: &SessionService,
    store: &dyn ControlStore,
    snapshot: &ControlSnapshot,
    free_since: &mut Option<MonotonicTime>,
) {
    let Some(lease) = service.registration_lease() else {
        return;
    };
    if service.phase() != ServicePhase::Serving {
        return;
    }
    let now = service.clock.now();
    let replaced_token = service.promotion_duty.rejected_token();
    if replaced_token.is_none() {
        if !service.promotion_duty.is_free() {
            *free_since = None;
            return;
        }
        let since = *free_since.get_or_insert(now);
        let first = snapshot.instances.iter().map(|entry| &entry.id).min();
        let is_first = first.is_none_or(|first| *first == service.settings().name);
        if !is_first && now.since(since) < ACQUIRE_DUTY_DELAY {
            return;
        }
    }
    let settings = service.settings();
    let acquisition = store.acquire_promotion_duty(
        &settings.process_id,
        settings.peer_address,
        lease,
        replaced_token,
    );
    match acquisition.await {
        Ok(token) => service.promotion_duty.record_acquired(token),
        Err(StoreError::Conflict) => service.promotion_duty.release(),
        Err(error) => log::warn!(error:% = error; "promotion duty not acquired"),
    }
}
