//! Services of one process and the tasks that connect them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use coriander_config::Incarnation;
use coriander_consul::{
    InstanceRegistration, MemberState, ModifyIndex, PlatformError, PlatformStore,
};
use coriander_core::{DatabaseName, FleetMember, InstanceId, MonotonicTime};
use coriander_membership::{OwnStatus, WorkAdmission};
use coriander_memory::MemoryLimits;
use coriander_peer::BootClock;
use coriander_tokens::SecretKeys;
use coriander_wire::{DatagramCodec, FrameCodec};
use platform_adapter::MemoryGate;
use tokio::net::{TcpListener, UdpSocket};

use crate::caller::{AnswerBudget, CallerConnections};
use crate::config::{
    ConfigContext, ConfigService, join_fleet, leave_fleet, remove_lost_members, watch_platform,
};
use crate::decision_log::DecisionLog;
use crate::entry::{EntryContext, EntryService};
use crate::gateway::GatewaySet;
use crate::membership_service::MembershipService;
use crate::metrics::ProxyMetrics;
use crate::peer::{ConnectionId, PeerClient, PeerReply, PeerRequest, PeerService, serve_peers};
use crate::process_clock::ProcessClock;
use crate::proxy_parts::{bind_peer_address, build_store, gateway_context};
use crate::rate_service::RateService;
use crate::settings::InstanceSettings;

/// Service name under which instances are registered on the platform.
const INSTANCE_SERVICE: &str = "corianderstile";

/// Prefix of the service name under which the platform lists the members of a database group.
const UPSTREAM_PREFIX: &str = "upstream-";

/// Maximum duration of one watch call on a member list. 8,000 watches of 4,000 databases cause
/// 133 calls/s.
const LIST_WATCH_TIMEOUT: Duration = Duration::from_secs(60);

/// Time between renewals of this instance's registration; 2,100 instances cause 3.5 calls/s.
const REGISTRATION_INTERVAL: Duration = Duration::from_secs(600);

