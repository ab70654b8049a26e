//! State machine that monitors one database group and replaces its primary.

use std::collections::BTreeMap;
use std::time::Duration;

use coriander_core::{
    ControlReply, DatabaseName, GroupStatus, LogPosition, MemberId, MemberRole, MonotonicTime,
    TermNumber, WriteCertainty,
};
use rand::RngCore;

use crate::member_record::{MemberRecord, ProbedStatus};
use crate::promotion_attempt::{AttemptStage, PromotionAttempt};
use crate::{
    CallFailure, GroupAction, GroupEvent, GroupMember, MonitorSettings, PrimaryView, ProbeId,
    PromotionCause, WriteAcknowledgement,
};

/// Delay of a call beyond the probe interval after which this process counts as having been
/// paused; the measurement of silence then restarts.
const LOCAL_PAUSE_THRESHOLD: Duration = Duration::from_millis(50);

/// Time, random source and resulting actions of one call of the monitor.
pub(crate) struct MonitorStep<'a> {
    pub(crate) now: MonotonicTime,
    pub(crate) random: &'a mut dyn RngCore,
    pub(crate) actions: Vec<GroupAction>,
}

/// A suspected failure that requires a promotion.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FailureSuspicion {
    pub(crate) cause: PromotionCause,
    pub(crate) since: MonotonicTime,
}

/// A planned promotion that waits for its target to hold all entries.
#[derive(Debug)]
pub(crate) struct PlannedHandover {
    pub(crate) target: MemberId,
    pub(crate) started: MonotonicTime,
    /// Last probe that was sent before writes were held back.
    pub(crate) last_probe: ProbeId,
}

/// Monitors one group; see the crate documentation.
///
/// The time, the random source and replies are passed in; the returned actions must be sent in
/// parallel.
#[derive(Debug)]
pub struct GroupMonitor {
    pub(crate) database: DatabaseName,
    pub(crate) settings: MonitorSettings,
    pub(crate) records: BTreeMap<MemberId, MemberRecord>,
    pub(crate) rank: Option<u32>,
    pub(crate) view: Option<PrimaryView>,
    pub(crate) attempt: Option<PromotionAttempt>,
    pub(crate) handover: Option<PlannedHandover>,
    pub(crate) suspicion: Option<FailureSuspicion>,
    pub(crate) last_probe: ProbeId,
    /// Statuses of probes up to this one were sampled before the last change of primary.
    pub(crate) view_probe: ProbeId,
    pub(crate) greatest_term: TermNumber,
    /// Term of the last attempt of this monitor.
    pub(crate) own_term: TermNumber,
    /// Greatest term of another proposer, and when a member first reported it.
    pub(crate) other_proposer_term: TermNumber,
    pub(crate) other_proposer_since: MonotonicTime,
    /// Greatest position that is known to be on a majority.
    pub(crate) majority_position: LogPosition,
    pub(crate) majority_position_changed: MonotonicTime,
    pub(crate) stalled_since: Option<MonotonicTime>,
    /// Recent position of the primary that the target of a planned promotion must have reached.
    pub(crate) lag_reference: Option<(MonotonicTime, LogPosition)>,
    pub(crate) earliest_attempt: MonotonicTime,
    pub(crate) earliest_handover: MonotonicTime,
    last_call: MonotonicTime,
}

impl GroupMonitor {
    /// Creates a monitor without members and without a rank.
    ///
    /// ```
    /// use coriander_core::MonotonicTime;
    /// use coriander_failover::{GroupMonitor, MonitorSettings};
    ///
    /// let settings = MonitorSettings::default().with_group_size(5);
    /// let monitor = GroupMonitor::new("orders".parse()?, settings, MonotonicTime::ZERO);
    /// assert_eq!(monitor.primary(), None);
    /// # Ok::<(), coriander_core::NameError>(())
    /// ```
    pub fn new(database: DatabaseName, settings: MonitorSettings, now: MonotonicTime) -> Self {
        Self {
            database,
            settings,
            records: BTreeMap::new(),
            rank: None,
            view: None,
            attempt: None,
            handover: None,
            suspicion: None,
            last_probe: ProbeId(0),
            view_probe: ProbeId(0),
            greatest_term: TermNumber::default(),
            own_term: TermNumber::default(),
            other_proposer_term: TermNumber::default(),
            other_proposer_since: now,
            majority_position: LogPosition::default(),
            majority_position_changed: now,
            stalled_since: None,
            lag_reference: None,
            earliest_attempt: now,
            earliest_handover: now,
            last_call: now,
        }
    }

