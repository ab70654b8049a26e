//! Evaluates an attempt at a member: the statement is completed, is to be retried, or has failed.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use coriander_core::{LogPosition, RequestOutcome};
use coriander_service_api::{
    FailureCode, FailureReason, LinkError, MemberRefusal, MemberReply, SessionFailure,
};

use crate::members::member::Member;
use crate::members::member_pool::PoolError;
use crate::sessions::exchange::ExchangeError;
use crate::sessions::operation::{OperationContext, PRIMARY_REFRESH_AGE, PRIMARY_RETRY_AFTER};

/// Delay after which a caller should retry when its members were busy.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(100);

/// A statement that a member has completed.
pub struct CompletedStatement {
    /// Rows of a read.
    pub rows: Vec<Arc<str>>,
    /// Signature of the member.
    pub signature: Arc<str>,
    /// End of the member's log after the statement.
    pub position: Option<LogPosition>,
}

impl CompletedStatement {
    /// Converts a reply; fails with the refusal of the member.
    pub fn new(reply: MemberReply) -> Result<Self, MemberRefusal> {
        Ok(Self {
            rows: reply.rows,
            signature: reply.result?,
            position: reply.position,
        })
    }
}

/// Whether a repetition counts towards the budget of repetitions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryCost {
    /// The attempt has taken time of a member or a place in its queue.
    Counted,
    /// The attempt reached no member, or one that declined at once because it is the wrong one. It
    /// has taken nothing from others.
    Free,
}

impl RetryCost {
    /// Returns the cost after a member refused with a code.
    const fn of_refusal(code: FailureCode) -> Self {
        match code {
            FailureCode::ReadOnly | FailureCode::Lagging | FailureCode::Misrouted => Self::Free,
            _ => Self::Counted,
        }
    }
}

/// Outcome of one attempt.
pub enum Attempt {
    /// The statement is completed.
    Completed(CompletedStatement),
    /// Nothing was run, or only a read; the statement may be retried on any member.
    Retry(SessionFailure, RetryCost),
    /// The statement has failed and must not be retried.
    Failed(SessionFailure),
}

/// Returns the failure of a statement that got no connection in time.
pub fn no_connection() -> SessionFailure {
    SessionFailure::new(FailureCode::Busy, FailureReason::NoConnection)
        .with_retry_after(BUSY_RETRY_AFTER)
}

/// Evaluates the reply of a member, or its absence.
pub fn evaluate_reply(
    context: &OperationContext<'_>,
    member: &Rc<Member>,
    reply: Result<MemberReply, ExchangeError>,
    writes: bool,
) -> Attempt {
    match reply {
        Ok(reply) => {
            let position = reply.position;
            match CompletedStatement::new(reply) {
                Ok(completed) => Attempt::Completed(completed),
                Err(refusal) => evaluate_refusal(context, member, refusal, position, writes),
            }
        }
        Err(error) => evaluate_error(context, member, error, writes),
    }
}

fn evaluate_refusal(
    context: &OperationContext<'_>,
    member: &Rc<Member>,
    refusal: MemberRefusal,
    position: Option<LogPosition>,
    writes: bool,
) -> Attempt {
    record_refusal(context, member, refusal.code, position);
    let outcome = refusal.code.member_outcome();
    let cost = RetryCost::of_refusal(refusal.code);
    let failure =
        SessionFailure::new(refusal.code, FailureReason::MemberRefused).with_detail(refusal.detail);
    match outcome {
        RequestOutcome::NotRun => {
            let busy = SessionFailure {
                code: FailureCode::Busy,
                ..failure
            };
            Attempt::Retry(busy.with_retry_after(BUSY_RETRY_AFTER), cost)
        }
        _ if !writes => Attempt::Retry(failure, cost),
        _ => Attempt::Failed(failure),
    }
}

/// Updates the state of a member after a refusal.
pub fn record_refusal(
    context: &OperationContext<'_>,
    member: &Rc<Member>,
    code: FailureCode,
    position: Option<LogPosition>,
) {
    let now = context.now();
    match code {
        FailureCode::ReadOnly => {
            context.group.mark_not_primary(member, now);
            context.service.request_refresh(PRIMARY_REFRESH_AGE);
        }
        FailureCode::Lagging => {
            let max_age = context.access.route.freshness.max_age();
            context.group.record_lag(member, position, max_age, now);
        }
        FailureCode::Misrouted => member.record_failure(now),
        _ => {}
    }
}

