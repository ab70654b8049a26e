//! Codec of length-prefixed frames for TCP.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::message_mac::{MAC_LENGTH, MessageMac, SHORT_VERSION, WIRE_VERSION};
use crate::short_body;
use crate::{DecodeError, EncodeError, RejectCounts};

/// Maximum length of a frame in bytes, without its prefix.
pub const MAX_FRAME_LENGTH: usize = 4 * 1024 * 1024;

const PREFIX_LENGTH: usize = 4;

/// Result of decoding a frame at the start of the received bytes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FrameStatus<T> {
    /// The buffer must contain at least `needed` bytes before the next attempt.
    Incomplete {
        /// Required number of bytes, from the start of the buffer.
        needed: usize,
    },
    /// The buffer starts with a valid message.
    Complete {
        /// The message.
        message: T,
        /// Number of bytes to remove from the start of the buffer.
        consumed: usize,
    },
}

/// Encodes and decodes the messages of TCP connections.
///
/// A frame is a big-endian `u32` length, the version byte, the postcard body and the
/// authentication code. The version says whether the body is compressed.
#[derive(Clone)]
pub struct FrameCodec {
    mac: MessageMac,
    rejected: RejectCounts,
}

impl FrameCodec {
    /// Creates a codec from the wire key of the fleet.
    pub fn new(wire_key: &[u8; 32]) -> Self {
        Self {
            mac: MessageMac::derive(wire_key, b"frame"),
            rejected: RejectCounts::default(),
        }
    }

    /// Encodes a message.
    pub fn encode<T: Serialize + ?Sized>(&self, message: &T) -> Result<Vec<u8>, EncodeError> {
        // The prefix is a placeholder until the length is known.
        let frame = vec![0, 0, 0, 0, WIRE_VERSION];
        self.finish(postcard::to_extend(message, frame)?)
    }

    /// Encodes a message for a receiver to which bytes are dear: a long one is compressed if that
    /// makes it shorter.
    pub fn encode_short<T: Serialize + ?Sized>(&self, message: &T) -> Result<Vec<u8>, EncodeError> {
        let mut frame = postcard::to_extend(message, vec![0, 0, 0, 0, WIRE_VERSION])?;
        let body_start = PREFIX_LENGTH + 1;
        // A body beyond the maximum is refused whether it could be compressed or not.
        if frame.len() <= MAX_FRAME_LENGTH
            && let Some(short) = short_body::shorten(&frame[body_start..])
        {
            frame.truncate(PREFIX_LENGTH);
            frame.push(SHORT_VERSION);
            frame.extend_from_slice(&short);
        }
        self.finish(frame)
    }

    /// Adds the authentication code and sets the length.
    fn finish(&self, mut frame: Vec<u8>) -> Result<Vec<u8>, EncodeError> {
        let length = frame.len() - PREFIX_LENGTH + MAC_LENGTH;
        if length > MAX_FRAME_LENGTH {
            let max_length = MAX_FRAME_LENGTH;
            return Err(EncodeError::TooLong { length, max_length });
        }
        self.mac.append(&mut frame, PREFIX_LENGTH);
        frame[..PREFIX_LENGTH].copy_from_slice(&(length as u32).to_be_bytes());
        Ok(frame)
    }

    /// Decodes the message at the start of `received`.
    ///
    /// An announced length over the maximum is rejected before the body arrives, so that a peer
    /// cannot make the receiver buffer it.
    pub fn decode<T: DeserializeOwned>(
        &mut self,
        received: &[u8],
    ) -> Result<FrameStatus<T>, DecodeError> {
        let result = self.decode_frame(received);
        self.rejected.record(result)
    }

    /// Returns the counters of rejected frames.
    pub const fn rejected(&self) -> &RejectCounts {
        &self.rejected
    }

    fn decode_frame<T: DeserializeOwned>(
        &self,
        received: &[u8],
    ) -> Result<FrameStatus<T>, DecodeError> {
        let Some((prefix, rest)) = received.split_first_chunk::<PREFIX_LENGTH>() else {
            let needed = PREFIX_LENGTH;
            return Ok(FrameStatus::Incomplete { needed });
        };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length > MAX_FRAME_LENGTH {
            let max_length = MAX_FRAME_LENGTH;
            return Err(DecodeError::TooLong { length, max_length });
        }
        if length < 1 + MAC_LENGTH {
            return Err(DecodeError::Truncated);
        }
        let consumed = PREFIX_LENGTH + length;
        let Some(frame) = rest.get(..length) else {
            return Ok(FrameStatus::Incomplete { needed: consumed });
        };
        let (version, body) = self.mac.check_any(frame, &[WIRE_VERSION, SHORT_VERSION])?;
        let restored;
        let body = if version == SHORT_VERSION {
            restored = short_body::restore(body)?;
            &restored
        } else {
            body
        };
        match postcard::take_from_bytes(body) {
            Ok((message, [])) => Ok(FrameStatus::Complete { message, consumed }),
            _ => Err(DecodeError::Malformed),
        }
    }
}
