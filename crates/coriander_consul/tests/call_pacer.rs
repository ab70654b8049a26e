//! The rate of calls stays bounded, especially during and after an outage.

use coriander_consul::{CallPacer, CallPermit, PacerSettings};
use coriander_core::MonotonicTime;
use proptest::prelude::*;
use std::time::Duration;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

proptest! {
    /// Fails if any sequence of calls and results exceeds burst + rate × time.
    #[test]
    fn request_call_rate_bounded(
        steps in prop::collection::vec((0..200u64, any::<bool>(), 0.0..1.0f64), 1..400),
    ) {
        let settings = PacerSettings::default();
        let mut pacer = CallPacer::new(settings);
        let mut now = 0;
        let mut sent = 0.0;
        for (delay, succeeds, jitter) in steps {
            now += delay;
            if pacer.request_call(at(now)) == CallPermit::Send {
                sent += 1.0;
                if succeeds {
                    pacer.record_success();
                } else {
                    pacer.record_failure(at(now), jitter);
                }
            }
        }
        prop_assert!(sent <= settings.burst + settings.rate * now as f64 / 1_000.0 + 1e-6);
    }

    /// Fails if a caller that waits for each returned delay never gets a permit.
    #[test]
    fn request_call_wait_bounded(failures in 0..40u32, jitter in 0.0..1.0f64) {
        let mut pacer = CallPacer::new(PacerSettings::default());
        let mut now = at(0);
        for _ in 0..failures {
            let mut waits = 0;
            while let CallPermit::Wait(delay) = pacer.request_call(now) {
                now = now + delay;
                waits += 1;
                prop_assert!(waits <= 3);
            }
            pacer.record_failure(now, jitter);
        }
    }
}

/// Fails if calls are admitted at short intervals during an outage.
#[test]
fn record_failure_spaces_trials() {
    let mut pacer = CallPacer::new(PacerSettings::default());
    let mut calls = 0;
    for millis in 0..60_000 {
        if pacer.request_call(at(millis)) == CallPermit::Send {
            calls += 1;
            pacer.record_failure(at(millis), 0.5);
        }
    }
    // The delay is 2.25 s after the first few failures.
    assert!((20..40).contains(&calls), "{calls} calls in a minute");
}

/// Fails if instances whose calls failed at the same time also retry at the same time.
#[test]
fn record_failure_applies_jitter() {
    let wait = |jitter| {
        let mut pacer = CallPacer::new(PacerSettings::default());
        for _ in 0..12 {
            pacer.record_failure(at(0), jitter);
            pacer.record_failure(at(10_000), jitter);
        }
        match pacer.request_call(at(10_000)) {
            CallPermit::Wait(delay) => delay,
            CallPermit::Send => Duration::ZERO,
        }
    };
    assert!(
        wait(1.0) >= wait(0.0) * 19 / 10,
        "{:?} {:?}",
        wait(0.0),
        wait(1.0)
    );
}

/// Fails if concurrent failures count as several failures.
#[test]
fn record_failure_concurrent_counted_once() {
    let mut pacer = CallPacer::new(PacerSettings::default());
    for _ in 0..30 {
        pacer.record_failure(at(10), 1.0);
    }
    let wait = Duration::from_millis(50);
    assert_eq!(pacer.request_call(at(10)), CallPermit::Wait(wait));
}

/// Fails if other calls are admitted during a trial call, or if a trial without result blocks them
/// forever.
#[test]
fn request_call_one_trial() {
    let mut pacer = CallPacer::new(PacerSettings::default());
    pacer.record_failure(at(0), 1.0);
    assert_eq!(pacer.request_call(at(50)), CallPermit::Send);
    assert!(matches!(pacer.request_call(at(51)), CallPermit::Wait(_)));
    assert_eq!(pacer.request_call(at(2_050)), CallPermit::Send);
    pacer.record_success();
    assert_eq!(pacer.request_call(at(2_051)), CallPermit::Send);
    assert_eq!(pacer.request_call(at(2_051)), CallPermit::Send);
}
