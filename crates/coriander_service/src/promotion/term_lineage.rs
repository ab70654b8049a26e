//! Which logs belong to the newest term of a group.

use std::sync::Arc;

use coriander_core::{LogPosition, TermNumber};
use coriander_service_api::TermOrigin;

/// Maximum number of recorded promotions of a group.
const MAX_ORIGINS: usize = 12;

/// The promotions of a group, from which follows which logs contain commits that a promotion has
/// discarded.
///
/// A promotion discards the commits that its member had not received. A member that returns with
/// such commits must not be promoted in place of one that follows the newest term. A promotion
/// whose effect is not known counts as one that may have taken effect.
///
/// ```
/// use coriander_core::{LogPosition, TermNumber};
/// use coriander_service::TermLineage;
///
/// let at = |term, index| LogPosition::new(TermNumber::new(term), index);
/// let mut lineage = TermLineage::default();
/// lineage.record_attempt("b", at(1, 38), TermNumber::new(1));
/// assert!(lineage.contains(at(1, 38)));
/// assert!(lineage.contains(at(2, 46)));
/// assert!(!lineage.contains(at(1, 83)));
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TermLineage {
    /// In the order of the promotions.
    origins: Vec<TermOrigin>,
}

impl TermLineage {
    /// Creates the lineage from recorded promotions, in their order.
    pub const fn new(origins: Vec<TermOrigin>) -> Self {
        Self { origins }
    }

    /// Returns the recorded promotions, in their order.
    pub fn origins(&self) -> &[TermOrigin] {
        &self.origins
    }

    /// Returns whether a log that ends at `position` contains no commit that a promotion may have
    /// discarded.
    pub fn contains(&self, position: LogPosition) -> bool {
        let newest_certain = self.origins.iter().rposition(|origin| origin.is_certain);
        let possible = |(index, origin): &(usize, &TermOrigin)| {
            !origin.is_certain || newest_certain == Some(*index)
        };
        let mut newest = self.origins.iter().enumerate().filter(possible);
        !self.is_unknown(position) && newest.all(|(index, _)| self.admits(index, position))
    }

    /// Returns whether a log that ends at `position` is part of the log of a promoted member.
    fn admits(&self, index: usize, position: LogPosition) -> bool {
        let origin = &self.origins[index];
        if position.term >= origin.term {
            return true;
        }
        let parent = origin.parent;
        if position.term > parent.term || position.index > parent.index {
            return false;
        }
        if position.term == parent.term {
            return true;
        }
        let mut earlier = (0..index).filter(|earlier| self.origins[*earlier].term == parent.term);
        earlier.all(|earlier| self.admits(earlier, position))
    }

    /// Returns whether a promotion that concerns a position may not be recorded, or no longer.
    fn is_unknown(&self, position: LogPosition) -> bool {
        let oldest = self.origins.first();
        oldest.is_some_and(|oldest| position.term < oldest.parent.term)
    }

    /// Records a promotion before it is requested. `parent` is the end of the member's log, and
    /// `newest_term` the newest term that any member has reported. Repeating the request of the
    /// newest promotion changes nothing.
    pub fn record_attempt(&mut self, member: &str, parent: LogPosition, newest_term: TermNumber) {
        let repeated = self.origins.last().is_some_and(|last| {
            !last.is_certain && &*last.member == member && last.parent == parent
        });
        if repeated {
            return;
        }
        let newest_recorded = self.newest_term();
        let previous_term = newest_term.max(self.newest_certain_term().unwrap_or_default());
        if self.origins.len() == MAX_ORIGINS {
            self.origins.remove(0);
        }
        self.origins.push(TermOrigin {
            member: Arc::from(member),
            term: previous_term.max(newest_recorded).next(),
            previous_term,
            parent,
            is_certain: false,
        });
    }

    /// Records that the newest promotion has taken effect: its member is primary in `term` with a
    /// log that ends at `received`.
    pub fn record_effect(&mut self, term: TermNumber, received: LogPosition) {
        let newest_certain = self.newest_certain_term();
        let Some(mut origin) = self.origins.pop() else {
            return;
        };
        let uncertain = self.origins.iter().find(|origin| !origin.is_certain);
        let first_previous = uncertain.map(|origin| origin.previous_term);
        let known_before = newest_certain.or(first_previous);
        // Terms count the promotions that have taken effect.
        let unseen_end = if term == origin.previous_term.next() {
            origin.previous_term
        } else {
            TermNumber::new(term.get().saturating_sub(1))
        };
        if known_before == Some(unseen_end) {
            // Older ones stay: a term that came between them and a certain one has been seen.
            self.origins
                .retain(|origin| origin.is_certain || newest_certain > Some(origin.term));
        }
        for origin in self.origins.iter_mut().filter(|origin| !origin.is_certain) {
            origin.term = origin.term.min(unseen_end);
        }
        origin.term = term;
        origin.is_certain = true;
        // Before its first commit in the new term, a log ends where the term starts.
        if received.term == origin.parent.term {
            origin.parent = received;
        }
        self.origins.push(origin);
    }

    /// Returns the newest term that a recorded promotion may have started, 0 without one.
    pub fn newest_term(&self) -> TermNumber {
        let terms = self.origins.iter().map(|origin| origin.term);
        terms.max().unwrap_or_default()
    }

    /// Returns whether the outcome of the newest recorded promotion is not known.
    pub fn is_newest_uncertain(&self) -> bool {
        let newest = self.origins.last();
        newest.is_some_and(|origin| !origin.is_certain)
    }

    fn newest_certain_term(&self) -> Option<TermNumber> {
        let certain = self.origins.iter().filter(|origin| origin.is_certain);
        certain.map(|origin| origin.term).max()
    }
}
