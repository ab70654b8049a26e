//! Errors of platform calls, classified by what is known about their effect.

use std::time::Duration;

use thiserror::Error;

/// Failure of a platform call.
///
/// The variants determine what the caller may conclude about a write:
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
    /// The request was not sent because it is invalid or no connection could be opened.
    #[error("platform request was not sent: {reason}")]
    NotSent {
        /// Cause.
        reason: String,
    },
    /// The request was not sent because earlier calls failed or the rate limit of the process is
    /// reached.
    #[error("platform request was not sent: next call is allowed in {retry_after:?}")]
    Paced {
        /// Time until the next call is allowed.
        retry_after: Duration,
    },
    /// The platform refused the request, which had no effect.
    #[error("platform refused the request with status {status}: {message}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// Error message of the platform.
        message: String,
    },
    /// The request was sent but no usable response arrived; a write may have taken effect.
    #[error("platform response was lost: {reason}")]
    ResponseLost {
        /// Cause.
        reason: String,
    },
}

impl PlatformError {
    /// Returns whether a write that failed with this error may have taken effect.
    pub const fn may_have_taken_effect(&self) -> bool {
        matches!(self, Self::ResponseLost { .. })
    }
}
