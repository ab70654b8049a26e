//! Connections to one member, shared by the sessions of this instance.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

use coriander_core::MonotonicTime;
use coriander_service_api::{
    FailureCode, LinkError, MemberConnector, MemberLink, MemberTarget, SessionValues,
};
use tokio::time::timeout;

use crate::BootClock;
use crate::members::connection_caps::ConnectionCaps;
use crate::members::connection_request::ConnectionRequest;
use crate::members::ordered_waiting::{ConnectionWait, OrderedWaiting};
pub use crate::members::pool_error::PoolError;
use crate::members::pool_waiters::PoolWaiters;
use crate::members::pooled_connection::PooledConnection;

/// Timeout of opening a connection. It is independent of the request that needs the connection: an
/// abandoned attempt would cost the member as much as a completed one.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Number of connections to one member that this instance opens concurrently.
const MAX_OPENING: usize = 1;

/// Backoff after the first failure to open a connection; doubled after each further one.
const MIN_CONNECT_BACKOFF: Duration = Duration::from_millis(20);

/// Maximum backoff after failures to open a connection.
const MAX_CONNECT_BACKOFF: Duration = Duration::from_millis(320);

/// How long a connection must be idle before another account may replace it. Replacing it costs the
/// member a handshake, so a connection in steady use is kept.
pub(crate) const MIN_REPLACE_IDLE: Duration = Duration::from_millis(40);

/// How long a request waits before it may replace any idle connection.
pub(crate) const REPLACE_ANY_DELAY: Duration = Duration::from_millis(120);

/// Interval at which a waiting request checks for replaceable connections.
pub(crate) const REPLACE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Idle time after which connections above `max_idle` are closed.
const SURPLUS_IDLE_TIMEOUT: Duration = Duration::from_millis(250);

/// Weight of the newest sample in the mean hold time of a connection and the mean exchange time.
const NEW_SAMPLE_WEIGHT: f64 = 0.1;

/// Fraction of the remaining time that the expected wait of a request may take.
const MAX_WAIT_FRACTION: f64 = 0.8;

/// Connections of a pool and the requests that wait for them.
#[derive(Default)]
pub(crate) struct PoolState {
    pub(crate) idle: Vec<PooledConnection>,
    /// Number of connections, including idle ones and those being opened.
    pub(crate) open_count: usize,
    pub(crate) opening_count: usize,
    waiters: PoolWaiters,
    /// Waiting requests, if the queue decides their order.
    pub(crate) ordered: Option<OrderedWaiting>,
    /// Earliest time of the next connection attempt.
    pub(crate) connect_after: MonotonicTime,
    connect_backoff: Duration,
    /// Error and time of the last failed connection attempt.
    pub(crate) last_failure: Option<(MonotonicTime, LinkError)>,
    /// Mean time for which an operation holds a connection, in seconds.
    pub(crate) mean_hold_secs: f64,
    /// Mean time of the exchange of one statement, in seconds.
    pub(crate) mean_exchange_secs: f64,
    pub(crate) is_closed: bool,
}

impl PoolState {
    fn record_hold(&mut self, held: Duration) {
        let held = held.as_secs_f64();
        if self.ordered.is_some() && self.mean_hold_secs == 0.0 {
            // A mean that starts at zero would admit requests that cannot end in time.
            self.mean_hold_secs = held;
        }
        self.mean_hold_secs += NEW_SAMPLE_WEIGHT * (held - self.mean_hold_secs);
    }
}

/// Connections to one member.
pub struct MemberPool {
    connector: Rc<dyn MemberConnector>,
    pub(crate) clock: BootClock,
    target: MemberTarget,
    /// Maximum number of open connections.
    pub(crate) max_open: Cell<usize>,
    /// Maximum number of connections that stay open when idle.
    max_idle: Cell<usize>,
    opened_count: Cell<u64>,
    pub(crate) state: RefCell<PoolState>,
    weak_self: Weak<Self>,
}

