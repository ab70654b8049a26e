//! Runs the statements of a transaction on one connection, and its COMMIT.

use std::time::Duration;

use coriander_service_api::{FailureCode, FailureReason, SessionFailure, TransactionStatus};
use tokio::time::sleep;

use crate::members::member::Member;
use crate::members::member_pool::PoolError;
use crate::sessions::attempt::{
    Attempt, CompletedStatement, aborted, evaluate_reply, in_doubt, link_reason, no_connection,
    record_refusal,
};
use crate::sessions::busy_backoff::BusyBackoff;
use crate::sessions::exchange::{ExchangeError, PlannedBegin, PlannedStatement};
use crate::sessions::operation::{
    MIN_ATTEMPT_TIME, OperationContext, ReadRequirement, TriedMembers,
};
use crate::sessions::operation_link::OperationLink;
use crate::sessions::session::OpenTransaction;

/// Runs the first statement of a transaction, retrying while nothing was run.
async fn open_transaction(
    context: &OperationContext<'_>,
    transaction: &mut OpenTransaction,
    statement: &PlannedStatement,
) -> Result<CompletedStatement, SessionFailure> {
    let mut tried = TriedMembers::new();
    let mut backoff = BusyBackoff::default();
    let mut failure = None;
    context.record_first_attempt();
    while context.time_remaining() > MIN_ATTEMPT_TIME {
        match attempt_begin(context, transaction, statement, &mut tried).await {
            Attempt::Completed(completed) => return Ok(completed),
            Attempt::Failed(failure) => return Err(failure),
            Attempt::Retry(retry, cost) => {
                let has_no_room = retry.reason == FailureReason::NoConnection;
                if has_no_room {
                    return Err(retry);
                }
                let goes_to_primary = retry.code == FailureCode::Lagging;
                let delay = if goes_to_primary {
                    Duration::ZERO
                } else {
                    match context.busy_delay(&mut backoff) {
                        Some(delay) => delay,
                        // A repetition that is not made must not be taken from the budget.
                        None => return Err(retry),
                    }
                };
                context.check_repetition(&retry, cost)?;
                failure = Some(retry);
                if !goes_to_primary {
                    sleep(delay).await;
                }
            }
        }
    }
    Err(failure.unwrap_or_else(no_connection))
}

async fn attempt_begin(
    context: &OperationContext<'_>,
    transaction: &mut OpenTransaction,
    statement: &PlannedStatement,
    tried: &mut TriedMembers,
) -> Attempt {
    let requirement = if transaction.read_only {
        context.read_requirement()
    } else {
        ReadRequirement::Primary
    };
    let member = match context.choose_member(requirement, tried).await {
        Ok(member) => member,
        Err(failure) => return Attempt::Failed(failure),
    };
    let mut plan = context.plan(&member, statement, context.time_remaining());
    plan.keep_reserved = true;
    plan.begin = Some(match requirement {
        ReadRequirement::Primary => PlannedBegin {
            read_only: false,
            min_position: None,
        },
        ReadRequirement::MinPosition(min_position) | ReadRequirement::MaxAge(min_position, _) => {
            PlannedBegin {
                read_only: true,
                min_position,
            }
        }
    });
    if let ReadRequirement::MaxAge(_, max_age) = requirement {
        plan.max_age = Some(max_age);
    }
    let mut link = OperationLink::new(context.service, &context.group, &member);
    let outcome = context.exchange(&mut link, &plan).await;
    let result = match outcome.result {
        // Anything that ran is rolled back when the connection closes; a COMMIT had no writes to
        // keep.
        Err(ExchangeError::NoReply(lost)) => {
            return Attempt::Failed(aborted(link_reason(&lost), &lost.to_string()));
        }
        result => result,
    };
    let attempt = evaluate_reply(context, &member, result, false);
    if matches!(attempt, Attempt::Completed(_)) && !statement.commits {
        transaction.link = Some(link);
    }
    attempt
}

/// Runs a statement of an open transaction. After a failure the caller must drop the transaction.
pub async fn run_in_transaction(
    context: &OperationContext<'_>,
    transaction: &mut OpenTransaction,
    statement: &PlannedStatement,
) -> Result<CompletedStatement, SessionFailure> {
    let Some(mut link) = transaction.link.take() else {
        return open_transaction(context, transaction, statement).await;
    };
    let member = link.member.clone();
    check_member(context, &member)?;
    let mut plan = context.plan(&member, statement, context.time_remaining());
    plan.keep_reserved = true;
    match context.exchange(&mut link, &plan).await.result {
        Ok(reply) => {
            let completed = CompletedStatement::new(reply).map_err(|refusal| {
                record_refusal(context, &member, refusal.code, None);
                SessionFailure::new(refusal.code, FailureReason::MemberRefused)
                    .with_detail(refusal.detail)
            })?;
            transaction.link = Some(link);
            Ok(completed)
        }
        // The connection is closed, so the member rolls back; no COMMIT was sent.
        Err(error) => Err(broken_transaction(&error)),
    }
}

/// Checks that an open transaction may go on at its member. Dropping its connection rolls back.
fn check_member(context: &OperationContext<'_>, member: &Member) -> Result<(), SessionFailure> {
    if member.may_continue(context.now()) {
        return Ok(());
    }
    let detail = "availability zone of the member is out of service";
    Err(aborted(FailureReason::NoMember, detail))
}

fn broken_transaction(error: &ExchangeError) -> SessionFailure {
    match error {
        ExchangeError::NoReply(link) | ExchangeError::NotSent(PoolError::Connect(link)) => {
            aborted(link_reason(link), &link.to_string())
        }
        ExchangeError::Declined(code, _) => aborted(FailureReason::MemberRefused, code.label()),
        ExchangeError::NotSent(error @ PoolError::PrimaryUnconfirmed) => {
            aborted(FailureReason::NoPrimary, &error.to_string())
        }
        ExchangeError::NotSent(error) => aborted(FailureReason::NoConnection, &error.to_string()),
    }
}

/// Commits the transaction with the client's own statement.
pub async fn run_commit(
    context: &OperationContext<'_>,
    transaction: &mut OpenTransaction,
    statement: &PlannedStatement,
) -> Result<CompletedStatement, SessionFailure> {
    let Some(mut link) = transaction.link.take() else {
        return open_transaction(context, transaction, statement).await;
    };
    let mut backoff = BusyBackoff::default();
    loop {
        check_member(context, &link.member)?;
        let mut plan = context.plan(&link.member, statement, context.time_remaining());
        plan.keep_reserved = true;
        let reply = match context.exchange(&mut link, &plan).await.result {
            Ok(reply) => reply,
            // Nothing was written, so nothing can be kept.
            Err(error) if !transaction.has_written => return Err(broken_transaction(&error)),
            Err(ExchangeError::NoReply(lost)) => return Err(in_doubt(&lost)),
            Err(error) => return Err(broken_transaction(&error)),
        };
        let open = reply.transaction == TransactionStatus::Open;
        let refusal = match CompletedStatement::new(reply) {
            Ok(completed) => return Ok(completed),
            Err(refusal) => refusal,
        };
        if refusal.code == FailureCode::Busy
            && open
            && context.wait_for_busy_members(&mut backoff).await
        {
            continue;
        }
        record_refusal(context, &link.member, refusal.code, None);
        let failure = SessionFailure::new(refusal.code, FailureReason::MemberRefused);
        return Err(failure.with_detail(refusal.detail));
    }
}
