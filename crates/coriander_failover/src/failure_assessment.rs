//! Decides whether the group needs a new primary.

use coriander_core::{LogPosition, MemberRole, MonotonicTime};

use crate::group_monitor::{FailureSuspicion, GroupMonitor};
use crate::member_record::MemberRecord;
use crate::{PrimaryView, PromotionCause};

impl GroupMonitor {
    /// Updates the suspicion; its start time stays the same while any cause remains.
    pub(crate) fn update_suspicion(&mut self, now: MonotonicTime) {
        self.update_stall(now);
        let since = self.suspicion.map_or(now, |suspicion| suspicion.since);
        self.suspicion = self
            .assess(now)
            .map(|cause| FailureSuspicion { cause, since });
    }

    /// Returns the earliest start of the promotion that the suspected failure requires.
    pub(crate) fn attempt_start_time(&self) -> Option<MonotonicTime> {
        let suspicion = self.suspicion?;
        let mut start = suspicion.since + self.settings.rank_delay * self.rank?;
        if suspicion.cause == PromotionCause::NoPrimary {
            start = start + self.settings.proposer_timeout;
        }
        let known_term = self.view.as_ref().map(|view| view.term).unwrap_or_default();
        if self.other_proposer_term > known_term && self.other_proposer_term > self.own_term {
            // The other proposer's attempt takes a few round trips. If it fails, instances of
            // different rank start their attempts at different times.
            let timeout = self.settings.proposer_timeout
                + self.settings.retry_backoff * self.rank.unwrap_or_default();
            start = start.max(self.other_proposer_since + timeout);
        }
        Some(start.max(self.earliest_attempt))
    }

    fn assess(&self, now: MonotonicTime) -> Option<PromotionCause> {
        let Some(view) = &self.view else {
            return self
                .is_without_primary(now)
                .then_some(PromotionCause::NoPrimary);
        };
        let record = self.records.get(&view.member)?;
        if record.detector.refusals_since_reply() >= self.settings.max_refusals {
            return Some(PromotionCause::Refused);
        }
        self.assess_status(view, record)
            .or_else(|| {
                self.is_primary_silent(record, now)
                    .then_some(PromotionCause::Silent)
            })
            .or_else(|| {
                self.has_later_term(view)
                    .then_some(PromotionCause::LaterTerm)
            })
            .or_else(|| {
                self.is_stalled(view, now)
                    .then_some(PromotionCause::ReplicationStalled)
            })
    }

    fn assess_status(&self, view: &PrimaryView, record: &MemberRecord) -> Option<PromotionCause> {
        let status = record.status_after(self.view_probe)?;
        if status.term > view.term {
            Some(PromotionCause::LaterTerm)
        } else if status.term < view.term || status.role != MemberRole::Primary {
            Some(PromotionCause::RoleLost)
        } else {
            record
                .reports_lost_entries()
                .then_some(PromotionCause::EntriesLost)
        }
    }

    fn is_primary_silent(&self, record: &MemberRecord, now: MonotonicTime) -> bool {
        let Some(since) = record.detector.silent_since() else {
            return false;
        };
        if !record.detector.is_silent(&self.settings, now) {
            return false;
        }
        // If the other members do not reply either, the fault is on the side of this instance, and
        // no majority could be fenced anyway.
        let responsive = self
            .records
            .values()
            .filter(|r| r.detector.has_replied_since(since))
            .count();
        // While the logs of a majority grow, the primary serves other instances. Only the gateway,
        // which has rank 0, replaces a primary that it alone cannot reach.
        let timeout = record.detector.silence_timeout(&self.settings);
        let serves_others = self.rank.unwrap_or_default() > 0
            && now.since(self.majority_position_changed) < timeout;
        responsive >= crate::majority_of(self.group_size()) && !serves_others
    }

    fn has_later_term(&self, view: &PrimaryView) -> bool {
        let mut statuses = self.records.values().filter_map(MemberRecord::status);
        statuses.any(|status| status.term > view.term)
    }

    /// Returns whether no member is primary: each has replied or is considered failed, and a
    /// majority replies.
    fn is_without_primary(&self, now: MonotonicTime) -> bool {
        let responsive = self
            .records
            .values()
            .filter(|record| self.is_record_responsive(record, now))
            .count();
        let is_decided = self.records.values().all(|record| {
            self.is_record_responsive(record, now)
                || record.detector.refusals_since_reply() >= self.settings.max_refusals
                || record.detector.is_silent(&self.settings, now)
        });
        is_decided && responsive >= crate::majority_of(self.group_size())
    }

    fn is_stalled(&self, view: &PrimaryView, now: MonotonicTime) -> bool {
        let Some(since) = self.stalled_since else {
            return false;
        };
        let others = self.records.iter().filter(|(id, _)| **id != view.member);
        let responsive = others
            .filter(|(_, record)| record.detector.has_replied_since(since))
            .count();
        now.since(since) >= self.settings.max_silence_timeout
            && responsive >= crate::majority_of(self.group_size())
    }

    fn update_stall(&mut self, now: MonotonicTime) {
        let log = self.primary_log();
        if log.is_none_or(|log| log <= self.majority_position)
            || self.majority_position_changed == now
        {
            self.stalled_since = None;
        } else {
            self.stalled_since.get_or_insert(now);
        }
    }

    /// Returns the primary's log position, from a status of its current term.
    pub(crate) fn primary_log(&self) -> Option<LogPosition> {
        let view = self.view.as_ref()?;
        let status = self
            .records
            .get(&view.member)?
            .status_after(self.view_probe)?;
        (status.term == view.term && status.role == MemberRole::Primary).then_some(status.log)
    }
}
