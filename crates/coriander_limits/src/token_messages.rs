//! Messages between grant clients and owners of token bucket shards.

use std::time::Duration;

use coriander_core::AccountName;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{BucketShare, FleetVersion};

/// Number of a grant, unique per owner.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct GrantNumber(pub u64);

/// Unspent tokens of a grant that a client returns to the owner.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReturnedTokens {
    /// Grant to which the tokens belong.
    pub grant: GrantNumber,
    /// Number of tokens.
    pub amount: u32,
}

/// Requests tokens from an owner and returns unused ones.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TokenRequest {
    /// Account for which the tokens are requested.
    pub account: AccountName,
    /// Fleet version of the sender.
    pub fleet_version: FleetVersion,
    /// Number of the request, unique per client; repeated in the reply.
    pub number: u64,
    /// Requested tokens; with 0 the message only returns tokens and has no reply.
    pub amount: u32,
    /// Unused tokens of earlier grants.
    pub returned: SmallVec<[ReturnedTokens; 2]>,
}

/// Reply of an owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TokenGrant {
    /// Account of the request.
    pub account: AccountName,
    /// Number of the request.
    pub number: u64,
    /// Number of the grant.
    pub grant: GrantNumber,
    /// Granted tokens, at most the requested ones.
    pub amount: u32,
    /// Validity of the grant, counted from the time at which the client sent the request.
    pub expiry: Duration,
    /// Time after which the owner expects to have tokens for another request.
    pub retry_after: Duration,
}

/// Hand-over of a shard's content to its next owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HandOver {
    /// Account of the shard.
    pub account: AccountName,
    /// Fleet version in which the receiver owns the shard.
    pub fleet_version: FleetVersion,
    /// Active share of the sender.
    pub share: BucketShare,
    /// Content of the shard in millionths of a token.
    pub tokens: u64,
}

/// Result of a hand-over.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum HandOverReply {
    /// The receiver continues with the share and the tokens.
    Done,
    /// The receiver has not applied the fleet version yet; the sender repeats the message.
    NotYet,
    /// The receiver ignores the hand-over: wrong sender, duplicate, or too late.
    Ignored,
}
