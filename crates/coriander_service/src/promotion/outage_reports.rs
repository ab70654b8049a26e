//! Reports of other instances about primaries.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use coriander_core::MonotonicTime;

use crate::fleet::peer_messages::OutageReport;

/// How long an outage report of another instance is valid.
const REPORT_LIFETIME: Duration = Duration::from_millis(700);

#[derive(Clone, Debug)]
struct ReceivedReport {
    member: String,
    failing: bool,
    received_at: MonotonicTime,
}

/// The newest outage report of each instance for each group.
#[derive(Debug, Default)]
pub struct OutageReports {
    reports: RefCell<HashMap<(SocketAddr, String), ReceivedReport>>,
}

impl OutageReports {
    /// Records an outage report of another instance.
    pub fn record(&self, sender: SocketAddr, report: &OutageReport, now: MonotonicTime) {
        let received_report = ReceivedReport {
            member: report.member.clone(),
            failing: report.failing,
            received_at: now,
        };
        let mut reports = self.reports.borrow_mut();
        reports.insert((sender, report.group.clone()), received_report);
    }

    /// Returns the number of other instances that report an outage of a primary.
    pub fn count(&self, group: &str, member: &str, now: MonotonicTime) -> usize {
        let reports = self.reports.borrow();
        let is_valid = |((_, report_group), report): &(&(SocketAddr, String), &ReceivedReport)| {
            report_group == group
                && report.member == member
                && report.failing
                && now.since(report.received_at) < REPORT_LIFETIME
        };
        reports.iter().filter(is_valid).count()
    }
}
