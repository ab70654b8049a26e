//! Minimum log positions for reads with bounded staleness.

use std::collections::VecDeque;
use std::time::Duration;

use coriander_core::{LogPosition, MonotonicTime};

/// Minimum interval between two recorded observations.
const MIN_OBSERVATION_INTERVAL: Duration = Duration::from_millis(20);

/// Age after which an observation is dropped.
const MAX_OBSERVATION_AGE: Duration = Duration::from_secs(30);

/// Subtracted from each age bound to allow for differences between clocks of instances and
/// members.
const AGE_MARGIN: Duration = Duration::from_millis(50);

#[derive(Clone, Copy, Debug)]
struct PositionObservation {
    /// The log up to `position` contains every commit acknowledged before this time.
    sent_at: MonotonicTime,
    position: LogPosition,
}

/// Newest log positions of a group's primary by time.
///
/// ```
/// use std::time::Duration;
/// use coriander_core::{LogPosition, MonotonicTime, TermNumber};
/// use coriander_service_api::PositionTimeline;
///
/// let mut timeline = PositionTimeline::default();
/// let position = LogPosition::new(TermNumber::new(1), 7);
/// timeline.record(MonotonicTime::from_millis(1_000), position);
/// let bound = Duration::from_millis(1_500);
/// assert_eq!(timeline.min_position_for_age(bound, MonotonicTime::from_millis(2_000)), Some(position));
/// assert_eq!(timeline.min_position_for_age(bound, MonotonicTime::from_millis(2_600)), None);
/// ```
#[derive(Debug, Default)]
pub struct PositionTimeline {
    observations: VecDeque<PositionObservation>,
}

impl PositionTimeline {
    /// Records the log position of a member that was confirmed as primary after `sent_at`.
    ///
    /// Ignores observations with an older time or a lower position than the last one, and those
    /// that follow it within 20 ms.
    pub fn record(&mut self, sent_at: MonotonicTime, position: LogPosition) {
        if let Some(last) = self.observations.back_mut() {
            if position < last.position {
                return;
            }
            if sent_at.since(last.sent_at) < MIN_OBSERVATION_INTERVAL && sent_at >= last.sent_at {
                return;
            }
            if sent_at <= last.sent_at {
                return;
            }
        }
        self.observations
            .push_back(PositionObservation { sent_at, position });
        let oldest = sent_at.saturating_sub(MAX_OBSERVATION_AGE);
        while self
            .observations
            .front()
            .is_some_and(|first| first.sent_at < oldest)
        {
            self.observations.pop_front();
        }
    }

    /// Returns the lowest position whose data is at most `max_age` old, or `None` if no
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

    /// Returns the maximum age of the data in a log that ends at `position`, or `None` if the
    /// position is older than all observations.
    pub fn data_age(&self, position: LogPosition, now: MonotonicTime) -> Option<Duration> {
        let next = self
            .observations
            .partition_point(|observation| observation.position <= position);
        if next == self.observations.len() {
            return Some(Duration::ZERO);
        }
        let last = self.observations.get(next.checked_sub(1)?)?;
        Some(now.since(last.sent_at))
    }

    /// Returns the newest observed position and the time before which it was confirmed.
    pub fn newest_observation(&self) -> Option<(MonotonicTime, LogPosition)> {
        let newest = self.observations.back();
        newest.map(|observation| (observation.sent_at, observation.position))
    }

    /// Returns the newest observed position.
    pub fn newest(&self) -> Option<LogPosition> {
        self.observations
            .back()
            .map(|observation| observation.position)
    }
}
