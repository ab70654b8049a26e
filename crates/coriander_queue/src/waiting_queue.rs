//! Order of the requests that wait for connections to one member.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;

use coriander_core::MonotonicTime;

use crate::account_shares::{AccountShares, ShareStanding};
use crate::decayed_rate::DecayedRate;
use crate::queued_request::{QueuedRequest, RequestTicket};
use crate::statement_gate::StatementGate;

/// Maximum number of waiting requests. With more of them, the order would cost more than it gives.
const MAX_WAITING: usize = 512;

/// Window of the arrival rates from which the room for a request is predicted.
const ARRIVAL_WINDOW: Duration = Duration::from_millis(500);

/// Maximum fraction of the room that predictions give to later requests. The rest covers gaps
/// between arrivals.
const MAX_OVERTAKEN_FRACTION: f64 = 0.9;

/// How fast the connections of a pool become free.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceRate {
    /// Number of connections that serve the queue.
    pub connections: usize,
    /// Number of connections that are free, are being opened or may be opened.
    pub available: usize,
    /// Mean time for which a request holds its connection. A transaction holds it during the pauses
    /// between its statements as well.
    pub mean_hold: Duration,
    /// Mean time of the exchange of one statement.
    pub mean_exchange: Duration,
}

impl ServiceRate {
    /// Returns the mean time between two connections that become free.
    ///
    /// ```
    /// use std::time::Duration;
    /// use coriander_queue::ServiceRate;
    ///
    /// let rate = ServiceRate {
    ///     connections: 4,
    ///     available: 0,
    ///     mean_hold: Duration::from_millis(20),
    ///     mean_exchange: Duration::from_millis(20),
    /// };
    /// assert_eq!(rate.interval(), Duration::from_millis(5));
    /// ```
    pub fn interval(&self) -> Duration {
        self.mean_hold.div_f64(self.connections.max(1) as f64)
    }

    /// Returns the rate of a pool that also lets only as many statements through as a gate has room
    /// for: that of the scarcer of the two.
    #[must_use]
    pub fn limited_by(self, gate: &StatementGate, now: MonotonicTime) -> Self {
        let available = self.available.min(gate.room(now));
        let by_gate = Self {
            connections: gate.expected_places(),
            mean_hold: gate.mean_operation(),
            ..self
        };
        let scarcer = if by_gate.interval() > self.interval() {
            by_gate
        } else {
            self
        };
        Self {
            available,
            ..scarcer
        }
    }

    /// Returns how many of the requests before one have to end before it gets a connection.
    fn waits_for(&self, ahead: usize) -> u32 {
        u32::try_from(ahead.saturating_sub(self.available)).unwrap_or(u32::MAX)
    }
}

/// Place of a request in the order of service; the lowest is served first.
#[derive(Clone, Copy, Debug)]
struct RequestRank {
    is_late: bool,
    is_excessive: bool,
    priority: u32,
    is_above_share: bool,
    due: MonotonicTime,
    ticket: RequestTicket,
}

impl RequestRank {
    fn compare(&self, other: &Self) -> Ordering {
        self.key().cmp(&other.key())
    }

    fn key(&self) -> (bool, bool, u32, bool, MonotonicTime, RequestTicket) {
        (
            self.is_late,
            self.is_excessive,
            self.priority,
            self.is_above_share,
            self.due,
            self.ticket,
        )
    }
}

/// Requests that wait for connections to one member.
///
/// Requests that can still meet their latency target come before those that are late. Those of an
/// account that sends far more than usual and has more than its share come after the others'; then
/// the priority decides. Within a priority, accounts within their share come first, and then the
/// request that is due first. A request is refused as soon as those before it, and those that will
/// arrive and overtake it, leave no room until its deadline; this refuses the lowest priority first.
///
/// ```
/// use coriander_core::MonotonicTime;
/// use coriander_queue::{QueuedRequest, WaitingQueue};
///
/// let now = MonotonicTime::from_millis(0);
/// let request = |priority| QueuedRequest {
///     account: "harbour".into(),
///     weight: 1,
///     priority,
///     target: MonotonicTime::from_millis(200),
///     deadline: MonotonicTime::from_millis(700),
///     finish_by: MonotonicTime::from_millis(800),
/// };
/// let mut queue = WaitingQueue::default();
/// queue.enqueue(request(2), now);
/// let urgent = queue.enqueue(request(0), now);
/// assert_eq!(queue.first(now), Some(urgent));
/// ```
#[derive(Clone, Debug, Default)]
pub struct WaitingQueue {
    requests: BTreeMap<RequestTicket, QueuedRequest>,
    shares: AccountShares,
    /// Arrivals by priority, without those that wait behind all others.
    arrivals: BTreeMap<u32, DecayedRate>,
    last_number: u64,
}

impl WaitingQueue {
    /// Adds a request that has arrived at `now`.
    pub fn enqueue(&mut self, request: QueuedRequest, now: MonotonicTime) -> RequestTicket {
        self.record_arrival(&request, now);
        self.last_number += 1;
        let ticket = RequestTicket(self.last_number);
        self.requests.insert(ticket, request);
        ticket
    }