impl MemberPool {
    /// Creates a pool without connections.
    pub fn new(
        connector: Rc<dyn MemberConnector>,
        target: MemberTarget,
        caps: ConnectionCaps,
    ) -> Rc<Self> {
        Rc::new_cyclic(|weak_self| Self {
            connector,
            clock: BootClock,
            target,
            max_open: Cell::new(caps.max_open),
            max_idle: Cell::new(caps.max_idle),
            opened_count: Cell::new(0),
            state: RefCell::default(),
            weak_self: weak_self.clone(),
        })
    }

    /// Lets the queue decide the order of waiting requests.
    pub fn set_ordered_waiting(&self, is_ordered: bool) {
        self.state.borrow_mut().ordered = is_ordered.then(OrderedWaiting::default);
    }

    /// Returns whether the queue decides the order of waiting requests.
    pub(crate) fn is_ordered(&self) -> bool {
        self.state.borrow().ordered.is_some()
    }

    /// Returns the waits for connections since the last call, if the queue decides their order.
    pub fn take_waits(&self) -> Vec<ConnectionWait> {
        let mut state = self.state.borrow_mut();
        let ordered = state.ordered.as_mut();
        ordered.map(OrderedWaiting::take_waits).unwrap_or_default()
    }

    /// Sets the limits on connections.
    pub fn set_caps(&self, caps: ConnectionCaps) {
        self.max_open.set(caps.max_open);
        self.max_idle.set(caps.max_idle);
    }

