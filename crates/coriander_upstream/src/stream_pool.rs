//! Bookkeeping of the Hrana streams of one member.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use coriander_core::MonotonicTime;

use crate::PoolSettings;

/// Purpose for which a stream is checked out.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum StreamUse {
    /// One autocommit request.
    Statement,
    /// An interactive transaction, which keeps the stream over several requests.
    Transaction,
    /// Opening a stream before it is needed.
    WarmUp,
    /// Closing a stream at the member.
    Close,
}

/// Number of streams by state.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PoolCounts {
    /// Open streams that are not checked out.
    pub idle: usize,
    /// Streams checked out for statements.
    pub statements: usize,
    /// Streams checked out for transactions.
    pub transactions: usize,
    /// Streams that are being opened before they are needed.
    pub warming: usize,
    /// Streams that wait to be closed or are being closed.
    pub closing: usize,
}

impl PoolCounts {
    /// Returns the number of streams that count towards the maximum.
    pub fn total(self) -> usize {
        self.in_use() + self.idle + self.warming + self.closing
    }

    fn in_use(self) -> usize {
        self.statements + self.transactions
    }
}

struct IdleStream {
    baton: String,
    idle_since: MonotonicTime,
}

#[derive(Default)]
struct DemandPeak {
    window_start: MonotonicTime,
    previous: usize,
    current: usize,
}

struct PoolState {
    settings: PoolSettings,
    generation: u64,
    /// The most recently used stream is at the back.
    idle: VecDeque<IdleStream>,
    closing: VecDeque<String>,
    leased: PoolCounts,
    demand: DemandPeak,
}

impl PoolState {
    fn counts(&self) -> PoolCounts {
        PoolCounts {
            idle: self.idle.len(),
            closing: self.leased.closing + self.closing.len(),
            ..self.leased
        }
    }

    fn leased_count(&mut self, purpose: StreamUse) -> &mut usize {
        match purpose {
            StreamUse::Statement => &mut self.leased.statements,
            StreamUse::Transaction => &mut self.leased.transactions,
            StreamUse::WarmUp => &mut self.leased.warming,
            StreamUse::Close => &mut self.leased.closing,
        }
    }

    fn record_demand(&mut self, extra: usize, now: MonotonicTime) {
        self.rotate_demand_window(now);
        let demand = self.counts().in_use() + extra;
        self.demand.current = self.demand.current.max(demand);
    }

    fn rotate_demand_window(&mut self, now: MonotonicTime) {
        let elapsed = now.since(self.demand.window_start);
        if elapsed < self.settings.demand_window {
            return;
        }
        let in_use = self.counts().in_use();
        // After two windows without a call, the older peak is out of date.
        let is_recent = elapsed < self.settings.demand_window * 2;
        self.demand.previous = if is_recent {
            self.demand.current
        } else {
            in_use
        };
        self.demand.current = in_use;
        self.demand.window_start = now;
    }

    fn target_streams(&mut self, now: MonotonicTime) -> usize {
        self.rotate_demand_window(now);
        let peak = self.demand.previous.max(self.demand.current);
        let target = if peak == 0 {
            0
        } else {
            peak + self.settings.spare_streams
        };
        target
            .max(self.settings.min_streams)
            .min(self.settings.max_streams)
    }
}

/// The pool of Hrana streams of one member.
///
/// The pool does no I/O; the holder of a [`StreamLease`] sends the requests. Clones share one pool.
#[derive(Clone)]
pub struct StreamPool(Rc<RefCell<PoolState>>);

impl StreamPool {
    /// Creates an empty pool.
    pub fn new(settings: PoolSettings) -> Self {
        Self(Rc::new(RefCell::new(PoolState {
            settings,
            generation: 0,
            idle: VecDeque::new(),
            closing: VecDeque::new(),
            leased: PoolCounts::default(),
            demand: DemandPeak::default(),
        })))
    }

