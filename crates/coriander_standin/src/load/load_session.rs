//! Sessions of the load driver.

use std::collections::HashMap;

/// A session with its key, its token and the writes that it must be able to read.
#[derive(Clone, Debug)]
pub struct LoadSession {
    /// Number of the session, which is also the key it writes.
    pub key: u64,
    /// Token from the last response.
    pub token: Option<String>,
    /// Sequence number of the last write that was sent.
    pub sent_sequence: u64,
    /// Sequence number of the last acknowledged write.
    pub acknowledged_sequence: u64,
}

/// Idle sessions by account and database.
///
/// A session sends one request at a time. If all sessions are busy, a new one is created, so that
/// arrivals never wait for responses.
#[derive(Default)]
pub struct SessionPool {
    idle: HashMap<(usize, usize), Vec<LoadSession>>,
    created: u64,
}

impl SessionPool {
    /// Takes the session that has been idle for the longest time, or creates one.
    pub fn take(&mut self, account: usize, database: usize) -> LoadSession {
        let idle = self.idle.entry((account, database)).or_default();
        if !idle.is_empty() {
            return idle.remove(0);
        }
        self.created += 1;
        LoadSession {
            key: self.created,
            token: None,
            sent_sequence: 0,
            acknowledged_sequence: 0,
        }
    }

    /// Returns a session to the pool.
    pub fn put_back(&mut self, account: usize, database: usize, session: LoadSession) {
        self.idle
            .entry((account, database))
            .or_default()
            .push(session);
    }

    /// Returns the number of sessions that were created.
    pub fn created(&self) -> u64 {
        self.created
    }
}
