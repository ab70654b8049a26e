//! Journal file from which a restarted member restores its term and log.

use std::fs::{File, OpenOptions};
use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;

use coriander_core::TermNumber;
use serde::{Deserialize, Serialize};

use super::group_log::LogEntry;
use super::group_state::GroupState;

/// A change of the persistent state.
#[derive(Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JournalRecord {
    /// The member entered a term.
    Term {
        /// The new term.
        term: TermNumber,
        /// Proposer of the term.
        proposer: Option<String>,
    },
    /// An entry was appended.
    Entry(LogEntry),
    /// The log was truncated to this length.
    Truncate(u64),
}

/// Journal of a member; without a file, records are discarded.
#[derive(Default)]
pub struct MemberJournal {
    file: Option<File>,
}

impl MemberJournal {
    /// Restores the state from a file and opens the file for appending.
    ///
    /// A restored member is fenced. A record that is incomplete because the process was killed is
    /// ignored.
    pub fn open(path: &Path) -> io::Result<(Self, GroupState)> {
        let mut state = GroupState::default();
        if path.exists() {
            for line in BufReader::new(File::open(path)?).lines() {
                match serde_json::from_str(&line?) {
                    Ok(record) => restore(&mut state, record),
                    Err(error) => log::warn!("member: ignored an invalid journal record: {error}"),
                }
            }
        }
        let mut file = OpenOptions::new().create(true).append(true).open(path)?;
        // Terminates an incomplete record, so that the next one starts on a new line.
        writeln!(file)?;
        let journal = Self { file: Some(file) };
        Ok((journal, state))
    }

    /// Writes a record with one system call, so that it is kept if the process is killed.
    pub fn write(&mut self, record: &JournalRecord) {
        if let Some(file) = &mut self.file {
            let line = serde_json::to_string(record).expect("serializable record") + "\n";
            file.write_all(line.as_bytes())
                .expect("journal is writable");
        }
    }
}

fn restore(state: &mut GroupState, record: JournalRecord) {
    match record {
        JournalRecord::Term { term, proposer } => {
            state.term = term;
            state.proposer = proposer;
        }
        JournalRecord::Entry(entry) => {
            if !state.log.append_replicated(entry) {
                log::warn!("member: ignored a journal entry that does not follow the last one");
            }
        }
        JournalRecord::Truncate(length) => state.log.truncate(length),
    }
}
