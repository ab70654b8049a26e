//! Statements that this instance lets through to a member at a time, where capacity is learned and
//! waiting is ordered.

use std::rc::Rc;
use std::time::Duration;

use coriander_core::MonotonicTime;
use coriander_queue::{StatementGate, StatementNumber};

use crate::members::member_pool::MemberPool;
use crate::members::pooled_connection::PooledConnection;

/// Time in which an operation begins its first exchange after it got a connection. A request that
/// is dropped in between leaves its place at once.
pub(crate) const HAND_OVER_TIME: Duration = Duration::from_millis(100);

/// A statement that takes room at a member until it is dropped.
pub struct StatementPermit {
    pool: Rc<MemberPool>,
    number: StatementNumber,
}

impl StatementPermit {
    /// Takes over the permit that a connection was handed over with.
    pub fn take(pool: &Rc<MemberPool>, connection: &mut PooledConnection) -> Option<Self> {
        let number = connection.statement.take()?;
        let pool = pool.clone();
        Some(Self { pool, number })
    }

    /// Creates the permit of a further statement of an operation, which needs no room. Returns
    /// `None` if the member has no gate.
    pub fn begin(pool: &Rc<MemberPool>, now: MonotonicTime) -> Option<Self> {
        let number = pool.with_gate(|gate| gate.begin_statement(now, now + HAND_OVER_TIME))?;
        let pool = pool.clone();
        Some(Self { pool, number })
    }

    /// Sets the time from which the statement takes no room.
    pub fn set_counts_until(&self, counts_until: MonotonicTime) {
        self.pool
            .with_gate(|gate| gate.set_counts_until(self.number, counts_until));
    }
}

impl Drop for StatementPermit {
    fn drop(&mut self) {
        self.pool.end_statement(self.number);
    }
}

impl MemberPool {
    /// Returns whether a request may get an idle connection without waiting. With a gate, it must
    /// not overtake those that wait for room.
    pub(crate) fn may_pass(&self, now: MonotonicTime) -> bool {
        let state = self.state.borrow();
        let ordered = state.ordered.as_ref();
        ordered.is_none_or(|ordered| {
            ordered.gate.is_none() || (ordered.len() == 0 && ordered.room(now) > 0)
        })
    }

    /// Sets how many statements may run at the member at a time, if the queue decides the order of
    /// those that wait.
    pub fn set_statement_limit(&self, limit: f64) {
        let now = self.clock.now();
        self.with_ordered(|ordered| {
            let gate = ordered
                .gate
                .get_or_insert_with(|| StatementGate::new(limit));
            gate.set_limit(limit, now);
        });
    }

    /// Returns the number of statements that run at the member and how many may; `None` without a
    /// gate.
    pub fn gate_counts(&self) -> Option<(usize, usize)> {
        let now = self.clock.now();
        self.with_gate(|gate| (gate.running(now), gate.places()))
    }

    pub(crate) fn with_gate<T>(&self, change: impl FnOnce(&mut StatementGate) -> T) -> Option<T> {
        let mut state = self.state.borrow_mut();
        let ordered = state.ordered.as_mut()?;
        ordered.gate.as_mut().map(change)
    }

    /// Records the end of a statement, and lets others through in its place.
    pub(crate) fn end_statement(&self, number: StatementNumber) {
        let now = self.clock.now();
        self.with_gate(|gate| gate.end(number, now));
        self.dispatch(now);
    }
}
