//! Responses to the statements of a session, and their failures.

use std::sync::Arc;
use std::time::Duration;

use coriander_core::RequestOutcome;
use serde::{Deserialize, Serialize};

/// Failure code of a statement, as sent to clients and received from members.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum FailureCode {
    /// The statement was not run because of load or because no member could run it.
    Busy,
    /// The transaction was rolled back.
    Aborted,
    /// The member's log does not contain the required position.
    Lagging,
    /// The member is not the primary.
    ReadOnly,
    /// The member is not the one that the session was opened for.
    Misrouted,
    /// The member's connection limit is reached.
    TooManyConnections,
    /// The writes may or may not have been committed.
    InDoubt,
    /// The statement timed out and may have run.
    Timeout,
    /// The statement ran and failed.
    Failed,
    /// No statement is prepared under the name.
    UnknownName,
    /// The statement is invalid, or not allowed in the state of the session.
    Malformed,
    /// The key is not valid.
    UnknownKey,
    /// There is no route for the database.
    UnknownDatabase,
    /// A code that this version does not support.
    Unrecognized,
}

impl FailureCode {
    /// Returns whether the statement has run when a member replies with this code.
    ///
    /// ```
    /// use coriander_core::RequestOutcome;
    /// use coriander_service_api::FailureCode;
    ///
    /// assert_eq!(FailureCode::Lagging.member_outcome(), RequestOutcome::NotRun);
    /// assert_eq!(FailureCode::Unrecognized.member_outcome(), RequestOutcome::Unknown);
    /// ```
    pub const fn member_outcome(self) -> RequestOutcome {
        match self {
            Self::Busy
            | Self::UnknownName
            | Self::Lagging
            | Self::ReadOnly
            | Self::Misrouted
            | Self::TooManyConnections
            | Self::Aborted
            | Self::Malformed
            | Self::UnknownKey
            | Self::UnknownDatabase => RequestOutcome::NotRun,
            Self::Failed => RequestOutcome::Run,
            Self::Timeout | Self::InDoubt | Self::Unrecognized => RequestOutcome::Unknown,
        }
    }

    /// Returns the label for logs and metrics.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::Aborted => "aborted",
            Self::Lagging => "lagging",
            Self::ReadOnly => "read_only",
            Self::Misrouted => "misrouted",
            Self::TooManyConnections => "too_many_connections",
            Self::InDoubt => "in_doubt",
            Self::Timeout => "timeout",
            Self::Failed => "failed",
            Self::UnknownName => "unknown_name",
            Self::Malformed => "malformed",
            Self::UnknownKey => "unknown_key",
            Self::UnknownDatabase => "unknown_database",
            Self::Unrecognized => "unrecognized",
        }
    }
}

/// Cause of a failure as determined by the proxy.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum FailureReason {
    /// The configuration was not confirmed recently enough to accept the key.
    ConfigTooOld,
    /// No configuration has been read yet.
    NoConfig,
    /// The key belongs to no account of the configuration in force.
    KeyNotInConfig,
    /// The database has no route in the configuration in force.
    NoRoute,
    /// The account has used up its rate and burst.
    RateExceeded,
    /// The group has no primary that may be used.
    NoPrimary,
    /// No member of the group may be used.
    NoMember,
    /// No connection became free in time.
    NoConnection,
    /// The member replied with an error.
    MemberRefused,
    /// The member sent no reply within the timeout.
    MemberSilent,
    /// The connection to the member was closed before the reply.
    ConnectionLost,
    /// The transaction was idle for too long.
    IdleTransaction,
    /// An earlier statement of the transaction failed.
    TransactionFailed,
    /// The statement is not allowed in the state of the session.
    WrongState,
    /// The statement could not be parsed.
    BadStatement,
    /// Clients hold all the memory that the process has for them.
    NoMemory,
    /// The process is shutting down.
    ShuttingDown,
}

