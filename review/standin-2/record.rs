//! What was sent, answered, run and promoted, and the notes of a case.

use std::collections::HashSet;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

pub struct Record {
    started: Instant,
    file: Mutex<BufWriter<File>>,
    receipts: AtomicU64,
    /// Service and id of each write or commit that a client was told to be kept.
    kept: Mutex<Vec<(String, String)>>,
    lost: Mutex<Vec<String>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            file: Mutex::new(BufWriter::new(File::create(path)?)),
            receipts: AtomicU64::new(0),
            kept: Mutex::default(),
            lost: Mutex::default(),
        })
    }

    fn line(&self, text: &str) {
        let seconds = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("record");
        let _ = writeln!(file, "{seconds:9.3} {text}");
    }

    /// Writes a line to the record and to the standard output.
    pub fn note(&self, text: &str) {
        println!("{:9.3} {text}", self.started.elapsed().as_secs_f64());
        self.line(text);
        let _ = self.file.lock().expect("record").flush();
    }

    /// Records a message of a client or the answer to it.
    pub fn message(&self, text: &str) {
        self.line(text);
    }

    pub fn receipt(&self, id: &str) -> String {
        format!("r{}.{id}", self.receipts.fetch_add(1, Ordering::Relaxed))
    }

    /// Records that a member runs a statement.
    pub fn run(&self, service: &str, member: usize, tenant: &str, id: &str, text: &str) {
        self.line(&format!("run {service}/{member} for {tenant}: {id} {text}"));
    }

    /// Records that a client was told that a write is kept.
    pub fn add_kept(&self, service: &str, id: &str) {
        self.kept.lock().expect("record").push((service.to_owned(), id.to_owned()));
    }

    pub fn kept_count(&self) -> usize {
        self.kept.lock().expect("record").len()
    }

    /// Checks at the moment of a promotion that the log of the member has every write that a client
    /// was told to be kept.
    pub fn add_promotion(&self, service: &str, member: &str, term: u64, received: (u64, u64), held: HashSet<String>) {
        self.note(&format!("{member} of {service} leads term {term} with the log up to {}.{}", received.0, received.1));
        let mut kept = self.kept.lock().expect("record");
        let is_missing = |write: &(String, String)| write.0 == service && !held.contains(&write.1);
        let missing: Vec<String> = kept.iter().filter(|write| is_missing(write)).map(|write| write.1.clone()).collect();
        kept.retain(|write| !is_missing(write));
        drop(kept);
        if !missing.is_empty() {
            self.note(&format!("LOST: the log of {member} lacks {} acknowledged writes: {}", missing.len(), missing.join(" ")));
        }
        self.lost.lock().expect("record").extend(missing);
    }

    pub fn lost_count(&self) -> usize {
        self.lost.lock().expect("record").len()
    }
}
