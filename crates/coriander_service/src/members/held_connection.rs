//! A connection of this instance that serves one operation.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use coriander_core::{LogPosition, MonotonicTime};
use coriander_service_api::{
    FailureCode, LinkError, MemberReply, MemberStatement, ReplyBatch, SessionValues,
};

use crate::BootClock;
use crate::members::connection_request::ConnectionRequest;
use crate::members::member::{Member, RequestGuard};
use crate::members::member_gate::StatementPermit;
use crate::members::member_pool::PoolError;
use crate::members::pooled_connection::PooledConnection;
use crate::sessions::exchange::{
    ExchangeError, ExchangeOutcome, ExchangePlan, PlannedBegin, PlannedStatement,
};

/// Timeout of the rollback of an abandoned transaction.
const ROLLBACK_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A connection that serves one operation. Dropping it rolls back and releases it.
pub struct HeldConnection {
    member: Rc<Member>,
    connection: Option<PooledConnection>,
    /// Whether a transaction is open on it.
    in_transaction: bool,
    /// Time for which the first exchange waited in an ordered queue. The time limit of its plan
    /// includes it.
    waited: Duration,
    /// Permit of the first statement until it runs, where the statements at a member are limited.
    permit: Option<StatementPermit>,
    _request_guard: RequestGuard,
}

impl HeldConnection {
    /// Acquires a connection for a plan.
    pub async fn acquire(member: &Rc<Member>, plan: &ExchangePlan) -> Result<Self, PoolError> {
        let request_guard = member.begin_request();
        let capacity = member.capacity.as_ref();
        let waiting = capacity.map(|capacity| capacity.begin(BootClock.now()));
        let started = BootClock.now();
        let request = ConnectionRequest::new(plan, started);
        let result = member.pool.acquire(&request).await;
        drop(waiting);
        match result {
            // The member may have started to leave during the wait.
            Ok(connection) if !member.may_start(plan.needs_primary(), BootClock.now()) => {
                member.pool.return_unused(connection);
                Err(PoolError::MemberLeaving)
            }
            Ok(mut connection) => Ok(Self {
                permit: StatementPermit::take(&member.pool, &mut connection),
                member: member.clone(),
                connection: Some(connection),
                in_transaction: false,
                waited: if member.pool.is_ordered() {
                    BootClock.now().since(started)
                } else {
                    Duration::ZERO
                },
                _request_guard: request_guard,
            }),
            Err(error) => {
                if let PoolError::Connect(link) = &error
                    && link.is_unreachable()
                {
                    member.record_failure(BootClock.now());
                }
                Err(error)
            }
        }
    }

    /// Returns the availability zone of the member.
    pub fn zone(&self) -> Arc<str> {
        self.member.zone()
    }

    /// Executes a plan and records what it shows about the member.
    pub async fn exchange(&mut self, plan: &ExchangePlan) -> ExchangeOutcome {
        let member = self.member.clone();
        let Some(capacity) = &member.capacity else {
            return self.execute(plan, plan.time_limit).await;
        };
        let started = BootClock.now();
        let running = capacity.begin(started);
        // Further statements of a transaction run at once: others may wait for its locks.
        let permit = self.permit.take();
        let permit = permit.or_else(|| StatementPermit::begin(&member.pool, started));
        if let Some(permit) = &permit {
            permit.set_counts_until(started + capacity.overdue_time(plan));
        }
        let mut outcome = self.execute(plan, capacity.time_limit(plan, started)).await;
        drop(running);
        let now = BootClock.now();
        capacity.record_local(plan, &mut outcome, started, now);
        member.pool.set_statement_limit(capacity.statement_limit());
        drop(permit);
        outcome
    }

    async fn execute(&mut self, plan: &ExchangePlan, time_limit: Duration) -> ExchangeOutcome {
        let started = BootClock.now();
        let time_limit = time_limit.saturating_sub(std::mem::take(&mut self.waited));
        let outcome = self.execute_until(plan, started + time_limit).await;
        let took = BootClock.now().since(started);
        self.member.pool.record_exchange(took);
        outcome
    }

    async fn execute_until(
        &mut self,
        plan: &ExchangePlan,
        deadline: MonotonicTime,
    ) -> ExchangeOutcome {
        let mut primary_position = None;
        if let Some(begin) = plan.begin {
            match self.begin(begin, deadline).await {
                Ok(position) => primary_position = position,
                Err(error) => return ExchangeOutcome::failed(error),
            }
        }
        let result = self.run_statement(plan, deadline).await;
        if let Ok(reply) = &result
            && reply.result.is_ok()
        {
            self.in_transaction &= !plan.statement.commits;
            if plan.statement.writes {
                primary_position = reply.position;
            }
        }
        ExchangeOutcome {
            result,
            primary_position,
            capacity: None,
        }
    }

    /// Starts a transaction. Returns the log position of the member if it has confirmed that it is
    /// the primary.
    async fn begin(
        &mut self,
        begin: PlannedBegin,
        deadline: MonotonicTime,
    ) -> Result<Option<LogPosition>, ExchangeError> {
        let statement = MemberStatement::Begin {
            read_only: begin.read_only,
            min_position: begin.min_position,
        };
        let reply = self.send(statement, deadline).await;
        // A transaction that may have been opened ends with the connection.
        let reply = reply.map_err(|error| ExchangeError::NotSent(PoolError::Connect(error)))?;
        if let Err(refusal) = reply.result {
            return Err(ExchangeError::Declined(refusal.code, reply.position));
        }
        self.in_transaction = true;
        Ok(reply.position.filter(|_| !begin.read_only))
    }

