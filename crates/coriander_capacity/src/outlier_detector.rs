//! Sets a member aside by outcome and latency, and takes it back by probes.

use std::time::Duration;

use coriander_core::MonotonicTime;

/// Half-life of the counts of outcomes. Within a second a member that has recovered outweighs what
/// came before.
const COUNT_HALF_LIFE: Duration = Duration::from_millis(700);

/// Weighted failures from which a member is set aside. A single lost reply must not suffice.
const MIN_FAILURES: f64 = 1.6;

/// Share of failures among the outcomes from which a member is set aside. A network that loses 5 %
/// of the replies stays far below.
const MAX_FAILURE_SHARE: f64 = 0.25;

/// Latency, relative to the usual one, from which a member is slow.
const SLOW_RATIO: f64 = 3.0;

/// Latency, relative to that of the best member of the group, from which a member is slow. Where
/// the whole group is slow, nobody is set aside.
const SLOW_PEER_RATIO: f64 = 2.0;

/// Latency, relative to the usual one, from which a probe counts as slow. It is lower than that of
/// setting aside, so that a member near the bound does not change its state all the time.
const RETURN_RATIO: f64 = 2.0;

/// Weight of the newest sample in the relative latency.
const RATIO_WEIGHT: f64 = 0.2;

/// Maximum relative latency of one sample, so that one statement alone does not make a
/// member slow.
const MAX_SAMPLE_RATIO: f64 = 8.0;

/// Weighted samples needed to call a member slow.
const MIN_RATIO_SAMPLES: f64 = 5.0;

/// Age from which a relative latency says nothing.
const MAX_RATIO_AGE: Duration = Duration::from_secs(3);

/// Time until the first probe; doubled each time the member is set aside again soon.
const MIN_PROBE_DELAY: Duration = Duration::from_millis(400);

/// Maximum time until a probe. A member that is well again is used after three probes.
const MAX_PROBE_DELAY: Duration = Duration::from_millis(3_200);

/// Time between two probes that succeed.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Probes in a row that must succeed.
const PROBES_TO_RETURN: u32 = 3;

/// Time without being set aside after which the delay of the first probe is halved.
const BACKOFF_DECAY_TIME: Duration = Duration::from_secs(5);

/// Why a member is set aside.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OutlierCause {
    /// It fails statements or closes connections.
    Failing,
    /// It leaves statements unanswered.
    Silent,
    /// It answers slowly.
    Slow,
}

impl OutlierCause {
    /// Returns the cause as one word for logs and metrics.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Failing => "failing",
            Self::Silent => "silent",
            Self::Slow => "slow",
        }
    }
}

/// Change of the state of a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OutlierChange {
    /// The member is set aside.
    SetAside(OutlierCause),
    /// The member is used again.
    TakenBack,
}

#[derive(Clone, Copy, Debug)]
struct Ejection {
    cause: OutlierCause,
    probe_at: MonotonicTime,
    good_probes: u32,
}

/// Decides by outcomes and relative latency whether one member is set aside.
///
/// ```
/// use coriander_capacity::{OutlierCause, OutlierDetector, SampleOutcome};
/// use coriander_core::MonotonicTime;
///
/// let mut detector = OutlierDetector::default();
/// let now = MonotonicTime::from_millis(5_000);
/// assert_eq!(detector.record(SampleOutcome::Failed, None, None, now), None);
/// let change = detector.record(SampleOutcome::Failed, None, None, now);
/// assert!(change.is_some() && detector.is_set_aside());
/// assert_eq!(detector.cause(), Some(OutlierCause::Failing));
/// ```
#[derive(Clone, Debug, Default)]
pub struct OutlierDetector {
    counted_at: MonotonicTime,
    samples: f64,
    failures: f64,
    unanswered: f64,
    ratio: f64,
    ratio_samples: f64,
    ratio_at: MonotonicTime,
    ejection: Option<Ejection>,
    ejections: u32,
    returned_at: MonotonicTime,
}

impl OutlierDetector {
    /// Records an exchange. `ratio` is its latency relative to the usual one of its class, a lower
    /// bound if the exchange was left unanswered, and `peer_ratio` the lowest relative latency of the other members of the group, if known.
    pub fn record(
        &mut self,
        outcome: crate::SampleOutcome,
        ratio: Option<f64>,
        peer_ratio: Option<f64>,
        now: MonotonicTime,
    ) -> Option<OutlierChange> {
        self.decay(now);
        self.samples += 1.0;
        if outcome.is_failure() {
            self.failures += 1.0;
        }
        if outcome == crate::SampleOutcome::Unanswered {
            self.unanswered += 1.0;
        }
        if let Some(ratio) = ratio {
            let is_lower_bound = outcome == crate::SampleOutcome::Unanswered;
            self.record_ratio(ratio, is_lower_bound, now);
        }
        if self.ejection.is_some() {
            return self.record_probe(outcome, ratio, now);
        }
        let cause = self.outlier_cause(peer_ratio)?;
        Some(self.set_aside(cause, now))
    }

