//! Session tokens, batons and request digests.
//!
//! All values are plain data. Tokens and batons are signed, and pass through callers as URL-safe
//! text.
//!
//! ```
//! use coriander_tokens::{SecretKeys, SessionPosition, SessionToken};
//!
//! let keys = SecretKeys::derive(b"a fleet secret of some length")?;
//! let account = "waste-north".parse().expect("valid name");
//! let database = "records".parse().expect("valid name");
//! let mut token = SessionToken::new(account);
//! token.advance(&database, "4.120".parse().expect("valid position"));
//!
//! let text = token.encode(&keys);
//! let decoded = SessionToken::decode(&text, &keys, token.account())?;
//! assert_eq!(
//!     decoded.position(&database),
//!     SessionPosition::AtLeast("4.120".parse().expect("valid position"))
//! );
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod request_digest;
mod secret_keys;
mod session_token;
mod signed_text;
mod transaction_baton;

pub use request_digest::RequestDigest;
pub use secret_keys::{MIN_SECRET_LENGTH, SecretError, SecretKeys};
pub use session_token::{MAX_TOKEN_DATABASES, MAX_TOKEN_LENGTH, SessionPosition, SessionToken};
pub use signed_text::TokenError;
pub use transaction_baton::{MAX_BATON_LENGTH, TransactionBaton};
