//! Steps of a promotion: preparation of a planned one, fencing, promotion and following.

use std::time::Duration;

use coriander_core::{ControlReply, LogPosition, MemberId, MonotonicTime, TermNumber};
use rand::Rng;

use crate::group_monitor::{GroupMonitor, MonitorStep, PlannedHandover};
use crate::member_record::MemberRecord;
use crate::promotion_attempt::{AttemptStage, FenceOutcome, PromotionAttempt};
use crate::{CallFailure, GroupAction, PromotionCause};

const RESEND_INTERVAL: Duration = Duration::from_millis(100);
const FOLLOW_INTERVAL: Duration = Duration::from_millis(200);
/// Time without a majority after which an attempt ends; the cause is then assessed again.
const FENCING_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before a planned promotion, multiplied by the rank; a planned promotion is not urgent.
const PLANNED_RANK_DELAY: Duration = Duration::from_secs(2);
/// Maximum age of the primary's position that a target's log must have reached.
const MAX_TARGET_LAG: Duration = Duration::from_millis(500);

impl GroupMonitor {
    pub(crate) fn advance(&mut self, step: &mut MonitorStep<'_>) {
        if self.attempt.is_some() {
            self.advance_attempt(step);
            return;
        }
        self.update_suspicion(step.now);
        if let Some(cause) = self.suspicion.map(|suspicion| suspicion.cause) {
            self.handover = None;
            if self
                .attempt_start_time()
                .is_some_and(|start| step.now >= start)
            {
                self.start_attempt(cause, None, step);
            }
            return;
        }
        self.advance_handover(step);
        self.send_due_follows(step);
    }

    pub(crate) fn apply_promote(
        &mut self,
        member: &MemberId,
        term: TermNumber,
        result: Result<ControlReply, CallFailure>,
        step: &mut MonitorStep<'_>,
    ) {
        if let Ok(reply) = &result {
            self.record_term(reply.term, step.now);
        }
        let Some(attempt) = &self.attempt else { return };
        if attempt.term != term || attempt.stage != AttemptStage::Promoting(member.clone()) {
            return;
        }
        match result {
            Ok(reply) if reply.accepted && reply.term == term => {
                let elapsed = step.now.since(attempt.started).as_millis();
                let database = &self.database;
                log::info!(
                    "failover: promoted database={database} member={member} term={term} \
                     took_ms={elapsed}"
                );
                self.set_primary(member, term, step.now);
                // The first follow calls may have arrived before the member was primary.
                self.send_all_follows(member, term, step);
            }
            Ok(_) => self.back_off(step),
            Err(CallFailure::Refused) => self.retry_without(member, step),
            Err(CallFailure::NoResponse) => {}
        }
    }

    pub(crate) fn start_attempt(
        &mut self,
        cause: PromotionCause,
        target: Option<MemberId>,
        step: &mut MonitorStep<'_>,
    ) {
        let term = self.greatest_term.next();
        self.greatest_term = term;
        self.own_term = term;
        log::info!(
            "failover: fencing database={} term={term} cause={cause}",
            self.database
        );
        let mut attempt = PromotionAttempt::new(term, cause, step.now);
        attempt.resend_due = step.now + RESEND_INTERVAL;
        attempt.target = target;
        let has_suspect = !matches!(
            cause,
            PromotionCause::Planned | PromotionCause::LaterTerm | PromotionCause::GatewayLost
        );
        if has_suspect {
            attempt.suspect = self.view.as_ref().map(|view| view.member.clone());
        }
        self.attempt = Some(attempt);
        self.handover = None;
        for member in self.records.keys() {
            step.actions.push(GroupAction::Fence {
                member: member.clone(),
                term,
            });
        }
    }

    fn advance_attempt(&mut self, step: &mut MonitorStep<'_>) {
        let size = self.group_size();
        let Some(attempt) = self.attempt.as_mut() else {
            return;
        };
        match &attempt.stage {
            AttemptStage::Fencing => {
                match attempt.count_votes(&self.records, size, self.majority_position, step.now) {
                    FenceOutcome::Candidate(candidate) => self.promote(&candidate, step),
                    FenceOutcome::Refused => self.back_off(step),
                    FenceOutcome::Waiting if step.now.since(attempt.started) >= FENCING_TIMEOUT => {
                        self.back_off(step);
                    }
                    FenceOutcome::Waiting => self.resend_fences(step),
                }
            }
            AttemptStage::Promoting(candidate) => {
                let candidate = candidate.clone();
                let limit = self
                    .records
                    .get(&candidate)
                    .map_or(FENCING_TIMEOUT, |record| {
                        record.detector.silence_timeout(&self.settings)
                    });
                if step.now.since(attempt.stage_started) >= limit {
                    self.retry_without(&candidate, step);
                } else if step.now >= attempt.resend_due {
                    attempt.resend_due = step.now + RESEND_INTERVAL;
                    let term = attempt.term;
                    step.actions.push(GroupAction::Promote {
                        member: candidate,
                        term,
                    });
                }
            }
        }
    }

    fn promote(&mut self, candidate: &MemberId, step: &mut MonitorStep<'_>) {
        let Some(attempt) = self.attempt.as_mut() else {
            return;
        };
        attempt.stage = AttemptStage::Promoting(candidate.clone());
        attempt.stage_started = step.now;
        attempt.resend_due = step.now + RESEND_INTERVAL;
        let term = attempt.term;
        step.actions.push(GroupAction::Promote {
            member: candidate.clone(),
            term,
        });
        // The choice is final for this term, so the others may follow before the reply arrives.
        self.send_all_follows(candidate, term, step);
    }

