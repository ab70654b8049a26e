//! Metrics in the Prometheus text format.

use std::fmt::Write;
use std::time::Duration;

use coriander_core::ClassName;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::peer::ServedBy;

/// Labels of a finished request.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RequestLabels {
    class: String,
    code: String,
}

impl RequestLabels {
    /// Creates labels; `code` is `OK` or the error code.
    pub fn new(class: &ClassName, code: &str) -> Self {
        Self {
            class: class.to_string(),
            code: code.to_owned(),
        }
    }
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct RoleLabel {
    role: &'static str,
}

/// Maximum number of class labels. Callers choose class names freely, so further classes are
/// counted together.
const MAX_CLASSES: usize = 64;

/// All metrics of this process.
pub struct ProxyMetrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    latency: Histogram,
    served: Family<RoleLabel, Counter>,
    classes: std::cell::RefCell<std::collections::BTreeSet<String>>,
    /// Requests sent to the gateway on another instance.
    pub forwarded: Counter,
    /// Connections of other instances closed because of an invalid frame.
    pub invalid_frames: Counter,
    /// Datagrams dropped because they were invalid.
    pub invalid_datagrams: Gauge,
    /// Applied configuration version.
    pub config_version: Gauge,
    /// Milliseconds since the configuration was confirmed; -1 if it is not fresh.
    pub config_age: Gauge,
    /// Whether the platform responded within the freshness period.
    pub platform_reached: Gauge,
    /// Instances in the fleet.
    pub fleet_size: Gauge,
    /// Live instances of the fleet.
    pub fleet_live: Gauge,
    /// Requests in progress.
    pub in_flight: Gauge,
    /// Open interactive transactions.
    pub transactions: Gauge,
    /// Databases for which this instance is the gateway.
    pub gateways: Gauge,
    /// Shards of token buckets that this instance owns.
    pub owned_shards: Gauge,
    /// Bytes of heartbeats sent.
    pub heartbeat_bytes: Gauge,
}

impl ProxyMetrics {
    /// Creates and registers all metrics.
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("corianderstile"),
            requests: Family::default(),
            latency: Histogram::new(exponential_buckets(0.0005, 2.0, 16)),
            served: Family::default(),
            classes: std::cell::RefCell::default(),
            forwarded: Counter::default(),
            invalid_frames: Counter::default(),
            invalid_datagrams: Gauge::default(),
            config_version: Gauge::default(),
            config_age: Gauge::default(),
            platform_reached: Gauge::default(),
            fleet_size: Gauge::default(),
            fleet_live: Gauge::default(),
            in_flight: Gauge::default(),
            transactions: Gauge::default(),
            gateways: Gauge::default(),
            owned_shards: Gauge::default(),
            heartbeat_bytes: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "requests",
            "Finished requests by class and code",
            self.requests.clone(),
        );
        registry.register(
            "request_seconds",
            "Time from arrival to answer of a request",
            self.latency.clone(),
        );
        registry.register(
            "served",
            "Answered requests by role of the member",
            self.served.clone(),
        );
        registry.register(
            "forwarded",
            "Requests sent to another instance",
            self.forwarded.clone(),
        );
        registry.register(
            "invalid_frames",
            "Connections of other instances closed because of an invalid frame",
            self.invalid_frames.clone(),
        );
        let gauges: [(&str, &str, &Gauge); 11] = [
            (
                "invalid_datagrams",
                "Datagrams dropped as invalid",
                &self.invalid_datagrams,
            ),
            (
                "config_version",
                "Applied configuration version",
                &self.config_version,
            ),
            (
                "config_age_milliseconds",
                "Age of the confirmation, -1 if stale",
                &self.config_age,
            ),
            (
                "platform_reached",
                "1 if the platform answered recently",
                &self.platform_reached,
            ),
            ("fleet_size", "Instances in the fleet", &self.fleet_size),
            (
                "fleet_live",
                "Instances of the fleet that are heard",
                &self.fleet_live,
            ),
            ("in_flight", "Requests in progress", &self.in_flight),
            (
                "transactions",
                "Open interactive transactions",
                &self.transactions,
            ),
            (
                "gateways",
                "Databases for which this instance is the gateway",
                &self.gateways,
            ),
            (
                "owned_shards",
                "Token bucket shards owned",
                &self.owned_shards,
            ),
            (
                "heartbeat_bytes",
                "Bytes of heartbeats sent",
                &self.heartbeat_bytes,
            ),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
    }

    /// Counts a finished request.
    pub fn count_request(&self, labels: &RequestLabels, elapsed: Duration) {
        let mut classes = self.classes.borrow_mut();
        let is_known = classes.contains(&labels.class);
        let labels = if is_known || classes.len() < MAX_CLASSES {
            classes.insert(labels.class.clone());
            labels.clone()
        } else {
            RequestLabels {
                class: "other".to_owned(),
                code: labels.code.clone(),
            }
        };
        self.requests.get_or_create(&labels).inc();
        self.latency.observe(elapsed.as_secs_f64());
    }

    /// Counts which role served a request.
    pub fn count_served_by(&self, served_by: &ServedBy) {
        let role = if served_by.is_primary {
            "primary"
        } else {
            "replica"
        };
        self.served.get_or_create(&RoleLabel { role }).inc();
    }

    /// Returns all metrics as text.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            log::error!("metrics: not encoded: {error}");
            let _ = writeln!(text, "# incomplete");
        }
        text
    }
}

impl Default for ProxyMetrics {
    fn default() -> Self {
        Self::new()
    }
}
