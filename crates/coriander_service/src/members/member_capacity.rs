//! Learned capacity of one member, and what instances tell each other about it.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use coriander_capacity::{
    CapacityBoard, CapacityEvent, CapacityNotice, ConfirmedPosition, ExchangeSample, GateLimit,
    OutlierChange, ReadCandidate, SampleOutcome, StatementClass,
};
use coriander_core::MonotonicTime;
use coriander_service_api::{FailureCode, LinkError, PositionTimeline};
use smallvec::SmallVec;

use crate::members::member_pool::PoolError;
use crate::service_metrics::CapacityChanges;
use crate::sessions::exchange::{ExchangeError, ExchangeOutcome, ExchangePlan};

/// What this instance has learned about all members. Clones share it.
#[derive(Clone)]
pub struct SharedCapacity {
    board: Rc<RefCell<CapacityBoard>>,
    changes: CapacityChanges,
    /// Availability zone of this instance.
    zone: Arc<str>,
}

impl SharedCapacity {
    /// Creates an empty state for an instance in a zone.
    pub fn new(zone: Arc<str>, changes: CapacityChanges) -> Self {
        Self {
            board: Rc::default(),
            changes,
            zone,
        }
    }

    /// Returns whether a zone is that of this instance.
    pub fn is_own_zone(&self, zone: &str) -> bool {
        *self.zone == *zone
    }

    /// Orders members that may serve a read, given in the order of preference.
    pub fn order(
        &self,
        candidates: &[ReadCandidate<'_>],
        group_size: usize,
        now: MonotonicTime,
    ) -> SmallVec<[usize; 4]> {
        let mut board = self.board.borrow_mut();
        board.order(candidates, group_size, now)
    }
}

/// Learned capacity of one member.
pub struct MemberCapacity {
    shared: SharedCapacity,
    group: Arc<str>,
    member: Arc<str>,
    /// Other members of the group.
    peers: RefCell<SmallVec<[Arc<str>; 4]>>,
    /// Confirmed positions of the group's primary, shared with the group.
    positions: Rc<RefCell<PositionTimeline>>,
    /// Limit of the statements that the queue lets through.
    gate_limit: RefCell<GateLimit>,
}

impl MemberCapacity {
    /// Creates the state of a member.
    pub fn new(
        shared: SharedCapacity,
        group: Arc<str>,
        member: Arc<str>,
        positions: Rc<RefCell<PositionTimeline>>,
    ) -> Self {
        Self {
            shared,
            group,
            member,
            peers: RefCell::default(),
            positions,
            gate_limit: RefCell::default(),
        }
    }

    /// Sets the other members of the group.
    pub fn set_peers(&self, peers: SmallVec<[Arc<str>; 4]>) {
        *self.peers.borrow_mut() = peers;
    }

    /// Sets the shortest latency target of the callers of the group.
    pub fn set_shortest_target(&self, target: Duration) {
        self.gate_limit.borrow_mut().set_shortest_target(target);
    }

    /// Returns how many statements the queue lets through at a time.
    pub fn statement_limit(&self) -> f64 {
        self.gate_limit.borrow().limit()
    }

    /// Returns the time after which a statement is no longer expected to be answered.
    pub fn overdue_time(&self, plan: &ExchangePlan) -> Duration {
        self.gate_limit.borrow().overdue_time(class_of(plan))
    }

    /// Counts a statement that this instance runs or queues until the guard is dropped.
    pub fn begin(&self, now: MonotonicTime) -> CapacityGuard {
        self.shared.board.borrow_mut().begin(&self.member, now);
        CapacityGuard {
            board: self.shared.board.clone(),
            member: self.member.clone(),
        }
    }

