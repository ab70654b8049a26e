//! Admits client connections, and chooses which to close when there are too many.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use crate::MemoryLimits;

/// Number of a connection, unique within the process.
pub type ConnectionNumber = u64;

/// Answer to a new connection or session.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It is admitted.
    Admitted,
    /// It is admitted, and another connection has to close.
    Replaces(ConnectionNumber),
    /// It is refused, because every other connection is in use.
    Refused,
}

struct Connection {
    /// `None` until a session is open.
    account: Option<Arc<str>>,
    /// Number of its last use; `None` while it is in use.
    last_use: Option<u64>,
}

/// Open client connections. The order of uses stands for time, so that a statement needs no clock.
pub struct ConnectionTable {
    limits: MemoryLimits,
    connections: HashMap<ConnectionNumber, Connection>,
    unidentified: BTreeSet<ConnectionNumber>,
    account_sessions: HashMap<Arc<str>, usize>,
    last_number: ConnectionNumber,
    use_count: u64,
}

impl ConnectionTable {
    /// Creates an empty table.
    pub fn new(limits: &MemoryLimits) -> Self {
        Self {
            limits: *limits,
            connections: HashMap::new(),
            unidentified: BTreeSet::new(),
            account_sessions: HashMap::new(),
            last_number: 0,
            use_count: 0,
        }
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Returns the number of connections that have not sent their first line.
    pub fn unidentified_count(&self) -> usize {
        self.unidentified.len()
    }

    /// Admits a connection. Over the limits it replaces the oldest connection that has not sent
    /// its first line, or the longest idle session of the largest account that has one.
    ///
    /// ```
    /// use coriander_memory::{Admission, ConnectionTable, MachineLimits, MemoryLimits};
    ///
    /// let machine = MachineLimits { memory_mb: 64, descriptors: 500 };
    /// let mut table = ConnectionTable::new(&MemoryLimits::new(&machine));
    /// assert_eq!(table.accept(), (1, Admission::Admitted));
    /// ```
    pub fn accept(&mut self) -> (ConnectionNumber, Admission) {
        let admission = if self.unidentified.len() >= self.limits.max_unidentified {
            self.oldest_unidentified()
        } else if self.connections.len() >= self.limits.max_connections {
            self.idle_of_largest()
                .or_else(|| self.oldest_unidentified())
                .or(Some(Admission::Refused))
        } else {
            Some(Admission::Admitted)
        };
        let admission = admission.unwrap_or(Admission::Refused);
        if let Admission::Replaces(victim) = admission {
            self.remove(victim);
        }
        self.last_number += 1;
        if admission != Admission::Refused {
            let connection = Connection {
                account: None,
                last_use: None,
            };
            self.connections.insert(self.last_number, connection);
            self.unidentified.insert(self.last_number);
        }
        (self.last_number, admission)
    }

    fn oldest_unidentified(&self) -> Option<Admission> {
        self.unidentified.first().copied().map(Admission::Replaces)
    }

    fn idle_of_largest(&self) -> Option<Admission> {
        let idle = self.connections.iter().filter_map(|(number, connection)| {
            let count = self.account_sessions.get(connection.account.as_ref()?)?;
            Some((Reverse(*count), connection.last_use?, *number))
        });
        idle.min().map(|(_, _, number)| Admission::Replaces(number))
    }

    fn longest_idle(&self, account: &str) -> Option<Admission> {
        let sessions = self.connections.iter();
        let idle = sessions.filter_map(|(number, connection)| {
            let is_in_account = connection.account.as_deref() == Some(account);
            Some((connection.last_use?, *number)).filter(|_| is_in_account)
        });
        idle.min().map(|(_, number)| Admission::Replaces(number))
    }

    /// Records that a connection has sent its first line. The check of its key may take a moment, for
    /// which it is not replaced.
    pub fn set_named(&mut self, number: ConnectionNumber) {
        self.unidentified.remove(&number);
    }

    /// Returns whether the account of a connection has been recorded.
    pub fn is_identified(&self, number: ConnectionNumber) -> bool {
        let connection = self.connections.get(&number);
        connection.is_some_and(|connection| connection.account.is_some())
    }

    /// Records the session of a connection. Over the limit of its account it replaces the longest
    /// idle session of the account.
    pub fn identify(&mut self, number: ConnectionNumber, account: &Arc<str>) -> Admission {
        let count = self.account_sessions.get(account).copied().unwrap_or(0);
        let admission = if count < self.limits.max_per_account {
            Admission::Admitted
        } else {
            self.longest_idle(account).unwrap_or(Admission::Refused)
        };
        if let Admission::Replaces(victim) = admission {
            self.remove(victim);
        }
        let connection = self.connections.get_mut(&number);
        if let Some(connection) = connection.filter(|_| admission != Admission::Refused) {
            connection.account = Some(account.clone());
            self.unidentified.remove(&number);
            *self.account_sessions.entry(account.clone()).or_default() += 1;
        }
        admission
    }

    /// Records that a session waits for its next statement outside a transaction, or that it does
    /// not.
    pub fn set_idle(&mut self, number: ConnectionNumber, is_idle: bool) {
        if let Some(connection) = self.connections.get_mut(&number) {
            self.use_count += 1;
            connection.last_use = is_idle.then_some(self.use_count);
        }
    }

    /// Removes a connection that has ended or has been told to.
    pub fn remove(&mut self, number: ConnectionNumber) {
        self.unidentified.remove(&number);
        let account = self.connections.remove(&number);
        let Some(account) = account.and_then(|connection| connection.account) else {
            return;
        };
        if let Some(count) = self.account_sessions.get_mut(&account) {
            *count -= 1;
            if *count == 0 {
                self.account_sessions.remove(&account);
            }
        }
    }
}
