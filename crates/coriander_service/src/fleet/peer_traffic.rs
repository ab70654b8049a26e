//! Counters of the messages between instances, by kind.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct TrafficLabels {
    kind: &'static str,
    direction: &'static str,
}

/// Counters of messages between instances. Copies share their counts.
#[derive(Clone, Debug, Default)]
pub struct PeerTraffic {
    messages: Family<TrafficLabels, Counter>,
    bytes: Family<TrafficLabels, Counter>,
}

impl PeerTraffic {
    /// Adds the counters to a registry.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "peer_messages",
            "Messages between instances by kind and direction",
            self.messages.clone(),
        );
        registry.register(
            "peer_bytes",
            "Bytes of messages between instances by kind and direction, without headers of the \
             network",
            self.bytes.clone(),
        );
    }

    /// Counts a message that was sent.
    pub fn count_sent(&self, kind: &'static str, bytes: usize) {
        self.count(kind, "sent", bytes);
    }

    /// Counts a message that was received.
    pub fn count_received(&self, kind: &'static str, bytes: usize) {
        self.count(kind, "received", bytes);
    }

    fn count(&self, kind: &'static str, direction: &'static str, bytes: usize) {
        let labels = TrafficLabels { kind, direction };
        self.messages.get_or_create(&labels).inc();
        self.bytes.get_or_create(&labels).inc_by(bytes as u64);
    }
}
