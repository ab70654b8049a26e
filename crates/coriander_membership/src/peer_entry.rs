//! Liveness and state of one other instance.

use std::net::SocketAddr;
use std::time::Duration;

use coriander_core::{ConfigVersion, FleetMember, InstanceId, MonotonicTime, ZoneName};

use crate::{ArrivalWindow, Heartbeat, HeartbeatAck, InstanceState, PeerNotice};

/// Weight of a new sample in the smoothed delay.
const DELAY_WEIGHT: f64 = 0.2;

#[derive(Clone, Debug)]
pub(crate) struct PeerEntry {
    pub zone: ZoneName,
    pub address: SocketAddr,
    pub state: InstanceState,
    pub live: bool,
    /// Sequence of the newest heartbeat, received directly or reported by a notice.
    pub sequence: u64,
    pub config_version: ConfigVersion,
    /// Whether the peer sends a heartbeat to this instance in each round.
    pub expects_heartbeats: bool,
    /// Arrivals of heartbeats, for peers that send them to this instance.
    pub arrivals: Option<ArrivalWindow>,
    pub delay: Option<Duration>,
    /// State and liveness last reported as a change.
    pub last_reported: (InstanceState, bool),
}

impl PeerEntry {
    pub fn new(member: &FleetMember) -> Self {
        Self {
            zone: member.zone.clone(),
            address: member.peer_address,
            state: InstanceState::Serving,
            live: true,
            sequence: 0,
            config_version: ConfigVersion::default(),
            expects_heartbeats: false,
            arrivals: None,
            delay: None,
            last_reported: (InstanceState::Serving, true),
        }
    }

    /// Returns whether a sequence is new. After a timeout any sequence is, because the peer may
    /// have restarted and count from the beginning again.
    pub fn is_new(&self, sequence: u64) -> bool {
        sequence > self.sequence || !self.live
    }

    pub fn record_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        period: Duration,
        now: MonotonicTime,
    ) {
        self.sequence = heartbeat.sequence;
        self.state = heartbeat.state;
        self.live = true;
        self.config_version = heartbeat.config_version;
        match &mut self.arrivals {
            Some(arrivals) => arrivals.record(now),
            None => self.arrivals = Some(ArrivalWindow::new(period, now)),
        }
    }

    pub fn record_ack(&mut self, ack: &HeartbeatAck, clock: Duration) {
        self.config_version = self.config_version.max(ack.config_version);
        // `ack.sent` is a clock value of this process. A forged later value is ignored, since it
        // would give a negative delay.
        let Some(round_trip) = clock.checked_sub(ack.sent) else {
            return;
        };
        let sample = round_trip / 2;
        self.delay = Some(self.delay.map_or(sample, |delay| {
            delay.mul_f64(1.0 - DELAY_WEIGHT) + sample.mul_f64(DELAY_WEIGHT)
        }));
    }

    /// Returns whether this instance receives heartbeats of the peer.
    pub fn is_receiving_heartbeats(&self, now: MonotonicTime) -> bool {
        let arrivals = self.arrivals.as_ref();
        self.live && arrivals.is_some_and(|arrivals| !arrivals.is_timed_out(now))
    }

    /// Returns the recorded state as a notice for other instances.
    pub fn to_notice(&self, instance: &InstanceId) -> PeerNotice {
        PeerNotice {
            instance: instance.clone(),
            sequence: self.sequence,
            state: self.state,
            timed_out: !self.live,
        }
    }

    /// Applies a notice unless own observations are newer.
    pub fn apply_notice(&mut self, notice: &PeerNotice, now: MonotonicTime) {
        let receives_heartbeats = self.is_receiving_heartbeats(now);
        if notice.timed_out {
            // If heartbeats arrive here, only the sender of the notice has lost the connection.
            if !receives_heartbeats && notice.sequence >= self.sequence {
                self.live = false;
            }
        } else if notice.sequence > self.sequence {
            self.sequence = notice.sequence;
            self.state = notice.state;
            self.live = true;
        }
    }

    /// Checks the heartbeat timeout; returns whether state or liveness differ from the last report.
    pub fn advance(&mut self, now: MonotonicTime) -> bool {
        if self.arrivals.as_ref().is_some_and(|a| a.is_timed_out(now)) {
            self.live = false;
        }
        let changed = self.last_reported != (self.state, self.live);
        self.last_reported = (self.state, self.live);
        changed
    }
}
