//! Reads on replicas or the primary.

use std::rc::Rc;
use std::time::Duration;

use coriander_core::{
    ErrorCode, LogPosition, MonotonicTime, RequestError, RequestOutcome, WriteCertainty,
};
use coriander_failover::PrimaryView;
use coriander_limits::SlotRole;
use coriander_routing::ReadChoice;
use coriander_tokens::SessionPosition;
use coriander_upstream::{StreamLease, StreamUse, UpstreamError};

use super::acknowledge::AckOutcome;
use super::database_gateway::{DatabaseGateway, RETRY_DELAY, response_body};
use super::member_handle::{CallOptions, MemberHandle, StreamReply};
use super::run_write::{not_run_error, term_ended};
use super::slot_gate::SlotPermit;
use super::upstream_pipeline::UpstreamPipeline;
use crate::peer::{ForwardReply, ForwardRequest, ServedBy};
use crate::read_selector::ReadRequirement;

/// Minimum delay before a read target is chosen again.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(1);

impl DatabaseGateway {
    /// Runs a read; a failed attempt is retried, because reads have no effect.
    pub(super) async fn run_read(
        self: &Rc<Self>,
        request: ForwardRequest,
        pipeline: UpstreamPipeline,
        deadline: MonotonicTime,
    ) -> Result<ForwardReply, RequestError> {
        self.read_selector.count_request();
        loop {
            let error = match self.attempt_read(&request, &pipeline, deadline).await {
                Ok(reply) => return Ok(reply),
                Err(error) => error,
            };
            let is_final = matches!(error.code, ErrorCode::Overloaded | ErrorCode::Unauthorized);
            let is_past_deadline = self.context.clock.now() + RETRY_DELAY >= deadline;
            // Without a rank, this instance no longer detects changes of the primary.
            let is_replaced = self.rank.get().is_none() && error.code == ErrorCode::TermChanged;
            if is_final || is_past_deadline || is_replaced || !self.read_selector.try_take_retry() {
                return Err(error);
            }
            tokio::time::sleep(RETRY_DELAY).await;
            (self.context.may_run)(&request.key)?;
        }
    }

    async fn attempt_read(
        self: &Rc<Self>,
        request: &ForwardRequest,
        pipeline: &UpstreamPipeline,
        deadline: MonotonicTime,
    ) -> Result<ForwardReply, RequestError> {
        let view = self.wait_for_primary(deadline).await.ok_or_else(|| {
            RequestError::not_run(ErrorCode::NoUpstream, "the database has no primary")
        })?;
        let requirement = ReadRequirement {
            session: request.session,
            freshness: (self.context.class_target)(&request.class).freshness,
        };
        let (permit, min_position) = self
            .acquire_read_slot(request, &requirement, &view, deadline)
            .await?;
        let member = self.group.member(permit.member()).ok_or_else(|| {
            RequestError::not_run(ErrorCode::NoUpstream, "the member has left the group")
        })?;
        let lease = self.wait_for_stream(&member, StreamUse::Statement, deadline);
        let lease = lease.await?;
        (self.context.may_run)(&request.key)?;
        let ticket = self.read_selector.record_start(&member.id);
        let is_primary = member.id == view.member;
        let checks_term = is_primary && requires_current_primary(&requirement);
        let timeout = deadline.since(self.context.clock.now());
        let options = CallOptions {
            term: view.term,
            min_position,
            timeout: timeout.min(self.context.bounds.upstream_timeout),
        };
        let read = async {
            if checks_term {
                self.read_with_term_check(&member, lease, pipeline, options, &view)
                    .await
            } else {
                self.read_from(&member, lease, pipeline, options).await
            }
        };
        let result = tokio::select! {
            result = read => result,
            () = self.wait_for_term_end(&view) => Err(term_ended()),
        };
        let reply = match result {
            Ok(reply) => reply,
            Err(error) => {
                self.read_selector.record_failure(&ticket, &error);
                match &error {
                    UpstreamError::Refused(refusal) if refusal.status == 503 => permit.refuse(),
                    // The member has answered.
                    UpstreamError::NoMemory => {}
                    _ => self.group.statement_failed(&member.id),
                }
                return Err(read_error(&error));
            }
        };
        self.read_selector.record_reply(&ticket, &view, reply.log);
        let age = if is_primary {
            Duration::ZERO
        } else {
            self.read_selector.data_age(&member.id)
        };
        Ok(ForwardReply {
            body: response_body(None, pipeline.insert_close_results(reply.results))?,
            written: None,
            memory: reply.memory,
            served_by: ServedBy {
                member: member.id.clone(),
                is_primary,
                age,
            },
        })
    }

