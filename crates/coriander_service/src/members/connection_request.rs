//! What a request for a connection needs.

use std::sync::Arc;

use coriander_core::MonotonicTime;
use coriander_queue::QueuedRequest;
use coriander_service_api::SessionValues;

use crate::sessions::exchange::ExchangePlan;

/// A request for a connection to a member.
pub struct ConnectionRequest<'a> {
    /// Account for which the connection is used.
    pub account: &'a Arc<str>,
    /// Values of the session.
    pub values: &'a SessionValues,
    /// Share of the account relative to others.
    pub weight: u32,
    /// Priority of the route; lower values are served first.
    pub priority: u32,
    /// Time by which the request should be served to meet its latency target.
    pub target: MonotonicTime,
    /// Time after which the request is refused.
    pub deadline: MonotonicTime,
    /// Time by which the statement must have ended.
    pub finish_by: MonotonicTime,
}

impl<'a> ConnectionRequest<'a> {
    /// Creates the request of a plan that is started now.
    pub fn new(plan: &'a ExchangePlan, now: MonotonicTime) -> Self {
        Self {
            account: &plan.account,
            values: &plan.values,
            weight: plan.account_weight,
            priority: plan.priority,
            target: now + plan.target_remaining,
            deadline: now + plan.acquire_timeout,
            finish_by: now + plan.time_limit,
        }
    }

    /// Returns the request as the queue orders it.
    pub fn to_queued(&self) -> QueuedRequest {
        QueuedRequest {
            account: self.account.clone(),
            weight: self.weight,
            priority: self.priority,
            target: self.target,
            deadline: self.deadline,
            finish_by: self.finish_by,
        }
    }
}
