//! Selects the member that serves a read.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use coriander_core::{
    ConfirmReply, GroupStatus, LogPosition, MemberId, MemberRole, MonotonicTime, ZoneName,
};
use coriander_failover::PrimaryView;
use coriander_limits::RetryBudget;
use coriander_routing::{
    MemberPlacement, MemberReport, ReadChoice, ReadRequest, ReadRouter, ReplicaTable, RequestTicket,
};
use coriander_tokens::SessionPosition;
use coriander_upstream::UpstreamError;

use crate::gateway::MemberHandle;
use crate::process_clock::ProcessClock;

/// Requirements of a read.
#[derive(Clone, Copy, Debug)]
pub struct ReadRequirement {
    /// Position that the session requires.
    pub session: SessionPosition,
    /// Maximum accepted age of the data.
    pub freshness: Duration,
}

/// Selects read targets by the positions and delays of the members of a group.
pub struct ReadSelector {
    clock: ProcessClock,
    table: RefCell<ReplicaTable>,
    budget: RefCell<RetryBudget>,
    router: ReadRouter,
}

impl ReadSelector {
    /// Creates the selector of a group without members.
    pub fn new(own_zone: ZoneName, clock: ProcessClock, slots_per_member: usize) -> Self {
        let slots = u32::try_from(slots_per_member).unwrap_or(u32::MAX);
        Self {
            clock,
            table: RefCell::new(ReplicaTable::new(own_zone, slots)),
            budget: RefCell::default(),
            router: ReadRouter,
        }
    }

    /// Records a reply to a status request that was sent at `sent`.
    pub fn record_status(&self, status: &GroupStatus, sent: MonotonicTime) {
        let report = MemberReport {
            is_primary: status.role == MemberRole::Primary,
            term: status.term,
            log: status.log,
        };
        let now = self.clock.now();
        let mut table = self.table.borrow_mut();
        table.record_status(&status.member, report, sent, now);
    }

    /// Records the position in a reply to a confirm call that was sent at `sent`.
    ///
    /// It shows that a replica has caught up well before the next status reply does.
    pub fn record_confirm(&self, member: &MemberId, reply: &ConfirmReply, sent: MonotonicTime) {
        let mut table = self.table.borrow_mut();
        table.record_position(member, reply.term, Some(reply.log), sent);
    }

    /// Sets the primary of the group.
    pub fn set_primary(&self, view: &PrimaryView) {
        self.table
            .borrow_mut()
            .record_promotion(&view.member, view.term);
    }

    /// Sets the members and whether operators and the platform keep them in service.
    pub fn set_members(
        &self,
        members: &[Rc<MemberHandle>],
        is_zone_in: &dyn Fn(&ZoneName) -> bool,
    ) {
        let mut table = self.table.borrow_mut();
        for member in members {
            let zone = member.zone.borrow().clone();
            let placement = MemberPlacement {
                is_leaving: member.is_leaving.get(),
                is_zone_out: !is_zone_in(&zone),
                zone,
            };
            table.set_member(&member.id, placement);
        }
    }

    /// Counts a request for the retry budget.
    pub fn count_request(&self) {
        self.budget.borrow_mut().record_request();
    }

    /// Takes a retry from the budget; returns false if none is available.
    pub fn try_take_retry(&self) -> bool {
        self.budget.borrow_mut().try_take()
    }

    /// Returns whether status requests are due because replies are too old for a freshness target.
    ///
    /// A return value of `true` starts a new interval.
    pub fn needs_status(&self, freshness: Duration) -> bool {
        let now = self.clock.now();
        self.table.borrow_mut().is_status_due(freshness, now)
    }

    /// Chooses the member for a read that would wait `primary_queue_time` for a slot of the primary
    /// and has waited for replicas for `elapsed_wait`.
    pub fn choose(
        &self,
        requirement: &ReadRequirement,
        primary_queue_time: Duration,
        elapsed_wait: Duration,
    ) -> ReadChoice {
        self.choose_among(ReadRequest {
            freshness: requirement.freshness,
            session: requirement.session,
            primary_queue_time,
            elapsed_wait,
            excluded: &[],
        })
    }

    /// Returns the position that a replica must have reached if it may serve the read.
    pub fn required_position(
        &self,
        member: &MemberId,
        requirement: &ReadRequirement,
    ) -> Option<LogPosition> {
        let others: Vec<MemberId> = {
            let table = self.table.borrow();
            let ids = table.member_ids().filter(|id| *id != member);
            ids.cloned().collect()
        };
        let request = ReadRequest {
            freshness: requirement.freshness,
            session: requirement.session,
            primary_queue_time: Duration::ZERO,
            elapsed_wait: Duration::ZERO,
            excluded: &others,
        };
        match self.choose_among(request) {
            ReadChoice::Replica { min_position, .. } => Some(min_position),
            _ => None,
        }
    }

    /// Records that a request is sent to a member.
    pub fn record_start(&self, member: &MemberId) -> RequestTicket {
        let now = self.clock.now();
        self.table.borrow_mut().record_start(member, now)
    }

    /// Records the reply to a request.
    pub fn record_reply(&self, ticket: &RequestTicket, view: &PrimaryView, log: LogPosition) {
        let now = self.clock.now();
        let mut table = self.table.borrow_mut();
        table.record_response(ticket, view.term, Some(log), now);
    }

    /// Records a failed call.
    pub fn record_failure(&self, ticket: &RequestTicket, error: &UpstreamError) {
        let mut table = self.table.borrow_mut();
        match error {
            UpstreamError::Refused(_) => table.record_refusal(ticket),
            UpstreamError::NoMemory => table.record_unread(ticket),
            _ => table.record_failure(ticket, self.clock.now()),
        }
    }

    /// Returns the upper bound of the age of a member's data.
    pub fn data_age(&self, member: &MemberId) -> Duration {
        let now = self.clock.now();
        self.table
            .borrow()
            .data_age(member, now)
            .unwrap_or_default()
    }

    /// Describes the table for the state dump.
    pub fn describe(&self) -> serde_json::Value {
        let table = self.table.borrow();
        let now = self.clock.now();
        let members: Vec<_> = table
            .member_ids()
            .map(|id| {
                serde_json::json!({
                    "member": id, "log": table.position(id).map(|log| log.to_string()),
                    "in_flight": table.in_flight(id),
                    "age_ms": table.data_age(id, now).map(|age| age.as_millis() as u64),
                })
            })
            .collect();
        serde_json::json!({
            "term": table.term(), "primary": table.primary(), "members": members,
            "retries_available": self.budget.borrow().available(),
        })
    }

    fn choose_among(&self, request: ReadRequest<'_>) -> ReadChoice {
        let now = self.clock.now();
        self.router.choose(&self.table.borrow(), &request, now)
    }
}