    /// Adds and updates members.
    ///
    /// A known member that is missing from the list counts as leaving but stays part of the group:
    /// the platform may omit unreachable members, and a smaller group would need fewer votes.
    pub fn set_members(&mut self, members: &[GroupMember], now: MonotonicTime) {
        for record in self.records.values_mut() {
            record.member.is_leaving = true;
        }
        for member in members {
            let record = self.records.entry(member.id.clone());
            record
                .or_insert_with(|| MemberRecord::new(member.clone(), now))
                .member = member.clone();
        }
    }

    /// Sets the rank of this instance for the database; without a rank it neither probes nor
    /// promotes.
    ///
    /// ```
    /// # use coriander_core::MonotonicTime;
    /// # use coriander_failover::{GroupMonitor, MonitorSettings};
    /// # let now = MonotonicTime::ZERO;
    /// # let database = "orders".parse().expect("name");
    /// # let mut monitor = GroupMonitor::new(database, MonitorSettings::default(), now);
    /// monitor.set_rank(Some(0), now);
    /// // After the rank is lost, the monitor stops probing.
    /// monitor.set_rank(None, now);
    /// ```
    pub fn set_rank(&mut self, rank: Option<u32>, now: MonotonicTime) {
        if self.rank.is_none() && rank.is_some() {
            for record in self.records.values_mut() {
                record.detector.restart_silence(now);
                record.probe_due = now;
            }
            self.last_call = now;
        }
        if rank.is_none() {
            self.attempt = None;
            self.handover = None;
            self.suspicion = None;
        }
        self.rank = rank;
    }

    /// Records a position that a majority holds, such as that of a session token.
    ///
    /// The monitor will not promote a member whose log ends before it.
    ///
    /// ```
    /// # use coriander_core::MonotonicTime;
    /// # use coriander_failover::{GroupMonitor, MonitorSettings};
    /// # let now = MonotonicTime::ZERO;
    /// # let database = "orders".parse().expect("name");
    /// # let mut monitor = GroupMonitor::new(database, MonitorSettings::default(), now);
    /// let position = "3.41".parse().expect("position");
    /// monitor.record_acknowledged(position, now);
    /// ```
    pub fn record_acknowledged(&mut self, position: LogPosition, now: MonotonicTime) {
        if position > self.majority_position {
            self.majority_position = position;
            self.majority_position_changed = now;
            for record in self.records.values_mut() {
                if let Some(log) = record.status().map(|status| status.log) {
                    record.record_log(log, position, self.last_probe);
                }
            }
        }
    }

    /// Processes an event and returns the calls to send.
    pub fn handle(
        &mut self,
        event: GroupEvent,
        now: MonotonicTime,
        random: &mut dyn RngCore,
    ) -> Vec<GroupAction> {
        let mut step = MonitorStep {
            now,
            random,
            actions: Vec::new(),
        };
        if self.rank.is_none() {
            return step.actions;
        }
        self.detect_local_pause(now);
        self.apply(event, &mut step);
        self.advance(&mut step);
        self.send_probes(&mut step);
        step.actions
    }

    /// Returns the primary, or `None` while it is not known or being replaced.
    pub fn primary(&self) -> Option<&PrimaryView> {
        if self.attempt.is_some() {
            None
        } else {
            self.view.as_ref()
        }
    }

    /// Returns whether new writes may be sent to the primary.
    ///
    /// Writes are held back briefly before a planned promotion, so that it interrupts none.
    ///
    /// ```
    /// # use coriander_core::MonotonicTime;
    /// # use coriander_failover::{GroupMonitor, MonitorSettings};
    /// # let now = MonotonicTime::ZERO;
    /// # let database = "orders".parse().expect("name");
    /// # let mut monitor = GroupMonitor::new(database, MonitorSettings::default(), now);
    /// assert!(!monitor.accepts_writes(), "no primary is known");
    /// ```
    pub fn accepts_writes(&self) -> bool {
        self.handover.is_none() && self.primary().is_some()
    }

