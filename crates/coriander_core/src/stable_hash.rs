//! A hash that all instances compute alike.

use std::hash::{Hash, Hasher};

use siphasher::sip::SipHasher13;

/// Returns a hash of a value that depends neither on the process nor on the version of the standard
/// library, so that instances can rank each other by it.
///
/// ```
/// use coriander_core::stable_hash;
///
/// let rank = |instance| stable_hash(("harbour", instance));
/// assert_eq!(rank("instance-1"), rank("instance-1"));
/// assert_ne!(rank("instance-1"), rank("instance-2"));
/// ```
pub fn stable_hash(value: impl Hash) -> u64 {
    let mut hasher = SipHasher13::new();
    value.hash(&mut hasher);
    hasher.finish()
}
