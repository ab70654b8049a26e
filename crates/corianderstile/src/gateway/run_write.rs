//! Autocommit writes: executed with a request record, confirmed by other members, retried by id.

use std::rc::Rc;

use coriander_core::{ErrorCode, LogPosition, MonotonicTime, RequestError};
use coriander_failover::PrimaryView;
use coriander_limits::SlotRole;
use coriander_routing::{LoggedWrite, RequestIdentity, RequestLog, WriteResult, WriteStep};
use coriander_tokens::RequestDigest;
use coriander_upstream::{StreamLease, StreamUse, UpstreamError};
use libsql_hrana::proto::{ExecuteStreamReq, PipelineRespBody, Stmt, StreamRequest, StreamResult};

use super::acknowledge::AckOutcome;
use super::database_gateway::{DatabaseGateway, RETRY_DELAY, response_body};
use super::member_handle::{CallOptions, MemberHandle};
use super::upstream_pipeline::UpstreamPipeline;
use crate::peer::{ForwardReply, ForwardRequest, ServedBy};

/// Outcome of one attempt of a write.
enum WriteAttempt {
    /// The request has its final result.
    Final(Result<ForwardReply, RequestError>),
    /// No statement was executed; another attempt is safe.
    NotRun(RequestError),
    /// The outcome is not known; another attempt reads it from the request record.
    Unknown,
}

impl DatabaseGateway {
    /// Runs a write until its outcome is certain or the deadline has passed.
    ///
    /// All attempts use the same request id, so the record in the database prevents the write from
    /// running twice.
    pub(super) async fn run_write(
        self: &Rc<Self>,
        request: ForwardRequest,
        pipeline: UpstreamPipeline,
        deadline: MonotonicTime,
    ) -> Result<ForwardReply, RequestError> {
        let write = self.prepare_write(&request, &pipeline)?;
        let mut may_have_run = false;
        loop {
            let attempt = self
                .attempt_write(&request, &write, &pipeline, deadline)
                .await;
            let error = match attempt {
                WriteAttempt::Final(result) => return result,
                WriteAttempt::NotRun(error) => error,
                WriteAttempt::Unknown => {
                    may_have_run = true;
                    let message = "the write may have been executed; retry with the same id";
                    RequestError::unknown(ErrorCode::OutcomeUnknown, message)
                }
            };
            let is_final = matches!(error.code, ErrorCode::Overloaded | ErrorCode::Unauthorized);
            // Without a rank, this instance no longer detects changes of the primary.
            let is_replaced = self.rank.get().is_none() && error.code == ErrorCode::TermChanged;
            let is_past_deadline = self.context.clock.now() + RETRY_DELAY >= deadline;
            if is_past_deadline || is_replaced || (is_final && !may_have_run) {
                return Err(with_outcome(error, may_have_run));
            }
            tokio::time::sleep(RETRY_DELAY).await;
            if let Err(error) = (self.context.may_run)(&request.key) {
                return Err(with_outcome(error, may_have_run));
            }
        }
    }

    pub(super) fn prepare_write(
        &self,
        request: &ForwardRequest,
        pipeline: &UpstreamPipeline,
    ) -> Result<LoggedWrite, RequestError> {
        let bad_request = |error: &dyn std::fmt::Display| {
            RequestError::not_run(ErrorCode::BadRequest, error.to_string())
        };
        let digest = RequestDigest::compute(&request.database, &request.class, &request.body);
        let identity = RequestIdentity::new(request.account.clone(), &request.request_id, digest)
            .map_err(|error| bad_request(&error))?;
        let mut cache = self.statement_cache.borrow_mut();
        LoggedWrite::new(identity, pipeline.requests(), &mut cache)
            .map_err(|error| bad_request(&error))
    }

