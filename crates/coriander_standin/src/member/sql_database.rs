//! In-memory SQLite database of a member and execution of single statements.

use std::sync::atomic::{AtomicU64, Ordering};

use libsql_hrana::proto::{Col, Row};
use rusqlite::fallible_iterator::FallibleIterator;
use rusqlite::{Batch, Connection, ErrorCode, OpenFlags, Statement};

use super::group_log::LoggedStatement;
use super::sql_functions::install_functions;
use super::sql_value::hrana_from_sqlite;

static NEXT_DATABASE_NUMBER: AtomicU64 = AtomicU64::new(1);

/// An in-memory database that is shared by several connections of this process.
pub struct SqlDatabase {
    uri: String,
    /// Replays log entries. SQLite deletes the database with its last connection, so this one stays
    /// open.
    replay_connection: Connection,
}

/// Result of an executed statement.
pub struct StatementOutput {
    /// Columns of the result.
    pub cols: Vec<Col>,
    /// Rows of the result.
    pub rows: Vec<Row>,
    /// Rows that the statement changed.
    pub affected_rows: u64,
}

impl SqlDatabase {
    /// Creates an empty database.
    pub fn create() -> rusqlite::Result<Self> {
        let number = NEXT_DATABASE_NUMBER.fetch_add(1, Ordering::Relaxed);
        let uri = format!("file:/member-{number}?vfs=memdb");
        let replay_connection = open_connection(&uri)?;
        Ok(Self {
            uri,
            replay_connection,
        })
    }

    /// Opens another connection to the database.
    pub fn connect(&self) -> rusqlite::Result<Connection> {
        open_connection(&self.uri)
    }

    /// Applies the statements of a log entry as one transaction.
    pub fn replay_entry(&self, statements: &[LoggedStatement]) -> rusqlite::Result<()> {
        self.replay_connection.execute_batch("BEGIN IMMEDIATE")?;
        let result = statements
            .iter()
            .try_for_each(|statement| replay_statement(&self.replay_connection, statement))
            .and_then(|()| self.replay_connection.execute_batch("COMMIT"));
        if result.is_err() && !self.replay_connection.is_autocommit() {
            self.replay_connection.execute_batch("ROLLBACK")?;
        }
        result
    }
}

fn open_connection(uri: &str) -> rusqlite::Result<Connection> {
    let flags = OpenFlags::SQLITE_OPEN_READ_WRITE
        | OpenFlags::SQLITE_OPEN_CREATE
        | OpenFlags::SQLITE_OPEN_URI
        | OpenFlags::SQLITE_OPEN_NO_MUTEX;
    let connection = Connection::open_with_flags(uri, flags)?;
    // Waiting for a lock would block the single thread, so callers retry instead.
    connection.busy_timeout(std::time::Duration::ZERO)?;
    install_functions(&connection)?;
    Ok(connection)
}

fn replay_statement(connection: &Connection, logged: &LoggedStatement) -> rusqlite::Result<()> {
    logged.clock.install();
    let mut statement = connection.prepare_cached(&logged.sql)?;
    bind_values(&mut statement, logged)?;
    let mut rows = statement.raw_query();
    while rows.next()?.is_some() {}
    Ok(())
}

fn bind_values(statement: &mut Statement<'_>, logged: &LoggedStatement) -> rusqlite::Result<()> {
    for (index, value) in &logged.args {
        statement.raw_bind_parameter(*index, value.to_sqlite())?;
    }
    Ok(())
}

/// Runs a prepared statement to completion.
pub fn run_statement(
    connection: &Connection,
    statement: &mut Statement<'_>,
    logged: &LoggedStatement,
    want_rows: bool,
) -> rusqlite::Result<StatementOutput> {
    logged.clock.install();
    bind_values(statement, logged)?;
    let cols: Vec<Col> = statement
        .column_names()
        .into_iter()
        .map(|name| Col {
            name: Some(name.to_owned()),
            decltype: None,
        })
        .collect();
    let changes_rows = !statement.readonly() && changes_rows(&logged.sql);
    let mut output_rows = Vec::new();
    let mut rows = statement.raw_query();
    while let Some(row) = rows.next()? {
        if want_rows {
            let values = (0..cols.len())
                .map(|index| row.get_ref(index).map(hrana_from_sqlite))
                .collect::<rusqlite::Result<Vec<_>>>()?;
            output_rows.push(Row { values });
        }
    }
    drop(rows);
    Ok(StatementOutput {
        cols,
        rows: output_rows,
        affected_rows: if changes_rows {
            connection.changes()
        } else {
            0
        },
    })
}

/// Prepares the only statement of a text; returns `None` if the text has no statement.
pub fn prepare_single<'c>(
    connection: &'c Connection,
    sql: &str,
) -> rusqlite::Result<Option<Statement<'c>>> {
    let mut batch = Batch::new(connection, sql);
    let Some(statement) = batch.next()? else {
        return Ok(None);
    };
    match batch.next() {
        Ok(None) => Ok(Some(statement)),
        _ => Err(rusqlite::Error::MultipleStatement),
    }
}

/// Returns whether the error means that another connection holds a lock.
pub fn is_busy(error: &rusqlite::Error) -> bool {
    matches!(
        error.sqlite_error_code(),
        Some(ErrorCode::DatabaseBusy | ErrorCode::DatabaseLocked)
    )
}

/// Returns the first `count` words of a statement in upper case, without leading comments.
pub fn leading_words(sql: &str, count: usize) -> Vec<String> {
    let mut rest = sql.trim_start();
    loop {
        let skipped = if rest.starts_with("--") {
            rest.find('\n').map(|end| &rest[end..])
        } else if rest.starts_with("/*") {
            rest.find("*/").map(|end| &rest[end + 2..])
        } else {
            break;
        };
        rest = skipped.unwrap_or_default().trim_start();
    }
    rest.split(|c: char| !c.is_ascii_alphanumeric() && c != '_')
        .filter(|word| !word.is_empty())
        .take(count)
        .map(str::to_ascii_uppercase)
        .collect()
}

fn changes_rows(sql: &str) -> bool {
    let words = leading_words(sql, 1);
    matches!(
        words.first().map(String::as_str),
        Some("INSERT" | "UPDATE" | "DELETE" | "REPLACE" | "WITH")
    )
}
