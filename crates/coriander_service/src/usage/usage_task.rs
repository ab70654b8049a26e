//! Sends counts each second, and reports usage while this process holds the duty.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use coriander_core::stable_hash;
use coriander_service_api::{ControlStore, UsageApi, UsageReportError};
use coriander_usage::{LedgerStep, UsageRecord, WindowUsage};
use tokio::time::sleep;

use crate::duties::duty_lease::SAFE_LEASE_LIFETIME;
use crate::service::SessionService;
use crate::usage::usage_meter::UsageMeter;

/// Interval between two rounds, and the resolution of their times.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// Start of the rounds of the first instances after each full second of the true time.
const MIN_PHASE_MS: u64 = 50;

/// Range in which the rounds of the instances start, so that their messages do not arrive together.
const PHASE_RANGE_MS: u64 = 400;

/// Maximum number of steps of the holder in one round; covers a record and its reports.
const MAX_STEPS: usize = 16;

/// Sends the usage of client accounts, and reports it while this process holds the duty.
pub struct UsageTask {
    service: Rc<SessionService>,
    usage: Rc<UsageMeter>,
    store: Rc<dyn ControlStore>,
    api: Rc<dyn UsageApi>,
    /// Tenure of the duty in which the ledger was last used.
    tenure: Cell<u64>,
}

impl UsageTask {
    /// Creates the task; `None` if the settings name no usage reports.
    pub fn new(
        service: Rc<SessionService>,
        store: Rc<dyn ControlStore>,
        api: Rc<dyn UsageApi>,
    ) -> Option<Self> {
        let usage = service.usage.clone()?;
        Some(Self {
            service,
            usage,
            store,
            api,
            tenure: Cell::default(),
        })
    }

    /// Runs until the process ends.
    pub async fn run(self) {
        let process_id = self.service.settings().process_id.clone();
        let phase = stable_hash(("usage round", &*process_id)) % PHASE_RANGE_MS + MIN_PHASE_MS;
        let phase = Duration::from_millis(phase);
        loop {
            self.usage.update_clock();
            sleep(delay_to_round(self.usage.wall_time(), phase)).await;
            self.run_round().await;
        }
    }

    /// Sends what is due, and performs the duty if this process holds it.
    pub async fn run_round(&self) {
        self.usage.update_clock();
        self.usage.send_due(&self.service);
        let now = self.usage.wall_time();
        let instances = self.instance_count();
        self.usage
            .ledger
            .borrow_mut()
            .record_instances(now, instances);
        self.remove_old(now);
        for _ in 0..MAX_STEPS {
            let Some(token) = self.token() else {
                return;
            };
            if !self.run_step(token).await {
                return;
            }
        }
    }

    /// Returns the fencing token if this process may act on the duty now.
    fn token(&self) -> Option<u64> {
        let now = self.service.clock.now();
        let duty = &self.service.usage_duty;
        duty.usable_token(SAFE_LEASE_LIFETIME, now)
    }

    /// Performs the next step of the duty. Returns whether another one may follow at once.
    async fn run_step(&self, token: u64) -> bool {
        match self.next_step() {
            LedgerStep::Wait => false,
            LedgerStep::ReadRecord => self.read_record().await,
            LedgerStep::WriteRecord(record) => self.write_record(record, token).await,
            LedgerStep::Send(usage) => self.send(&usage, token).await,
        }
    }

    fn next_step(&self) -> LedgerStep {
        let now = self.usage.wall_time();
        let tenure = self.service.usage_duty.tenure();
        let mut ledger = self.usage.ledger.borrow_mut();
        if self.tenure.replace(tenure) != tenure {
            ledger.start_tenure(now);
        }
        ledger.next_step(now, self.instance_count())
    }

    /// Removes old windows from the ledger, which receives sums also before it learns that another
    /// process holds the duty.
    fn remove_old(&self, now: Duration) {
        let differences = self.usage.ledger.borrow_mut().remove_old(now);
        for difference in differences {
            log::warn!(
                window = difference.window, reported = difference.reported,
                missing = difference.missing;
                "operations of a reported window became known too late"
            );
            self.service.metrics.count_late_usage(difference.missing);
        }
    }

