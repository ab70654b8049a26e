//! Connections to members: what is sent, what comes back, and what is known when one fails.

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
    /// A client's statement, unchanged.
    Forward {
        /// The client's identifier.
        id: Arc<str>,
        /// The client's text.
        text: Arc<str>,
        /// Position that the member's log must contain.
        min_position: Option<LogPosition>,
    },
    /// A client's prepared statement under the name that it has on this connection.
    Execute {
        /// The client's identifier.
        id: Arc<str>,
        /// Name on this connection.
        name: Arc<str>,
        /// The client's arguments.
        arguments: Arc<str>,
        /// Position that the member's log must contain.
        min_position: Option<LogPosition>,
    },
    /// Starts a transaction.
    Begin {
        /// Whether replicas accept it.
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
    /// Drops all session values and prepared names.
    Reset,
    /// Asks for the state of the member.
    Status,
    /// Makes a primary of a lower term a replica.
    Demote {
        /// Term that the primary must be below.
        term: TermNumber,
    },
}

/// A member's answer to one statement.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberReply {
    /// Rows of a read.
    pub rows: Vec<Arc<str>>,
    /// Signature of the member, or its refusal.
    pub result: Result<Arc<str>, MemberRefusal>,
    /// State of the connection's transaction afterwards.
    pub transaction: TransactionStatus,
    /// End of the member's log.
    pub position: Option<LogPosition>,
}

/// A member's refusal of a statement.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
#[error("member refused the statement: {} {detail}", code.label())]
pub struct MemberRefusal {
    /// Why.
    pub code: FailureCode,
    /// The member's explanation.
    pub detail: Arc<str>,
}

/// State that a member reports about itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberStatus {
    /// Role in its own view.
    pub role: MemberRole,
    /// Term in which it is primary or that it follows.
    pub term: TermNumber,
    /// Last position that it has received.
    pub received: LogPosition,
}

/// Failure of a connection to a member.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
pub enum LinkError {
    /// No connection could be opened within the time.
    #[error("member did not accept a connection within {0:?}")]
    ConnectTimeout(Duration),
    /// The connection was refused or broken off before a statement was sent.
    #[error("member refused the connection: {0}")]
    Refused(String),
    /// The member accepted the connection and did not open the session in time, or broke it off:
    /// it is overloaded or has too many connections.
    #[error("member accepted the connection and opened no session: {0}")]
    NotOpened(String),
    /// The member accepted the connection and declined the session.
    #[error("member declined the session: {0}")]
    Declined(#[from] MemberRefusal),
    /// The member did not answer within the time; the statements may run.
    #[error("member did not answer within {0:?}")]
    ReplyTimeout(Duration),
    /// The connection ended before the answer; the statements may have run.
    #[error("connection to the member ended: {0}")]
    ConnectionLost(String),
    /// The member sent something that is not an answer.
    #[error("member sent an invalid answer: {0}")]
    Invalid(String),
}

impl LinkError {
    /// Tells whether the member cannot be reached, rather than declining or losing one session.
    pub const fn is_unreachable(&self) -> bool {
        matches!(self, Self::ConnectTimeout(_) | Self::Refused(_))
    }
}

/// Where and as what to connect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberTarget {
    /// Identifier that the member must have.
    pub member: Arc<str>,
    /// Group that the member must belong to.
    pub group: Arc<str>,
    /// Address of the member.
    pub address: SocketAddr,
    /// Client account on whose behalf statements will run.
    pub account: Arc<str>,
}

/// Replies to the statements of one batch, in their order.
pub type ReplyBatch = SmallVec<[MemberReply; 4]>;

/// An open connection to a member.
#[async_trait(?Send)]
pub trait MemberLink {
    /// Sends statements together and returns their replies.
    ///
    /// After an error the connection must not be used again.
    async fn run(
        &mut self,
        statements: &[MemberStatement],
        limit: Duration,
    ) -> Result<ReplyBatch, LinkError>;

    /// Tells whether the far end has closed the idle connection or has sent something unasked.
    fn is_broken(&self) -> bool;
}

/// Opens connections to members.
#[async_trait(?Send)]
pub trait MemberConnector {
    /// Opens a session.
    async fn connect(
        &self,
        target: &MemberTarget,
        limit: Duration,
    ) -> Result<Box<dyn MemberLink>, LinkError>;

    /// Tells whether the member's machine accepts connections, without opening a session.
    async fn probe(&self, address: SocketAddr, limit: Duration) -> Result<(), LinkError>;

    /// Reads the reply to [`MemberStatement::Status`] or [`MemberStatement::Demote`].
    fn parse_status(&self, reply: &MemberReply) -> Option<MemberStatus>;
}
