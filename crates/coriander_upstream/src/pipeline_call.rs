//! Hrana pipeline requests and replies with encoded bodies.

use std::time::Duration;

use coriander_core::{LogPosition, TermNumber};
use ntex::util::Bytes;

use crate::ResponseMemory;

/// Header with the term in which a statement request may run, and with the member's term in
/// responses.
pub const TERM_HEADER: &str = "x-group-term";
/// Header with the position that a member must have reached to serve a read.
pub const MIN_POSITION_HEADER: &str = "x-min-position";
/// Header of responses with the last entry of the member's log.
pub const LOG_POSITION_HEADER: &str = "x-log-position";
/// Header of error responses; the value `not_run` means that nothing was executed.
pub const OUTCOME_HEADER: &str = "x-outcome";

/// Endpoint of the Hrana protocol.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub enum PipelineEndpoint {
    /// `POST /v2/pipeline`.
    V2,
    /// `POST /v3/pipeline`.
    #[default]
    V3,
    /// `POST /v3/cursor`.
    Cursor,
}

impl PipelineEndpoint {
    /// Returns the path of the endpoint.
    pub const fn path(self) -> &'static str {
        match self {
            Self::V2 => "/v2/pipeline",
            Self::V3 => "/v3/pipeline",
            Self::Cursor => "/v3/cursor",
        }
    }
}

/// A pipeline request with an encoded JSON body.
#[derive(Clone, Debug)]
pub struct PipelineRequest {
    /// Endpoint to call.
    pub endpoint: PipelineEndpoint,
    /// Encoded JSON body.
    pub body: Bytes,
    /// Term in which the statements may run.
    pub term: TermNumber,
    /// Position that the member must have reached.
    pub min_position: Option<LogPosition>,
    /// Time after which the response counts as lost.
    pub timeout: Duration,
}

impl PipelineRequest {
    const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);

    /// Creates a request to `/v3/pipeline`.
    ///
    /// ```
    /// use coriander_core::{LogPosition, TermNumber};
    /// use coriander_upstream::PipelineRequest;
    ///
    /// let term = TermNumber::new(3);
    /// let request = PipelineRequest::new(term, r#"{"baton":null,"requests":[]}"#)
    ///     .with_min_position(LogPosition::new(term, 7));
    /// assert_eq!(request.endpoint.path(), "/v3/pipeline");
    /// ```
    pub fn new(term: TermNumber, body: impl Into<Bytes>) -> Self {
        Self {
            endpoint: PipelineEndpoint::default(),
            body: body.into(),
            term,
            min_position: None,
            timeout: Self::DEFAULT_TIMEOUT,
        }
    }

    /// Sets the endpoint.
    #[must_use]
    pub fn with_endpoint(mut self, endpoint: PipelineEndpoint) -> Self {
        self.endpoint = endpoint;
        self
    }

    /// Requires that the member has reached a position.
    #[must_use]
    pub fn with_min_position(mut self, position: LogPosition) -> Self {
        self.min_position = Some(position);
        self
    }

    /// Sets the time after which the response counts as lost.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }
}

/// A complete response to a pipeline request.
#[derive(Clone, Debug)]
pub struct PipelineReply {
    /// Encoded JSON body.
    pub body: Bytes,
    /// Term of the member when it responded.
    pub term: TermNumber,
    /// Last entry of the member's log when it responded.
    pub log: LogPosition,
    /// Memory of the response.
    pub memory: ResponseMemory,
}
