//! Settings of an instance that serves sessions on the users' platform.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use coriander_core::{InstanceId, ZoneName};
use coriander_memory::MachineLimits;
use coriander_service::ServiceSettings;
use coriander_usage::UsagePolicy;
use platform_adapter::decode_features;

use crate::settings::SettingsError;
use crate::settings_reader::{MACHINE_KEYS, SettingsReader};

const KNOWN_KEYS: &[(&str, &[&str])] = &[
    ("instance", &["name", "zone"]),
    ("listen", &["sessions", "readiness", "metrics", "peers"]),
    ("store", &["address"]),
    ("promotion", &["address"]),
    (
        "bounds",
        &["key_lifetime_ms", "shutdown_ms", "platform_fences"],
    ),
    ("features", &["contracts", "duties"]),
    ("usage", &["address", "window_ms", "report_delay_ms"]),
    MACHINE_KEYS,
];

const ALLOWED_ADDRESS: &str = "an IP address and port such as 10.0.0.1:8080";

/// Checked settings of an instance that serves sessions.
#[derive(Clone, Debug)]
pub struct SessionSettings {
    /// Memory and descriptors of the machine.
    pub machine: MachineLimits,
    /// Settings of the session service.
    pub service: ServiceSettings,
    /// Address for callers.
    pub session_address: SocketAddr,
    /// Address of the readiness endpoint.
    pub readiness_address: SocketAddr,
    /// Address for metrics and the state dump.
    pub metrics_address: SocketAddr,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Address of the platform's promotion call.
    pub promotion_address: SocketAddr,
    /// Address of the platform's call for usage reports.
    pub usage_address: SocketAddr,
}

impl SessionSettings {
    /// Returns whether a text is the settings file of this kind of instance.
    pub fn matches_text(text: &str) -> bool {
        text.lines().any(|line| line.trim() == "[store]")
    }

    /// Checks the text of a settings file; `path` is used in messages only.
    pub fn parse(path: &Path, text: &str) -> Result<Self, SettingsError> {
        let mut reader = SettingsReader::from_text(path, text, KNOWN_KEYS)?;
        let name: Option<InstanceId> = reader.parse("instance", "name", "a name");
        let zone: Option<ZoneName> = reader.parse("instance", "zone", "a name");
        let mut address = |section, key| reader.parse(section, key, ALLOWED_ADDRESS);
        let session_address = address("listen", "sessions");
        let readiness_address = address("listen", "readiness");
        let metrics_address = address("listen", "metrics");
        let peer_address = address("listen", "peers");
        let store_address = address("store", "address");
        let promotion_address = address("promotion", "address");
        // Usually the platform takes both calls at one address.
        let usage_text = reader.text("usage", "address");
        let usage_address = match usage_text {
            Some(_) => reader.parse("usage", "address", ALLOWED_ADDRESS),
            None => promotion_address,
        };
        let window = reader.number("usage", "window_ms", 5_000, 100..=3_600_000);
        let report_delay = reader.number("usage", "report_delay_ms", 10_000, 100..=3_600_000);
        let usage = UsagePolicy::default()
            .with_window(Duration::from_millis(window))
            .with_report_delay(Duration::from_millis(report_delay));
        let key_lifetime = reader.number("bounds", "key_lifetime_ms", 5_000, 0..=3_600_000);
        let shutdown_timeout = reader.number("bounds", "shutdown_ms", 6_000, 500..=600_000);
        let fences = reader.number("bounds", "platform_fences", 0, 0..=1);
        let contracts = reader.text("features", "contracts").unwrap_or_default();
        let duties = reader.text("features", "duties").unwrap_or_default();
        let machine = reader.machine();
        reader.finish()?;
        // Every value is present because `finish` reports all that are missing.
        let settings = (|| {
            let service = ServiceSettings::new(name?.as_str(), zone?.as_str(), peer_address?)
                .with_key_lifetime((key_lifetime > 0).then(|| Duration::from_millis(key_lifetime)))
                .with_shutdown_timeout(Duration::from_millis(shutdown_timeout))
                .with_platform_fences(fences == 1)
                .with_features(decode_features(&contracts, &duties))
                .with_usage(usage);
            Some(Self {
                machine,
                service,
                session_address: session_address?,
                readiness_address: readiness_address?,
                metrics_address: metrics_address?,
                store_address: store_address?,
                promotion_address: promotion_address?,
                usage_address: usage_address?,
            })
        })();
        settings.ok_or_else(|| SettingsError::Invalid(Vec::new()))
    }
}
