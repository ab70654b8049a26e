//! Answers to the statements of a session and the failures that they report.

use std::sync::Arc;
use std::time::Duration;

use coriander_core::RequestOutcome;
use serde::{Deserialize, Serialize};

/// Reason why a statement failed, as callers and members report it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum FailureCode {
    /// The statement was not run because of load or because no member can run it now.
    Busy,
    /// The transaction was rolled back.
    Aborted,
    /// The member's log lacks the required position.
    Lagging,
    /// The member is not the primary.
    ReadOnly,
    /// The member is not the expected one.
    Misrouted,
    /// The member has no connection left.
    TooManyConnections,
    /// It is not known whether the writes are kept.
    InDoubt,
    /// The statement ran out of time and may have run.
    Timeout,
    /// The statement ran and failed.
    Failed,
    /// The prepared name is not known.
    UnknownName,
    /// The statement is not allowed in the state of the session.
    Malformed,
    /// The key is not known.
    UnknownKey,
    /// No route has the name of the database.
    UnknownDatabase,
    /// A code that this version does not know.
    Unrecognized,
}

impl FailureCode {
    /// Returns what a member's code says about the statement.
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

    /// Returns the word used in logs and metrics.
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

/// Cause of a failure that the proxy itself decided or observed; the label of logs and metrics.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum FailureReason {
    /// The configuration could not be confirmed recently enough to trust the key.
    ConfigTooOld,
    /// No configuration has been read yet.
    NoConfig,
    /// The key is in no account of the configuration in force.
    KeyNotInConfig,
    /// The database has no route in the configuration in force.
    NoRoute,
    /// The account has used its rate and burst.
    RateExceeded,
    /// The group has no primary that may be used.
    NoPrimary,
    /// No member of the group may be used.
    NoMember,
    /// No connection became free in time.
    NoConnection,
    /// The member answered with an error.
    MemberRefused,
    /// The member sent no answer in time.
    MemberSilent,
    /// The connection to the member ended before the answer.
    ConnectionLost,
    /// The transaction was idle for too long.
    IdleTransaction,
    /// The transaction had failed before.
    TransactionFailed,
    /// The statement does not fit the state of the session.
    WrongState,
    /// The statement could not be parsed.
    BadStatement,
    /// The process is shutting down.
    ShuttingDown,
}

impl FailureReason {
    /// Returns the word used in logs and metrics.
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
    /// Code that the caller receives.
    pub code: FailureCode,
    /// Cause, for message, logs and metrics.
    pub reason: FailureReason,
    /// Text of the member, if the member refused.
    pub detail: Option<Arc<str>>,
    /// What decided about the failure, for logs only.
    pub decision_inputs: Option<Arc<str>>,
    /// When a repetition can succeed.
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

    /// Adds the time after which a repetition can succeed.
    #[must_use]
    pub const fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Adds the text of the member.
    #[must_use]
    pub fn with_detail(mut self, detail: Arc<str>) -> Self {
        self.detail = Some(detail);
        self
    }

    /// Adds what decided about the failure; callers do not see it.
    #[must_use]
    pub fn with_decision_inputs(mut self, decision_inputs: String) -> Self {
        self.decision_inputs = Some(decision_inputs.into());
        self
    }

    /// Returns the text for the caller.
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
    /// The transaction failed; only its end is accepted.
    Failed,
}

/// Answer to one statement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SessionResponse {
    /// Rows of a read.
    pub rows: Vec<Arc<str>>,
    /// Signature of the member that ran the statement, `None` if the proxy answered itself, or
    /// the failure.
    pub result: Result<Option<Arc<str>>, SessionFailure>,
    /// State of the transaction afterwards.
    pub transaction: TransactionStatus,
}

impl SessionResponse {
    /// Answers a statement that no member had to run.
    pub const fn acknowledged(transaction: TransactionStatus) -> Self {
        Self {
            rows: Vec::new(),
            result: Ok(None),
            transaction,
        }
    }

    /// Reports a failure.
    pub const fn failed(failure: SessionFailure, transaction: TransactionStatus) -> Self {
        Self {
            rows: Vec::new(),
            result: Err(failure),
            transaction,
        }
    }
}
