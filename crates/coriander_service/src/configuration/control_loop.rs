//! Reads the store, or receives its contents from another instance, and applies changes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use coriander_core::MonotonicTime;
use coriander_service_api::{ControlSnapshot, ControlStore, FleetConfig};
use tokio::time::{sleep, timeout};

use crate::duties::duty_lease::rank_delay;
use crate::service::SessionService;

/// Interval between two reads of the store.
const READ_INTERVAL: Duration = Duration::from_millis(900);

/// Interval between two update requests to a store reader of the zone.
const UPDATE_INTERVAL: Duration = Duration::from_millis(400);

/// Age from which an update of another instance is too old, so that this instance reads the store.
const MAX_UPDATE_AGE: Duration = Duration::from_millis(1_600);

/// Age of its own snapshot from which an instance that is no store reader reads the store. While
/// the store is down, the readers of the zone try for all.
const MAX_UNCONFIRMED_AGE: Duration = Duration::from_millis(2_600);

/// Delay after the first failed read; doubled after each further one.
const MIN_FAILURE_DELAY: Duration = Duration::from_millis(900);

/// Maximum delay after a failed read. Updates of other instances are requested meanwhile.
const MAX_FAILURE_DELAY: Duration = Duration::from_millis(2_700);

/// Minimum time between two reads that requests have triggered.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(150);

/// Length of the secret that authenticates messages between instances.
const SECRET_BYTES: usize = 32;

/// Keeps the snapshot of the store up to date until the process ends.
///
/// One instance of each zone reads the store. The others request updates from it, with the age of
/// the read, and read the store themselves only if it has no recent read.
pub async fn run_store_sync(service: Rc<SessionService>, store: Rc<dyn ControlStore>) {
    let mut reads = StoreReads::default();
    let mut secret_missing_since = None;
    loop {
        let started = service.clock.now();
        let is_updated = receive_update(&service, &*store, reads.is_failing()).await;
        if !is_updated && reads.may_read(&service, started) {
            read_store(&service, &*store, &mut reads).await;
        }
        let interval = if is_updated || reads.is_failing() {
            UPDATE_INTERVAL
        } else {
            READ_INTERVAL
        };
        create_missing_secret(&service, &*store, &mut secret_missing_since).await;
        sleep(MIN_READ_INTERVAL).await;
        let remaining = interval.saturating_sub(service.clock.now().since(started));
        // A request that needs a newer snapshot ends the wait early.
        let _ = timeout(remaining, service.refresh_requested.notified()).await;
    }
}

/// The store as this instance last found it.
#[derive(Default)]
struct StoreReads {
    /// Delay after the last read if it failed.
    failure_delay: Option<Duration>,
    retry_at: MonotonicTime,
}

impl StoreReads {
    const fn is_failing(&self) -> bool {
        self.failure_delay.is_some()
    }

    /// Returns whether this instance reads the store, after it received no update.
    fn may_read(&self, service: &SessionService, now: MonotonicTime) -> bool {
        let age = service.config_view.age(now);
        let is_due = service.is_store_reader() || age.is_none_or(|age| age >= MAX_UNCONFIRMED_AGE);
        is_due && now >= self.retry_at
    }

    fn record_failure(&mut self, now: MonotonicTime) {
        let delay = self.failure_delay.map_or(MIN_FAILURE_DELAY, |delay| {
            (delay * 2).min(MAX_FAILURE_DELAY)
        });
        self.failure_delay = Some(delay);
        self.retry_at = now + delay;
    }
}

/// Requests an update from the store readers of the zone. Returns false if this instance must read
/// the store itself.
async fn receive_update(
    service: &SessionService,
    store: &dyn ControlStore,
    own_reads_fail: bool,
) -> bool {
    for store_reader in service.store_readers(own_reads_fail) {
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
    let known = service.store_view.snapshot().unwrap_or_default();
    if update.lacks_config(digest.config_version) {
        update.config = receive_config(service, store_reader, &known, update.config_version).await;
    }
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
    let snapshot = update.apply_to(&known);
    service.metrics.count_store_call("heard");
    // The store reader replied after this request was sent, so its read is at most this old.
    service.apply_snapshot(&snapshot, sent_at.saturating_sub(age));
    true
}

/// Requests the changes of a configuration that is too large for an update, and applies them to the
/// known one. Without them the configuration is read from the store.
async fn receive_config(
    service: &SessionService,
    store_reader: SocketAddr,
    known: &ControlSnapshot,
    version: u64,
) -> Option<Arc<FleetConfig>> {
    let known = known.config.as_ref()?;
    let relay = &service.relay;
    let delta = relay
        .request_config_delta(store_reader, known.version)
        .await?;
    let config = delta.apply_to(known)?;
    (config.version >= version).then(|| Arc::new(config))
}

async fn read_store(service: &SessionService, store: &dyn ControlStore, reads: &mut StoreReads) {
    let sent_at = service.clock.now();
    match store.read_all().await {
        Ok(snapshot) => {
            service.metrics.count_store_call("ok");
            service
                .metrics
                .set_entries_left_out(snapshot.entries_left_out);
            if reads.is_failing() {
                log::info!("store is reachable again");
            }
            *reads = StoreReads::default();
            service.apply_snapshot(&snapshot, sent_at);
        }
        Err(error) => {
            service.metrics.count_store_call("failed");
            if !reads.is_failing() {
                let age = service.config_view.age(service.clock.now());
                log::warn!(error:% = error, proof_age:? = age; "store is not reachable");
            }
            reads.record_failure(sent_at);
        }
    }
}

/// Creates the fleet secret if it is missing. One instance after the other tries, so that few calls
/// are made when all start together.
async fn create_missing_secret(
    service: &SessionService,
    store: &dyn ControlStore,
    missing_since: &mut Option<MonotonicTime>,
) {
    let snapshot = service.store_view.snapshot();
    let Some(snapshot) = snapshot.filter(|snapshot| snapshot.fleet_secret.is_none()) else {
        *missing_since = None;
        return;
    };
    let now = service.clock.now();
    let since = *missing_since.get_or_insert(now);
    let names: Vec<_> = snapshot.instances.iter().map(|entry| &*entry.id).collect();
    if now.since(since) < rank_delay(&names, &service.settings().name) {
        return;
    }
    let secret: [u8; SECRET_BYTES] = rand::random();
    if let Err(error) = store.create_fleet_secret(&secret).await {
        log::warn!(error:% = error; "fleet secret not stored");
    }
}
