//! Executes exchanges on the home instance of an account.
//!
//! A member accepts few connections, and each belongs to one account. By a rendezvous hash of
//! member and account, all instances choose the same home instance in the zone of the member, so
//! that only one instance opens connections for the account. If no home instance is usable or it
//! does not reply, an instance uses its own connections.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::rc::{Rc, Weak};
use std::time::Duration;

use async_trait::async_trait;
use coriander_core::MonotonicTime;
use coriander_peer::{ConnectionId, PeerClient, PeerError, PeerService, serve_peers};
use coriander_wire::FrameCodec;
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::BootClock;
use crate::configuration::config_delta::ConfigDelta;
use crate::configuration::store_update::KnownSnapshot;
use crate::fleet::relay_messages::{
    HeldUpdate, RelayReply, RelayRequest, StreamNames, StreamNumber,
};
use crate::members::held_connection::HeldConnection;
use crate::members::member_pool::PoolError;
use crate::process_lifecycle::ServicePhase;
use crate::service::SessionService;
use crate::sessions::exchange::{ExchangeError, ExchangeOutcome, ExchangePlan};
use crate::usage::begun_operation::exchange_counted;

/// Added to the time limit of an exchange for the transfer between the instances.
const REPLY_MARGIN: Duration = Duration::from_millis(60);

/// Age of a request without a reply from which its instance is pinged.
const PING_REQUEST_AGE: Duration = Duration::from_millis(120);

/// Timeout of a request for an update of the store.
const UPDATE_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum time for which a request for an update is held.
const MAX_HOLD_TIME: Duration = Duration::from_secs(1);

/// Timeout of a ping.
const PING_TIMEOUT: Duration = Duration::from_millis(250);

/// Interval at which requests without a reply are checked, and of the ticks of the timer.
const WATCH_INTERVAL: Duration = Duration::from_millis(60);

/// Interval between pings of an instance that is down. No request uses it until a ping succeeds, so
/// that no request waits for a connection that may not open.
const DOWN_PING_INTERVAL: Duration = Duration::from_millis(500);

/// Time without a tick of the timer from which received requests are dropped: the process was
/// suspended or blocked, and the requests have timed out at their senders.
const MAX_TICK_GAP: Duration = Duration::from_millis(400);

/// Executes exchanges on other instances.
#[derive(Default)]
pub struct RelayClient {
    client: RefCell<Option<Rc<PeerClient<RelayRequest, RelayReply>>>>,
    last_stream: Cell<StreamNumber>,
    /// Instances that did not reply, with the time of the next ping.
    down_instances: RefCell<HashMap<SocketAddr, MonotonicTime>>,
    pending_requests: RefCell<HashMap<StreamNumber, (SocketAddr, MonotonicTime)>>,
    pinging_instances: RefCell<HashSet<SocketAddr>>,
    /// Instances that did not reply to a request for an update and are to be pinged.
    suspects: RefCell<HashSet<SocketAddr>>,
}

impl RelayClient {
    /// Sets the codec of new connections.
    pub fn set_codec(&self, codec: FrameCodec) {
        *self.client.borrow_mut() = Some(Rc::new(PeerClient::new(codec)));
    }

    /// Returns whether an instance may be used.
    pub fn is_usable(&self, address: SocketAddr) -> bool {
        self.client.borrow().is_some() && !self.down_instances.borrow().contains_key(&address)
    }

    /// Stops using an instance until it replies to a ping. Its pending requests fail.
    pub fn set_down(&self, address: SocketAddr, now: MonotonicTime) {
        let next_ping = now + DOWN_PING_INTERVAL;
        if self
            .down_instances
            .borrow_mut()
            .insert(address, next_ping)
            .is_none()
        {
            log::info!(address:% = address; "instance does not reply and is not used");
        }
        let client = self.client.borrow().clone();
        if let Some(client) = client {
            client.disconnect(address);
        }
    }

