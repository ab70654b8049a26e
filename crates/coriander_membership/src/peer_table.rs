//! The other instances of the fleet, their liveness and the heartbeats between them.

use std::collections::{BTreeMap, VecDeque};
use std::hash::Hasher;
use std::net::SocketAddr;
use std::time::Duration;

use coriander_core::{ConfigDocument, ConfigVersion, InstanceId, MonotonicTime, ZoneName};
use siphasher::sip::SipHasher13;
use smallvec::SmallVec;
use thiserror::Error;

use crate::drain_state::DRAIN_TIMEOUT;
use crate::heartbeat::MAX_NOTICES;
use crate::peer_entry::PeerEntry;
use crate::{
    ArrivalWindow, Heartbeat, HeartbeatAck, InstanceState, OwnStatus, PeerNotice, RankTable,
};

/// Time between heartbeats in a fleet in which each instance sends to every other.
const MESH_PERIOD: Duration = Duration::from_millis(200);

/// Shortest time between heartbeats in a larger fleet.
const MIN_PERIOD: Duration = Duration::from_millis(400);

/// Longest time between heartbeats; a lost one still fits into the freshness period of 2 s.
const MAX_PERIOD: Duration = Duration::from_millis(850);

/// Heartbeat time per instance of the fleet. It bounds the heartbeats that a watcher receives
/// from its zone per second.
const PERIOD_PER_PEER: Duration = Duration::from_micros(500);

/// Fleet size up to which every instance sends heartbeats to every other.
const MAX_MESH_SIZE: usize = 8;

/// Following instances on the ring that get heartbeats.
const RING_NEIGHBOURS: usize = 3;

/// Time within which a configuration reaches all instances.
const CONFIG_PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// Messages in which a change is passed on.
const NOTICE_REPEATS: u32 = 24;

/// A heartbeat that was not taken over.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum HeartbeatError {
    /// The sender is not in the fleet section in force here.
    #[error("heartbeat of an instance outside the fleet")]
    UnknownSender,
    /// The heartbeat came twice or later than its successor.
    #[error("heartbeat with an old sequence")]
    OldSequence,
}

/// Change of a peer's liveness or state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerChange {
    /// The peer.
    pub instance: InstanceId,
    /// Whether the peer is heard.
    pub live: bool,
    /// State that the peer reported last.
    pub state: InstanceState,
}

/// What the own instance knows about the others.
///
/// ```
/// use coriander_core::MonotonicTime;
/// use coriander_membership::{OwnStatus, PeerTable};
///
/// let mut peers = PeerTable::new("i-0".parse()?);
/// let now = MonotonicTime::from_millis(10);
/// assert!(peers.next_heartbeat(OwnStatus::default(), now).is_none(), "not in the fleet yet");
/// # Ok::<(), coriander_core::NameError>(())
/// ```
#[derive(Clone, Debug)]
pub struct PeerTable {
    own_id: InstanceId,
    own_zone: Option<ZoneName>,
    peers: BTreeMap<InstanceId, PeerEntry>,
    /// All instances of the fleet in the order of their hashes.
    ring: Vec<InstanceId>,
    sequence: u64,
    next_round: MonotonicTime,
    notices: VecDeque<(PeerNotice, u32)>,
    /// Instances that have left the fleet and may still finish work, with the time they left.
    departed: BTreeMap<InstanceId, (SocketAddr, MonotonicTime)>,
}

impl PeerTable {
    /// Creates the table of an instance, without peers.
    pub fn new(own_id: InstanceId) -> Self {
        Self {
            own_id,
            own_zone: None,
            peers: BTreeMap::new(),
            ring: Vec::new(),
            sequence: 0,
            next_round: MonotonicTime::ZERO,
            notices: VecDeque::new(),
            departed: BTreeMap::new(),
        }
    }

