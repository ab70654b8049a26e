//! Heartbeats, ranks and the drain state of this instance.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use coriander_core::{
    AccountName, ConfigDocument, DatabaseName, InstanceId, MonotonicTime, RequestError, ZoneName,
};
use coriander_membership::{
    DrainCause, DrainState, Heartbeat, HeartbeatAck, InstanceState, OwnStatus, PeerTable,
    RankTable, RankedInstances, WorkAdmission,
};
use coriander_wire::{DatagramCodec, MAX_DATAGRAM_LENGTH};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::process_clock::ProcessClock;

/// Time between checks for due heartbeats and for peers that stopped sending heartbeats.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Time without heartbeats after which an instance counts as lost and is removed from the fleet.
/// Until then, its shards of token buckets cannot move; an instance that was only paused rejoins.
const LOST_TIMEOUT: Duration = Duration::from_secs(3);

#[derive(Debug, Deserialize, Serialize)]
enum Datagram {
    Heartbeat(Heartbeat),
    Ack(HeartbeatAck),
}

type AddressListener = Box<dyn Fn(SocketAddr)>;

/// State of the fleet as recorded by this instance.
pub struct MembershipService {
    own_id: InstanceId,
    own_zone: ZoneName,
    clock: ProcessClock,
    codec: RefCell<DatagramCodec>,
    peers: RefCell<PeerTable>,
    ranks: RefCell<RankTable>,
    drain: RefCell<DrainState>,
    silent_since: RefCell<Vec<(InstanceId, MonotonicTime)>>,
    ranks_listener: RefCell<Option<Box<dyn Fn()>>>,
    newer_version_listener: RefCell<Option<AddressListener>>,
    sent_bytes: Cell<u64>,
}

impl MembershipService {
    /// Creates the service of an instance that has no configuration yet.
    pub fn new(
        own_id: InstanceId,
        own_zone: ZoneName,
        clock: ProcessClock,
        codec: DatagramCodec,
    ) -> Rc<Self> {
        Rc::new(Self {
            peers: RefCell::new(PeerTable::new(own_id.clone())),
            own_id,
            own_zone,
            clock,
            codec: RefCell::new(codec),
            ranks: RefCell::new(RankTable::new()),
            drain: RefCell::new(DrainState::new()),
            silent_since: RefCell::default(),
            ranks_listener: RefCell::default(),
            newer_version_listener: RefCell::default(),
            sent_bytes: Cell::new(0),
        })
    }

    /// Sets the function that is called after ranks have changed.
    pub fn on_ranks_changed(&self, listener: Box<dyn Fn()>) {
        *self.ranks_listener.borrow_mut() = Some(listener);
    }

    /// Sets the function that is called with the address of a peer with a newer configuration.
    pub fn on_newer_version(&self, listener: Box<dyn Fn(SocketAddr)>) {
        *self.newer_version_listener.borrow_mut() = Some(listener);
    }

    /// Applies the fleet and the zones of a configuration.
    pub fn apply_document(&self, document: &ConfigDocument) {
        let now = self.clock.now();
        self.peers.borrow_mut().apply_document(document, now);
        self.ranks.borrow_mut().apply_document(document, now);
        self.silent_since
            .borrow_mut()
            .retain(|(id, _)| document.fleet.contains_key(id));
        let own = document.fleet.get(&self.own_id);
        self.set_drain(DrainCause::ZoneOut, !document.is_zone_in(&self.own_zone));
        self.set_drain(
            DrainCause::Operator,
            own.is_some_and(|member| member.draining),
        );
        self.notify_ranks_changed();
    }

    /// Starts draining because the process is terminating.
    pub fn begin_shutdown(&self) {
        self.set_drain(DrainCause::Terminated, true);
        self.notify_ranks_changed();
    }

    /// Returns the gateway and the backup of a database.
    pub fn gateways(&self, database: &DatabaseName) -> RankedInstances {
        self.ranks.borrow_mut().gateways(database)
    }

