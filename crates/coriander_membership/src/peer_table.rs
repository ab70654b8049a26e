//! Liveness of the other instances of the fleet, and the heartbeats between instances.

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

/// Heartbeat period in a fleet in which each instance sends to every other.
const MESH_PERIOD: Duration = Duration::from_millis(200);

/// Minimum heartbeat period in a larger fleet.
const MIN_PERIOD: Duration = Duration::from_millis(400);

/// Maximum heartbeat period; with one lost heartbeat, the next still arrives within the freshness
/// period of 2 s.
const MAX_PERIOD: Duration = Duration::from_millis(850);

/// Heartbeat period per instance of the fleet. It limits the heartbeats per second that a watcher
/// receives from its zone.
const PERIOD_PER_PEER: Duration = Duration::from_micros(500);

/// Maximum fleet size in which every instance sends heartbeats to every other.
const MAX_MESH_SIZE: usize = 8;

/// Number of successors on the ring to which an instance sends heartbeats.
const RING_NEIGHBORS: usize = 3;

/// Time within which a configuration reaches all instances.
const CONFIG_PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// Number of messages that carry a notice.
const NOTICE_REPEATS: u32 = 24;

/// Reason why a heartbeat or acknowledgement was rejected.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum HeartbeatError {
    /// The sender is not in the applied fleet section.
    #[error("heartbeat from an instance outside the fleet")]
    UnknownSender,
    /// The heartbeat is a duplicate or arrived after a newer one.
    #[error("heartbeat with an old sequence")]
    OldSequence,
}

/// Change of a peer's liveness or state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerChange {
    /// Peer that changed.
    pub instance: InstanceId,
    /// Whether the peer is live.
    pub live: bool,
    /// State that the peer reported last.
    pub state: InstanceState,
}

