//! Connections to members: statements, replies and errors.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use coriander_core::{LogPosition, TermNumber};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use thiserror::Error;

use crate::{AccessMode, FailureCode, MemberRole, TransactionStatus};

/// One statement for a member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberStatement {
    /// Forwards a client's statement unchanged.
    Forward {
        /// The client's identifier.
        id: Arc<str>,
        /// The client's text.
        text: Arc<str>,
        /// Position that the member's log must contain.
        min_position: Option<LogPosition>,
    },
    /// Executes a client's prepared statement under its name on this connection.
    Execute {
        /// The client's identifier.
        id: Arc<str>,
        /// Name on this connection.
        name: Arc<str>,
        /// The client's arguments, unchanged.
        arguments: Arc<str>,
        /// Position that the member's log must contain.
        min_position: Option<LogPosition>,
    },
    /// Starts a transaction.
    Begin {
        /// Whether the transaction is read-only; replicas accept only such transactions.
        read_only: bool,
        /// Position that the member's log must contain.
        min_position: Option<LogPosition>,
    },
    /// Rolls a transaction back.
    Rollback,
    /// Sets a session value.
    Set {
        /// Name of the value.
        name: Arc<str>,
        /// The value.
        value: Arc<str>,
    },
    /// Prepares a statement.
    Prepare {
        /// Name on this connection.
        name: Arc<str>,
        /// Whether it reads or writes.
        access: AccessMode,
        /// Shape of the statement.
        shape: Arc<str>,
    },
    /// Drops all session values and prepared statements.
    Reset,
    /// Queries the status of the member.
    Status,
    /// Demotes a primary of a lower term to a replica.
    Demote {
        /// The member is demoted if its term is lower than this one.
        term: TermNumber,
    },
    /// Stops a replica from receiving commits, until [`Self::Resume`], a promotion in its group or its
    /// restart.
    Pause {
        /// The replica stops if this term is higher than any that it knows.
        term: TermNumber,
    },
    /// Lets a paused replica receive commits again.
    Resume,
}

/// A member's reply to one statement.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberReply {
    /// Rows of a read.
    pub rows: Vec<Arc<str>>,
    /// Signature of the member, or its refusal.
    pub result: Result<Arc<str>, MemberRefusal>,
    /// State of the connection's transaction after the statement.
    pub transaction: TransactionStatus,
    /// Last position of the member's log.
    pub position: Option<LogPosition>,
}

/// A member's refusal of a statement.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
#[error("member refused the statement: {} {detail}", code.label())]
pub struct MemberRefusal {
    /// Reason of the refusal.
    pub code: FailureCode,
    /// The member's explanation.
    pub detail: Arc<str>,
}

/// Status that a member reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberStatus {
    /// Role that the member reports for itself.
    pub role: MemberRole,
    /// Term in which the member is primary, or term of the primary from which it replicates.
    pub term: TermNumber,
    /// Last log position that the member has received.
    pub received: LogPosition,
    /// Whether it is a replica that has been stopped from receiving commits.
    pub is_paused: bool,
}

/// Failure of a connection to a member.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
pub enum LinkError {
    /// No connection could be opened within the timeout.
    #[error("member did not accept a connection within {0:?}")]
    ConnectTimeout(Duration),
    /// The connection was refused or closed before a statement was sent.
    #[error("member refused the connection: {0}")]
    Refused(String),
    /// The member accepted the connection but closed it or did not open the session in time, for
    /// example because of overload or too many connections.
    #[error("member accepted the connection and opened no session: {0}")]
    NotOpened(String),
    /// The member accepted the connection but declined the session.
    #[error("member declined the session: {0}")]
    Declined(#[from] MemberRefusal),
    /// The member sent no reply within the timeout; the statements may still run.
    #[error("no reply from the member within {0:?}")]
    ReplyTimeout(Duration),
    /// The connection was closed before the reply; the statements may have run.
    #[error("connection to the member was closed: {0}")]
    ConnectionLost(String),
    /// The reply could not be parsed.
    #[error("member sent an invalid reply: {0}")]
    Invalid(String),
    /// This process has no memory for the reply; the statements may have run. It shows nothing
    /// about the member.
    #[error("no memory for the reply of the member")]
    NoMemory,
}

impl LinkError {
    /// Returns whether the member could not be reached, as opposed to the loss or refusal of one
    /// session.
    pub const fn is_unreachable(&self) -> bool {
        matches!(self, Self::ConnectTimeout(_) | Self::Refused(_))
    }
}

/// Member and account of a connection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberTarget {
    /// Identifier that the member must have.
    pub member: Arc<str>,
    /// Group that the member must belong to.
    pub group: Arc<str>,
    /// Address of the member.
    pub address: SocketAddr,
    /// Client account for which statements run.
    pub account: Arc<str>,
}

/// Replies to the statements of one batch, in the order of the statements.
pub type ReplyBatch = SmallVec<[MemberReply; 4]>;

/// An open connection to a member.
#[async_trait(?Send)]
pub trait MemberLink {
    /// Sends statements in one batch and returns their replies.
    ///
    /// After an error the connection must not be used again.
    async fn run(
        &mut self,
        statements: &[MemberStatement],
        timeout: Duration,
    ) -> Result<ReplyBatch, LinkError>;

    /// Returns whether the member has closed the idle connection or has sent unexpected data.
    fn is_broken(&self) -> bool;
}

/// Opens connections to members.
#[async_trait(?Send)]
pub trait MemberConnector {
    /// Opens a session.
    async fn connect(
        &self,
        target: &MemberTarget,
        timeout: Duration,
    ) -> Result<Box<dyn MemberLink>, LinkError>;

    /// Sends a health probe: succeeds if the member's host accepts a connection. No session is
    /// opened.
    async fn probe(&self, address: SocketAddr, timeout: Duration) -> Result<(), LinkError>;

    /// Parses the reply to [`MemberStatement::Status`], [`MemberStatement::Demote`],
    /// [`MemberStatement::Pause`] or [`MemberStatement::Resume`].
    fn parse_status(&self, reply: &MemberReply) -> Option<MemberStatus>;
}
