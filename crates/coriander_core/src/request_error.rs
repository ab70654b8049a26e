//! Error returned to a caller, with a stable code and the outcome of the request.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Outcome of a request that failed, as far as it is known.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// No statement of the request was executed and none will be.
    NotRun,
    /// The request was executed; the error is its result.
    Run,
    /// The request may or may not have been executed.
    Unknown,
}

impl fmt::Display for RequestOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not_run",
            Self::Run => "run",
            Self::Unknown => "unknown",
        })
    }
}

macro_rules! define_codes {
    ($($(#[$doc:meta])* $variant:ident = $text:literal, $status:literal;)*) => {
        /// Stable code of an error returned to callers.
        #[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        pub enum ErrorCode {
            $($(#[$doc])* #[serde(rename = $text)] $variant,)*
        }

        impl ErrorCode {
            /// All codes, in the order of the documentation.
            pub const ALL: &'static [Self] = &[$(Self::$variant),*];

            /// Returns the code as it appears in responses and metrics.
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$variant => $text,)* }
            }

            /// Returns the HTTP status of the code.
            pub const fn http_status(self) -> u16 {
                match self { $(Self::$variant => $status,)* }
            }
        }
    };
}

define_codes! {
    /// The request is malformed or exceeds a limit.
    BadRequest = "BAD_REQUEST", 400;
    /// The key is missing, unknown or withdrawn.
    Unauthorized = "UNAUTHORIZED", 401;
    /// The database, class or account does not exist.
    NotFound = "NOT_FOUND", 404;
    /// The baton is forged, out of date or belongs to another account.
    BadBaton = "BAD_BATON", 400;
    /// The session token is forged, truncated or belongs to another account.
    BadSession = "BAD_SESSION", 400;
    /// The request id was used before for a different request.
    RequestIdReused = "REQUEST_ID_REUSED", 409;
    /// The account has exceeded its rate and burst.
    RateLimited = "RATE_LIMITED", 429;
    /// The request waited longer than its class allows.
    Overloaded = "OVERLOADED", 503;
    /// The instance has no confirmed configuration and must not serve.
    ConfigStale = "CONFIG_STALE", 503;
    /// The instance or its zone is draining.
    Draining = "DRAINING", 503;
    /// No member can currently serve the request.
    NoUpstream = "NO_UPSTREAM", 503;
    /// The upstream refused the request because of its term.
    TermChanged = "TERM_CHANGED", 503;
    /// The upstream did not reply in time.
    UpstreamTimeout = "UPSTREAM_TIMEOUT", 504;
    /// The transaction was rolled back because its instance or upstream was lost.
    TransactionLost = "TRANSACTION_LOST", 409;
    /// The outcome of the request cannot currently be determined.
    OutcomeUnknown = "OUTCOME_UNKNOWN", 504;
    /// Internal error of the proxy.
    Internal = "INTERNAL", 500;
}

impl fmt::Display for ErrorCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Error of a request, as returned to the caller.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
#[error("{code}: {message} (outcome: {outcome})")]
pub struct RequestError {
    /// Stable code.
    pub code: ErrorCode,
    /// Outcome of the request.
    pub outcome: RequestOutcome,
    /// Human-readable explanation.
    pub message: String,
    /// Delay after which to retry.
    pub retry_after: Option<Duration>,
}

impl RequestError {
    /// Creates an error of a request that was not executed.
    ///
    /// ```
    /// use coriander_core::{ErrorCode, RequestError};
    ///
    /// let error = RequestError::not_run(ErrorCode::Draining, "instance is leaving");
    /// assert_eq!(error.to_string(), "DRAINING: instance is leaving (outcome: not_run)");
    /// ```
    pub fn not_run(code: ErrorCode, message: impl Into<String>) -> Self {
        Self::new(code, RequestOutcome::NotRun, message)
    }

    /// Creates an error of a request that may have been executed.
    pub fn unknown(code: ErrorCode, message: impl Into<String>) -> Self {
        Self::new(code, RequestOutcome::Unknown, message)
    }

    /// Creates an error of a request that was executed.
    pub fn run(code: ErrorCode, message: impl Into<String>) -> Self {
        Self::new(code, RequestOutcome::Run, message)
    }

    /// Sets the delay after which to retry.
    #[must_use]
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    fn new(code: ErrorCode, outcome: RequestOutcome, message: impl Into<String>) -> Self {
        Self {
            code,
            outcome,
            message: message.into(),
            retry_after: None,
        }
    }
}
