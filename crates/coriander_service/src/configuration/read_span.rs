//! Reads of the store that followed each other without a gap.

use std::time::Duration;

use coriander_core::MonotonicTime;

/// Time between two reads from which an outage of the store that removes entries may lie between
/// them. A member loses its entry after three missed heartbeats.
const MAX_READ_GAP: Duration = Duration::from_millis(2_000);

/// The newest reads of the store that followed each other without a gap, by their send times.
///
/// An entry that is missing from one read proves little: an outage of the store may have removed it,
/// and it returns soon. Its absence counts from the first read that shows it, and anew after a gap.
///
/// ```
/// use std::time::Duration;
/// use coriander_core::MonotonicTime;
/// use coriander_service::ReadSpan;
///
/// let at = MonotonicTime::from_millis;
/// let span = ReadSpan::starting(at(1_000)).extended(at(1_900));
/// assert_eq!(span.length(), Duration::from_millis(900));
/// let after_outage = span.extended(at(6_400));
/// assert_eq!(after_outage.length(), Duration::ZERO);
/// assert_eq!(after_outage.absence(at(1_900)), Duration::ZERO);
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReadSpan {
    first: MonotonicTime,
    newest: MonotonicTime,
}

impl ReadSpan {
    /// Creates a span of one read.
    pub const fn starting(sent_at: MonotonicTime) -> Self {
        Self {
            first: sent_at,
            newest: sent_at,
        }
    }

    /// Returns the span after a further read. A read that was sent earlier changes nothing.
    #[must_use]
    pub fn extended(self, sent_at: MonotonicTime) -> Self {
        if sent_at <= self.newest {
            return self;
        }
        if sent_at.since(self.newest) > MAX_READ_GAP {
            return Self::starting(sent_at);
        }
        Self {
            first: self.first,
            newest: sent_at,
        }
    }

    /// Returns the send time of the newest read.
    pub const fn newest(self) -> MonotonicTime {
        self.newest
    }

    /// Returns the time between the first and the newest read.
    pub const fn length(self) -> Duration {
        self.newest.since(self.first)
    }

    /// Returns for how long the reads have shown that an entry is absent, which a read sent at
    /// `since` has shown first.
    pub fn absence(self, since: MonotonicTime) -> Duration {
        self.newest.since(self.first.max(since))
    }
}
