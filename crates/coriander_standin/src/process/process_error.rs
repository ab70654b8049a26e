//! Errors of the process helpers.

use std::io;
use std::path::PathBuf;
use std::time::Duration;

use thiserror::Error;

/// Failure to start, reach or signal a process.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// The program has not been built.
    #[error("{0} does not exist; run `cargo build --workspace --bins --examples` first")]
    NotBuilt(PathBuf),
    /// The group has no process with this name, or it has ended.
    #[error("no process named {0} is running")]
    NotRunning(String),
    /// A system call failed.
    #[error("{context}: {source}")]
    System {
        /// Description of the failed operation.
        context: String,
        /// Cause reported by the operating system.
        source: io::Error,
    },
    /// No loopback port was unused.
    #[error("found no unused port")]
    NoPort,
    /// No connection could be opened, so the request was not sent.
    #[error("failed to connect for {0}")]
    NotSent(String),
    /// A request that may have been sent got no complete response.
    #[error("request to {url} failed: {reason}")]
    Request {
        /// Requested URL.
        url: String,
        /// Reason reported by the HTTP client.
        reason: String,
    },
    /// A response could not be parsed.
    #[error("unexpected response: {0}")]
    Body(#[from] serde_json::Error),
    /// An instance did not make a configuration change.
    #[error("configuration change failed: {0}")]
    Change(String),
    /// A name in a profile is not valid.
    #[error(transparent)]
    Name(#[from] coriander_core::NameError),
    /// A condition did not hold before the timeout.
    #[error("timed out after {timeout:?} waiting for {condition}")]
    Timeout {
        /// Description of the condition.
        condition: String,
        /// Timeout of the wait.
        timeout: Duration,
    },
}

impl ProcessError {
    /// Adds a description of the failed operation to an error of the operating system.
    pub fn system(context: impl Into<String>) -> impl FnOnce(io::Error) -> Self {
        let context = context.into();
        move |source| Self::System { context, source }
    }
}