    /// Runs a client's statement after applying session values and preparing its name.
    async fn run_statement(
        &mut self,
        plan: &ExchangePlan,
        deadline: MonotonicTime,
    ) -> Result<MemberReply, ExchangeError> {
        let statement = &plan.statement;
        let remaining = deadline.since(BootClock.now());
        let prepared = self.prepare(statement, &plan.values, remaining).await;
        let name = prepared.map_err(|error| match error {
            LinkError::Declined(refusal) => ExchangeError::Declined(refusal.code, None),
            error => {
                self.discard_connection(&error);
                ExchangeError::NotSent(PoolError::Connect(error))
            }
        })?;
        let rendered = render_statement(statement, name, plan.min_position);
        let ends_transaction = plan.begin.is_some() && !plan.keep_reserved;
        let reply = if ends_transaction {
            self.send_with_rollback(rendered, deadline).await
        } else {
            self.send(rendered, deadline).await
        };
        let reply = reply.map_err(ExchangeError::NoReply)?;
        if let (Err(refusal), Some((shape, _))) = (&reply.result, &statement.prepared)
            && refusal.code == FailureCode::UnknownName
            && let Some(connection) = &mut self.connection
        {
            connection.remove_prepared(shape);
        }
        Ok(reply)
    }

    async fn prepare(
        &mut self,
        statement: &PlannedStatement,
        values: &SessionValues,
        remaining: Duration,
    ) -> Result<Option<Arc<str>>, LinkError> {
        let Some(connection) = &mut self.connection else {
            return Err(connection_closed());
        };
        connection.apply_values(values, remaining).await?;
        match &statement.prepared {
            Some((shape, _)) => connection.prepare(shape, remaining).await.map(Some),
            None => Ok(None),
        }
    }

    async fn send(
        &mut self,
        statement: MemberStatement,
        deadline: MonotonicTime,
    ) -> Result<MemberReply, LinkError> {
        let replies = self.send_all(&[statement], deadline).await?;
        let reply = replies.into_iter().next();
        reply.ok_or_else(|| LinkError::Invalid("no reply".into()))
    }

    /// Sends the only statement of a transaction together with the rollback, which saves a round
    /// trip.
    async fn send_with_rollback(
        &mut self,
        statement: MemberStatement,
        deadline: MonotonicTime,
    ) -> Result<MemberReply, LinkError> {
        let statements = [statement, MemberStatement::Rollback];
        let mut replies = self.send_all(&statements, deadline).await?.into_iter();
        let (Some(reply), Some(rollback)) = (replies.next(), replies.next()) else {
            return Err(LinkError::Invalid("too few replies".into()));
        };
        // After a failed rollback the drop of the connection rolls back again.
        self.in_transaction = rollback.result.is_err();
        Ok(reply)
    }

    async fn send_all(
        &mut self,
        statements: &[MemberStatement],
        deadline: MonotonicTime,
    ) -> Result<ReplyBatch, LinkError> {
        let sent_at = BootClock.now();
        let remaining = deadline.since(sent_at);
        let Some(connection) = &mut self.connection else {
            return Err(connection_closed());
        };
        let outstanding = OutstandingStatement::new(&self.member, sent_at);
        let result = connection.run(statements, remaining).await;
        drop(outstanding);
        match &result {
            Ok(_) => self.member.record_success(BootClock.now()),
            Err(error) => self.discard_connection(error),
        }
        result
    }

    /// Closes the connection. Single replies and connections can be lost, so only the next
    /// connection attempt or health probe decides whether the member is down.
    fn discard_connection(&mut self, error: &LinkError) {
        log::info!(member = &*self.member.id, error:% = error; "connection to a member closed");
        if !matches!(error, LinkError::ReplyTimeout(_) | LinkError::NoMemory) {
            self.member.suspect_restart(BootClock.now());
        }
        self.in_transaction = false;
        if let Some(connection) = self.connection.take() {
            self.member.pool.discard(connection);
        }
    }
}

fn connection_closed() -> LinkError {
    LinkError::ConnectionLost("connection is already closed".into())
}

fn render_statement(
    statement: &PlannedStatement,
    name: Option<Arc<str>>,
    min_position: Option<LogPosition>,
) -> MemberStatement {
    let id = statement.id.clone();
    match (&statement.prepared, name) {
        (Some((_, arguments)), Some(name)) => MemberStatement::Execute {
            id,
            name,
            arguments: arguments.clone(),
            min_position,
        },
        _ => MemberStatement::Forward {
            id,
            text: statement.text.clone(),
            min_position,
        },
    }
}

impl Drop for HeldConnection {
    fn drop(&mut self) {
        let Some(mut connection) = self.connection.take() else {
            return;
        };
        let member = self.member.clone();
        if !self.in_transaction || !connection.is_reusable() {
            member.pool.release(connection);
            return;
        }
        ntex::rt::spawn(async move {
            let rollback = [MemberStatement::Rollback];
            let result = connection.run(&rollback, ROLLBACK_TIMEOUT).await;
            let ended = result.is_ok_and(|replies| replies.iter().all(|r| r.result.is_ok()));
            if ended {
                member.pool.release(connection);
            } else {
                // Closing the connection rolls back as well.
                member.pool.discard(connection);
            }
        });
    }
}

/// Counts a statement as outstanding until it is dropped.
pub struct OutstandingStatement {
    member: Rc<Member>,
    sent_at: MonotonicTime,
}

impl OutstandingStatement {
    /// Records a statement sent at `sent_at`.
    pub fn new(member: &Rc<Member>, sent_at: MonotonicTime) -> Self {
        member.record_statement_sent(sent_at);
        Self {
            member: member.clone(),
            sent_at,
        }
    }
}

impl Drop for OutstandingStatement {
    fn drop(&mut self) {
        self.member.record_statement_end(self.sent_at);
    }
}
