//! A store and a platform in memory, and a holder that carries out the steps of its ledger.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use coriander_usage::{LedgerStep, UsageLedger, UsagePolicy, UsageRecord, WindowUsage, ZoneCounts};

pub fn policy() -> UsagePolicy {
    UsagePolicy::default()
}

/// Returns the sums of a zone with one account.
pub fn sums(collector: u64, zone: &str, window: u64, closed: u32, count: u64) -> ZoneCounts {
    ZoneCounts {
        collector,
        zone: zone.into(),
        window,
        closed_processes: closed,
        total: count,
        counts: vec![("harbour".into(), count)],
    }
}

/// Keeps the record under the newest fencing token.
#[derive(Default)]
pub struct Store {
    token: u64,
    pub record: UsageRecord,
    pub writes: u64,
    pub is_down: bool,
    pub loses_answers: bool,
    pub delays_writes: bool,
    delayed: Vec<(UsageRecord, u64)>,
}

impl Store {
    fn write(&mut self, record: &UsageRecord, token: u64) -> Option<u64> {
        if self.is_down {
            return None;
        }
        if self.delays_writes {
            self.delayed.push((record.clone(), token));
            return None;
        }
        if token != self.token || record.revision != self.record.revision {
            return None;
        }
        self.writes += 1;
        self.record = record.clone();
        self.record.revision += 1;
        Some(self.record.revision).filter(|_| !self.loses_answers)
    }

    pub fn apply_delayed(&mut self) {
        for (record, token) in std::mem::take(&mut self.delayed) {
            self.write(&record, token);
        }
    }
}

/// Accepts reports with the newest fencing token and notes those with other counts.
#[derive(Default)]
pub struct Platform {
    token: u64,
    pub reports: BTreeMap<u64, BTreeMap<Arc<str>, u64>>,
    pub conflicts: Vec<WindowUsage>,
    pub calls: u64,
    /// Window whose report is refused for its content.
    pub refused_window: Option<u64>,
    pub loses_answers: bool,
    pub delays_calls: bool,
    delayed: Vec<(WindowUsage, u64)>,
}

impl Platform {
    fn report(&mut self, usage: &WindowUsage, token: u64) -> bool {
        self.calls += 1;
        if self.delays_calls {
            self.delayed.push((usage.clone(), token));
            return false;
        }
        if token < self.token {
            return false;
        }
        self.token = token;
        let known = self.reports.entry(usage.window);
        if known.or_insert_with(|| usage.counts.clone()) != &usage.counts {
            self.conflicts.push(usage.clone());
        }
        !self.loses_answers
    }

    pub fn apply_delayed(&mut self) {
        for (usage, token) in std::mem::take(&mut self.delayed) {
            self.report(&usage, token);
        }
    }
}

/// A process that has acquired the duty.
pub struct Holder {
    pub ledger: UsageLedger,
    token: u64,
}

impl Holder {
    /// Acquires the duty with a new fencing token.
    pub fn acquire(store: &mut Store, wall_time: Duration) -> Self {
        store.token += 1;
        let mut ledger = UsageLedger::new(policy());
        ledger.start_tenure(wall_time);
        Self {
            ledger,
            token: store.token,
        }
    }

    /// Carries out steps until nothing is due or a call fails.
    pub fn run(
        &mut self,
        store: &mut Store,
        platform: &mut Platform,
        wall_time: Duration,
        instances: usize,
    ) {
        loop {
            match self.ledger.next_step(wall_time, instances) {
                LedgerStep::Wait => return,
                LedgerStep::ReadRecord if store.is_down => return,
                LedgerStep::ReadRecord => self.ledger.set_record(store.record.clone()),
                LedgerStep::WriteRecord(record) => match store.write(&record, self.token) {
                    Some(revision) => self.ledger.set_record(UsageRecord { revision, ..record }),
                    None => {
                        self.ledger.forget_record();
                        return;
                    }
                },
                LedgerStep::Send(usage) => {
                    if platform.refused_window == Some(usage.window) {
                        platform.calls += 1;
                        if self.ledger.refuse(usage.window, wall_time) {
                            continue;
                        }
                        return;
                    }
                    if !platform.report(&usage, self.token) {
                        return;
                    }
                    self.ledger.accept(usage.window, wall_time);
                }
            }
        }
    }
}
