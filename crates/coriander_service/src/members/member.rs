//! A member of a database group: its entry, connections, health and role.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use coriander_core::MonotonicTime;
use coriander_service_api::{MemberEntry, MemberRole};

use crate::configuration::read_span::ReadSpan;
use crate::fleet::fleet_view::MemberLocation;
use crate::members::member_capacity::MemberCapacity;
use crate::members::member_health::MemberHealth;
use crate::members::member_pool::MemberPool;
use crate::members::warm_up_gate::WarmUpGate;

/// How long a member's refusal to act as primary takes precedence over its entry, which is updated
/// later than its role.
const NOT_PRIMARY_DURATION: Duration = Duration::from_millis(1_500);

/// How long a member counts as cold after one of its connections broke, if the group limits work
/// for cold members. Its entry shows a restart within this time.
const SUSPECTED_RESTART_DURATION: Duration = Duration::from_millis(2_500);

/// How long an entry may be absent after an outage of the store although its member runs, with the
/// time that a read of the store takes.
pub const ENTRY_RETURN_TIME: Duration = Duration::from_millis(3_000);

/// How long a leaving primary is used before a successor is promoted. Shorter than the bounds on
/// work for members that drain or whose zone is taken out of service.
const MAX_LEAVING_PRIMARY_USE: Duration = Duration::from_millis(3_000);

/// Cost of a new connection, in waiting requests.
const NEW_CONNECTION_COST: u32 = 1;

/// Cost of using the primary for a read that a replica can serve, in waiting requests.
const PRIMARY_COST: u32 = 1;

/// A member of a group.
pub struct Member {
    /// Identifier.
    pub id: Arc<str>,
    /// Its connection pool.
    pub pool: Rc<MemberPool>,
    /// Learned capacity, where the settings ask for it.
    pub capacity: Option<MemberCapacity>,
    pub(crate) entry: RefCell<MemberEntry>,
    pub(crate) health: RefCell<MemberHealth>,
    pub(crate) in_flight: Cell<u32>,
    /// Number of connections that the member accepts from the whole fleet.
    pub(crate) connections: Cell<usize>,
    /// Send times of the outstanding statements.
    pub(crate) outstanding: RefCell<Vec<MonotonicTime>>,
    /// Send time of the first read that showed no entry of the member.
    missing_since: Cell<Option<MonotonicTime>>,
    /// For how long reads without a gap have shown that it has no entry.
    absence: Cell<Duration>,
    pub(crate) is_zone_evacuated: Cell<bool>,
    pub(crate) lagging_until: Cell<MonotonicTime>,
    /// Time until which the member is cold after its start.
    cold_until: Cell<MonotonicTime>,
    /// Statements per second that this instance may send while the member is cold.
    cold_share: Cell<Option<usize>>,
    warm_up_gate: RefCell<WarmUpGate>,
    /// Revision of the entry that first reported the primary role; 0 if the entry does not report
    /// it.
    pub(crate) primary_revision: Cell<u64>,
    /// Time until which the reported role is ignored, because the member has refused a statement
    /// that only a primary accepts.
    not_primary_until: Cell<MonotonicTime>,
    pub(crate) leaving_since: Cell<Option<MonotonicTime>>,
}

impl Member {
    /// Creates a member from its first entry.
    pub fn new(
        entry: &MemberEntry,
        pool: Rc<MemberPool>,
        capacity: Option<MemberCapacity>,
    ) -> Self {
        Self {
            id: entry.id.clone(),
            pool,
            capacity,
            entry: RefCell::new(entry.clone()),
            health: RefCell::default(),
            in_flight: Cell::new(0),
            connections: Cell::new(1),
            outstanding: RefCell::default(),
            missing_since: Cell::new(None),
            absence: Cell::new(Duration::ZERO),
            is_zone_evacuated: Cell::new(false),
            lagging_until: Cell::new(MonotonicTime::ZERO),
            cold_until: Cell::new(MonotonicTime::ZERO),
            cold_share: Cell::new(None),
            warm_up_gate: RefCell::default(),
            primary_revision: Cell::new(0),
            not_primary_until: Cell::new(MonotonicTime::ZERO),
            leaving_since: Cell::new(None),
        }
    }

