//! Limits of a settings file that are valid each and contradict each other.

use std::fmt;

use coriander_memory::{MachineLimits, MemoryLimits, MemoryShare};
use coriander_service::SHORT_KEY_LIFETIME;

use crate::caller::BODY_COPIES;
use crate::entry::REQUEST_TIMEOUT;

use super::instance_settings::InstanceSettings;
use super::session_settings::SessionSettings;

/// Bytes that a connection of a session holds without being counted: input, rows and values.
const SESSION_CONNECTION_BYTES: usize = 9 << 10;

/// Bytes that an HTTP connection holds without being counted: the input and output buffers of the
/// library, and a short body.
const HTTP_CONNECTION_BYTES: usize = 52 << 10;

/// Memory in MiB below which the program itself has no room.
const MIN_MEMORY_MB: usize = 48;

/// Descriptors below which few are left for callers: 200 are for files and 128 for members, store
/// and other instances.
const MIN_DESCRIPTORS: usize = 360;

/// Two settings of which one has no effect, or asks for more than the other allows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingConflict {
    /// Section and key of the settings.
    pub settings: [&'static str; 2],
    /// What does not fit.
    pub reason: String,
}

impl fmt::Display for SettingConflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [first, second] = self.settings;
        write!(f, "{first} and {second}: {}", self.reason)
    }
}

fn conflict(settings: [&'static str; 2], reason: String) -> SettingConflict {
    SettingConflict { settings, reason }
}

/// Checks whether the machine has room for the program and its callers.
fn check_machine(machine: &MachineLimits, connection_bytes: usize) -> Vec<SettingConflict> {
    let mut conflicts = Vec::new();
    if machine.memory_mb < MIN_MEMORY_MB {
        let reason = format!("the program itself needs {MIN_MEMORY_MB} MiB");
        conflicts.push(conflict(["[machine] memory_mb", "the program"], reason));
    }
    if machine.descriptors < MIN_DESCRIPTORS {
        let reason = format!("with less than {MIN_DESCRIPTORS} few callers are served");
        conflicts.push(conflict(["[machine] descriptors", "the program"], reason));
    }
    conflicts.extend(check_connections(machine, connection_bytes));
    conflicts
}

/// Compares what the connections hold without being counted with half of the memory. A quarter is
/// for what is counted, and the rest holds the program and the configuration.
fn check_connections(machine: &MachineLimits, connection_bytes: usize) -> Option<SettingConflict> {
    let needed = MemoryLimits::new(machine).max_connections * connection_bytes;
    let available = (machine.memory_mb << 20) / 2;
    (needed > available).then(|| {
        let reason = format!(
            "as many connections hold {} MiB, and {} MiB are for them",
            needed >> 20,
            available >> 20
        );
        conflict(["[machine] descriptors", "[machine] memory_mb"], reason)
    })
}

impl InstanceSettings {
    /// Returns the limits that contradict each other.
    pub fn conflicts(&self) -> Vec<SettingConflict> {
        let bounds = &self.bounds;
        let mut conflicts = check_machine(&self.machine, HTTP_CONNECTION_BYTES);
        let share = MemoryLimits::new(&self.machine).share(MemoryShare::Large);
        let needed = bounds.max_body_bytes * BODY_COPIES;
        if needed > share {
            let reason = format!("one body holds {needed} bytes, and {share} are for all of them");
            let settings = ["[bounds] body_bytes", "[machine] memory_mb"];
            conflicts.push(conflict(settings, reason));
        }
        if bounds.upstream_timeout > REQUEST_TIMEOUT {
            let reason =
                format!("a request ends after {REQUEST_TIMEOUT:?}, before the wait for a member");
            let settings = [
                "[bounds] upstream_timeout_ms",
                "the time limit of a request",
            ];
            conflicts.push(conflict(settings, reason));
        }
        if bounds.slots_per_member > bounds.connections_per_database {
            let reason = format!(
                "{} statements at a time need more than {} connections",
                bounds.slots_per_member, bounds.connections_per_database
            );
            let settings = [
                "[bounds] slots_per_member",
                "[bounds] connections_per_database",
            ];
            conflicts.push(conflict(settings, reason));
        }
        conflicts
    }
}

impl SessionSettings {
    /// Returns the limits that contradict each other.
    pub fn conflicts(&self) -> Vec<SettingConflict> {
        let mut conflicts = check_machine(&self.machine, SESSION_CONNECTION_BYTES);
        if self.service.features.usage_reports && !self.service.usage.can_be_punctual() {
            let reason = "the counts of a window arrive after its report is due".to_owned();
            let settings = ["[usage] report_delay_ms", "[features] duties"];
            conflicts.push(conflict(settings, reason));
        }
        if self.service.features.usage_reports && self.usage_address.is_none() {
            let reason = "usage is not reported without an address".to_owned();
            let settings = ["[usage] address", "[features] duties"];
            conflicts.push(conflict(settings, reason));
        }
        if self.leaves_out_reports {
            let reason = "usage is not reported, since its windows are not the platform's";
            let settings = ["[usage] window", "[features] duties"];
            conflicts.push(conflict(settings, reason.to_owned()));
        }
        let lifetime = self.service.key_lifetime;
        if lifetime.is_some_and(|lifetime| lifetime < SHORT_KEY_LIFETIME) {
            let reason = format!(
                "callers with a key are refused at times, with less than {SHORT_KEY_LIFETIME:?}"
            );
            let settings = ["[bounds] key_lifetime", "[bounds] strict_revocation"];
            conflicts.push(conflict(settings, reason));
        }
        conflicts
    }
}
