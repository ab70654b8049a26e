//! State shared by all sessions of the process.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use coriander_core::MonotonicTime;
use coriander_service_api::{
    ClientSession, ControlSnapshot, Duty, FailureCode, FailureReason, FleetConfig, InstanceEntry,
    LeaseId, MemberConnector, MemberEntry, SessionFailure, SessionHost,
};
use tokio::sync::{Notify, watch};

use crate::admission::rate_limiter::RateLimiter;
use crate::admission::repetitions::Repetitions;
use crate::configuration::config_view::ConfigView;
use crate::configuration::store_view::StoreView;
use crate::duties::duty_lease::SAFE_LEASE_LIFETIME;
use crate::duties::duty_state::DutyState;
use crate::fleet::fleet_view::FleetView;
use crate::fleet::peer_messages::PeerMessage;
use crate::fleet::peer_socket::PeerSocket;
use crate::fleet::relay::RelayClient;
use crate::members::database_group::DatabaseGroup;
use crate::members::member::Member;
use crate::members::member_capacity::SharedCapacity;
use crate::members::warm_up_gate::WarmUpGate;
use crate::process_lifecycle::{ProcessLifecycle, ServicePhase};
use crate::promotion::outage_reports::OutageReports;
use crate::service_metrics::ServiceMetrics;
use crate::sessions::request_log::{RefusedSession, RequestLog};
use crate::sessions::session::ServedSession;
use crate::usage::usage_meter::UsageMeter;
use crate::{BootClock, ServiceSettings};

/// Account name sent to members for callers of routes that need no key.
const ANONYMOUS_ACCOUNT: &str = "-";

/// State shared by all sessions of the process.
pub struct SessionService {
    settings: RefCell<Rc<ServiceSettings>>,
    /// Phase of the process and number of sessions.
    pub lifecycle: ProcessLifecycle,
    /// Clock of the process.
    pub clock: BootClock,
    /// Configuration in force.
    pub config_view: ConfigView,
    /// Requests a read of the store from the control loop.
    pub refresh_requested: Notify,
    /// Signals that a snapshot of the store has been applied.
    pub snapshot_applied: Notify,
    connector: Rc<dyn MemberConnector>,
    /// Learned capacity of members, where the settings ask for it.
    pub(crate) capacity: Option<SharedCapacity>,
    groups: RefCell<HashMap<Arc<str>, Rc<DatabaseGroup>>>,
    /// Datagram socket to the other instances.
    pub peers: Rc<PeerSocket>,
    /// The promotion duty: the right to promote members.
    pub promotion_duty: DutyState,
    /// Reports of other instances about primaries.
    pub outage_reports: OutageReports,
    /// The duty to report the usage of client accounts.
    pub usage_duty: DutyState,
    /// Usage of client accounts; `None` where the platform expects no reports.
    pub usage: Option<Rc<UsageMeter>>,
    /// Log of statements and refused sessions.
    pub request_log: RequestLog,
    /// Counters and histograms.
    pub metrics: ServiceMetrics,
    /// Client that runs exchanges on other instances.
    pub relay: RelayClient,
    /// Key that authenticates messages between instances; `None` until the fleet secret has been
    /// read.
    pub fleet_key: watch::Sender<Option<[u8; 32]>>,
    /// Instances of the fleet.
    pub(crate) fleet: RefCell<FleetView>,
    /// Whether an instance has announced its shutdown since the last applied snapshot.
    leaving_changed: Cell<bool>,
    /// Newest snapshot of the store.
    pub store_view: StoreView,
    /// Rate limits of client accounts.
    pub rate_limiter: RateLimiter,
    /// Budget of repeated statements.
    pub repetitions: Repetitions,
    registration_lease: Cell<Option<LeaseId>>,
    /// Account name for callers of routes that need no key.
    pub anonymous_account: Arc<str>,
    weak_self: std::rc::Weak<Self>,
}

