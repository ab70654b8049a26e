//! Reads the store, or receives its contents from another instance, and applies changes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use coriander_core::MonotonicTime;
use coriander_service_api::{ControlSnapshot, ControlStore, FleetConfig};
use tokio::time::{sleep, timeout};

use crate::configuration::store_update::StoreUpdate;
use crate::duties::duty_lease::rank_delay;
use crate::service::SessionService;

/// Interval between two reads of the store.
const READ_INTERVAL: Duration = Duration::from_millis(900);

/// Interval between two update requests if none of them brought a recent read.
const UPDATE_INTERVAL: Duration = Duration::from_millis(400);

/// Time for which the first source holds a request until it has applied a newer snapshot. A change
/// then passes through the tree at once, and an instance asks about once for each read of the store.
const HOLD_TIME: Duration = Duration::from_millis(600);

/// Time for which a source that starts as well holds the request of an instance without a snapshot.
/// With the timeout of the request it stays below the delay after which such an instance reads the
/// store.
const START_HOLD: Duration = Duration::from_millis(300);

/// Age from which an update of another instance is too old, so that this instance reads the store.
const MAX_UPDATE_AGE: Duration = Duration::from_millis(1_600);

/// Age of its own snapshot from which an instance also asks any instance of the fleet, so that a
/// recent read spreads between zones and around instances that are cut off.
const GOSSIP_AGE: Duration = Duration::from_millis(2_000);

/// Delay after the first failed read; doubled after each further one.
const MIN_FAILURE_DELAY: Duration = Duration::from_millis(900);

/// Maximum delay after a failed read. Updates of other instances are requested meanwhile.
const MAX_FAILURE_DELAY: Duration = Duration::from_millis(2_700);

/// Minimum time between two reads that requests have triggered.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(150);

/// Maximum time for which the read of the contacts delays a read of the whole store.
const CONTACTS_TIMEOUT: Duration = Duration::from_secs(1);

/// Length of the secret that authenticates messages between instances.
const SECRET_BYTES: usize = 32;

/// Keeps the snapshot of the store up to date until the process ends.
///
/// One instance of each zone reads the store. The others request updates along the update tree of
/// the zone, with the age of the read, and read the store themselves only if they get none. An
/// instance that starts reads only what it needs to ask the others, so that a fleet that starts
/// together does not transfer its configuration once for each instance.
pub async fn run_store_sync(service: Rc<SessionService>, store: Rc<dyn ControlStore>) {
    read_contacts(&service, &*store).await;
    // The delay until the whole store is read does not include the read of the contacts.
    let mut reads = StoreReads::new(service.clock.now());
    let mut secret_missing_since = None;
    let mut hold = START_HOLD;
    loop {
        let started = service.clock.now();
        if reads.is_failing() && started >= reads.retry_at {
            read_contacts(&service, &*store).await;
        }
        let result = if reads.starts_as_reader(&service) {
            UpdateResult::NoReply
        } else {
            receive_update(&service, &*store, &mut reads, hold).await
        };
        let is_updated = result == UpdateResult::Recent;
        let now = service.clock.now();
        if !is_updated && reads.may_read(&service, result, now) {
            read_store(&service, &*store, &mut reads).await;
        }
        let is_reader = service.update_tree().is_reader();
        let interval = if is_updated || reads.is_failing() || !is_reader {
            UPDATE_INTERVAL
        } else {
            READ_INTERVAL
        };
        create_missing_secret(&service, &*store, &mut secret_missing_since).await;
        sleep(MIN_READ_INTERVAL).await;
        // The source of a recent update holds the next request, so it can be sent at once.
        let interval = if is_updated && !hold.is_zero() {
            Duration::ZERO
        } else {
            interval
        };
        let remaining = interval.saturating_sub(service.clock.now().since(started));
        // A request that needs a newer snapshot ends the wait early.
        let woken = timeout(remaining, service.refresh_requested.notified()).await;
        hold = if service.config_view.config().is_none() {
            START_HOLD
        } else if woken.is_ok() || !is_updated {
            // A request for a newer snapshot is not held by its receiver.
            Duration::ZERO
        } else {
            HOLD_TIME
        };
    }
}

/// Reads what this instance needs to ask others, unless it has it or a snapshot.
async fn read_contacts(service: &SessionService, store: &dyn ControlStore) {
    if service.store_view.snapshot().is_some() || service.fleet_key.borrow().is_some() {
        return;
    }
    let settings = service.settings();
    let contacts = store.read_contacts(&settings.name);
    match timeout(CONTACTS_TIMEOUT, contacts).await {
        Ok(Ok(contacts)) => service.apply_contacts(&contacts),
        Ok(Err(error)) => log::debug!(error:% = error; "instances not read, the whole store is"),
        Err(_) => log::debug!("instances not read in time, the whole store is"),
    }
}

/// What the sources of updates replied.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum UpdateResult {
    /// None replied.
    NoReply,
    /// Those that replied have no recent read.
    Old,
    /// This instance now has a recent read.
    Recent,
}

