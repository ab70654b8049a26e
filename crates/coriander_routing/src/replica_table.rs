//! State of the members of one database group as observed by an instance.

use std::time::Duration;

use coriander_core::{LogPosition, MemberId, MonotonicTime, TermNumber, ZoneName};
use smallvec::SmallVec;

use crate::member_state::{MemberPlacement, MemberReport, MemberState, RequestTicket};
use crate::position_timeline::PositionTimeline;

/// Minimum interval between status requests that are triggered by reads.
const MIN_STATUS_INTERVAL: Duration = Duration::from_millis(10);

/// Members of a database group with their positions, roles and loads.
///
/// ```
/// use coriander_core::MonotonicTime;
/// use coriander_routing::{MemberPlacement, MemberReport, ReplicaTable};
/// use std::time::Duration;
///
/// let zone: coriander_core::ZoneName = "piraeus".parse()?;
/// let mut table = ReplicaTable::new(zone.clone(), 2);
/// let (a, b) = ("a".parse()?, "b".parse()?);
/// let placement = MemberPlacement { zone, is_leaving: false, is_zone_out: false };
/// table.set_member(&a, placement.clone());
/// table.set_member(&b, placement);
///
/// let report = MemberReport { term: "1.7".parse::<coriander_core::LogPosition>()?.term,
///     is_primary: true, log: "1.7".parse()? };
/// let (sent, received) = (MonotonicTime::from_millis(100), MonotonicTime::from_millis(102));
/// table.record_status(&a, report, sent, received);
/// table.record_status(&b, MemberReport { is_primary: false, ..report }, sent, received);
/// assert_eq!(table.primary(), Some(&a));
/// let age = table.data_age(&b, MonotonicTime::from_millis(150));
/// assert_eq!(age, Some(Duration::from_millis(50)));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug)]
pub struct ReplicaTable {
    own_zone: ZoneName,
    slots: u32,
    members: SmallVec<[MemberState; 3]>,
    term: TermNumber,
    primary: Option<MemberId>,
    timeline: PositionTimeline,
    last_status_due: MonotonicTime,
}

impl ReplicaTable {
    /// Creates an empty table for an instance in `own_zone`; `slots` is the number per member.
    pub fn new(own_zone: ZoneName, slots: u32) -> Self {
        Self {
            own_zone,
            slots: slots.max(1),
            members: SmallVec::new(),
            term: TermNumber::default(),
            primary: None,
            timeline: PositionTimeline::default(),
            last_status_due: MonotonicTime::ZERO,
        }
    }

    /// Adds a member or changes its placement.
    pub fn set_member(&mut self, id: &MemberId, placement: MemberPlacement) {
        match self.find_mut(id) {
            Some(member) => member.placement = placement,
            None => self.members.push(MemberState::new(id.clone(), placement)),
        }
    }

    /// Removes a member that has left the group.
    pub fn remove_member(&mut self, id: &MemberId) {
        self.members.retain(|member| member.id != *id);
        if self.primary.as_ref() == Some(id) {
            self.primary = None;
        }
    }

    /// Records the reply to a status request.
    pub fn record_status(
        &mut self,
        id: &MemberId,
        report: MemberReport,
        sent: MonotonicTime,
        received: MonotonicTime,
    ) {
        if let Some(member) = self.find_mut(id) {
            member.record_round_trip(received.since(sent));
        }
        if report.is_primary {
            self.record_promotion(id, report.term);
        }
        self.record_position(id, report.term, Some(report.log), sent);
    }

    /// Records that `id` is the primary of a term, for example after this instance promoted it.
    pub fn record_promotion(&mut self, id: &MemberId, term: TermNumber) {
        self.raise_term(term);
        if term == self.term && self.find(id).is_some() {
            self.primary = Some(id.clone());
        }
    }

    /// Records that a request is sent to a member.
    pub fn record_start(&mut self, id: &MemberId, now: MonotonicTime) -> RequestTicket {
        let slots = self.slots;
        let queue_length = self.find_mut(id).map_or(0, |member| {
            let queue_length = member.queue_length(slots);
            member.in_flight += 1;
            queue_length
        });
        RequestTicket {
            member: id.clone(),
            sent: now,
            queue_length,
        }
    }

    /// Records the reply to a request, with the term and position from its headers.
    pub fn record_response(
        &mut self,
        ticket: &RequestTicket,
        term: TermNumber,
        log: Option<LogPosition>,
        now: MonotonicTime,
    ) {
        let slots = self.slots;
        if let Some(member) = self.finish_request(ticket) {
            member.record_latency(now.since(ticket.sent), ticket.queue_length, slots);
        }
        self.record_position(&ticket.member, term, log, ticket.sent);
    }

    /// Records that a member refused a request because of its minimum position.
    ///
    /// The recorded position is then too high, for example because the member truncated its log.
    /// It is cleared, so the member receives no reads until its next report.
    pub fn record_refusal(&mut self, ticket: &RequestTicket) {
        if let Some(member) = self.finish_request(ticket) {
            member.clear_position();
        }
    }

