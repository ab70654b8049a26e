//! Tests which readers of answers are closed.

use std::time::Duration;

use coriander_core::MonotonicTime;
use coriander_memory::WritePace;

#[test]
fn time_left_ends_for_a_byte_now_and_then() {
    // Guards against a client that keeps its open transaction with one byte each 9 s.
    let mut pace = WritePace::new(MonotonicTime::ZERO);
    let first = MonotonicTime::from_millis(9_000);
    assert!(pace.time_left(first) > Duration::ZERO);
    pace.record(1, first);
    assert_eq!(
        pace.time_left(MonotonicTime::from_millis(10_001)),
        Duration::ZERO
    );
}

#[test]
fn time_left_lasts_for_an_answer_over_a_slow_link() {
    // Guards against an answer of 1 MiB that is broken off on a link of 1 Mbit/s, also if the link
    // delivers nothing for 5 s at a time.
    let mut pace = WritePace::new(MonotonicTime::ZERO);
    for step in 1..=4 {
        let now = MonotonicTime::from_millis(5_000 * step);
        assert!(pace.time_left(now) > Duration::ZERO);
        pace.record(1 << 18, now);
    }
}