/// The store as this instance last found it.
struct StoreReads {
    started_at: MonotonicTime,
    /// Delay after the last read if it failed.
    failure_delay: Option<Duration>,
    retry_at: MonotonicTime,
    /// Number of rounds of update requests, from a random start.
    turn: usize,
    /// Place of this instance among those that read the store late, from 0 to 1.
    spread: f64,
}

impl StoreReads {
    fn new(started_at: MonotonicTime) -> Self {
        Self {
            started_at,
            failure_delay: None,
            retry_at: MonotonicTime::ZERO,
            turn: rand::random_range(0..1 << 16),
            spread: rand::random(),
        }
    }

    const fn is_failing(&self) -> bool {
        self.failure_delay.is_some()
    }

    /// Returns whether this instance starts as a reader of its zone. It reads the store without
    /// asking the other readers first: they may be gone, and each of them would cost a timeout.
    fn starts_as_reader(&self, service: &SessionService) -> bool {
        let has_snapshot = service.store_view.snapshot().is_some();
        !has_snapshot && !self.is_failing() && service.update_tree().is_reader()
    }

    /// Returns whether this instance reads the store, after it received no recent update.
    fn may_read(&self, service: &SessionService, result: UpdateResult, now: MonotonicTime) -> bool {
        let tree = service.update_tree();
        let has_reply = result != UpdateResult::NoReply;
        let is_due = service.config_view.age(now).map_or_else(
            || now.since(self.started_at) >= tree.start_delay(self.spread),
            |age| age >= tree.read_age(has_reply, self.spread),
        );
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

/// Requests an update from the sources of this instance until one has a recent read. Only the first
/// holds the request.
async fn receive_update(
    service: &SessionService,
    store: &dyn ControlStore,
    reads: &mut StoreReads,
    hold: Duration,
) -> UpdateResult {
    reads.turn = reads.turn.wrapping_add(1);
    let mut sources = service.update_sources(reads.is_failing(), reads.turn);
    let age = service.config_view.age(service.clock.now());
    if age.is_some_and(|age| age >= GOSSIP_AGE) {
        sources.extend(service.any_other_instance(rand::random_range(0..1 << 16)));
    }
    let mut result = UpdateResult::NoReply;
    let mut hold = hold;
    for source in sources {
        match request_update(service, store, source, hold).await {
            UpdateResult::Recent => return UpdateResult::Recent,
            UpdateResult::Old => result = UpdateResult::Old,
            UpdateResult::NoReply => {}
        }
        hold = Duration::ZERO;
    }
    result
}

async fn request_update(
    service: &SessionService,
    store: &dyn ControlStore,
    source: SocketAddr,
    hold: Duration,
) -> UpdateResult {
    let sent_at = service.clock.now();
    let request = service.store_view.known();
    let digest = request.digest;
    let known = service.store_view.snapshot().unwrap_or_default();
    let Some(reply) = service.relay.request_update(source, request, hold).await else {
        return UpdateResult::NoReply;
    };
    let now = service.clock.now();
    let Some(read_at) = reply.read_time(sent_at, now) else {
        return UpdateResult::Old;
    };
    let mut update = reply.update;
    // After a suspension the reply may have waited for long.
    let age = now.since(read_at);
    let result = if age < MAX_UPDATE_AGE {
        UpdateResult::Recent
    } else {
        UpdateResult::Old
    };
    let own_age = service.config_view.age(now);
    if own_age.is_some_and(|own_age| own_age <= age) && result == UpdateResult::Old {
        return UpdateResult::Old;
    }
    // Differences apply to the snapshot of the request only, and an older configuration would be
    // transferred for nothing.
    let has_changed = service.store_view.digest() != digest;
    if has_changed || update.revision < known.revision {
        return result;
    }
    if update.lacks_config(digest.config_version) {
        update.config = receive_config(service, source, &known, update.config_version).await;
    }
    if update.lacks_config(digest.config_version) {
        match store.read_config().await {
            Ok(Some(config)) if config.version >= update.config_version => {
                update.config = Some(config);
            }
            // It has been deleted since, or it is invalid, which has been logged.
            Ok(_) => return UpdateResult::Old,
            Err(error) => {
                log::warn!(
                    version = update.config_version, error:% = error;
                    "read of a new configuration failed"
                );
                return UpdateResult::Old;
            }
        }
    }
    service.metrics.count_store_call("heard");
    if update.is_unchanged(digest.config_version) {
        service.confirm_snapshot(update.revision, read_at);
    } else {
        apply_update(service, store, update, &known, read_at);
    }
    result
}

/// Applies an update to the known snapshot.
fn apply_update(
    service: &SessionService,
    store: &dyn ControlStore,
    mut update: StoreUpdate,
    known: &ControlSnapshot,
    read_at: MonotonicTime,
) {
    if let Some(config) = &update.config {
        if config.version == update.config_version {
            store.adopt_config(update.config_revision, config);
        } else {
            // It is newer than the update, which has the revision of an older one.
            update.config_revision = 0;
        }
    }
    let snapshot = update.apply_to(known);
    service.apply_snapshot(&snapshot, read_at);
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
            reads.failure_delay = None;
            reads.retry_at = MonotonicTime::ZERO;
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
