//! Execution of statements on a stream and recording of the changes to replicate.

use std::rc::Rc;
use std::time::{Duration, Instant};

use coriander_core::{LogPosition, MemberRole};
use libsql_hrana::proto::{Error as HranaError, Stmt, StmtResult};
use rusqlite::Statement;
use rusqlite::fallible_iterator::FallibleIterator;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::sleep;

use super::group_log::LoggedStatement;
use super::member_node::MemberNode;
use super::sql_database::{is_busy, leading_words, prepare_single, run_statement};
use super::sql_functions::StatementClock;
use super::sql_value::LoggedValue;
use super::stream_table::SqlStream;
use crate::precise_sleep::precise_sleep;

/// Interval between attempts to run a statement while another transaction holds the lock.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(1);

/// Executes the statements of one request on its stream.
pub struct StatementRunner<'a> {
    /// Stream of the request.
    pub stream: &'a mut SqlStream,
    /// Position of the last transaction that the request has committed.
    pub committed: Option<LogPosition>,
    node: Rc<MemberNode>,
    permit: Option<OwnedSemaphorePermit>,
}

enum AttemptError {
    Busy,
    Failed(HranaError),
}

impl From<rusqlite::Error> for AttemptError {
    fn from(error: rusqlite::Error) -> Self {
        if is_busy(&error) {
            Self::Busy
        } else {
            Self::Failed(sqlite_error(&error))
        }
    }
}

/// Creates a statement error.
pub fn statement_error(code: &str, message: impl Into<String>) -> HranaError {
    HranaError {
        code: code.to_owned(),
        message: message.into(),
    }
}

/// Converts an SQLite error to a statement error.
pub fn sqlite_error(error: &rusqlite::Error) -> HranaError {
    let code = match error.sqlite_error().map(|cause| cause.extended_code) {
        Some(1555) => "SQLITE_CONSTRAINT_PRIMARYKEY",
        Some(2067) => "SQLITE_CONSTRAINT_UNIQUE",
        Some(1299) => "SQLITE_CONSTRAINT_NOTNULL",
        Some(code) if code & 0xff == 19 => "SQLITE_CONSTRAINT",
        Some(code) if code & 0xff == 5 => "SQLITE_BUSY",
        Some(code) if code & 0xff == 6 => "SQLITE_LOCKED",
        _ if matches!(error, rusqlite::Error::MultipleStatement) => "SQL_MANY_STATEMENTS",
        _ => "SQLITE_ERROR",
    };
    statement_error(code, error.to_string())
}

impl<'a> StatementRunner<'a> {
    /// Creates a runner that uses the given slot.
    pub fn new(
        node: Rc<MemberNode>,
        stream: &'a mut SqlStream,
        permit: OwnedSemaphorePermit,
    ) -> Self {
        Self {
            stream,
            committed: None,
            node,
            permit: Some(permit),
        }
    }

    /// Runs a statement of a request.
    pub async fn run(&mut self, request: &Stmt) -> Result<StmtResult, HranaError> {
        let sql = self.resolve_sql(request.sql.as_ref(), request.sql_id)?;
        self.run_sql(&sql, request).await
    }

    /// Runs all statements of a text up to the first error.
    pub async fn run_sequence(&mut self, sql: &str) -> Result<(), HranaError> {
        let no_args = Stmt::new("", false);
        let mut rest = sql;
        loop {
            // Only the next statement is prepared: later ones may use tables that it creates.
            let first = {
                let mut batch = rusqlite::Batch::new(&self.stream.connection, rest);
                let next = batch.next().map_err(|error| sqlite_error(&error))?;
                next.and_then(|statement| statement.expanded_sql())
            };
            let Some(first) = first else { return Ok(()) };
            self.run_sql(&first, &no_args).await?;
            let end = rest.find(&first).map_or(rest.len(), |at| at + first.len());
            rest = &rest[end..];
        }
    }

    /// Returns the SQL text of a request, or the stored text with its id.
    pub fn resolve_sql(
        &self,
        sql: Option<&String>,
        sql_id: Option<i32>,
    ) -> Result<String, HranaError> {
        let stored = || sql_id.and_then(|id| self.stream.stored_sql.get(&id));
        sql.or_else(stored)
            .cloned()
            .ok_or_else(|| statement_error("SQL_NOT_FOUND", "the request has no SQL text"))
    }

    async fn run_sql(&mut self, sql: &str, request: &Stmt) -> Result<StmtResult, HranaError> {
        let settings = &self.node.settings;
        precise_sleep(Duration::from_micros(settings.statement_time_us)).await;
        let deadline = Instant::now() + Duration::from_millis(settings.lock_wait_ms);
        loop {
            match self.attempt(sql, request) {
                Ok(result) => return Ok(result),
                Err(AttemptError::Failed(error)) => return Err(error),
                Err(AttemptError::Busy) if Instant::now() >= deadline => {
                    return Err(statement_error("SQLITE_BUSY", "database is locked"));
                }
                Err(AttemptError::Busy) => {
                    // The transaction that holds the lock needs a slot to commit, so this request
                    // releases its own.
                    self.permit = None;
                    sleep(LOCK_RETRY_INTERVAL).await;
                    self.permit = self.node.reacquire_slot().await;
                }
            }
        }
    }