    fn resend_fences(&mut self, step: &mut MonitorStep<'_>) {
        let Some(attempt) = self.attempt.as_mut() else {
            return;
        };
        if step.now < attempt.resend_due {
            return;
        }
        attempt.resend_due = step.now + RESEND_INTERVAL;
        let term = attempt.term;
        for member in self
            .records
            .keys()
            .filter(|member| !attempt.has_vote(member))
        {
            step.actions.push(GroupAction::Fence {
                member: member.clone(),
                term,
            });
        }
    }

    fn send_all_follows(
        &mut self,
        primary: &MemberId,
        term: TermNumber,
        step: &mut MonitorStep<'_>,
    ) {
        for (member, record) in &mut self.records {
            if member != primary {
                record.follow_due = step.now + FOLLOW_INTERVAL;
                let (member, primary) = (member.clone(), primary.clone());
                step.actions.push(GroupAction::Follow {
                    member,
                    term,
                    primary,
                });
            }
        }
    }

    /// Ends the attempt and waits for a random time, so that two proposers do not keep
    /// interrupting each other.
    fn back_off(&mut self, step: &mut MonitorStep<'_>) {
        if let Some(attempt) = self.attempt.take() {
            log::info!(
                "failover: attempt ended without promotion database={} term={}",
                self.database,
                attempt.term
            );
            if attempt.cause == PromotionCause::Planned {
                self.earliest_handover = step.now + self.settings.handover_retry_delay;
            }
        }
        let factor = step.random.random_range(0.5..2.5);
        self.earliest_attempt = step.now + self.settings.retry_backoff.mul_f64(factor);
    }

    /// Starts another attempt after the candidate failed; the candidate of a term never changes.
    fn retry_without(&mut self, candidate: &MemberId, step: &mut MonitorStep<'_>) {
        let Some(cause) = self.attempt.take().map(|attempt| attempt.cause) else {
            return;
        };
        self.start_attempt(cause, None, step);
        if let Some(attempt) = self.attempt.as_mut() {
            attempt.suspect = Some(candidate.clone());
        }
    }

    /// Repeats the follow call to members that missed it or restarted.
    fn send_due_follows(&mut self, step: &mut MonitorStep<'_>) {
        let Some(view) = &self.view else { return };
        let interval = FOLLOW_INTERVAL * (1 + self.rank.unwrap_or_default());
        for (id, record) in &mut self.records {
            let Some(status) = record.status_after(self.view_probe) else {
                continue;
            };
            let is_behind = status.term <= view.term && !record.is_replica_in(view.term);
            if *id == view.member || !is_behind || step.now < record.follow_due {
                continue;
            }
            record.follow_due = step.now + interval;
            let (member, primary) = (id.clone(), view.member.clone());
            step.actions.push(GroupAction::Follow {
                member,
                term: view.term,
                primary,
            });
        }
    }

    /// Prepares a planned promotion: chooses a target that is caught up, holds writes back, and
    /// fences once the target holds all entries.
    fn advance_handover(&mut self, step: &mut MonitorStep<'_>) {
        if let Some(handover) = &self.handover {
            let target = handover.target.clone();
            let is_complete = self.is_target_caught_up(handover);
            let is_expired = step.now.since(handover.started) >= self.settings.handover_timeout;
            if is_complete {
                self.start_attempt(PromotionCause::Planned, Some(target), step);
            } else if is_expired {
                self.handover = None;
                self.earliest_handover = step.now + self.settings.handover_retry_delay;
            }
            return;
        }
        let Some(log) = self.primary_log().filter(|_| self.is_primary_ineligible()) else {
            self.lag_reference = None;
            return;
        };
        let delay = PLANNED_RANK_DELAY * self.rank.unwrap_or_default();
        if step.now < self.earliest_handover + delay {
            return;
        }
        if self
            .lag_reference
            .is_none_or(|(time, _)| step.now.since(time) >= MAX_TARGET_LAG)
        {
            self.lag_reference = Some((step.now, log));
        }
        if let Some(target) = self.handover_target() {
            log::info!(
                "failover: preparing planned promotion database={} target={target}",
                self.database
            );
            let last_probe = self.last_probe;
            self.handover = Some(PlannedHandover {
                target,
                started: step.now,
                last_probe,
            });
            self.probe_now(step.now);
        }
    }

    fn probe_now(&mut self, now: MonotonicTime) {
        for record in self.records.values_mut() {
            record.probe_due = now;
        }
    }

    /// Returns whether the primary is leaving or its zone is out of service.
    fn is_primary_ineligible(&self) -> bool {
        let record = self
            .view
            .as_ref()
            .and_then(|view| self.records.get(&view.member));
        record.is_some_and(|record| !record.member.is_eligible())
    }

    /// Returns the eligible replica with the greatest log that has reached the lag reference.
    fn handover_target(&self) -> Option<MemberId> {
        let (_, reference) = self.lag_reference?;
        let term = self.view.as_ref()?.term;
        let log = |record: &MemberRecord| record.status().map_or(LogPosition::default(), |s| s.log);
        let candidates = self.records.iter().filter(|(_, record)| {
            record.member.is_eligible() && record.is_replica_in(term) && log(record) >= reference
        });
        candidates
            .max_by_key(|(_, record)| log(record))
            .map(|(id, _)| id.clone())
    }

    /// Returns whether the target holds all entries of the primary.
    ///
    /// Only statuses that were requested after writes were held back are compared.
    fn is_target_caught_up(&self, handover: &PlannedHandover) -> bool {
        let sampled = |member: &MemberId| {
            self.records
                .get(member)
                .and_then(|record| record.status_after(handover.last_probe))
        };
        let Some(view) = &self.view else { return false };
        match (sampled(&view.member), sampled(&handover.target)) {
            (Some(primary), Some(target)) => {
                target.term == view.term && primary.term == view.term && target.log >= primary.log
            }
            _ => false,
        }
    }
}
