//! Replicated log of a member, with one entry per committed transaction.

use coriander_core::{LogPosition, TermNumber};
use serde::{Deserialize, Serialize};

use super::sql_functions::StatementClock;
use super::sql_value::LoggedValue;

/// A statement with everything that a member needs to replay it deterministically.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoggedStatement {
    /// SQL text.
    pub sql: String,
    /// Parameter values with their indexes.
    pub args: Vec<(usize, LoggedValue)>,
    /// Time and seed with which the primary ran the statement.
    pub clock: StatementClock,
}

/// One committed transaction.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LogEntry {
    /// Position of the entry.
    pub position: LogPosition,
    /// Statements in the order of execution; empty for the first entry of a term.
    pub statements: Vec<LoggedStatement>,
}

/// Consecutive entries of one term.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TermRun {
    /// Term of the entries.
    pub term: TermNumber,
    /// Index of the first entry.
    pub first_index: u64,
}

/// Log of all entries since the start of the group.
#[derive(Clone, Debug, Default)]
pub struct GroupLog {
    entries: Vec<LogEntry>,
}

impl GroupLog {
    /// Returns the position of the last entry.
    pub fn last_position(&self) -> LogPosition {
        self.entries
            .last()
            .map_or_else(LogPosition::default, |entry| entry.position)
    }

    /// Returns all entries.
    pub fn entries(&self) -> &[LogEntry] {
        &self.entries
    }

    /// Appends statements as the next entry of a term.
    pub fn append(&mut self, term: TermNumber, statements: Vec<LoggedStatement>) -> LogPosition {
        let position = LogPosition::new(term, self.last_position().index + 1);
        self.entries.push(LogEntry {
            position,
            statements,
        });
        position
    }

    /// Appends an entry of the primary; returns `false` if it does not follow the last entry.
    pub fn append_replicated(&mut self, entry: LogEntry) -> bool {
        let is_next = entry.position.index == self.last_position().index + 1;
        if is_next {
            self.entries.push(entry);
        }
        is_next
    }

    /// Returns up to `limit` entries after a position; `None` if the log does not contain it.
    pub fn entries_after(&self, after: LogPosition, limit: usize) -> Option<&[LogEntry]> {
        let start = usize::try_from(after.index).ok()?;
        if start > 0 && self.entries.get(start - 1)?.position != after {
            return None;
        }
        let end = self.entries.len().min(start.saturating_add(limit));
        self.entries.get(start..end)
    }

    /// Returns the first index of each term.
    pub fn term_runs(&self) -> Vec<TermRun> {
        let mut runs: Vec<TermRun> = Vec::new();
        for entry in &self.entries {
            if runs.last().map(|run| run.term) != Some(entry.position.term) {
                runs.push(TermRun {
                    term: entry.position.term,
                    first_index: entry.position.index,
                });
            }
        }
        runs
    }

    /// Returns the length of the common prefix of this log and another one.
    ///
    /// Entries with the same term and index are equal, and so are all entries before them.
    pub fn common_prefix_length(&self, other_runs: &[TermRun], other_last: u64) -> u64 {
        let term_at = |index: u64| {
            let run = other_runs.iter().rev().find(|run| run.first_index <= index);
            run.map(|run| run.term)
        };
        let shared = self.entries.iter().rev().find(|entry| {
            entry.position.index <= other_last
                && term_at(entry.position.index) == Some(entry.position.term)
        });
        shared.map_or(0, |entry| entry.position.index)
    }

    /// Removes all entries after an index.
    pub fn truncate(&mut self, length: u64) {
        self.entries.truncate(length as usize);
    }
}
