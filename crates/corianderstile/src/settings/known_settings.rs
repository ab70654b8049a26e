//! Numbers and switches that settings files may state, with the range that a process can use.
//!
//! A range ends where the process can do no more. Its lower end is 0 where a smaller number is the
//! stricter promise: a process that ends at once, or a key that is not accepted, breaks none.

use std::ops::RangeInclusive;
use std::time::Duration;

use super::setting_number::{CountSetting, DurationSetting, SwitchSetting};

/// Sections of a settings file with their keys.
pub type KnownKeys = [(&'static str, &'static [&'static str])];

/// Section with the memory and descriptors of the machine.
pub const MACHINE_KEYS: (&str, &[&str]) = ("machine", &["memory_mb", "descriptors"]);

/// Longest time that a setting may state.
const DAY: Duration = Duration::from_secs(24 * 3_600);

const fn up_to(longest: Duration) -> RangeInclusive<Duration> {
    RangeInclusive::new(Duration::ZERO, longest)
}

const fn from_millis(low: u64, high: u64) -> RangeInclusive<Duration> {
    RangeInclusive::new(Duration::from_millis(low), Duration::from_millis(high))
}

/// Memory in MiB from which the process is killed.
pub const MEMORY: CountSetting = CountSetting {
    section: "machine",
    key: "memory_mb",
    default: 512,
    range: RangeInclusive::new(0, 1_048_576),
};

/// Descriptors of the process.
pub const DESCRIPTORS: CountSetting = CountSetting {
    section: "machine",
    key: "descriptors",
    default: 4_096,
    range: RangeInclusive::new(0, 10_000_000),
};

/// Longest graceful shutdown of the Hrana front.
pub const SHUTDOWN: DurationSetting = DurationSetting {
    section: "bounds",
    name: "shutdown",
    default: Duration::from_secs(30),
    range: up_to(Duration::from_secs(30)),
};

/// Time from the stop signal until the platform kills the process.
pub const SESSION_SHUTDOWN: DurationSetting = DurationSetting {
    default: Duration::from_secs(6),
    range: up_to(Duration::from_secs(600)),
    ..SHUTDOWN
};

/// Time for which a withdrawn key may still be used.
pub const KEY_LIFETIME: DurationSetting = DurationSetting {
    section: "bounds",
    name: "key_lifetime",
    default: Duration::from_secs(5),
    range: up_to(Duration::from_secs(3_600)),
};

/// Whether a withdrawn key is refused within its lifetime, also while the store cannot be read.
pub const STRICT_REVOCATION: SwitchSetting = SwitchSetting {
    section: "bounds",
    key: "strict_revocation",
    default: true,
    safe: true,
};

/// Whether the platform rejects outdated fencing tokens and stops a former primary.
pub const PLATFORM_FENCES: SwitchSetting = SwitchSetting {
    section: "bounds",
    key: "platform_fences",
    default: false,
    safe: false,
};

/// Length of a usage window.
pub const USAGE_WINDOW: DurationSetting = DurationSetting {
    section: "usage",
    name: "window",
    default: Duration::from_secs(5),
    range: RangeInclusive::new(Duration::from_millis(100), DAY),
};

/// Time after the end of a window by which its report is due.
pub const REPORT_DELAY: DurationSetting = DurationSetting {
    section: "usage",
    name: "report_delay",
    default: Duration::from_secs(10),
    range: up_to(DAY),
};

/// Largest request body in bytes.
pub const BODY_BYTES: CountSetting = CountSetting {
    section: "bounds",
    key: "body_bytes",
    default: 1 << 20,
    range: RangeInclusive::new(1_024, 3 << 20),
};

/// Most statements in one request.
pub const STATEMENTS: CountSetting = CountSetting {
    section: "bounds",
    key: "statements",
    default: 256,
    range: RangeInclusive::new(1, 10_000),
};

/// Connections to a database from the whole fleet.
pub const CONNECTIONS_PER_DATABASE: CountSetting = CountSetting {
    section: "bounds",
    key: "connections_per_database",
    default: 20,
    range: RangeInclusive::new(2, 10_000),
};

/// Statements that one member executes at a time.
pub const SLOTS_PER_MEMBER: CountSetting = CountSetting {
    section: "bounds",
    key: "slots_per_member",
    default: 3,
    range: RangeInclusive::new(1, 1_000),
};

/// Time after which an unused transaction is rolled back.
pub const IDLE_TRANSACTION: DurationSetting = DurationSetting {
    section: "bounds",
    name: "idle_transaction",
    default: Duration::from_secs(10),
    range: from_millis(100, 600_000),
};

/// Longest wait for one response of a member.
pub const UPSTREAM_TIMEOUT: DurationSetting = DurationSetting {
    section: "bounds",
    name: "upstream_timeout",
    default: Duration::from_secs(5),
    range: from_millis(100, 600_000),
};

/// Shortest lease that the store grants; shorter ones are refused.
pub const MIN_LEASE: DurationSetting = DurationSetting {
    section: "store",
    name: "min_lease",
    default: Duration::ZERO,
    range: up_to(Duration::from_secs(600)),
};
