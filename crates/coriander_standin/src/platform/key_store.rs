//! Keys with compare-and-swap and sessions with a TTL.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// A stored key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredKey {
    /// The value.
    pub value: Vec<u8>,
    /// Index at which the key was created.
    pub create_index: u64,
    /// Index of the last change.
    pub modify_index: u64,
    /// Number of times the key was acquired.
    pub lock_index: u64,
    /// Session that holds the key.
    pub session: Option<String>,
}

/// Condition of a write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PutCondition {
    /// No condition.
    Always,
    /// The key was last changed at this index; 0 means that it does not exist.
    Index(u64),
    /// The key is free or held by this session, which acquires it.
    Acquire(String),
    /// The key is held by this session, which releases it.
    Release(String),
}

/// Options of a new session.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SessionOptions {
    /// Time after which a session expires unless it is renewed; `None` for no expiry.
    pub ttl: Option<Duration>,
    /// Time during which keys of an ended session cannot be acquired.
    pub lock_delay: Duration,
    /// Whether keys of an ended session are deleted instead of released.
    pub deletes_keys: bool,
}

struct SessionState {
    options: SessionOptions,
    renewed_at: Instant,
}

/// All keys and sessions, with an index that is incremented by each change.
#[derive(Default)]
pub struct KeyStore {
    index: u64,
    keys: BTreeMap<String, StoredKey>,
    /// Index of the last change of each key, including deleted keys.
    change_indexes: HashMap<String, u64>,
    sessions: HashMap<String, SessionState>,
    locked_until: HashMap<String, Instant>,
}

impl KeyStore {
    /// Returns a key.
    pub fn get(&self, key: &str) -> Option<&StoredKey> {
        self.keys.get(key)
    }

    /// Returns the keys with a prefix.
    pub fn range<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a String, &'a StoredKey)> {
        self.keys
            .range(prefix.to_owned()..)
            .take_while(move |(key, _)| key.starts_with(prefix))
    }

    /// Returns the index of the last change of a key, at least 1.
    pub fn change_index(&self, key: &str) -> u64 {
        self.change_indexes.get(key).copied().unwrap_or(1)
    }

    /// Returns the index of the last change of any key with a prefix, at least 1.
    pub fn prefix_index(&self, prefix: &str) -> u64 {
        let changes = self.change_indexes.iter();
        let matching = changes.filter(|(key, _)| key.starts_with(prefix));
        matching.map(|(_, index)| *index).max().unwrap_or(1)
    }

    /// Writes a key if the condition holds.
    ///
    /// Returns `None` if the session of the condition does not exist.
    pub fn put(
        &mut self,
        key: &str,
        value: Vec<u8>,
        condition: &PutCondition,
        now: Instant,
    ) -> Option<bool> {
        if let PutCondition::Acquire(id) | PutCondition::Release(id) = condition
            && !self.sessions.contains_key(id)
        {
            return None;
        }
        let old = self.keys.get(key);
        let holder = old.and_then(|old| old.session.as_ref());
        let is_met = match condition {
            PutCondition::Always => true,
            PutCondition::Index(index) => *index == old.map_or(0, |old| old.modify_index),
            PutCondition::Acquire(id) => {
                let is_delayed = self.locked_until.get(key).is_some_and(|until| *until > now);
                !is_delayed && holder.is_none_or(|holder| holder == id)
            }
            PutCondition::Release(id) => holder == Some(id),
        };
        if !is_met {
            return Some(false);
        }
        let (session, is_acquired) = match condition {
            PutCondition::Acquire(id) => (Some(id.clone()), holder.is_none()),
            PutCondition::Release(_) => (None, false),
            _ => (holder.cloned(), false),
        };
        let create_index = old.map(|old| old.create_index);
        let lock_index = old.map_or(0, |old| old.lock_index) + u64::from(is_acquired);
        let index = self.record_change(key);
        let stored = StoredKey {
            value,
            create_index: create_index.unwrap_or(index),
            modify_index: index,
            lock_index,
            session,
        };
        self.keys.insert(key.to_owned(), stored);
        Some(true)
    }

    /// Deletes a key if no index is given or the key was last changed at it.
    pub fn delete(&mut self, key: &str, index: Option<u64>) -> bool {
        let current = self.keys.get(key).map_or(0, |old| old.modify_index);
        if index.is_some_and(|index| index != current) {
            return false;
        }
        if self.keys.remove(key).is_some() {
            self.record_change(key);
        }
        true
    }

    /// Creates a session and returns its identifier.
    pub fn create_session(&mut self, options: SessionOptions, now: Instant) -> String {
        let bytes: u128 = rand::random();
        let hex = format!("{bytes:032x}");
        let parts = [
            &hex[..8],
            &hex[8..12],
            &hex[12..16],
            &hex[16..20],
            &hex[20..],
        ];
        let id = parts.join("-");
        let state = SessionState {
            options,
            renewed_at: now,
        };
        self.sessions.insert(id.clone(), state);
        id
    }

    /// Renews a session; returns `None` if it does not exist.
    pub fn renew_session(&mut self, id: &str, now: Instant) -> Option<SessionOptions> {
        let state = self.sessions.get_mut(id)?;
        state.renewed_at = now;
        Some(state.options)
    }

    /// Ends a session and releases or deletes its keys.
    pub fn destroy_session(&mut self, id: &str, now: Instant) -> bool {
        let Some(state) = self.sessions.remove(id) else {
            return false;
        };
        let held = self.keys.iter();
        let held = held.filter(|(_, stored)| stored.session.as_deref() == Some(id));
        let held: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        for key in held {
            let until = now + state.options.lock_delay;
            self.locked_until.insert(key.clone(), until);
            let index = self.record_change(&key);
            if state.options.deletes_keys {
                self.keys.remove(&key);
            } else if let Some(stored) = self.keys.get_mut(&key) {
                stored.session = None;
                stored.modify_index = index;
            }
        }
        true
    }

    /// Ends expired sessions; returns whether there was one.
    pub fn expire_sessions(&mut self, now: Instant) -> bool {
        let is_expired = |state: &SessionState| {
            let ttl = state.options.ttl;
            ttl.is_some_and(|ttl| now.duration_since(state.renewed_at) > ttl)
        };
        let expired = self.sessions.iter().filter(|(_, state)| is_expired(state));
        let expired: Vec<String> = expired.map(|(id, _)| id.clone()).collect();
        for id in &expired {
            self.destroy_session(id, now);
        }
        !expired.is_empty()
    }

    fn record_change(&mut self, key: &str) -> u64 {
        // The first change gets index 2, because 1 is the index of a key that never existed.
        self.index = self.index.max(1) + 1;
        self.change_indexes.insert(key.to_owned(), self.index);
        self.index
    }
}