    /// Closes surplus connections that are idle.
    pub fn close_surplus(&self) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        while state.open_count > self.max_idle.get() {
            let is_unused =
                |idle: &PooledConnection| now.since(idle.last_used) >= SURPLUS_IDLE_TIMEOUT;
            let Some(index) = state.idle.iter().position(is_unused) else {
                return;
            };
            state.idle.remove(index);
            state.open_count -= 1;
        }
    }

    /// Returns the number of connections opened since the pool was created.
    pub fn opened_count(&self) -> u64 {
        self.opened_count.get()
    }

    /// Returns the number of open connections.
    pub fn open_count(&self) -> usize {
        self.state.borrow().open_count
    }

    /// Returns the number of requests that wait for a connection.
    pub fn waiting_count(&self) -> usize {
        let state = self.state.borrow();
        let ordered = state.ordered.as_ref();
        state.waiters.len() + ordered.map_or(0, OrderedWaiting::len)
    }

    /// Returns whether the account has an idle connection.
    pub fn has_idle(&self, account: &str) -> bool {
        let state = self.state.borrow();
        state.idle.iter().any(|idle| &*idle.account == account)
    }

    /// Acquires a connection for an account, preferably one that holds the session values already.
    pub async fn acquire(
        &self,
        request: &ConnectionRequest<'_>,
    ) -> Result<PooledConnection, PoolError> {
        if self.state.borrow().ordered.is_some() {
            return self.acquire_ordered(request).await;
        }
        let ConnectionRequest {
            account,
            values,
            priority,
            deadline,
            ..
        } = *request;
        let started = self.clock.now();
        loop {
            if let Some(connection) = self.take_idle(account, values) {
                return Ok(connection);
            }
            let now = self.clock.now();
            let remaining = deadline.since(now);
            if remaining.is_zero()
                || self.expected_wait(started) > remaining.mul_f64(MAX_WAIT_FRACTION)
            {
                return Err(self.error_since(started));
            }
            if let Some((at, error)) = &self.state.borrow().last_failure
                && *at >= started
                && error.is_unreachable()
            {
                return Err(PoolError::Connect(error.clone()));
            }
            self.open_if_possible(account, started);
            self.wait_for_change(account, priority, started, remaining)
                .await;
        }
    }

    fn error_since(&self, started: MonotonicTime) -> PoolError {
        let state = self.state.borrow();
        match &state.last_failure {
            Some((at, error)) if *at >= started => PoolError::Connect(error.clone()),
            _ => PoolError::Exhausted {
                open: state.open_count,
                cap: self.max_open.get(),
                waiting: state.waiters.len(),
            },
        }
    }

    /// Returns the expected wait of a request that started to wait at `since` behind earlier ones.
    fn expected_wait(&self, since: MonotonicTime) -> Duration {
        let state = self.state.borrow();
        let ahead = state.waiters.count_before(since) as f64;
        Duration::from_secs_f64(ahead * state.mean_hold_secs / self.max_open.get() as f64)
    }

    pub(crate) fn take_idle(
        &self,
        account: &str,
        values: &SessionValues,
    ) -> Option<PooledConnection> {
        loop {
            let mut state = self.state.borrow_mut();
            let is_same_account = |idle: &&PooledConnection| &*idle.account == account;
            let index = state
                .idle
                .iter()
                .rposition(|idle| is_same_account(&idle) && idle.values.matches(values))
                .or_else(|| state.idle.iter().rposition(|idle| is_same_account(&idle)))?;
            let mut connection = state.idle.remove(index);
            if !connection.link.is_broken() {
                connection.last_used = self.clock.now();
                return Some(connection);
            }
            state.open_count -= 1;
        }
    }

    /// Starts to open a connection for an account if limits and backoff allow it.
    fn open_if_possible(&self, account: &Arc<str>, since: MonotonicTime) {
        if self.is_other_account_overdue(account, since) || !self.reserve_slot(since) {
            return;
        }
        self.spawn_opening(account.clone());
    }

    /// Opens a connection for which a slot is reserved.
    pub(crate) fn spawn_opening(&self, account: Arc<str>) {
        let Some(pool) = self.weak_self.upgrade() else {
            return;
        };
        ntex::rt::spawn(pool.open_connection(account));
    }

    /// Returns whether an earlier request of another account has waited for [`REPLACE_ANY_DELAY`].
    fn is_other_account_overdue(&self, account: &str, since: MonotonicTime) -> bool {
        let now = self.clock.now();
        let state = self.state.borrow();
        let overdue_since = now.saturating_sub(REPLACE_ANY_DELAY);
        state
            .waiters
            .is_other_overdue(account, since, overdue_since)
    }

    /// Reserves a slot for a new connection, closing an idle one of another account if the limit is
    /// reached.
    fn reserve_slot(&self, since: MonotonicTime) -> bool {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        if state.is_closed || state.opening_count >= MAX_OPENING || now < state.connect_after {
            return false;
        }
        if state.open_count >= self.max_open.get() {
            let Some(index) = Self::find_replaceable(&state, since, now) else {
                return false;
            };
            state.idle.remove(index);
            state.open_count -= 1;
        }
        state.open_count += 1;
        state.opening_count += 1;
        true
    }

    /// Returns the index of the idle connection that a request of another account may replace, the
    /// longest idle first. A connection that an earlier request waits for is kept, and so is one in
    /// steady use until the request has waited for [`REPLACE_ANY_DELAY`].
    fn find_replaceable(
        state: &PoolState,
        since: MonotonicTime,
        now: MonotonicTime,
    ) -> Option<usize> {
        let is_overdue = now.since(since) >= REPLACE_ANY_DELAY;
        state.idle.iter().position(|idle| {
            let is_awaited = state.waiters.is_awaited(&idle.account, since);
            !is_awaited && (is_overdue || now.since(idle.last_used) >= MIN_REPLACE_IDLE)
        })
    }

    async fn open_connection(self: Rc<Self>, account: Arc<str>) {
        let target = MemberTarget {
            account: account.clone(),
            ..self.target.clone()
        };
        let started = self.clock.now();
        let result = self.connector.connect(&target, CONNECT_TIMEOUT).await;
        let now = self.clock.now();
        self.record_connection_attempt(&account, result, now.since(started), now);
        self.dispatch(now);
    }

    fn record_connection_attempt(
        &self,
        account: &Arc<str>,
        result: Result<Box<dyn MemberLink>, LinkError>,
        handshake: Duration,
        now: MonotonicTime,
    ) {
        let mut state = self.state.borrow_mut();
        state.opening_count -= 1;
        match result {
            Ok(link) => {
                state.connect_backoff = Duration::ZERO;
                if let Some(ordered) = &mut state.ordered {
                    ordered.record_opened(account, handshake);
                }
                self.opened_count.set(self.opened_count.get() + 1);
                let connection = PooledConnection::new(link, account.clone(), now);
                self.store_idle(&mut state, connection);
            }
            Err(error) => {
                state.open_count -= 1;
                let backoff = state.connect_backoff * 2;
                state.connect_backoff = backoff.clamp(MIN_CONNECT_BACKOFF, MAX_CONNECT_BACKOFF);
                state.connect_after = now + state.connect_backoff;
                let is_full = matches!(&error, LinkError::Declined(refusal)
                    if refusal.code == FailureCode::TooManyConnections);
                if !is_full {
                    log::info!(
                        group = &*self.target.group, member = &*self.target.member, error:% = error;
                        "connection to a member failed"
                    );
                }
                if let Some(ordered) = &mut state.ordered {
                    ordered.record_not_opened(account);
                    if error.is_unreachable() {
                        ordered.refuse_all(&PoolError::Connect(error.clone()));
                    }
                }
                state.last_failure = Some((now, error));
                state.waiters.wake_all();
            }
        }
    }

    async fn wait_for_change(
        &self,
        account: &Arc<str>,
        priority: u32,
        since: MonotonicTime,
        remaining: Duration,
    ) {
        let added = self
            .state
            .borrow_mut()
            .waiters
            .add(account, priority, since);
        let (number, woken) = added;
        let _guard = WaiterGuard { pool: self, number };
        // Idle connections become replaceable without a wake-up.
        let _ = timeout(remaining.min(REPLACE_CHECK_INTERVAL), woken).await;
    }

    /// Returns a connection to the pool after its transaction has ended. One that cannot be reused
    /// is closed.
    pub fn release(&self, connection: PooledConnection) {
        let now = self.clock.now();
        self.state
            .borrow_mut()
            .record_hold(now.since(connection.last_used));
        self.return_connection(connection, now);
    }

    /// Returns a connection that was handed over to a request and not used. It gives no sample of the
    /// hold time, as that would let the queue expect connections earlier than they become free.
    pub(crate) fn return_unused(&self, mut connection: PooledConnection) {
        if let Some(number) = connection.statement.take() {
            self.end_statement(number);
        }
        self.return_connection(connection, self.clock.now());
    }

    /// Records the time that the exchange of one statement took.
    pub(crate) fn record_exchange(&self, took: Duration) {
        let mut state = self.state.borrow_mut();
        let took = took.as_secs_f64();
        if state.mean_exchange_secs == 0.0 {
            state.mean_exchange_secs = took;
        }
        state.mean_exchange_secs += NEW_SAMPLE_WEIGHT * (took - state.mean_exchange_secs);
    }

    fn return_connection(&self, mut connection: PooledConnection, now: MonotonicTime) {
        let mut state = self.state.borrow_mut();
        connection.last_used = now;
        if let Some(ordered) = &mut state.ordered {
            ordered.end_use(&connection.account);
        }
        self.store_idle(&mut state, connection);
        drop(state);
        self.dispatch(now);
    }

    fn store_idle(&self, state: &mut PoolState, connection: PooledConnection) {
        let is_surplus = state.is_closed || state.open_count > self.max_open.get();
        if is_surplus || !connection.is_reusable() {
            state.open_count -= 1;
            state.waiters.wake_all();
            return;
        }
        let account = connection.account.clone();
        state.idle.push(connection);
        state.waiters.wake_one(&account);
    }

    /// Closes a connection.
    pub fn discard(&self, connection: PooledConnection) {
        let account = connection.account.clone();
        let now = self.clock.now();
        let held = now.since(connection.last_used);
        drop(connection);
        let mut state = self.state.borrow_mut();
        state.open_count -= 1;
        if state.ordered.is_some() {
            state.record_hold(held);
        }
        if let Some(ordered) = &mut state.ordered {
            ordered.end_use(&account);
        }
        state.waiters.wake_all();
        drop(state);
        self.dispatch(now);
    }

    /// Closes all idle connections, and every other one when it is released.
    pub fn close(&self) {
        let mut state = self.state.borrow_mut();
        state.is_closed = true;
        let idle = std::mem::take(&mut state.idle);
        state.open_count -= idle.len();
        state.waiters.wake_all();
        drop(state);
        self.dispatch(self.clock.now());
    }
}

/// Removes a request from the queue when it runs or is cancelled.
struct WaiterGuard<'a> {
    pool: &'a MemberPool,
    number: u64,
}

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.pool.state.borrow_mut();
        state.waiters.remove(self.number);
    }
}
