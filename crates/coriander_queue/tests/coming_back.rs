//! Pace of new connections and return times of refused callers after an outage.

use std::time::Duration;

use coriander_core::MonotonicTime;
use coriander_queue::{OpeningPace, ReturnSchedule};

#[test]
fn pace_follows_a_member_that_is_busy_with_handshakes() {
    // Guards against instances that all open connections at once after an outage.
    let mut pace = OpeningPace::default();
    for _ in 0..20 {
        pace.record_opened(Duration::from_millis(12));
    }
    assert!(pace.allows(2));
    for _ in 0..3 {
        pace.record_opened(Duration::from_millis(60));
    }
    assert!(!pace.allows(1));
    assert!(pace.allows(0), "one attempt is needed to learn");
}

#[test]
fn pace_accepts_a_member_that_stays_slower() {
    // Guards against a pace that never grows again because one handshake was once quick.
    let mut pace = OpeningPace::default();
    pace.record_opened(Duration::from_millis(5));
    for _ in 0..200 {
        pace.record_opened(Duration::from_millis(20));
    }
    assert!(pace.allows(2));
}

#[test]
fn callers_who_obey_find_room_at_the_rate_of_the_members() {
    // Guards against refused callers who return together and are refused again.
    let mut schedule = ReturnSchedule::default();
    let now = MonotonicTime::from_millis(10_000);
    let wait = Duration::from_millis(300);
    let interval = Duration::from_millis(10);
    let delays: Vec<_> = (0..50)
        .map(|_| schedule.next_delay(wait, interval, now))
        .collect();
    for window in delays.windows(2) {
        assert_eq!(window[1] - window[0], interval);
    }
    let later = now + Duration::from_secs(5);
    assert_eq!(
        schedule.next_delay(Duration::ZERO, interval, later),
        Duration::from_millis(20),
        "return times that have passed delay nobody"
    );
}
