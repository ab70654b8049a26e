//! Lists of entries that instances send each other as differences.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;

use coriander_service_api::{InstanceEntry, MemberEntry};
use serde::{Deserialize, Serialize};

/// Number of recent lists that are kept to compute differences.
const MAX_LISTS: usize = 8;

/// An entry of a list that instances send each other.
pub trait ListEntry: Clone {
    /// Returns the name of the entry, unique in its list.
    fn name(&self) -> &Arc<str>;

    /// Returns whether another entry of the same name has the same contents.
    fn has_same_contents(&self, other: &Self) -> bool;
}

impl ListEntry for InstanceEntry {
    fn name(&self) -> &Arc<str> {
        &self.id
    }

    fn has_same_contents(&self, other: &Self) -> bool {
        self == other
    }
}

impl ListEntry for MemberEntry {
    fn name(&self) -> &Arc<str> {
        &self.id
    }

    /// Ignores the revision, because members renew their entries continuously.
    fn has_same_contents(&self, other: &Self) -> bool {
        let other = Self {
            revision: self.revision,
            ..other.clone()
        };
        *self == other
    }
}

/// Returns the entries of a list in the order of their names.
pub fn sorted<E: ListEntry>(entries: &[E]) -> Vec<E> {
    let mut sorted = entries.to_vec();
    sorted.sort_by(|a, b| a.name().cmp(b.name()));
    sorted
}

/// A list of entries, in full or as a difference.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ListUpdate<E> {
    /// All entries.
    Full(Vec<E>),
    /// Difference from the list that the requesting instance has.
    Delta {
        /// Entries that are new or have changed.
        changed: Vec<E>,
        /// Names that are no longer listed.
        removed: Vec<Arc<str>>,
    },
}

impl<E: ListEntry> ListUpdate<E> {
    fn between(old: &[E], new: &[E]) -> Self {
        let known: HashMap<_, _> = old.iter().map(|entry| (entry.name(), entry)).collect();
        let listed: HashSet<_> = new.iter().map(ListEntry::name).collect();
        let differs = |entry: &&E| {
            let known = known.get(entry.name());
            !known.is_some_and(|known| known.has_same_contents(entry))
        };
        let removed = old.iter().filter(|entry| !listed.contains(entry.name()));
        Self::Delta {
            changed: new.iter().filter(differs).cloned().collect(),
            removed: removed.map(|entry| entry.name().clone()).collect(),
        }
    }

    /// Returns the full list, given the one that the requesting instance has.
    pub fn apply_to(self, known: &[E]) -> Vec<E> {
        let (changed, removed) = match self {
            Self::Full(entries) => return entries,
            Self::Delta { changed, removed } => (changed, removed),
        };
        let replaced: HashSet<_> = changed.iter().map(ListEntry::name).collect();
        let removed: HashSet<_> = removed.iter().collect();
        let kept = known.iter().filter(|entry| {
            let name = entry.name();
            !removed.contains(name) && !replaced.contains(name)
        });
        let entries: Vec<_> = kept.chain(&changed).cloned().collect();
        sorted(&entries)
    }
}

/// Recent versions of a list, from which differences are computed.
#[derive(Debug)]
pub struct ListHistory<E> {
    lists: VecDeque<(u64, Vec<E>)>,
}

impl<E> Default for ListHistory<E> {
    fn default() -> Self {
        Self {
            lists: VecDeque::new(),
        }
    }
}

impl<E: ListEntry> ListHistory<E> {
    /// Records a list with its digest.
    pub fn record(&mut self, digest: u64, entries: &[E]) {
        let newest = self.lists.back().map(|(known, _)| *known);
        if newest == Some(digest) {
            return;
        }
        self.lists.push_back((digest, entries.to_vec()));
        if self.lists.len() > MAX_LISTS {
            self.lists.pop_front();
        }
    }

    /// Returns the update for an instance that has the list with the digest `known`.
    pub fn update_since(&self, known: u64, entries: &[E]) -> ListUpdate<E> {
        let old = self.lists.iter().find(|(digest, _)| *digest == known);
        old.map_or_else(
            || ListUpdate::Full(entries.to_vec()),
            |(_, old)| ListUpdate::between(old, entries),
        )
    }
}