/// State of the other instances, as recorded by the own instance.
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
    /// All instances of the fleet, sorted by hash.
    ring: Vec<InstanceId>,
    sequence: u64,
    next_round: MonotonicTime,
    notices: VecDeque<(PeerNotice, u32)>,
    /// Instances that have left the fleet and may still have work in flight, with their address
    /// and the time at which they left.
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

    /// Applies the fleet section. Peers that remain in the fleet keep their state.
    pub fn apply_document(&mut self, document: &ConfigDocument, now: MonotonicTime) {
        let own_member = document.fleet.get(&self.own_id);
        self.own_zone = own_member.map(|member| member.zone.clone());
        self.departed.retain(|id, (_, left_at)| {
            !document.fleet.contains_key(id) && now.since(*left_at) <= DRAIN_TIMEOUT
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
            let new_entry = || PeerEntry::new(member);
            let entry = self.peers.entry(id.clone()).or_insert_with(new_entry);
            entry.zone = member.zone.clone();
            entry.address = member.peer_address;
        }
        self.ring = document.fleet.keys().cloned().collect();
        self.ring.sort_by_key(|id| (ring_position(id), id.clone()));
        let period = self.period();
        let senders = self.expected_senders();
        // A new neighbor sends heartbeats only after it has applied the configuration too.
        let start = now + CONFIG_PROPAGATION_TIME;
        for (id, entry) in &mut self.peers {
            let expected = senders.contains(id);
            if expected && !entry.expects_heartbeats {
                entry.arrivals = Some(ArrivalWindow::new(period, start));
            } else if self.own_zone.is_none() || (entry.expects_heartbeats && !expected) {
                entry.arrivals = None;
            }
            entry.expects_heartbeats = expected;
        }
    }

    /// Returns the time between two rounds of heartbeats.
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

    /// Returns the targets of the next heartbeat: all peers in a small fleet, else a watcher of the
    /// own zone and the ring successors. A watcher sends to all watchers of its zone and also to
    /// one watcher of each other zone.
    ///
    /// The two watchers of a zone are targets in alternate rounds, which halves the heartbeats that
    /// each of them receives. Watchers need not detect failures quickly, because the ring
    /// successors do.
    pub fn heartbeat_targets(&mut self, ranks: &mut RankTable) -> Vec<(InstanceId, SocketAddr)> {
        let mut targets: SmallVec<[InstanceId; 32]> = SmallVec::new();
        if self.ring.len() <= MAX_MESH_SIZE {
            targets.extend(self.peers.keys().cloned());
        } else if let Some(zone) = &self.own_zone.clone() {
            targets.extend(self.ring_successors());
            let watchers = ranks.watchers(zone);
            let round_parity = usize::try_from(self.sequence % 2).unwrap_or(0);
            if watchers.contains(&self.own_id) {
                let zones: Vec<ZoneName> = ranks.zones().cloned().collect();
                let others = zones.iter().filter(|other| *other != zone);
                let others: Vec<_> = others.map(|other| ranks.watchers(other)).collect();
                let alternating_watchers = others
                    .iter()
                    .filter_map(|w| w.get(round_parity % w.len().max(1)));
                targets.extend(alternating_watchers.cloned());
                targets.extend(watchers);
                self.drop_unexpected_arrivals(|id, entry| {
                    entry.zone == *zone || others.iter().any(|watchers| watchers.contains(id))
                });
            } else {
                targets.extend(watchers.get(round_parity % watchers.len().max(1)).cloned());
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

    /// Handles a heartbeat and returns the acknowledgement to send to its sender.
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

    /// Handles the acknowledgement of an own heartbeat.
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

    /// Marks an instance that the platform lists as draining. The list may be older than the last
    /// heartbeat, so a later state is kept.
    pub fn mark_draining(&mut self, instance: &InstanceId) {
        if let Some(entry) = self.peers.get_mut(instance) {
            entry.state = entry.state.max(InstanceState::Draining);
        }
    }

    /// Detects peers that have timed out and returns all changes since the last call.
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

    /// Returns whether a peer is live; the own instance always is.
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

    /// Returns the address of a peer, or of an instance that has left the fleet and may still have
    /// work in flight.
    pub fn last_known_address(
        &self,
        instance: &InstanceId,
        now: MonotonicTime,
    ) -> Option<SocketAddr> {
        let departed = self.departed.get(instance);
        let departed = departed.filter(|(_, left_at)| now.since(*left_at) <= DRAIN_TIMEOUT);
        self.address(instance)
            .or_else(|| departed.map(|(address, _)| *address))
    }

    /// Returns the live peer with the newest configuration version, from which it can be fetched.
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

    /// Returns the time between two heartbeats of a peer to this instance. Peers other than ring
    /// predecessors send to the two watchers of a zone in alternate rounds.
    fn period_from(&self, peer: &InstanceId) -> Duration {
        let entry = self.peers.get(peer);
        if self.ring.len() <= MAX_MESH_SIZE || entry.is_some_and(|entry| entry.expects_heartbeats) {
            return self.period();
        }
        self.period() * 2
    }

    /// Returns the peers whose heartbeats are expected from the start: all in a small fleet, else
    /// the ring predecessors. A watcher expects the others of its zone from their first heartbeat.
    fn expected_senders(&self) -> SmallVec<[InstanceId; 8]> {
        if self.ring.len() <= MAX_MESH_SIZE {
            return self.peers.keys().cloned().collect();
        }
        let Some(own_index) = self.ring.iter().position(|id| *id == self.own_id) else {
            return SmallVec::new();
        };
        let count = self.ring.len();
        (1..=RING_NEIGHBORS)
            .map(|step| self.ring[(own_index + count - step) % count].clone())
            .collect()
    }

    fn ring_successors(&self) -> SmallVec<[InstanceId; 4]> {
        let Some(own_index) = self.ring.iter().position(|id| *id == self.own_id) else {
            return SmallVec::new();
        };
        let count = self.ring.len();
        (1..=RING_NEIGHBORS)
            .map(|step| self.ring[(own_index + step) % count].clone())
            .collect()
    }

    /// Stops expecting heartbeats of peers that sent them to a watcher, if this instance or the
    /// peer is no longer a watcher.
    fn drop_unexpected_arrivals(&mut self, sends_here: impl Fn(&InstanceId, &PeerEntry) -> bool) {
        for (id, entry) in &mut self.peers {
            if entry.arrivals.is_some() && !entry.expects_heartbeats && !sends_here(id, entry) {
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
            // A notice with a newer heartbeat corrects the wrong one at all instances that received
            // it.
            if notice.timed_out
                && entry.is_receiving_heartbeats(now)
                && entry.sequence > notice.sequence
            {
                let correction = entry.to_notice(&notice.instance);
                self.add_notice(correction);
            }
        }
    }

    /// Adds a notice for the next messages; it replaces an older one about the same instance.
    fn add_notice(&mut self, notice: PeerNotice) {
        let is_same = |(old, _): &(PeerNotice, u32)| *old == notice;
        if !self.notices.iter().any(is_same) {
            self.notices
                .retain(|(old, _)| old.instance != notice.instance);
            self.notices.push_back((notice, NOTICE_REPEATS));
        }
    }

    /// Returns the notices for one message. Each is repeated because messages can be lost.
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

fn ring_position(id: &InstanceId) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(id.as_str().as_bytes());
    hasher.finish()
}
