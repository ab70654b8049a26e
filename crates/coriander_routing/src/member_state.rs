//! What an instance knows about one member.

use std::time::Duration;

use coriander_core::{LogPosition, MemberId, MonotonicTime, TermNumber, ZoneName};

use crate::moving_average::MovingAverage;

/// Time for which a member that failed gets no reads.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);

/// Assumed time of execution before any was measured.
const DEFAULT_SERVICE: Duration = Duration::from_millis(2);

/// Place and availability of a member, from the platform's list and the operators' zones.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberPlacement {
    /// Availability zone of the member.
    pub zone: ZoneName,
    /// Whether the member is leaving.
    pub is_leaving: bool,
    /// Whether operators have taken the zone out of service.
    pub is_zone_out: bool,
}

/// Answer of a member to a status request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberReport {
    /// Current term of the member.
    pub term: TermNumber,
    /// Whether the member is the primary of that term.
    pub is_primary: bool,
    /// Position of the member's last log entry.
    pub log: LogPosition,
}

/// Proof that a request to a member was counted; ends with its response or failure.
#[derive(Debug, Eq, PartialEq)]
#[must_use = "the request stays in flight until its ticket is recorded"]
pub struct RequestTicket {
    pub(crate) member: MemberId,
    pub(crate) sent: MonotonicTime,
    /// Requests before this one for which the member had no slot.
    pub(crate) waiting: u32,
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
    /// Time at which the request was sent whose answer gave term and position.
    pub(crate) reported: MonotonicTime,
    pub(crate) in_flight: u32,
    /// Age of the member's data at its reports, an estimate of its replication delay.
    pub(crate) lag: MovingAverage,
    round_trip: MovingAverage,
    service: MovingAverage,
    paused_until: MonotonicTime,
}

impl MemberState {
    pub(crate) fn new(id: MemberId, placement: MemberPlacement) -> Self {
        Self {
            id,
            placement,
            term: TermNumber::default(),
            position: LogPosition::default(),
            reported: MonotonicTime::ZERO,
            in_flight: 0,
            lag: MovingAverage::default(),
            round_trip: MovingAverage::default(),
            service: MovingAverage::default(),
            paused_until: MonotonicTime::ZERO,
        }
    }

    /// Records term and position, and tells whether they are news.
    ///
    /// Answers can overtake each other; the answer to the request that was sent last counts.
    pub(crate) fn report(
        &mut self,
        term: TermNumber,
        log: Option<LogPosition>,
        sent: MonotonicTime,
    ) -> bool {
        let is_older = term < self.term || (term == self.term && sent < self.reported);
        if is_older {
            return false;
        }
        if let Some(log) = log {
            self.position = log;
        } else if term > self.term {
            // The log may have been cut back; nothing is known about it in the new term.
            self.position = LogPosition::default();
        }
        self.term = term;
        self.reported = self.reported.max(sent);
        true
    }

    pub(crate) fn forget_position(&mut self) {
        self.position = LogPosition::default();
    }

    pub(crate) fn measure_status(&mut self, round_trip: Duration) {
        self.round_trip.add(round_trip);
    }

    pub(crate) fn measure_response(&mut self, latency: Duration, waiting: u32, slots: u32) {
        let round_trip = self.round_trip.mean().unwrap_or_default();
        let service = latency.saturating_sub(round_trip);
        self.service
            .add(service.mul_f64(f64::from(slots) / f64::from(slots + waiting)));
    }

    pub(crate) fn pause(&mut self, now: MonotonicTime) {
        self.paused_until = now + FAILURE_PAUSE;
    }

    pub(crate) const fn takes_work(&self) -> bool {
        !self.placement.is_leaving && !self.placement.is_zone_out
    }

    pub(crate) fn is_paused(&self, now: MonotonicTime) -> bool {
        now < self.paused_until
    }

    /// Returns how many requests a new one would wait for.
    pub(crate) const fn waiting(&self, slots: u32) -> u32 {
        (self.in_flight + 1).saturating_sub(slots)
    }

    /// Returns the expected time until the response to a new request.
    pub(crate) fn expected_latency(&self, slots: u32) -> Duration {
        let service = self.service.mean().unwrap_or(DEFAULT_SERVICE);
        let queue = f64::from(self.waiting(slots)) / f64::from(slots.max(1));
        self.round_trip.mean().unwrap_or_default() + service.mul_f64(1.0 + queue)
    }
}
