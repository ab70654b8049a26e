//! What a new version of the configuration changes for callers.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::sync::Arc;

use coriander_service_api::{ClientAccount, FleetConfig};
use serde::Serialize;

/// Digits of a key that identify it without disclosing it.
const SHOWN_KEY_CHARS: usize = 4;

/// A difference between two configurations.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigChange {
    /// The new version is not higher, so the fleet ignores it.
    VersionNotHigher {
        /// Version in force.
        in_force: u64,
        /// Version of the checked configuration.
        checked: u64,
    },
    /// Callers of a database are refused from now on.
    RouteRemoved(Arc<str>),
    /// A database can be used from now on.
    RouteAdded(Arc<str>),
    /// A database is served in another way.
    RouteChanged(Arc<str>, Vec<String>),
    /// An account is gone; its callers lose access.
    AccountRemoved(Arc<str>),
    /// An account is new.
    AccountAdded(Arc<str>),
    /// Rate or burst of an account differ.
    LimitsChanged(Arc<str>, String),
    /// A key no longer works.
    KeyWithdrawn {
        /// Start of the key.
        key: String,
        /// Account that it belonged to.
        account: Arc<str>,
    },
    /// A key works from now on.
    KeyGiven {
        /// Start of the key.
        key: String,
        /// Account that it belongs to.
        account: Arc<str>,
    },
    /// A key belongs to another account from now on.
    KeyMoved {
        /// Start of the key.
        key: String,
        /// Account that it belonged to.
        from: Arc<str>,
        /// Account that it belongs to.
        to: Arc<str>,
    },
    /// The limits of a group differ, or the group is new or gone.
    GroupChanged(Arc<str>, String),
    /// The idle timeout of transactions differs.
    IdleTimeoutChanged(String),
}

impl fmt::Display for ConfigChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::VersionNotHigher { in_force, checked } => {
                write!(
                    f,
                    "version {checked} is not above {in_force} and will be ignored"
                )
            }
            Self::RouteRemoved(name) => write!(f, "database {name:?} is removed"),
            Self::RouteAdded(name) => write!(f, "database {name:?} is added"),
            Self::RouteChanged(name, parts) => {
                write!(f, "database {name:?} changes: {}", parts.join(", "))
            }
            Self::AccountRemoved(name) => write!(f, "account {name:?} is removed"),
            Self::AccountAdded(name) => write!(f, "account {name:?} is added"),
            Self::LimitsChanged(name, text) => write!(f, "account {name:?}: {text}"),
            Self::KeyWithdrawn { key, account } => {
                write!(f, "key {key}... of account {account:?} loses access")
            }
            Self::KeyGiven { key, account } => {
                write!(f, "key {key}... gives access to account {account:?}")
            }
            Self::KeyMoved { key, from, to } => {
                write!(f, "key {key}... moves from account {from:?} to {to:?}")
            }
            Self::GroupChanged(name, text) => write!(f, "group {name:?}: {text}"),
            Self::IdleTimeoutChanged(text) => write!(f, "idle timeout of transactions: {text}"),
        }
    }
}

/// Returns what `checked` changes against `in_force`, in a fixed order: what callers lose first.
///
/// ```
/// use coriander_config_check::compare_configs;
/// use coriander_service_api::FleetConfig;
///
/// let in_force = FleetConfig { version: 3, ..FleetConfig::default() };
/// let checked = FleetConfig { version: 4, ..FleetConfig::default() };
/// assert!(compare_configs(&in_force, &checked).is_empty());
/// ```
pub fn compare_configs(in_force: &FleetConfig, checked: &FleetConfig) -> Vec<ConfigChange> {
    let mut changes = Vec::new();
    if checked.version <= in_force.version {
        changes.push(ConfigChange::VersionNotHigher {
            in_force: in_force.version,
            checked: checked.version,
        });
    }
    compare_routes(in_force, checked, &mut changes);
    compare_accounts(in_force, checked, &mut changes);
    compare_keys(in_force, checked, &mut changes);
    compare_groups(in_force, checked, &mut changes);
    let old = in_force.idle_transaction_timeout;
    let new = checked.idle_transaction_timeout;
    if old != new {
        changes.push(ConfigChange::IdleTimeoutChanged(difference(&old, &new)));
    }
    changes.sort();
    changes
}