impl SessionService {
    /// Creates the service. It refuses every session until a snapshot has been applied.
    pub fn new(
        settings: ServiceSettings,
        connector: Rc<dyn MemberConnector>,
        peers: Rc<PeerSocket>,
    ) -> Rc<Self> {
        let features = settings.features;
        let mut rate_limiter = RateLimiter::new(settings.name.clone(), peers.clone());
        if features.ordered_waiting {
            rate_limiter = rate_limiter.with_ordered_returns(settings.zone.clone());
        }
        let usage = features.usage_reports.then(|| UsageMeter::new(&settings));
        let metrics = ServiceMetrics::with_traffic(&peers.traffic);
        let capacity = features
            .learned_capacity
            .then(|| SharedCapacity::new(settings.zone.clone(), metrics.capacity_changes()));
        Rc::new_cyclic(|weak_self| Self {
            settings: RefCell::new(Rc::new(settings)),
            lifecycle: ProcessLifecycle::default(),
            clock: BootClock,
            config_view: ConfigView::default(),
            refresh_requested: Notify::new(),
            snapshot_applied: Notify::new(),
            connector,
            capacity,
            groups: RefCell::default(),
            rate_limiter,
            repetitions: Repetitions::new(features.ordered_waiting, BootClock.now()),
            peers,
            request_log: RequestLog::default(),
            metrics,
            relay: RelayClient::default(),
            fleet_key: watch::Sender::new(None),
            fleet: RefCell::default(),
            leaving_changed: Cell::new(false),
            store_view: StoreView::default(),
            promotion_duty: DutyState::new(Duty::Promotion),
            outage_reports: OutageReports::default(),
            usage_duty: DutyState::new(Duty::UsageReport),
            usage: usage.map(Rc::new),
            registration_lease: Cell::new(None),
            anonymous_account: ANONYMOUS_ACCOUNT.into(),
            weak_self: weak_self.clone(),
        })
    }

    /// Applies a snapshot of the store whose read was sent at `sent_at`.
    pub fn apply_snapshot(&self, snapshot: &ControlSnapshot, sent_at: MonotonicTime) {
        let Some(previous) = self.store_view.record(snapshot, sent_at) else {
            return;
        };
        // A new account gets its first tokens by its owners, which follow from the instances.
        self.rate_limiter
            .set_fleet(&snapshot.instances, snapshot.revision);
        let old_config = self.config_view.config();
        let groups = |config: &Arc<FleetConfig>| config.groups.clone();
        let same_groups = old_config.as_ref().map(groups) == snapshot.config.as_ref().map(groups);
        if let Some(config) = &snapshot.config
            && self.config_view.apply(config, sent_at)
        {
            log::info!(
                version = config.version, revision = snapshot.revision,
                routes = config.routes.len(), accounts = config.accounts.len(),
                keys = config.keys.len(), read_age:? = self.clock.now().since(sent_at);
                "configuration applied"
            );
            self.rate_limiter.apply_config(config);
        }
        let digest = self.store_view.digest();
        if !digest.same_instances(&previous) {
            self.peers.set_peers(&snapshot.instances);
            self.fleet.borrow_mut().apply(&snapshot.instances);
        }
        if let Some(secret) = &snapshot.fleet_secret {
            self.apply_secret(secret);
        }
        self.apply_duties(snapshot);
        // The announcement of a shutdown changes the assignment of connections before the store
        // changes.
        let same_assignment = digest.same_instances(&previous)
            && digest.same_members(&previous)
            && same_groups
            && !self.leaving_changed.take();
        self.apply_members(snapshot, !same_assignment);
        self.snapshot_applied.notify_waiters();
    }

    /// Applies that the newest snapshot was still current at a later revision, by a read sent at
    /// `sent_at`. Most updates say just this, so nothing that follows from the contents is computed
    /// again.
    pub fn confirm_snapshot(&self, revision: u64, sent_at: MonotonicTime) {
        let Some(snapshot) = self.store_view.confirm(revision, sent_at) else {
            return;
        };
        self.rate_limiter.set_fleet(&snapshot.instances, revision);
        if let Some(config) = &snapshot.config {
            self.config_view.apply(config, sent_at);
        }
        self.apply_duties(&snapshot);
        self.apply_members(&snapshot, self.leaving_changed.take());
        self.snapshot_applied.notify_waiters();
    }

    /// Applies the leases of a snapshot, also of one that was only confirmed: a lease that ended
    /// before any snapshot contained it changes no content.
    fn apply_duties(&self, snapshot: &ControlSnapshot) {
        let process_id = self.settings().process_id.clone();
        self.promotion_duty
            .apply(snapshot.duty_lease.as_ref(), &process_id);
        self.usage_duty
            .apply(snapshot.usage_lease.as_ref(), &process_id);
    }

