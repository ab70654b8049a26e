//! Settings of an instance that serves sessions on the users' platform.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use coriander_core::{InstanceId, MAX_NAME_LENGTH, NameError, ZoneName};
use coriander_memory::MachineLimits;
use coriander_service::ServiceSettings;
use coriander_usage::UsagePolicy;
use platform_adapter::decode_features;

use super::known_settings::{
    KEY_LIFETIME, KnownKeys, MACHINE_KEYS, MIN_LEASE, PLATFORM_FENCES, REPORT_DELAY,
    SESSION_SHUTDOWN, STRICT_REVOCATION, USAGE_WINDOW,
};
use super::setting_note::AdjustedSetting;
use super::settings_error::SettingsError;
use super::settings_reader::SettingsReader;

const KNOWN_KEYS: &KnownKeys = &[
    ("instance", &["name", "zone"]),
    ("listen", &["sessions", "readiness", "metrics", "peers"]),
    ("store", &["min_lease_ms", "min_lease_s", "address"]),
    ("promotion", &["address"]),
    (
        "bounds",
        &[
            "key_lifetime_ms",
            "key_lifetime_s",
            "shutdown_ms",
            "shutdown_s",
            "strict_revocation",
            "platform_fences",
        ],
    ),
    ("features", &["contracts", "duties"]),
    (
        "usage",
        &[
            "address",
            "window_ms",
            "window_s",
            "report_delay_ms",
            "report_delay_s",
        ],
    ),
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
    /// Shortest lease that the store grants.
    pub min_lease: Duration,
    /// Address of the platform's promotion call; `None` if this platform has none.
    pub promotion_address: Option<SocketAddr>,
    /// Address of the platform's call for usage reports; `None` if this platform has none.
    pub usage_address: Option<SocketAddr>,
    /// Whether usage is not reported although the platform asks for it.
    pub leaves_out_reports: bool,
    /// Settings that are not used as written.
    pub adjusted: Vec<AdjustedSetting>,
}

impl SessionSettings {
    /// Returns whether a text is the settings file of this kind of instance.
    pub fn matches_text(text: &str) -> bool {
        text.lines().any(|line| line.trim() == "[store]")
    }

    /// Returns the identifier of a process: the name of the instance, shortened if it is long, and
    /// a suffix from a number that differs in each process.
    pub fn process_id(&self, number: u64) -> Result<InstanceId, NameError> {
        let suffix = format!("-{:08x}", number as u32);
        let name = &*self.service.name;
        let length = name.len().min(MAX_NAME_LENGTH - suffix.len());
        format!("{}{suffix}", &name[..length]).parse()
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
        let mut optional = |section| reader.parse_optional(section, "address", ALLOWED_ADDRESS);
        let promotion_address: Option<SocketAddr> = optional("promotion");
        // Usually the platform takes both calls at one address.
        let usage_address = optional("usage").or(promotion_address);
        let usage = UsagePolicy::default()
            .with_window(reader.duration(&USAGE_WINDOW))
            .with_report_delay(reader.duration(&REPORT_DELAY));
        let lifetime = reader.duration(&KEY_LIFETIME);
        let key_lifetime = reader.switch(&STRICT_REVOCATION).then_some(lifetime);
        let shutdown_timeout = reader.duration(&SESSION_SHUTDOWN);
        let platform_fences = reader.switch(&PLATFORM_FENCES);
        let contracts = reader.text("features", "contracts").unwrap_or_default();
        let duties = reader.text("features", "duties").unwrap_or_default();
        let mut features = decode_features(&contracts, &duties);
        // A report is final, and one for other windows than the platform's would be wrong.
        let leaves_out_reports = features.usage_reports && reader.is_adjusted(&USAGE_WINDOW);
        features.usage_reports &= !leaves_out_reports;
        let min_lease = reader.duration(&MIN_LEASE);
        let machine = reader.machine();
        let adjusted = reader.finish()?;
        // Every value is present because `finish` reports all that are missing.
        let settings = (|| {
            let service = ServiceSettings::new(name?.as_str(), zone?.as_str(), peer_address?)
                .with_key_lifetime(key_lifetime)
                .with_shutdown_timeout(shutdown_timeout)
                .with_platform_fences(platform_fences)
                .with_features(features)
                .with_usage(usage);
            Some(Self {
                machine,
                service,
                session_address: session_address?,
                readiness_address: readiness_address?,
                metrics_address: metrics_address?,
                store_address: store_address?,
                min_lease,
                promotion_address,
                usage_address,
                leaves_out_reports,
                adjusted,
            })
        })();
        settings.ok_or_else(|| SettingsError::Invalid(Vec::new()))
    }
}
