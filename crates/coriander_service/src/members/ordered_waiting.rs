//! Requests that wait for connections in the order that the queue decides, and get them handed over.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use coriander_core::MonotonicTime;
use coriander_queue::{
    OpeningPace, RequestTicket, ReturnSchedule, ServiceRate, StatementGate, WaitingQueue,
};
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::members::connection_request::ConnectionRequest;
use crate::members::member_gate::HAND_OVER_TIME;
use crate::members::member_pool::{
    MIN_REPLACE_IDLE, MemberPool, PoolState, REPLACE_ANY_DELAY, REPLACE_CHECK_INTERVAL,
};
use crate::members::pool_error::PoolError;
use crate::members::pooled_connection::PooledConnection;

/// Fraction of the time until its target for which a request waits before a connection of another
/// account is replaced for it.
const PATIENCE_FRACTION: f64 = 0.25;

/// Number of connections that replace others at the same time. While a request waits for its turn,
/// further ones of its account gather and share the new connection.
const MAX_REPLACING: usize = 1;

/// Minimum time between two decisions that are caused by the passage of time alone.
const MIN_DISPATCH_INTERVAL: Duration = Duration::from_millis(10);

/// Number of waits kept until the next read of the metrics.
const MAX_WAITS: usize = 1_024;

struct WaitingCaller {
    waiting_since: MonotonicTime,
    /// How long the request waits before any idle connection may be replaced for it.
    patience: Duration,
    result: oneshot::Sender<Result<PooledConnection, PoolError>>,
}

/// Time for which a request waited for a connection.
pub struct ConnectionWait {
    /// Priority of the request.
    pub priority: u32,
    /// Time until it got a connection or was refused.
    pub duration: Duration,
    /// Whether it got a connection.
    pub served: bool,
}

/// State of the ordered queue of a pool.
#[derive(Default)]
pub struct OrderedWaiting {
    queue: WaitingQueue,
    callers: HashMap<RequestTicket, WaitingCaller>,
    /// Accounts for which connections are being opened.
    opening: Vec<Arc<str>>,
    /// Number of connections in use by account.
    in_use: HashMap<Arc<str>, u32>,
    pace: OpeningPace,
    returns: ReturnSchedule,
    dispatched_at: MonotonicTime,
    waits: Vec<ConnectionWait>,
    /// Limits the statements at the member, where its capacity is learned.
    pub(crate) gate: Option<StatementGate>,
}

impl OrderedWaiting {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Returns how many operations may begin.
    pub(crate) fn room(&self, now: MonotonicTime) -> usize {
        let gate = self.gate.as_ref();
        gate.map_or(usize::MAX, |gate| gate.room(now))
    }

    /// Returns how many statements may run at a time.
    fn places(&self) -> usize {
        let gate = self.gate.as_ref();
        gate.map_or(usize::MAX, StatementGate::places)
    }

    /// Records that an operation of an account uses a connection.
    fn begin_use(&mut self, connection: &mut PooledConnection, now: MonotonicTime) {
        let account = connection.account.clone();
        *self.in_use.entry(account).or_default() += 1;
        let gate = self.gate.as_mut();
        connection.statement = gate.map(|gate| gate.begin_operation(now, now + HAND_OVER_TIME));
    }

    /// Records that a connection of an account is no longer in use.
    pub fn end_use(&mut self, account: &str) {
        if let Some(count) = self.in_use.get_mut(account) {
            *count -= 1;
            if *count == 0 {
                self.in_use.remove(account);
            }
        }
    }

    /// Records a connection that was opened for an account.
    pub fn record_opened(&mut self, account: &str, handshake: Duration) {
        self.remove_opening(account);
        self.pace.record_opened(handshake);
    }

    /// Records a connection that could not be opened.
    pub fn record_not_opened(&mut self, account: &str) {
        self.remove_opening(account);
        self.pace.record_declined();
    }

    fn remove_opening(&mut self, account: &str) {
        if let Some(index) = self.opening.iter().position(|other| **other == *account) {
            self.opening.swap_remove(index);
        }
    }

