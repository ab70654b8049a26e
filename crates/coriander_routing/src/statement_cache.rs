//! Bounded cache of classifications by SQL text.

use std::collections::HashMap;

use crate::StatementKind;

/// Texts per generation; two generations are kept.
const GENERATION_SIZE: usize = 2048;

/// Longest cached text in bytes; bounds the cache to 8 MiB.
const MAX_CACHED_LENGTH: usize = 2048;

/// Classifies SQL texts and remembers the results.
///
/// The newer generation takes every text that is used. When it is full it replaces the older
/// one, so a text in regular use stays without bookkeeping per access.
///
/// ```
/// use coriander_routing::{StatementCache, StatementKind};
///
/// let mut cache = StatementCache::default();
/// assert_eq!(cache.classify("SELECT id FROM orders"), StatementKind::Read);
/// assert_eq!(cache.classify("SELECT id FROM orders"), StatementKind::Read);
/// assert_eq!((cache.hits(), cache.misses()), (1, 1));
/// ```
#[derive(Default)]
pub struct StatementCache {
    newer: HashMap<Box<str>, StatementKind>,
    older: HashMap<Box<str>, StatementKind>,
    hits: u64,
    misses: u64,
}

impl StatementCache {
    /// Classifies a text that should hold one statement.
    pub fn classify(&mut self, sql: &str) -> StatementKind {
        if sql.len() > MAX_CACHED_LENGTH {
            self.misses += 1;
            return StatementKind::classify(sql);
        }
        if let Some(kind) = self.newer.get(sql) {
            self.hits += 1;
            return *kind;
        }
        let kind = if let Some((text, kind)) = self.older.remove_entry(sql) {
            self.hits += 1;
            self.insert(text, kind);
            return kind;
        } else {
            self.misses += 1;
            StatementKind::classify(sql)
        };
        self.insert(sql.into(), kind);
        kind
    }

    /// Returns the number of classifications answered from the cache.
    pub const fn hits(&self) -> u64 {
        self.hits
    }

    /// Returns the number of texts that had to be classified.
    pub const fn misses(&self) -> u64 {
        self.misses
    }

    /// Returns the number of cached texts.
    pub fn len(&self) -> usize {
        self.newer.len() + self.older.len()
    }

    /// Tells whether nothing is cached.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn insert(&mut self, text: Box<str>, kind: StatementKind) {
        if self.newer.len() == GENERATION_SIZE {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(text, kind);
    }
}
