//! The record of a run: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A statement that a member has run.
#[derive(Clone, Debug)]
pub struct Run {
    /// Time since the start of the run.
    pub at: Duration,
    pub member: String,
    pub zone: String,
    pub account: String,
    pub id: String,
    /// Text without the position prefix.
    pub text: String,
    /// Session values of the connection.
    pub values: String,
}

/// Writes events to `record.txt` and keeps the statements that members have run.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
            runs: Arc::default(),
        })
    }

    /// Returns the time since the start of the run.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes one event and returns its time.
    pub fn write(&self, event: &str) -> Duration {
        let at = self.now();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(
            file,
            "{:>7} ms  {}",
            at.as_millis(),
            event.replace('\n', "\\n")
        );
        at
    }

    /// Records a statement that a member has run.
    pub fn add_run(&self, run: Run) {
        self.write(&format!(
            "run       member={} zone={} account={} id={} values={} text={}",
            run.member, run.zone, run.account, run.id, run.values, run.text
        ));
        self.runs.lock().unwrap().push(run);
    }

    /// Returns the statements that members have run.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// Returns the run of a statement, if there is one.
    pub fn run_of(&self, id: &str) -> Option<Run> {
        self.runs().into_iter().find(|run| run.id == id)
    }
}
