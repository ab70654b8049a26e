//! The replicated log of a member: one entry per committed transaction.

use coriander_core::{LogPosition, TermNumber};
use serde::{Deserialize, Serialize};

use super::sql_functions::StatementClock;
use super::sql_value::LoggedValue;

/// A statement in the form in which every member can repeat it exactly.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoggedStatement {
    /// Text of the statement.
    pub sql: String,
    /// Values by the index of their parameter.
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

/// Entries that follow each other and were written in one term.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TermRun {
    /// Term that wrote the entries.
    pub term: TermNumber,
    /// Index of the first entry.
    pub first_index: u64,
}

/// All entries since the start of the group.
#[derive(Clone, Debug, Default)]
pub struct GroupLog {
    entries: Vec<LogEntry>,
}

impl GroupLog {
    /// Returns the position of the last entry.
    pub fn last(&self) -> LogPosition {
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
        let position = LogPosition::new(term, self.last().index + 1);
        self.entries.push(LogEntry {
            position,
            statements,
        });
        position
    }

    /// Appends an entry of the primary; `false` if it does not follow the last one.
    pub fn append_replicated(&mut self, entry: LogEntry) -> bool {
        let is_next = entry.position.index == self.last().index + 1;
        if is_next {
            self.entries.push(entry);
        }
        is_next
    }

    /// Returns entries after a position, or `None` if the log does not contain that position.
    pub fn entries_after(&self, after: LogPosition, limit: usize) -> Option<&[LogEntry]> {
        let start = usize::try_from(after.index).ok()?;
        if start > 0 && self.entries.get(start - 1)?.position != after {
            return None;
        }
        let end = self.entries.len().min(start.saturating_add(limit));
        self.entries.get(start..end)
    }

    /// Returns where each term starts.
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

    /// Returns the length of the part that this log shares with another one.
    ///
    /// Two entries with the same term and index are the same and have the same entries before them.
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