    /// Returns the waits since the last call.
    pub fn take_waits(&mut self) -> Vec<ConnectionWait> {
        std::mem::take(&mut self.waits)
    }

    /// Refuses all waiting requests, which may be retried elsewhere.
    pub fn refuse_all(&mut self, error: &PoolError) {
        for (ticket, caller) in std::mem::take(&mut self.callers) {
            self.queue.remove(ticket);
            // The receiver is gone if the request was cancelled.
            let _ = caller.result.send(Err(error.clone()));
        }
    }

    fn record_wait(&mut self, wait: ConnectionWait) {
        if self.waits.len() < MAX_WAITS {
            self.waits.push(wait);
        }
    }

    /// Returns whether a request should wait for a connection that its account uses already, because
    /// that is expected to become free before a new one is open.
    fn awaits_own_connection(
        &self,
        account: &str,
        position: u32,
        waited: Duration,
        mean_hold: Duration,
    ) -> bool {
        let handshake = self.pace.mean_handshake();
        let in_use = self.in_use.get(account).copied().unwrap_or(0);
        in_use > 0 && waited < handshake && mean_hold * position < handshake * in_use
    }
}

impl MemberPool {
    /// Acquires a connection in the order that the queue decides.
    pub(crate) async fn acquire_ordered(
        &self,
        request: &ConnectionRequest<'_>,
    ) -> Result<PooledConnection, PoolError> {
        let started = self.clock.now();
        if self.may_pass(started)
            && let Some(mut connection) = self.take_idle(request.account, request.values)
        {
            self.with_ordered(|ordered| {
                ordered
                    .queue
                    .record_immediate(&request.to_queued(), started);
                ordered.begin_use(&mut connection, started);
            });
            return Ok(connection);
        }
        let Some(mut pending) = self.enqueue(request, started) else {
            return Err(PoolError::HomeUnavailable);
        };
        self.dispatch(started);
        loop {
            let waited = timeout(REPLACE_CHECK_INTERVAL, &mut pending.receiver).await;
            let now = self.clock.now();
            let Ok(result) = waited else {
                self.dispatch_periodically(now, request.deadline);
                continue;
            };
            let result = result.unwrap_or(Err(PoolError::HomeUnavailable));
            self.with_ordered(|ordered| {
                ordered.record_wait(ConnectionWait {
                    priority: request.priority,
                    duration: now.since(started),
                    served: result.is_ok(),
                });
            });
            return result;
        }
    }

    pub(crate) fn with_ordered(&self, change: impl FnOnce(&mut OrderedWaiting)) {
        if let Some(ordered) = &mut self.state.borrow_mut().ordered {
            change(ordered);
        }
    }

