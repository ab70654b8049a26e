//! Settings of one instance, read from an INI file and checked as a whole.

use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use coriander_core::{InstanceId, ZoneName};
use coriander_memory::MachineLimits;
use thiserror::Error;

use crate::settings_reader::{MACHINE_KEYS, SettingsReader};

/// An invalid entry of a settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InvalidSetting {
    /// File that contains the setting.
    pub file: PathBuf,
    /// Section, empty for keys before the first section.
    pub section: String,
    /// Key, empty if the section itself is unknown.
    pub key: String,
    /// Value in the file, if any.
    pub value: Option<String>,
    /// Kind of the problem.
    pub problem: SettingProblem,
    /// Description of the allowed values.
    pub allowed: String,
}

impl fmt::Display for InvalidSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: [{}]", self.file.display(), self.section)?;
        if !self.key.is_empty() {
            write!(f, " {}", self.key)?;
        }
        if let Some(value) = &self.value {
            write!(f, " = {value}")?;
        }
        write!(f, ": {}; allowed: {}", self.problem, self.allowed)
    }
}

/// Kind of a problem in a settings file.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum SettingProblem {
    /// The section is not known.
    #[error("unknown section")]
    UnknownSection,
    /// The key is not known in its section.
    #[error("unknown key")]
    UnknownKey,
    /// The key appears more than once.
    #[error("duplicate key")]
    DuplicateKey,
    /// A required key is missing.
    #[error("missing value")]
    Missing,
    /// The value cannot be parsed or is outside its range.
    #[error("invalid value")]
    Invalid,
    /// The zone of the instance is not in the list of zones.
    #[error("zone is not in the list")]
    UnknownZone,
}

/// Failure to load settings.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read {file}: {source}")]
    Read {
        /// File that was requested.
        file: PathBuf,
        /// Cause reported by the operating system.
        source: std::io::Error,
    },
    /// The file is not valid INI.
    #[error("{file}: line {line}: {message}")]
    Syntax {
        /// File that was requested.
        file: PathBuf,
        /// Line of the syntax error.
        line: usize,
        /// Explanation by the parser.
        message: String,
    },
    /// The file has invalid settings; all of them are listed.
    #[error("{}", join_lines(.0))]
    Invalid(Vec<InvalidSetting>),
}

fn join_lines(settings: &[InvalidSetting]) -> String {
    let lines: Vec<String> = settings.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

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

const KNOWN_KEYS: &[(&str, &[&str])] = &[
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
            "connections_per_database",
            "slots_per_member",
            "upstream_timeout_ms",
            "shutdown_ms",
        ],
    ),
    MACHINE_KEYS,
];

impl InstanceSettings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
            file: path.to_owned(),
            source,
        })?;
        Self::parse(path, &text)
    }

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
        reader.finish()?;
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
    let mut number = |key, default, low, high| reader.number("bounds", key, default, low..=high);
    RequestBounds {
        max_body_bytes: number("body_bytes", 1 << 20, 1024, 3 << 20) as usize,
        max_statements: number("statements", 256, 1, 10_000) as usize,
        transaction_idle_timeout: Duration::from_millis(number(
            "idle_transaction_ms",
            10_000,
            100,
            600_000,
        )),
        connections_per_database: number("connections_per_database", 20, 2, 10_000) as usize,
        slots_per_member: number("slots_per_member", 3, 1, 1_000) as usize,
        upstream_timeout: Duration::from_millis(number("upstream_timeout_ms", 5_000, 100, 600_000)),
        shutdown_timeout: Duration::from_millis(number("shutdown_ms", 30_000, 100, 30_000)),
    }
}
