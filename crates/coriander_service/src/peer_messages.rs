//! Messages between instances.

use coriander_core::LogPosition;
use serde::{Deserialize, Serialize};

/// Wish to borrow operations of an account.
#[derive(Debug, Deserialize, Serialize)]
pub struct LoanRequest {
    /// Account.
    pub account: String,
    /// Number that the reply repeats.
    pub number: u64,
    /// Operations wanted.
    pub wanted: u32,
}

/// Reply to a [`LoanRequest`].
#[derive(Debug, Deserialize, Serialize)]
pub struct LoanReply {
    /// Account.
    pub account: String,
    /// Number of the request.
    pub number: u64,
    /// Operations lent.
    pub amount: u32,
}

/// News that a promotion has taken effect.
#[derive(Debug, Deserialize, Serialize)]
pub struct PrimaryNotice {
    /// Group.
    pub group: String,
    /// Its new primary.
    pub member: String,
    /// Fencing token of the promotion.
    pub token: u64,
    /// Position of the new primary soon after it began to lead.
    pub position: LogPosition,
}

/// Observation that the primary of a group does not answer the sender.
#[derive(Debug, Deserialize, Serialize)]
pub struct OutageReport {
    /// Group.
    pub group: String,
    /// Its primary.
    pub member: String,
    /// Whether the sender is cut off from it, or reaches it again.
    pub failing: bool,
}

/// A datagram between instances.
#[derive(Debug, Deserialize, Serialize)]
pub enum PeerMessage {
    /// Wish for a loan.
    LoanRequest(LoanRequest),
    /// Reply to a wish for a loan.
    LoanReply(LoanReply),
    /// A promotion has taken effect.
    Primary(PrimaryNotice),
    /// The instance of this name is about to stop.
    Leaving(String),
    /// A primary does not answer.
    Outage(OutageReport),
}
