//! Keys derived from the fleet secret.

use std::fmt;

use hmac::{Hmac, Mac};
use sha2::Sha256;
use thiserror::Error;

/// Minimum length of the fleet secret in bytes.
pub const MIN_SECRET_LENGTH: usize = 16;

/// Error for a fleet secret that is too short.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("fleet secret of {length} bytes is shorter than {MIN_SECRET_LENGTH}")]
pub struct SecretError {
    /// Length of the rejected secret in bytes.
    pub length: usize,
}

/// Keys for tokens, batons and messages, each derived with a label of its own.
///
/// ```
/// use coriander_tokens::SecretKeys;
///
/// let keys = SecretKeys::derive(b"a fleet secret of some length")?;
/// assert_ne!(keys.wire(), &[0; 32]);
/// assert!(SecretKeys::derive(b"short").is_err());
/// # Ok::<(), coriander_tokens::SecretError>(())
/// ```
#[derive(Clone)]
pub struct SecretKeys {
    token: Hmac<Sha256>,
    baton: Hmac<Sha256>,
    wire: [u8; 32],
}

impl SecretKeys {
    /// Derives the keys from the fleet secret.
    pub fn derive(fleet_secret: &[u8]) -> Result<Self, SecretError> {
        let length = fleet_secret.len();
        if length < MIN_SECRET_LENGTH {
            return Err(SecretError { length });
        }
        let derive = |label: &[u8]| -> [u8; 32] {
            let mac = new_mac(fleet_secret).chain_update(label);
            mac.finalize().into_bytes().into()
        };
        Ok(Self {
            token: new_mac(&derive(b"corianderstile session token")),
            baton: new_mac(&derive(b"corianderstile transaction baton")),
            wire: derive(b"corianderstile wire"),
        })
    }

    /// Returns the key for messages between instances.
    pub const fn wire(&self) -> &[u8; 32] {
        &self.wire
    }

    pub(crate) const fn token(&self) -> &Hmac<Sha256> {
        &self.token
    }

    pub(crate) const fn baton(&self) -> &Hmac<Sha256> {
        &self.baton
    }
}

impl fmt::Debug for SecretKeys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SecretKeys(..)")
    }
}

fn new_mac(key: &[u8]) -> Hmac<Sha256> {
    // HMAC accepts keys of every length, so the error cannot occur.
    Hmac::<Sha256>::new_from_slice(key).expect("HMAC accepts every key length")
}
