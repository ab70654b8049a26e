//! Findings about entries of a configuration.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;

/// How serious a finding is.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FindingSeverity {
    /// The entry is left out, or it can never work.
    Error,
    /// The entry works, but probably not as intended.
    Warning,
}

/// What is wrong with an entry.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigProblem {
    /// The kind of a route is not known, so the route is left out.
    UnknownKind(String),
    /// A later entry with the same name replaces this one.
    Shadowed,
    /// The key belongs to a later account too and identifies only that one.
    SharedKey(Arc<str>),
    /// A time is negative or too long, and is replaced.
    TimeOutOfRange(&'static str),
    /// The group of the route has no entry, so no request can be served.
    MissingGroup(Arc<str>),
    /// The members of the group accept no connection.
    NoConnections,
    /// The account may run nothing.
    NoRate,
    /// The account never has a whole operation left, so it may run nothing.
    BurstBelowOne(f64),
    /// Statements of the route have no time, so each ends at its timeout.
    NoTime,
    /// Each open transaction is idle for too long at once.
    NoIdleTime,
    /// No route names the group.
    UnusedGroup,
    /// The account has no key, so nobody can use it.
    NoKey,
    /// No account has a key, and the route needs one.
    NoCaller,
    /// The latency target is longer than the statement timeout.
    TargetAboveTimeout {
        /// Latency target.
        target: Duration,
        /// Statement timeout.
        timeout: Duration,
    },
    /// The burst is smaller than the operations of one second, so steady callers are refused.
    BurstBelowRate {
        /// Operations that may run at once above the rate.
        burst: f64,
        /// Operations per second.
        rate: f64,
    },
    /// No replica can have data of the maximum age, so the primary serves all reads.
    AgeBelowLag(Duration),
}

impl ConfigProblem {
    /// Returns how serious the problem is.
    ///
    /// ```
    /// use coriander_service_api::{ConfigProblem, FindingSeverity};
    ///
    /// assert_eq!(ConfigProblem::Shadowed.severity(), FindingSeverity::Error);
    /// ```
    pub const fn severity(&self) -> FindingSeverity {
        match self {
            Self::UnknownKind(_)
            | Self::Shadowed
            | Self::SharedKey(_)
            | Self::TimeOutOfRange(_)
            | Self::MissingGroup(_)
            | Self::NoConnections
            | Self::NoRate
            | Self::BurstBelowOne(_)
            | Self::NoTime
            | Self::NoIdleTime => FindingSeverity::Error,
            Self::UnusedGroup
            | Self::NoKey
            | Self::NoCaller
            | Self::TargetAboveTimeout { .. }
            | Self::BurstBelowRate { .. }
            | Self::AgeBelowLag(_) => FindingSeverity::Warning,
        }
    }
}

impl fmt::Display for ConfigProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownKind(kind) => write!(f, "unknown kind {kind:?}, the route is left out"),
            Self::Shadowed => write!(f, "replaced by a later entry of the same name"),
            Self::SharedKey(account) => write!(f, "key identifies account {account:?} instead"),
            Self::TimeOutOfRange(field) => write!(f, "{field} is out of range and is replaced"),
            Self::MissingGroup(group) => write!(f, "group {group:?} has no entry"),
            Self::NoConnections => write!(f, "members accept no connection"),
            Self::NoRate => write!(f, "account may run nothing: its rate is not above 0"),
            Self::BurstBelowOne(burst) => {
                write!(f, "account may run nothing: its burst {burst} is below 1")
            }
            Self::NoTime => write!(f, "statements have a timeout of 0"),
            Self::NoIdleTime => write!(f, "open transactions end at once: idle timeout of 0"),
            Self::UnusedGroup => write!(f, "no route names the group"),
            Self::NoKey => write!(f, "account has no key"),
            Self::NoCaller => write!(f, "route needs a key, but no account has one"),
            Self::TargetAboveTimeout { target, timeout } => {
                write!(
                    f,
                    "latency target {target:?} is above the timeout {timeout:?}"
                )
            }
            Self::BurstBelowRate { burst, rate } => {
                write!(f, "burst {burst} is below the rate of one second, {rate}")
            }
            Self::AgeBelowLag(age) => {
                write!(f, "maximum age {age:?} leaves replicas no time to catch up")
            }
        }
    }
}

/// A finding about one entry of a configuration.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ConfigFinding {
    /// How serious it is.
    pub severity: FindingSeverity,
    /// Entry, such as `route "orders"`.
    pub entry: String,
    /// What is wrong with it.
    pub problem: ConfigProblem,
}

impl ConfigFinding {
    /// Creates a finding about the entry of a kind with a name.
    ///
    /// ```
    /// use coriander_service_api::{ConfigFinding, ConfigProblem};
    ///
    /// let finding = ConfigFinding::new("account", "harbour", ConfigProblem::NoKey);
    /// assert_eq!(finding.to_string(), "warning: account \"harbour\": account has no key");
    /// ```
    pub fn new(kind: &str, name: &str, problem: ConfigProblem) -> Self {
        Self {
            severity: problem.severity(),
            entry: format!("{kind} {name:?}"),
            problem,
        }
    }
}

impl fmt::Display for ConfigFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let severity = match self.severity {
            FindingSeverity::Error => "error",
            FindingSeverity::Warning => "warning",
        };
        write!(f, "{severity}: {}: {}", self.entry, self.problem)
    }
}
