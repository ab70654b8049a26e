//! Session values and the statements that transfer them to a member connection.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::MemberStatement;

/// Memory of one value or prepared statement beside its texts.
pub const ENTRY_BYTES: usize = 64;

/// Values set on a client session or on a member connection.
///
/// ```
/// use coriander_service_api::{MemberStatement, SessionValues};
///
/// let mut session = SessionValues::default();
/// session.set("tz".into(), "utc".into());
/// let connection = SessionValues::default();
/// assert_eq!(connection.changes_to(&session).len(), 1);
/// assert!(session.changes_to(&session).is_empty());
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SessionValues {
    entries: SmallVec<[(Arc<str>, Arc<str>); 4]>,
}

impl SessionValues {
    /// Sets a value.
    pub fn set(&mut self, name: Arc<str>, value: Arc<str>) {
        match self.entries.iter_mut().find(|entry| entry.0 == name) {
            Some(entry) => entry.1 = value,
            None => self.entries.push((name, value)),
        }
    }

    /// Returns the memory of the values.
    pub fn kept_bytes(&self) -> usize {
        let entries = self.entries.iter();
        entries
            .map(|(name, value)| name.len() + value.len() + ENTRY_BYTES)
            .sum()
    }

    /// Returns whether there are no values.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn get(&self, name: &str) -> Option<&Arc<str>> {
        let entry = self.entries.iter().find(|entry| &*entry.0 == name)?;
        Some(&entry.1)
    }

    /// Returns whether both have the same values, in any order.
    pub fn matches(&self, other: &Self) -> bool {
        self.entries.len() == other.entries.len()
            && self
                .entries
                .iter()
                .all(|(name, value)| other.get(name) == Some(value))
    }

    /// Returns the statements that change a connection's values into those of a session.
    ///
    /// A value that the session has not set can only be removed by a reset, which also drops the
    /// prepared statements of the connection.
    pub fn changes_to(&self, session: &Self) -> SmallVec<[MemberStatement; 4]> {
        let mut statements = SmallVec::new();
        let needs_reset = self
            .entries
            .iter()
            .any(|(name, _)| session.get(name).is_none());
        if needs_reset {
            statements.push(MemberStatement::Reset);
        }
        for (name, value) in &session.entries {
            if needs_reset || self.get(name) != Some(value) {
                statements.push(MemberStatement::Set {
                    name: name.clone(),
                    value: value.clone(),
                });
            }
        }
        statements
    }
}