    /// Records that the reply to a request was not read, which shows nothing about the member.
    pub fn record_unread(&mut self, ticket: &RequestTicket) {
        self.finish_request(ticket);
    }

    /// Records that a request received no reply, and pauses reads to the member for a short time.
    pub fn record_failure(&mut self, ticket: &RequestTicket, now: MonotonicTime) {
        if let Some(member) = self.finish_request(ticket) {
            member.pause(now);
        }
    }

    /// Ends a request whose result is not used, for example the slower attempt of a hedged read.
    pub fn record_cancel(&mut self, ticket: &RequestTicket) {
        self.finish_request(ticket);
    }

    /// Returns whether status requests to all members are due, in addition to the periodic ones.
    ///
    /// Called for each read; a return value of `true` starts a new interval. Without the additional
    /// requests, no data could be proven fresh for classes with a freshness target below the
    /// interval of the periodic requests.
    pub fn is_status_due(&mut self, freshness: Duration, now: MonotonicTime) -> bool {
        let half = freshness / 2;
        let is_due = now.since(self.timeline.newest_confirmed_time()) >= half
            && now.since(self.last_status_due) >= half.max(MIN_STATUS_INTERVAL);
        if is_due {
            self.last_status_due = now;
        }
        is_due && !freshness.is_zero()
    }

    /// Returns the newest known term.
    pub const fn term(&self) -> TermNumber {
        self.term
    }

    /// Returns the primary of the newest known term.
    pub const fn primary(&self) -> Option<&MemberId> {
        self.primary.as_ref()
    }

    /// Returns the last known log position of a member.
    pub fn position(&self, id: &MemberId) -> Option<LogPosition> {
        self.find(id).map(|member| member.position)
    }

    /// Returns the number of requests in flight to a member.
    pub fn in_flight(&self, id: &MemberId) -> u32 {
        self.find(id).map_or(0, |member| member.in_flight)
    }

    /// Returns an upper bound on the age of a member's data, or `None` if it is unknown.
    pub fn data_age(&self, id: &MemberId, now: MonotonicTime) -> Option<Duration> {
        let member = self.find(id)?;
        let (time, _) = self.timeline.complete_until(member.position)?;
        Some(now.since(time))
    }

    /// Returns the known members.
    pub fn member_ids(&self) -> impl Iterator<Item = &MemberId> {
        self.members.iter().map(|member| &member.id)
    }

    pub(crate) const fn slots(&self) -> u32 {
        self.slots
    }

    pub(crate) const fn own_zone(&self) -> &ZoneName {
        &self.own_zone
    }

    pub(crate) const fn timeline(&self) -> &PositionTimeline {
        &self.timeline
    }

    pub(crate) fn replicas(&self) -> impl Iterator<Item = &MemberState> {
        let primary = self.primary.as_ref();
        self.members
            .iter()
            .filter(move |member| Some(&member.id) != primary)
    }

    pub(crate) fn find(&self, id: &MemberId) -> Option<&MemberState> {
        self.members.iter().find(|member| member.id == *id)
    }

    fn find_mut(&mut self, id: &MemberId) -> Option<&mut MemberState> {
        self.members.iter_mut().find(|member| member.id == *id)
    }

    fn finish_request(&mut self, ticket: &RequestTicket) -> Option<&mut MemberState> {
        let member = self.find_mut(&ticket.member)?;
        member.in_flight = member.in_flight.saturating_sub(1);
        Some(member)
    }

    fn raise_term(&mut self, term: TermNumber) {
        if term > self.term {
            self.timeline.end_term();
            self.term = term;
            self.primary = None;
        }
    }

    /// Records the term and position of a reply to a request that was sent at `sent`.
    pub fn record_position(
        &mut self,
        id: &MemberId,
        term: TermNumber,
        log: Option<LogPosition>,
        sent: MonotonicTime,
    ) {
        let Some(member) = self.find_mut(id) else {
            return;
        };
        if !member.record_report(term, log, sent) {
            return;
        }
        self.raise_term(term);
        if term < self.term {
            return;
        }
        let is_primary = self.primary.as_ref() == Some(id);
        if let (true, Some(log)) = (is_primary, log) {
            self.timeline.add(sent, log);
        }
        self.confirm_term();
        if let (false, Some(log)) = (is_primary, log) {
            self.record_lag(id, log, sent);
        }
    }

    /// Confirms the current term up to the latest time at which a majority of members had it.
    fn confirm_term(&mut self) {
        let current = self.members.iter().filter(|m| m.term == self.term);
        let mut times: SmallVec<[MonotonicTime; 8]> = current.map(|m| m.last_report_sent).collect();
        let majority = self.members.len() / 2 + 1;
        if times.len() >= majority {
            times.sort_unstable();
            self.timeline.confirm(times[times.len() - majority]);
        }
    }

    fn record_lag(&mut self, id: &MemberId, log: LogPosition, sent: MonotonicTime) {
        let confirmed = self.timeline.complete_until(log);
        if let (Some((time, _)), Some(member)) = (confirmed, self.find_mut(id)) {
            member.lag.add(sent.since(time));
        }
    }
}