/// Delay after a failed call to the platform.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Failure to start the process.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address cannot be used.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Cause reported by the operating system.
        source: std::io::Error,
    },
    /// The client of the platform cannot be created.
    #[error("platform client: {0}")]
    Platform(#[from] PlatformError),
    /// The client of the platform's store or promotion call cannot be created.
    #[error("platform client: {0}")]
    Client(#[from] platform_adapter::HttpError),
    /// The fleet secret cannot be used.
    #[error("fleet secret: {0}")]
    Secret(#[from] coriander_tokens::SecretError),
    /// The identifier of the process cannot be built from the configured name.
    #[error("instance name: {0}")]
    Name(#[from] coriander_core::NameError),
}

/// Services and state of one proxy process.
pub struct Proxy {
    /// Settings from the file.
    pub settings: InstanceSettings,
    /// Identifier of this process.
    pub own_id: InstanceId,
    /// Clock of this process.
    pub clock: ProcessClock,
    /// Counters.
    pub metrics: Rc<ProxyMetrics>,
    /// Recent decisions.
    pub decisions: Rc<DecisionLog>,
    /// Applied configuration.
    pub config: Rc<ConfigService>,
    /// Fleet and ranks.
    pub membership: Rc<MembershipService>,
    /// Rate limits.
    pub rates: Rc<RateService>,
    /// Gateways of this instance.
    pub gateways: Rc<GatewaySet>,
    /// Entry point of callers' requests.
    pub entry: Rc<EntryService>,
    store: Rc<dyn PlatformStore>,
    watched_databases: RefCell<Vec<DatabaseName>>,
    /// First-ranked gateway of each database for which this instance has had a rank.
    first_gateways: RefCell<BTreeMap<DatabaseName, InstanceId>>,
}

impl Proxy {
    /// Creates all services and starts their tasks on the current thread.
    pub async fn start(settings: InstanceSettings) -> Result<Rc<Self>, StartError> {
        let clock = ProcessClock::start();
        let own_id: InstanceId =
            format!("{}.{:08x}", settings.name, rand::random::<u32>()).parse()?;
        let secrets = SecretKeys::derive(settings.fleet_secret.as_bytes())?;
        let frames = FrameCodec::new(secrets.wire());
        let epoch = rand::random();
        let datagrams = DatagramCodec::new(secrets.wire(), own_id.clone(), epoch);
        let (listener, socket) = bind_peer_address(settings.peer_address)?;
        let store: Rc<dyn PlatformStore> = Rc::new(build_store(&settings).await?);
        let peers = Rc::new(PeerClient::new(frames.clone()));
        let config = ConfigService::new(ConfigContext {
            own_id: own_id.clone(),
            incarnation: Incarnation::new(epoch),
            clock,
            store: store.clone(),
            peers: peers.clone(),
        });
        let zone = settings.zone.clone();
        let membership = MembershipService::new(own_id.clone(), zone, clock, datagrams);
        let rates = RateService::new(own_id.clone(), clock, membership.clone(), peers.clone());
        let gate = MemoryGate::new(&MemoryLimits::new(&settings.machine));
        let answers = Rc::new(AnswerBudget(gate.clone()));
        let context = gateway_context(
            &settings, &own_id, clock, &secrets, &config, &rates, answers,
        );
        let gateways = Rc::new(GatewaySet::new(Rc::new(context)));
        let metrics = Rc::new(ProxyMetrics::new());
        let decisions = Rc::new(DecisionLog::default());
        let connections = CallerConnections::new(gate);
        let entry = EntryService::new(EntryContext {
            connections,
            own_id: own_id.clone(),
            clock,
            bounds: settings.bounds.clone(),
            secrets,
            config: config.clone(),
            membership: membership.clone(),
            gateways: gateways.clone(),
            peers: peers.clone(),
            metrics: metrics.clone(),
            decisions: decisions.clone(),
        });
        let proxy = Rc::new(Self {
            settings,
            own_id,
            clock,
            metrics,
            decisions,
            config,
            membership,
            rates,
            gateways,
            entry,
            store,
            watched_databases: RefCell::default(),
            first_gateways: RefCell::default(),
        });
        proxy.register_listeners();
        proxy.spawn_tasks(listener, socket, frames);
        log::info!(
            "proxy: instance {} started in zone {}",
            proxy.own_id,
            proxy.settings.zone
        );
        Ok(proxy)
    }

    /// Returns the limits of what callers may hold.
    pub fn memory_limits(&self) -> MemoryLimits {
        MemoryLimits::new(&self.settings.machine)
    }

    /// Returns the number of requests and transactions in progress.
    pub fn in_flight(&self) -> usize {
        self.entry.in_flight() + self.gateways.in_flight()
    }

    /// Returns the metrics as text. Those of the limits are before the last line, which ends it.
    pub fn encode_metrics(&self) -> String {
        self.refresh_metrics();
        let text = self.metrics.encode();
        let limits = self.entry.connections().gate().encode_metrics();
        let body = text.strip_suffix("# EOF\n").unwrap_or(&text);
        format!("{body}{limits}# EOF\n")
    }

    /// Updates the gauges from the current state.
    fn refresh_metrics(&self) {
        let metrics = &self.metrics;
        let document = self.config.document();
        let (size, live) = self.membership.peer_counts(&document);
        let age = self.config.confirmed_age();
        let age = age.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX));
        let gateways = self.gateways.list();
        let from_usize = |number: usize| i64::try_from(number).unwrap_or(i64::MAX);
        let from_u64 = |number: u64| i64::try_from(number).unwrap_or(i64::MAX);
        metrics.config_version.set(from_u64(document.version.get()));
        metrics.config_age.set(age);
        metrics
            .platform_reached
            .set(i64::from(self.config.is_platform_reached()));
        metrics.fleet_size.set(from_usize(size));
        metrics.fleet_live.set(from_usize(live));
        metrics.in_flight.set(from_usize(self.in_flight()));
        metrics.transactions.set(from_usize(
            gateways.iter().map(|g| g.open_transactions()).sum(),
        ));
        metrics.gateways.set(from_usize(
            gateways.iter().filter(|g| g.rank() == Some(0)).count(),
        ));
        metrics
            .owned_shards
            .set(from_usize(self.rates.owned_shards()));
        metrics
            .heartbeat_bytes
            .set(from_u64(self.membership.sent_bytes()));
        metrics
            .invalid_datagrams
            .set(from_u64(self.membership.rejected_datagrams()));
    }

    /// Shuts down gracefully: refuses new requests, leaves the fleet, waits for running requests
    /// and deregisters this instance.
    pub async fn shut_down(self: &Rc<Self>) {
        let started = self.clock.now();
        let limit = self.settings.bounds.shutdown_timeout;
        log::info!(
            "proxy: shutting down with {} requests in progress",
            self.in_flight()
        );
        self.membership.begin_shutdown();
        // Leaving the fleet hands the shards over and moves gateways to other instances.
        let _ = tokio::time::timeout(limit / 2, leave_fleet(&self.config)).await;
        while !self.membership.is_drained(self.in_flight())
            && self.clock.now().since(started) < limit
        {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let registration = self.registration(MemberState::Leaving);
        // A stale registration is harmless, because the fleet does not depend on it.
        let _ = self.store.deregister_instance(&registration).await;
        log::info!(
            "proxy: drained, {} requests still in progress",
            self.in_flight()
        );
    }

    fn register_listeners(self: &Rc<Self>) {
        let proxy = Rc::downgrade(self);
        self.config.add_listener(Box::new(move |document, changes| {
            let Some(proxy) = proxy.upgrade() else { return };
            proxy.membership.apply_document(document);
            proxy.gateways.apply_config(document);
            proxy.rates.apply_document(document);
            for change in changes {
                if let coriander_config::ConfigChange::KeysWithdrawn(keys) = change {
                    proxy.gateways.withdraw_keys(keys);
                }
            }
            proxy.update_ranks();
        }));
        let proxy = Rc::downgrade(self);
        self.membership.on_ranks_changed(Box::new(move || {
            if let Some(proxy) = proxy.upgrade() {
                proxy.update_ranks();
            }
        }));
        let config = self.config.clone();
        self.membership.on_newer_version(Box::new(move |address| {
            let config = config.clone();
            ntex::rt::spawn(async move { config.fetch_from(address).await });
        }));
    }

    fn spawn_tasks(self: &Rc<Self>, listener: TcpListener, socket: UdpSocket, frames: FrameCodec) {
        let peer_service: Rc<dyn PeerService<PeerRequest, PeerReply>> =
            Rc::new(PeerHandler(self.clone()));
        ntex::rt::spawn(serve_peers(listener, frames, peer_service));
        let proxy = self.clone();
        let status: Rc<dyn Fn() -> OwnStatus> = Rc::new(move || proxy.own_status());
        ntex::rt::spawn(self.membership.clone().run(Rc::new(socket), status));
        let membership = self.membership.clone();
        let is_watcher = Box::new(move || membership.is_watcher());
        ntex::rt::spawn(watch_platform(self.config.clone(), is_watcher));
        let membership = self.membership.clone();
        let watchers = Box::new(move || membership.watcher_addresses());
        ntex::rt::spawn(self.config.clone().confirm_by_peers(watchers));
        let rates = self.rates.clone();
        let accepted = Box::new(move |version| rates.set_accepted(version));
        ntex::rt::spawn(self.config.clone().watch_acceptance(accepted));
        ntex::rt::spawn(self.rates.clone().run());
        ntex::rt::spawn(self.clone().update_confirmed_age());
        ntex::rt::spawn(self.clone().maintain_registration());
        ntex::rt::spawn(self.clone().maintain_fleet_membership());
        let proxy = self.clone();
        let lost_members =
            Box::new(move || proxy.membership.lost_members(&proxy.config.document()));
        ntex::rt::spawn(remove_lost_members(self.config.clone(), lost_members));
    }

    fn own_status(&self) -> OwnStatus {
        OwnStatus {
            fleet_version: self.config.document().fleet_version,
            config_version: self.config.version(),
            confirmed_age: self.config.confirmed_age(),
            state: self.membership.own_state(self.in_flight()),
        }
    }

    /// Updates the ranks of the gateways and watches the members of their databases.
    ///
    /// Databases for which this instance has no rank are not watched, because an instance cannot
    /// watch all of them.
    fn update_ranks(self: &Rc<Self>) {
        for database in &self.config.document().databases {
            let rank = self.membership.own_rank(database);
            if rank.is_some() {
                let gateway = self.gateways.get(database);
                gateway.set_rank(rank);
                self.watch_database(database);
                if self.replaces_lost_gateway(database) {
                    gateway.replace_lost_gateway();
                }
            } else if let Some(gateway) = self.gateways.find(database) {
                gateway.set_rank(None);
            }
        }
    }

    /// Returns whether this instance has just become the gateway in place of a lost one.
    fn replaces_lost_gateway(&self, database: &DatabaseName) -> bool {
        let Some(first) = self.membership.gateways(database).first().cloned() else {
            return false;
        };
        let mut known = self.first_gateways.borrow_mut();
        let previous = known.insert(database.clone(), first.clone());
        first == self.own_id && previous.is_some_and(|previous| self.membership.is_lost(&previous))
    }

    fn watch_database(self: &Rc<Self>, database: &DatabaseName) {
        let mut watched_databases = self.watched_databases.borrow_mut();
        if !watched_databases.contains(database) {
            watched_databases.push(database.clone());
            ntex::rt::spawn(self.clone().watch_members(database.clone()));
        }
    }

    /// Watches the member list of a database while this instance has a rank for it.
    async fn watch_members(self: Rc<Self>, database: DatabaseName) {
        let service = format!("{UPSTREAM_PREFIX}{database}");
        let mut index = ModifyIndex::default();
        while self.membership.own_rank(&database).is_some() {
            let listed = if index == ModifyIndex::default() {
                self.store.list_service(&service).await
            } else {
                self.store
                    .watch_service(&service, index, LIST_WATCH_TIMEOUT)
                    .await
            };
            match listed {
                Ok(list) => {
                    index = list.watch_index;
                    self.gateways
                        .get(&database)
                        .set_listed_members(list.members)
                        .await;
                    if index == ModifyIndex::default() {
                        tokio::time::sleep(RETRY_DELAY).await;
                    }
                }
                Err(error) => {
                    log::debug!("proxy: members of {database} not read: {error}");
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
        self.watched_databases
            .borrow_mut()
            .retain(|name| *name != database);
    }

    /// Passes the age of the configuration's confirmation to the rate limits, which expire without
    /// a recent one.
    async fn update_confirmed_age(self: Rc<Self>) {
        loop {
            self.rates.set_confirmed_age(self.config.confirmed_age());
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Registers this instance on the platform and retries after an outage.
    async fn maintain_registration(self: Rc<Self>) {
        while !self.membership.is_terminating() {
            let registration = self.registration(MemberState::Live);
            match self.store.register_instance(&registration).await {
                Ok(()) => tokio::time::sleep(REGISTRATION_INTERVAL).await,
                Err(_) => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
    }

    /// Joins the fleet, and rejoins it after other instances removed this one as lost.
    async fn maintain_fleet_membership(self: Rc<Self>) {
        while !self.membership.is_terminating() {
            let member = FleetMember {
                zone: self.settings.zone.clone(),
                peer_address: self.settings.peer_address,
                draining: false,
            };
            join_fleet(self.config.clone(), member).await;
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    fn registration(&self, state: MemberState) -> InstanceRegistration {
        InstanceRegistration {
            service: INSTANCE_SERVICE.to_owned(),
            instance: self.own_id.clone(),
            address: self.settings.peer_address,
            zone: self.settings.zone.clone(),
            state,
        }
    }
}

/// Handles requests of other instances.
struct PeerHandler(Rc<Proxy>);

#[async_trait(?Send)]
impl PeerService<PeerRequest, PeerReply> for PeerHandler {
    async fn handle(
        &self,
        _connection: ConnectionId,
        request: PeerRequest,
        deadline: MonotonicTime,
    ) -> PeerReply {
        let proxy = &self.0;
        match request {
            PeerRequest::Forward(mut forward) => {
                forward.remaining = forward.remaining.min(deadline.since(BootClock.now()));
                let is_open = forward.stream.is_some();
                if !is_open && proxy.membership.admission() != WorkAdmission::Serve {
                    return PeerReply::Forwarded(Err(proxy.membership.refusal()));
                }
                let gateway = proxy.gateways.get(&forward.database);
                PeerReply::Forwarded(gateway.execute(forward).await)
            }
            PeerRequest::ConfirmVersion(request) => {
                PeerReply::VersionConfirmed(proxy.config.confirm_version(request))
            }
            PeerRequest::FetchConfig(request) => {
                PeerReply::Config(proxy.config.newer_bundle(&request))
            }
            PeerRequest::TakeTokens(request) => {
                PeerReply::Granted(proxy.rates.grant_tokens(&request))
            }
            PeerRequest::HandOver { from, hand_over } => {
                PeerReply::HandedOver(proxy.rates.receive_hand_over(&from, &hand_over))
            }
        }
    }

    fn count_invalid_frame(&self) {
        self.0.metrics.invalid_frames.inc();
    }
}
