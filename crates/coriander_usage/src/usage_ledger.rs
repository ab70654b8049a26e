//! Decides which counts of a window are recorded and sent.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::usage_messages::{UsageRecord, WindowUsage, ZoneCounts};
use crate::usage_policy::UsagePolicy;
use crate::{KEPT_WINDOWS, is_kept};

/// How long a new holder waits for the sums of the collectors before its first decision. They learn
/// of the holder with their next update of the store and send within a second.
const SETTLE_TIME: Duration = Duration::from_millis(2_500);

/// Number of refusals after which a report that is past its due time is given up. The first one may be
/// due to an outdated fencing token, which is replaced before the next call.
const MAX_REFUSALS: u32 = 3;

/// What the holder of the duty does next.
#[derive(Clone, Debug, PartialEq)]
pub enum LedgerStep {
    /// Nothing is due.
    Wait,
    /// Reads the record from the store; see [`UsageLedger::set_record`].
    ReadRecord,
    /// Writes the record under the fencing token; see [`UsageLedger::set_record`] and
    /// [`UsageLedger::forget_record`].
    WriteRecord(UsageRecord),
    /// Sends a recorded report; see [`UsageLedger::accept`] and [`UsageLedger::refuse`].
    Send(WindowUsage),
}

/// Operations of a reported window that were not in its report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WindowDifference {
    /// Number of the window.
    pub window: u64,
    /// Operations in the report.
    pub reported: u64,
    /// Operations that became known after it was recorded.
    pub missing: u64,
}

/// The sums of a zone as one of its collectors has sent them.
#[derive(Debug, Default)]
struct CollectorSums {
    closed_processes: u32,
    total: u64,
    counts: HashMap<Arc<str>, u64>,
}

impl CollectorSums {
    /// Returns the number of processes whose counts are in the sums; 0 while a part is missing.
    fn closed_processes(&self) -> u32 {
        let received: u64 = self.counts.values().sum();
        if received < self.total {
            return 0;
        }
        self.closed_processes
    }
}

/// The sums of a zone by the process of the collector.
#[derive(Debug, Default)]
struct ZoneSums {
    collectors: HashMap<u64, CollectorSums>,
}

impl ZoneSums {
    fn closed_processes(&self) -> u32 {
        let collectors = self.collectors.values();
        let closed = collectors.map(CollectorSums::closed_processes);
        closed.max().unwrap_or(0)
    }

    /// Returns the highest sum of each account. The sums of the collectors are lower bounds.
    fn counts(&self) -> HashMap<&Arc<str>, u64> {
        let mut highest: HashMap<&Arc<str>, u64> = HashMap::new();
        let collectors = self.collectors.values();
        for (account, count) in collectors.flat_map(|sums| &sums.counts) {
            let known = highest.entry(account).or_default();
            *known = (*known).max(*count);
        }
        highest
    }
}

/// The windows of the fleet, and the state of their reports while this process holds the duty.
#[derive(Debug, Default)]
pub struct UsageLedger {
    policy: UsagePolicy,
    windows: BTreeMap<u64, HashMap<Arc<str>, ZoneSums>>,
    /// The record in the store; `None` until it has been read.
    record: Option<UsageRecord>,
    /// Recorded windows that the platform has accepted, or whose report was given up.
    accepted: BTreeSet<u64>,
    /// Refusals of recorded reports by window, in this tenure.
    refusals: BTreeMap<u64, u32>,
    /// Operations in the reports that this process has recorded.
    reported: BTreeMap<u64, u64>,
    /// The open window at the last removal of old ones.
    open_window: Option<u64>,
    /// Highest number of instances that was seen in each window.
    instances: BTreeMap<u64, usize>,
    /// Since when this process has held the duty.
    held_since: Duration,
}

impl UsageLedger {
    /// Creates an empty ledger.
    pub fn new(policy: UsagePolicy) -> Self {
        Self {
            policy,
            ..Self::default()
        }
    }

    /// Records the sums of a collector, or a part of them.
    pub fn receive(&mut self, message: &ZoneCounts) {
        let open_window = self.open_window.unwrap_or(message.window);
        if !is_kept(message.window, open_window) {
            return;
        }
        let zones = self.windows.entry(message.window).or_default();
        let zone = zones.entry(message.zone.clone()).or_default();
        let sums = zone.collectors.entry(message.collector).or_default();
        sums.closed_processes = sums.closed_processes.max(message.closed_processes);
        sums.total = sums.total.max(message.total);
        for (account, count) in &message.counts {
            let known = sums.counts.entry(account.clone()).or_default();
            *known = (*known).max(*count);
        }
    }

    /// Starts a tenure of the duty: another process may have recorded reports before.
    pub fn start_tenure(&mut self, wall_time: Duration) {
        self.record = None;
        self.accepted.clear();
        self.refusals.clear();
        self.reported.clear();
        self.held_since = wall_time;
    }

    /// Sets the record as it was read from the store or written by this process.
    pub fn set_record(&mut self, record: UsageRecord) {
        for usage in &record.reports {
            self.reported
                .insert(usage.window, usage.counts.values().sum());
        }
        let is_recorded = |window: &u64| record.reports.iter().any(|usage| usage.window == *window);
        self.accepted.retain(is_recorded);
        self.refusals.retain(|window, _| is_recorded(window));
        self.record = Some(record);
    }

    /// Requires another read of the record: a write has failed, or may have taken effect.
    pub fn forget_record(&mut self) {
        self.record = None;
    }

    /// Records that the platform has accepted the report of a window. Returns whether it was late.
    pub fn accept(&mut self, window: u64, wall_time: Duration) -> bool {
        self.accepted.insert(window);
        wall_time > self.policy.due_at(window)
    }