    /// Records a request that gets a connection without waiting.
    pub fn record_immediate(&mut self, request: &QueuedRequest, now: MonotonicTime) {
        self.record_arrival(request, now);
        self.shares.record_service(&request.account, now);
    }

    fn record_arrival(&mut self, request: &QueuedRequest, now: MonotonicTime) {
        self.shares.record_request(request, now);
        let mean_service = self.shares.mean_service(now);
        if self.shares.standing(&request.account, mean_service, now) == ShareStanding::Excessive {
            return;
        }
        let arrivals = self.arrivals.entry(request.priority);
        let arrivals = arrivals.or_insert_with(|| DecayedRate::new(ARRIVAL_WINDOW, now));
        arrivals.record(now);
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns a waiting request.
    pub fn get(&self, ticket: RequestTicket) -> Option<&QueuedRequest> {
        self.requests.get(&ticket)
    }

    /// Returns the request to serve next.
    pub fn first(&self, now: MonotonicTime) -> Option<RequestTicket> {
        self.ranks(now, |_| true)
            .min_by(RequestRank::compare)
            .map(|rank| rank.ticket)
    }

    /// Returns the request of an account to serve next.
    pub fn first_of_account(&self, account: &str, now: MonotonicTime) -> Option<RequestTicket> {
        self.ranks(now, |request| &*request.account == account)
            .min_by(RequestRank::compare)
            .map(|rank| rank.ticket)
    }

    /// Returns all waiting requests in the order of service.
    pub fn in_order(&self, now: MonotonicTime) -> Vec<RequestTicket> {
        let mut ranks: Vec<_> = self.ranks(now, |_| true).collect();
        ranks.sort_unstable_by(RequestRank::compare);
        ranks.into_iter().map(|rank| rank.ticket).collect()
    }

    fn ranks(
        &self,
        now: MonotonicTime,
        filter: impl Fn(&QueuedRequest) -> bool,
    ) -> impl Iterator<Item = RequestRank> {
        let mean_service = self.shares.mean_service(now);
        let requests = self
            .requests
            .iter()
            .filter(move |(_, request)| filter(request));
        requests.map(move |(ticket, request)| {
            let standing = self.shares.standing(&request.account, mean_service, now);
            let is_late = now >= request.target;
            RequestRank {
                is_late,
                is_excessive: standing == ShareStanding::Excessive,
                priority: request.priority,
                is_above_share: standing >= ShareStanding::Above,
                due: if is_late {
                    request.deadline
                } else {
                    request.target
                },
                ticket: *ticket,
            }
        })
    }

    /// Removes a request that gets a connection.
    pub fn serve(&mut self, ticket: RequestTicket, now: MonotonicTime) {
        if let Some(request) = self.requests.remove(&ticket) {
            self.shares.record_service(&request.account, now);
        }
    }

    /// Removes a request that is no longer waiting for other reasons.
    pub fn remove(&mut self, ticket: RequestTicket) {
        self.requests.remove(&ticket);
    }

    /// Removes and returns the requests that cannot be served by their deadline, given the order of
    /// service, and those above the limit of the queue. A request for which a connection is available
    /// is refused only after its deadline: the means may be out of date, and only requests that are
    /// served correct them.
    pub fn refuse_unservable(
        &mut self,
        rate: ServiceRate,
        now: MonotonicTime,
    ) -> Vec<RequestTicket> {
        let mut ranks: Vec<_> = self.ranks(now, |_| true).collect();
        ranks.sort_unstable_by(RequestRank::compare);
        let mut ahead = 0;
        let mut refused = Vec::new();
        for rank in ranks {
            let interval = rate
                .interval()
                .div_f64(self.remaining_fraction(&rank, rate, now));
            let starts_at = now + interval.saturating_mul(rate.waits_for(ahead));
            let request = &self.requests[&rank.ticket];
            let is_over = now >= request.deadline;
            let cannot_end =
                starts_at > request.deadline || starts_at + rate.mean_exchange > request.finish_by;
            let has_no_room = ahead >= rate.available && cannot_end;
            if is_over || has_no_room || ahead >= MAX_WAITING {
                refused.push(rank.ticket);
            } else {
                ahead += 1;
            }
        }
        self.shares.forget_idle(now);
        for ticket in &refused {
            self.requests.remove(ticket);
        }
        refused
    }

    /// Returns the fraction of the room that arrivals which overtake a request leave to it.
    fn remaining_fraction(&self, rank: &RequestRank, rate: ServiceRate, now: MonotonicTime) -> f64 {
        let overtaking = self
            .arrivals
            .iter()
            .filter(|(priority, _)| rank.is_late || **priority < rank.priority);
        let per_second: f64 = overtaking.map(|(_, rate)| rate.per_second(now)).sum();
        let overtaken = per_second * rate.interval().as_secs_f64();
        1.0 - overtaken.min(MAX_OVERTAKEN_FRACTION)
    }

    /// Returns the expected wait of a request behind all waiting ones.
    pub fn expected_wait(&self, rate: ServiceRate) -> Duration {
        rate.interval()
            .saturating_mul(rate.waits_for(self.requests.len()))
    }
}