    /// Returns the rank of this instance for a database.
    pub fn own_rank(&self, database: &DatabaseName) -> Option<u32> {
        let ranked = self.gateways(database);
        let rank = ranked.iter().position(|id| *id == self.own_id)?;
        u32::try_from(rank).ok()
    }

    /// Returns the owners of an account's token bucket.
    pub fn rate_owners(&self, account: &AccountName) -> RankedInstances {
        self.ranks.borrow_mut().rate_owners(account)
    }

    /// Returns whether this instance watches the platform for its zone.
    pub fn is_watcher(&self) -> bool {
        let watchers = self.ranks.borrow_mut().watchers(&self.own_zone);
        watchers.is_empty() || watchers.contains(&self.own_id)
    }

    /// Returns the watchers of the own zone with their addresses.
    pub fn watcher_addresses(&self) -> Vec<(InstanceId, SocketAddr)> {
        let watchers = self.ranks.borrow_mut().watchers(&self.own_zone);
        let peers = self.peers.borrow();
        let address = |id: InstanceId| {
            let address = peers.address(&id)?;
            Some((id, address))
        };
        watchers.into_iter().filter_map(address).collect()
    }

    /// Returns the address of another instance of the fleet.
    pub fn address(&self, instance: &InstanceId) -> Option<SocketAddr> {
        self.peers.borrow().address(instance)
    }

    /// Returns the address of an instance, including one that has left the fleet but may still be
    /// finishing its work.
    pub fn last_known_address(&self, instance: &InstanceId) -> Option<SocketAddr> {
        self.peers
            .borrow()
            .last_known_address(instance, self.clock.now())
    }

    /// Returns whether an instance of the fleet stopped sending heartbeats without draining first.
    pub fn is_lost(&self, instance: &InstanceId) -> bool {
        let peers = self.peers.borrow();
        peers.state(instance) == Some(InstanceState::Serving) && !peers.is_live(instance)
    }

    /// Returns whether heartbeats of an instance arrive.
    pub fn is_live(&self, instance: &InstanceId) -> bool {
        self.peers.borrow().is_live(instance)
    }

    /// Returns how a new request of a caller is handled.
    pub fn admission(&self) -> WorkAdmission {
        self.drain.borrow().admission(self.clock.now())
    }

    /// Returns the error for a request that is refused because of draining.
    pub fn refusal(&self) -> RequestError {
        self.drain.borrow().refusal()
    }

    /// Returns whether the load balancer may send requests to this instance.
    pub fn is_ready(&self) -> bool {
        self.drain.borrow().is_ready()
    }

    /// Returns whether the process is terminating.
    pub fn is_terminating(&self) -> bool {
        self.drain.borrow().is_terminating()
    }

    /// Returns whether draining is complete.
    pub fn is_drained(&self, in_flight: usize) -> bool {
        self.drain.borrow().is_finished(in_flight, self.clock.now())
    }

    /// Returns the lost instances of the fleet.
    ///
    /// Only the live instance with the smallest identifier returns any, so that only one instance
    /// removes them.
    pub fn lost_members(&self, document: &ConfigDocument) -> Vec<InstanceId> {
        let now = self.clock.now();
        let first_live = document.fleet.keys().find(|id| self.is_live(id));
        if first_live != Some(&self.own_id) {
            return Vec::new();
        }
        let silent = self.silent_since.borrow();
        let is_lost = |(id, since): &&(InstanceId, MonotonicTime)| {
            now.since(*since) >= LOST_TIMEOUT && document.fleet.contains_key(id)
        };
        silent
            .iter()
            .filter(is_lost)
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Returns the number of instances in the fleet and of those that are live.
    pub fn peer_counts(&self, document: &ConfigDocument) -> (usize, usize) {
        let live = document.fleet.keys().filter(|id| self.is_live(id)).count();
        (document.fleet.len(), live)
    }

    /// Returns the bytes of heartbeats sent so far.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.get()
    }

    /// Returns the number of rejected datagrams.
    pub fn rejected_datagrams(&self) -> u64 {
        self.codec.borrow().rejected().total()
    }