    /// Returns the number of a new stream.
    pub fn new_stream(&self) -> StreamNumber {
        self.last_stream.set(self.last_stream.get() + 1);
        self.last_stream.get()
    }

    /// Executes an exchange on another instance. The ages in the plan and its time limit count from
    /// `sent_at`.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        stream: StreamNumber,
        must_exist: bool,
        plan: ExchangePlan,
        sent_at: MonotonicTime,
    ) -> ExchangeOutcome {
        let client = self.client.borrow().clone();
        let Some(client) = client else {
            return ExchangeOutcome::failed(ExchangeError::NotSent(PoolError::HomeUnavailable));
        };
        self.pending_requests
            .borrow_mut()
            .insert(stream, (address, sent_at));
        let deadline = sent_at + (plan.time_limit + REPLY_MARGIN);
        let request = RelayRequest::Exchange {
            stream,
            must_exist,
            plan: Box::new(plan),
        };
        let reply = client.call_until(address, request, deadline).await;
        self.pending_requests.borrow_mut().remove(&stream);
        let now = BootClock.now();
        match reply {
            Ok(RelayReply::Outcome(outcome)) => *outcome,
            Ok(_) => ExchangeOutcome::no_reply("unexpected reply"),
            Err(error @ (PeerError::NotSent | PeerError::Encode(_))) => {
                log::debug!(
                    address:% = address, error:% = error;
                    "request to an instance not sent"
                );
                self.set_down(address, now);
                ExchangeOutcome::failed(ExchangeError::NotSent(PoolError::HomeUnavailable))
            }
            Err(PeerError::Expired) => {
                ExchangeOutcome::failed(ExchangeError::NotSent(PoolError::HomeUnavailable))
            }
            Err(PeerError::NoReply) => ExchangeOutcome::no_reply("no reply from the home instance"),
        }
    }

    /// Requests an update of the store from another instance, which may hold the request until it
    /// has applied a newer snapshot.
    pub async fn request_update(
        &self,
        address: SocketAddr,
        known: KnownSnapshot,
        hold: Duration,
    ) -> Option<HeldUpdate> {
        let client = self.client.borrow().clone()?;
        let request = RelayRequest::StoreUpdate { known, hold };
        match client.call(address, request, hold + UPDATE_TIMEOUT).await {
            Ok(RelayReply::StoreUpdate(update)) => Some(*update),
            Ok(_) => None,
            Err(error) => {
                log::debug!(
                    address:% = address, error:% = error;
                    "no update of the store received from an instance"
                );
                if matches!(error, PeerError::Expired | PeerError::NoReply) {
                    // Its link or processor may be busy with updates. Only a failed ping ends the
                    // exchanges that run there.
                    self.suspects.borrow_mut().insert(address);
                } else {
                    self.set_down(address, BootClock.now());
                }
                None
            }
        }
    }

    /// Requests the changes of the configuration since a version from another instance.
    pub async fn request_config_delta(
        &self,
        address: SocketAddr,
        known_version: u64,
    ) -> Option<ConfigDelta> {
        let client = self.client.borrow().clone()?;
        let request = RelayRequest::ConfigDelta { known_version };
        match client.call(address, request, UPDATE_TIMEOUT).await {
            Ok(RelayReply::ConfigDelta(delta)) => delta.map(|delta| *delta),
            Ok(_) => None,
            Err(error) => {
                log::debug!(
                    address:% = address, error:% = error;
                    "no changes of the configuration received from an instance"
                );
                None
            }
        }
    }

    /// Ends a stream on another instance.
    pub fn end_stream(&self, address: SocketAddr, stream: StreamNumber) {
        let client = self.client.borrow().clone();
        if let Some(client) = client {
            ntex::rt::spawn(async move {
                // If the connection is lost, the home instance ends the stream by itself.
                let _ = client
                    .call(address, RelayRequest::EndStream(stream), PING_TIMEOUT)
                    .await;
            });
        }
    }

    /// Pings instances that are down or have not replied to a request, until the process ends.
    pub async fn monitor(service: Rc<SessionService>) {
        loop {
            sleep(WATCH_INTERVAL).await;
            let now = BootClock.now();
            let peers = service.peers.peers();
            let mut ping_targets: HashSet<SocketAddr> = {
                let pending_requests = service.relay.pending_requests.borrow();
                let late = pending_requests
                    .values()
                    .filter(|(_, sent_at)| now.since(*sent_at) >= PING_REQUEST_AGE);
                late.map(|(address, _)| *address).collect()
            };
            ping_targets.extend(service.relay.suspects.take());
            {
                let mut down = service.relay.down_instances.borrow_mut();
                down.retain(|address, _| peers.contains(address));
                let due = down.iter().filter(|(_, next_ping)| now >= **next_ping);
                ping_targets.extend(due.map(|(address, _)| *address));
            }
            for address in ping_targets {
                if service.relay.pinging_instances.borrow_mut().insert(address) {
                    ntex::rt::spawn(Self::ping(service.clone(), address));
                }
            }
        }
    }

    async fn ping(service: Rc<SessionService>, address: SocketAddr) {
        let relay = &service.relay;
        let client = relay.client.borrow().clone();
        if let Some(client) = client {
            let reply = client.call(address, RelayRequest::Ping, PING_TIMEOUT).await;
            if reply.is_err() {
                relay.set_down(address, BootClock.now());
            } else if relay.down_instances.borrow_mut().remove(&address).is_some() {
                log::info!(address:% = address; "instance replies again and is used");
            }
        }
        relay.pinging_instances.borrow_mut().remove(&address);
    }
}

