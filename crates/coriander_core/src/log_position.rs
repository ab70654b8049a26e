//! Terms and positions in the replicated log of a database group.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Term number; each term has at most one primary.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct TermNumber(u64);

impl TermNumber {
    /// Creates a term number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the next term.
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for TermNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Position of an entry in a log: the term that wrote the entry and the entry's index.
///
/// Positions are ordered by term first, then by index. The choice of a new primary uses this order.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct LogPosition {
    /// Term that wrote the entry.
    pub term: TermNumber,
    /// Index of the entry, starting at 1; 0 denotes an empty log.
    pub index: u64,
}

impl LogPosition {
    /// Creates a position.
    pub const fn new(term: TermNumber, index: u64) -> Self {
        Self { term, index }
    }

    /// Returns whether a log that ends here contains the acknowledged entry at `wanted`.
    ///
    /// Valid for acknowledged entries only, because only these are in the log of every later term.
    /// The index is compared as well because a log of a later term may still be catching up.
    pub fn includes(self, wanted: Self) -> bool {
        self.term >= wanted.term && self.index >= wanted.index
    }
}

impl fmt::Display for LogPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.term, self.index)
    }
}

/// Error for a text that is not a log position of the form `TERM.INDEX`.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum PositionError {
    /// The dot between term and index is missing.
    #[error("log position must have the form TERM.INDEX")]
    Separator,
    /// The term or the index is not a number.
    #[error("log position has an invalid number: {0}")]
    Number(#[from] ParseIntError),
}

impl FromStr for LogPosition {
    type Err = PositionError;

    fn from_str(text: &str) -> Result<Self, PositionError> {
        let (term, index) = text.split_once('.').ok_or(PositionError::Separator)?;
        Ok(Self::new(TermNumber::new(term.parse()?), index.parse()?))
    }
}
