//! A request that waits for a connection.

use std::sync::Arc;

use coriander_core::MonotonicTime;

/// Identifies a request within its queue; later requests have higher tickets.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestTicket(pub(crate) u64);

/// A request that waits for a connection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueuedRequest {
    /// Client account of the request.
    pub account: Arc<str>,
    /// Share of the account relative to others, usually its rate limit; at least 1.
    pub weight: u32,
    /// Priority of the route; lower values are served first.
    pub priority: u32,
    /// Time by which the request should be served to meet its latency target.
    pub target: MonotonicTime,
    /// Time by which the request must get a connection.
    pub deadline: MonotonicTime,
    /// Time by which the request must have released the connection.
    pub finish_by: MonotonicTime,
}
