//! Attempts made for one statement, for its log line.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coriander_core::LogPosition;

/// One attempt to run a statement.
#[derive(Clone, Debug)]
pub struct AttemptTrace {
    /// The member.
    pub member: Arc<str>,
    /// Home instance whose connection was used; `None` for this instance.
    pub home_instance: Option<SocketAddr>,
    /// Position that the member's log had to contain; `None` if there was none or the member had to
    /// be the primary.
    pub min_position: Option<LogPosition>,
    /// Result as one word.
    pub result: &'static str,
    /// Duration.
    pub duration: Duration,
}

impl fmt::Display for AttemptTrace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.member)?;
        if let Some(home_instance) = self.home_instance {
            write!(f, "@{}", home_instance.ip())?;
        }
        match self.min_position {
            Some(min_position) => write!(f, ":floor={min_position}")?,
            None => f.write_str(":any")?,
        }
        write!(f, ":{}:{}ms", self.result, self.duration.as_millis())
    }
}

/// All attempts for one statement.
#[derive(Clone, Debug, Default)]
pub struct OperationTrace {
    /// Whether an attempt has shown that the instance which would execute the read knows no
    /// position for its age either, so that only the primary can serve it.
    pub position_unknown: bool,
    attempts: Vec<AttemptTrace>,
}

/// Number of attempts that are kept; a later one replaces the last.
const MAX_ATTEMPTS: usize = 8;

impl OperationTrace {
    /// Adds an attempt.
    pub fn add(&mut self, attempt: AttemptTrace) {
        if self.attempts.len() == MAX_ATTEMPTS {
            self.attempts.pop();
        }
        self.attempts.push(attempt);
    }

    /// Returns the attempts in their order.
    pub fn attempts(&self) -> &[AttemptTrace] {
        &self.attempts
    }
}

impl fmt::Display for OperationTrace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, attempt) in self.attempts.iter().enumerate() {
            if index > 0 {
                f.write_str(",")?;
            }
            write!(f, "{attempt}")?;
        }
        Ok(())
    }
}
