//! Authentication codes of messages.

use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::DecodeError;

/// Version of the message format; a receiver drops every other version.
pub const WIRE_VERSION: u8 = 1;

/// Version of frames whose body is in its shorter form.
pub(crate) const SHORT_VERSION: u8 = 2;

/// Length of the truncated HMAC-SHA256 in bytes.
pub(crate) const MAC_LENGTH: usize = 16;

/// Initialized HMAC of one transport, so that the key is not hashed again for each message.
#[derive(Clone)]
pub(crate) struct MessageMac(Hmac<Sha256>);

impl MessageMac {
    /// Derives the key of one transport.
    ///
    /// The label separates the transports, so a captured datagram is not a valid frame.
    pub(crate) fn derive(wire_key: &[u8; 32], label: &[u8]) -> Self {
        let derived = new_mac(wire_key)
            .chain_update(label)
            .finalize()
            .into_bytes();
        Self(new_mac(&derived))
    }

    /// Appends the authentication code of the bytes from `start`.
    pub(crate) fn append(&self, message: &mut Vec<u8>, start: usize) {
        let code = self.0.clone().chain_update(&message[start..]).finalize();
        message.extend_from_slice(&code.into_bytes()[..MAC_LENGTH]);
    }

    /// Verifies the version and the code, and returns the bytes between them.
    pub(crate) fn check<'a>(&self, message: &'a [u8]) -> Result<&'a [u8], DecodeError> {
        let (version, body) = self.check_any(message, &[WIRE_VERSION])?;
        debug_assert_eq!(version, WIRE_VERSION);
        Ok(body)
    }

    /// Verifies that the version is one of `versions`, and the code, and returns the version and
    /// the bytes between them.
    pub(crate) fn check_any<'a>(
        &self,
        message: &'a [u8],
        versions: &[u8],
    ) -> Result<(u8, &'a [u8]), DecodeError> {
        if message.len() < 1 + MAC_LENGTH {
            return Err(DecodeError::Truncated);
        }
        if !versions.contains(&message[0]) {
            return Err(DecodeError::Version { found: message[0] });
        }
        let (signed, code) = message.split_at(message.len() - MAC_LENGTH);
        let mac = self.0.clone().chain_update(signed);
        mac.verify_truncated_left(code)
            .map_err(|_| DecodeError::Forged)?;
        Ok((signed[0], &signed[1..]))
    }
}

fn new_mac(key: &[u8]) -> Hmac<Sha256> {
    // HMAC accepts keys of every length, so the error cannot occur.
    Hmac::<Sha256>::new_from_slice(key).expect("HMAC accepts every key length")
}