    /// Checks a stream out for one request or one transaction.
    ///
    /// Returns an idle stream, else a lease without baton whose first request opens a stream, or
    /// `None` if the limit is reached.
    ///
    /// ```
    /// use coriander_core::MonotonicTime;
    /// use coriander_upstream::{PoolSettings, StreamPool, StreamUse};
    ///
    /// let pool = StreamPool::new(PoolSettings::default().with_max_streams(1));
    /// let lease = pool.check_out(StreamUse::Statement, MonotonicTime::ZERO);
    /// assert!(lease.is_some());
    /// assert!(pool.check_out(StreamUse::Statement, MonotonicTime::ZERO).is_none());
    /// ```
    pub fn check_out(&self, purpose: StreamUse, now: MonotonicTime) -> Option<StreamLease> {
        let mut state = self.0.borrow_mut();
        state.record_demand(1, now);
        let limit = state.settings.max_transactions;
        if purpose == StreamUse::Transaction && state.leased.transactions >= limit {
            return None;
        }
        let idle_timeout = state.settings.idle_timeout;
        // The member may have dropped a stream that was idle for longer than the timeout, so its
        // baton must not be used; the member closes the stream itself.
        let baton = state
            .idle
            .pop_back()
            .filter(|stream| now.since(stream.idle_since) < idle_timeout)
            .map(|stream| stream.baton);
        if baton.is_none() && state.counts().total() >= state.settings.max_streams {
            return None;
        }
        Some(self.lease(&mut state, purpose, baton))
    }

    /// Returns a lease for opening a stream before it is needed, or `None` if enough are open.
    ///
    /// The holder sends an empty pipeline, calls [`StreamLease::set_baton`] and checks it in.
    ///
    /// ```
    /// use coriander_core::MonotonicTime;
    /// use coriander_upstream::{PoolSettings, StreamPool};
    ///
    /// let pool = StreamPool::new(PoolSettings::default().with_min_streams(1));
    /// let lease = pool.warm_up(MonotonicTime::ZERO).expect("one stream is kept open");
    /// assert!(pool.warm_up(MonotonicTime::ZERO).is_none());
    /// # drop(lease);
    /// ```
    pub fn warm_up(&self, now: MonotonicTime) -> Option<StreamLease> {
        let mut state = self.0.borrow_mut();
        let target = state.target_streams(now);
        if state.counts().total() >= target {
            return None;
        }
        Some(self.lease(&mut state, StreamUse::WarmUp, None))
    }

    /// Returns a lease of a stream that must be closed at the member, if there is one.
    ///
    /// The holder sends a close request and drops the lease.
    pub fn next_to_close(&self, now: MonotonicTime) -> Option<StreamLease> {
        let mut state = self.0.borrow_mut();
        while let Some(oldest) = state.idle.front() {
            // Expired streams are replaced by warm-up before the member drops them.
            let is_expired = now.since(oldest.idle_since) >= state.settings.idle_timeout;
            let counts = state.counts();
            let is_over_limit = counts.total() - counts.closing > state.settings.max_streams;
            if !is_expired && !is_over_limit {
                break;
            }
            if let Some(stream) = state.idle.pop_front() {
                state.closing.push_back(stream.baton);
            }
        }
        let baton = state.closing.pop_front()?;
        Some(self.lease(&mut state, StreamUse::Close, Some(baton)))
    }

    /// Discards all streams after the member restarted or lost its role.
    ///
    /// Streams that are leased are discarded when their lease is checked in or dropped.
    ///
    /// ```
    /// use coriander_core::MonotonicTime;
    /// use coriander_upstream::{PoolSettings, StreamPool, StreamUse};
    ///
    /// let pool = StreamPool::new(PoolSettings::default());
    /// let mut lease = pool.check_out(StreamUse::Statement, MonotonicTime::ZERO).expect("free");
    /// lease.set_baton("baton".into());
    /// pool.reset();
    /// lease.check_in(MonotonicTime::ZERO);
    /// assert_eq!(pool.counts().total(), 0);
    /// ```
    pub fn reset(&self) {
        let mut state = self.0.borrow_mut();
        state.generation += 1;
        state.idle.clear();
        state.closing.clear();
    }

    /// Changes the maximum number of open streams; excess idle streams are closed.
    pub fn set_max_streams(&self, count: usize) {
        self.0.borrow_mut().settings.max_streams = count;
    }