impl FailureReason {
    /// Returns the label for logs and metrics.
    pub const fn label(self) -> &'static str {
        match self {
            Self::ConfigTooOld => "config_too_old",
            Self::NoConfig => "no_config",
            Self::KeyNotInConfig => "key_not_in_config",
            Self::NoRoute => "no_route",
            Self::RateExceeded => "rate_exceeded",
            Self::NoPrimary => "no_primary",
            Self::NoMember => "no_member",
            Self::NoConnection => "no_connection",
            Self::MemberRefused => "member_refused",
            Self::MemberSilent => "member_silent",
            Self::ConnectionLost => "connection_lost",
            Self::IdleTransaction => "idle_transaction",
            Self::TransactionFailed => "transaction_failed",
            Self::WrongState => "wrong_state",
            Self::BadStatement => "bad_statement",
            Self::NoMemory => "no_memory",
            Self::ShuttingDown => "shutting_down",
        }
    }
}

/// A failed statement.
///
/// ```
/// use std::time::Duration;
/// use coriander_service_api::{FailureCode, FailureReason, SessionFailure};
///
/// let failure = SessionFailure::new(FailureCode::Busy, FailureReason::RateExceeded)
///     .with_retry_after(Duration::from_millis(40));
/// assert_eq!(failure.message(), "rate_exceeded; retry after 40 ms");
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SessionFailure {
    /// Code sent to the client.
    pub code: FailureCode,
    /// Cause, for the message, logs and metrics.
    pub reason: FailureReason,
    /// The member's explanation, if the member refused the statement.
    pub detail: Option<Arc<str>>,
    /// Values on which the decision to fail was based; written to logs, not sent to clients.
    pub decision_inputs: Option<Arc<str>>,
    /// Time after which a retry can succeed.
    pub retry_after: Option<Duration>,
}

impl SessionFailure {
    /// Creates a failure without detail.
    pub const fn new(code: FailureCode, reason: FailureReason) -> Self {
        Self {
            code,
            reason,
            detail: None,
            decision_inputs: None,
            retry_after: None,
        }
    }

    /// Sets the time after which a retry can succeed.
    #[must_use]
    pub const fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Sets the member's explanation.
    #[must_use]
    pub fn with_detail(mut self, detail: Arc<str>) -> Self {
        self.detail = Some(detail);
        self
    }

    /// Sets the values on which the decision was based; they are not sent to clients.
    #[must_use]
    pub fn with_decision_inputs(mut self, decision_inputs: String) -> Self {
        self.decision_inputs = Some(decision_inputs.into());
        self
    }

    /// Returns the message for the client.
    pub fn message(&self) -> String {
        let mut text = self.reason.label().to_owned();
        if let Some(detail) = &self.detail {
            text.push_str(": ");
            text.push_str(detail);
        }
        if let Some(delay) = self.retry_after {
            text.push_str(&format!("; retry after {} ms", delay.as_millis()));
        }
        text
    }
}

/// State of a session's transaction after a statement.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum TransactionStatus {
    /// No transaction is open.
    #[default]
    Idle,
    /// A transaction is open.
    Open,
    /// The transaction failed; only commit and rollback are accepted.
    Failed,
}

/// Response to one statement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SessionResponse {
    /// Rows of a read.
    pub rows: Vec<Arc<str>>,
    /// Signature of the member that ran the statement, `None` if no member had to run it, or the
    /// failure.
    pub result: Result<Option<Arc<str>>, SessionFailure>,
    /// State of the transaction after the statement.
    pub transaction: TransactionStatus,
}

impl SessionResponse {
    /// Creates the response to a statement that no member had to run.
    pub const fn acknowledged(transaction: TransactionStatus) -> Self {
        Self {
            rows: Vec::new(),
            result: Ok(None),
            transaction,
        }
    }

    /// Creates the response to a failed statement.
    pub const fn failed(failure: SessionFailure, transaction: TransactionStatus) -> Self {
        Self {
            rows: Vec::new(),
            result: Err(failure),
            transaction,
        }
    }
}
