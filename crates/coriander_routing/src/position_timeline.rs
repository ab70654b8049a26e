//! Recent positions of the primary by time, from which the data age of replicas is derived.

use std::collections::VecDeque;
use std::time::Duration;

use coriander_core::{LogPosition, MonotonicTime};

/// Maximum number of samples; at one every 100 ms the timeline covers at least 25 s.
const MAX_SAMPLES: usize = 256;

/// Minimum interval between samples; closer ones do not make an age more precise.
const MIN_SAMPLE_INTERVAL: Duration = Duration::from_millis(2);

#[derive(Clone, Copy, Debug)]
struct PositionSample {
    /// Every write acknowledged before this time is at or before `position`.
    time: MonotonicTime,
    position: LogPosition,
}

/// Samples of the primary's position.
///
/// A sample alone does not prove an age: the sampled primary may have been replaced unnoticed. A
/// new primary requires a fenced majority, so if a majority of members had the term at some time,
/// no later primary existed before that time. Samples are valid only up to that time.
#[derive(Debug, Default)]
pub(crate) struct PositionTimeline {
    samples: VecDeque<PositionSample>,
    /// Time up to which the current term is confirmed to be the newest.
    confirmed_until: MonotonicTime,
}

impl PositionTimeline {
    /// Adds the position that the current primary reported in reply to a request sent at `sent`.
    pub(crate) fn add(&mut self, sent: MonotonicTime, position: LogPosition) {
        if let Some(last) = self.samples.back_mut() {
            if last.position == position {
                last.time = last.time.max(sent);
                return;
            }
            if sent.since(last.time) < MIN_SAMPLE_INTERVAL {
                return;
            }
        }
        if self.samples.len() == MAX_SAMPLES {
            // Dropping a sample can only increase an age, so every second old sample is dropped.
            let mut index = 0;
            self.samples.retain(|_| {
                index += 1;
                index > MAX_SAMPLES / 2 || index % 2 == 1
            });
        }
        let time = sent;
        self.samples.push_back(PositionSample { time, position });
    }

    /// Records that a majority of members had the current term at `time`.
    pub(crate) fn confirm(&mut self, time: MonotonicTime) {
        self.confirmed_until = self.confirmed_until.max(time);
    }

    /// Ends the current term: its samples stay valid up to the confirmed time, and later
    /// confirmations apply to the next term only.
    pub(crate) fn end_term(&mut self) {
        for sample in &mut self.samples {
            sample.time = sample.time.min(self.confirmed_until);
        }
        self.confirmed_until = MonotonicTime::ZERO;
        for sample in &self.samples {
            self.confirmed_until = self.confirmed_until.max(sample.time);
        }
    }

    /// Returns the newest position of the primary.
    pub(crate) fn newest_position(&self) -> Option<LogPosition> {
        self.samples.back().map(|sample| sample.position)
    }

    /// Returns the latest time at which the state of the primary is confirmed.
    pub(crate) fn newest_confirmed_time(&self) -> MonotonicTime {
        let newest = self.samples.back().map(|sample| sample.time);
        newest.unwrap_or_default().min(self.confirmed_until)
    }

    /// Returns the time up to which a log that ends at `position` contains every acknowledged
    /// write, and the position that proves it.
    pub(crate) fn complete_until(
        &self,
        position: LogPosition,
    ) -> Option<(MonotonicTime, LogPosition)> {
        let sample = self
            .samples
            .iter()
            .rev()
            .find(|sample| position.includes(sample.position))?;
        Some((sample.time.min(self.confirmed_until), sample.position))
    }
}