fn evaluate_error(
    context: &OperationContext<'_>,
    member: &Rc<Member>,
    error: ExchangeError,
    writes: bool,
) -> Attempt {
    match error {
        ExchangeError::NotSent(error @ PoolError::Exhausted { .. }) => {
            Attempt::Failed(no_connection().with_decision_inputs(error.to_string()))
        }
        ExchangeError::NotSent(ref error @ PoolError::NoRoom { retry_after, .. }) => {
            let failure = no_connection()
                .with_retry_after(retry_after)
                .with_decision_inputs(error.to_string());
            if writes {
                Attempt::Failed(failure)
            } else {
                // Another replica may have room.
                Attempt::Retry(failure, RetryCost::Counted)
            }
        }
        ExchangeError::NotSent(PoolError::Connect(link)) if !link.is_unreachable() => {
            // Usually the member accepts no more connections, and the request has waited for one as
            // long as it may.
            Attempt::Failed(no_connection().with_detail(link.to_string().into()))
        }
        ExchangeError::NotSent(PoolError::PrimaryUnconfirmed) => {
            let failure = SessionFailure::new(FailureCode::Busy, FailureReason::NoPrimary);
            Attempt::Retry(
                failure.with_retry_after(PRIMARY_RETRY_AFTER),
                RetryCost::Free,
            )
        }
        ExchangeError::NotSent(PoolError::HomeUnavailable) => {
            let failure = SessionFailure::new(FailureCode::Busy, FailureReason::ConnectionLost);
            Attempt::Retry(failure, RetryCost::Free)
        }
        ExchangeError::NotSent(PoolError::PositionUnknown) => {
            // The next attempt goes to the primary, without a delay.
            let failure = SessionFailure::new(FailureCode::Lagging, FailureReason::NoMember);
            Attempt::Retry(failure.with_retry_after(BUSY_RETRY_AFTER), RetryCost::Free)
        }
        ExchangeError::NotSent(PoolError::MemberLeaving) => {
            let failure = SessionFailure::new(FailureCode::Busy, FailureReason::NoMember);
            Attempt::Retry(failure.with_retry_after(BUSY_RETRY_AFTER), RetryCost::Free)
        }
        ExchangeError::NotSent(PoolError::Connect(link)) => {
            let failure = SessionFailure::new(FailureCode::Busy, FailureReason::ConnectionLost);
            let failure = failure.with_detail(link.to_string().into());
            Attempt::Retry(failure.with_retry_after(BUSY_RETRY_AFTER), RetryCost::Free)
        }
        ExchangeError::Declined(code, position) => {
            record_refusal(context, member, code, position);
            let failure = SessionFailure::new(FailureCode::Busy, FailureReason::MemberRefused);
            let failure = failure
                .with_detail(code.label().into())
                .with_retry_after(BUSY_RETRY_AFTER);
            Attempt::Retry(failure, RetryCost::of_refusal(code))
        }
        ExchangeError::NoReply(link) if writes => Attempt::Failed(in_doubt(&link)),
        ExchangeError::NoReply(link) => {
            let failure = SessionFailure::new(FailureCode::Timeout, link_reason(&link));
            Attempt::Retry(
                failure.with_detail(link.to_string().into()),
                RetryCost::Counted,
            )
        }
    }
}

/// Returns the failure reason for a connection that ended.
pub const fn link_reason(link: &LinkError) -> FailureReason {
    match link {
        LinkError::ReplyTimeout(_) => FailureReason::MemberSilent,
        LinkError::NoMemory => FailureReason::NoMemory,
        _ => FailureReason::ConnectionLost,
    }
}

/// Returns the failure of a write that may or may not be kept.
pub fn in_doubt(link: &LinkError) -> SessionFailure {
    SessionFailure::new(FailureCode::InDoubt, link_reason(link))
        .with_detail(link.to_string().into())
}

/// Returns the failure of a transaction of which nothing is kept.
pub fn aborted(reason: FailureReason, detail: &str) -> SessionFailure {
    SessionFailure::new(FailureCode::Aborted, reason).with_detail(detail.into())
}
