//! Drain state of the own instance.

use std::time::Duration;

use coriander_core::{ErrorCode, MonotonicTime, RequestError};

use crate::InstanceState;

/// Time during which a draining instance forwards requests of callers that still send to it.
const FORWARD_TIME: Duration = Duration::from_secs(3);

/// Time after which a draining instance stops even with requests in flight.
pub(crate) const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// Reason why the instance is draining.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum DrainCause {
    /// The process received a request to terminate; cannot be revoked.
    Terminated,
    /// Operators set the instance to draining.
    Operator,
    /// Operators took the availability zone out of service.
    ZoneOut,
}

/// How a new request is handled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkAdmission {
    /// Run or forward it, depending on the ranks.
    Serve,
    /// Forward it to another instance.
    Forward,
    /// Refuse it, with the outcome not run.
    Refuse,
}

/// Drain state of the own instance.
///
/// ```
/// use coriander_core::MonotonicTime;
/// use coriander_membership::{DrainCause, DrainState, WorkAdmission};
///
/// let mut drain = DrainState::new();
/// let start = MonotonicTime::from_millis(1_000);
/// drain.begin(DrainCause::Terminated, start);
/// assert!(!drain.is_ready());
/// assert_eq!(drain.admission(start), WorkAdmission::Forward);
/// assert_eq!(drain.admission(MonotonicTime::from_millis(4_000)), WorkAdmission::Refuse);
/// assert!(drain.is_finished(0, MonotonicTime::from_millis(4_000)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct DrainState {
    causes: Vec<DrainCause>,
    start: Option<MonotonicTime>,
}

impl DrainState {
    /// Creates the state of an instance in service.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts draining. A further cause does not restart the timeouts.
    pub fn begin(&mut self, cause: DrainCause, now: MonotonicTime) {
        if !self.causes.contains(&cause) {
            self.causes.push(cause);
        }
        self.start.get_or_insert(now);
    }

    /// Removes a cause; the instance returns to service when no cause remains.
    pub fn end(&mut self, cause: DrainCause) {
        if cause != DrainCause::Terminated {
            self.causes.retain(|other| *other != cause);
        }
        if self.causes.is_empty() {
            self.start = None;
        }
    }

    /// Returns whether the load balancer may send requests to this instance.
    pub fn is_ready(&self) -> bool {
        self.start.is_none()
    }

    /// Returns whether the process terminates when draining is complete.
    pub fn is_terminating(&self) -> bool {
        self.causes.contains(&DrainCause::Terminated)
    }

    /// Returns how to handle a new request.
    pub fn admission(&self, now: MonotonicTime) -> WorkAdmission {
        match self.start {
            None => WorkAdmission::Serve,
            Some(start) if now.since(start) < FORWARD_TIME => WorkAdmission::Forward,
            Some(_) => WorkAdmission::Refuse,
        }
    }

    /// Returns the error for a request that is refused because of draining.
    pub fn refusal(&self) -> RequestError {
        let message = if self.causes.contains(&DrainCause::ZoneOut) {
            "availability zone is out of service"
        } else {
            "instance is leaving"
        };
        RequestError::not_run(ErrorCode::Draining, message)
    }

    /// Returns whether draining is complete: no request is in flight after the forwarding time, or
    /// the timeout has passed.
    pub fn is_finished(&self, in_flight: usize, now: MonotonicTime) -> bool {
        let Some(start) = self.start else {
            return false;
        };
        let passed = now.since(start);
        (in_flight == 0 && passed >= FORWARD_TIME) || passed >= DRAIN_TIMEOUT
    }

    /// Returns the state to report in heartbeats.
    pub fn state(&self, in_flight: usize, now: MonotonicTime) -> InstanceState {
        if self.start.is_none() {
            InstanceState::Serving
        } else if self.is_finished(in_flight, now) {
            InstanceState::Stopped
        } else {
            InstanceState::Draining
        }
    }
}
