//! Counters of rejected messages.

use crate::DecodeError;

/// Reason why a received message was dropped.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RejectReason {
    /// The message exceeds the maximum length of its transport.
    TooLong,
    /// The message is too short.
    Truncated,
    /// The message has an unsupported format version.
    Version,
    /// The authentication code does not match.
    Forged,
    /// The body is malformed.
    Malformed,
    /// The datagram was received before or is too old.
    Replayed,
}

impl RejectReason {
    /// All reasons.
    pub const ALL: [Self; 6] = [
        Self::TooLong,
        Self::Truncated,
        Self::Version,
        Self::Forged,
        Self::Malformed,
        Self::Replayed,
    ];

    /// Returns the reason as a metric label.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::TooLong => "too_long",
            Self::Truncated => "cut_short",
            Self::Version => "version",
            Self::Forged => "forged",
            Self::Malformed => "malformed",
            Self::Replayed => "replayed",
        }
    }
}

impl From<&DecodeError> for RejectReason {
    fn from(error: &DecodeError) -> Self {
        match error {
            DecodeError::TooLong { .. } => Self::TooLong,
            DecodeError::Truncated => Self::Truncated,
            DecodeError::Version { .. } => Self::Version,
            DecodeError::Forged => Self::Forged,
            DecodeError::Malformed => Self::Malformed,
            DecodeError::Replayed { .. } => Self::Replayed,
        }
    }
}

/// Number of rejected messages by reason.
///
/// ```
/// use coriander_wire::{FrameCodec, RejectReason};
///
/// let mut codec = FrameCodec::new(&[7; 32]);
/// assert!(codec.decode::<u8>(&[0, 0, 0, 1, 1]).is_err());
/// assert_eq!(codec.rejected().get(RejectReason::Truncated), 1);
/// assert_eq!(codec.rejected().total(), 1);
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RejectCounts([u64; RejectReason::ALL.len()]);

impl RejectCounts {
    /// Returns the number of messages rejected for a reason.
    pub const fn get(&self, reason: RejectReason) -> u64 {
        self.0[reason as usize]
    }

    /// Returns the total number of rejected messages.
    pub fn total(&self) -> u64 {
        self.0.iter().sum()
    }

    /// Adds the counts of another codec, for example of a closed connection.
    pub fn add(&mut self, other: &Self) {
        for (count, added) in self.0.iter_mut().zip(other.0) {
            *count += added;
        }
    }

    /// Counts the result if it is an error, and returns it unchanged.
    pub(crate) fn record<T>(&mut self, result: Result<T, DecodeError>) -> Result<T, DecodeError> {
        if let Err(error) = &result {
            self.0[RejectReason::from(error) as usize] += 1;
        }
        result
    }
}
