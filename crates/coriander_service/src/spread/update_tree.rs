//! Position of an instance in the tree along which a zone passes on the contents of the store.

use std::time::Duration;

use smallvec::SmallVec;

/// Number of instances per zone that read the store when no lower rank has a recent read.
pub const READERS_PER_ZONE: usize = 4;

/// Maximum number of instances that ask the same one. A change of all members is about 10 kB; for twelve
/// instances it takes a tenth of a second on a link of 10 Mbit/s. When all 100
/// instances of a zone asked its reader, its link was saturated and its replies came after the
/// timeout.
pub const FAN_OUT: usize = 12;

/// Age of its own snapshot from which an instance whose sources do not reply reads the store. While
/// the store is down, the readers of the zone try for all.
const MAX_UNCONFIRMED_AGE: Duration = Duration::from_millis(2_600);

/// Additional age for an instance below the first level whose source replies with an old snapshot:
/// the instances above it read the store first.
const ANCESTOR_DELAY: Duration = Duration::from_millis(700);

/// Period over which the reads of such instances are spread. 300 instances that read the store at the
/// same time overload it, so that no read ends before its timeout.
const READ_SPREAD: Duration = Duration::from_millis(1_000);

/// Time from its start after which an instance that is not a reader of its zone, and that no other
/// instance has sent a snapshot, reads the store itself. While a fleet starts together, its readers
/// need 300 ms for a document of 256 KB on a link of 10 Mbit/s. A larger one is not worth waiting
/// for, because instances do not send it to each other: one level of the tree after the other would
/// read it, a second each for 1 MB.
const START_DELAY: Duration = Duration::from_millis(600);

/// Period over which the reads of such instances are spread.
const START_SPREAD: Duration = Duration::from_millis(600);

/// Position of an instance among those of its zone that are usable, ranked by a hash.
///
/// ```
/// use coriander_service::UpdateTree;
///
/// let tree = UpdateTree::new(30, true, 100);
/// assert_eq!(tree.parent(), Some(2));
/// assert_eq!(tree.depth(), 2);
/// assert!(!tree.is_reader());
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UpdateTree {
    rank: usize,
    is_listed: bool,
    zone_size: usize,
}

impl UpdateTree {
    /// Creates the position of the instance with a rank among `zone_size` instances. An instance
    /// that is not listed has the rank that it would get.
    pub const fn new(rank: usize, is_listed: bool, zone_size: usize) -> Self {
        Self {
            rank,
            is_listed,
            zone_size,
        }
    }

    /// Returns whether the instance is a store reader of its zone. In a zone with fewer
    /// known instances than readers, every instance is.
    pub const fn is_reader(&self) -> bool {
        self.zone_size < READERS_PER_ZONE || (self.is_listed && self.rank < READERS_PER_ZONE)
    }

    /// Returns the rank of the instance above; `None` for the first one and without others.
    pub const fn parent(&self) -> Option<usize> {
        if self.rank > 0 {
            return Some((self.rank - 1) / FAN_OUT);
        }
        if self.is_listed || self.zone_size == 0 {
            return None;
        }
        Some(0)
    }

    /// Returns the number of instances between this one and the store.
    pub const fn depth(&self) -> usize {
        let mut rank = self.rank;
        let mut depth = 0;
        while rank > 0 {
            rank = (rank - 1) / FAN_OUT;
            depth += 1;
        }
        depth
    }

    /// Returns the ranks to ask, in order. A store reader asks the lower ranks, because it then
    /// reads the store itself; while its reads fail, it asks the other readers as well. Deeper
    /// instances ask their parent and then one other instance, chosen by `turn`, so that the
    /// failure of a parent loads no single instance.
    pub fn sources(
        &self,
        own_reads_fail: bool,
        turn: usize,
    ) -> SmallVec<[usize; READERS_PER_ZONE]> {
        let is_own = |rank: usize| self.is_listed && rank == self.rank;
        let readers = 0..READERS_PER_ZONE.min(self.zone_size);
        if self.is_listed && self.rank < READERS_PER_ZONE {
            let asked = if own_reads_fail {
                readers.end
            } else {
                self.rank
            };
            return (0..asked).filter(|rank| !is_own(*rank)).collect();
        }
        match self.parent() {
            Some(parent) if parent > 0 => {
                let other = self.rank.wrapping_add(turn.wrapping_mul(31)) % self.zone_size;
                let others = Some(other).filter(|rank| !is_own(*rank) && *rank != parent);
                std::iter::once(parent).chain(others).collect()
            }
            _ => readers.collect(),
        }
    }

    /// Returns the time from its start after which an instance without a snapshot reads the store,
    /// if no other instance has sent it one.
    pub fn start_delay(&self, spread: f64) -> Duration {
        if self.is_reader() {
            return Duration::ZERO;
        }
        START_DELAY + START_SPREAD.mul_f64(spread.clamp(0.0, 1.0))
    }

    /// Returns the age of its snapshot from which the instance reads the store. `has_reply` says
    /// whether a source replied, if only with an old snapshot; `spread` between 0 and 1 differs
    /// between instances.
    pub fn read_age(&self, has_reply: bool, spread: f64) -> Duration {
        if self.is_reader() {
            return Duration::ZERO;
        }
        if !has_reply || self.depth() <= 1 {
            return MAX_UNCONFIRMED_AGE;
        }
        MAX_UNCONFIRMED_AGE + ANCESTOR_DELAY + READ_SPREAD.mul_f64(spread.clamp(0.0, 1.0))
    }
}
