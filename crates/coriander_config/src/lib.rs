//! Applied configuration, acceptance of changes, freshness and key checks.
//!
//! All types are state machines without I/O: time, responses of the platform and messages of other
//! instances are passed in.
//!
//! ```
//! use coriander_config::{ChangeCommand, ConfigState, KeyVerifier, digest_key};
//! use coriander_core::{AccountLimits, ConfigDocument};
//!
//! let account: coriander_core::AccountName = "orders".parse().expect("valid name");
//! let limits = AccountLimits { rate: 50, burst: 100 };
//! let mut document = ConfigDocument::default();
//! let set = ChangeCommand::SetAccount { account: account.clone(), limits };
//! set.apply(&mut document).expect("possible change");
//! let digest = digest_key("secret");
//! let give = ChangeCommand::GiveKey { account, key_id: "k1".into(), digest };
//! give.apply(&mut document).expect("possible change");
//! assert!(KeyVerifier::new(&document).verify("secret").is_ok());
//! assert_eq!(ConfigState::default().version().get(), 0);
//! ```

mod acceptance_tally;
mod admin_messages;
mod change_command;
mod change_coordinator;
mod change_plan;
mod config_delta;
mod config_root;
mod config_section;
mod config_state;
mod coordinator_io;
mod freshness_guard;
mod key_verifier;
mod peer_messages;

pub use acceptance_tally::AcceptanceTally;
pub use admin_messages::{
    ChangeRequest, ChangeResult, ConfigView, ExplainedStep, Explanation, RefusalReason,
};
pub use change_command::{ChangeCommand, CommandError};
pub use change_coordinator::ChangeCoordinator;
pub use config_delta::{ConfigDelta, MapDelta};
pub use config_root::{ConfigRoot, ROOT_KEY, RecentChange, SectionName, SectionRef, SectionRefs};
pub use config_section::{
    EncodedSection, MAX_SECTION_BYTES, SectionError, assemble_document, decode_fleet,
    encode_changes, sections_to_fetch,
};
pub use config_state::{ConfigBundle, ConfigChange, ConfigState, FetchConfig};
pub use coordinator_io::{CoordinatorAction, RootRead, WriteResult};
pub use freshness_guard::{FRESHNESS_PERIOD, FreshnessGuard};
pub use key_verifier::{KeyError, KeyVerifier, VerifiedKey, digest_key};
pub use peer_messages::{ConfirmVersion, Incarnation, VersionConfirmed};