    /// Chooses a read target, waits for a slot and returns the position that it must have reached.
    async fn acquire_read_slot(
        self: &Rc<Self>,
        request: &ForwardRequest,
        requirement: &ReadRequirement,
        view: &PrimaryView,
        deadline: MonotonicTime,
    ) -> Result<(SlotPermit, Option<LogPosition>), RequestError> {
        if self.read_selector.needs_status(requirement.freshness) {
            self.request_status();
        }
        let start = self.context.clock.now();
        let waited = || self.context.clock.now().since(start);
        let mut choice =
            self.read_selector
                .choose(requirement, self.gate.expected_wait(), waited());
        while let ReadChoice::Wait { retry_after, .. } = choice {
            if self.context.clock.now() + retry_after >= deadline {
                break;
            }
            self.request_status();
            tokio::time::sleep(retry_after.max(MIN_RETRY_DELAY)).await;
            choice = self
                .read_selector
                .choose(requirement, self.gate.expected_wait(), waited());
        }
        if matches!(choice, ReadChoice::Replica { .. }) {
            let role = SlotRole::Replica;
            let permit = self.acquire_slot(request, role, deadline).await?;
            if *permit.member() == view.member {
                return Ok((permit, session_position(requirement)));
            }
            if let Some(position) = self
                .read_selector
                .required_position(permit.member(), requirement)
            {
                return Ok((permit, Some(position)));
            }
            // The replica with the free slot is not the chosen one and may not serve the read.
        }
        let permit = self
            .acquire_slot(request, SlotRole::Primary, deadline)
            .await?;
        Ok((permit, session_position(requirement)))
    }

    async fn read_from(
        &self,
        member: &MemberHandle,
        mut lease: StreamLease,
        pipeline: &UpstreamPipeline,
        options: CallOptions,
    ) -> Result<StreamReply, UpstreamError> {
        let reply = member.run(&mut lease, pipeline.requests(), options).await?;
        lease.check_in(self.context.clock.now());
        Ok(reply)
    }

    /// Reads from the primary and checks in parallel that it has not been replaced.
    async fn read_with_term_check(
        self: &Rc<Self>,
        member: &MemberHandle,
        lease: StreamLease,
        pipeline: &UpstreamPipeline,
        options: CallOptions,
        view: &PrimaryView,
    ) -> Result<StreamReply, UpstreamError> {
        let deadline = self.context.clock.now() + options.timeout;
        let read = self.read_from(member, lease, pipeline, options);
        let (reply, is_current) = tokio::join!(read, self.is_current_primary(view, deadline));
        if !is_current {
            let reason = "the primary was replaced during the read".to_owned();
            return Err(UpstreamError::NoResponse { reason });
        }
        reply
    }

    /// Returns whether a majority still accepts the primary's term.
    ///
    /// An old primary that is cut off from its group would otherwise serve stale data to a session
    /// whose written position is not known to this instance.
    async fn is_current_primary(
        self: &Rc<Self>,
        view: &PrimaryView,
        deadline: MonotonicTime,
    ) -> bool {
        let start = LogPosition::new(view.term, 0);
        let majority = WriteCertainty::Majority;
        self.wait_for_acknowledgement(view, start, majority, deadline)
            .await
            == AckOutcome::Acknowledged
    }
}

/// Returns whether a reply of an old primary could lack data that the read must return.
fn requires_current_primary(requirement: &ReadRequirement) -> bool {
    match requirement.session {
        SessionPosition::Unknown => true,
        SessionPosition::AtLeast(_) | SessionPosition::Unwritten => requirement.freshness.is_zero(),
    }
}

fn session_position(requirement: &ReadRequirement) -> Option<LogPosition> {
    match requirement.session {
        SessionPosition::AtLeast(position) => Some(position),
        SessionPosition::Unwritten | SessionPosition::Unknown => None,
    }
}

/// Maps the error of a read, which has no effect: only a lost reply has an unknown outcome.
fn read_error(error: &UpstreamError) -> RequestError {
    match error.outcome() {
        RequestOutcome::NotRun => not_run_error(error),
        // Not repeated: the same answer would meet the same shortage and hold a slot meanwhile.
        _ if *error == UpstreamError::NoMemory => {
            RequestError::unknown(ErrorCode::Overloaded, error.to_string())
        }
        _ => RequestError::unknown(ErrorCode::UpstreamTimeout, error.to_string()),
    }
}
