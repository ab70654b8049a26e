//! Metrics collected during a run.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::request_sender::ServedBy;

/// A finished request.
#[derive(Debug)]
pub struct RequestRecord {
    /// Name of the account.
    pub account: String,
    /// Name of the class.
    pub class: String,
    /// Index of the database.
    pub database: usize,
    /// Whether the request was a read.
    pub is_read: bool,
    /// Whether the first attempt was within the account's rate.
    pub is_within_rate: bool,
    /// Scheduled send time.
    pub intended: Duration,
    /// Time of the last response.
    pub finished: Duration,
    /// Code of the error, if the request failed.
    pub error: Option<String>,
    /// Member that served the request.
    pub served_by: Option<ServedBy>,
    /// Age of the result as observed by the driver.
    pub staleness: Option<Duration>,
    /// Whether the result was staler than the class accepts.
    pub is_too_old: bool,
}

/// Counts of one second of the run.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct SecondCounts {
    /// Requests scheduled in this second.
    pub offered: u64,
    /// Reads that succeeded in this second.
    pub reads: u64,
    /// Writes acknowledged in this second.
    pub writes: u64,
    /// Requests that failed in this second after their retries.
    pub failed: u64,
    /// Reads served by replicas.
    pub replica_reads: u64,
    /// Maximum data age reported by the proxy, in milliseconds.
    pub stated_age_ms: u64,
    /// Maximum data age observed by the driver, in milliseconds.
    pub observed_age_ms: u64,
}

/// Request counts of one account.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct AccountCounts {
    /// Requests that were sent.
    pub offered: u64,
    /// Requests whose first attempt was within the rate.
    pub within: u64,
    /// Requests that succeeded.
    pub succeeded: u64,
    /// Requests within the rate that succeeded.
    pub succeeded_within: u64,
}

/// Longest time without an acknowledged write.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WriteGap {
    /// Start of the gap in seconds since the start of the run.
    pub from_s: f64,
    /// Length in milliseconds.
    pub length_ms: f64,
    last_s: Option<f64>,
}

impl WriteGap {
    fn record_write(&mut self, at: f64) {
        if let Some(last) = self.last_s
            && (at - last) * 1000.0 > self.length_ms
        {
            self.from_s = last;
            self.length_ms = (at - last) * 1000.0;
        }
        self.last_s = Some(self.last_s.map_or(at, |last| last.max(at)));
    }
}

/// All metrics of a run.
pub struct LoadMetrics {
    /// Latency in microseconds by account.
    pub account_latency: BTreeMap<String, Histogram<u64>>,
    /// Latency in microseconds by class.
    pub class_latency: BTreeMap<String, Histogram<u64>>,
    /// Observed age of reads in microseconds.
    pub staleness: Histogram<u64>,
    /// Counts by second.
    pub seconds: Vec<SecondCounts>,
    /// Counts by account.
    pub accounts: BTreeMap<String, AccountCounts>,
    /// Failed requests by code.
    pub failures: BTreeMap<String, u64>,
    /// Longest time without an acknowledged write by database.
    pub write_gaps: BTreeMap<usize, WriteGap>,
    /// Reads that missed an acknowledged write of their own session.
    pub own_write_misses: u64,
    /// Reads whose result was staler than their class accepts.
    pub too_old: u64,
    /// Reads without the header `x-served-by`.
    pub unattributed_reads: u64,
}

impl Default for LoadMetrics {
    fn default() -> Self {
        Self {
            account_latency: BTreeMap::new(),
            class_latency: BTreeMap::new(),
            staleness: new_histogram(),
            seconds: Vec::new(),
            accounts: BTreeMap::new(),
            failures: BTreeMap::new(),
            write_gaps: BTreeMap::new(),
            own_write_misses: 0,
            too_old: 0,
            unattributed_reads: 0,
        }
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are valid")
}

impl LoadMetrics {
    /// Adds a finished request.
    pub fn add(&mut self, record: &RequestRecord) {
        self.second(record.intended).offered += 1;
        let account = self.accounts.entry(record.account.clone()).or_default();
        account.offered += 1;
        account.within += u64::from(record.is_within_rate);
        if let Some(code) = &record.error {
            *self.failures.entry(code.clone()).or_default() += 1;
            self.second(record.finished).failed += 1;
            return;
        }
        account.succeeded += 1;
        account.succeeded_within += u64::from(record.is_within_rate);
        let latency = record.finished.saturating_sub(record.intended).as_micros() as u64;
        for (map, name) in [
            (&mut self.account_latency, &record.account),
            (&mut self.class_latency, &record.class),
        ] {
            let histogram = map.entry(name.clone()).or_insert_with(new_histogram);
            histogram
                .record(latency.max(1))
                .expect("the histogram resizes itself");
        }
        if record.is_read {
            self.add_read(record);
        } else {
            let gap = self.write_gaps.entry(record.database).or_default();
            gap.record_write(record.finished.as_secs_f64());
            self.second(record.finished).writes += 1;
        }
    }

    /// Ends the open write gaps at the end of the run.
    pub fn finish(&mut self, end: Duration) {
        for gap in self.write_gaps.values_mut() {
            gap.record_write(end.as_secs_f64());
        }
    }

    fn add_read(&mut self, record: &RequestRecord) {
        let staleness = record.staleness.unwrap_or_default();
        self.staleness
            .saturating_record(staleness.as_micros() as u64);
        self.too_old += u64::from(record.is_too_old);
        self.unattributed_reads += u64::from(record.served_by.is_none());
        let second = self.second(record.finished);
        second.reads += 1;
        second.observed_age_ms = second.observed_age_ms.max(staleness.as_millis() as u64);
        if let Some(served_by) = &record.served_by {
            second.replica_reads += u64::from(served_by.is_replica);
            let age = served_by.age_ms.unwrap_or_default();
            second.stated_age_ms = second.stated_age_ms.max(age);
        }
    }

    fn second(&mut self, at: Duration) -> &mut SecondCounts {
        let index = at.as_secs() as usize;
        if self.seconds.len() <= index {
            self.seconds.resize(index + 1, SecondCounts::default());
        }
        &mut self.seconds[index]
    }
}
