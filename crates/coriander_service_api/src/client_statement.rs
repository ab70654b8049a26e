//! Statements of a client session, independent of the client protocol.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Whether a prepared statement reads or writes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum AccessMode {
    /// Reads one item.
    Read,
    /// Writes one item.
    Write,
}

/// Statement behind a prepared name.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct PreparedShape {
    /// Whether an execution reads or writes.
    pub access: AccessMode,
    /// Shape of the statement, as sent by the client.
    pub shape: Arc<str>,
}

/// Operation of a statement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StatementKind {
    /// Starts a transaction.
    Begin {
        /// Whether the transaction is declared read-only.
        read_only: bool,
    },
    /// Commits a transaction.
    Commit,
    /// Rolls a transaction back.
    Rollback,
    /// Reads one item.
    Read,
    /// Writes one item.
    Write,
    /// Sets a session value.
    Set {
        /// Name of the value.
        name: Arc<str>,
        /// New value.
        value: Arc<str>,
    },
    /// Prepares a statement under a name.
    Prepare {
        /// Name within the session.
        name: Arc<str>,
        /// Prepared statement.
        shape: PreparedShape,
    },
    /// Executes a prepared statement.
    Execute {
        /// Name within the session.
        name: Arc<str>,
        /// Arguments, passed on unchanged.
        arguments: Arc<str>,
    },
    /// Removes a prepared statement.
    Deallocate {
        /// Name within the session.
        name: Arc<str>,
    },
    /// Text that is not a known statement.
    Unknown,
}

/// A statement as sent by a client.
///
/// ```
/// use coriander_service_api::{ClientStatement, StatementKind};
///
/// let statement = ClientStatement::new("5c0e", "READ 1a4", StatementKind::Read);
/// assert_eq!(&*statement.text, "READ 1a4");
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClientStatement {
    /// Identifier chosen by the client; passed on unchanged.
    pub id: Arc<str>,
    /// Text of the statement; passed on unchanged.
    pub text: Arc<str>,
    /// Operation of the statement.
    pub kind: StatementKind,
}

impl ClientStatement {
    /// Creates a statement from its parts.
    pub fn new(id: &str, text: &str, kind: StatementKind) -> Self {
        Self {
            id: id.into(),
            text: text.into(),
            kind,
        }
    }
}
