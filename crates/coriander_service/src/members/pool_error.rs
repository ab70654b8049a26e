//! Failures to acquire a connection.

use std::time::Duration;

use coriander_service_api::LinkError;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Failure to acquire a connection; nothing was sent to the member.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
pub enum PoolError {
    /// No connection became free in time.
    #[error("no connection became free: open={open} cap={cap} waiting={waiting}")]
    Exhausted {
        /// Open connections of the instance to the member.
        open: usize,
        /// Maximum number of connections of the instance to the member.
        cap: usize,
        /// Requests that wait for one.
        waiting: usize,
    },
    /// The home instance is unreachable or has no such member.
    #[error("home instance is not available")]
    HomeUnavailable,
    /// The member may not be used as primary, or no longer.
    #[error("primary role of the member is not confirmed")]
    PrimaryUnconfirmed,
    /// No position of the primary is known that was confirmed recently enough for the read.
    #[error("no recent position of the primary is known")]
    PositionUnknown,
    /// The member drains or its zone is taken out of service.
    #[error("member takes no new work")]
    MemberLeaving,
    /// A connection could not be opened.
    #[error(transparent)]
    Connect(#[from] LinkError),
    /// The requests that are served first leave no room until the deadline.
    #[error(
        "no room until the deadline: open={open} cap={cap} running={running} limit={limit} \
         waiting={waiting}"
    )]
    NoRoom {
        /// Open connections of the instance to the member.
        open: usize,
        /// Maximum number of connections of the instance to the member.
        cap: usize,
        /// Statements of the instance that run at the member; 0 where their number is not limited.
        running: usize,
        /// Maximum number of them, learned; 0 where it is not limited.
        limit: usize,
        /// Requests that wait and are still expected to be served.
        waiting: usize,
        /// Expected time until there is room for the caller.
        retry_after: Duration,
    },
}
