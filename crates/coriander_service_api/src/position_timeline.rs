//! Positions that replica reads must reach to keep a bound on the age of data.

use std::collections::VecDeque;
use std::time::Duration;

use coriander_core::{LogPosition, MonotonicTime};

/// Shortest distance between two kept observations.
const OBSERVATION_SPACING: Duration = Duration::from_millis(20);

/// Longest age of an observation that can still be used.
const OBSERVATION_LIFETIME: Duration = Duration::from_secs(30);

/// Subtracted from each bound for differences between the clocks of instances and members.
const AGE_MARGIN: Duration = Duration::from_millis(50);

#[derive(Clone, Copy, Debug)]
struct PositionObservation {
    /// Every commit acknowledged before this time is at or below the position.
    sent_at: MonotonicTime,
    position: LogPosition,
}

/// Log positions of a group's primary at known times.
///
/// ```
/// use std::time::Duration;
/// use coriander_core::{LogPosition, MonotonicTime, TermNumber};
/// use coriander_service_api::PositionTimeline;
///
/// let mut floor = PositionTimeline::default();
/// let position = LogPosition::new(TermNumber::new(1), 7);
/// floor.record(MonotonicTime::from_millis(1_000), position);
/// let bound = Duration::from_millis(1_500);
/// assert_eq!(floor.min_position_for_age(bound, MonotonicTime::from_millis(2_000)), Some(position));
/// assert_eq!(floor.min_position_for_age(bound, MonotonicTime::from_millis(2_600)), None);
/// ```
#[derive(Debug, Default)]
pub struct PositionTimeline {
    observations: VecDeque<PositionObservation>,
}

impl PositionTimeline {
    /// Notes the log position of a member that proved to be the primary after `sent_at`.
    pub fn record(&mut self, sent_at: MonotonicTime, position: LogPosition) {
        if let Some(last) = self.observations.back_mut() {
            if position < last.position {
                return;
            }
            if sent_at.since(last.sent_at) < OBSERVATION_SPACING && sent_at >= last.sent_at {
                return;
            }
            if sent_at <= last.sent_at {
                return;
            }
        }
        self.observations
            .push_back(PositionObservation { sent_at, position });
        let limit = sent_at.saturating_sub(OBSERVATION_LIFETIME);
        while self
            .observations
            .front()
            .is_some_and(|first| first.sent_at < limit)
        {
            self.observations.pop_front();
        }
    }

    /// Returns the lowest position that proves an age of at most `max_age`, or `None` if no
    /// observation is recent enough.
    pub fn min_position_for_age(
        &self,
        max_age: Duration,
        now: MonotonicTime,
    ) -> Option<LogPosition> {
        let oldest = now.saturating_sub(max_age.saturating_sub(AGE_MARGIN));
        let first = self
            .observations
            .partition_point(|observation| observation.sent_at < oldest);
        self.observations
            .get(first)
            .map(|observation| observation.position)
    }

    /// Returns how old the data of a log that ends at `position` is at most, as far as the
    /// observations reach; `None` if the position is older than all of them.
    pub fn data_age(&self, position: LogPosition, now: MonotonicTime) -> Option<Duration> {
        let beyond = self
            .observations
            .partition_point(|observation| observation.position <= position);
        if beyond == self.observations.len() {
            return Some(Duration::ZERO);
        }
        let last = self.observations.get(beyond.checked_sub(1)?)?;
        Some(now.since(last.sent_at))
    }

    /// Returns the newest observed position.
    pub fn newest(&self) -> Option<LogPosition> {
        self.observations
            .back()
            .map(|observation| observation.position)
    }
}
