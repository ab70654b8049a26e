//! Result of a run as JSON and as a table.

use std::collections::BTreeMap;
use std::fmt;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::driver_settings::DriverSettings;
use super::load_metrics::{AccountCounts, LoadMetrics, SecondCounts, WriteGap};
use super::request_sender::RequestSender;
use super::write_history::HistorySummary;

/// Latency of the successful requests of an account or a class, from the intended send time.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct LatencySummary {
    /// Number of requests.
    pub count: u64,
    /// Median in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile in milliseconds.
    pub p99_ms: f64,
    /// Maximum in milliseconds.
    pub max_ms: f64,
}

impl LatencySummary {
    fn from_histogram(histogram: &Histogram<u64>) -> Self {
        let millis = |micros: u64| micros as f64 / 1000.0;
        Self {
            count: histogram.len(),
            p50_ms: millis(histogram.value_at_quantile(0.5)),
            p99_ms: millis(histogram.value_at_quantile(0.99)),
            max_ms: millis(histogram.max()),
        }
    }
}

/// Number of refused attempts with one error code.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RefusalCount {
    /// Code of the error.
    pub code: String,
    /// Attempts within the account's rate.
    pub within_rate: u64,
    /// Attempts over the account's rate.
    pub over_rate: u64,
}

/// Result of a run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadReport {
    /// Name of the deployment.
    pub deployment: String,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Offered load as a percentage of the accounts' rates.
    pub load_percent: u32,
    /// Account that offered five times its rate.
    pub greedy: Option<String>,
    /// Length of the run in seconds.
    pub seconds: u32,
    /// Sessions that were started.
    pub sessions: u64,
    /// Requests that succeeded per second of the run.
    pub goodput: f64,
    /// Fraction of reads that replicas served.
    pub replica_share: f64,
    /// Fraction of offered reads whose class accepts stale data.
    pub allowed_replica_share: f64,
    /// Fraction of attempts within the rate that were refused.
    pub refused_within_rate: f64,
    /// Refused attempts by code.
    pub refusals: Vec<RefusalCount>,
    /// Failed requests by code, after their retries.
    pub failures: BTreeMap<String, u64>,
    /// Requests by account.
    pub accounts: BTreeMap<String, AccountCounts>,
    /// Latency by account.
    pub account_latency: BTreeMap<String, LatencySummary>,
    /// Latency by class.
    pub class_latency: BTreeMap<String, LatencySummary>,
    /// Observed age of reads.
    pub staleness: LatencySummary,
    /// Longest time without an acknowledged write, by database.
    pub write_gaps: BTreeMap<String, WriteGap>,
    /// Reads that missed an acknowledged write of their own session.
    pub own_write_misses: u64,
    /// Reads whose result was staler than their class accepts.
    pub too_old: u64,
    /// Reads without the header `x-served-by`.
    pub unattributed_reads: u64,
    /// Comparison of the history of writes with the databases.
    #[serde(rename = "ledger")]
    pub history: HistorySummary,
    /// Counts by second.
    pub per_second: Vec<SecondCounts>,
}

fn fraction(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        0.0
    } else {
        part as f64 / whole as f64
    }
}

fn refusal_counts(sender: &RequestSender) -> Vec<RefusalCount> {
    let mut counts: BTreeMap<String, RefusalCount> = BTreeMap::new();
    for ((code, is_within_rate), number) in sender.refusals.borrow().iter() {
        let count = counts.entry(code.clone()).or_insert_with(|| RefusalCount {
            code: code.clone(),
            within_rate: 0,
            over_rate: 0,
        });
        let counter = if *is_within_rate {
            &mut count.within_rate
        } else {
            &mut count.over_rate
        };
        *counter += number;
    }
    counts.into_values().collect()
}

fn summaries(latency: &BTreeMap<String, Histogram<u64>>) -> BTreeMap<String, LatencySummary> {
    let summary = |(name, histogram): (&String, &Histogram<u64>)| {
        (name.clone(), LatencySummary::from_histogram(histogram))
    };
    latency.iter().map(summary).collect()
}

