//! Errors of platform calls, by what is known about their effect.

use std::time::Duration;

use thiserror::Error;

/// Failure of a platform call.
///
/// The variants differ in what the caller may conclude about a write:
///
/// ```
/// use coriander_consul::PlatformError;
///
/// let error = PlatformError::ResponseLost { reason: "connection closed".into() };
/// assert!(error.may_have_taken_effect());
/// let error = PlatformError::NotSent { reason: "connection refused".into() };
/// assert!(!error.may_have_taken_effect());
/// ```
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum PlatformError {
    /// The request did not leave the process because no connection could be opened.
    #[error("platform request was not sent: {reason}")]
    NotSent {
        /// What prevented it.
        reason: String,
    },
    /// The request did not leave the process because earlier calls failed or the process has
    /// used its share of calls.
    #[error("platform request was not sent: next call is allowed in {retry_after:?}")]
    Paced {
        /// Time until the next call is allowed.
        retry_after: Duration,
    },
    /// The platform received the request and refused it; it had no effect.
    #[error("platform refused the request with status {status}: {message}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// Explanation sent by the platform.
        message: String,
    },
    /// The request was sent but no usable response arrived; a write may have taken effect.
    #[error("platform response was lost: {reason}")]
    ResponseLost {
        /// What happened to the response.
        reason: String,
    },
}

impl PlatformError {
    /// Tells whether a write with this error may have taken effect.
    pub const fn may_have_taken_effect(&self) -> bool {
        matches!(self, Self::ResponseLost { .. })
    }
}
