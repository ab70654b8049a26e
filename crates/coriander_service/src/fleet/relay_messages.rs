//! Requests and replies between instances over connections.

use std::sync::Arc;
use std::time::Duration;

use coriander_core::MonotonicTime;
use coriander_wire::wire_duration;
use serde::{Deserialize, Serialize};

use crate::configuration::config_delta::ConfigDelta;
use crate::configuration::store_update::{KnownSnapshot, StoreUpdate};
use crate::sessions::exchange::{ExchangeOutcome, ExchangePlan};

/// Number of a reserved connection, assigned by the requesting instance.
pub type StreamNumber = u64;

/// Names in the plans of a stream, which its home instance keeps with the connection.
pub struct StreamNames {
    group: Arc<str>,
    member: Arc<str>,
    account: Arc<str>,
}

impl StreamNames {
    /// Returns the names of a plan.
    pub fn of(plan: &ExchangePlan) -> Self {
        Self {
            group: plan.group.clone(),
            member: plan.member.clone(),
            account: plan.account.clone(),
        }
    }

    /// Sets the names of a further plan of the stream.
    pub fn restore(&self, plan: &mut ExchangePlan) {
        plan.group = self.group.clone();
        plan.member = self.member.clone();
        plan.account = self.account.clone();
    }
}

/// A request to a home instance.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum RelayRequest {
    /// Executes an exchange, on the reserved connection of the stream if there is one.
    Exchange {
        /// Stream of the operation.
        stream: StreamNumber,
        /// Whether the stream must already exist.
        must_exist: bool,
        /// Plan of the exchange.
        plan: Box<ExchangePlan>,
    },
    /// Rolls back and releases the connection of a stream.
    EndStream(StreamNumber),
    /// Requests the parts of the newest snapshot of the store that the sender lacks.
    StoreUpdate {
        /// The snapshot that the sender has.
        known: KnownSnapshot,
        /// Time for which the receiver may wait for a snapshot that it has not applied yet.
        #[serde(with = "wire_duration")]
        hold: Duration,
    },
    /// Checks that the instance replies.
    Ping,
    /// Requests the changes of the configuration since a version.
    ConfigDelta {
        /// Version that the sender has.
        known_version: u64,
    },
}

/// The reply to a [`RelayRequest`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum RelayReply {
    /// Outcome of an exchange.
    Outcome(Box<ExchangeOutcome>),
    /// Update of the store.
    StoreUpdate(Box<HeldUpdate>),
    /// Acknowledges the end of a stream or a ping.
    Acknowledged,
    /// Changes of the configuration; `None` if the version of the request is not known.
    ConfigDelta(Option<Box<ConfigDelta>>),
}

impl RelayRequest {
    /// Returns the kind of the request, for counters.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Exchange { .. } => "exchange",
            Self::EndStream(_) => "end_stream",
            Self::StoreUpdate { .. } => "store_update_request",
            Self::Ping => "ping",
            Self::ConfigDelta { .. } => "config_delta_request",
        }
    }
}

impl RelayReply {
    /// Returns the kind of the reply, for counters.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Outcome(_) => "outcome",
            Self::StoreUpdate(_) => "store_update",
            Self::Acknowledged => "acknowledgement",
            Self::ConfigDelta(_) => "config_delta",
        }
    }
}

/// An update of the store that its sender held back until there was one.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct HeldUpdate {
    /// Time from the arrival of the request until the update was made.
    #[serde(with = "wire_duration")]
    pub held: Duration,
    /// The update.
    pub update: StoreUpdate,
}

impl HeldUpdate {
    /// Returns a time at which the update was still current, for a request sent at `sent_at` whose
    /// reply was received at `received_at`; `None` if the source has read nothing. The request
    /// arrived after it was sent, so the returned time is never later than the source's read.
    pub fn read_time(
        &self,
        sent_at: MonotonicTime,
        received_at: MonotonicTime,
    ) -> Option<MonotonicTime> {
        let age = self.update.age?;
        let held = self.held.min(received_at.since(sent_at));
        Some((sent_at + held).saturating_sub(age))
    }
}
