//! Positions that keep a bound on the age of data.

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
fn for_age_returns_the_oldest_position_that_proves_the_bound() {
    let mut floor = PositionTimeline::default();
    for (time, index) in [(1_000, 1), (2_000, 2), (3_000, 3)] {
        floor.record(ms(time), at(1, index));
    }
    assert_eq!(floor.min_position_for_age(BOUND, ms(3_100)), Some(at(1, 2)));
}

#[test]
fn for_age_returns_nothing_when_every_observation_is_too_old() {
    let mut floor = PositionTimeline::default();
    floor.record(ms(1_000), at(1, 1));
    assert_eq!(floor.min_position_for_age(BOUND, ms(2_451)), None);
}

#[test]
fn record_ignores_positions_of_an_older_term() {
    // A late answer of a former primary must not lower the floor.
    let mut floor = PositionTimeline::default();
    floor.record(ms(1_000), at(2, 5));
    floor.record(ms(1_500), at(1, 90));
    assert_eq!(floor.newest(), Some(at(2, 5)));
}

#[test]
fn record_ignores_observations_that_were_sent_earlier() {
    // Answers can overtake each other; an older one proves less.
    let mut floor = PositionTimeline::default();
    floor.record(ms(2_000), at(1, 5));
    floor.record(ms(1_000), at(1, 6));
    assert_eq!(floor.newest(), Some(at(1, 5)));
}

#[test]
fn age_of_tells_how_far_a_log_is_behind() {
    let mut floor = PositionTimeline::default();
    for (time, index) in [(1_000, 10), (2_000, 20), (3_000, 30)] {
        floor.record(ms(time), at(1, index));
    }
    let now = ms(3_500);
    assert_eq!(floor.data_age(at(1, 30), now), Some(Duration::ZERO));
    assert_eq!(
        floor.data_age(at(1, 25), now),
        Some(Duration::from_millis(1_500))
    );
    assert_eq!(floor.data_age(at(1, 9), now), None);
}