    /// Applies the members of a snapshot. `assignment_changed` says whether the division of
    /// connections among the instances has to be recomputed.
    fn apply_members(&self, snapshot: &ControlSnapshot, assignment_changed: bool) {
        let now = self.clock.now();
        let Some(config) = self.config_view.config() else {
            return;
        };
        let reads = self.store_view.reads();
        let own_name = self.settings().name.clone();
        for (name, limits) in &config.groups {
            let group = self.group(name);
            let in_group = |entry: &&MemberEntry| entry.group == *name;
            let entries: Vec<_> = snapshot.members.iter().filter(in_group).collect();
            group.apply_entries(&entries, &snapshot.evacuated_zones, reads, now);
            group.apply_targets(&config);
            let primaries = &snapshot.primaries;
            let designated = primaries.iter().find(|primary| primary.group == *name);
            group.set_designated_primary(designated.map(|primary| primary.member.clone()));
            if !assignment_changed {
                continue;
            }
            let connections = limits.connections_per_member;
            let fleet = self.fleet.borrow();
            group.set_connections(connections, |member| {
                fleet.connection_caps(member, &own_name)
            });
            for member in group.members() {
                let share = limits.warm_up_rate.map(|rate| {
                    let (rank, instances) = fleet.member_rank(&member.id, &own_name);
                    WarmUpGate::share(rate, rank, instances)
                });
                member.set_cold_share(share);
            }
        }
        let mut groups = self.groups.borrow_mut();
        groups.retain(|name, group| {
            let kept = config.groups.contains_key(name);
            if !kept {
                group.close();
            }
            kept
        });
    }

    /// Returns the group with a name, creating it if necessary.
    pub fn group(&self, name: &Arc<str>) -> Rc<DatabaseGroup> {
        let mut groups = self.groups.borrow_mut();
        let ordered_waiting = self.settings().features.ordered_waiting;
        let create = || {
            let capacity = self.capacity.clone();
            let group = DatabaseGroup::new(name.clone(), self.connector.clone(), capacity);
            Rc::new(group.with_ordered_waiting(ordered_waiting))
        };
        groups.entry(name.clone()).or_insert_with(create).clone()
    }

    /// Returns the group with a name, if it exists.
    pub fn find_group(&self, name: &str) -> Option<Rc<DatabaseGroup>> {
        self.groups.borrow().get(name).cloned()
    }

    /// Returns a member of a group.
    pub fn find_member(&self, group: &str, member: &str) -> Option<Rc<Member>> {
        self.find_group(group)?.member(member)
    }

    /// Returns the home instance of an account for a member; `None` if this is the home instance or
    /// if no home instance is usable.
    pub fn home_instance(&self, member: &Member, account: &str) -> Option<SocketAddr> {
        let own_name = self.settings().name.clone();
        let fleet = self.fleet.borrow();
        let is_usable =
            |entry: &InstanceEntry| entry.id == own_name || self.relay.is_usable(entry.address);
        let zone = member.zone();
        let home_instance = fleet.home_instance(&member.location(&zone), account, is_usable)?;
        (home_instance.id != own_name).then_some(home_instance.address)
    }

    /// Returns the state of a duty.
    pub const fn duty(&self, duty: Duty) -> &DutyState {
        match duty {
            Duty::Promotion => &self.promotion_duty,
            Duty::UsageReport => &self.usage_duty,
        }
    }

    /// Returns up to `limit` instances of the own zone that collect its usage, in order.
    pub fn usage_collectors(&self, limit: usize) -> Vec<InstanceEntry> {
        let settings = self.settings();
        let is_usable = |entry: &InstanceEntry| {
            entry.id == settings.name || self.relay.is_usable(entry.address)
        };
        let fleet = self.fleet.borrow();
        fleet.usage_collectors(&settings.zone, limit, is_usable)
    }

    /// Announces to the other instances that this one is about to stop.
    pub fn announce_shutdown(&self) {
        let name = self.settings().name.to_string();
        self.record_leaving_instance(&name);
        self.peers.send_all(&PeerMessage::Leaving(name));
    }

    /// Records that an instance is about to stop.
    fn record_leaving_instance(&self, name: &str) {
        self.fleet.borrow_mut().set_leaving(name);
        self.leaving_changed.set(true);
    }