    fn enqueue(
        &self,
        request: &ConnectionRequest<'_>,
        now: MonotonicTime,
    ) -> Option<PendingHandOver<'_>> {
        let mut state = self.state.borrow_mut();
        let ordered = state.ordered.as_mut()?;
        let (result, receiver) = oneshot::channel();
        let patience = request.target.since(now).mul_f64(PATIENCE_FRACTION);
        let caller = WaitingCaller {
            waiting_since: now,
            patience: patience.clamp(REPLACE_CHECK_INTERVAL, REPLACE_ANY_DELAY),
            result,
        };
        let ticket = ordered.queue.enqueue(request.to_queued(), now);
        ordered.callers.insert(ticket, caller);
        Some(PendingHandOver {
            pool: self,
            ticket,
            receiver,
        })
    }

    /// Decides again if the time alone may have changed the decision: idle connections become
    /// replaceable, and requests can no longer be served.
    fn dispatch_periodically(&self, now: MonotonicTime, deadline: MonotonicTime) {
        let state = self.state.borrow();
        let dispatched_at = state.ordered.as_ref().map(|ordered| ordered.dispatched_at);
        drop(state);
        let is_due = dispatched_at.is_some_and(|at| now.since(at) >= MIN_DISPATCH_INTERVAL);
        if is_due || now >= deadline {
            self.dispatch(now);
        }
    }

    /// Refuses the requests that cannot be served, hands idle connections to the waiting requests,
    /// and starts to open connections for them, in the order of the queue.
    pub(crate) fn dispatch(&self, now: MonotonicTime) {
        let mut state = self.state.borrow_mut();
        let Some(mut ordered) = state.ordered.take() else {
            return;
        };
        if state.is_closed {
            ordered.refuse_all(&PoolError::MemberLeaving);
        }
        ordered.dispatched_at = now;
        let mut accounts = Vec::new();
        if !ordered.callers.is_empty() {
            self.refuse_unservable(&state, &mut ordered, now);
            accounts = self.serve_in_order(&mut state, &mut ordered, now);
        }
        state.ordered = Some(ordered);
        drop(state);
        for account in accounts {
            self.spawn_opening(account);
        }
    }

    fn service_rate(&self, state: &PoolState, now: MonotonicTime) -> ServiceRate {
        let max_open = self.max_open.get();
        let (connections, may_open) = if now < state.connect_after {
            // The member takes no more connections at the moment.
            (state.open_count - state.opening_count, 0)
        } else {
            (max_open, max_open.saturating_sub(state.open_count))
        };
        ServiceRate {
            connections: connections.max(1),
            available: state.idle.len() + state.opening_count + may_open,
            mean_hold: Duration::from_secs_f64(state.mean_hold_secs),
            mean_exchange: Duration::from_secs_f64(state.mean_exchange_secs),
        }
    }

    fn refuse_unservable(
        &self,
        state: &PoolState,
        ordered: &mut OrderedWaiting,
        now: MonotonicTime,
    ) {
        let rate = self.service_rate(state, now);
        let rate = match &ordered.gate {
            Some(gate) => rate.limited_by(gate, now),
            None => rate,
        };
        let (running, limit) = match &ordered.gate {
            Some(gate) => (gate.running(now), gate.places()),
            None => (0, 0),
        };
        for ticket in ordered.queue.refuse_unservable(rate, now) {
            let Some(caller) = ordered.callers.remove(&ticket) else {
                continue;
            };
            let wait = ordered.queue.expected_wait(rate);
            let delay = ordered.returns.next_delay(wait, rate.interval(), now);
            let error = match &state.last_failure {
                Some((at, error)) if *at >= caller.waiting_since => {
                    PoolError::Connect(error.clone())
                }
                _ => PoolError::NoRoom {
                    open: state.open_count,
                    cap: self.max_open.get(),
                    running,
                    limit,
                    waiting: ordered.queue.len(),
                    retry_after: delay,
                },
            };
            // The receiver is gone if the request was cancelled.
            let _ = caller.result.send(Err(error));
        }
    }

    /// Returns the accounts for which connections are to be opened.
    fn serve_in_order(
        &self,
        state: &mut PoolState,
        ordered: &mut OrderedWaiting,
        now: MonotonicTime,
    ) -> Vec<Arc<str>> {
        let mean_hold = Duration::from_secs_f64(state.mean_hold_secs);
        let mut expected: HashMap<Arc<str>, usize> = HashMap::new();
        for account in &ordered.opening {
            *expected.entry(account.clone()).or_default() += 1;
        }
        let mut positions: HashMap<Arc<str>, u32> = HashMap::new();
        let mut accounts = Vec::new();
        let mut room = ordered.room(now);
        // Connections are opened ahead for as many requests as run next, and for no others.
        let ahead = ordered.places();
        let mut prepared = 0;
        let mut kept: HashMap<Arc<str>, usize> = HashMap::new();
        for ticket in ordered.queue.in_order(now) {
            if room == 0 && prepared >= ahead {
                break;
            }
            let Some(request) = ordered.queue.get(ticket) else {
                continue;
            };
            let account = request.account.clone();
            if room > 0
                && let Some(connection) = self.remove_idle(state, &account, now)
            {
                if Self::hand_over(state, ordered, ticket, connection, now) {
                    room -= 1;
                }
                continue;
            }
            if prepared >= ahead.saturating_add(room) {
                continue;
            }
            prepared += 1;
            if room == 0 && keep_idle(state, &mut kept, &account) {
                continue;
            }
            if let Some(count) = expected.get_mut(&account)
                && *count > 0
            {
                *count -= 1;
                continue;
            }
            let position = positions.entry(account.clone()).or_default();
            *position += 1;
            let caller = &ordered.callers[&ticket];
            let waited = now.since(caller.waiting_since);
            if ordered.awaits_own_connection(&account, *position, waited, mean_hold) {
                continue;
            }
            let is_impatient = waited >= caller.patience;
            if self.reserve_ordered(state, ordered, &kept, is_impatient, now) {
                ordered.opening.push(account.clone());
                accounts.push(account);
            }
        }
        accounts
    }

    /// Removes an idle connection of an account that is not broken.
    fn remove_idle(
        &self,
        state: &mut PoolState,
        account: &str,
        now: MonotonicTime,
    ) -> Option<PooledConnection> {
        loop {
            let is_same_account = |idle: &PooledConnection| &*idle.account == account;
            let index = state.idle.iter().rposition(is_same_account)?;
            let mut connection = state.idle.remove(index);
            if !connection.link.is_broken() {
                connection.last_used = now;
                return Some(connection);
            }
            state.open_count -= 1;
        }
    }

    /// Hands a connection over to a waiting request. Returns whether the request took it.
    fn hand_over(
        state: &mut PoolState,
        ordered: &mut OrderedWaiting,
        ticket: RequestTicket,
        mut connection: PooledConnection,
        now: MonotonicTime,
    ) -> bool {
        let Some(caller) = ordered.callers.remove(&ticket) else {
            state.idle.push(connection);
            return false;
        };
        if caller.result.is_closed() {
            ordered.queue.remove(ticket);
            state.idle.push(connection);
            return false;
        }
        ordered.begin_use(&mut connection, now);
        ordered.queue.serve(ticket, now);
        // The receiver is open, and nothing else runs in between.
        let _ = caller.result.send(Ok(connection));
        true
    }

    /// Reserves a slot for a new connection, closing an idle one of another account if the limit is
    /// reached.
    fn reserve_ordered(
        &self,
        state: &mut PoolState,
        ordered: &OrderedWaiting,
        kept: &HashMap<Arc<str>, usize>,
        is_impatient: bool,
        now: MonotonicTime,
    ) -> bool {
        if now < state.connect_after || !ordered.pace.allows(state.opening_count) {
            return false;
        }
        if state.open_count >= self.max_open.get() {
            if state.opening_count >= MAX_REPLACING {
                return false;
            }
            let is_replaceable = |idle: &PooledConnection| {
                let is_kept = kept.contains_key(&idle.account);
                !is_kept && (is_impatient || now.since(idle.last_used) >= MIN_REPLACE_IDLE)
            };
            let Some(index) = state.idle.iter().position(is_replaceable) else {
                return false;
            };
            state.idle.remove(index);
            state.open_count -= 1;
        }
        state.open_count += 1;
        state.opening_count += 1;
        true
    }
}

/// Keeps an idle connection for a request of an account that waits for room. Returns whether there
/// is one.
fn keep_idle(state: &PoolState, kept: &mut HashMap<Arc<str>, usize>, account: &Arc<str>) -> bool {
    let idle = state.idle.iter().filter(|idle| idle.account == *account);
    let count = kept.get(account).copied().unwrap_or(0);
    let is_kept = count < idle.count();
    if is_kept {
        kept.insert(account.clone(), count + 1);
    }
    is_kept
}

/// A request in the queue. When dropped, it leaves the queue, and a connection that was handed over
/// to it returns to the pool.
struct PendingHandOver<'a> {
    pool: &'a MemberPool,
    ticket: RequestTicket,
    receiver: oneshot::Receiver<Result<PooledConnection, PoolError>>,
}

impl Drop for PendingHandOver<'_> {
    fn drop(&mut self) {
        self.receiver.close();
        let handed_over = self.receiver.try_recv();
        self.pool.with_ordered(|ordered| {
            ordered.queue.remove(self.ticket);
            ordered.callers.remove(&self.ticket);
        });
        if let Ok(Ok(connection)) = handed_over {
            self.pool.return_unused(connection);
        }
    }
}
