//! The request log: a table of executed requests in every database.

use std::sync::Arc;

use coriander_core::AccountName;
use coriander_tokens::RequestDigest;
use libsql_hrana::proto::{Stmt, StmtResult, StreamResult, Value};

use crate::stored_outcome::StoredOutcome;

/// Maximum length of a request id in bytes.
pub const MAX_REQUEST_ID_LENGTH: usize = 128;

const TABLE: &str = "corianderstile_requests";

/// Identity of a request, the key under which its outcome is stored.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestIdentity {
    account: AccountName,
    request_id: Arc<str>,
    digest: Arc<str>,
}

/// Error for a request id that is empty, too long or contains characters other than printable
/// ASCII.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
#[error("request id must be 1 to {MAX_REQUEST_ID_LENGTH} printable ASCII characters")]
pub struct RequestIdError;

impl RequestIdentity {
    /// Creates an identity from a request id that the caller sent or that was generated.
    pub fn new(
        account: AccountName,
        request_id: &str,
        digest: RequestDigest,
    ) -> Result<Self, RequestIdError> {
        let is_valid = (1..=MAX_REQUEST_ID_LENGTH).contains(&request_id.len())
            && request_id.bytes().all(|byte| byte.is_ascii_graphic());
        if !is_valid {
            return Err(RequestIdError);
        }
        Ok(Self {
            account,
            request_id: Arc::from(request_id),
            digest: Arc::from(digest.to_string()),
        })
    }

    /// Creates a statement whose first parameters are account and request id.
    pub(crate) fn statement(&self, sql: &str, extra_values: &[&Arc<str>]) -> Stmt {
        let text = |value: &Arc<str>| Value::Text {
            value: value.clone(),
        };
        let mut statement = Stmt::new(sql, true);
        statement.bind(text(&Arc::from(self.account.as_str())));
        statement.bind(text(&self.request_id));
        for value in extra_values {
            statement.bind(text(value));
        }
        statement
    }

    pub(crate) fn insert_record(&self) -> Stmt {
        let sql = "INSERT INTO corianderstile_requests (account, request_id, digest, created) \
                   VALUES (?1, ?2, ?3, unixepoch())";
        self.statement(sql, &[&self.digest])
    }

    /// Creates a statement that appends the counters of the previous statement to the outcome.
    pub(crate) fn append_counters(&self, step: usize) -> Stmt {
        let sql = "UPDATE corianderstile_requests SET outcome = coalesce(outcome, 'c') || ?3 \
                   || changes() || ':' || last_insert_rowid() || ';' \
                   WHERE account = ?1 AND request_id = ?2";
        self.statement(sql, &[&Arc::from(format!("{step}:"))])
    }

    pub(crate) fn store_outcome(&self, outcome: &StoredOutcome) -> Stmt {
        let sql = "UPDATE corianderstile_requests SET outcome = ?3 \
                   WHERE account = ?1 AND request_id = ?2";
        self.statement(sql, &[&Arc::from(outcome.as_str())])
    }
}

/// Result of the lookup of a request in the log.
#[derive(Debug)]
pub enum LookupResult {
    /// The request was not committed.
    Missing,
    /// The request id was used for a different request.
    IdReused,
    /// The request was committed.
    ///
    /// The results are `None` if they exceeded [`MAX_OUTCOME_LENGTH`](crate::MAX_OUTCOME_LENGTH)
    /// or belong to an interactive transaction.
    Committed(Option<StoredResults>),
}

/// Results from the log in their stored form.
#[derive(Debug)]
pub struct StoredResults(StoredOutcome);

impl StoredResults {
    pub(crate) const fn outcome(&self) -> &StoredOutcome {
        &self.0
    }

    /// Returns the results if they were stored in full.
    pub fn into_results(self) -> Option<Vec<StreamResult>> {
        self.0.results()
    }
}

/// Statements that create, query and clean up the table of executed requests.
///
/// ```
/// use coriander_routing::RequestLog;
///
/// assert!(RequestLog::is_referenced_by("DELETE FROM CorianderStile_Requests"));
/// assert!(!RequestLog::is_referenced_by("DELETE FROM requests"));
/// ```
pub struct RequestLog;

impl RequestLog {
    /// Statements that create the table.
    ///
    /// It has no row ids, so that an insertion does not change the `last_insert_rowid()` that
    /// callers read.
    pub const SCHEMA: &'static [&'static str] = &[
        "CREATE TABLE IF NOT EXISTS corianderstile_requests (account TEXT NOT NULL, \
         request_id TEXT NOT NULL, digest TEXT NOT NULL, created INTEGER NOT NULL, outcome TEXT, \
         PRIMARY KEY (account, request_id)) WITHOUT ROWID",
        "CREATE INDEX IF NOT EXISTS corianderstile_requests_created \
         ON corianderstile_requests (created)",
    ];

    /// Statement that deletes up to 500 records that are older than 24 h.
    pub const CLEANUP: &'static str = "DELETE FROM corianderstile_requests \
         WHERE (account, request_id) IN (SELECT account, request_id FROM corianderstile_requests \
         WHERE created < unixepoch() - 86400 ORDER BY created LIMIT 500)";

    /// Returns whether a caller's statement names the table, which callers must not access.
    pub fn is_referenced_by(sql: &str) -> bool {
        sql.as_bytes()
            .windows(TABLE.len())
            .any(|window| window.eq_ignore_ascii_case(TABLE.as_bytes()))
    }

    /// Returns the statement that records an interactive transaction, to be run before COMMIT.
    pub fn record_commit(identity: &RequestIdentity) -> Stmt {
        let sql = "INSERT INTO corianderstile_requests \
                   (account, request_id, digest, created, outcome) \
                   VALUES (?1, ?2, ?3, unixepoch(), 'x')";
        identity.statement(sql, &[&identity.digest])
    }

    /// Returns the statement that looks up a request.
    pub fn lookup(identity: &RequestIdentity) -> Stmt {
        let sql = "SELECT digest, outcome FROM corianderstile_requests \
                   WHERE account = ?1 AND request_id = ?2";
        identity.statement(sql, &[])
    }

    /// Interprets the result of [`lookup`](Self::lookup).
    ///
    /// Returns `None` if the result is malformed.
    pub fn interpret_lookup(
        identity: &RequestIdentity,
        result: &StmtResult,
    ) -> Option<LookupResult> {
        let Some(row) = result.rows.first() else {
            return Some(LookupResult::Missing);
        };
        let [Value::Text { value: digest }, outcome] = &*row.values else {
            return None;
        };
        if *digest != identity.digest {
            return Some(LookupResult::IdReused);
        }
        let outcome = match outcome {
            Value::Text { value } => StoredOutcome::parse(value),
            _ => None,
        };
        Some(LookupResult::Committed(outcome.map(StoredResults)))
    }
}