    fn decay(&mut self, now: MonotonicTime) {
        let age = now.since(self.counted_at).as_secs_f64();
        let factor = 0.5_f64.powf(age / COUNT_HALF_LIFE.as_secs_f64());
        self.counted_at = now;
        for count in [&mut self.samples, &mut self.failures, &mut self.unanswered] {
            *count *= factor;
        }
    }

    fn record_ratio(&mut self, ratio: f64, is_lower_bound: bool, now: MonotonicTime) {
        if now.since(self.ratio_at) > MAX_RATIO_AGE {
            self.ratio_samples = 0.0;
            self.ratio = 1.0;
        }
        self.ratio_at = now;
        self.ratio_samples = (self.ratio_samples + 1.0).min(100.0);
        let ratio = if is_lower_bound {
            ratio.max(self.ratio)
        } else {
            ratio
        };
        self.ratio += RATIO_WEIGHT * (ratio.min(MAX_SAMPLE_RATIO) - self.ratio);
    }

    fn outlier_cause(&self, peer_ratio: Option<f64>) -> Option<OutlierCause> {
        let is_failing =
            self.failures >= MIN_FAILURES && self.failures >= MAX_FAILURE_SHARE * self.samples;
        if is_failing {
            let is_silent = self.unanswered * 2.0 >= self.failures;
            return Some(if is_silent {
                OutlierCause::Silent
            } else {
                OutlierCause::Failing
            });
        }
        let bound = SLOW_RATIO.max(SLOW_PEER_RATIO * peer_ratio.unwrap_or(1.0));
        let is_slow = self.ratio_samples >= MIN_RATIO_SAMPLES && self.ratio >= bound;
        is_slow.then_some(OutlierCause::Slow)
    }

    fn set_aside(&mut self, cause: OutlierCause, now: MonotonicTime) -> OutlierChange {
        let in_use = now.since(self.returned_at).as_secs_f64();
        let decayed = in_use / BACKOFF_DECAY_TIME.as_secs_f64();
        self.ejections = self.ejections.saturating_sub(decayed as u32);
        let delay = self.probe_delay();
        self.ejections = (self.ejections + 1).min(8);
        self.ejection = Some(Ejection {
            cause,
            probe_at: now + delay,
            good_probes: 0,
        });
        OutlierChange::SetAside(cause)
    }

    fn probe_delay(&self) -> Duration {
        let delay = MIN_PROBE_DELAY * 2_u32.saturating_pow(self.ejections);
        delay.min(MAX_PROBE_DELAY)
    }

    /// Records an exchange with a member that is set aside. Any exchange counts, also a write that
    /// only the primary can run.
    fn record_probe(
        &mut self,
        outcome: crate::SampleOutcome,
        ratio: Option<f64>,
        now: MonotonicTime,
    ) -> Option<OutlierChange> {
        let delay = self.probe_delay();
        let ejection = self.ejection.as_mut()?;
        if outcome == crate::SampleOutcome::Rejected {
            return None;
        }
        let is_slow = match ratio {
            Some(ratio) => ratio >= RETURN_RATIO,
            // Where the usual latency is not known, a reply does not show that it is fast again.
            None => ejection.cause == OutlierCause::Slow,
        };
        if outcome.is_failure() || is_slow {
            ejection.good_probes = 0;
            ejection.probe_at = now + delay.min(MIN_PROBE_DELAY * 2);
            return None;
        }
        ejection.good_probes += 1;
        ejection.probe_at = now + PROBE_INTERVAL;
        if ejection.good_probes < PROBES_TO_RETURN {
            return None;
        }
        *self = Self {
            ejections: self.ejections,
            returned_at: now,
            counted_at: now,
            ..Self::default()
        };
        Some(OutlierChange::TakenBack)
    }

    /// Returns whether the member is set aside.
    pub const fn is_set_aside(&self) -> bool {
        self.ejection.is_some()
    }

    /// Returns why the member is set aside.
    pub fn cause(&self) -> Option<OutlierCause> {
        self.ejection.map(|ejection| ejection.cause)
    }

    /// Returns whether a probe of a member that is set aside is due; if so, none is due for some
    /// time, so that only one statement at a time is sent to a member that may still fail.
    pub fn take_probe(&mut self, now: MonotonicTime) -> bool {
        match &mut self.ejection {
            Some(ejection) if now >= ejection.probe_at => {
                ejection.probe_at = now + MIN_PROBE_DELAY;
                true
            }
            _ => false,
        }
    }

    /// Returns the latency relative to the usual one; `None` without recent samples.
    pub fn ratio(&self, now: MonotonicTime) -> Option<f64> {
        let is_known =
            self.ratio_samples >= MIN_RATIO_SAMPLES && now.since(self.ratio_at) <= MAX_RATIO_AGE;
        is_known.then_some(self.ratio)
    }
}
