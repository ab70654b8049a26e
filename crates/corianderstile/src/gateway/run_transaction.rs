//! Interactive transactions on an exclusive upstream stream.

use std::rc::Rc;

use coriander_core::{ErrorCode, LogPosition, MonotonicTime, RequestError, RequestOutcome};
use coriander_failover::PrimaryView;
use coriander_limits::SlotRole;
use coriander_tokens::{SessionPosition, TransactionBaton};
use coriander_upstream::{StreamUse, UpstreamError};

use super::acknowledge::AckOutcome;
use super::database_gateway::{DatabaseGateway, response_body};
use super::member_handle::{CallOptions, StreamReply};
use super::run_write::{not_run_error, term_ended};
use super::transaction_table::{OpenTransaction, TransactionOwner};
use super::upstream_pipeline::{UpstreamPipeline, pop_autocommit};
use crate::peer::{ForwardReply, ForwardRequest, ServedBy};

impl DatabaseGateway {
    /// Starts a transaction on the primary.
    pub(super) async fn open_transaction(
        self: &Rc<Self>,
        request: ForwardRequest,
        pipeline: UpstreamPipeline,
        deadline: MonotonicTime,
    ) -> Result<ForwardReply, RequestError> {
        let view = self.wait_for_write_primary(deadline).await.ok_or_else(|| {
            RequestError::not_run(ErrorCode::NoUpstream, "the database has no primary")
        })?;
        let member = self.group.member(&view.member).ok_or_else(|| {
            RequestError::not_run(ErrorCode::NoUpstream, "the primary is not reachable")
        })?;
        let lease = self
            .wait_for_stream(&member, StreamUse::Transaction, deadline)
            .await?;
        let owner = TransactionOwner {
            account: request.account.clone(),
            key: request.key,
        };
        let transaction = Box::new(OpenTransaction::new(owner, member, view.term, lease));
        let stream = self.transactions.reserve(request.key);
        let result = self
            .run_in_transaction(&request, pipeline, stream, transaction, deadline)
            .await;
        self.remove_if_failed(stream, result)
    }

    /// Runs the next request of a transaction.
    pub(super) async fn continue_transaction(
        self: &Rc<Self>,
        request: ForwardRequest,
        pipeline: UpstreamPipeline,
        deadline: MonotonicTime,
    ) -> Result<ForwardReply, RequestError> {
        let (stream, sequence) = request.stream.unwrap_or_default();
        let transaction = self.transactions.take(stream, sequence, &request.account)?;
        let result = self
            .run_in_transaction(&request, pipeline, stream, transaction, deadline)
            .await;
        self.remove_if_failed(stream, result)
    }

    fn remove_if_failed(
        &self,
        stream: u64,
        result: Result<ForwardReply, RequestError>,
    ) -> Result<ForwardReply, RequestError> {
        if result.is_err() {
            self.transactions.remove(stream);
        }
        result
    }

    /// Runs one request; on an error the transaction is dropped, which rolls it back.
    async fn run_in_transaction(
        self: &Rc<Self>,
        request: &ForwardRequest,
        mut pipeline: UpstreamPipeline,
        stream: u64,
        mut transaction: Box<OpenTransaction>,
        deadline: MonotonicTime,
    ) -> Result<ForwardReply, RequestError> {
        pipeline.append_autocommit_query();
        let view = PrimaryView {
            member: transaction.member.id.clone(),
            term: transaction.term,
        };
        // A transaction that is open may hold locks for which requests with a slot are waiting, so
        // its next request must not wait for a slot behind them.
        let permit = match request.stream {
            Some(_) => None,
            None => Some(
                self.acquire_slot(request, SlotRole::Primary, deadline)
                    .await?,
            ),
        };
        (self.context.may_run)(&request.key)?;
        let reply = tokio::select! {
            reply = self.send(&mut transaction, request, &pipeline, deadline) => reply,
            () = self.wait_for_term_end(&view) => Err(term_ended()),
        };
        drop(permit);
        let mut reply = reply.map_err(|error| {
            if error != UpstreamError::NoMemory {
                self.group.statement_failed(&view.member);
            }
            transaction_error(&error)
        })?;
        let is_autocommit = pop_autocommit(&mut reply.results);
        transaction.has_stored_sql |= pipeline.keeps_stored_sql();
        let mut written = None;
        if is_autocommit {
            written = Some(
                self.confirm_commit(request, &view, reply.log, deadline)
                    .await?,
            );
        }
        let baton = self.keep_or_release(request, &pipeline, stream, transaction, is_autocommit)?;
        Ok(ForwardReply {
            body: response_body(baton, pipeline.insert_close_results(reply.results))?,
            written,
            memory: reply.memory,
            served_by: ServedBy {
                member: view.member,
                is_primary: true,
                age: std::time::Duration::ZERO,
            },
        })
    }