    fn instance_count(&self) -> usize {
        let snapshot = self.service.store_view.snapshot();
        snapshot.map_or(0, |snapshot| snapshot.instances.len())
    }

    async fn read_record(&self) -> bool {
        match self.store.read_usage_record().await {
            Ok(record) => {
                self.usage.ledger.borrow_mut().set_record(record);
                true
            }
            Err(error) => {
                log::warn!(error:% = error; "recorded usage reports not read");
                false
            }
        }
    }

    async fn write_record(&self, record: UsageRecord, token: u64) -> bool {
        let skipped = self.usage.ledger.borrow().skipped_windows(&record);
        match self.store.write_usage_record(&record, token).await {
            Ok(revision) => {
                if skipped > 0 {
                    log::error!(
                        windows = skipped, next = record.reports.first().map_or(0, |r| r.window);
                        "usage of windows is too old and is not reported"
                    );
                    self.service.metrics.count_usage("missed", skipped);
                }
                self.log_incomplete(&record);
                let record = UsageRecord { revision, ..record };
                self.usage.ledger.borrow_mut().set_record(record);
                true
            }
            Err(error) => {
                log::warn!(
                    window = record.last_window, token = token, error:% = error;
                    "usage report not recorded and not sent"
                );
                self.usage.ledger.borrow_mut().forget_record();
                false
            }
        }
    }

    fn log_incomplete(&self, record: &UsageRecord) {
        let ledger = self.usage.ledger.borrow();
        for usage in &record.reports {
            let closed = ledger.closed_processes(usage.window);
            let instances = ledger.expected_processes(usage.window);
            if (closed as usize) < instances {
                log::warn!(
                    window = usage.window, heard = closed, instances = instances;
                    "usage is reported without the final counts of all instances"
                );
            }
        }
    }

    async fn send(&self, usage: &WindowUsage, token: u64) -> bool {
        let holder = self.service.settings().name.clone();
        let metrics = &self.service.metrics;
        let Err(error) = self.api.report(usage, &holder, token).await else {
            let now = self.usage.wall_time();
            let is_late = self.usage.ledger.borrow_mut().accept(usage.window, now);
            let operations: u64 = usage.counts.values().sum();
            log::info!(
                window = usage.window, accounts = usage.counts.len(), operations = operations,
                late = is_late, token = token;
                "usage reported"
            );
            metrics.count_usage(if is_late { "late" } else { "reported" }, 1);
            return true;
        };
        metrics.count_usage("call_failed", 1);
        if is_refusal(&error) {
            let now = self.usage.wall_time();
            if self.usage.ledger.borrow_mut().refuse(usage.window, now) {
                log::error!(
                    window = usage.window, token = token, error:% = error;
                    "usage report was refused repeatedly and is given up"
                );
                metrics.count_usage("missed", 1);
                return true;
            }
        }
        log::warn!(
            window = usage.window, token = token, error:% = error;
            "usage report failed and will be repeated"
        );
        if error == UsageReportError::Rejected {
            self.service.usage_duty.mark_token_spent();
        }
        false
    }
}

/// Returns whether the platform has refused a report and may do so again for its content. Overload and
/// failures of the platform pass, so the report waits for their end.
const fn is_refusal(error: &UsageReportError) -> bool {
    match error {
        UsageReportError::Rejected => true,
        UsageReportError::Refused(status) => {
            matches!(*status, 400..=499) && !matches!(*status, 408 | 425 | 429)
        }
        UsageReportError::NotSent(_) | UsageReportError::NoResponse(_) => false,
    }
}

/// Returns the time until the next round, `phase` after a full second.
fn delay_to_round(wall_time: Duration, phase: Duration) -> Duration {
    let into_second = Duration::from_nanos(u64::from(wall_time.subsec_nanos()));
    if into_second < phase {
        phase - into_second
    } else {
        ROUND_INTERVAL + phase - into_second
    }
}