/// Executes exchanges for other instances.
pub struct RelayServer {
    service: Weak<SessionService>,
    streams: RefCell<HashMap<(ConnectionId, StreamNumber), (HeldConnection, StreamNames)>>,
    /// Connections of other instances that are open.
    connections: RefCell<HashSet<ConnectionId>>,
    /// Streams that ended during an exchange.
    ended_streams: RefCell<HashSet<(ConnectionId, StreamNumber)>>,
    /// Streams with an exchange in progress.
    running_exchanges: RefCell<HashSet<(ConnectionId, StreamNumber)>>,
    last_tick: Cell<MonotonicTime>,
}

impl RelayServer {
    /// Creates the server.
    pub fn new(service: &Rc<SessionService>) -> Rc<Self> {
        Rc::new(Self {
            service: Rc::downgrade(service),
            streams: RefCell::default(),
            connections: RefCell::default(),
            ended_streams: RefCell::default(),
            running_exchanges: RefCell::default(),
            last_tick: Cell::new(BootClock.now()),
        })
    }

    /// Serves other instances once the key of the fleet is available.
    pub async fn run(self: Rc<Self>, listener: TcpListener, service: Rc<SessionService>) {
        ntex::rt::spawn(self.clone().tick());
        let mut keys = service.fleet_key.subscribe();
        let Ok(key) = keys.wait_for(Option::is_some).await.map(|key| *key) else {
            return;
        };
        if let Some(key) = key {
            serve_peers(listener, FrameCodec::new(&key), self).await;
        }
    }

    async fn tick(self: Rc<Self>) {
        loop {
            self.last_tick.set(BootClock.now());
            sleep(WATCH_INTERVAL).await;
        }
    }

    /// Returns the number of reserved connections and exchanges in progress.
    pub fn active_count(&self) -> usize {
        self.streams.borrow().len() + self.running_exchanges.borrow().len()
    }

    /// Returns the number of streams that ended while their exchange is in progress.
    pub fn ended_count(&self) -> usize {
        self.ended_streams.borrow().len()
    }

    /// Returns whether nobody waits for the exchange of a stream.
    fn is_abandoned(&self, key: &(ConnectionId, StreamNumber)) -> bool {
        let is_open = self.connections.borrow().contains(&key.0);
        !is_open || self.ended_streams.borrow().contains(key)
    }

