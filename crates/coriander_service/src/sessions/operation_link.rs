//! The connection of one operation, on this instance or on its home instance.

use std::net::SocketAddr;
use std::rc::Rc;

use crate::BootClock;
use crate::fleet::relay_messages::StreamNumber;
use crate::members::database_group::DatabaseGroup;
use crate::members::held_connection::{HeldConnection, OutstandingStatement};
use crate::members::member::{Member, RequestGuard};
use crate::members::member_pool::PoolError;
use crate::service::SessionService;
use crate::sessions::exchange::{ExchangeError, ExchangeOutcome, ExchangePlan};
use crate::usage::begun_operation::exchange_counted;

enum LinkLocation {
    /// No connection has been acquired.
    None,
    Local(Box<HeldConnection>),
    /// A connection reserved on the home instance.
    Relayed {
        address: SocketAddr,
        stream: StreamNumber,
        _request_guard: RequestGuard,
    },
}

/// The connection of one operation. Dropping it rolls back an open transaction.
pub struct OperationLink {
    service: Rc<SessionService>,
    group: Rc<DatabaseGroup>,
    /// Member that executes the operation.
    pub member: Rc<Member>,
    location: LinkLocation,
    /// Home instance that executed the last exchange; `None` if this instance did.
    last_home_instance: Option<SocketAddr>,
}

impl OperationLink {
    /// Creates a link to a member. The first exchange acquires a connection.
    pub fn new(
        service: &Rc<SessionService>,
        group: &Rc<DatabaseGroup>,
        member: &Rc<Member>,
    ) -> Self {
        Self {
            service: service.clone(),
            group: group.clone(),
            member: member.clone(),
            location: LinkLocation::None,
            last_home_instance: None,
        }
    }

    /// Returns the home instance that executed the last exchange; `None` if this instance did.
    pub const fn last_home_instance(&self) -> Option<SocketAddr> {
        self.last_home_instance
    }

    /// Executes a plan.
    pub async fn exchange(&mut self, plan: &ExchangePlan) -> ExchangeOutcome {
        let sent_at = BootClock.now();
        let outcome = self.exchange_at_location(plan).await;
        if let Some(position) = outcome.primary_position {
            self.group.record_position(sent_at, position);
        }
        outcome
    }

    async fn exchange_at_location(&mut self, plan: &ExchangePlan) -> ExchangeOutcome {
        let started = BootClock.now();
        match std::mem::replace(&mut self.location, LinkLocation::None) {
            LinkLocation::Local(held) => self.exchange_local(held, plan).await,
            LinkLocation::Relayed {
                address,
                stream,
                _request_guard,
            } => {
                self.exchange_relayed(address, stream, _request_guard, true, plan)
                    .await
            }
            LinkLocation::None => {
                if let Some(address) = self.service.home_instance(&self.member, &plan.account) {
                    let stream = self.service.relay.new_stream();
                    let request_guard = self.member.begin_request();
                    let outcome = self
                        .exchange_relayed(address, stream, request_guard, false, plan)
                        .await;
                    let not_reached = matches!(
                        outcome.result,
                        Err(ExchangeError::NotSent(PoolError::HomeUnavailable))
                    );
                    if !not_reached {
                        return outcome;
                    }
                }
                self.last_home_instance = None;
                // The home instance may have held the request up before it gave up.
                let mut plan = plan.clone();
                plan.limit_time(
                    plan.time_limit
                        .saturating_sub(BootClock.now().since(started)),
                );
                if !self.group.resolve_age(&mut plan, BootClock.now()) {
                    let error = ExchangeError::NotSent(PoolError::PositionUnknown);
                    return ExchangeOutcome::failed(error);
                }
                match HeldConnection::acquire(&self.member, &plan).await {
                    Ok(held) => self.exchange_local(Box::new(held), &plan).await,
                    Err(error) => ExchangeOutcome::failed(ExchangeError::NotSent(error)),
                }
            }
        }
    }

    async fn exchange_local(
        &mut self,
        mut held: Box<HeldConnection>,
        plan: &ExchangePlan,
    ) -> ExchangeOutcome {
        let outcome = exchange_counted(&self.service, &mut held, plan).await;
        if outcome.keeps_connection(plan) {
            self.location = LinkLocation::Local(held);
        }
        outcome
    }

    async fn exchange_relayed(
        &mut self,
        address: SocketAddr,
        stream: StreamNumber,
        request_guard: RequestGuard,
        must_exist: bool,
        plan: &ExchangePlan,
    ) -> ExchangeOutcome {
        let relay = &self.service.relay;
        self.last_home_instance = Some(address);
        let stream_guard = StreamGuard {
            service: &self.service,
            address,
            stream,
            armed: plan.keep_reserved,
        };
        let sent_at = BootClock.now();
        let outstanding = OutstandingStatement::new(&self.member, sent_at);
        let capacity = self.member.capacity.as_ref();
        let mut compact = plan.compact(must_exist);
        compact.capacity = capacity.and_then(|capacity| capacity.notice(plan, sent_at));
        let outcome = relay
            .exchange(address, stream, must_exist, compact, sent_at)
            .await;
        drop(outstanding);
        let now = BootClock.now();
        if let Some(capacity) = &self.member.capacity {
            capacity.record_relayed(&outcome, sent_at, now);
        }
        match &outcome.result {
            Ok(_) | Err(ExchangeError::Declined(..)) => self.member.record_success(now),
            Err(ExchangeError::NotSent(PoolError::Connect(link))) if link.is_unreachable() => {
                self.member.record_failure(now);
            }
            Err(ExchangeError::NotSent(_) | ExchangeError::NoReply(_)) => {}
        }
        if outcome.keeps_connection(plan) {
            stream_guard.disarm();
            self.location = LinkLocation::Relayed {
                address,
                stream,
                _request_guard: request_guard,
            };
        } else if matches!(outcome.result, Ok(_) | Err(ExchangeError::Declined(..))) {
            // The exchange ran, so that the home instance has released the stream as well.
            stream_guard.disarm();
        }
        outcome
    }
}

impl Drop for OperationLink {
    fn drop(&mut self) {
        if let LinkLocation::Relayed {
            address, stream, ..
        } = &self.location
        {
            self.service.relay.end_stream(*address, *stream);
        }
    }
}

/// Ends a stream on its home instance when dropped, unless disarmed.
struct StreamGuard<'a> {
    service: &'a Rc<SessionService>,
    address: SocketAddr,
    stream: StreamNumber,
    armed: bool,
}

impl StreamGuard<'_> {
    fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for StreamGuard<'_> {
    fn drop(&mut self) {
        if self.armed {
            self.service.relay.end_stream(self.address, self.stream);
        }
    }
}
