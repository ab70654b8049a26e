//! Tests of minimum log positions for reads with bounded staleness.

use std::time::Duration;

use coriander_core::{LogPosition, MonotonicTime, TermNumber};
use coriander_service_api::PositionTimeline;

fn at(term: u64, index: u64) -> LogPosition {
    LogPosition::new(TermNumber::new(term), index)
}

fn ms(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

const BOUND: Duration = Duration::from_millis(1_500);

#[test]
fn min_position_for_age_returns_oldest_position_within_bound() {
    let mut timeline = PositionTimeline::default();
    for (time, index) in [(1_000, 1), (2_000, 2), (3_000, 3)] {
        timeline.record(ms(time), at(1, index));
    }
    assert_eq!(
        timeline.min_position_for_age(BOUND, ms(3_100)),
        Some(at(1, 2))
    );
}

#[test]
fn min_position_for_age_returns_none_if_all_observations_are_too_old() {
    let mut timeline = PositionTimeline::default();
    timeline.record(ms(1_000), at(1, 1));
    assert_eq!(timeline.min_position_for_age(BOUND, ms(2_451)), None);
}

#[test]
fn record_ignores_positions_of_an_older_term() {
    // A late reply of a former primary must not lower the newest position.
    let mut timeline = PositionTimeline::default();
    timeline.record(ms(1_000), at(2, 5));
    timeline.record(ms(1_500), at(1, 90));
    assert_eq!(timeline.newest(), Some(at(2, 5)));
}

#[test]
fn record_ignores_observations_sent_earlier() {
    // Replies can arrive out of order; a query that was sent earlier confirms less.
    let mut timeline = PositionTimeline::default();
    timeline.record(ms(2_000), at(1, 5));
    timeline.record(ms(1_000), at(1, 6));
    assert_eq!(timeline.newest(), Some(at(1, 5)));
}

#[test]
fn data_age_returns_age_bound_of_log_position() {
    let mut timeline = PositionTimeline::default();
    for (time, index) in [(1_000, 10), (2_000, 20), (3_000, 30)] {
        timeline.record(ms(time), at(1, index));
    }
    let now = ms(3_500);
    assert_eq!(timeline.data_age(at(1, 30), now), Some(Duration::ZERO));
    assert_eq!(
        timeline.data_age(at(1, 25), now),
        Some(Duration::from_millis(1_500))
    );
    assert_eq!(timeline.data_age(at(1, 9), now), None);
}