    /// Takes over the fleet section. Kept peers keep their state.
    pub fn apply_document(&mut self, document: &ConfigDocument, now: MonotonicTime) {
        let own_id = document.fleet.get(&self.own_id);
        self.own_zone = own_id.map(|member| member.zone.clone());
        self.departed.retain(|id, (_, left)| {
            !document.fleet.contains_key(id) && now.since(*left) <= DRAIN_TIMEOUT
        });
        for (id, entry) in &self.peers {
            if !document.fleet.contains_key(id) {
                self.departed.insert(id.clone(), (entry.address, now));
            }
        }
        self.peers.retain(|id, _| document.fleet.contains_key(id));
        for (id, member) in &document.fleet {
            if *id == self.own_id {
                continue;
            }
            let fresh = || PeerEntry::new(member);
            let entry = self.peers.entry(id.clone()).or_insert_with(fresh);
            entry.zone = member.zone.clone();
            entry.address = member.peer_address;
        }
        self.ring = document.fleet.keys().cloned().collect();
        self.ring.sort_by_key(|id| (ring_hash(id), id.clone()));
        let period = self.period();
        let senders = self.expected_senders();
        // A new neighbour sends here only after it has applied the configuration too.
        let start = now + CONFIG_PROPAGATION_TIME;
        for (id, entry) in &mut self.peers {
            let expected = senders.contains(id);
            if expected && !entry.expected {
                entry.arrivals = Some(ArrivalWindow::new(period, start));
            } else if self.own_zone.is_none() || (entry.expected && !expected) {
                entry.arrivals = None;
            }
            entry.expected = expected;
        }
    }

    /// Time between two rounds of heartbeats.
    pub fn period(&self) -> Duration {
        if self.ring.len() <= MAX_MESH_SIZE {
            return MESH_PERIOD;
        }
        let peers = u32::try_from(self.ring.len()).unwrap_or(u32::MAX);
        PERIOD_PER_PEER
            .saturating_mul(peers)
            .clamp(MIN_PERIOD, MAX_PERIOD)
    }

    /// Returns the time of the next round of heartbeats.
    pub fn next_round(&self) -> MonotonicTime {
        self.next_round
    }

    /// Returns the heartbeat to send to all targets if a round is due.
    pub fn next_heartbeat(&mut self, status: OwnStatus, now: MonotonicTime) -> Option<Heartbeat> {
        let zone = self.own_zone.clone()?;
        if now < self.next_round {
            return None;
        }
        self.next_round = now + self.period();
        self.sequence += 1;
        Some(Heartbeat {
            instance: self.own_id.clone(),
            zone,
            sequence: self.sequence,
            fleet_version: status.fleet_version,
            config_version: status.config_version,
            confirmed_age: status.confirmed_age,
            state: status.state,
            sent: now.since_start(),
            notices: self.take_notices(),
        })
    }

    /// Returns the peers that get heartbeats: all in a small fleet, else the watchers of the own
    /// zone and ring neighbours. A watcher also sends to the watchers of the other zones.
    ///
    /// The watchers of a zone take turns, which halves what each of them receives. They need not
    /// detect failures fast, because the ring neighbours do.
    pub fn heartbeat_targets(&mut self, ranks: &mut RankTable) -> Vec<(InstanceId, SocketAddr)> {
        let mut targets: SmallVec<[InstanceId; 32]> = SmallVec::new();
        if self.ring.len() <= MAX_MESH_SIZE {
            targets.extend(self.peers.keys().cloned());
        } else if let Some(zone) = &self.own_zone.clone() {
            targets.extend(self.ring_successors());
            let watchers = ranks.watchers(zone);
            let turn = usize::try_from(self.sequence % 2).unwrap_or(0);
            if watchers.contains(&self.own_id) {
                let zones: Vec<ZoneName> = ranks.zones().cloned().collect();
                let others = zones.iter().filter(|other| *other != zone);
                let others: Vec<_> = others.map(|other| ranks.watchers(other)).collect();
                let one_each = others.iter().filter_map(|w| w.get(turn % w.len().max(1)));
                targets.extend(one_each.cloned());
                targets.extend(watchers);
                self.drop_unexpected_arrivals(|id, entry| {
                    entry.zone == *zone || others.iter().any(|watchers| watchers.contains(id))
                });
            } else {
                targets.extend(watchers.get(turn % watchers.len().max(1)).cloned());
                self.drop_unexpected_arrivals(|_, _| false);
            }
        }
        targets.sort();
        targets.dedup();
        let address = |id: InstanceId| {
            let address = self.peers.get(&id)?.address;
            Some((id, address))
        };
        targets.into_iter().filter_map(address).collect()
    }

