//! Adaptive failure detection of one member.

use std::collections::VecDeque;
use std::time::Duration;

use coriander_core::MonotonicTime;

use crate::{CallFailure, MonitorSettings, ProbeId};

/// Weights of a new delay sample, as in the retransmission timer of TCP (RFC 6298).
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
const DEVIATION_FACTOR: f64 = 4.0;
const MIN_SAMPLES: u32 = 4;
const MAX_PENDING: usize = 64;

/// Pending probes of one member and the measured delays of its replies.
#[derive(Debug, Default)]
pub(crate) struct FailureDetector {
    pending: VecDeque<(ProbeId, MonotonicTime)>,
    silent_since: Option<MonotonicTime>,
    replied_probe_sent: Option<MonotonicTime>,
    refusals_since_reply: u32,
    sample_count: u32,
    mean_delay: f64,
    mean_deviation: f64,
}

impl FailureDetector {
    pub(crate) fn record_probe(&mut self, probe: ProbeId, now: MonotonicTime) {
        if self.pending.len() == MAX_PENDING {
            self.pending.pop_front();
        }
        self.pending.push_back((probe, now));
        self.silent_since.get_or_insert(now);
    }

    pub(crate) fn record_reply(&mut self, probe: ProbeId, now: MonotonicTime) {
        let Some(&(_, sent)) = self.pending.iter().find(|(id, _)| *id == probe) else {
            return;
        };
        self.add_sample(now.since(sent).as_secs_f64());
        self.pending.retain(|(id, _)| *id > probe);
        self.silent_since = self.pending.front().map(|(_, sent)| *sent);
        self.replied_probe_sent = Some(sent);
        self.refusals_since_reply = 0;
    }

    pub(crate) fn record_failure(&mut self, probe: ProbeId, failure: CallFailure) {
        // `silent_since` stays at the time of the failed probe; only a reply ends the silence.
        self.pending.retain(|(id, _)| *id != probe);
        if failure == CallFailure::Refused {
            self.refusals_since_reply += 1;
        }
    }

    /// Restarts the measurement of silence after a pause of this process.
    pub(crate) fn restart_silence(&mut self, now: MonotonicTime) {
        self.pending.clear();
        self.silent_since = self.silent_since.map(|_| now);
    }

    pub(crate) fn refusals_since_reply(&self) -> u32 {
        self.refusals_since_reply
    }

    pub(crate) fn silent_since(&self) -> Option<MonotonicTime> {
        self.silent_since
    }

    pub(crate) fn silence_timeout(&self, settings: &MonitorSettings) -> Duration {
        if self.sample_count < MIN_SAMPLES {
            return settings.max_silence_timeout;
        }
        Duration::from_secs_f64(self.mean_delay + DEVIATION_FACTOR * self.mean_deviation)
            .clamp(settings.min_silence_timeout, settings.max_silence_timeout)
    }

    pub(crate) fn silence_deadline(&self, settings: &MonitorSettings) -> Option<MonotonicTime> {
        self.silent_since
            .map(|since| since + self.silence_timeout(settings))
    }

    pub(crate) fn is_silent(&self, settings: &MonitorSettings, now: MonotonicTime) -> bool {
        self.silence_deadline(settings)
            .is_some_and(|deadline| now >= deadline)
    }

    /// Returns whether the member has replied to a probe that was sent at or after `time`.
    pub(crate) fn has_replied_since(&self, time: MonotonicTime) -> bool {
        self.replied_probe_sent.is_some_and(|sent| sent >= time)
    }

    fn add_sample(&mut self, delay: f64) {
        if self.sample_count == 0 {
            self.mean_delay = delay;
            self.mean_deviation = delay / 2.0;
        } else {
            let error = (delay - self.mean_delay).abs();
            self.mean_deviation += DEVIATION_WEIGHT * (error - self.mean_deviation);
            self.mean_delay += MEAN_WEIGHT * (delay - self.mean_delay);
        }
        self.sample_count = self.sample_count.saturating_add(1);
    }
}
