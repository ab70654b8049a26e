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

/// Probes of one member and the delays of its replies.
#[derive(Debug, Default)]
pub(crate) struct FailureDetector {
    pending: VecDeque<(ProbeId, MonotonicTime)>,
    silent_since: Option<MonotonicTime>,
    answered_probe_sent: Option<MonotonicTime>,
    refusals: u32,
    samples: u32,
    mean: f64,
    deviation: f64,
}

impl FailureDetector {
    pub(crate) fn probe_sent(&mut self, probe: ProbeId, now: MonotonicTime) {
        if self.pending.len() == MAX_PENDING {
            self.pending.pop_front();
        }
        self.pending.push_back((probe, now));
        self.silent_since.get_or_insert(now);
    }

    pub(crate) fn answered(&mut self, probe: ProbeId, now: MonotonicTime) {
        let Some(&(_, sent)) = self.pending.iter().find(|(id, _)| *id == probe) else {
            return;
        };
        self.add_sample(now.since(sent).as_secs_f64());
        self.pending.retain(|(id, _)| *id > probe);
        self.silent_since = self.pending.front().map(|(_, sent)| *sent);
        self.answered_probe_sent = Some(sent);
        self.refusals = 0;
    }

    pub(crate) fn failed(&mut self, probe: ProbeId, failure: CallFailure) {
        // The probe stays the start of the silence; only an answer ends it.
        self.pending.retain(|(id, _)| *id != probe);
        if failure == CallFailure::Refused {
            self.refusals += 1;
        }
    }

    /// Restarts the measurement of silence after this process itself did not run.
    pub(crate) fn restart_silence(&mut self, now: MonotonicTime) {
        self.pending.clear();
        self.silent_since = self.silent_since.map(|_| now);
    }

    pub(crate) fn refusals(&self) -> u32 {
        self.refusals
    }

    pub(crate) fn silent_since(&self) -> Option<MonotonicTime> {
        self.silent_since
    }

    pub(crate) fn silence_timeout(&self, settings: &MonitorSettings) -> Duration {
        if self.samples < MIN_SAMPLES {
            return settings.silence_ceiling;
        }
        Duration::from_secs_f64(self.mean + DEVIATION_FACTOR * self.deviation)
            .clamp(settings.silence_floor, settings.silence_ceiling)
    }

    pub(crate) fn silence_deadline(&self, settings: &MonitorSettings) -> Option<MonotonicTime> {
        self.silent_since
            .map(|since| since + self.silence_timeout(settings))
    }

    pub(crate) fn is_silent(&self, settings: &MonitorSettings, now: MonotonicTime) -> bool {
        self.silence_deadline(settings)
            .is_some_and(|deadline| now >= deadline)
    }

    /// Tells whether the member answered a probe that was sent at or after `time`.
    pub(crate) fn answered_since(&self, time: MonotonicTime) -> bool {
        self.answered_probe_sent.is_some_and(|sent| sent >= time)
    }

    fn add_sample(&mut self, delay: f64) {
        if self.samples == 0 {
            self.mean = delay;
            self.deviation = delay / 2.0;
        } else {
            let error = (delay - self.mean).abs();
            self.deviation += DEVIATION_WEIGHT * (error - self.deviation);
            self.mean += MEAN_WEIGHT * (delay - self.mean);
        }
        self.samples = self.samples.saturating_add(1);
    }
}
