//! Schedule of the probes and of the calls of the monitor.

use std::time::Duration;

use coriander_core::MonotonicTime;

use crate::group_monitor::{GroupMonitor, MonitorStep};
use crate::{GroupAction, ProbeId};

/// Time between probes of the primary and of the target of a planned promotion.
const HANDOVER_PROBE_INTERVAL: Duration = Duration::from_millis(20);

impl GroupMonitor {
    /// Returns the latest time for the next call of [`GroupMonitor::handle`] with a tick.
    ///
    /// ```
    /// # use coriander_core::MonotonicTime;
    /// # use coriander_failover::{GroupMonitor, MonitorSettings};
    /// # let now = MonotonicTime::ZERO;
    /// # let database = "orders".parse().expect("name");
    /// # let mut monitor = GroupMonitor::new(database, MonitorSettings::default(), now);
    /// assert!(monitor.next_wakeup(now) > now);
    /// ```
    pub fn next_wakeup(&self, now: MonotonicTime) -> MonotonicTime {
        let mut wakeup = now + self.settings.probe_interval;
        for record in self.records.values() {
            wakeup = wakeup.min(record.probe_due);
            if let Some(deadline) = record.detector.silence_deadline(&self.settings)
                && deadline > now
            {
                wakeup = wakeup.min(deadline);
            }
        }
        let starts = [
            self.attempt_start_time(),
            self.attempt.as_ref().map(|attempt| attempt.resend_due),
        ];
        for start in starts.into_iter().flatten().filter(|start| *start > now) {
            wakeup = wakeup.min(start);
        }
        wakeup
    }

    pub(crate) fn send_probes(&mut self, step: &mut MonitorStep<'_>) {
        let now = step.now;
        let primary = self.view.as_ref().map(|view| view.member.clone());
        let is_healthy = primary.is_some()
            && self.attempt.is_none()
            && self.suspicion.is_none()
            && !self.has_primary_missed_reply(now);
        for (id, record) in &mut self.records {
            let is_primary = primary.as_ref() == Some(id);
            let interval = match &self.handover {
                Some(handover) if is_primary || handover.target == *id => HANDOVER_PROBE_INTERVAL,
                _ if (is_primary || primary.is_none())
                    && record.detector.refusals_since_reply() > 0 =>
                {
                    self.settings.refused_probe_interval
                }
                _ if is_primary || !is_healthy => self.settings.probe_interval,
                _ => self.settings.replica_probe_interval,
            };
            // A shorter interval also applies to a probe that is already scheduled.
            record.probe_due = record.probe_due.min(now + interval);
            if now < record.probe_due {
                continue;
            }
            self.last_probe = ProbeId(self.last_probe.0 + 1);
            record.detector.record_probe(self.last_probe, now);
            record.probe_sent = now;
            record.probe_due = now + interval;
            step.actions.push(GroupAction::Probe {
                member: id.clone(),
                probe: self.last_probe,
            });
        }
    }

    /// Returns whether a reply of the primary is overdue. The other members are then probed more
    /// often, before the failure is certain.
    fn has_primary_missed_reply(&self, now: MonotonicTime) -> bool {
        let record = self
            .view
            .as_ref()
            .and_then(|view| self.records.get(&view.member));
        record.is_some_and(|record| {
            let silent = record.detector.silent_since().map(|since| now.since(since));
            record.detector.refusals_since_reply() > 0
                || silent.is_some_and(|silent| silent >= self.settings.probe_interval)
        })
    }
}