    async fn exchange(
        &self,
        key: (ConnectionId, StreamNumber),
        must_exist: bool,
        plan: &mut ExchangePlan,
    ) -> ExchangeOutcome {
        let is_late = plan.time_limit.is_zero();
        if is_late || BootClock.now().since(self.last_tick.get()) > MAX_TICK_GAP {
            return ExchangeOutcome::failed(ExchangeError::NotSent(PoolError::HomeUnavailable));
        }
        if self.is_refused_by_phase(must_exist, plan) {
            return ExchangeOutcome::failed(ExchangeError::NotSent(PoolError::HomeUnavailable));
        }
        if plan.needs_primary() && !self.is_primary_confirmed(plan) {
            return ExchangeOutcome::failed(ExchangeError::NotSent(PoolError::PrimaryUnconfirmed));
        }
        if !self.resolve_age(plan) {
            return ExchangeOutcome::failed(ExchangeError::NotSent(PoolError::PositionUnknown));
        }
        self.running_exchanges.borrow_mut().insert(key);
        let held = self.streams.borrow_mut().remove(&key).map(|held| held.0);
        let outcome = self.exchange_held(key, held, plan).await;
        self.running_exchanges.borrow_mut().remove(&key);
        self.ended_streams.borrow_mut().remove(&key);
        outcome
    }

    /// Returns whether the process stops too soon for an exchange. An open transaction may commit.
    fn is_refused_by_phase(&self, must_exist: bool, plan: &ExchangePlan) -> bool {
        let service = self.service.upgrade();
        let phase = service.map_or(ServicePhase::Stopping, |service| service.phase());
        let last_phase = if must_exist && plan.statement.commits {
            ServicePhase::Finishing
        } else {
            ServicePhase::Closing
        };
        phase > last_phase
    }

    fn resolve_age(&self, plan: &mut ExchangePlan) -> bool {
        let service = self.service.upgrade();
        let group = service.and_then(|service| service.find_group(&plan.group));
        group.is_none_or(|group| group.resolve_age(plan, BootClock.now()))
    }

    /// Returns whether this instance confirms that the member of a plan may be used as primary.
    fn is_primary_confirmed(&self, plan: &ExchangePlan) -> bool {
        let now = BootClock.now();
        let service = self.service.upgrade();
        service.is_some_and(|service| {
            let remaining = service.primary_use_remaining(&plan.group, &plan.member, now);
            remaining.is_some()
        })
    }

    async fn exchange_held(
        &self,
        key: (ConnectionId, StreamNumber),
        held: Option<HeldConnection>,
        plan: &ExchangePlan,
    ) -> ExchangeOutcome {
        let mut held = match held {
            Some(held) => held,
            None => match self.acquire(plan).await {
                Ok(held) => held,
                Err(error) => return ExchangeOutcome::failed(ExchangeError::NotSent(error)),
            },
        };
        if self.is_abandoned(&key) {
            return ExchangeOutcome::failed(ExchangeError::NotSent(PoolError::HomeUnavailable));
        }
        let Some(service) = self.service.upgrade() else {
            return ExchangeOutcome::no_reply("the process has ended");
        };
        let outcome = exchange_counted(&service, &mut held, plan).await;
        if outcome.keeps_connection(plan) && !self.is_abandoned(&key) {
            let names = StreamNames::of(plan);
            self.streams.borrow_mut().insert(key, (held, names));
        }
        outcome
    }

    /// Applies what the sender of a plan, sent not before `sent_at`, has set aside. It counts from
    /// the arrival, whatever the plan waits for then.
    fn receive_reports(&self, plan: &ExchangePlan, sent_at: MonotonicTime) {
        if plan.capacity.is_some()
            && let Some(service) = self.service.upgrade()
            && let Some(member) = service.find_member(&plan.group, &plan.member)
            && let Some(capacity) = &member.capacity
        {
            capacity.receive(plan, sent_at, BootClock.now());
        }
    }