    /// Returns the time after which a plan is given up at the member, so that its caller can repeat
    /// it. Only single reads that can be repeated elsewhere are given up early, and first attempts
    /// that need the primary, which get more time.
    pub fn time_limit(&self, plan: &ExchangePlan, now: MonotonicTime) -> Duration {
        let statement = &plan.statement;
        if plan.runs_whole_time || plan.keep_reserved || statement.writes || statement.commits {
            return plan.time_limit;
        }
        let board = self.shared.board.borrow();
        if plan.needs_primary() {
            board.repeat_time(&self.member, class_of(plan), plan.time_limit, now)
        } else {
            board.attempt_time(&self.member, class_of(plan), plan.time_limit, now)
        }
    }

    /// Applies what the instance that asks for a plan has set aside and the position that it knows,
    /// when its request, sent not before `sent_at`, is received.
    pub fn receive(&self, plan: &ExchangePlan, sent_at: MonotonicTime, now: MonotonicTime) {
        if let Some(notice) = &plan.capacity {
            let mut board = self.shared.board.borrow_mut();
            board.apply_reports(notice, now, now);
            if let Some(confirmed) = notice.position {
                self.record_confirmed(confirmed, sent_at);
            }
        }
    }

    /// Records a position whose age counts to a time not after the message that carries it.
    fn record_confirmed(&self, confirmed: ConfirmedPosition, counted_to: MonotonicTime) {
        let age = Duration::from_millis(u64::from(confirmed.age_ms));
        let confirmed_at = counted_to.saturating_sub(age);
        let mut positions = self.positions.borrow_mut();
        positions.record(confirmed_at, confirmed.position);
    }

    /// Records an exchange that this instance ran itself, and adds what the instance that asked for
    /// it should know.
    pub fn record_local(
        &self,
        plan: &ExchangePlan,
        outcome: &mut ExchangeOutcome,
        started: MonotonicTime,
        now: MonotonicTime,
    ) {
        if let Some(position) = outcome.primary_position {
            self.positions.borrow_mut().record(started, position);
        }
        if let Some(result) = sample_outcome(outcome) {
            let sample = ExchangeSample {
                class: class_of(plan),
                outcome: result,
                latency: now.since(started),
            };
            let others = self.shared.board.borrow().in_flight(&self.member);
            let mut gate_limit = self.gate_limit.borrow_mut();
            gate_limit.record(&sample, others + 1, now);
            let event = self.shared.board.borrow_mut().record_local_with_peers(
                &self.member,
                &sample,
                &self.peers.borrow(),
                now,
            );
            self.report(event, now);
        }
        let mut notice = self.shared.board.borrow().reply_notice(&self.member);
        notice.position = self.newest_position(now);
        outcome.capacity = Some(Box::new(notice));
    }

    fn newest_position(&self, now: MonotonicTime) -> Option<ConfirmedPosition> {
        let (sent_at, position) = self.positions.borrow().newest_observation()?;
        let age_ms = u16::try_from(now.since(sent_at).as_millis() + 1).ok()?;
        Some(ConfirmedPosition { position, age_ms })
    }

    /// Records an exchange that a home instance ran after a request sent at `sent_at`. Without a
    /// notice the home instance did not reply, which says nothing about the member.
    pub fn record_relayed(
        &self,
        outcome: &ExchangeOutcome,
        sent_at: MonotonicTime,
        now: MonotonicTime,
    ) {
        let Some(notice) = &outcome.capacity else {
            return;
        };
        if let Some(confirmed) = notice.position {
            // The reply was made after the request was sent, so that the confirmation is at most
            // this much older, whatever the time that the reply took.
            self.record_confirmed(confirmed, sent_at);
        }
        let event = sample_outcome(outcome).and_then(|result| {
            let mut board = self.shared.board.borrow_mut();
            board.record_relayed(&self.member, result, now)
        });
        self.report(event, now);
        let mut board = self.shared.board.borrow_mut();
        board.apply_reply(notice, &self.member, sent_at, now);
    }

