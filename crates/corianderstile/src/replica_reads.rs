//! Choice of the member that serves a read.

use std::rc::Rc;
use std::time::Duration;

use coriander_core::{GroupStatus, LogPosition, MemberId, ZoneName};
use coriander_failover::PrimaryView;
use coriander_upstream::UpstreamError;

use crate::gateway::MemberHandle;
use crate::gateway::SlotGate;
use crate::peer::SessionDemand;
use crate::process_clock::ProcessClock;

/// What a read demands.
#[derive(Clone, Copy, Debug)]
pub struct ReadDemand {
    /// Demand of the session.
    pub session: SessionDemand,
    /// Greatest accepted data age.
    pub freshness: Duration,
    /// Latency target of the class.
    pub latency: Duration,
}

/// Where a read goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadChoice {
    /// To a replica.
    Replica,
    /// To the primary.
    Primary,
}

/// Positions and delays of the members of one group.
pub struct ReplicaReads {}

impl ReplicaReads {
    /// Creates the table.
    pub fn new(_own_zone: ZoneName, _clock: ProcessClock) -> Self {
        Self {}
    }

    /// Records a status reply.
    pub fn record_status(&self, _status: &GroupStatus, _is_primary: bool) {}

    /// Takes over the members and whether they are in use.
    pub fn set_members(
        &self,
        _members: &[Rc<MemberHandle>],
        _in_use: &dyn Fn(&Rc<MemberHandle>) -> bool,
    ) {
    }

    /// Counts a request for the retry budget.
    pub fn count_request(&self) {}

    /// Takes a retry from the budget.
    pub fn may_retry(&self) -> bool {
        true
    }

    /// Chooses between replicas and the primary.
    pub async fn choose(
        &self,
        _demand: &ReadDemand,
        _view: &PrimaryView,
        _gate: &SlotGate,
    ) -> ReadChoice {
        ReadChoice::Primary
    }

    /// Tells whether a replica may serve a read.
    pub fn allows(&self, _member: &MemberId, _demand: &ReadDemand, _view: &PrimaryView) -> bool {
        false
    }

    /// Returns the position that a replica must have for the freshness target.
    pub fn least_position(&self, _demand: &ReadDemand) -> Option<LogPosition> {
        None
    }

    /// Records the position in a response.
    pub fn record_reply(&self, _member: &MemberId, _log: LogPosition, _is_primary: bool) {}

    /// Records a failed call.
    pub fn record_failure(&self, _member: &MemberId, _error: &UpstreamError) {}

    /// Returns the bound of the data age of a replica.
    pub fn age(&self, _member: &MemberId) -> Duration {
        Duration::ZERO
    }

    /// Describes the table for the state dump.
    pub fn describe(&self) -> serde_json::Value {
        serde_json::Value::Null
    }
}
