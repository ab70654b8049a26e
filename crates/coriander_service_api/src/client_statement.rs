//! Statements of a client session, independent of the protocol that carried them.

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

/// What a prepared name stands for.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct PreparedShape {
    /// Whether executing it reads or writes.
    pub access: AccessMode,
    /// Shape of the statement, as the client gave it.
    pub shape: Arc<str>,
}

/// What a statement does.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StatementKind {
    /// Starts a transaction.
    Begin {
        /// Whether the client promises to write nothing.
        read_only: bool,
    },
    /// Ends a transaction and keeps its writes.
    Commit,
    /// Ends a transaction and drops its writes.
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
    /// Gives a name to a statement shape.
    Prepare {
        /// Name within the session.
        name: Arc<str>,
        /// What the name stands for.
        shape: PreparedShape,
    },
    /// Executes a prepared statement.
    Execute {
        /// Name within the session.
        name: Arc<str>,
        /// Arguments, unchanged.
        arguments: Arc<str>,
    },
    /// Forgets a prepared name.
    Deallocate {
        /// Name within the session.
        name: Arc<str>,
    },
    /// A text that is not a statement.
    Unknown,
}

/// One statement as a client sent it.
///
/// ```
/// use coriander_service_api::{ClientStatement, StatementKind};
///
/// let statement = ClientStatement::new("5c0e", "READ 1a4", StatementKind::Read);
/// assert_eq!(&*statement.text, "READ 1a4");
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClientStatement {
    /// Identifier that the client chose; it is passed on unchanged.
    pub id: Arc<str>,
    /// Text that is passed on unchanged.
    pub text: Arc<str>,
    /// What the text does.
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
