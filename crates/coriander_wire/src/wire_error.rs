//! Errors of encoding and decoding.

use coriander_core::InstanceId;
use thiserror::Error;

/// Error for a message that cannot be encoded.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum EncodeError {
    /// The encoded message exceeds the maximum length of its transport.
    #[error("message of {length} bytes exceeds the maximum of {max_length}")]
    TooLong {
        /// Length of the encoded message in bytes.
        length: usize,
        /// Maximum length in bytes.
        max_length: usize,
    },
    /// The value cannot be represented in postcard.
    #[error("message cannot be encoded: {0}")]
    Serialize(#[from] postcard::Error),
}

/// Error for a received message that must be dropped.
///
/// A TCP connection must be closed after any of these errors, because the start of the next frame
/// can no longer be determined.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum DecodeError {
    /// The message exceeds the maximum length of its transport.
    #[error("message of {length} bytes exceeds the maximum of {max_length}")]
    TooLong {
        /// Announced or received length in bytes.
        length: usize,
        /// Maximum length in bytes.
        max_length: usize,
    },
    /// The message is too short for a version and an authentication code.
    #[error("message is truncated")]
    Truncated,
    /// The message has an unsupported format version.
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
    /// The datagram was received before, or is too old to determine this.
    #[error("datagram {sequence} of {sender} was received before or is too old")]
    Replayed {
        /// Sender named in the datagram.
        sender: InstanceId,
        /// Sequence number of the datagram.
        sequence: u64,
    },
}
