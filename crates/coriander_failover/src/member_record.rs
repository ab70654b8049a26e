//! Observed state of one member.

use coriander_core::{GroupStatus, LogPosition, MemberRole, MonotonicTime, TermNumber};

use crate::failure_detector::FailureDetector;
use crate::{GroupMember, ProbeId};

/// A status and the probe that requested it.
#[derive(Debug)]
pub(crate) struct ProbedStatus {
    pub(crate) probe: ProbeId,
    pub(crate) received: MonotonicTime,
    pub(crate) status: GroupStatus,
}

/// A member, its failure detector and its newest status.
#[derive(Debug)]
pub(crate) struct MemberRecord {
    pub(crate) member: GroupMember,
    pub(crate) detector: FailureDetector,
    pub(crate) newest_status: Option<ProbedStatus>,
    pub(crate) probe_due: MonotonicTime,
    pub(crate) probe_sent: MonotonicTime,
    pub(crate) follow_due: MonotonicTime,
    /// Greatest majority position that the member has reported to hold.
    held_position: LogPosition,
    /// Last probe that was sent when `held_position` was raised; replies to earlier ones may be
    /// older.
    held_probe: ProbeId,
}

impl MemberRecord {
    pub(crate) fn new(member: GroupMember, now: MonotonicTime) -> Self {
        Self {
            member,
            detector: FailureDetector::default(),
            newest_status: None,
            probe_due: now,
            probe_sent: now,
            follow_due: now,
            held_position: LogPosition::default(),
            held_probe: ProbeId::default(),
        }
    }

    pub(crate) fn status(&self) -> Option<&GroupStatus> {
        self.newest_status.as_ref().map(|probed| &probed.status)
    }

    /// Returns the status if its probe was sent after the probe `after`.
    pub(crate) fn status_after(&self, after: ProbeId) -> Option<&GroupStatus> {
        self.newest_status
            .as_ref()
            .filter(|probed| probed.probe > after)
            .map(|probed| &probed.status)
    }

    /// Records that the member holds entries that can no longer be removed legitimately.
    ///
    /// A log past `majority_position` contains the entry at that position. A shorter log that
    /// ends in the same term is a prefix of the same primary's log.
    pub(crate) fn record_log(
        &mut self,
        log: LogPosition,
        majority_position: LogPosition,
        last_probe: ProbeId,
    ) {
        let held = if log >= majority_position {
            majority_position
        } else {
            log
        };
        if held.term == majority_position.term && held > self.held_position {
            self.held_position = held;
            self.held_probe = last_probe;
        }
    }

    /// Returns whether a log lacks acknowledged entries that the member held before, as after a
    /// restart with an empty or outdated disk.
    pub(crate) fn has_lost_entries(&self, log: LogPosition) -> bool {
        log < self.held_position
    }

    /// Returns whether the newest status lacks acknowledged entries, if its probe was sent after
    /// the entries were reported.
    ///
    /// Parallel probes overtake each other, so the reply to a later probe can be older.
    pub(crate) fn reports_lost_entries(&self) -> bool {
        let status = self.status_after(self.held_probe);
        status.is_some_and(|status| self.has_lost_entries(status.log))
    }

    /// Returns whether the member replicates in a term.
    pub(crate) fn is_replica_in(&self, term: TermNumber) -> bool {
        self.status()
            .is_some_and(|s| s.term == term && s.role == MemberRole::Replica)
    }
}
