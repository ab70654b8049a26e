//! The history of the newest term of a group.

use coriander_core::LogPosition;

/// The newest term of a group and an upper bound of the position where its log began.
///
/// A promotion discards commits that the old primary had not replicated. If the old primary returns
/// before it replicates from its successor, its log still ends with the discarded commits, at
/// indexes above the one where the newer term began.
///
/// ```
/// use coriander_core::{LogPosition, TermNumber};
/// use coriander_service::TermHistory;
///
/// let at = |term, index| LogPosition::new(TermNumber::new(term), index);
/// let mut term_history = TermHistory::default();
/// term_history.record(at(2, 39));
/// assert!(term_history.contains(at(1, 38)));
/// assert!(term_history.contains(at(2, 46)));
/// assert!(!term_history.contains(at(1, 83)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct TermHistory {
    /// Lowest recorded position of the newest term.
    start: Option<LogPosition>,
}

impl TermHistory {
    /// Records a position of a member that has been primary or replica in the term of the position.
    pub fn record(&mut self, position: LogPosition) {
        let is_term_start = self.start.is_none_or(|start| {
            position.term > start.term
                || position.term == start.term && position.index < start.index
        });
        if is_term_start {
            self.start = Some(position);
        }
    }

    /// Returns whether a log that ends at `position` contains no commit that the newest term
    /// discarded.
    pub fn contains(&self, position: LogPosition) -> bool {
        self.start
            .is_none_or(|start| position.term >= start.term || position.index <= start.index)
    }

    /// Returns the lowest recorded position of the newest term.
    pub const fn start(&self) -> Option<LogPosition> {
        self.start
    }
}
