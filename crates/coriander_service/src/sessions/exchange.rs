//! One exchange with a member, as a plan that any instance can execute.

use std::sync::Arc;
use std::time::Duration;

use coriander_capacity::CapacityNotice;
use coriander_core::LogPosition;
use coriander_service_api::{
    FailureCode, LinkError, MemberReply, PreparedShape, SessionValues, TransactionStatus,
};
use coriander_wire::{option_wire_duration, wire_duration};
use serde::{Deserialize, Serialize};

use crate::members::member_pool::PoolError;

/// A statement of a client as a member runs it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PlannedStatement {
    /// Identifier chosen by the client.
    pub id: Arc<str>,
    /// Text sent by the client.
    pub text: Arc<str>,
    /// Shape and arguments of a prepared statement.
    pub prepared: Option<(PreparedShape, Arc<str>)>,
    /// Whether it writes.
    pub writes: bool,
    /// Whether it ends the transaction.
    pub commits: bool,
}

/// Transaction to open before the statement.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct PlannedBegin {
    /// Whether it is read-only, so that replicas accept it.
    pub read_only: bool,
    /// Position that the member's log must contain.
    pub min_position: Option<LogPosition>,
}

/// Plan of an exchange with a member.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ExchangePlan {
    /// Group of the member.
    pub group: Arc<str>,
    /// The member.
    pub member: Arc<str>,
    /// Account for which it runs.
    pub account: Arc<str>,
    /// Values of the session.
    pub values: SessionValues,
    /// Transaction to open first.
    pub begin: Option<PlannedBegin>,
    /// The statement.
    pub statement: PlannedStatement,
    /// Position that the member's log must contain for the statement itself.
    pub min_position: Option<LogPosition>,
    /// Maximum age of the data, where the sender knows no position that the log must contain for it:
    /// the instance that executes the plan fills it in.
    #[serde(with = "option_wire_duration")]
    pub max_age: Option<Duration>,
    /// Priority of waiting requests; lower values are served first.
    pub priority: u32,
    /// Share of the account relative to others, from its rate limit.
    pub account_weight: u32,
    /// Time within which the latency target can still be met; zero if it is missed.
    #[serde(with = "wire_duration")]
    pub target_remaining: Duration,
    /// Maximum wait for a connection.
    #[serde(with = "wire_duration")]
    pub acquire_timeout: Duration,
    /// Time limit of the whole exchange.
    #[serde(with = "wire_duration")]
    pub time_limit: Duration,
    /// Whether the connection stays reserved for further statements of the transaction.
    pub keep_reserved: bool,
    /// Whether a read keeps its whole time limit, because its member was tried before or no other
    /// is left.
    pub runs_whole_time: bool,
    /// On a request to a home instance: members that the sender has set aside.
    pub capacity: Option<Box<CapacityNotice>>,
}

impl ExchangePlan {
    /// Limits the time of the exchange, for one that was held up on its way.
    pub fn limit_time(&mut self, remaining: Duration) {
        self.time_limit = self.time_limit.min(remaining);
        self.acquire_timeout = self.acquire_timeout.min(remaining);
    }

    /// Sets the position that the member's log must contain for the age of the data; `position` is
    /// the lowest one that is known to suffice.
    pub fn resolve_age(&mut self, position: LogPosition) {
        self.max_age = None;
        let min_position = match &mut self.begin {
            Some(begin) => &mut begin.min_position,
            None => &mut self.min_position,
        };
        *min_position = (*min_position).max(Some(position));
    }

    /// Returns the plan as it is sent to the home instance: without the text of a prepared
    /// statement, which follows from its shape and arguments, and, on an open stream, without what
    /// the home instance keeps with the connection.
    pub fn compact(&self, is_stream_open: bool) -> Self {
        let mut plan = self.clone();
        if plan.statement.prepared.is_some() {
            plan.statement.text = "".into();
        }
        if is_stream_open {
            for name in [&mut plan.group, &mut plan.member, &mut plan.account] {
                *name = "".into();
            }
        }
        plan
    }

    /// Returns the size of the text that a member gets, without what its protocol adds.
    pub fn statement_bytes(&self) -> usize {
        let statement = &self.statement;
        let prepared = statement.prepared.as_ref();
        prepared.map_or(statement.text.len(), |(_, arguments)| arguments.len())
    }

    /// Returns whether only the primary may run it. The COMMIT of a transaction that has written
    /// counts as a write.
    pub fn needs_primary(&self) -> bool {
        let opens_read_write = self.begin.is_some_and(|begin| !begin.read_only);
        opens_read_write || self.statement.writes
    }
}

/// Failure of an exchange.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum ExchangeError {
    /// The statement of the client was not sent.
    NotSent(PoolError),
    /// The member refused a preparing statement or the transaction; the statement of the client was
    /// not sent. The position is the end of the member's log.
    Declined(FailureCode, Option<LogPosition>),
    /// The statement was sent and no reply arrived.
    NoReply(LinkError),
}

/// Outcome of an exchange.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ExchangeOutcome {
    /// The member's reply.
    pub result: Result<MemberReply, ExchangeError>,
    /// Log position of the member after it confirmed during the exchange that it is the primary.
    pub primary_position: Option<LogPosition>,
    /// From a home instance that learns capacity: load of the member, and members set aside.
    pub capacity: Option<Box<CapacityNotice>>,
}

impl ExchangeOutcome {
    /// Returns the result of the exchange as one word for logs and metrics.
    pub const fn label(&self) -> &'static str {
        match &self.result {
            Ok(reply) => match &reply.result {
                Ok(_) => "ok",
                Err(refusal) => refusal.code.label(),
            },
            Err(ExchangeError::NotSent(PoolError::Exhausted { .. })) => "no_connection",
            Err(ExchangeError::NotSent(PoolError::NoRoom { .. })) => "no_room",
            Err(ExchangeError::NotSent(PoolError::PrimaryUnconfirmed)) => "lead_unproved",
            Err(ExchangeError::NotSent(PoolError::PositionUnknown)) => "position_unknown",
            Err(ExchangeError::NotSent(PoolError::HomeUnavailable)) => "home_not_reached",
            Err(ExchangeError::NotSent(PoolError::MemberLeaving)) => "member_leaving",
            Err(ExchangeError::NotSent(PoolError::Connect(_))) => "connect_failed",
            Err(ExchangeError::Declined(code, _)) => code.label(),
            Err(ExchangeError::NoReply(_)) => "unanswered",
        }
    }

    /// Returns the size of the rows of the member's reply, without what its protocol adds.
    pub fn reply_bytes(&self) -> usize {
        let reply = self.result.as_ref();
        reply.map_or(0, |reply| reply.rows.iter().map(|row| row.len()).sum())
    }

    /// Returns whether the transaction of a reserved connection continues after this exchange.
    pub fn keeps_connection(&self, plan: &ExchangePlan) -> bool {
        let Ok(reply) = &self.result else {
            return false;
        };
        let open = if plan.statement.commits {
            reply.result.is_err() && reply.transaction == TransactionStatus::Open
        } else {
            reply.result.is_ok()
        };
        plan.keep_reserved && open
    }

    /// Creates the outcome of an exchange whose home instance has not replied.
    pub fn no_reply(text: &str) -> Self {
        let error = LinkError::ConnectionLost(text.into());
        Self::failed(ExchangeError::NoReply(error))
    }

    /// Creates the outcome of an exchange without a reply to the statement.
    pub const fn failed(error: ExchangeError) -> Self {
        Self {
            result: Err(error),
            primary_position: None,
            capacity: None,
        }
    }
}
