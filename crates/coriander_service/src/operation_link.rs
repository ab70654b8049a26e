//! The connection of one operation, on this instance or on another one.

use std::net::SocketAddr;
use std::rc::Rc;

use crate::ServiceClock;
use crate::database_group::DatabaseGroup;
use crate::exchange::{ExchangeError, ExchangeOutcome, ExchangePlan};
use crate::held_connection::{HeldConnection, SentStatement};
use crate::member::{Member, RequestCount};
use crate::member_pool::PoolError;
use crate::relay::StreamNumber;
use crate::service::SessionService;

enum LinkPlace {
    /// No connection has been taken yet.
    None,
    Here(Box<HeldConnection>),
    /// On a home instance.
    Home {
        address: SocketAddr,
        stream: StreamNumber,
        _count: RequestCount,
    },
}

/// The connection of one operation; dropping it rolls back an open transaction.
pub struct OperationLink {
    service: Rc<SessionService>,
    group: Rc<DatabaseGroup>,
    /// The member.
    pub member: Rc<Member>,
    place: LinkPlace,
    /// Instance that carried out the last exchange, if it was not this one.
    last_home: Option<SocketAddr>,
}

impl OperationLink {
    /// Creates a link to a member; a connection is taken with the first exchange.
    pub fn new(
        service: &Rc<SessionService>,
        group: &Rc<DatabaseGroup>,
        member: &Rc<Member>,
    ) -> Self {
        Self {
            service: service.clone(),
            group: group.clone(),
            member: member.clone(),
            place: LinkPlace::None,
            last_home: None,
        }
    }

    /// Returns the instance that carried out the last exchange, if it was not this one.
    pub const fn last_home(&self) -> Option<SocketAddr> {
        self.last_home
    }

    /// Carries out a plan.
    pub async fn exchange(&mut self, plan: &ExchangePlan) -> ExchangeOutcome {
        let sent_at = ServiceClock.now();
        let outcome = self.exchange_placed(plan).await;
        if let Some(position) = outcome.leader_position {
            self.group.record_position(sent_at, position);
        }
        outcome
    }

    async fn exchange_placed(&mut self, plan: &ExchangePlan) -> ExchangeOutcome {
        match std::mem::replace(&mut self.place, LinkPlace::None) {
            LinkPlace::Here(held) => self.exchange_here(held, plan).await,
            LinkPlace::Home {
                address,
                stream,
                _count,
            } => {
                self.exchange_home(address, stream, _count, true, plan)
                    .await
            }
            LinkPlace::None => {
                if let Some(address) = self.service.home_of(&self.member, &plan.account) {
                    let stream = self.service.relay.new_stream();
                    let count = self.member.begin_request();
                    let outcome = self
                        .exchange_home(address, stream, count, false, plan)
                        .await;
                    let not_reached = matches!(
                        outcome.result,
                        Err(ExchangeError::NotSent(PoolError::Relay))
                    );
                    if !not_reached {
                        return outcome;
                    }
                }
                self.last_home = None;
                match HeldConnection::acquire(&self.member, plan).await {
                    Ok(held) => self.exchange_here(Box::new(held), plan).await,
                    Err(error) => ExchangeOutcome::failed(ExchangeError::NotSent(error)),
                }
            }
        }
    }

    async fn exchange_here(
        &mut self,
        mut held: Box<HeldConnection>,
        plan: &ExchangePlan,
    ) -> ExchangeOutcome {
        let outcome = held.exchange(plan).await;
        if outcome.keeps_connection(plan) {
            self.place = LinkPlace::Here(held);
        }
        outcome
    }

    async fn exchange_home(
        &mut self,
        address: SocketAddr,
        stream: StreamNumber,
        count: RequestCount,
        continues: bool,
        plan: &ExchangePlan,
    ) -> ExchangeOutcome {
        let relay = &self.service.relay;
        self.last_home = Some(address);
        let guard = HomeStream {
            service: &self.service,
            address,
            stream,
            armed: plan.keep,
        };
        let sent = SentStatement::new(&self.member, ServiceClock.now());
        let outcome = relay.exchange(address, stream, continues, plan).await;
        drop(sent);
        let now = ServiceClock.now();
        match &outcome.result {
            Ok(_) | Err(ExchangeError::Declined(..)) => self.member.record_success(now),
            Err(ExchangeError::NotSent(PoolError::Connect(link))) if link.is_unreachable() => {
                self.member.record_failure(now);
            }
            Err(ExchangeError::NotSent(_) | ExchangeError::Unanswered(_)) => {}
        }
        if outcome.keeps_connection(plan) {
            guard.disarm();
            self.place = LinkPlace::Home {
                address,
                stream,
                _count: count,
            };
        }
        outcome
    }
}

impl Drop for OperationLink {
    fn drop(&mut self) {
        if let LinkPlace::Home {
            address, stream, ..
        } = &self.place
        {
            self.service.relay.end(*address, *stream);
        }
    }
}

/// Ends a stream on its home unless the operation goes on.
struct HomeStream<'a> {
    service: &'a Rc<SessionService>,
    address: SocketAddr,
    stream: StreamNumber,
    armed: bool,
}

impl HomeStream<'_> {
    fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for HomeStream<'_> {
    fn drop(&mut self) {
        if self.armed {
            self.service.relay.end(self.address, self.stream);
        }
    }
}