    /// Closes its connections and forgets its learned capacity, as the member has left or restarted.
    pub fn close(&self) {
        self.pool.close();
        if let Some(capacity) = &self.capacity {
            capacity.remove();
        }
    }

    /// Returns the member's entry.
    pub fn entry(&self) -> MemberEntry {
        self.entry.borrow().clone()
    }

    /// Returns whether the member drains or its zone is taken out of service.
    pub fn is_leaving(&self) -> bool {
        self.entry.borrow().draining || self.is_zone_evacuated.get()
    }

    /// Returns the input of the choice of the member's home instances.
    pub fn location<'a>(&'a self, zone: &'a str) -> MemberLocation<'a> {
        MemberLocation {
            id: &self.id,
            zone,
            connections: self.connections.get(),
        }
    }

    /// Returns the availability zone.
    pub fn zone(&self) -> Arc<str> {
        self.entry.borrow().zone.clone()
    }

    /// Returns whether the member's zone is taken out of service.
    pub fn is_zone_evacuated(&self) -> bool {
        self.is_zone_evacuated.get()
    }

    /// Returns whether the newest snapshot has no entry of the member.
    pub fn is_missing(&self) -> bool {
        self.missing_since.get().is_some()
    }

    /// Returns whether the member has had no entry for so long that it counts as gone.
    pub fn is_gone(&self) -> bool {
        self.absence.get() >= ENTRY_RETURN_TIME
    }

    /// Records that the newest of `reads` has returned no entry of the member. Returns for how long
    /// its absence has been shown.
    pub(crate) fn record_absence(&self, reads: ReadSpan) -> Duration {
        let since = self.missing_since.get().unwrap_or_else(|| reads.newest());
        self.missing_since.set(Some(since));
        self.absence.set(reads.absence(since));
        self.absence.get()
    }

    /// Records a reply of the member.
    pub fn record_success(&self, now: MonotonicTime) {
        self.health.borrow_mut().record_success(now);
    }

    /// Records a failure to connect or a broken connection.
    pub fn record_failure(&self, now: MonotonicTime) {
        self.suspect_restart(now);
        self.health.borrow_mut().record_failure(now);
    }

    /// Returns the time since the first failure after the last reply; `None` if there is none.
    pub fn failing_for(&self, now: MonotonicTime) -> Option<Duration> {
        self.health.borrow().failing_for(now)
    }

    /// Returns whether the member may be tried now.
    pub fn is_usable(&self, now: MonotonicTime) -> bool {
        self.health.borrow().is_usable(now)
    }

    /// Sets how many statements per second this instance may send while the member is cold.
    pub fn set_cold_share(&self, share: Option<usize>) {
        self.cold_share.set(share);
    }

    /// Records that the member may have restarted, which its entry does not show yet.
    pub fn suspect_restart(&self, now: MonotonicTime) {
        let until = now + SUSPECTED_RESTART_DURATION;
        self.cold_until.set(self.cold_until.get().max(until));
    }

    /// Returns whether a statement is admitted; a cold member gets a limited number per second.
    pub fn admit_statement(&self, now: MonotonicTime) -> bool {
        match self.cold_share.get() {
            Some(share) if now < self.cold_until.get() => {
                self.warm_up_gate.borrow_mut().admit(share, now)
            }
            _ => true,
        }
    }

    /// Returns whether [`admit_statement`](Self::admit_statement) would admit a statement, without
    /// counting one.
    pub(crate) fn would_admit_statement(&self, now: MonotonicTime) -> bool {
        match self.cold_share.get() {
            Some(share) if now < self.cold_until.get() => {
                self.warm_up_gate.borrow().is_open(share, now)
            }
            _ => true,
        }
    }

    pub(crate) fn is_lagging(&self, now: MonotonicTime) -> bool {
        now < self.lagging_until.get()
    }

    /// Records that the member refused a statement because it is not the primary.
    pub fn mark_not_primary(&self, now: MonotonicTime) {
        self.not_primary_until.set(now + NOT_PRIMARY_DURATION);
    }