    /// Returns all groups.
    pub fn groups(&self) -> Vec<Rc<DatabaseGroup>> {
        self.groups.borrow().values().cloned().collect()
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Rc<ServiceSettings> {
        self.settings.borrow().clone()
    }

    /// Applies new settings. The identity of the process, its features and its usage windows are
    /// kept: parts that were created at the start depend on them.
    pub fn apply_settings(&self, settings: &ServiceSettings) {
        let old = self.settings();
        let settings = ServiceSettings {
            name: old.name.clone(),
            process_id: old.process_id.clone(),
            zone: old.zone.clone(),
            peer_address: old.peer_address,
            features: old.features,
            usage: old.usage,
            ..settings.clone()
        };
        log::info!(
            key_lifetime:? = settings.key_lifetime, shutdown:? = settings.shutdown_timeout,
            platform_fences = settings.platform_fences;
            "settings applied"
        );
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// Returns the phase of the process.
    pub fn phase(&self) -> ServicePhase {
        self.lifecycle.phase()
    }

    /// Changes the phase of the process.
    pub fn set_phase(&self, phase: ServicePhase) {
        self.lifecycle.set_phase(phase);
    }

    /// Records the lease of this instance's entry.
    pub fn set_registration_lease(&self, lease: Option<LeaseId>) {
        self.registration_lease.set(lease);
    }

    /// Returns the lease of this instance's entry.
    pub fn registration_lease(&self) -> Option<LeaseId> {
        self.registration_lease.get()
    }

    /// Returns whether the platform should route new callers to this instance.
    pub fn is_ready(&self) -> bool {
        let now = self.clock.now();
        let is_config_recent = self.is_config_recent(now);
        let has_members = self.groups.borrow().values().any(|group| !group.is_empty());
        self.phase() == ServicePhase::Serving && is_config_recent && has_members
    }

    /// Requests a read of the store unless the last one is younger than `age`.
    pub fn request_refresh(&self, age: Duration) {
        let known = self.config_view.age(self.clock.now());
        if known.is_none_or(|known| known >= age) {
            self.refresh_requested.notify_one();
        }
    }

    /// Returns the fencing token if this process may promote members now.
    pub fn promotion_token(&self) -> Option<u64> {
        self.promotion_duty
            .usable_token(SAFE_LEASE_LIFETIME, self.clock.now())
    }

    fn record_refused_session(&self, database: &str, failure: &SessionFailure) {
        let config = self.config_view.config();
        let now = self.clock.now();
        // Callers may send any database name; only configured ones become metric labels.
        let known = config
            .as_ref()
            .is_some_and(|config| config.routes.contains_key(database));
        let label = if known { database } else { "unknown" };
        self.metrics
            .count_refused_session(label, failure.reason.label());
        let refused = RefusedSession {
            database,
            failure,
            config_version: config.map_or(0, |config| config.version),
            config_age: self.config_view.age(now),
        };
        self.request_log.write_refused_session(&refused, now);
    }

    /// Handles a message from another instance.
    pub fn handle_message(&self, sender: SocketAddr, message: &PeerMessage) {
        match message {
            PeerMessage::LoanRequest(request) => self.rate_limiter.lend(sender, request),
            PeerMessage::LoanReply(reply) => self.rate_limiter.receive_loan(sender, reply),
            PeerMessage::LoanRefusal(refusal) => {
                self.rate_limiter.receive_refusal(sender, refusal);
            }
            PeerMessage::Primary(notice) => {
                if let Some(group) = self.find_group(&notice.group) {
                    group.record_promoted_primary(&notice.member, notice.token);
                }
            }
            PeerMessage::Leaving(name) => self.record_leaving_instance(name),
            PeerMessage::Outage(report) => {
                self.outage_reports.record(sender, report, self.clock.now());
            }
            PeerMessage::Usage(message) => {
                if let Some(usage) = &self.usage {
                    usage.handle(sender, message, self);
                }
            }
        }
    }
}

#[async_trait(?Send)]
impl SessionHost for SessionService {
    async fn open(
        &self,
        database: &str,
        key: &str,
    ) -> Result<Box<dyn ClientSession>, SessionFailure> {
        let access = match self.check_access_with_retry(database, key).await {
            Ok(access) => access,
            Err(failure) => {
                self.record_refused_session(database, &failure);
                return Err(failure);
            }
        };
        let shutting_down = SessionFailure::new(FailureCode::Busy, FailureReason::ShuttingDown);
        if self.phase() >= ServicePhase::Closing {
            self.record_refused_session(database, &shutting_down);
            return Err(shutting_down);
        }
        let service = self.weak_self.upgrade().ok_or(shutting_down)?;
        Ok(Box::new(ServedSession::new(
            service,
            database,
            key,
            access.account_name,
        )))
    }
}