    async fn acquire(&self, plan: &ExchangePlan) -> Result<HeldConnection, PoolError> {
        let service = self.service.upgrade().ok_or(PoolError::HomeUnavailable)?;
        let member = service.find_member(&plan.group, &plan.member);
        let member = member.ok_or(PoolError::HomeUnavailable)?;
        if !member.may_start(plan.needs_primary(), BootClock.now()) {
            return Err(PoolError::MemberLeaving);
        }
        HeldConnection::acquire(&member, plan).await
    }
}

#[async_trait(?Send)]
impl PeerService<RelayRequest, RelayReply> for RelayServer {
    async fn handle(
        &self,
        connection: ConnectionId,
        request: RelayRequest,
        deadline: MonotonicTime,
    ) -> RelayReply {
        match request {
            RelayRequest::Exchange {
                stream,
                must_exist,
                mut plan,
            } => {
                let key = (connection, stream);
                if let Some((_, names)) = self.streams.borrow().get(&key) {
                    names.restore(&mut plan);
                } else if must_exist {
                    let outcome = ExchangeOutcome::no_reply("unknown stream");
                    return RelayReply::Outcome(Box::new(outcome));
                }
                // The deadline was computed with a lower bound of the time here.
                let sent_at = deadline.saturating_sub(plan.time_limit + REPLY_MARGIN);
                plan.limit_time(deadline.since(BootClock.now()));
                self.receive_reports(&plan, sent_at);
                let outcome = self.exchange(key, must_exist, &mut plan).await;
                RelayReply::Outcome(Box::new(outcome))
            }
            RelayRequest::EndStream(stream) => {
                let key = (connection, stream);
                if self.running_exchanges.borrow().contains(&key) {
                    self.ended_streams.borrow_mut().insert(key);
                }
                self.streams.borrow_mut().remove(&key);
                RelayReply::Acknowledged
            }
            RelayRequest::StoreUpdate { known, hold } => {
                let Some(service) = self.service.upgrade() else {
                    return RelayReply::Acknowledged;
                };
                let update = service.hold_update(&known, hold.min(MAX_HOLD_TIME)).await;
                RelayReply::StoreUpdate(Box::new(update))
            }
            RelayRequest::Ping => RelayReply::Acknowledged,
            RelayRequest::ConfigDelta { known_version } => {
                let service = self.service.upgrade();
                let delta = service.and_then(|s| s.store_view.config_delta(known_version));
                RelayReply::ConfigDelta(delta.map(Box::new))
            }
        }
    }

    fn record_request(&self, sender: IpAddr, request: &RelayRequest, bytes: usize) {
        if let Some(service) = self.service.upgrade() {
            let traffic = &service.peers.traffic;
            traffic.count_received(request.kind(), sender, bytes);
        }
    }

    fn record_reply(&self, receiver: IpAddr, reply: &RelayReply, bytes: usize) {
        if let Some(service) = self.service.upgrade() {
            let traffic = &service.peers.traffic;
            traffic.count_sent(reply.kind(), receiver, bytes);
        }
    }

    fn shortens_replies(&self, receiver: IpAddr) -> bool {
        let service = self.service.upgrade();
        service.is_some_and(|service| {
            service.capacity.is_some() && service.peers.traffic.is_other_zone(receiver)
        })
    }

    fn count_invalid_frame(&self) {
        log::warn!("connection closed after an invalid frame");
    }

    fn connection_started(&self, connection: ConnectionId) {
        self.connections.borrow_mut().insert(connection);
    }

    fn connection_ended(&self, connection: ConnectionId) {
        self.connections.borrow_mut().remove(&connection);
        self.streams
            .borrow_mut()
            .retain(|(id, _), _| *id != connection);
    }
}
