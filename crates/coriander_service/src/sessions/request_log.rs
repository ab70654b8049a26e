//! Rate-limited log lines of statements and refused sessions.

use std::cell::RefCell;
use std::time::Duration;

use coriander_core::MonotonicTime;
use coriander_journal::LineBudget;
use coriander_service_api::{ClientStatement, SessionFailure, StatementKind};

use crate::sessions::operation_trace::OperationTrace;

/// Lines per second for successful statements; the counters include all of them.
const SUCCESS_LINES_PER_SECOND: f64 = 5.0;

/// Burst of lines for successful statements.
const SUCCESS_BURST: f64 = 10.0;

/// Lines per second for failed statements and refused sessions.
const FAILURE_LINES_PER_SECOND: f64 = 100.0;

/// Burst of lines for failed statements and refused sessions.
const FAILURE_BURST: f64 = 400.0;

/// A statement that has ended, with the content of its log line.
pub struct EndedStatement<'a> {
    /// The statement.
    pub statement: &'a ClientStatement,
    /// Database of the session.
    pub database: &'a str,
    /// Account of the session's key, if the configuration has it.
    pub account: Option<&'a str>,
    /// Failure, if it failed.
    pub failure: Option<&'a SessionFailure>,
    /// Attempts made.
    pub trace: &'a OperationTrace,
    /// Duration.
    pub duration: Duration,
    /// Configuration version in force.
    pub config_version: u64,
    /// Time since the version was last confirmed as the newest.
    pub config_age: Option<Duration>,
}

/// A refused session, with the content of its log line.
pub struct RefusedSession<'a> {
    /// Database that the caller requested.
    pub database: &'a str,
    /// Reason of the refusal.
    pub failure: &'a SessionFailure,
    /// Configuration version in force.
    pub config_version: u64,
    /// Time since the version was last confirmed as the newest.
    pub config_age: Option<Duration>,
}

/// Writes log lines of statements and refused sessions within a rate.
pub struct RequestLog {
    successes: RefCell<LineBudget>,
    failures: RefCell<LineBudget>,
}

impl Default for RequestLog {
    fn default() -> Self {
        Self {
            successes: RefCell::new(LineBudget::new(SUCCESS_LINES_PER_SECOND, SUCCESS_BURST)),
            failures: RefCell::new(LineBudget::new(FAILURE_LINES_PER_SECOND, FAILURE_BURST)),
        }
    }
}

impl RequestLog {
    /// Writes the line of a statement unless the rate is exceeded.
    pub fn write_statement(&self, ended: &EndedStatement<'_>, now: MonotonicTime) {
        match ended.failure {
            Some(failure) => self.write_failure(ended, failure, now),
            None => self.write_success(ended, now),
        }
    }

    /// Writes the line of a refused session unless the rate is exceeded.
    pub fn write_refused_session(&self, refused: &RefusedSession<'_>, now: MonotonicTime) {
        let Some(left_out) = self.failures.borrow_mut().try_take(now) else {
            return;
        };
        let failure = refused.failure;
        log::warn!(
            target: "request",
            database = refused.database,
            code = failure.code.label(),
            reason = failure.reason.label(),
            retry_after_ms = failure.retry_after.map_or(0, |delay| delay.as_millis() as u64),
            config_version = refused.config_version,
            config_age_ms = refused.config_age.map_or(-1, |age| age.as_millis() as i64),
            left_out = left_out;
            "session refused"
        );
    }

    fn write_success(&self, ended: &EndedStatement<'_>, now: MonotonicTime) {
        // A statement without an attempt at a member only changes session state.
        if ended.trace.attempts().is_empty() {
            return;
        }
        let Some(left_out) = self.successes.borrow_mut().try_take(now) else {
            return;
        };
        log::info!(
            target: "request",
            id = &*ended.statement.id,
            database = ended.database,
            account = ended.account.unwrap_or("-"),
            statement = kind_label(&ended.statement.kind),
            took_ms = ended.duration.as_millis() as u64,
            attempts:% = ended.trace,
            left_out = left_out;
            "statement completed"
        );
    }

    fn write_failure(
        &self,
        ended: &EndedStatement<'_>,
        failure: &SessionFailure,
        now: MonotonicTime,
    ) {
        let Some(left_out) = self.failures.borrow_mut().try_take(now) else {
            return;
        };
        log::warn!(
            target: "request",
            id = &*ended.statement.id,
            database = ended.database,
            account = ended.account.unwrap_or("-"),
            statement = kind_label(&ended.statement.kind),
            code = failure.code.label(),
            reason = failure.reason.label(),
            detail = failure.detail.as_deref().unwrap_or("-"),
            inputs = failure.decision_inputs.as_deref().unwrap_or("-"),
            retry_after_ms = failure.retry_after.map_or(0, |delay| delay.as_millis() as u64),
            took_ms = ended.duration.as_millis() as u64,
            attempts:% = ended.trace,
            config_version = ended.config_version,
            config_age_ms = ended.config_age.map_or(-1, |age| age.as_millis() as i64),
            left_out = left_out;
            "statement failed"
        );
    }
}

/// Returns the kind of a statement as it appears in logs and metrics.
pub const fn kind_label(kind: &StatementKind) -> &'static str {
    match kind {
        StatementKind::Begin { .. } => "begin",
        StatementKind::Commit => "commit",
        StatementKind::Rollback => "rollback",
        StatementKind::Read => "read",
        StatementKind::Write => "write",
        StatementKind::Set { .. } => "set",
        StatementKind::Prepare { .. } => "prepare",
        StatementKind::Execute { .. } => "execute",
        StatementKind::Deallocate { .. } => "deallocate",
        StatementKind::Unknown => "unknown",
    }
}
