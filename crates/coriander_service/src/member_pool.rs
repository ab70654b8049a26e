//! Connections to one member, shared by the sessions of this instance.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

use coriander_core::MonotonicTime;
use coriander_service_api::{FailureCode, LinkError, MemberConnector, MemberTarget, SessionValues};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::ServiceClock;
use crate::connection_caps::ConnectionCaps;
use crate::pooled_connection::PooledConnection;

/// Longest time to open a connection. It does not depend on the request that asked for it: an
/// abandoned attempt would cost the member as much as a finished one.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Connections to one member that this instance opens at a time.
const MAX_OPENING: usize = 1;

/// Pause after the member has refused a connection because it has too many; doubled up to the
/// longest pause.
const FIRST_FULL_PAUSE: Duration = Duration::from_millis(20);

/// Longest such pause.
const LONGEST_FULL_PAUSE: Duration = Duration::from_millis(320);

/// How long a connection must be unused before another account may replace it. Replacing costs
/// the member a handshake, so a connection in steady use is kept.
const REPLACE_IDLE: Duration = Duration::from_millis(40);

/// How long a request waits before it may replace any connection that becomes free.
const REPLACE_PATIENCE: Duration = Duration::from_millis(120);

/// Time between two looks at connections that may be replaced by now.
const REPLACE_CHECK: Duration = Duration::from_millis(20);

/// Time after which an unused connection beyond those that are kept is closed.
const SURPLUS_IDLE: Duration = Duration::from_millis(250);

/// Weight of the newest sample in the mean time for which a connection is held.
const HOLD_WEIGHT: f64 = 0.1;

/// Part of the remaining time that a request may be expected to wait.
const EXPECTED_WAIT_PART: f64 = 0.8;

/// Failure to obtain a connection; nothing was sent to the member.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
pub enum PoolError {
    /// No connection became free in time.
    #[error("no connection became free: open={open} cap={cap} waiting={waiting}")]
    Exhausted {
        /// Open connections of the instance to the member.
        open: usize,
        /// Connections that it may open.
        cap: usize,
        /// Requests that wait for one.
        waiting: usize,
    },
    /// The home instance of the connection is not reached or does not know the member.
    #[error("home instance is not available")]
    Relay,
    /// The member may not be used as primary, or not any more.
    #[error("lead of the member is not proved")]
    LeadUnproved,
    /// A connection could not be opened.
    #[error(transparent)]
    Connect(#[from] LinkError),
}

struct PoolWaiter {
    account: Arc<str>,
    priority: u32,
    /// When the request began to wait.
    since: MonotonicTime,
    /// Distinguishes waiters of one pool.
    number: u64,
    /// Taken when the request is woken; it stays in the queue until it runs.
    wake: Option<oneshot::Sender<()>>,
}

#[derive(Default)]
struct PoolState {
    idle: Vec<PooledConnection>,
    /// Open connections, idle ones and those being opened included.
    open: usize,
    opening: usize,
    waiters: Vec<PoolWaiter>,
    last_waiter: u64,
    /// When the member may be asked for a connection again.
    full_until: MonotonicTime,
    full_pause: Duration,
    /// Failure of the last attempt to open a connection, and when it happened.
    failure: Option<(MonotonicTime, LinkError)>,
    /// Mean time for which a connection is held, in seconds.
    hold_secs: f64,
    closed: bool,
}

/// Connections to one member.
pub struct MemberPool {
    connector: Rc<dyn MemberConnector>,
    clock: ServiceClock,
    target: MemberTarget,
    /// Connections that may be open.
    cap: Cell<usize>,
    /// Connections that may stay open without use.
    kept: Cell<usize>,
    opened: Cell<u64>,
    state: RefCell<PoolState>,
    own: Weak<Self>,
}

impl MemberPool {
    /// Creates a pool without connections.
    pub fn new(
        connector: Rc<dyn MemberConnector>,
        target: MemberTarget,
        caps: ConnectionCaps,
    ) -> Rc<Self> {
        Rc::new_cyclic(|own| Self {
            connector,
            clock: ServiceClock,
            target,
            cap: Cell::new(caps.open),
            kept: Cell::new(caps.kept),
            opened: Cell::new(0),
            state: RefCell::default(),
            own: own.clone(),
        })
    }

    /// Changes the number of connections.
    pub fn set_caps(&self, caps: ConnectionCaps) {
        self.cap.set(caps.open);
        self.kept.set(caps.kept);
    }

    /// Closes connections that are not used, beyond those that may stay open.
    pub fn close_surplus(&self) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        while state.open > self.kept.get() {
            let unused = |idle: &PooledConnection| now.since(idle.last_used) >= SURPLUS_IDLE;
            let Some(place) = state.idle.iter().position(unused) else {
                return;
            };
            state.idle.remove(place);
            state.open -= 1;
        }
    }

