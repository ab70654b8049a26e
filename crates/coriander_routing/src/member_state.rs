//! State of one member as observed by an instance.

use std::time::Duration;

use coriander_core::{LogPosition, MemberId, MonotonicTime, TermNumber, ZoneName};

use crate::moving_average::MovingAverage;

/// Time for which a member receives no reads after a failure.
const FAILURE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Assumed service time of a request before the first measurement.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(2);

/// Zone and availability of a member, from the platform's list and the configured zones.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberPlacement {
    /// Availability zone of the member.
    pub zone: ZoneName,
    /// Whether the member is leaving the group.
    pub is_leaving: bool,
    /// Whether operators have taken the zone out of service.
    pub is_zone_out: bool,
}

/// Reply of a member to a status request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberReport {
    /// Current term of the member.
    pub term: TermNumber,
    /// Whether the member is the primary of that term.
    pub is_primary: bool,
    /// Position of the member's last log entry.
    pub log: LogPosition,
}

/// Handle of a request in flight to a member, released by recording its response or failure.
#[derive(Debug, Eq, PartialEq)]
#[must_use = "the request stays in flight until its ticket is recorded"]
pub struct RequestTicket {
    pub(crate) member: MemberId,
    pub(crate) sent: MonotonicTime,
    /// Requests ahead of this one for which the member had no free slot.
    pub(crate) queue_length: u32,
}

impl RequestTicket {
    /// Returns the member.
    pub const fn member(&self) -> &MemberId {
        &self.member
    }
}

#[derive(Debug)]
pub(crate) struct MemberState {
    pub(crate) id: MemberId,
    pub(crate) placement: MemberPlacement,
    pub(crate) term: TermNumber,
    pub(crate) position: LogPosition,
    /// Time at which the status request was sent that returned `term` and `position`.
    pub(crate) last_report_sent: MonotonicTime,
    pub(crate) in_flight: u32,
    /// Data age of the member at its reports, an estimate of its replication delay.
    pub(crate) lag: MovingAverage,
    round_trip: MovingAverage,
    service_time: MovingAverage,
    paused_until: MonotonicTime,
}

impl MemberState {
    pub(crate) fn new(id: MemberId, placement: MemberPlacement) -> Self {
        Self {
            id,
            placement,
            term: TermNumber::default(),
            position: LogPosition::default(),
            last_report_sent: MonotonicTime::ZERO,
            in_flight: 0,
            lag: MovingAverage::default(),
            round_trip: MovingAverage::default(),
            service_time: MovingAverage::default(),
            paused_until: MonotonicTime::ZERO,
        }
    }

    /// Records term and position, and returns whether they replace the previous ones.
    ///
    /// Replies can arrive out of order; the reply to the most recently sent request takes
    /// precedence.
    pub(crate) fn record_report(
        &mut self,
        term: TermNumber,
        log: Option<LogPosition>,
        sent: MonotonicTime,
    ) -> bool {
        let is_older = term < self.term || (term == self.term && sent < self.last_report_sent);
        if is_older {
            return false;
        }
        if let Some(log) = log {
            self.position = log;
        } else if term > self.term {
            // The log may have been truncated, so its position in the new term is unknown.
            self.position = LogPosition::default();
        }
        self.term = term;
        self.last_report_sent = self.last_report_sent.max(sent);
        true
    }

    pub(crate) fn clear_position(&mut self) {
        self.position = LogPosition::default();
    }

    pub(crate) fn record_round_trip(&mut self, round_trip: Duration) {
        self.round_trip.add(round_trip);
    }

    pub(crate) fn record_latency(&mut self, latency: Duration, queue_length: u32, slots: u32) {
        let round_trip = self.round_trip.mean().unwrap_or_default();
        let service_time = latency.saturating_sub(round_trip);
        self.service_time
            .add(service_time.mul_f64(f64::from(slots) / f64::from(slots + queue_length)));
    }

    pub(crate) fn pause(&mut self, now: MonotonicTime) {
        self.paused_until = now + FAILURE_RETRY_DELAY;
    }

    pub(crate) const fn is_available(&self) -> bool {
        !self.placement.is_leaving && !self.placement.is_zone_out
    }

    pub(crate) fn is_paused(&self, now: MonotonicTime) -> bool {
        now < self.paused_until
    }

    /// Returns the number of requests that a new one would queue behind.
    pub(crate) const fn queue_length(&self, slots: u32) -> u32 {
        (self.in_flight + 1).saturating_sub(slots)
    }

    /// Returns the expected time until the response to a new request.
    pub(crate) fn expected_latency(&self, slots: u32) -> Duration {
        self.expected_start(slots) + self.round_trip() / 2 + self.expected_service_time()
    }

    /// Returns the expected time until the member executes a new request.
    pub(crate) fn expected_start(&self, slots: u32) -> Duration {
        let queued_rounds = f64::from(self.queue_length(slots)) / f64::from(slots);
        self.round_trip() / 2 + self.expected_service_time().mul_f64(queued_rounds)
    }

    pub(crate) fn round_trip(&self) -> Duration {
        self.round_trip.mean().unwrap_or_default()
    }

    fn expected_service_time(&self) -> Duration {
        self.service_time.mean().unwrap_or(DEFAULT_SERVICE_TIME)
    }
}