    /// Records that the platform has refused the report of a window. Returns whether the report is
    /// given up: a report that is refused for its content must not block later windows.
    pub fn refuse(&mut self, window: u64, wall_time: Duration) -> bool {
        let refusals = self.refusals.entry(window).or_default();
        *refusals = refusals.saturating_add(1);
        let is_given_up = *refusals >= MAX_REFUSALS && wall_time > self.policy.due_at(window);
        if is_given_up {
            self.accepted.insert(window);
        }
        is_given_up
    }

    /// Records the present number of instances in the fleet.
    pub fn record_instances(&mut self, wall_time: Duration, instances: usize) {
        let open_window = self.policy.window_at(wall_time);
        let known = self.instances.entry(open_window).or_default();
        *known = (*known).max(instances);
        let first = open_window.saturating_sub(KEPT_WINDOWS);
        self.instances = self.instances.split_off(&first);
    }

    /// Returns the highest number of instances seen since a window began. After an outage of the
    /// store the first instances to register see only few others.
    pub fn expected_processes(&self, window: u64) -> usize {
        let seen = self.instances.range(window..);
        seen.map(|(_, instances)| *instances).max().unwrap_or(0)
    }

    /// Returns what to do next, for a fleet with a number of instances.
    pub fn next_step(&mut self, wall_time: Duration, instances: usize) -> LedgerStep {
        self.record_instances(wall_time, instances);
        let Some(record) = &self.record else {
            return LedgerStep::ReadRecord;
        };
        let is_unsent = |usage: &&WindowUsage| !self.accepted.contains(&usage.window);
        if let Some(usage) = record.reports.iter().find(is_unsent) {
            return LedgerStep::Send(usage.clone());
        }
        let mut reports = Vec::new();
        let mut window = self.first_unrecorded(record, wall_time);
        while self.is_due(window, wall_time) {
            reports.push(self.usage(window));
            window += 1;
        }
        let Some(last) = reports.last() else {
            return LedgerStep::Wait;
        };
        LedgerStep::WriteRecord(UsageRecord {
            last_window: last.window,
            revision: record.revision,
            reports,
        })
    }

    /// Returns how many windows a new record leaves out because they are no longer kept.
    pub fn skipped_windows(&self, record: &UsageRecord) -> u64 {
        let last_window = self.record.as_ref().map_or(0, |known| known.last_window);
        let first = record.reports.first().map(|usage| usage.window);
        first.filter(|_| last_window > 0).map_or(0, |first| {
            first.saturating_sub(last_window.saturating_add(1))
        })
    }

    /// Returns the number of processes that have closed a window and whose counts have all arrived.
    pub fn closed_processes(&self, window: u64) -> u32 {
        let zones = self.windows.get(&window);
        zones.map_or(0, |zones| {
            zones.values().map(ZoneSums::closed_processes).sum()
        })
    }

    /// Returns the number of windows of which anything is kept: sums, reports or accepted reports.
    pub fn window_count(&self) -> usize {
        let windows = self.windows.keys().chain(self.reported.keys());
        let windows: BTreeSet<_> = windows.chain(&self.accepted).collect();
        windows.len()
    }

    /// Removes windows that are too old, also while this process does not hold the duty, and returns
    /// the reported ones of which operations became known too late.
    pub fn remove_old(&mut self, wall_time: Duration) -> Vec<WindowDifference> {
        let open_window = self.policy.window_at(wall_time);
        self.open_window = Some(open_window);
        let first_kept = open_window.saturating_sub(KEPT_WINDOWS);
        let kept = self.windows.split_off(&first_kept);
        let old = std::mem::replace(&mut self.windows, kept);
        let mut differences = Vec::new();
        for (window, zones) in old {
            let Some(reported) = self.reported.remove(&window) else {
                continue;
            };
            let counts = zones.values().flat_map(|zone| zone.counts().into_values());
            let missing = counts.sum::<u64>().saturating_sub(reported);
            if missing > 0 {
                differences.push(WindowDifference {
                    window,
                    reported,
                    missing,
                });
            }
        }
        self.reported = self.reported.split_off(&first_kept);
        differences
    }

    /// Returns the first window that is not recorded. Without a record it is the one in which the
    /// tenure began; windows that are no longer kept are given up.
    fn first_unrecorded(&self, record: &UsageRecord, wall_time: Duration) -> u64 {
        let first = if record.last_window == 0 {
            self.policy.window_at(self.held_since)
        } else {
            record.last_window.saturating_add(1)
        };
        let open_window = self.policy.window_at(wall_time);
        first.max(open_window.saturating_sub(KEPT_WINDOWS))
    }

    fn is_due(&self, window: u64, wall_time: Duration) -> bool {
        let is_settled = wall_time >= self.held_since + SETTLE_TIME;
        if !is_settled || wall_time < self.policy.earliest_report(window) {
            return false;
        }
        let closed = usize::try_from(self.closed_processes(window)).unwrap_or(usize::MAX);
        let expected = self.expected_processes(window);
        let is_complete = expected > 0 && closed >= expected;
        is_complete || wall_time >= self.policy.latest_report(window)
    }

    fn usage(&self, window: u64) -> WindowUsage {
        let mut counts: BTreeMap<Arc<str>, u64> = BTreeMap::new();
        let zones = self.windows.get(&window).into_iter();
        let zones = zones.flat_map(HashMap::values);
        for (account, count) in zones.flat_map(ZoneSums::counts) {
            *counts.entry(account.clone()).or_default() += count;
        }
        WindowUsage { window, counts }
    }
}
