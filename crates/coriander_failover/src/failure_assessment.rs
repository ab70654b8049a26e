//! Decides whether the group needs another primary.

use coriander_core::{LogPosition, MemberRole, MonotonicTime};

use crate::group_monitor::{GroupMonitor, Suspicion};
use crate::member_record::MemberRecord;
use crate::{PrimaryView, PromotionCause};

impl GroupMonitor {
    /// Updates the suspicion; it keeps its start while any cause remains.
    pub(crate) fn update_suspicion(&mut self, now: MonotonicTime) {
        self.update_stall(now);
        let since = self.suspicion.map_or(now, |suspicion| suspicion.since);
        self.suspicion = self.assess(now).map(|cause| Suspicion { cause, since });
    }

    /// Returns when the promotion may start that the suspicion asks for.
    pub(crate) fn start_time(&self) -> Option<MonotonicTime> {
        let suspicion = self.suspicion?;
        let mut start = suspicion.since + self.settings.rank_delay * self.rank?;
        if suspicion.cause == PromotionCause::NoPrimary {
            start = start + self.settings.proposer_patience;
        }
        let known = self.view.as_ref().map(|view| view.term).unwrap_or_default();
        if self.foreign_term > known && self.foreign_term > self.own_term {
            // Another proposer is at work; it needs a few round trips. If it dies, the ranks follow
            // it at different times.
            let patience = self.settings.proposer_patience
                + self.settings.backoff * self.rank.unwrap_or_default();
            start = start.max(self.foreign_since + patience);
        }
        Some(start.max(self.not_before))
    }

    fn assess(&self, now: MonotonicTime) -> Option<PromotionCause> {
        let Some(view) = &self.view else {
            return self
                .is_without_primary(now)
                .then_some(PromotionCause::NoPrimary);
        };
        let record = self.records.get(&view.member)?;
        if record.detector.refusals() >= self.settings.refused_limit {
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
                .shows_lost_entries()
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
        // If the other members do not answer either, the fault is on this side, and no majority
        // could be fenced anyway.
        let answering = self
            .records
            .values()
            .filter(|r| r.detector.answered_since(since))
            .count();
        // While a majority's log grows, the primary serves others; only the gateway itself
        // replaces a primary that it alone cannot reach.
        let timeout = record.detector.silence_timeout(&self.settings);
        let serves_others =
            self.rank.unwrap_or_default() > 0 && now.since(self.floor_changed) < timeout;
        answering >= crate::majority_of(self.group_size()) && !serves_others
    }

    fn has_later_term(&self, view: &PrimaryView) -> bool {
        let mut statuses = self.records.values().filter_map(MemberRecord::status);
        statuses.any(|status| status.term > view.term)
    }

    /// Tells whether all members have been heard or have failed and none is primary.
    fn is_without_primary(&self, now: MonotonicTime) -> bool {
        let answering = self
            .records
            .values()
            .filter(|record| self.answers(record, now))
            .count();
        let is_decided = self.records.values().all(|record| {
            self.answers(record, now)
                || record.detector.refusals() >= self.settings.refused_limit
                || record.detector.is_silent(&self.settings, now)
        });
        is_decided && answering >= crate::majority_of(self.group_size())
    }

    fn is_stalled(&self, view: &PrimaryView, now: MonotonicTime) -> bool {
        let Some(since) = self.stall_since else {
            return false;
        };
        let others = self.records.iter().filter(|(id, _)| **id != view.member);
        let answering = others
            .filter(|(_, record)| record.detector.answered_since(since))
            .count();
        now.since(since) >= self.settings.silence_ceiling
            && answering >= crate::majority_of(self.group_size())
    }

    fn update_stall(&mut self, now: MonotonicTime) {
        let log = self.primary_log();
        if log.is_none_or(|log| log <= self.floor) || self.floor_changed == now {
            self.stall_since = None;
        } else {
            self.stall_since.get_or_insert(now);
        }
    }

    /// Returns the primary's log as sampled in its current term.
    pub(crate) fn primary_log(&self) -> Option<LogPosition> {
        let view = self.view.as_ref()?;
        let status = self
            .records
            .get(&view.member)?
            .status_after(self.view_probe)?;
        (status.term == view.term && status.role == MemberRole::Primary).then_some(status.log)
    }
}
