//! Which logs belong to the history of a group's newest term.

use coriander_core::LogPosition;

/// The newest term of a group and an upper bound of where its log began.
///
/// A promotion discards what the old primary had not replicated. If that primary returns before
/// it has followed its successor, its log still ends with the discarded commits, and their indexes
/// exceed the one at which the newer term began.
///
/// ```
/// use coriander_core::{LogPosition, TermNumber};
/// use coriander_service::TermHistory;
///
/// let at = |term, index| LogPosition::new(TermNumber::new(term), index);
/// let mut lineage = TermHistory::default();
/// lineage.observe(at(2, 39));
/// assert!(lineage.contains(at(1, 38)));
/// assert!(lineage.contains(at(2, 46)));
/// assert!(!lineage.contains(at(1, 83)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct TermHistory {
    /// Lowest position seen in the newest term.
    start: Option<LogPosition>,
}

impl TermHistory {
    /// Notes a position of a member that has led or followed the position's term.
    pub fn observe(&mut self, position: LogPosition) {
        let is_news = self.start.is_none_or(|start| {
            position.term > start.term
                || position.term == start.term && position.index < start.index
        });
        if is_news {
            self.start = Some(position);
        }
    }

    /// Tells whether a log that ends at `position` holds no commit that the newest term discarded.
    pub fn contains(&self, position: LogPosition) -> bool {
        self.start
            .is_none_or(|start| position.term >= start.term || position.index <= start.index)
    }

    /// Returns the lowest position seen in the newest term.
    pub const fn start(&self) -> Option<LogPosition> {
        self.start
    }
}