    /// Returns what a request to another instance carries; `None` if there is nothing to tell. The
    /// home instance of a replica also gets the newest confirmed position, as it runs nothing at
    /// the primary itself.
    pub fn notice(&self, plan: &ExchangePlan, now: MonotonicTime) -> Option<Box<CapacityNotice>> {
        let mut notice = self.shared.board.borrow().notice();
        let opens_stream = plan.begin.is_some() || !plan.keep_reserved;
        if opens_stream && !plan.needs_primary() {
            notice.position = self.newest_position(now);
        }
        let is_empty = notice.reports.is_empty() && notice.position.is_none();
        (!is_empty).then(|| Box::new(notice))
    }

    /// Forgets the member.
    pub fn remove(&self) {
        self.shared.board.borrow_mut().remove(&self.member);
    }

    /// Returns the learned concurrency limit.
    pub fn limit(&self) -> f64 {
        self.shared.board.borrow().limit(&self.member)
    }

    /// Returns whether the member is set aside.
    pub fn is_set_aside(&self, now: MonotonicTime) -> bool {
        self.shared.board.borrow().is_set_aside(&self.member, now)
    }

    /// Describes limit, load and state.
    pub fn describe(&self, now: MonotonicTime) -> String {
        self.shared.board.borrow().describe(&self.member, now)
    }

    fn report(&self, event: Option<CapacityEvent>, now: MonotonicTime) {
        let Some(event) = event else {
            return;
        };
        let state = self.describe(now);
        let group = &*self.group;
        let member = &*self.member;
        match event.change {
            OutlierChange::SetAside(cause) => {
                log::info!(
                    group = group, member = member, cause = cause.label(), state = state;
                    "member set aside"
                );
                self.shared.changes.count(group, cause.label());
            }
            OutlierChange::TakenBack => {
                log::info!(group = group, member = member, state = state; "member taken back");
                self.shared.changes.count(group, "taken_back");
            }
        }
    }
}

/// Counts a statement at a member until it is dropped.
pub struct CapacityGuard {
    board: Rc<RefCell<CapacityBoard>>,
    member: Arc<str>,
}

impl Drop for CapacityGuard {
    fn drop(&mut self) {
        self.board.borrow_mut().end(&self.member);
    }
}

const fn class_of(plan: &ExchangePlan) -> StatementClass {
    let writes = plan.statement.writes || plan.statement.commits;
    StatementClass::new(plan.priority, writes, plan.begin.is_some())
}

/// Returns what an exchange shows about its member; `None` if nothing.
fn sample_outcome(outcome: &ExchangeOutcome) -> Option<SampleOutcome> {
    match &outcome.result {
        Ok(reply) => match &reply.result {
            Ok(_) => Some(SampleOutcome::Served),
            Err(refusal) => refusal_outcome(refusal.code),
        },
        Err(ExchangeError::Declined(code, _)) => refusal_outcome(*code),
        Err(
            ExchangeError::NoReply(LinkError::ReplyTimeout(_))
            | ExchangeError::NotSent(PoolError::Connect(LinkError::ReplyTimeout(_))),
        ) => Some(SampleOutcome::Unanswered),
        // The member has replied; the memory of an instance was short.
        Err(
            ExchangeError::NoReply(LinkError::NoMemory)
            | ExchangeError::NotSent(PoolError::Connect(LinkError::NoMemory)),
        ) => None,
        Err(ExchangeError::NoReply(_)) => Some(SampleOutcome::Failed),
        Err(ExchangeError::NotSent(PoolError::Connect(link))) => match link {
            LinkError::Declined(refusal) => refusal_outcome(refusal.code),
            _ => Some(SampleOutcome::Failed),
        },
        Err(ExchangeError::NotSent(_)) => None,
    }
}

const fn refusal_outcome(code: FailureCode) -> Option<SampleOutcome> {
    match code {
        FailureCode::Busy | FailureCode::TooManyConnections => Some(SampleOutcome::Rejected),
        FailureCode::Failed | FailureCode::Timeout => Some(SampleOutcome::Failed),
        _ => None,
    }
}