    async fn send(
        &self,
        transaction: &mut OpenTransaction,
        request: &ForwardRequest,
        pipeline: &UpstreamPipeline,
        deadline: MonotonicTime,
    ) -> Result<StreamReply, UpstreamError> {
        let timeout = deadline.since(self.context.clock.now());
        let options = CallOptions {
            term: transaction.term,
            min_position: match request.session {
                SessionPosition::AtLeast(position) => Some(position),
                SessionPosition::Unwritten | SessionPosition::Unknown => None,
            },
            timeout: timeout.min(self.context.bounds.upstream_timeout),
        };
        let released = || UpstreamError::Malformed {
            reason: "the stream was released".to_owned(),
        };
        let (member, lease) = transaction.stream().ok_or_else(released)?;
        member
            .clone()
            .run(lease, pipeline.requests(), options)
            .await
    }

    /// Waits until the entries written so far are confirmed, because a commit may be among them.
    async fn confirm_commit(
        self: &Rc<Self>,
        request: &ForwardRequest,
        view: &PrimaryView,
        log: LogPosition,
        deadline: MonotonicTime,
    ) -> Result<LogPosition, RequestError> {
        let certainty = (self.context.class_target)(&request.class).certainty;
        match self
            .wait_for_acknowledgement(view, log, certainty, deadline)
            .await
        {
            AckOutcome::Acknowledged => {
                self.group.record_acknowledged(log);
                Ok(log)
            }
            AckOutcome::Uncertain => {
                let message = "the commit was not confirmed by enough members";
                Err(RequestError::unknown(ErrorCode::OutcomeUnknown, message))
            }
        }
    }

    /// Keeps the stream if it is still needed and returns the baton for the next request.
    fn keep_or_release(
        &self,
        request: &ForwardRequest,
        pipeline: &UpstreamPipeline,
        stream: u64,
        mut transaction: Box<OpenTransaction>,
        is_autocommit: bool,
    ) -> Result<Option<String>, RequestError> {
        let now = self.context.clock.now();
        let is_done = is_autocommit && !transaction.has_stored_sql;
        if is_done || pipeline.closes_stream() {
            self.transactions.remove(stream);
            if is_done {
                transaction.release(now);
            }
            // Otherwise dropping the transaction rolls back what the caller left open.
            return Ok(None);
        }
        transaction.sequence += 1;
        let baton = TransactionBaton {
            account: request.account.clone(),
            key: request.key,
            database: self.name.clone(),
            gateway: self.context.own_id.clone(),
            stream,
            sequence: transaction.sequence,
        };
        if self
            .transactions
            .put_back(stream, transaction, now)
            .is_err()
        {
            let message = "key was withdrawn; the transaction was rolled back";
            return Err(RequestError::run(ErrorCode::Unauthorized, message));
        }
        Ok(Some(baton.encode(&self.context.secrets)))
    }
}

fn transaction_error(error: &UpstreamError) -> RequestError {
    match error.outcome() {
        RequestOutcome::NotRun => {
            let refused = not_run_error(error);
            let message = format!("the transaction was rolled back: {}", refused.message);
            RequestError::not_run(ErrorCode::TransactionLost, message)
        }
        _ => RequestError::unknown(ErrorCode::OutcomeUnknown, error.to_string()),
    }
}