    /// Takes over a heartbeat and returns the acknowledgement to send to its sender.
    pub fn handle_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        status: OwnStatus,
        now: MonotonicTime,
    ) -> Result<HeartbeatAck, HeartbeatError> {
        let period = self.period_from(&heartbeat.instance);
        let entry = self.peers.get_mut(&heartbeat.instance);
        let entry = entry.ok_or(HeartbeatError::UnknownSender)?;
        if !entry.is_new(heartbeat.sequence) {
            return Err(HeartbeatError::OldSequence);
        }
        entry.record_heartbeat(heartbeat, period, now);
        self.apply_notices(&heartbeat.notices, now);
        Ok(HeartbeatAck {
            instance: self.own_id.clone(),
            sequence: heartbeat.sequence,
            sent: heartbeat.sent,
            fleet_version: status.fleet_version,
            config_version: status.config_version,
            confirmed_age: status.confirmed_age,
            notices: self.take_notices(),
        })
    }

    /// Takes over the acknowledgement of an own heartbeat.
    pub fn handle_ack(
        &mut self,
        ack: &HeartbeatAck,
        now: MonotonicTime,
    ) -> Result<(), HeartbeatError> {
        let entry = self.peers.get_mut(&ack.instance);
        let entry = entry.ok_or(HeartbeatError::UnknownSender)?;
        if ack.sequence > self.sequence {
            return Err(HeartbeatError::OldSequence);
        }
        entry.record_ack(ack, now.since_start());
        self.apply_notices(&ack.notices, now);
        Ok(())
    }

    /// Takes over the platform's list of leaving instances, which may lag behind heartbeats.
    pub fn mark_draining(&mut self, instance: &InstanceId) {
        if let Some(entry) = self.peers.get_mut(instance) {
            entry.state = entry.state.max(InstanceState::Draining);
        }
    }

    /// Detects silent peers and returns all changes since the last call.
    pub fn advance(&mut self, now: MonotonicTime) -> Vec<PeerChange> {
        let mut changes = Vec::new();
        let mut notices = Vec::new();
        for (id, entry) in &mut self.peers {
            if entry.advance(now) {
                changes.push(PeerChange {
                    instance: id.clone(),
                    live: entry.live,
                    state: entry.state,
                });
                notices.push(entry.to_notice(id));
            }
        }
        for notice in notices {
            self.add_notice(notice);
        }
        changes
    }

    /// Returns whether a peer is heard and serving; the own instance is always heard.
    pub fn is_live(&self, instance: &InstanceId) -> bool {
        *instance == self.own_id || self.peers.get(instance).is_some_and(|entry| entry.live)
    }

    /// Returns the state that a peer reported last.
    pub fn state(&self, instance: &InstanceId) -> Option<InstanceState> {
        self.peers.get(instance).map(|entry| entry.state)
    }

    /// Returns the measured one-way delay to a peer.
    pub fn delay(&self, instance: &InstanceId) -> Option<Duration> {
        self.peers.get(instance).and_then(|entry| entry.delay)
    }

    /// Returns the address of a peer.
    pub fn address(&self, instance: &InstanceId) -> Option<SocketAddr> {
        self.peers.get(instance).map(|entry| entry.address)
    }

    /// Returns the address of a peer, or of one that has left the fleet and may still finish the
    /// work that it holds.
    pub fn last_address(&self, instance: &InstanceId, now: MonotonicTime) -> Option<SocketAddr> {
        let departed = self.departed.get(instance);
        let departed = departed.filter(|(_, left)| now.since(*left) <= DRAIN_TIMEOUT);
        self.address(instance)
            .or_else(|| departed.map(|(address, _)| *address))
    }

    /// Returns the live peer with the greatest configuration version, from which to fetch it.
    pub fn newest_version(&self) -> Option<(&InstanceId, ConfigVersion)> {
        let live = self.peers.iter().filter(|(_, entry)| entry.live);
        live.map(|(id, entry)| (id, entry.config_version))
            .max_by_key(|(_, version)| *version)
    }

    /// Returns the number of peers.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Returns whether there are no peers.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Time between two heartbeats of a peer to this instance. Other than ring predecessors, peers
    /// send to the two watchers of a zone in turn.
    fn period_from(&self, peer: &InstanceId) -> Duration {
        let entry = self.peers.get(peer);
        if self.ring.len() <= MAX_MESH_SIZE || entry.is_some_and(|entry| entry.expected) {
            return self.period();
        }
        self.period() * 2
    }

    /// Peers whose silence is meaningful from the start: all in a small fleet, else the ring
    /// predecessors. A watcher learns of the others in its zone by their first heartbeat.
    fn expected_senders(&self) -> SmallVec<[InstanceId; 8]> {
        if self.ring.len() <= MAX_MESH_SIZE {
            return self.peers.keys().cloned().collect();
        }
        let Some(own_id) = self.ring.iter().position(|id| *id == self.own_id) else {
            return SmallVec::new();
        };
        let count = self.ring.len();
        (1..=RING_NEIGHBOURS)
            .map(|step| self.ring[(own_id + count - step) % count].clone())
            .collect()
    }

    fn ring_successors(&self) -> SmallVec<[InstanceId; 4]> {
        let Some(own_id) = self.ring.iter().position(|id| *id == self.own_id) else {
            return SmallVec::new();
        };
        let count = self.ring.len();
        (1..=RING_NEIGHBOURS)
            .map(|step| self.ring[(own_id + step) % count].clone())
            .collect()
    }

    /// Stops waiting for heartbeats of peers that sent them because of a watcher's duty that has
    /// ended, here or there.
    fn drop_unexpected_arrivals(&mut self, sends_here: impl Fn(&InstanceId, &PeerEntry) -> bool) {
        for (id, entry) in &mut self.peers {
            if entry.arrivals.is_some() && !entry.expected && !sends_here(id, entry) {
                entry.arrivals = None;
            }
        }
    }

    fn apply_notices(&mut self, notices: &[PeerNotice], now: MonotonicTime) {
        for notice in notices.iter().take(MAX_NOTICES) {
            let Some(entry) = self.peers.get_mut(&notice.instance) else {
                continue;
            };
            entry.apply_notice(notice, now);
            // Own evidence refutes the notice wherever it has spread.
            if notice.silent
                && entry.is_receiving_heartbeats(now)
                && entry.sequence > notice.sequence
            {
                let refutation = entry.to_notice(&notice.instance);
                self.add_notice(refutation);
            }
        }
    }

    /// Passes a notice on; it replaces an older one about the same instance.
    fn add_notice(&mut self, notice: PeerNotice) {
        let known = |(old, _): &(PeerNotice, u32)| *old == notice;
        if !self.notices.iter().any(known) {
            self.notices
                .retain(|(old, _)| old.instance != notice.instance);
            self.notices.push_back((notice, NOTICE_REPEATS));
        }
    }

    /// Takes the notices for one message; each is repeated because messages can be lost.
    fn take_notices(&mut self) -> SmallVec<[PeerNotice; 2]> {
        let mut taken = SmallVec::new();
        for _ in 0..self.notices.len().min(MAX_NOTICES) {
            if let Some((notice, repeats)) = self.notices.pop_front() {
                taken.push(notice.clone());
                if repeats > 1 {
                    self.notices.push_back((notice, repeats - 1));
                }
            }
        }
        taken
    }
}

fn ring_hash(id: &InstanceId) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(id.as_str().as_bytes());
    hasher.finish()
}
