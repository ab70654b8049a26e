//! Errors of upstream calls, classified by what is known about the execution.

use coriander_core::{LogPosition, RequestOutcome, TermNumber};
use thiserror::Error;

/// Reason why a request was not sent.
#[derive(Clone, Copy, Debug, Eq, Error, Hash, PartialEq)]
pub enum SendFailure {
    /// The member's host refused the connection: no process listens there.
    #[error("connection refused")]
    Refused,
    /// The connection was not opened within the timeout.
    #[error("connection not opened in time")]
    Timeout,
    /// The connection could not be opened for another reason.
    #[error("member unreachable")]
    Unreachable,
}

/// Refusal of a request that the member did not execute.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{code}: {message}")]
pub struct UpstreamRefusal {
    /// HTTP status of the refusal.
    pub status: u16,
    /// Code from the body, such as `TERM_CHANGED`; empty if the body has none.
    pub code: String,
    /// Explanation from the body.
    pub message: String,
    /// Highest term that the member has accepted.
    pub term: Option<TermNumber>,
    /// Last entry of the member's log.
    pub log: Option<LogPosition>,
}

/// Failure of an upstream call.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum UpstreamError {
    /// The request was not sent.
    #[error("request not sent: {0}")]
    NotSent(SendFailure),
    /// The member refused the request before executing it.
    #[error("refused as not run: {0}")]
    Refused(UpstreamRefusal),
    /// The request may have been sent, but the whole response was not received.
    #[error("no response: {reason}")]
    NoResponse {
        /// Description of the transport failure.
        reason: String,
    },
    /// The member responded with an error that does not state whether the request was executed.
    #[error("member responded with status {status}: {body}")]
    Failed {
        /// HTTP status of the response.
        status: u16,
        /// Start of the response body.
        body: String,
    },
    /// The response was not read, because this process has no memory for it. It shows nothing about
    /// the member.
    #[error("no memory for the response")]
    NoMemory,
    /// The response does not follow the protocol.
    #[error("malformed response: {reason}")]
    Malformed {
        /// Description of the violation.
        reason: String,
    },
}

impl UpstreamError {
    /// Returns what is known about the execution of the request.
    ///
    /// ```
    /// use coriander_core::RequestOutcome;
    /// use coriander_upstream::{SendFailure, UpstreamError};
    ///
    /// let refused = UpstreamError::NotSent(SendFailure::Refused);
    /// assert_eq!(refused.outcome(), RequestOutcome::NotRun);
    /// let lost = UpstreamError::NoResponse { reason: "timeout".into() };
    /// assert_eq!(lost.outcome(), RequestOutcome::Unknown);
    /// ```
    pub fn outcome(&self) -> RequestOutcome {
        match self {
            Self::NotSent(_) | Self::Refused(_) => RequestOutcome::NotRun,
            Self::NoResponse { .. }
            | Self::Failed { .. }
            | Self::Malformed { .. }
            | Self::NoMemory => RequestOutcome::Unknown,
        }
    }

    /// Returns whether the member's host refused the connection.
    pub fn is_connection_refused(&self) -> bool {
        matches!(self, Self::NotSent(SendFailure::Refused))
    }
}
