//! Reads on replicas or the primary.

use std::rc::Rc;
use std::time::Duration;

use coriander_core::{
    ErrorCode, LogPosition, MonotonicTime, RequestError, RequestOutcome, WriteCertainty,
};
use coriander_failover::PrimaryView;
use coriander_limits::SlotRole;
use coriander_upstream::{StreamUse, UpstreamError};

use super::acknowledge::{AckOutcome, acknowledge_write};
use super::database_gateway::{DatabaseGateway, RETRY_PAUSE, answer_body};
use super::member_handle::{CallTerms, MemberHandle, StreamReply};
use super::pipeline_shape::PipelineShape;
use super::run_write::not_run_error;
use crate::peer::{ForwardAnswer, ForwardRequest, ServedBy, SessionDemand};
use crate::replica_reads::{ReadChoice, ReadDemand};

impl DatabaseGateway {
    /// Runs a read; a failed attempt is repeated, because reads change nothing.
    pub(super) async fn run_read(
        self: &Rc<Self>,
        request: ForwardRequest,
        shape: PipelineShape,
        deadline: MonotonicTime,
    ) -> Result<ForwardAnswer, RequestError> {
        self.reads.count_request();
        loop {
            let error = match self.attempt_read(&request, &shape, deadline).await {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            let is_final = matches!(error.code, ErrorCode::Overloaded | ErrorCode::Unauthorized);
            let is_late = self.context.clock.now() + RETRY_PAUSE >= deadline;
            if is_final || is_late || !self.reads.may_retry() {
                return Err(error);
            }
            tokio::time::sleep(RETRY_PAUSE).await;
            (self.context.may_run)(&request.key)?;
        }
    }

    async fn attempt_read(
        self: &Rc<Self>,
        request: &ForwardRequest,
        shape: &PipelineShape,
        deadline: MonotonicTime,
    ) -> Result<ForwardAnswer, RequestError> {
        let view = self.wait_primary(deadline).await.ok_or_else(|| {
            RequestError::not_run(ErrorCode::NoUpstream, "the database has no primary")
        })?;
        let target = (self.context.class_target)(&request.class);
        let demand = ReadDemand {
            session: request.session,
            freshness: target.freshness,
            latency: target.latency,
        };
        let choice = self.reads.choose(&demand, &view, &self.gate).await;
        let role = match choice {
            ReadChoice::Replica => SlotRole::Replica,
            ReadChoice::Primary => SlotRole::Primary,
        };
        let mut permit = self.acquire_slot(request, role, deadline).await?;
        if *permit.member() != view.member && !self.reads.allows(permit.member(), &demand, &view) {
            // The free replica is not the one that the choice was about.
            drop(permit);
            permit = self
                .acquire_slot(request, SlotRole::Primary, deadline)
                .await?;
        }
        (self.context.may_run)(&request.key)?;
        let member = self.group.member(permit.member()).ok_or_else(|| {
            RequestError::not_run(ErrorCode::NoUpstream, "the member has left the group")
        })?;
        let result = self
            .read_from(&member, &view, shape, &demand, deadline)
            .await;
        let reply = match result {
            Ok(reply) => reply,
            Err(error) => {
                self.reads.record_failure(&member.id, &error);
                match &error {
                    UpstreamError::Refused(refusal) if refusal.status == 503 => permit.refused(),
                    _ => self.group.statement_failed(&member.id),
                }
                return Err(read_error(&error));
            }
        };
        let is_primary = member.id == view.member;
        self.reads.record_reply(&member.id, reply.log, is_primary);
        let age = if is_primary {
            Duration::ZERO
        } else {
            self.reads.age(&member.id)
        };
        Ok(ForwardAnswer {
            body: answer_body(None, shape.restore(reply.results))?,
            written: None,
            served_by: Some(ServedBy {
                member: member.id.clone(),
                is_primary,
                age,
            }),
        })
    }

    async fn read_from(
        self: &Rc<Self>,
        member: &Rc<MemberHandle>,
        view: &PrimaryView,
        shape: &PipelineShape,
        demand: &ReadDemand,
        deadline: MonotonicTime,
    ) -> Result<StreamReply, UpstreamError> {
        let no_stream = |error: RequestError| UpstreamError::Refused(overload(&error));
        let lease = self
            .wait_stream(member, StreamUse::Statement, deadline)
            .await;
        let mut lease = lease.map_err(no_stream)?;
        let is_primary = member.id == view.member;
        let timeout = deadline.since(self.context.clock.now());
        let terms = CallTerms {
            term: view.term,
            min_position: match demand.session {
                SessionDemand::AtLeast(position) => Some(position),
                SessionDemand::Unwritten | SessionDemand::Unknown => {
                    self.reads.least_position(demand).filter(|_| !is_primary)
                }
            },
            timeout: timeout.min(self.context.bounds.upstream_timeout),
        };
        let run = member.run(&mut lease, shape.requests(), terms);
        let reply = if is_primary && needs_current_primary(demand) {
            let (reply, is_current) = tokio::join!(run, self.is_current(view, deadline));
            if !is_current {
                let reason = "the primary was replaced during the read".to_owned();
                return Err(UpstreamError::NoResponse { reason });
            }
            reply?
        } else {
            run.await?
        };
        lease.check_in(self.context.clock.now());
        Ok(reply)
    }

    /// Tells whether a majority still accepts the primary's term.
    ///
    /// An old primary that is cut off from its group would otherwise serve old data to a session
    /// whose writes are not known here.
    async fn is_current(&self, view: &PrimaryView, deadline: MonotonicTime) -> bool {
        let start = LogPosition::new(view.term, 0);
        let members = self.group.members();
        let clock = self.context.clock;
        let majority = WriteCertainty::Majority;
        acknowledge_write(view, start, &members, majority, deadline, clock).await
            == AckOutcome::Acknowledged
    }
}

fn needs_current_primary(demand: &ReadDemand) -> bool {
    let is_known = matches!(demand.session, SessionDemand::AtLeast(_));
    matches!(demand.session, SessionDemand::Unknown) || (!is_known && demand.freshness.is_zero())
}

fn overload(error: &RequestError) -> coriander_upstream::UpstreamRefusal {
    coriander_upstream::UpstreamRefusal {
        status: 503,
        code: error.code.to_string(),
        message: error.message.clone(),
        term: None,
        log: None,
    }
}

/// A read has no effect, so "not run" is true for the caller in every case but a lost answer.
fn read_error(error: &UpstreamError) -> RequestError {
    match error.outcome() {
        RequestOutcome::NotRun => not_run_error(error),
        _ => RequestError::unknown(ErrorCode::UpstreamTimeout, error.to_string()),
    }
}