    /// Returns the newest status of a member and when it was received.
    pub fn member_status(&self, member: &MemberId) -> Option<(&GroupStatus, MonotonicTime)> {
        let newest = self.records.get(member)?.newest_status.as_ref()?;
        Some((&newest.status, newest.received))
    }

    /// Returns whether a member replies to its probes.
    ///
    /// ```
    /// # use coriander_core::MonotonicTime;
    /// # use coriander_failover::{GroupMonitor, MonitorSettings};
    /// # let now = MonotonicTime::ZERO;
    /// # let database = "orders".parse().expect("name");
    /// # let mut monitor = GroupMonitor::new(database, MonitorSettings::default(), now);
    /// let member = "a".parse().expect("name");
    /// assert!(!monitor.is_responsive(&member, now), "the member is not known");
    /// ```
    pub fn is_responsive(&self, member: &MemberId, now: MonotonicTime) -> bool {
        self.records
            .get(member)
            .is_some_and(|record| self.is_record_responsive(record, now))
    }

    /// Returns the cause of a promotion that is in progress or about to start.
    pub fn cause(&self) -> Option<PromotionCause> {
        let attempt = self.attempt.as_ref().map(|attempt| attempt.cause);
        attempt.or(self.suspicion.map(|suspicion| suspicion.cause))
    }

    /// Starts the acknowledgement of a write that the current primary executed.
    ///
    /// Returns `None` if there is no primary.
    ///
    /// ```
    /// use coriander_core::WriteCertainty;
    /// # use coriander_core::MonotonicTime;
    /// # use coriander_failover::{GroupMonitor, MonitorSettings};
    /// # let now = MonotonicTime::ZERO;
    /// # let database = "orders".parse().expect("name");
    /// # let mut monitor = GroupMonitor::new(database, MonitorSettings::default(), now);
    /// let position = "3.41".parse().expect("position");
    /// assert!(monitor.acknowledgement(position, WriteCertainty::All).is_none());
    /// ```
    pub fn acknowledgement(
        &self,
        position: LogPosition,
        certainty: WriteCertainty,
    ) -> Option<WriteAcknowledgement> {
        let members: Vec<MemberId> = self.records.keys().cloned().collect();
        let write = WriteAcknowledgement::new(self.primary()?, position, &members, certainty);
        Some(write.with_group_size(self.group_size(), certainty))
    }

    pub(crate) fn group_size(&self) -> usize {
        self.settings.group_size.max(self.records.len())
    }

    pub(crate) fn is_record_responsive(&self, record: &MemberRecord, now: MonotonicTime) -> bool {
        record.newest_status.is_some()
            && record.detector.refusals_since_reply() == 0
            && !record.detector.is_silent(&self.settings, now)
    }

    pub(crate) fn record_term(&mut self, term: TermNumber, now: MonotonicTime) {
        self.greatest_term = self.greatest_term.max(term);
        if term > self.own_term && term > self.other_proposer_term {
            self.other_proposer_term = term;
            self.other_proposer_since = now;
        }
    }

    /// Records a member as primary of a term and resets the state that belongs to earlier terms.
    pub(crate) fn set_primary(&mut self, member: &MemberId, term: TermNumber, now: MonotonicTime) {
        log::info!(
            "failover: new primary database={} member={member} term={term}",
            self.database
        );
        self.view = Some(PrimaryView {
            member: member.clone(),
            term,
        });
        self.view_probe = self.last_probe;
        self.attempt = None;
        self.handover = None;
        self.suspicion = None;
        self.stalled_since = None;
        self.lag_reference = None;
        let follow_due = now + self.settings.rank_delay * self.rank.unwrap_or_default();
        for record in self.records.values_mut() {
            record.probe_due = now;
            record.follow_due = follow_due;
        }
    }

    fn detect_local_pause(&mut self, now: MonotonicTime) {
        if now.since(self.last_call) > self.settings.probe_interval + LOCAL_PAUSE_THRESHOLD {
            for record in self.records.values_mut() {
                record.detector.restart_silence(now);
                record.probe_due = now;
            }
            self.suspicion = None;
            self.stalled_since = None;
        }
        self.last_call = now;
    }