    /// Sends heartbeats and detects peers that stopped sending them.
    pub async fn run(self: Rc<Self>, socket: Rc<UdpSocket>, status: Rc<dyn Fn() -> OwnStatus>) {
        ntex::rt::spawn(self.clone().receive(socket.clone(), status.clone()));
        loop {
            tokio::time::sleep(TICK_INTERVAL).await;
            let now = self.clock.now();
            self.ranks.borrow_mut().advance(now);
            let changes = self.peers.borrow_mut().advance(now);
            for change in &changes {
                log::info!(
                    "membership: {} live={} state={:?}",
                    change.instance,
                    change.live,
                    change.state
                );
                self.ranks.borrow_mut().apply_change(change);
                let mut silent = self.silent_since.borrow_mut();
                silent.retain(|(id, _)| *id != change.instance);
                if !change.live {
                    silent.push((change.instance.clone(), now));
                }
            }
            if !changes.is_empty() {
                self.notify_ranks_changed();
            }
            let heartbeat = self.peers.borrow_mut().next_heartbeat(status(), now);
            let Some(heartbeat) = heartbeat else { continue };
            let targets = self
                .peers
                .borrow_mut()
                .heartbeat_targets(&mut self.ranks.borrow_mut());
            let datagram = Datagram::Heartbeat(heartbeat);
            for (_, address) in targets {
                self.send(&socket, address, &datagram).await;
            }
        }
    }

    async fn receive(self: Rc<Self>, socket: Rc<UdpSocket>, status: Rc<dyn Fn() -> OwnStatus>) {
        // One byte more than allowed, so that longer datagrams are detected.
        let mut buffer = vec![0; MAX_DATAGRAM_LENGTH + 1];
        loop {
            let Ok((length, address)) = socket.recv_from(&mut buffer).await else {
                continue;
            };
            let decoded = self
                .codec
                .borrow_mut()
                .decode::<Datagram>(&buffer[..length]);
            let Ok(received) = decoded else { continue };
            let now = self.clock.now();
            let own = status();
            let newer = match received.message {
                Datagram::Heartbeat(heartbeat) => {
                    let ack = self
                        .peers
                        .borrow_mut()
                        .handle_heartbeat(&heartbeat, own, now);
                    if let Ok(ack) = ack {
                        self.send(&socket, address, &Datagram::Ack(ack)).await;
                    }
                    heartbeat.config_version > own.config_version
                }
                Datagram::Ack(ack) => {
                    // Acknowledgements of a fleet version that is not applied here are ignored.
                    let _ = self.peers.borrow_mut().handle_ack(&ack, now);
                    ack.config_version > own.config_version
                }
            };
            if newer && let Some(listener) = &*self.newer_version_listener.borrow() {
                listener(address);
            }
        }
    }

    async fn send(&self, socket: &UdpSocket, address: SocketAddr, datagram: &Datagram) {
        let encoded = self.codec.borrow_mut().encode(datagram);
        match encoded {
            Ok(bytes) => {
                self.sent_bytes
                    .set(self.sent_bytes.get() + bytes.len() as u64);
                // A lost heartbeat is not sent again, because the next one follows.
                let _ = socket.send_to(&bytes, address).await;
            }
            Err(error) => log::error!("membership: heartbeat not encoded: {error}"),
        }
    }

    fn set_drain(&self, cause: DrainCause, active: bool) {
        let mut drain = self.drain.borrow_mut();
        let was_ready = drain.is_ready();
        if active {
            drain.begin(cause, self.clock.now());
        } else {
            drain.end(cause);
        }
        let is_ready = drain.is_ready();
        self.ranks
            .borrow_mut()
            .set_available(&self.own_id, is_ready);
        if was_ready != is_ready {
            log::info!("membership: ready={is_ready} cause={cause:?}");
        }
    }

    fn notify_ranks_changed(&self) {
        if let Some(listener) = &*self.ranks_listener.borrow() {
            listener();
        }
    }

    /// Returns the drain state to report in heartbeats.
    pub fn own_state(&self, in_flight: usize) -> InstanceState {
        self.drain.borrow().state(in_flight, self.clock.now())
    }
}
