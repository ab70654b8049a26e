//! Baton with which a caller continues a transaction through any instance.

use coriander_core::{AccountName, DatabaseName, InstanceId, KeyDigest};
use serde::{Deserialize, Serialize};

use crate::signed_text::{sign_value, verify_value};
use crate::{SecretKeys, TokenError};

/// Maximum length of the baton text in bytes.
pub const MAX_BATON_LENGTH: usize = 512;

const BATON_VERSION: u8 = 1;

/// Identifies the open stream on which the next request of a caller runs.
///
/// ```
/// use coriander_core::KeyDigest;
/// use coriander_tokens::{SecretKeys, TransactionBaton};
///
/// let keys = SecretKeys::derive(b"a fleet secret of some length")?;
/// let baton = TransactionBaton {
///     account: "waste-north".parse().expect("valid name"),
///     key: KeyDigest::new([1; 32]),
///     database: "records".parse().expect("valid name"),
///     gateway: "instance-1".parse().expect("valid name"),
///     stream: 7,
///     sequence: 0,
/// };
/// let text = baton.next().encode(&keys);
/// let decoded = TransactionBaton::decode(&text, &keys, &baton.account)?;
/// assert_eq!(decoded.sequence, 1);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TransactionBaton {
    /// Account that opened the stream.
    pub account: AccountName,
    /// Digest of the key that opened the stream; withdrawing that key ends the stream.
    pub key: KeyDigest,
    /// Database of the stream.
    pub database: DatabaseName,
    /// Instance that keeps the stream.
    pub gateway: InstanceId,
    /// Identifier of the stream, unique within the gateway.
    pub stream: u64,
    /// Sequence number of the next request; a lower one means a repeated or reordered request.
    pub sequence: u64,
}

/// Encoded form; contains the digest as bytes, half the length of its text form.
#[derive(Deserialize, Serialize)]
struct BatonFields {
    account: AccountName,
    key: [u8; 32],
    database: DatabaseName,
    gateway: InstanceId,
    stream: u64,
    sequence: u64,
}

impl TransactionBaton {
    /// Returns the baton for the request after this one.
    #[must_use]
    pub fn next(&self) -> Self {
        Self {
            sequence: self.sequence.saturating_add(1),
            ..self.clone()
        }
    }

    /// Encodes and signs the baton as text.
    pub fn encode(&self, keys: &SecretKeys) -> String {
        let fields = BatonFields {
            account: self.account.clone(),
            key: *self.key.as_bytes(),
            database: self.database.clone(),
            gateway: self.gateway.clone(),
            stream: self.stream,
            sequence: self.sequence,
        };
        sign_value(keys.baton(), BATON_VERSION, &fields)
    }

    /// Verifies and decodes the baton that a caller of `account` sent.
    ///
    /// The sequence number is not verified here; the gateway compares it with that of the stream.
    pub fn decode(
        text: &str,
        keys: &SecretKeys,
        account: &AccountName,
    ) -> Result<Self, TokenError> {
        let fields: BatonFields =
            verify_value(keys.baton(), BATON_VERSION, MAX_BATON_LENGTH, text)?;
        if fields.account != *account {
            return Err(TokenError::OtherAccount);
        }
        Ok(Self {
            account: fields.account,
            key: KeyDigest::new(fields.key),
            database: fields.database,
            gateway: fields.gateway,
            stream: fields.stream,
            sequence: fields.sequence,
        })
    }
}