    /// Runs a statement without a suspension point, so that the term cannot change during it.
    fn attempt(&mut self, sql: &str, request: &Stmt) -> Result<StmtResult, AttemptError> {
        let stream = &mut *self.stream;
        if stream.epoch != self.node.epoch() {
            let message = "the term changed; the open transaction was rolled back";
            return Err(AttemptError::Failed(statement_error(
                "STREAM_LOST",
                message,
            )));
        }
        let connection = &stream.connection;
        let Some(mut statement) = prepare_single(connection, sql)? else {
            return Ok(empty_result());
        };
        let words = leading_words(sql, 3);
        let is_read = statement.readonly();
        let takes_write_lock = words.first().is_some_and(|word| word == "BEGIN")
            && words
                .get(1)
                .is_some_and(|word| word == "IMMEDIATE" || word == "EXCLUSIVE");
        if (!is_read || takes_write_lock) && self.node.group.borrow().role != MemberRole::Primary {
            let message = "this member is not the primary";
            return Err(AttemptError::Failed(statement_error(
                "NOT_PRIMARY",
                message,
            )));
        }
        let logged = LoggedStatement {
            sql: sql.to_owned(),
            args: resolve_args(&statement, request).map_err(AttemptError::Failed)?,
            clock: StatementClock::new(),
        };
        let was_autocommit = connection.is_autocommit();
        let want_rows = request.want_rows.unwrap_or(true);
        let result = run_statement(connection, &mut statement, &logged, want_rows);
        drop(statement);
        let is_autocommit = connection.is_autocommit();
        let last_insert_rowid = connection.last_insert_rowid();
        if result.is_err() && is_autocommit && !was_autocommit {
            stream.pending_statements.clear();
        }
        let output = result?;
        self.log_statement(logged, &words, is_read, (was_autocommit, is_autocommit));
        Ok(StmtResult {
            cols: output.cols,
            rows: output.rows,
            affected_row_count: output.affected_rows,
            last_insert_rowid: Some(last_insert_rowid),
            replication_index: None,
            rows_read: 0,
            rows_written: output.affected_rows,
            query_duration_ms: 0.0,
        })
    }

    fn log_statement(
        &mut self,
        logged: LoggedStatement,
        words: &[String],
        is_read: bool,
        (was_autocommit, is_autocommit): (bool, bool),
    ) {
        let first = words.first().map_or("", String::as_str);
        let is_rollback_to = first == "ROLLBACK" && words.iter().any(|word| word == "TO");
        let is_savepoint = matches!(first, "SAVEPOINT" | "RELEASE") || is_rollback_to;
        // These statements do not change replicated data. SQLite reports BEGIN IMMEDIATE as a
        // write, but the replay of an entry begins its own transaction.
        let is_local = matches!(first, "BEGIN" | "PRAGMA" | "VACUUM" | "ATTACH" | "DETACH");
        let pending_statements = &mut self.stream.pending_statements;
        if is_savepoint || (!is_read && !is_local) {
            pending_statements.push(logged);
        }
        if !is_autocommit {
            return;
        }
        let statements = std::mem::take(pending_statements);
        let is_rolled_back = first == "ROLLBACK" && !was_autocommit;
        let has_changes = statements.iter().any(|statement| {
            let word = leading_words(&statement.sql, 1).pop().unwrap_or_default();
            !matches!(word.as_str(), "SAVEPOINT" | "RELEASE" | "ROLLBACK")
        });
        if has_changes && !is_rolled_back {
            self.committed = Some(self.node.commit(statements));
        }
    }
}

fn empty_result() -> StmtResult {
    StmtResult {
        cols: Vec::new(),
        rows: Vec::new(),
        affected_row_count: 0,
        last_insert_rowid: None,
        replication_index: None,
        rows_read: 0,
        rows_written: 0,
        query_duration_ms: 0.0,
    }
}

fn resolve_args(
    statement: &Statement<'_>,
    request: &Stmt,
) -> Result<Vec<(usize, LoggedValue)>, HranaError> {
    let count = statement.parameter_count();
    if request.args.len() > count {
        let message = format!("{} arguments for {count} parameters", request.args.len());
        return Err(statement_error("ARGS_INVALID", message));
    }
    let mut args: Vec<_> = request.args.iter().map(LoggedValue::from_hrana).collect();
    let mut args: Vec<_> = args
        .drain(..)
        .enumerate()
        .map(|(at, v)| (at + 1, v))
        .collect();
    for named in &request.named_args {
        let index = ["", ":", "@", "$"].iter().find_map(|prefix| {
            let name = format!("{prefix}{}", named.name);
            statement.parameter_index(&name).ok().flatten()
        });
        let Some(index) = index else {
            let message = format!("no parameter has the name {}", named.name);
            return Err(statement_error("ARGS_INVALID", message));
        };
        args.push((index, LoggedValue::from_hrana(&named.value)));
    }
    Ok(args)
}