    fn apply(&mut self, event: GroupEvent, step: &mut MonitorStep<'_>) {
        let now = step.now;
        match event {
            GroupEvent::Tick => {}
            GroupEvent::Status {
                probe,
                member,
                status,
            } => {
                self.apply_status(probe, &member, status, now);
            }
            GroupEvent::ProbeFailed {
                probe,
                member,
                failure,
            } => {
                self.apply_probe_failure(probe, &member, failure, now);
            }
            GroupEvent::FenceDone {
                member,
                term,
                result,
            } => {
                self.apply_fence(member, term, result, now);
            }
            GroupEvent::PromoteDone {
                member,
                term,
                result,
            } => {
                self.apply_promote(&member, term, result, step);
            }
            GroupEvent::FollowDone { result, .. } => {
                if let Ok(reply) = result {
                    self.record_term(reply.term, now);
                }
            }
            GroupEvent::GatewayReplaced => {
                let primary = self.primary().map(|view| view.member.clone());
                if primary.is_some() && self.suspicion.is_none() {
                    self.start_attempt(PromotionCause::GatewayLost, primary, step);
                }
            }
            GroupEvent::StatementFailed { member } => {
                if let Some(record) = self.records.get_mut(&member) {
                    // Many statements can fail at once. The interval limits the probes that they
                    // cause, which would otherwise reach the maximum number of refusals at once.
                    let earliest = record.probe_sent + self.settings.refused_probe_interval;
                    record.probe_due = record.probe_due.min(earliest.max(now));
                }
            }
        }
    }

    fn apply_status(
        &mut self,
        probe: ProbeId,
        member: &MemberId,
        status: GroupStatus,
        now: MonotonicTime,
    ) {
        let Some(record) = self.records.get_mut(member) else {
            return;
        };
        record.detector.record_reply(probe, now);
        if record
            .newest_status
            .as_ref()
            .is_some_and(|probed| probed.probe >= probe)
        {
            return;
        }
        let (term, role, log) = (status.term, status.role, status.log);
        record.newest_status = Some(ProbedStatus {
            probe,
            received: now,
            status,
        });
        record.record_log(log, self.majority_position, self.last_probe);
        self.record_term(term, now);
        let known_term = self.view.as_ref().map(|view| view.term);
        let attempt_term = self.attempt.as_ref().map(|attempt| attempt.term);
        if role == MemberRole::Primary
            && known_term.is_none_or(|known| term > known)
            && attempt_term.is_none_or(|own| term >= own)
        {
            self.set_primary(member, term, now);
        }
        self.raise_majority_position(now);
    }

    fn apply_probe_failure(
        &mut self,
        probe: ProbeId,
        member: &MemberId,
        failure: CallFailure,
        now: MonotonicTime,
    ) {
        let is_primary = self
            .view
            .as_ref()
            .is_some_and(|view| view.member == *member);
        let Some(record) = self.records.get_mut(member) else {
            return;
        };
        record.detector.record_failure(probe, failure);
        // When a process is killed, an open connection closes before new ones are refused. Only
        // refused connections count, so the next probe is sent early.
        if is_primary {
            record.probe_due = record
                .probe_due
                .min(now + self.settings.refused_probe_interval);
        }
    }

    fn apply_fence(
        &mut self,
        member: MemberId,
        term: TermNumber,
        result: Result<ControlReply, CallFailure>,
        now: MonotonicTime,
    ) {
        let Ok(reply) = result else { return };
        self.record_term(reply.term, now);
        let Some(attempt) = self.attempt.as_mut() else {
            return;
        };
        if attempt.term != term || attempt.stage != AttemptStage::Fencing {
            return;
        }
        if reply.accepted && reply.term == term {
            attempt.add_vote(member, reply.log);
        } else {
            attempt.add_refusal(member);
        }
    }

    /// Raises the position that is known to be on a majority, from the members' statuses.
    ///
    /// A status is equivalent to a confirmation if the member's term and the term of its last entry
    /// are those of the primary: the member then holds the primary's entries up to its index.
    fn raise_majority_position(&mut self, now: MonotonicTime) {
        let Some(term) = self.view.as_ref().map(|view| view.term) else {
            return;
        };
        let mut indexes: Vec<u64> = self
            .records
            .values()
            .filter_map(MemberRecord::status)
            .filter(|status| status.term == term && status.log.term == term)
            .map(|status| status.log.index)
            .collect();
        indexes.sort_unstable_by(|a, b| b.cmp(a));
        if let Some(index) = indexes.get(crate::majority_of(self.group_size()) - 1) {
            self.record_acknowledged(LogPosition::new(term, *index), now);
        }
    }
}