impl LoadReport {
    /// Summarizes a run.
    pub fn new(
        settings: &DriverSettings,
        metrics: &LoadMetrics,
        sender: &RequestSender,
        history: HistorySummary,
        sessions: u64,
    ) -> Self {
        let profile = &settings.deployment;
        let sum = |count: fn(&SecondCounts) -> u64| metrics.seconds.iter().map(count).sum::<u64>();
        let reads = sum(|second| second.reads);
        let refusals = refusal_counts(sender);
        let refused: u64 = refusals.iter().map(|count| count.within_rate).sum();
        let attempts = sender
            .attempts
            .borrow()
            .get(&true)
            .copied()
            .unwrap_or_default();
        let database = |index: &usize| profile.databases[*index].to_owned();
        let gaps = metrics
            .write_gaps
            .iter()
            .map(|(index, gap)| (database(index), *gap));
        Self {
            deployment: profile.name.to_owned(),
            seed: settings.seed,
            load_percent: settings.load_percent,
            greedy: settings.greedy.clone(),
            seconds: settings.seconds,
            sessions,
            goodput: fraction(
                reads + sum(|second| second.writes),
                u64::from(settings.seconds),
            ),
            replica_share: fraction(sum(|second| second.replica_reads), reads),
            allowed_replica_share: profile.allowed_replica_share(),
            refused_within_rate: fraction(refused, attempts),
            refusals,
            failures: metrics.failures.clone(),
            accounts: metrics.accounts.clone(),
            account_latency: summaries(&metrics.account_latency),
            class_latency: summaries(&metrics.class_latency),
            staleness: LatencySummary::from_histogram(&metrics.staleness),
            write_gaps: gaps.collect(),
            own_write_misses: metrics.own_write_misses,
            too_old: metrics.too_old,
            unattributed_reads: metrics.unattributed_reads,
            history,
            per_second: metrics.seconds.clone(),
        }
    }

    /// Returns the lowest fraction of successful requests within the rate over all accounts.
    pub fn min_success_fraction(&self) -> f64 {
        let success_fraction =
            |counts: &AccountCounts| fraction(counts.succeeded_within, counts.within);
        self.accounts
            .values()
            .map(success_fraction)
            .fold(1.0, f64::min)
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let percent = |fraction: f64| format!("{:.2} %", fraction * 100.0);
        writeln!(
            f,
            "deployment {} seed {} for {} s",
            self.deployment, self.seed, self.seconds
        )?;
        writeln!(f, "{:<28}{:>12.1}", "goodput per second", self.goodput)?;
        writeln!(
            f,
            "{:<28}{:>12}",
            "replica share of reads",
            percent(self.replica_share)
        )?;
        writeln!(
            f,
            "{:<28}{:>12}",
            "  allowed by freshness",
            percent(self.allowed_replica_share)
        )?;
        writeln!(
            f,
            "{:<28}{:>12}",
            "refused within rate",
            percent(self.refused_within_rate)
        )?;
        writeln!(
            f,
            "{:<28}{:>12}",
            "lowest account success",
            percent(self.min_success_fraction())
        )?;
        writeln!(
            f,
            "{:<28}{:>9.1} ms",
            "observed age of reads, p99", self.staleness.p99_ms
        )?;
        writeln!(f, "{:<28}{:>12}", "reads older than accepted", self.too_old)?;
        writeln!(
            f,
            "{:<28}{:>12}",
            "own writes missed", self.own_write_misses
        )?;
        let history = &self.history;
        writeln!(
            f,
            "writes: acknowledged {} unknown {} lost {} doubled {} not run but present {} \
             unexplained {}{}",
            history.acknowledged,
            history.unknown,
            history.lost,
            history.doubled,
            history.not_run_but_present,
            history.unexplained,
            if history.verified {
                ""
            } else {
                " (NOT VERIFIED)"
            },
        )?;
        for (database, gap) in &self.write_gaps {
            let (length, from) = (gap.length_ms, gap.from_s);
            writeln!(
                f,
                "longest write gap {database}: {length:.0} ms at {from:.1} s"
            )?;
        }
        writeln!(
            f,
            "{:<22}{:>9}{:>9}{:>10}{:>10}",
            "latency", "count", "p50 ms", "p99 ms", "max ms"
        )?;
        for (name, latency) in self.class_latency.iter().chain(&self.account_latency) {
            writeln!(
                f,
                "{name:<22}{:>9}{:>9.1}{:>10.1}{:>10.1}",
                latency.count, latency.p50_ms, latency.p99_ms, latency.max_ms
            )?;
        }
        writeln!(
            f,
            "{:<22}{:>12}{:>12}",
            "refused attempts", "within rate", "over rate"
        )?;
        for count in &self.refusals {
            writeln!(
                f,
                "{:<22}{:>12}{:>12}",
                count.code, count.within_rate, count.over_rate
            )?;
        }
        for (code, number) in &self.failures {
            writeln!(f, "failed requests {code}: {number}")?;
        }
        Ok(())
    }
}
