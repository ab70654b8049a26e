//! Client and stream pool of one upstream member.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use coriander_core::{LogPosition, MemberId, TermNumber, ZoneName};
use coriander_upstream::{
    PipelineRequest, ResponseMemory, StreamLease, StreamPool, StreamUse, UpstreamError,
    UpstreamMember, close_stream_body, open_stream_body, read_baton,
};
use libsql_hrana::proto::{PipelineRespBody, StreamRequest, StreamResult};
use serde::Serialize;

use crate::process_clock::ProcessClock;

/// Result of a pipeline on an upstream stream.
pub struct StreamReply {
    /// Results in the order of the requests.
    pub results: Vec<StreamResult>,
    /// Last entry of the member's log.
    pub log: LogPosition,
    /// Memory of the response.
    pub memory: ResponseMemory,
}

/// Options of a call to a member.
#[derive(Clone, Copy, Debug)]
pub struct CallOptions {
    /// Term in which the statements may run.
    pub term: TermNumber,
    /// Position that the member must have reached.
    pub min_position: Option<LogPosition>,
    /// Time after which the response counts as lost.
    pub timeout: Duration,
}

#[derive(Serialize)]
struct PipelineBody<'a> {
    baton: Option<&'a str>,
    requests: &'a [StreamRequest],
}

/// One upstream member with its stream pool.
pub struct MemberHandle {
    /// Identifier of the member.
    pub id: MemberId,
    /// Address of the member.
    pub address: SocketAddr,
    /// Availability zone of the member.
    pub zone: RefCell<ZoneName>,
    /// Whether the platform reports the member as leaving.
    pub is_leaving: Cell<bool>,
    /// Client of the member.
    pub client: Rc<dyn UpstreamMember>,
    /// Streams of the member.
    pub pool: StreamPool,
}

impl MemberHandle {
    /// Runs requests on a leased stream and updates the baton of the lease.
    pub async fn run(
        &self,
        lease: &mut StreamLease,
        requests: &[StreamRequest],
        options: CallOptions,
    ) -> Result<StreamReply, UpstreamError> {
        let body = serde_json::to_vec(&PipelineBody {
            baton: lease.baton(),
            requests,
        })
        .map_err(|error| UpstreamError::Malformed {
            reason: error.to_string(),
        })?;
        let mut request = PipelineRequest::new(options.term, body).with_timeout(options.timeout);
        if let Some(position) = options.min_position {
            request = request.with_min_position(position);
        }
        let reply = self.client.pipeline(request).await?;
        if reply.term != options.term {
            // The member rolled back what it had not committed, so errors in the results do not
            // show whether the statements were executed.
            return Err(UpstreamError::NoResponse {
                reason: "the term changed during the request".to_owned(),
            });
        }
        let body: PipelineRespBody =
            serde_json::from_slice(&reply.body).map_err(|error| UpstreamError::Malformed {
                reason: error.to_string(),
            })?;
        match body.baton {
            Some(baton) => lease.set_baton(baton),
            None => lease.clear_baton(),
        }
        Ok(StreamReply {
            results: body.results,
            log: reply.log,
            memory: reply.memory,
        })
    }

    /// Opens streams before they are needed and closes excess ones.
    pub fn maintain_pool(self: &Rc<Self>, term: TermNumber, clock: ProcessClock) {
        let now = clock.now();
        while let Some(lease) = self.pool.next_to_close(now) {
            ntex::rt::spawn(self.clone().close_stream(lease, term));
        }
        while let Some(lease) = self.pool.warm_up(now) {
            ntex::rt::spawn(self.clone().open_stream(lease, term, clock));
        }
    }

    async fn close_stream(self: Rc<Self>, lease: StreamLease, term: TermNumber) {
        let body = close_stream_body(lease.baton().unwrap_or_default());
        // If the call fails, the member drops the stream after its idle timeout.
        let _ = self.client.pipeline(PipelineRequest::new(term, body)).await;
    }

    async fn open_stream(
        self: Rc<Self>,
        mut lease: StreamLease,
        term: TermNumber,
        clock: ProcessClock,
    ) {
        let request = PipelineRequest::new(term, open_stream_body());
        let Ok(reply) = self.client.pipeline(request).await else {
            return;
        };
        if let Ok(Some(baton)) = read_baton(&reply.body) {
            lease.set_baton(baton);
            lease.check_in(clock.now());
        }
    }

    /// Checks out a stream; `None` if all are in use.
    pub fn check_out(&self, purpose: StreamUse, clock: ProcessClock) -> Option<StreamLease> {
        self.pool.check_out(purpose, clock.now())
    }
}