    async fn attempt_write(
        self: &Rc<Self>,
        request: &ForwardRequest,
        write: &LoggedWrite,
        pipeline: &UpstreamPipeline,
        deadline: MonotonicTime,
    ) -> WriteAttempt {
        let Some(view) = self.wait_for_write_primary(deadline).await else {
            let message = "the database has no primary";
            return WriteAttempt::NotRun(RequestError::not_run(ErrorCode::NoUpstream, message));
        };
        let permit = match self
            .acquire_slot(request, SlotRole::Primary, deadline)
            .await
        {
            Ok(permit) => permit,
            Err(error) => return WriteAttempt::NotRun(error),
        };
        let Some(member) = self
            .group
            .member(&view.member)
            .filter(|_| *permit.member() == view.member)
        else {
            let message = "the primary changed";
            return WriteAttempt::NotRun(RequestError::not_run(ErrorCode::TermChanged, message));
        };
        let mut lease = match self
            .wait_for_stream(&member, StreamUse::Statement, deadline)
            .await
        {
            Ok(lease) => lease,
            Err(error) => return WriteAttempt::NotRun(error),
        };
        // The key may have been withdrawn while the request waited for a stream.
        if let Err(error) = (self.context.may_run)(&request.key) {
            return WriteAttempt::NotRun(error);
        }
        if let Err(error) = self.ensure_schema(&member, &mut lease, &view).await {
            self.group.statement_failed(&member.id);
            return WriteAttempt::NotRun(not_run_error(&error));
        }
        let ticket = self.read_selector.record_start(&member.id);
        let executed = tokio::select! {
            executed = self.execute_logged(&member, &mut lease, write, &view) => executed,
            () = self.wait_for_term_end(&view) => Err(term_ended()),
        };
        match &executed {
            // The position of the primary bounds the age of the replicas' data.
            Ok((_, log)) => self.read_selector.record_reply(&ticket, &view, *log),
            Err(error) => self.read_selector.record_failure(&ticket, error),
        }
        let (result, log) = match executed {
            Ok(executed) => executed,
            Err(error) if error.outcome() == coriander_core::RequestOutcome::NotRun => {
                match &error {
                    UpstreamError::Refused(refusal) if refusal.status == 503 => permit.refuse(),
                    _ => self.group.statement_failed(&member.id),
                }
                return WriteAttempt::NotRun(not_run_error(&error));
            }
            Err(error) => {
                if error != UpstreamError::NoMemory {
                    self.group.statement_failed(&member.id);
                }
                return WriteAttempt::Unknown;
            }
        };
        drop(permit);
        self.finish_write(request, pipeline, &view, lease, result, log, deadline)
            .await
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "the last step needs all parts of the attempt"
    )]
    async fn finish_write(
        self: &Rc<Self>,
        request: &ForwardRequest,
        pipeline: &UpstreamPipeline,
        view: &PrimaryView,
        lease: StreamLease,
        result: WriteResult,
        log: LogPosition,
        deadline: MonotonicTime,
    ) -> WriteAttempt {
        let now = self.context.clock.now();
        let results = match result {
            WriteResult::Unknown => {
                lease.close();
                return WriteAttempt::Unknown;
            }
            WriteResult::Failed {
                results,
                is_stream_clean,
            } => {
                if is_stream_clean {
                    lease.check_in(now);
                } else {
                    lease.close();
                }
                return WriteAttempt::Final(self.write_reply(view, pipeline, results));
            }
            WriteResult::NotRun { error } => {
                lease.close();
                let message = format!("{}: {}", error.code, error.message);
                let error = RequestError::not_run(ErrorCode::NoUpstream, message);
                return WriteAttempt::NotRun(error);
            }
            WriteResult::IdReused => {
                lease.check_in(now);
                let message = "request id was used before for another request";
                let error = RequestError::not_run(ErrorCode::RequestIdReused, message);
                return WriteAttempt::Final(Err(error));
            }
            WriteResult::Done { results } => {
                lease.check_in(now);
                Some(results)
            }
            WriteResult::AlreadyDone { results } => {
                lease.check_in(now);
                results
            }
        };
        let certainty = (self.context.class_target)(&request.class).certainty;
        match self
            .wait_for_acknowledgement(view, log, certainty, deadline)
            .await
        {
            AckOutcome::Acknowledged => self.group.record_acknowledged(log),
            AckOutcome::Uncertain => return WriteAttempt::Unknown,
        }
        let Some(results) = results else {
            let message = "the request ran before; its results were too large to be stored";
            return WriteAttempt::Final(Err(RequestError::run(
                ErrorCode::RequestIdReused,
                message,
            )));
        };
        let reply = self.write_reply(view, pipeline, results);
        WriteAttempt::Final(reply.map(|reply| ForwardReply {
            written: Some(log),
            ..reply
        }))
    }

    fn write_reply(
        &self,
        view: &PrimaryView,
        pipeline: &UpstreamPipeline,
        results: Vec<StreamResult>,
    ) -> Result<ForwardReply, RequestError> {
        Ok(ForwardReply {
            body: response_body(None, pipeline.insert_close_results(results))?,
            written: None,
            memory: None,
            served_by: ServedBy {
                member: view.member.clone(),
                is_primary: true,
                age: std::time::Duration::ZERO,
            },
        })
    }

    async fn execute_logged(
        &self,
        member: &MemberHandle,
        lease: &mut StreamLease,
        write: &LoggedWrite,
        view: &PrimaryView,
    ) -> Result<(WriteResult, LogPosition), UpstreamError> {
        let options = self.call_options(view);
        let pipeline = write.pipeline(None);
        let reply = member.run(lease, &pipeline.requests, options).await?;
        let pending = match write.interpret(pipeline_response(reply.results)) {
            WriteStep::Ended(result) => return Ok((result, reply.log)),
            WriteStep::Commit(pending) => pending,
        };
        let pipeline = pending.pipeline(None);
        let reply = match member.run(lease, &pipeline.requests, options).await {
            Ok(reply) => reply,
            // The first part may have run, so a refusal of the second does not mean "not run".
            Err(_) => return Ok((WriteResult::Unknown, LogPosition::default())),
        };
        Ok((
            pending.interpret(pipeline_response(reply.results)),
            reply.log,
        ))
    }

    /// Creates the table of request records once per term.
    async fn ensure_schema(
        &self,
        member: &MemberHandle,
        lease: &mut StreamLease,
        view: &PrimaryView,
    ) -> Result<(), UpstreamError> {
        if self.schema_term.get() == view.term.get() {
            return Ok(());
        }
        let statements = RequestLog::SCHEMA
            .iter()
            .copied()
            .chain([RequestLog::CLEANUP]);
        let requests: Vec<_> = statements.map(execute_request).collect();
        let reply = member
            .run(lease, &requests, self.call_options(view))
            .await?;
        let is_ok = |result: &StreamResult| matches!(result, StreamResult::Ok { .. });
        if reply.results.iter().all(is_ok) {
            self.schema_term.set(view.term.get());
        }
        Ok(())
    }

    /// Deletes records of requests that are too old to be retried.
    pub(super) async fn delete_old_records(self: Rc<Self>) {
        let Some(view) = self.group.write_primary() else {
            return;
        };
        let Some(member) = self.group.member(&view.member) else {
            return;
        };
        let Some(mut lease) = member.check_out(StreamUse::Statement, self.context.clock) else {
            return;
        };
        let requests = [execute_request(RequestLog::CLEANUP)];
        match member
            .run(&mut lease, &requests, self.call_options(&view))
            .await
        {
            Ok(_) => lease.check_in(self.context.clock.now()),
            Err(error) => log::debug!("gateway: old records not deleted: {error}"),
        }
    }

    pub(super) fn call_options(&self, view: &PrimaryView) -> CallOptions {
        CallOptions {
            term: view.term,
            min_position: None,
            timeout: self.context.bounds.upstream_timeout,
        }
    }
}

pub(super) fn term_ended() -> UpstreamError {
    UpstreamError::NoResponse {
        reason: "the primary was replaced".to_owned(),
    }
}

pub(super) fn execute_request(sql: &str) -> StreamRequest {
    StreamRequest::Execute(ExecuteStreamReq {
        stmt: Stmt::new(sql, false),
    })
}

fn pipeline_response(results: Vec<StreamResult>) -> PipelineRespBody {
    PipelineRespBody {
        baton: None,
        base_url: None,
        results,
    }
}

pub(super) fn not_run_error(error: &UpstreamError) -> RequestError {
    let code = match error {
        UpstreamError::Refused(refusal) if refusal.status == 503 => ErrorCode::Overloaded,
        UpstreamError::Refused(_) => ErrorCode::TermChanged,
        _ => ErrorCode::NoUpstream,
    };
    RequestError::not_run(code, error.to_string())
}

/// Sets the outcome to unknown if an earlier attempt may have run.
fn with_outcome(mut error: RequestError, may_have_run: bool) -> RequestError {
    if may_have_run {
        error.outcome = coriander_core::RequestOutcome::Unknown;
        error.code = ErrorCode::OutcomeUnknown;
    }
    error
}
