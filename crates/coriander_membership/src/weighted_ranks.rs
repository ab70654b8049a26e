//! Weighted rendezvous hashing with cached top ranks.

use std::collections::HashMap;
use std::hash::Hasher;

use siphasher::sip::SipHasher13;
use smallvec::SmallVec;

/// Maximum number of cached ranks per key. Lost candidates shorten the list; it is computed again
/// when it is shorter than [`MIN_CACHED_RANKS`].
const MAX_CACHED_RANKS: usize = 12;

/// Number of ranks that every lookup returns, if there are enough candidates.
pub(crate) const MIN_CACHED_RANKS: usize = 8;

/// Minimum weight of ranked candidates.
const MIN_WEIGHT: f64 = 0.001;

/// Hash of a ranked name together with the purpose of the ranking.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RankKey(u64);

impl RankKey {
    /// Creates the key of a name for a purpose.
    pub fn new(purpose: &str, name: &str) -> Self {
        let mut hasher = SipHasher13::new();
        hasher.write(purpose.as_bytes());
        hasher.write_u8(0);
        hasher.write(name.as_bytes());
        Self(hasher.finish())
    }
}

#[derive(Clone, Debug)]
struct Candidate {
    hash: u64,
    weight: f64,
}

#[derive(Clone, Copy, Debug)]
struct RankEntry {
    score: u64,
    slot: u32,
}

#[derive(Clone, Debug)]
struct CachedRanks {
    entries: SmallVec<[RankEntry; MAX_CACHED_RANKS]>,
    /// Whether `entries` contains all ranked candidates.
    is_complete: bool,
    /// Number of changes that have been applied to the entries.
    applied: u64,
}

/// Candidates with weights, ranked per key.
///
/// Weight changes are recorded in a list. The next lookup of a cached key applies the pending
/// changes with one hash each, so the cost of a change is proportional to the number of keys in
/// use.
///
/// ```
/// use coriander_membership::{RankKey, WeightedRanks};
///
/// let mut ranks = WeightedRanks::default();
/// let slots: Vec<u32> = ["a", "b", "c"].iter().map(|name| ranks.add(name, 1.0)).collect();
/// let key = RankKey::new("gateway", "orders");
/// let first = ranks.top(key)[0];
/// ranks.set_weight(first, 0.0);
/// assert_ne!(ranks.top(key)[0], first);
/// assert_eq!(ranks.top(key).len(), slots.len() - 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct WeightedRanks {
    candidates: Vec<Candidate>,
    cache: HashMap<RankKey, CachedRanks>,
    changes: Vec<u32>,
    dropped_changes: u64,
}

impl WeightedRanks {
    /// Adds a candidate and returns its slot. A weight of 0 excludes it.
    pub fn add(&mut self, name: &str, weight: f64) -> u32 {
        let mut hasher = SipHasher13::new();
        hasher.write(name.as_bytes());
        let slot = u32::try_from(self.candidates.len()).unwrap_or(u32::MAX);
        self.candidates.push(Candidate {
            hash: hasher.finish(),
            weight,
        });
        self.record_change(slot);
        slot
    }

    /// Returns the weight of a candidate.
    pub fn weight(&self, slot: u32) -> f64 {
        self.candidates
            .get(slot as usize)
            .map_or(0.0, |candidate| candidate.weight)
    }

    /// Changes the weight of a candidate.
    pub fn set_weight(&mut self, slot: u32, weight: f64) {
        let Some(candidate) = self.candidates.get_mut(slot as usize) else {
            return;
        };
        if candidate.weight.to_bits() != weight.to_bits() {
            candidate.weight = weight;
            self.record_change(slot);
        }
    }

    /// Returns the number of keys with cached ranks.
    pub fn cached_keys(&self) -> usize {
        self.cache.len()
    }

    /// Returns the slots with the best scores, best first: 8 to 12, or all if there are fewer.
    pub fn top(&mut self, key: RankKey) -> SmallVec<[u32; MAX_CACHED_RANKS]> {
        let end = self.dropped_changes + self.changes.len() as u64;
        let candidates = &self.candidates;
        let cached = self.cache.entry(key).or_insert_with(|| CachedRanks {
            entries: SmallVec::new(),
            is_complete: false,
            applied: 0,
        });
        if cached.applied < end {
            let pending_changes = usize::try_from(end - cached.applied).unwrap_or(usize::MAX);
            if pending_changes < candidates.len() && cached.applied >= self.dropped_changes {
                let first = self.changes.len() - pending_changes;
                for &slot in &self.changes[first..] {
                    cached.update(candidates, key, slot);
                }
            } else {
                cached.entries.clear();
                cached.is_complete = false;
            }
            cached.applied = end;
        }
        if cached.entries.len() < MIN_CACHED_RANKS && !cached.is_complete {
            cached.compute(candidates, key);
        }
        cached.entries.iter().map(|entry| entry.slot).collect()
    }

    fn record_change(&mut self, slot: u32) {
        // Keys without a lookup during this many changes are computed again.
        if self.changes.len() > 2 * self.candidates.len() + 64 {
            self.dropped_changes += self.changes.len() as u64;
            self.changes.clear();
        }
        self.changes.push(slot);
    }
}

impl CachedRanks {
    fn compute(&mut self, candidates: &[Candidate], key: RankKey) {
        self.entries.clear();
        self.is_complete = true;
        for (slot, candidate) in (0..).zip(candidates) {
            if let Some(score) = candidate.score(key) {
                self.insert(RankEntry { score, slot });
            }
        }
    }

    fn update(&mut self, candidates: &[Candidate], key: RankKey, slot: u32) {
        self.entries.retain(|entry| entry.slot != slot);
        let Some(score) = candidates[slot as usize].score(key) else {
            return;
        };
        let entry = RankEntry { score, slot };
        // Candidates that are not cached may have better scores than one below the last entry.
        let known = self
            .entries
            .last()
            .is_some_and(|last| entry.ranks_before(last));
        if known || self.is_complete {
            self.insert(entry);
        }
    }

    fn insert(&mut self, entry: RankEntry) {
        let index = self
            .entries
            .partition_point(|other| other.ranks_before(&entry));
        if index == MAX_CACHED_RANKS {
            self.is_complete = false;
            return;
        }
        if self.entries.len() == MAX_CACHED_RANKS {
            self.entries.pop();
            self.is_complete = false;
        }
        self.entries.insert(index, entry);
    }
}

impl RankEntry {
    fn ranks_before(&self, other: &Self) -> bool {
        (self.score, other.slot) > (other.score, self.slot)
    }
}

impl Candidate {
    /// Returns the score of the candidate: a uniform value raised to the power 1 / weight.
    ///
    /// The probability that a candidate has the highest score is proportional to its weight, and a
    /// change of one weight moves only keys of that candidate.
    fn score(&self, key: RankKey) -> Option<u64> {
        if self.weight < MIN_WEIGHT {
            return None;
        }
        let mut hasher = SipHasher13::new();
        hasher.write_u64(self.hash);
        hasher.write_u64(key.0);
        let uniform = hasher.finish();
        if self.weight >= 1.0 {
            return Some(uniform);
        }
        let scale = 2f64.powi(64);
        Some(((uniform as f64 / scale).powf(1.0 / self.weight) * scale) as u64)
    }
}
