//! Counters of the messages between instances and of the exchanges with members, by kind and by
//! whether the other side is in the own availability zone.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;

use coriander_service_api::InstanceEntry;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct TrafficLabels {
    kind: &'static str,
    direction: &'static str,
    zone: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct TargetLabels {
    target: &'static str,
    zone: &'static str,
}

/// Whether the other side of a message is in the availability zone of this instance.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ZoneRelation {
    /// In the same one.
    Own,
    /// In another one.
    Other,
    /// Not known: the other side is not registered.
    #[default]
    Unknown,
}

impl ZoneRelation {
    /// Compares a zone with that of this instance.
    pub fn new(own: &str, other: &str) -> Self {
        if own == other { Self::Own } else { Self::Other }
    }

    const fn label(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Other => "other",
            Self::Unknown => "unknown",
        }
    }
}

/// Counters of messages between instances. Copies share their counts.
#[derive(Clone, Debug, Default)]
pub struct PeerTraffic {
    messages: Family<TrafficLabels, Counter>,
    bytes: Family<TrafficLabels, Counter>,
    read_targets: Family<TargetLabels, Counter>,
    zones: Rc<RefCell<HashMap<IpAddr, ZoneRelation>>>,
}

impl PeerTraffic {
    /// Adds the counters to a registry.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "peer_messages",
            "Messages between instances and exchanges with members, by kind, direction and zone",
            self.messages.clone(),
        );
        registry.register(
            "peer_bytes",
            "Bytes of messages between instances and of exchanges with members, by kind, direction \
             and zone, without headers of the network",
            self.bytes.clone(),
        );
        registry.register(
            "read_targets",
            "Members chosen for reads, by why and by zone",
            self.read_targets.clone(),
        );
    }

    /// Counts the choice of a member for a read.
    pub fn count_read_target(&self, target: &'static str, zone: ZoneRelation) {
        let labels = TargetLabels {
            target,
            zone: zone.label(),
        };
        self.read_targets.get_or_create(&labels).inc();
    }

    /// Sets the instances, whose addresses tell in which zone the other side of a message is.
    pub fn set_instances(&self, instances: &[InstanceEntry], own_name: &str) {
        let own = instances.iter().find(|entry| &*entry.id == own_name);
        let relation = |entry: &InstanceEntry| match own {
            Some(own) => ZoneRelation::new(&own.zone, &entry.zone),
            None => ZoneRelation::Unknown,
        };
        let zones = instances
            .iter()
            .map(|entry| (entry.address.ip(), relation(entry)));
        *self.zones.borrow_mut() = zones.collect();
    }

    /// Counts a message that was sent to an instance.
    pub fn count_sent(&self, kind: &'static str, receiver: IpAddr, bytes: usize) {
        self.count(kind, "sent", self.relation(receiver), bytes);
    }

    /// Counts a message that was received from an instance.
    pub fn count_received(&self, kind: &'static str, sender: IpAddr, bytes: usize) {
        self.count(kind, "received", self.relation(sender), bytes);
    }

    /// Counts an exchange with a member: the bytes of the statement and of its reply.
    pub fn count_member(&self, zone: ZoneRelation, sent: usize, received: usize) {
        self.count("member", "sent", zone, sent);
        self.count("member", "received", zone, received);
    }

    /// Returns whether an instance is known to be in another zone.
    pub fn is_other_zone(&self, address: IpAddr) -> bool {
        self.relation(address) == ZoneRelation::Other
    }

    fn relation(&self, address: IpAddr) -> ZoneRelation {
        let zones = self.zones.borrow();
        zones.get(&address).copied().unwrap_or_default()
    }

    fn count(&self, kind: &'static str, direction: &'static str, zone: ZoneRelation, bytes: usize) {
        let labels = TrafficLabels {
            kind,
            direction,
            zone: zone.label(),
        };
        self.messages.get_or_create(&labels).inc();
        self.bytes.get_or_create(&labels).inc_by(bytes as u64);
    }
}