    /// Changes the number of streams that are kept open without demand.
    pub fn set_min_streams(&self, count: usize) {
        self.0.borrow_mut().settings.min_streams = count;
    }

    /// Returns the number of streams by state.
    pub fn counts(&self) -> PoolCounts {
        self.0.borrow().counts()
    }

    fn lease(
        &self,
        state: &mut PoolState,
        purpose: StreamUse,
        baton: Option<String>,
    ) -> StreamLease {
        *state.leased_count(purpose) += 1;
        StreamLease {
            pool: self.clone(),
            generation: state.generation,
            purpose,
            baton,
        }
    }
}

/// Exclusive use of one stream.
///
/// Dropping the lease discards the stream, because its state at the member is not known after an
/// error or a cancelled request.
pub struct StreamLease {
    pool: StreamPool,
    generation: u64,
    purpose: StreamUse,
    baton: Option<String>,
}

impl StreamLease {
    /// Returns the baton for the next request; `None` opens a new stream.
    pub fn baton(&self) -> Option<&str> {
        self.baton.as_deref()
    }

    /// Returns the purpose of the lease.
    pub fn purpose(&self) -> StreamUse {
        self.purpose
    }

    /// Sets the baton of the last response.
    pub fn set_baton(&mut self, baton: String) {
        self.baton = Some(baton);
    }

    /// Changes the purpose from a statement to the transaction that the statement began.
    ///
    /// ```
    /// use coriander_core::MonotonicTime;
    /// use coriander_upstream::{PoolSettings, StreamPool, StreamUse};
    ///
    /// let pool = StreamPool::new(PoolSettings::default());
    /// let mut lease = pool.check_out(StreamUse::Statement, MonotonicTime::ZERO).expect("free");
    /// lease.begin_transaction();
    /// assert_eq!(pool.counts().transactions, 1);
    /// ```
    pub fn begin_transaction(&mut self) {
        let mut state = self.pool.0.borrow_mut();
        *state.leased_count(self.purpose) -= 1;
        self.purpose = StreamUse::Transaction;
        *state.leased_count(self.purpose) += 1;
    }

    /// Clears the baton after the member has closed the stream; the next request opens a new one.
    pub fn clear_baton(&mut self) {
        self.baton = None;
    }

    /// Returns the stream to the pool.
    ///
    /// No transaction may be open on it. Without a baton there is no open stream, so the lease
    /// only stops counting towards the maximum.
    pub fn check_in(mut self, now: MonotonicTime) {
        let baton = self.baton.take();
        let mut state = self.pool.0.borrow_mut();
        let Some(baton) = baton else { return };
        if state.generation != self.generation || self.purpose == StreamUse::Close {
            return;
        }
        // The lease itself counts until it is dropped at the end of this call.
        if state.counts().total() > state.settings.max_streams {
            state.closing.push_back(baton);
        } else {
            state.idle.push_back(IdleStream {
                baton,
                idle_since: now,
            });
        }
    }

    /// Ends the lease of a stream whose baton is still valid and queues the stream for closing at
    /// the member.
    ///
    /// Closing also rolls back a transaction that is open on the stream.
    ///
    /// ```
    /// use coriander_core::MonotonicTime;
    /// use coriander_upstream::{PoolSettings, StreamPool, StreamUse};
    ///
    /// let pool = StreamPool::new(PoolSettings::default());
    /// let now = MonotonicTime::ZERO;
    /// let mut lease = pool.check_out(StreamUse::Transaction, now).expect("free");
    /// lease.set_baton("baton".into());
    /// lease.close();
    /// let closing = pool.next_to_close(now).expect("the stream has to be closed");
    /// assert_eq!(closing.baton(), Some("baton"));
    /// ```
    pub fn close(mut self) {
        if let Some(baton) = self.baton.take()
            && self.pool.0.borrow().generation == self.generation
        {
            self.pool.0.borrow_mut().closing.push_back(baton);
        }
    }
}

impl Drop for StreamLease {
    fn drop(&mut self) {
        let mut state = self.pool.0.borrow_mut();
        *state.leased_count(self.purpose) -= 1;
    }
}
