//! Settings of one instance, read from an INI file and checked as a whole.

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use coriander_core::{InstanceId, ZoneName};
use coriander_memory::MachineLimits;

use super::known_settings::{
    BODY_BYTES, CONNECTIONS_PER_DATABASE, IDLE_TRANSACTION, KnownKeys, MACHINE_KEYS, SHUTDOWN,
    SLOTS_PER_MEMBER, STATEMENTS, UPSTREAM_TIMEOUT,
};
use super::setting_note::AdjustedSetting;
use super::settings_error::{SettingProblem, SettingsError};
use super::settings_reader::SettingsReader;

/// Limits on requests and resources of an instance.
#[derive(Clone, Debug)]
pub struct RequestBounds {
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// Maximum number of statements in a request.
    pub max_statements: usize,
    /// Idle time after which an open transaction is rolled back.
    pub transaction_idle_timeout: Duration,
    /// Maximum number of connections to a database from the whole fleet.
    pub connections_per_database: usize,
    /// Maximum number of statements that one member executes at a time.
    pub slots_per_member: usize,
    /// Maximum time to wait for one upstream response.
    pub upstream_timeout: Duration,
    /// Maximum duration of a graceful shutdown.
    pub shutdown_timeout: Duration,
}

/// Checked settings of one instance.
#[derive(Clone, Debug)]
pub struct InstanceSettings {
    /// Name of the instance; a random suffix makes it the identifier of one process.
    pub name: InstanceId,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// All availability zones.
    pub zones: Vec<ZoneName>,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for operators and metrics.
    pub admin_address: SocketAddr,
    /// Address for other instances, TCP and UDP.
    pub peer_address: SocketAddr,
    /// Addresses of the platform's service.
    pub platform_addresses: Vec<SocketAddr>,
    /// Secret shared by the fleet.
    pub fleet_secret: FleetSecret,
    /// Limits on requests and resources.
    pub bounds: RequestBounds,
    /// Memory and descriptors of the machine.
    pub machine: MachineLimits,
    /// Settings that are not used as written.
    pub adjusted: Vec<AdjustedSetting>,
}

/// Secret shared by the fleet; its value is not printed.
#[derive(Clone)]
pub struct FleetSecret(Vec<u8>);

impl FleetSecret {
    /// Returns the bytes of the secret.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for FleetSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetSecret(..)")
    }
}

/// Minimum length of the fleet secret in bytes; 128 bits resist guessing.
const MIN_SECRET_LENGTH: usize = 16;

/// Maximum length of the name in bytes; an identifier has at most 64, its random suffix takes 9.
const MAX_NAME_LENGTH: usize = 55;

const ALLOWED_NAME: &str = "1 to 55 letters, digits, '-', '_' and '.'";

const KNOWN_KEYS: &KnownKeys = &[
    ("instance", &["name", "zone"]),
    ("listen", &["callers", "admin", "peers"]),
    ("fleet", &["zones", "secret", "secret_file"]),
    ("platform", &["addresses"]),
    (
        "bounds",
        &[
            "body_bytes",
            "statements",
            "idle_transaction_ms",
            "idle_transaction_s",
            "connections_per_database",
            "slots_per_member",
            "upstream_timeout_ms",
            "upstream_timeout_s",
            "shutdown_ms",
            "shutdown_s",
        ],
    ),
    MACHINE_KEYS,
];

impl InstanceSettings {
    /// Checks the text of a settings file; `path` is used in messages only.
    pub fn parse(path: &Path, text: &str) -> Result<Self, SettingsError> {
        let mut reader = SettingsReader::from_text(path, text, KNOWN_KEYS)?;
        let name: Option<InstanceId> = reader.parse("instance", "name", ALLOWED_NAME);
        if name
            .as_ref()
            .is_some_and(|name| name.as_str().len() > MAX_NAME_LENGTH)
        {
            reader.reject("instance", "name", SettingProblem::Invalid, ALLOWED_NAME);
        }
        let zone: Option<ZoneName> = reader.parse("instance", "zone", "one of [fleet] zones");
        let zones: Vec<ZoneName> = reader.list("fleet", "zones", "names separated by commas");
        let address = "an IP address and port such as 10.0.0.1:8080";
        let caller_address = reader.parse("listen", "callers", address);
        let admin_address = reader.parse("listen", "admin", address);
        let peer_address = reader.parse("listen", "peers", address);
        let platform_addresses = reader.list(
            "platform",
            "addresses",
            "IP addresses with port separated by commas",
        );
        let fleet_secret = read_secret(&mut reader);
        let bounds = read_bounds(&mut reader);
        let machine = reader.machine();
        if let Some(zone) = &zone
            && !zones.is_empty()
            && !zones.contains(zone)
        {
            let allowed = zones
                .iter()
                .map(ToString::to_string)
                .collect::<Vec<_>>()
                .join(", ");
            reader.reject("instance", "zone", SettingProblem::UnknownZone, &allowed);
        }
        let adjusted = reader.finish()?;
        // Every value is present because `finish` reports all that are missing.
        let settings = (|| {
            Some(Self {
                name: name?,
                zone: zone?,
                zones,
                caller_address: caller_address?,
                admin_address: admin_address?,
                peer_address: peer_address?,
                platform_addresses,
                fleet_secret: fleet_secret?,
                bounds,
                machine,
                adjusted,
            })
        })();
        settings.ok_or_else(|| SettingsError::Invalid(Vec::new()))
    }
}

fn read_secret(reader: &mut SettingsReader) -> Option<FleetSecret> {
    let allowed = "at least 16 characters in secret, or a file with them in secret_file";
    if let Some(file) = reader.text("fleet", "secret_file") {
        let Ok(text) = std::fs::read_to_string(&file) else {
            reader.reject(
                "fleet",
                "secret_file",
                SettingProblem::Invalid,
                "a readable file",
            );
            return None;
        };
        return check_secret(reader, "secret_file", text.trim(), allowed);
    }
    match reader.text("fleet", "secret") {
        Some(text) => check_secret(reader, "secret", &text, allowed),
        None => {
            reader.reject("fleet", "secret", SettingProblem::Missing, allowed);
            None
        }
    }
}

fn check_secret(
    reader: &mut SettingsReader,
    key: &str,
    text: &str,
    allowed: &str,
) -> Option<FleetSecret> {
    if text.len() < MIN_SECRET_LENGTH {
        reader.reject("fleet", key, SettingProblem::Invalid, allowed);
        return None;
    }
    Some(FleetSecret(text.as_bytes().to_vec()))
}

fn read_bounds(reader: &mut SettingsReader) -> RequestBounds {
    RequestBounds {
        max_body_bytes: reader.count(&BODY_BYTES),
        max_statements: reader.count(&STATEMENTS),
        transaction_idle_timeout: reader.duration(&IDLE_TRANSACTION),
        connections_per_database: reader.count(&CONNECTIONS_PER_DATABASE),
        slots_per_member: reader.count(&SLOTS_PER_MEMBER),
        upstream_timeout: reader.duration(&UPSTREAM_TIMEOUT),
        shutdown_timeout: reader.duration(&SHUTDOWN),
    }
}
