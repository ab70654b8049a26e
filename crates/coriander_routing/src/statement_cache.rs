//! Bounded cache of classifications by SQL text.

use std::collections::HashMap;

use crate::StatementKind;

/// Texts per generation; the cache holds two generations.
const GENERATION_SIZE: usize = 2048;

/// Maximum length of a cached text in bytes; limits the cache to 8 MiB.
const MAX_CACHED_LENGTH: usize = 2048;

/// Classifies SQL texts and caches the results.
///
/// Every text that is used is inserted into the newer generation, which replaces the older one when
/// it is full. Texts in regular use therefore stay cached without bookkeeping per access.
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
    newer_generation: HashMap<Box<str>, StatementKind>,
    older_generation: HashMap<Box<str>, StatementKind>,
    hits: u64,
    misses: u64,
}

impl StatementCache {
    /// Classifies a text that should contain one statement.
    pub fn classify(&mut self, sql: &str) -> StatementKind {
        if sql.len() > MAX_CACHED_LENGTH {
            self.misses += 1;
            return StatementKind::classify(sql);
        }
        if let Some(kind) = self.newer_generation.get(sql) {
            self.hits += 1;
            return *kind;
        }
        let kind = if let Some((text, kind)) = self.older_generation.remove_entry(sql) {
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

    /// Returns the number of classifications served from the cache.
    pub const fn hits(&self) -> u64 {
        self.hits
    }

    /// Returns the number of texts that had to be classified.
    pub const fn misses(&self) -> u64 {
        self.misses
    }

    /// Returns the number of cached texts.
    pub fn len(&self) -> usize {
        self.newer_generation.len() + self.older_generation.len()
    }

    /// Returns whether the cache is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn insert(&mut self, text: Box<str>, kind: StatementKind) {
        if self.newer_generation.len() == GENERATION_SIZE {
            self.older_generation = std::mem::take(&mut self.newer_generation);
        }
        self.newer_generation.insert(text, kind);
    }
}
