//! Signed values as URL-safe text.
//!
//! The encoded bytes are the version, the length of the body as a big-endian `u16`, the postcard
//! body and a truncated HMAC-SHA256. The length distinguishes a truncated value from a forged one.

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::{DecodeError, Engine};
use hmac::{Hmac, Mac};
use serde::Serialize;
use serde::de::DeserializeOwned;
use sha2::Sha256;
use thiserror::Error;

const HEADER_LENGTH: usize = 3;
const MAC_LENGTH: usize = 16;

/// Error for a token or baton that cannot be accepted.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum TokenError {
    /// The text exceeds the maximum length.
    #[error("text of {length} bytes exceeds the maximum of {max_length}")]
    TooLong {
        /// Length of the text in bytes.
        length: usize,
        /// Maximum length in bytes.
        max_length: usize,
    },
    /// The text contains a character outside URL-safe base64.
    #[error("text is not URL-safe base64")]
    Encoding,
    /// The text ends before the value does.
    #[error("text is truncated")]
    Truncated,
    /// The value has an unsupported format version.
    #[error("value has the unsupported version {found}")]
    Version {
        /// Version in the value.
        found: u8,
    },
    /// The authentication code does not match.
    #[error("value has a wrong authentication code")]
    Forged,
    /// The value is authentic but its body cannot be decoded.
    #[error("value has a malformed body")]
    Malformed,
    /// The value was issued for another account.
    #[error("value belongs to another account")]
    OtherAccount,
}

/// Encodes a value as signed text.
///
/// The callers limit the size of their values, so the length always fits and the encoding cannot
/// fail.
pub(crate) fn sign_value<T: Serialize>(key: &Hmac<Sha256>, version: u8, value: &T) -> String {
    let bytes = postcard::to_extend(value, vec![version, 0, 0]);
    let mut bytes = bytes.expect("plain values are encodable");
    let length = (bytes.len() - HEADER_LENGTH) as u16;
    bytes[1..HEADER_LENGTH].copy_from_slice(&length.to_be_bytes());
    let code = key.clone().chain_update(&bytes).finalize().into_bytes();
    bytes.extend_from_slice(&code[..MAC_LENGTH]);
    URL_SAFE_NO_PAD.encode(bytes)
}

/// Verifies a signed text and decodes its value.
pub(crate) fn verify_value<T: DeserializeOwned>(
    key: &Hmac<Sha256>,
    version: u8,
    max_length: usize,
    text: &str,
) -> Result<T, TokenError> {
    let length = text.len();
    if length > max_length {
        return Err(TokenError::TooLong { length, max_length });
    }
    let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|error| match error {
        // Truncation results in an impossible length or unused bits in the last character.
        DecodeError::InvalidLength(_) | DecodeError::InvalidLastSymbol(..) => TokenError::Truncated,
        _ => TokenError::Encoding,
    })?;
    let [found, high, low, rest @ ..] = &*bytes else {
        return Err(TokenError::Truncated);
    };
    if *found != version {
        return Err(TokenError::Version { found: *found });
    }
    let body_length = usize::from(u16::from_be_bytes([*high, *low]));
    if rest.len() < body_length + MAC_LENGTH {
        return Err(TokenError::Truncated);
    }
    let (signed, code) = bytes.split_at(HEADER_LENGTH + body_length);
    // Trailing bytes make the code longer than MAC_LENGTH and are refused here as well.
    if code.len() != MAC_LENGTH {
        return Err(TokenError::Forged);
    }
    let mac = key.clone().chain_update(signed);
    mac.verify_truncated_left(code)
        .map_err(|_| TokenError::Forged)?;
    match postcard::take_from_bytes(&signed[HEADER_LENGTH..]) {
        Ok((value, [])) => Ok(value),
        _ => Err(TokenError::Malformed),
    }
}
