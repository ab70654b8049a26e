//! Messages between instances.

use std::time::Duration;

use coriander_usage::{InstanceCounts, ZoneCounts};
use serde::{Deserialize, Serialize};

/// Request for a loan of operations of an account.
#[derive(Debug, Deserialize, Serialize)]
pub struct LoanRequest {
    /// Account.
    pub account: String,
    /// Number of the request, repeated in the reply.
    pub number: u64,
    /// Number of operations requested.
    pub amount: u32,
    /// Number of owners that the operation asks at most; `None`: all of them.
    pub asked_owners: Option<u32>,
}

/// Reply to a [`LoanRequest`].
#[derive(Debug, Deserialize, Serialize)]
pub struct LoanReply {
    /// Account.
    pub account: String,
    /// Number of the request.
    pub number: u64,
    /// Number of operations lent.
    pub amount: u32,
}

/// Refusal of a [`LoanRequest`], because no operation is left.
#[derive(Debug, Deserialize, Serialize)]
pub struct LoanRefusal {
    /// Number of the request.
    pub number: u64,
    /// Delay after which the caller should retry.
    pub retry_after: Duration,
}

/// Notice that a promotion has taken effect.
#[derive(Debug, Deserialize, Serialize)]
pub struct PrimaryNotice {
    /// Group.
    pub group: String,
    /// Its new primary.
    pub member: String,
    /// Fencing token of the promotion.
    pub token: u64,
}

/// Report that the sender does or does not reach the primary of a group.
#[derive(Debug, Deserialize, Serialize)]
pub struct OutageReport {
    /// Group.
    pub group: String,
    /// Its primary.
    pub member: String,
    /// Whether the primary does not reply to the sender; false after it replies again.
    pub failing: bool,
}

/// Usage of client accounts, on its way to the holder of the duty to report it.
#[derive(Debug, Deserialize, Serialize)]
pub enum UsageMessage {
    /// Counts of the sender for the collectors of its zone, with its clock since the Unix epoch.
    Counts(InstanceCounts, Duration),
    /// Sums of a zone for the holder of the duty.
    Zone(ZoneCounts),
    /// What a collector has received of a process that has closed a window.
    Received {
        /// Process of the collector.
        collector: u64,
        /// Number of the window.
        window: u64,
        /// Operations of the process in the window that have arrived.
        operations: u64,
        /// Time at the collector since the Unix epoch.
        wall_time: Duration,
    },
}

/// A datagram between instances.
#[derive(Debug, Deserialize, Serialize)]
pub enum PeerMessage {
    /// Request for a loan.
    LoanRequest(LoanRequest),
    /// Reply to a request for a loan.
    LoanReply(LoanReply),
    /// A promotion has taken effect.
    Primary(PrimaryNotice),
    /// The instance of this name is about to stop.
    Leaving(String),
    /// Outage of a primary, or its end.
    Outage(OutageReport),
    /// Refusal of a request for a loan.
    LoanRefusal(LoanRefusal),
    /// Usage of client accounts.
    Usage(UsageMessage),
}

impl PeerMessage {
    /// Returns the kind of the message, for counters.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::LoanRequest(_) => "loan_request",
            Self::LoanReply(_) => "loan_reply",
            Self::LoanRefusal(_) => "loan_refusal",
            Self::Primary(_) => "primary",
            Self::Leaving(_) => "leaving",
            Self::Outage(_) => "outage",
            Self::Usage(_) => "usage",
        }
    }
}
