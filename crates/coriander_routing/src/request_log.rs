//! Table of executed requests that every database holds.

use std::sync::Arc;

use coriander_core::AccountName;
use coriander_tokens::RequestDigest;
use libsql_hrana::proto::{Stmt, StmtResult, StreamResult, Value};

use crate::stored_outcome::StoredOutcome;

/// Longest accepted request id in bytes.
pub const MAX_REQUEST_ID_LENGTH: usize = 128;

const TABLE: &str = "corianderstile_requests";

/// Identity of a request, under which its outcome is stored.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestIdentity {
    account: AccountName,
    request_id: Arc<str>,
    digest: Arc<str>,
}

/// A request id that is empty, too long or has other characters than printable ASCII.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
#[error("request id must be 1 to {MAX_REQUEST_ID_LENGTH} printable ASCII characters")]
pub struct RequestIdError;

impl RequestIdentity {
    /// Creates an identity from the caller's or a generated request id.
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

    pub(crate) fn insert(&self) -> Stmt {
        let sql = "INSERT INTO corianderstile_requests (account, request_id, digest, created) \
                   VALUES (?1, ?2, ?3, unixepoch())";
        self.statement(sql, &[&self.digest])
    }

    /// Adds the counters of the statement that was executed just before to the outcome.
    pub(crate) fn append_counters(&self, step: usize) -> Stmt {
        let sql = "UPDATE corianderstile_requests SET outcome = coalesce(outcome, 'c') || ?3 \
                   || changes() || ':' || last_insert_rowid() || ';' \
                   WHERE account = ?1 AND request_id = ?2";
        self.statement(sql, &[&Arc::from(format!("{step}:"))])
    }

    pub(crate) fn store(&self, outcome: &StoredOutcome) -> Stmt {
        let sql = "UPDATE corianderstile_requests SET outcome = ?3 \
                   WHERE account = ?1 AND request_id = ?2";
        self.statement(sql, &[&Arc::from(outcome.as_str())])
    }
}

/// What the log knows about a request.
#[derive(Debug)]
pub enum LookupResult {
    /// The request was not committed.
    Missing,
    /// The request id was used for another request.
    IdReused,
    /// The request was committed.
    ///
    /// The results are missing if they exceeded [`MAX_OUTCOME_LENGTH`](crate::MAX_OUTCOME_LENGTH)
    /// or belong to an interactive transaction.
    Committed(Option<StoredResults>),
}

/// Results in the log, in the form in which they were stored.
#[derive(Debug)]
pub struct StoredResults(StoredOutcome);

impl StoredResults {
    pub(crate) const fn outcome(&self) -> &StoredOutcome {
        &self.0
    }

    /// Returns results that were stored in full.
    pub fn into_results(self) -> Option<Vec<StreamResult>> {
        self.0.results()
    }
}

/// Statements on the table of executed requests.
///
/// ```
/// use coriander_routing::RequestLog;
///
/// assert!(RequestLog::is_referenced_by("DELETE FROM CorianderStile_Requests"));
/// assert!(!RequestLog::is_referenced_by("DELETE FROM requests"));
/// ```
pub struct RequestLog;

impl RequestLog {
    /// Creates the table. It has no row ids, so that inserting into it does not change the
    /// `last_insert_rowid()` that callers see.
    pub const SCHEMA: &'static [&'static str] = &[
        "CREATE TABLE IF NOT EXISTS corianderstile_requests (account TEXT NOT NULL, \
         request_id TEXT NOT NULL, digest TEXT NOT NULL, created INTEGER NOT NULL, outcome TEXT, \
         PRIMARY KEY (account, request_id)) WITHOUT ROWID",
        "CREATE INDEX IF NOT EXISTS corianderstile_requests_created \
         ON corianderstile_requests (created)",
    ];

    /// Deletes up to 500 records that are older than 24 h.
    pub const CLEANUP: &'static str = "DELETE FROM corianderstile_requests \
         WHERE (account, request_id) IN (SELECT account, request_id FROM corianderstile_requests \
         WHERE created < unixepoch() - 86400 ORDER BY created LIMIT 500)";

    /// Tells whether a caller's statement names the table, which callers must not touch.
    pub fn is_referenced_by(sql: &str) -> bool {
        sql.as_bytes()
            .windows(TABLE.len())
            .any(|window| window.eq_ignore_ascii_case(TABLE.as_bytes()))
    }

    /// Returns the statement that records an interactive transaction; it runs before COMMIT.
    pub fn record_commit(identity: &RequestIdentity) -> Stmt {
        let sql = "INSERT INTO corianderstile_requests \
                   (account, request_id, digest, created, outcome) \
                   VALUES (?1, ?2, ?3, unixepoch(), 'x')";
        identity.statement(sql, &[&identity.digest])
    }

    /// Returns the statement that looks a request up.
    pub fn lookup(identity: &RequestIdentity) -> Stmt {
        let sql = "SELECT digest, outcome FROM corianderstile_requests \
                   WHERE account = ?1 AND request_id = ?2";
        identity.statement(sql, &[])
    }

    /// Interprets the result of [`lookup`](Self::lookup), or returns `None` if it has another
    /// form.
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