    /// Returns the number of connections opened so far.
    pub fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.state.borrow().open
    }

    /// Returns the number of requests that wait for a connection.
    pub fn waiting(&self) -> usize {
        self.state.borrow().waiters.len()
    }

    /// Tells whether an idle connection of the account exists.
    pub fn has_idle(&self, account: &str) -> bool {
        let state = self.state.borrow();
        state.idle.iter().any(|idle| &*idle.account == account)
    }

    /// Takes a connection for an account, preferring one with the session's values.
    pub async fn acquire(
        &self,
        account: &Arc<str>,
        values: &SessionValues,
        priority: u32,
        deadline: MonotonicTime,
    ) -> Result<PooledConnection, PoolError> {
        let started = self.clock.now();
        loop {
            if let Some(connection) = self.take_idle(account, values) {
                return Ok(connection);
            }
            let now = self.clock.now();
            let left = deadline.since(now);
            if left.is_zero() || self.expected_wait(started) > left.mul_f64(EXPECTED_WAIT_PART) {
                return Err(self.failure_since(started));
            }
            if let Some((at, error)) = &self.state.borrow().failure
                && *at >= started
                && error.is_unreachable()
            {
                return Err(PoolError::Connect(error.clone()));
            }
            self.open_if_possible(account, started);
            self.wait_for_change(account, priority, started, left).await;
        }
    }

    fn failure_since(&self, started: MonotonicTime) -> PoolError {
        let state = self.state.borrow();
        match &state.failure {
            Some((at, error)) if *at >= started => PoolError::Connect(error.clone()),
            _ => PoolError::Exhausted {
                open: state.open,
                cap: self.cap.get(),
                waiting: state.waiters.len(),
            },
        }
    }

    /// Time that a request which began to wait at `since` must expect to wait behind earlier ones.
    fn expected_wait(&self, since: MonotonicTime) -> Duration {
        let state = self.state.borrow();
        let earlier = state.waiters.iter().filter(|waiter| waiter.since < since);
        let ahead = earlier.count() as f64;
        Duration::from_secs_f64(ahead * state.hold_secs / self.cap.get() as f64)
    }

    fn take_idle(&self, account: &str, values: &SessionValues) -> Option<PooledConnection> {
        loop {
            let mut state = self.state.borrow_mut();
            let same = |idle: &&PooledConnection| &*idle.account == account;
            let place = state
                .idle
                .iter()
                .rposition(|idle| same(&idle) && idle.values.matches(values))
                .or_else(|| state.idle.iter().rposition(|idle| same(&idle)))?;
            let mut connection = state.idle.remove(place);
            if !connection.link.is_broken() {
                connection.last_used = self.clock.now();
                return Some(connection);
            }
            state.open -= 1;
        }
    }

    /// Starts to open a connection for an account if the cap and the member allow it.
    fn open_if_possible(&self, account: &Arc<str>, since: MonotonicTime) {
        if self.must_let_others_open(account, since) || !self.reserve_slot(since) {
            return;
        }
        let Some(pool) = self.own.upgrade() else {
            return;
        };
        ntex::rt::spawn(pool.open_connection(account.clone()));
    }

    /// Tells whether a request of another account has run out of patience earlier.
    fn must_let_others_open(&self, account: &str, since: MonotonicTime) -> bool {
        let now = self.clock.now();
        let state = self.state.borrow();
        state.waiters.iter().any(|waiter| {
            let impatient = now.since(waiter.since) >= REPLACE_PATIENCE;
            impatient && waiter.since < since && *waiter.account != *account
        })
    }

    /// Reserves the right to open a connection, closing an idle one of another account if the
    /// cap is reached.
    fn reserve_slot(&self, since: MonotonicTime) -> bool {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        if state.closed || state.opening >= MAX_OPENING || now < state.full_until {
            return false;
        }
        if state.open >= self.cap.get() {
            let Some(place) = Self::replaceable(&state, since, now) else {
                return false;
            };
            state.idle.remove(place);
            state.open -= 1;
        }
        state.open += 1;
        state.opening += 1;
        true
    }

    /// Returns the idle connection that a request of another account may replace. A connection
    /// for which an earlier request waits is kept, and so is one in steady use unless the request
    /// has run out of patience. The connection that has been unused for longest is first.
    fn replaceable(state: &PoolState, since: MonotonicTime, now: MonotonicTime) -> Option<usize> {
        let impatient = now.since(since) >= REPLACE_PATIENCE;
        state.idle.iter().position(|idle| {
            let awaited = state
                .waiters
                .iter()
                .any(|waiter| waiter.account == idle.account && waiter.since < since);
            !awaited && (impatient || now.since(idle.last_used) >= REPLACE_IDLE)
        })
    }

    async fn open_connection(self: Rc<Self>, account: Arc<str>) {
        let target = MemberTarget {
            account: account.clone(),
            ..self.target.clone()
        };
        let result = self.connector.connect(&target, CONNECT_TIMEOUT).await;
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        state.opening -= 1;
        match result {
            Ok(link) => {
                state.full_pause = Duration::ZERO;
                self.opened.set(self.opened.get() + 1);
                let connection = PooledConnection::new(link, account.clone(), now);
                self.store_idle(&mut state, connection);
            }
            Err(error) => {
                state.open -= 1;
                let pause = state.full_pause * 2;
                state.full_pause = pause.clamp(FIRST_FULL_PAUSE, LONGEST_FULL_PAUSE);
                state.full_until = now + state.full_pause;
                let is_full = matches!(&error, LinkError::Declined(refusal)
                    if refusal.code == FailureCode::TooManyConnections);
                if !is_full {
                    log::info!(
                        group = &*self.target.group, member = &*self.target.member, error:% = error;
                        "no connection to a member"
                    );
                }
                state.failure = Some((now, error));
                Self::wake_all(&mut state);
            }
        }
    }

    async fn wait_for_change(
        &self,
        account: &Arc<str>,
        priority: u32,
        since: MonotonicTime,
        left: Duration,
    ) {
        let (wake, woken) = oneshot::channel();
        let number = {
            let mut state = self.state.borrow_mut();
            state.last_waiter += 1;
            let number = state.last_waiter;
            let later = |waiter: &PoolWaiter| (waiter.priority, waiter.since) > (priority, since);
            let place = state.waiters.iter().position(later);
            let place = place.unwrap_or(state.waiters.len());
            let waiter = PoolWaiter {
                account: account.clone(),
                priority,
                since,
                number,
                wake: Some(wake),
            };
            state.waiters.insert(place, waiter);
            number
        };
        let _entry = WaiterEntry { pool: self, number };
        // Idle connections become replaceable without any event.
        let _ = timeout(left.min(REPLACE_CHECK), woken).await;
    }

    /// Gives a connection back after its transaction has ended.
    pub fn release(&self, mut connection: PooledConnection) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let held = now.since(connection.last_used).as_secs_f64();
        state.hold_secs += HOLD_WEIGHT * (held - state.hold_secs);
        connection.last_used = now;
        self.store_idle(&mut state, connection);
    }

    fn store_idle(&self, state: &mut PoolState, connection: PooledConnection) {
        if state.closed || state.open > self.cap.get() {
            state.open -= 1;
            Self::wake_all(state);
            return;
        }
        let account = connection.account.clone();
        state.idle.push(connection);
        Self::wake_one(state, &account);
    }

    /// Notes that a connection has been closed.
    pub fn discard(&self, connection: PooledConnection) {
        drop(connection);
        let mut state = self.state.borrow_mut();
        state.open -= 1;
        Self::wake_all(&mut state);
    }

    /// Wakes the first request of an account, else the first one of any.
    fn wake_one(state: &mut PoolState, account: &str) {
        let same = |waiter: &PoolWaiter| waiter.wake.is_some() && *waiter.account == *account;
        let asleep = |waiter: &PoolWaiter| waiter.wake.is_some();
        let place = state.waiters.iter().position(same);
        let place = place.or_else(|| state.waiters.iter().position(asleep));
        if let Some(wake) = place.and_then(|place| state.waiters[place].wake.take()) {
            // A request that has given up looks for nothing; the others look at intervals.
            let _ = wake.send(());
        }
    }

    fn wake_all(state: &mut PoolState) {
        for waiter in &mut state.waiters {
            if let Some(wake) = waiter.wake.take() {
                // A request that has given up no longer waits.
                let _ = wake.send(());
            }
        }
    }

    /// Closes all idle connections and lets no connection return.
    pub fn close(&self) {
        let mut state = self.state.borrow_mut();
        state.closed = true;
        let idle = std::mem::take(&mut state.idle);
        state.open -= idle.len();
        Self::wake_all(&mut state);
    }
}

/// Takes a request out of the queue when it goes on or is given up.
struct WaiterEntry<'a> {
    pool: &'a MemberPool,
    number: u64,
}

impl Drop for WaiterEntry<'_> {
    fn drop(&mut self) {
        let mut state = self.pool.state.borrow_mut();
        state.waiters.retain(|waiter| waiter.number != self.number);
    }
}
