//! Validated names, stored as shared immutable strings.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum length of a name in bytes; keeps a heartbeat with several names in one datagram.
pub const MAX_NAME_LENGTH: usize = 64;

/// Error for a text that is not a valid name.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum NameError {
    /// The text is empty.
    #[error("a name must not be empty")]
    Empty,
    /// The text is longer than [`MAX_NAME_LENGTH`].
    #[error("name of {length} bytes is longer than {MAX_NAME_LENGTH}")]
    TooLong {
        /// Length of the rejected text in bytes.
        length: usize,
    },
    /// The text contains a character outside `a-z`, `A-Z`, `0-9`, `-`, `_` and `.`.
    #[error("name has the character {character:?}; allowed are letters, digits, '-', '_' and '.'")]
    Character {
        /// First rejected character.
        character: char,
    },
}

fn check_name(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_NAME_LENGTH {
        return Err(NameError::TooLong { length: text.len() });
    }
    let allowed = |c: &char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    match text.chars().find(|c| !allowed(c)) {
        Some(character) => Err(NameError::Character { character }),
        None => Ok(()),
    }
}

macro_rules! define_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        ///
        /// Cloning is cheap: the text is shared.
        #[derive(Clone, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                check_name(text)?;
                Ok(Self(Arc::from(text)))
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:?}", &*self.0)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

define_name!(
    /// Name of a client account.
    AccountName
);
define_name!(
    /// Name of a request class.
    ClassName
);
define_name!(
    /// Name of a database group.
    DatabaseName
);
define_name!(
    /// Identifier of a proxy instance; a restarted instance uses a new one.
    InstanceId
);
define_name!(
    /// Identifier of a member of a database group.
    MemberId
);
define_name!(
    /// Name of an availability zone.
    ZoneName
);
