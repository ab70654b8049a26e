//! Digest that detects the reuse of a request id for a different request.

use std::fmt;

use coriander_core::{ClassName, DatabaseName};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// SHA-256 digest over the database, class and body of a request.
///
/// The body is hashed byte by byte, so a retry must send identical bytes.
///
/// ```
/// use coriander_tokens::RequestDigest;
///
/// let database = "records".parse().expect("valid name");
/// let class = "orders".parse().expect("valid name");
/// let digest = RequestDigest::compute(&database, &class, b"{}");
/// assert_ne!(digest, RequestDigest::compute(&database, &class, b"{ }"));
/// assert_eq!(digest.to_string().len(), 64);
/// ```
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(transparent)]
pub struct RequestDigest([u8; 32]);

impl RequestDigest {
    /// Computes the digest of a request.
    pub fn compute(database: &DatabaseName, class: &ClassName, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        // The length before each part prevents equal digests of parts that are split differently.
        for part in [
            database.as_str().as_bytes(),
            class.as_str().as_bytes(),
            body,
        ] {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        Self(hasher.finalize().into())
    }

    /// Returns the bytes.
    pub const fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
