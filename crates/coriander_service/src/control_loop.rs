//! Reads the store, keeps this instance registered, and applies what has changed.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use coriander_core::MonotonicTime;
use coriander_service_api::{ControlSnapshot, ControlStore, InstanceEntry, LeaseId, StoreError};
use tokio::time::{sleep, timeout};

use crate::service::{ServicePhase, SessionService};

/// Time between two reads of the store.
const READ_INTERVAL: Duration = Duration::from_millis(900);

/// Time between two questions to the instance that reads the store for the zone.
const HEAR_INTERVAL: Duration = Duration::from_millis(400);

/// Age from which news of another instance are not enough.
const OLDEST_NEWS: Duration = Duration::from_millis(1_600);

/// Shortest time between two reads that requests have asked for.
const LEAST_INTERVAL: Duration = Duration::from_millis(150);

/// Lifetime of the instance's entry without renewal.
const LEASE_TTL: Duration = Duration::from_millis(4_000);

/// Part of the lifetime in which the lease holds for certain, whatever the clocks do.
pub const CERTAIN_LEASE: Duration = Duration::from_millis(3_500);

/// Time between two renewals.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_200);

/// Length of the secret that authenticates messages between instances.
const SECRET_BYTES: usize = 32;

/// How long the promotion duty must be free before any instance may take it.
const DUTY_PATIENCE: Duration = Duration::from_millis(700);

/// Pause after a failed registration.
const REGISTER_PAUSE: Duration = Duration::from_millis(400);

/// Learns what the store holds, until the process ends.
///
/// One instance of each zone reads the store; the others hear it from that one, with the age of
/// the read, and read for themselves only if that one has nothing recent.
pub async fn run_reader(service: Rc<SessionService>, store: Rc<dyn ControlStore>) {
    let mut reachable = true;
    let mut free_since = None;
    loop {
        let started = service.clock.now();
        let heard = hear_news(&service, &*store).await;
        let interval = if heard { HEAR_INTERVAL } else { READ_INTERVAL };
        if !heard {
            read_store(&service, &*store, &mut reachable).await;
        }
        maintain_fleet(&service, &*store, &mut free_since).await;
        sleep(LEAST_INTERVAL).await;
        let rest = interval.saturating_sub(service.clock.now().since(started));
        // A request that needs news ends the pause early.
        let _ = timeout(rest, service.refresh.notified()).await;
    }
}

/// Asks the readers of the zone for news. Returns false if this instance must read for itself.
async fn hear_news(service: &SessionService, store: &dyn ControlStore) -> bool {
    for reader in service.store_readers() {
        if hear_from(service, store, reader).await {
            return true;
        }
    }
    false
}

async fn hear_from(service: &SessionService, store: &dyn ControlStore, reader: SocketAddr) -> bool {
    let sent_at = service.clock.now();
    let digest = service.store.digest();
    let Some(mut news) = service.relay.news(reader, digest).await else {
        return false;
    };
    let Some(age) = news.age.filter(|age| *age < OLDEST_NEWS) else {
        return false;
    };
    if news.lacks_config(digest.config_version) {
        match store.read_config().await {
            Ok(Some(config)) => news.config = Some(config),
            // It has been deleted since, or cannot be read, which has been logged.
            Ok(None) => return false,
            Err(error) => {
                log::warn!(
                    version = news.config_version, error:% = error;
                    "new configuration not read from the store"
                );
                return false;
            }
        }
    }
    let known = service.store.snapshot().unwrap_or_default();
    let snapshot = news.complete(&known);
    service.metrics.count_store_call("heard");
    // The reader answered after this request was sent, so its read is no older than this.
    service.apply_snapshot(&snapshot, sent_at.saturating_sub(age));
    true
}

async fn read_store(service: &SessionService, store: &dyn ControlStore, reachable: &mut bool) {
    let sent_at = service.clock.now();
    match store.read_all().await {
        Ok(snapshot) => {
            service.metrics.count_store_call("ok");
            if !*reachable {
                log::info!("store is reached again");
                *reachable = true;
            }
            service.apply_snapshot(&snapshot, sent_at);
        }
        Err(error) => {
            service.metrics.count_store_call("failed");
            if *reachable {
                let age = service.view.age(service.clock.now());
                log::warn!(error:% = error, proof_age:? = age; "store is not reached");
                *reachable = false;
            }
        }
    }
}

/// Creates what the fleet needs in the store and takes the promotion duty if it is free.
async fn maintain_fleet(
    service: &SessionService,
    store: &dyn ControlStore,
    free_since: &mut Option<MonotonicTime>,
) {
    let Some(snapshot) = service.store.snapshot() else {
        return;
    };
    if snapshot.fleet_secret.is_none() {
        create_secret(store).await;
    }
    acquire_promotion_duty(service, store, &snapshot, free_since).await;
}

/// Keeps this instance registered until it is asked to end.
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
                service.duty.renewed(started);
                service.set_registration(Some(lease));
                keep_registered(&service, &*store, lease).await;
                service.set_registration(None);
                service.duty.lost();
            }
            Err(error) => {
                log::warn!(error:% = error; "instance not registered");
                // Instances that start together must not come back together.
                sleep(REGISTER_PAUSE.mul_f64(rand::random_range(0.5..1.5))).await;
            }
        }
    }
}

async fn register(store: &dyn ControlStore, entry: &InstanceEntry) -> Result<LeaseId, StoreError> {
    let lease = store.start_lease(LEASE_TTL).await?;
    store.register(entry, lease).await?;
    Ok(lease)
}

/// Renews the lease; returns when it has ended.
async fn keep_registered(service: &SessionService, store: &dyn ControlStore, lease: LeaseId) {
    let mut renewed: MonotonicTime = service.clock.now();
    loop {
        sleep(RENEW_INTERVAL).await;
        if service.phase() != ServicePhase::Serving {
            return;
        }
        let sent_at = service.clock.now();
        match store.renew_lease(lease).await {
            Ok(()) => {
                renewed = sent_at;
                service.duty.renewed(sent_at);
            }
            Err(StoreError::LeaseEnded) => {
                log::warn!(lease = lease.0; "registration has lapsed");
                return;
            }
            Err(error) => {
                let age = service.clock.now().since(renewed);
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
        log::warn!(error:% = error; "secret of the fleet not stored");
    }
}

/// Takes the promotion duty if it is free, or renews an outdated token. The first instance in
/// the order of names tries at once, the others later, so that few calls are made.
async fn acquire_promotion_duty(
    service: &SessionService,
    store: &dyn ControlStore,
    snapshot: &ControlSnapshot,
    free_since: &mut Option<MonotonicTime>,
) {
    let Some(lease) = service.registration() else {
        return;
    };
    if service.phase() != ServicePhase::Serving {
        return;
    }
    let now = service.clock.now();
    let replaces = service.duty.outdated_token();
    if replaces.is_none() {
        if !service.duty.is_free() {
            *free_since = None;
            return;
        }
        let since = *free_since.get_or_insert(now);
        let first = snapshot.instances.iter().map(|entry| &entry.id).min();
        let is_first = first.is_none_or(|first| *first == service.settings().name);
        if !is_first && now.since(since) < DUTY_PATIENCE {
            return;
        }
    }
    let settings = service.settings();
    let taken =
        store.acquire_promotion_duty(&settings.process, settings.peer_address, lease, replaces);
    match taken.await {
        Ok(token) => service.duty.taken(token),
        Err(StoreError::Conflict) => service.duty.lost(),
        Err(error) => log::warn!(error:% = error; "promotion duty not taken"),
    }
}