/// Entries of two maps by name, in the order of their names.
fn pairs<'a, T>(
    old: &'a HashMap<Arc<str>, T>,
    new: &'a HashMap<Arc<str>, T>,
) -> BTreeMap<&'a Arc<str>, (Option<&'a T>, Option<&'a T>)> {
    let mut pairs: BTreeMap<_, (Option<&T>, Option<&T>)> = BTreeMap::new();
    for (name, value) in old {
        pairs.entry(name).or_default().0 = Some(value);
    }
    for (name, value) in new {
        pairs.entry(name).or_default().1 = Some(value);
    }
    pairs
}

fn difference<T: fmt::Debug>(old: &T, new: &T) -> String {
    format!("{old:?} to {new:?}")
}

fn compare_routes(old: &FleetConfig, new: &FleetConfig, changes: &mut Vec<ConfigChange>) {
    for (name, pair) in pairs(&old.routes, &new.routes) {
        let (old, new) = match pair {
            (Some(old), Some(new)) => (old, new),
            (Some(_), None) => {
                changes.push(ConfigChange::RouteRemoved(name.clone()));
                continue;
            }
            _ => {
                changes.push(ConfigChange::RouteAdded(name.clone()));
                continue;
            }
        };
        let mut parts = Vec::new();
        let mut add = |field: &str, is_changed: bool, text: String| {
            if is_changed {
                parts.push(format!("{field} {text}"));
            }
        };
        let text = difference(&old.group, &new.group);
        add("group", old.group != new.group, text);
        let text = difference(&old.freshness, &new.freshness);
        add("freshness", old.freshness != new.freshness, text);
        let (from, to) = (old.statement_timeout, new.statement_timeout);
        add("timeout", from != to, difference(&from, &to));
        let (from, to) = (old.latency_target, new.latency_target);
        add("latency target", from != to, difference(&from, &to));
        let (from, to) = (old.priority, new.priority);
        add("priority", from != to, difference(&from, &to));
        let (from, to) = (old.open_to_all, new.open_to_all);
        add("open to all", from != to, difference(&from, &to));
        if !parts.is_empty() {
            changes.push(ConfigChange::RouteChanged(name.clone(), parts));
        }
    }
}

fn compare_accounts(old: &FleetConfig, new: &FleetConfig, changes: &mut Vec<ConfigChange>) {
    for (name, pair) in pairs(&old.accounts, &new.accounts) {
        match pair {
            (Some(_), None) => changes.push(ConfigChange::AccountRemoved(name.clone())),
            (Some(old), Some(new)) if old != new => {
                let text = format!("{} becomes {}", limits_text(old), limits_text(new));
                changes.push(ConfigChange::LimitsChanged(name.clone(), text));
            }
            (None, Some(_)) => changes.push(ConfigChange::AccountAdded(name.clone())),
            _ => {}
        }
    }
}

fn limits_text(account: &ClientAccount) -> String {
    match account.rate {
        Some(rate) => format!("{rate} operations per second, burst {}", account.burst),
        None => "no limit".to_owned(),
    }
}

fn compare_keys(old: &FleetConfig, new: &FleetConfig, changes: &mut Vec<ConfigChange>) {
    for (key, pair) in pairs(&old.keys, &new.keys) {
        let key: String = key.chars().take(SHOWN_KEY_CHARS).collect();
        match pair {
            (Some(old), None) => changes.push(ConfigChange::KeyWithdrawn {
                key,
                account: old.name.clone(),
            }),
            (None, Some(new)) => changes.push(ConfigChange::KeyGiven {
                key,
                account: new.name.clone(),
            }),
            (Some(old), Some(new)) if old.name != new.name => {
                changes.push(ConfigChange::KeyMoved {
                    key,
                    from: old.name.clone(),
                    to: new.name.clone(),
                });
            }
            _ => {}
        }
    }
}

fn compare_groups(old: &FleetConfig, new: &FleetConfig, changes: &mut Vec<ConfigChange>) {
    for (name, pair) in pairs(&old.groups, &new.groups) {
        let text = match pair {
            (Some(old), Some(new)) if old == new => continue,
            (Some(old), Some(new)) => difference(old, new),
            (Some(_), None) => "removed".to_owned(),
            _ => "added".to_owned(),
        };
        changes.push(ConfigChange::GroupChanged(name.clone(), text));
    }
}