    pub(crate) fn reports_primary(&self, now: MonotonicTime) -> bool {
        self.primary_revision.get() > 0 && now >= self.not_primary_until.get()
    }

    /// Returns whether the member may still act as primary. A leaving one may for a limited time,
    /// until its successor is promoted.
    pub fn is_allowed_as_primary(&self, now: MonotonicTime) -> bool {
        let leaving = self.leaving_since.get();
        leaving.is_none_or(|since| now.since(since) < MAX_LEAVING_PRIMARY_USE)
    }

    /// Returns whether new work may start at the member: on a leaving one only what the primary
    /// must run, for a limited time.
    pub fn may_start(&self, needs_primary: bool, now: MonotonicTime) -> bool {
        !self.is_leaving() || (needs_primary && self.is_allowed_as_primary(now))
    }

    /// Returns whether an open transaction may go on at the member. On a draining one it may end; in
    /// a zone that is taken out of service it has as long as a primary there.
    pub fn may_continue(&self, now: MonotonicTime) -> bool {
        !self.is_zone_evacuated() || self.is_allowed_as_primary(now)
    }

    /// Records a statement sent at `at`.
    pub fn record_statement_sent(&self, at: MonotonicTime) {
        self.outstanding.borrow_mut().push(at);
    }

    /// Records the end of the statement sent at `at`.
    pub fn record_statement_end(&self, at: MonotonicTime) {
        let mut outstanding = self.outstanding.borrow_mut();
        if let Some(index) = outstanding.iter().position(|sent| *sent == at) {
            outstanding.swap_remove(index);
        }
    }

    /// Returns the time without a reply from the member while statements are outstanding.
    pub fn silent_for(&self, now: MonotonicTime) -> Duration {
        let oldest = self.outstanding.borrow().iter().min().copied();
        let Some(oldest) = oldest else {
            return Duration::ZERO;
        };
        now.since(oldest.max(self.health.borrow().last_success()))
    }

    /// Counts a request until the returned guard is dropped.
    pub fn begin_request(self: &Rc<Self>) -> RequestGuard {
        self.in_flight.set(self.in_flight.get() + 1);
        RequestGuard(self.clone())
    }

    pub(crate) fn describe(&self, now: MonotonicTime) -> String {
        let entry = self.entry.borrow();
        let capacity = self.capacity.as_ref();
        let capacity = capacity.map(|capacity| format!(" {}", capacity.describe(now)));
        let gate = self.pool.gate_counts();
        let gate = gate.map(|(running, limit)| format!(" running={running} gate_limit={limit}"));
        format!(
            "member id={} address={} zone={} role={:?} leaving={} missing={} usable={} \
             failing_for={:?} in_flight={} connections={} waiting={} opened={}{}{}",
            self.id,
            entry.address,
            entry.zone,
            entry.role,
            self.is_leaving(),
            self.is_missing(),
            self.is_usable(now),
            self.failing_for(now),
            self.in_flight.get(),
            self.pool.open_count(),
            self.pool.waiting_count(),
            self.pool.opened_count(),
            gate.unwrap_or_default(),
            capacity.unwrap_or_default()
        )
    }

    pub(crate) fn read_cost(&self, account: &str, is_primary: bool) -> u32 {
        let mut cost = self.in_flight.get();
        if !self.pool.has_idle(account) {
            cost += NEW_CONNECTION_COST;
        }
        if is_primary {
            cost += PRIMARY_COST;
        }
        cost
    }

    pub(crate) fn update(&self, entry: &MemberEntry, now: MonotonicTime) {
        let is_primary = entry.role == MemberRole::Primary;
        if !is_primary {
            self.primary_revision.set(0);
        } else if self.primary_revision.get() == 0 {
            self.primary_revision.set(entry.revision.max(1));
        }
        self.missing_since.set(None);
        self.absence.set(Duration::ZERO);
        if !entry.warm_up_remaining.is_zero() {
            self.cold_until.set(now + entry.warm_up_remaining);
        }
        *self.entry.borrow_mut() = entry.clone();
    }
}

/// Counts a request at a member until it is dropped.
pub struct RequestGuard(Rc<Member>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}
