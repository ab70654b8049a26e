//! Token that carries the positions of a session's acknowledged writes between instances.

use coriander_core::{AccountName, DatabaseName, LogPosition};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::signed_text::{sign_value, verify_value};
use crate::{SecretKeys, TokenError};

/// Maximum number of databases in a token; keeps it well under the usual header limit of 8 KiB.
pub const MAX_TOKEN_DATABASES: usize = 32;

/// Maximum length of the token text in bytes; fits 32 entries with the longest names and numbers.
pub const MAX_TOKEN_LENGTH: usize = 4096;

const TOKEN_VERSION: u8 = 1;

/// Position that a session requires of the member that serves its read.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SessionPosition {
    /// The session has no writes in the database, so every member satisfies it.
    Unwritten,
    /// The member's log must include this position.
    AtLeast(LogPosition),
    /// The position is unknown, so only the primary satisfies the session.
    Unknown,
}

/// Position of the last acknowledged write of a session, by database.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SessionToken {
    account: AccountName,
    /// Ordered by last update; the most recent entry is last.
    positions: SmallVec<[(DatabaseName, LogPosition); 2]>,
    /// Whether an entry was dropped to stay within [`MAX_TOKEN_DATABASES`].
    has_dropped_entries: bool,
}

impl SessionToken {
    /// Creates the token of a new session.
    pub fn new(account: AccountName) -> Self {
        Self {
            account,
            positions: SmallVec::new(),
            has_dropped_entries: false,
        }
    }

    /// Returns the account of the session.
    pub const fn account(&self) -> &AccountName {
        &self.account
    }

    /// Returns the position that a read of `database` requires.
    pub fn position(&self, database: &DatabaseName) -> SessionPosition {
        match self.positions.iter().find(|(name, _)| name == database) {
            Some((_, position)) => SessionPosition::AtLeast(*position),
            None if self.has_dropped_entries => SessionPosition::Unknown,
            None => SessionPosition::Unwritten,
        }
    }

    /// Raises the position of a database; a lower position has no effect.
    ///
    /// Beyond [`MAX_TOKEN_DATABASES`] the least recently updated entry is dropped. Reads of that
    /// database then go to the primary, which keeps the session consistent.
    pub fn advance(&mut self, database: &DatabaseName, position: LogPosition) {
        let found = self.positions.iter().position(|(name, _)| name == database);
        let entry = match found {
            Some(index) if self.positions[index].1 >= position => return,
            Some(index) => (self.positions.remove(index).0, position),
            None => (database.clone(), position),
        };
        if self.positions.len() == MAX_TOKEN_DATABASES {
            self.positions.remove(0);
            self.has_dropped_entries = true;
        }
        self.positions.push(entry);
    }

    /// Merges another token of the same session; the highest position per database is kept.
    pub fn merge(&mut self, other: &Self) -> Result<(), TokenError> {
        if self.account != other.account {
            return Err(TokenError::OtherAccount);
        }
        for (database, position) in &other.positions {
            self.advance(database, *position);
        }
        self.has_dropped_entries |= other.has_dropped_entries;
        Ok(())
    }

    /// Encodes and signs the token as header text.
    pub fn encode(&self, keys: &SecretKeys) -> String {
        sign_value(keys.token(), TOKEN_VERSION, self)
    }

    /// Verifies and decodes the token that a caller of `account` sent.
    pub fn decode(
        text: &str,
        keys: &SecretKeys,
        account: &AccountName,
    ) -> Result<Self, TokenError> {
        let token: Self = verify_value(keys.token(), TOKEN_VERSION, MAX_TOKEN_LENGTH, text)?;
        if token.account != *account {
            return Err(TokenError::OtherAccount);
        }
        Ok(token)
    }
}
