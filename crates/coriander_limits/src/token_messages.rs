//! Messages between holders and owners of tokens.

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

/// Tokens of a grant that the holder gives back unspent.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReturnedTokens {
    /// Grant from which the tokens are left.
    pub grant: GrantNumber,
    /// Number of tokens.
    pub amount: u32,
}

/// Asks an owner for tokens and returns unused ones.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TokenRequest {
    /// Account for which requests are to run.
    pub account: AccountName,
    /// Fleet version of the sender.
    pub fleet_version: FleetVersion,
    /// Number of the request, unique per holder, returned in the reply.
    pub number: u64,
    /// Wanted tokens; with 0 the message only returns tokens and gets no reply.
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
    /// Granted tokens, at most the wanted ones.
    pub amount: u32,
    /// Validity, counted from the time when the holder sent the request.
    pub expiry: Duration,
    /// Time after which the owner expects to have more tokens.
    pub retry_after: Duration,
}

/// Content of a shard that passes to the next owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HandOver {
    /// Account of the shard.
    pub account: AccountName,
    /// Fleet version in which the receiver owns the shard.
    pub fleet_version: FleetVersion,
    /// Share that the sender had in force.
    pub share: BucketShare,
    /// Millionths of a token left in the shard.
    pub tokens: u64,
}

/// What became of a hand-over.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum HandOverReply {
    /// The receiver goes on with the tokens.
    Done,
    /// The receiver does not know the fleet version yet; the sender repeats the message.
    NotYet,
    /// The receiver has no use for it: wrong sender, repeated, or too late.
    Ignored,
}
