//! Verification of clients' keys.

use std::collections::HashMap;
use std::fmt;

use coriander_core::{AccountName, ConfigDocument, KeyDigest, KeyEntry};
use sha2::{Digest, Sha256};
use smallvec::SmallVec;
use subtle::ConstantTimeEq;
use thiserror::Error;

/// Maximum length of a key; bounds the work per request.
pub const MAX_KEY_BYTES: usize = 256;

/// A key that is not accepted. Clients do not receive the reason.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("key is unknown or withdrawn")]
pub struct KeyError;

/// A key that was accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VerifiedKey {
    /// Account for which the request runs.
    pub account: AccountName,
    /// Digest of the key, by which requests are ended when the key is withdrawn.
    pub digest: KeyDigest,
}

/// Valid keys of the applied document.
///
/// Keys are found by the first bytes of the SHA-256 digest, and the whole digest is compared in
/// constant time. The duration of the search depends only on the digest, from which a client cannot
/// derive a key.
///
/// ```
/// use coriander_config::{KeyVerifier, digest_key};
/// use coriander_core::{ConfigDocument, KeyEntry};
///
/// let mut document = ConfigDocument::default();
/// let account = "orders".parse().expect("valid name");
/// let entry = KeyEntry { account, key_id: "k1".into() };
/// document.keys.insert(digest_key("secret"), entry);
/// let verifier = KeyVerifier::new(&document);
/// assert_eq!(verifier.verify("secret").expect("valid key").account.as_str(), "orders");
/// assert!(verifier.verify("secreT").is_err());
/// ```
#[derive(Clone, Default)]
pub struct KeyVerifier {
    keys: HashMap<[u8; 8], SmallVec<[(KeyDigest, AccountName); 1]>>,
}

impl KeyVerifier {
    /// Creates a verifier for the keys of a document.
    pub fn new(document: &ConfigDocument) -> Self {
        let mut keys: HashMap<_, SmallVec<_>> = HashMap::with_capacity(document.keys.len());
        for (digest, KeyEntry { account, .. }) in &document.keys {
            let entry = keys.entry(prefix(digest)).or_default();
            entry.push((*digest, account.clone()));
        }
        Self { keys }
    }

    /// Returns the account of a key.
    pub fn verify(&self, key: &str) -> Result<VerifiedKey, KeyError> {
        if key.is_empty() || key.len() > MAX_KEY_BYTES {
            return Err(KeyError);
        }
        let digest = digest_key(key);
        let candidates = self.keys.get(&prefix(&digest)).ok_or(KeyError)?;
        let is_equal = |(known, _): &&(KeyDigest, AccountName)| {
            bool::from(known.as_bytes().ct_eq(digest.as_bytes()))
        };
        let (_, account) = candidates.iter().find(is_equal).ok_or(KeyError)?;
        let account = account.clone();
        Ok(VerifiedKey { account, digest })
    }
}

impl fmt::Debug for KeyVerifier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyVerifier({} prefixes)", self.keys.len())
    }
}

/// Returns the digest under which a key is stored.
pub fn digest_key(key: &str) -> KeyDigest {
    KeyDigest::new(Sha256::digest(key.as_bytes()).into())
}

fn prefix(digest: &KeyDigest) -> [u8; 8] {
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&digest.as_bytes()[..8]);
    prefix
}
