//! Text encoding of request outcomes in the log.

use std::collections::BTreeMap;

use libsql_hrana::proto::{StmtResult, StreamResult};

/// Maximum length of stored results in bytes.
///
/// Larger results are not stored; a retry then returns only that the request was executed.
pub const MAX_OUTCOME_LENGTH: usize = 64 * 1024;

/// Marker of results that were not stored.
const OMITTED_RESULTS: &str = "x";

/// Prefix of counters written by SQL; results in JSON start with `[`.
const COUNTERS_PREFIX: char = 'c';

/// Value of the column `outcome`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct StoredOutcome(String);

impl StoredOutcome {
    /// Encodes the results of a request.
    pub(crate) fn new(results: &[StreamResult]) -> Self {
        match serde_json::to_string(results) {
            Ok(text) if text.len() <= MAX_OUTCOME_LENGTH => Self(text),
            _ => Self(OMITTED_RESULTS.to_owned()),
        }
    }

    /// Parses a column value; returns `None` if no results are stored.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        text.starts_with(['[', COUNTERS_PREFIX])
            .then(|| Self(text.to_owned()))
    }

    pub(crate) fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the results if they were stored in full.
    pub(crate) fn results(&self) -> Option<Vec<StreamResult>> {
        serde_json::from_str(&self.0).ok()
    }

    /// Returns the result of each executed step, if only counters were stored.
    pub(crate) fn counters(&self) -> Option<BTreeMap<usize, StmtResult>> {
        let entries = self.0.strip_prefix(COUNTERS_PREFIX)?.split_terminator(';');
        entries.map(parse_counters).collect()
    }
}

fn parse_counters(entry: &str) -> Option<(usize, StmtResult)> {
    let mut numbers = entry.split(':');
    let step = numbers.next()?.parse().ok()?;
    let affected_row_count = numbers.next()?.parse().ok()?;
    let last_insert_rowid = Some(numbers.next()?.parse().ok()?);
    let result = StmtResult {
        affected_row_count,
        last_insert_rowid,
        ..StmtResult::default()
    };
    numbers.next().is_none().then_some((step, result))
}
