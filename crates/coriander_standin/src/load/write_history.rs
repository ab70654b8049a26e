//! History of writes and their outcomes, which shows lost, duplicated and wrongly reported writes.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};

/// Outcome of a write as reported to the driver.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// Acknowledged.
    Acknowledged,
    /// Reported as not run.
    NotRun,
    /// Unknown.
    Unknown,
}

/// Index of a database and the key that one session writes in it.
pub type SessionKey = (usize, u64);

/// Result of the comparison of the history with the databases.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HistorySummary {
    /// Whether all databases could be read after the run.
    pub verified: bool,
    /// Writes that were acknowledged.
    pub acknowledged: u64,
    /// Writes whose outcome remained unknown.
    pub unknown: u64,
    /// Acknowledged writes that are missing.
    pub lost: u64,
    /// Writes that were applied more than once.
    pub doubled: u64,
    /// Writes that were reported as not run but are present.
    pub not_run_but_present: u64,
    /// Rows of the run that match no recorded write.
    pub unexplained: u64,
    /// First request ids of each kind of fault, for searching the logs.
    pub examples: BTreeMap<String, Vec<String>>,
}

const MAX_EXAMPLES: usize = 10;

/// Outcomes by request id and acknowledgement times by key.
#[derive(Default)]
pub struct WriteHistory {
    outcomes: HashMap<String, WriteOutcome>,
    acknowledged: HashMap<SessionKey, Vec<(Duration, u64)>>,
    written_keys: HashMap<usize, Vec<SessionKey>>,
    row_counts: HashMap<String, u64>,
}

impl WriteHistory {
    /// Records the outcome of a write.
    pub fn record(&mut self, request_id: &str, outcome: WriteOutcome) {
        self.outcomes.insert(request_id.to_owned(), outcome);
    }

    /// Records when a write to a key was acknowledged.
    pub fn record_acknowledged(&mut self, key: SessionKey, sequence: u64, at: Duration) {
        let writes = self.acknowledged.entry(key).or_default();
        if writes.is_empty() {
            self.written_keys.entry(key.0).or_default().push(key);
        }
        writes.push((at, sequence));
    }

    /// Returns the age of a result: the time from the acknowledgement of the first newer write to
    /// `sent`, at which the read was sent.
    pub fn staleness(&self, key: SessionKey, sequence: u64, sent: Duration) -> Duration {
        let writes = self.acknowledged.get(&key).into_iter().flatten();
        let newer = writes.filter(|(at, newer)| *newer > sequence && *at <= sent);
        let first = newer.map(|(at, _)| *at).min();
        first.map_or(Duration::ZERO, |at| sent.saturating_sub(at))
    }

    /// Returns a random key of a database that has acknowledged writes.
    pub fn choose_key(&self, database: usize, rng: &mut impl Rng) -> Option<SessionKey> {
        self.written_keys.get(&database)?.choose(rng).copied()
    }

    /// Records a row found after the run.
    pub fn record_found(&mut self, request_id: &str) {
        *self.row_counts.entry(request_id.to_owned()).or_default() += 1;
    }

    /// Compares the outcomes with the rows that were found.
    ///
    /// ```
    /// use coriander_standin::load::{WriteHistory, WriteOutcome};
    ///
    /// let mut history = WriteHistory::default();
    /// history.record("one", WriteOutcome::Acknowledged);
    /// history.record("two", WriteOutcome::NotRun);
    /// history.record_found("two");
    /// let summary = history.compare(true);
    /// assert_eq!((summary.lost, summary.not_run_but_present), (1, 1));
    /// ```
    pub fn compare(&self, verified: bool) -> HistorySummary {
        let count = |outcome| {
            let outcomes = self.outcomes.values();
            outcomes.filter(|found| **found == outcome).count() as u64
        };
        let mut summary = HistorySummary {
            verified,
            acknowledged: count(WriteOutcome::Acknowledged),
            unknown: count(WriteOutcome::Unknown),
            ..HistorySummary::default()
        };
        if !verified {
            return summary;
        }
        let mut faults: Vec<(&str, &String)> = Vec::new();
        for (id, outcome) in &self.outcomes {
            let rows = self.row_counts.get(id).copied().unwrap_or_default();
            match (outcome, rows) {
                (WriteOutcome::Acknowledged, 0) => faults.push(("lost", id)),
                (WriteOutcome::NotRun, 1..) => faults.push(("not_run_but_present", id)),
                _ => {}
            }
            if rows > 1 {
                faults.push(("doubled", id));
            }
        }
        let is_known = |id: &String| self.outcomes.contains_key(id);
        let unexplained = self.row_counts.keys().filter(|id| !is_known(id));
        faults.extend(unexplained.map(|id| ("unexplained", id)));
        for (kind, id) in faults {
            *match kind {
                "lost" => &mut summary.lost,
                "doubled" => &mut summary.doubled,
                "not_run_but_present" => &mut summary.not_run_but_present,
                _ => &mut summary.unexplained,
            } += 1;
            let examples = summary.examples.entry(kind.to_owned()).or_default();
            if examples.len() < MAX_EXAMPLES {
                examples.push(id.clone());
            }
        }
        summary
    }
}
