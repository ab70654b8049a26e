//! Where the reads of one instance go while members have room.

use smallvec::SmallVec;

/// One account in so many in the zone of a primary reads from it, the others from replicas in other
/// zones. With all of them it would get a third of the reads of three zones beside all writes.
const PRIMARY_ACCOUNT_DIVISOR: u64 = 2;

/// A member that may serve a read, as one instance sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlacementCandidate {
    /// Whether it is in the availability zone of the instance.
    pub is_own_zone: bool,
    /// Whether it is the primary.
    pub is_primary: bool,
    /// Rank of the member for the account, so that accounts are spread over members of equal rank
    /// and keep their connections.
    pub affinity: u64,
}

impl PlacementCandidate {
    /// Returns the rank; members with the lowest come first.
    const fn rank(&self) -> u8 {
        let is_shared = self.affinity.is_multiple_of(PRIMARY_ACCOUNT_DIVISOR);
        match (self.is_own_zone, self.is_primary) {
            (true, false) => 0,
            (true, true) if is_shared => 1,
            (false, false) => 2,
            (true, true) => 3,
            (false, true) => 4,
        }
    }
}

/// Returns the order in which members are preferred while they have room: replicas of the own zone,
/// for some accounts the primary there, then replicas of other zones. It does not depend on how many
/// statements are in flight, so that it does not swing with them; [`crate::CapacityBoard::order`]
/// moves reads on from members without room.
///
/// ```
/// use coriander_capacity::{PlacementCandidate, placement_order};
///
/// let candidate = |is_own_zone, is_primary| PlacementCandidate {
///     is_own_zone,
///     is_primary,
///     affinity: 0,
/// };
/// let order = placement_order(&[candidate(false, false), candidate(true, true)]);
/// assert_eq!(order.as_slice(), [1, 0]);
/// ```
pub fn placement_order(candidates: &[PlacementCandidate]) -> SmallVec<[usize; 4]> {
    let mut order: SmallVec<[usize; 4]> = (0..candidates.len()).collect();
    order.sort_by_key(|index| {
        let candidate = &candidates[*index];
        (candidate.rank(), candidate.affinity)
    });
    order
}
