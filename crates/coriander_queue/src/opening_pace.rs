//! Pace at which connections to a member are opened.

use std::time::Duration;

/// Maximum number of connections to one member that an instance opens concurrently.
const MAX_OPENING: f64 = 4.0;

/// Handshake time, in multiples of the shortest one, from which the member counts as busy.
const BUSY_FACTOR: f64 = 2.5;

/// Increase of the shortest handshake time per handshake, so that a member that became slower for
/// good is not taken for busy.
const BASELINE_DRIFT: f64 = 1.01;

/// Weight of the newest handshake in the mean.
const MEAN_WEIGHT: f64 = 0.2;

/// Number of connections to a member that may be opened concurrently, learned from its handshakes.
/// It grows with quick handshakes, is halved by slow ones, and falls to 1 when the member declines.
///
/// After an outage all instances need connections at the same time; a member that is busy with
/// handshakes serves no statements.
///
/// ```
/// use std::time::Duration;
/// use coriander_queue::OpeningPace;
///
/// let mut pace = OpeningPace::default();
/// assert!(pace.allows(0));
/// assert!(!pace.allows(1));
/// for _ in 0..4 {
///     pace.record_opened(Duration::from_millis(12));
/// }
/// assert!(pace.allows(1));
/// pace.record_declined();
/// assert!(!pace.allows(1));
/// ```
#[derive(Clone, Debug)]
pub struct OpeningPace {
    limit: f64,
    shortest_secs: Option<f64>,
    mean_secs: f64,
}

impl Default for OpeningPace {
    fn default() -> Self {
        Self {
            limit: 1.0,
            shortest_secs: None,
            mean_secs: 0.0,
        }
    }
}

impl OpeningPace {
    /// Returns whether another connection may be opened while `opening` are being opened.
    pub fn allows(&self, opening: usize) -> bool {
        opening < self.limit as usize
    }

    /// Returns the mean time of a handshake; zero before the first one.
    pub fn mean_handshake(&self) -> Duration {
        Duration::from_secs_f64(self.mean_secs)
    }

    /// Records a connection that was opened.
    pub fn record_opened(&mut self, handshake: Duration) {
        let secs = handshake.as_secs_f64();
        let drifted = self.shortest_secs.map(|shortest| shortest * BASELINE_DRIFT);
        let shortest = drifted.map_or(secs, |shortest| shortest.min(secs));
        if self.shortest_secs.is_none() {
            self.mean_secs = secs;
        }
        self.shortest_secs = Some(shortest);
        self.mean_secs += MEAN_WEIGHT * (secs - self.mean_secs);
        if secs > shortest * BUSY_FACTOR {
            self.limit = (self.limit / 2.0).max(1.0);
        } else {
            self.limit = (self.limit + 1.0 / self.limit).min(MAX_OPENING);
        }
    }

    /// Records that the member declined a connection or could not be reached.
    pub fn record_declined(&mut self) {
        self.limit = 1.0;
    }
}
