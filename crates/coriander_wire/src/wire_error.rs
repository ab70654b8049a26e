//! Errors of encoding and decoding.

use coriander_core::InstanceId;
use thiserror::Error;

/// A message that cannot be sent.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum EncodeError {
    /// The encoded message exceeds the maximum length of its transport.
    #[error("message of {length} bytes exceeds the maximum of {max_length}")]
    TooLong {
        /// Length of the encoded message in bytes.
        length: usize,
        /// Greatest allowed length in bytes.
        max_length: usize,
    },
    /// The value cannot be represented in postcard.
    #[error("message cannot be encoded: {0}")]
    Serialize(#[from] postcard::Error),
}

/// A received message that must be dropped.
///
/// A TCP connection must be closed after any of these errors, because the position of the next
/// frame is no longer trustworthy.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum DecodeError {
    /// The message exceeds the maximum length of its transport.
    #[error("message of {length} bytes exceeds the maximum of {max_length}")]
    TooLong {
        /// Announced or received length in bytes.
        length: usize,
        /// Greatest allowed length in bytes.
        max_length: usize,
    },
    /// The message is too short for a version and an authentication code.
    #[error("message is cut short")]
    Truncated,
    /// The message has another format version.
    #[error("message has the unsupported version {found}")]
    Version {
        /// Version in the message.
        found: u8,
    },
    /// The authentication code does not match.
    #[error("message has a wrong authentication code")]
    Forged,
    /// The authenticated body is not a value of the expected type.
    #[error("message body is malformed")]
    Malformed,
    /// The datagram was received before, or is too old to tell.
    #[error("datagram {sequence} of {sender} was received before or is too old")]
    Replayed {
        /// Sender named in the datagram.
        sender: InstanceId,
        /// Sequence number of the datagram.
        sequence: u64,
    },
}
