//! Names, terms, log positions, time, outcomes and configuration types shared by all crates.
//!
//! The crate contains plain data types only: no I/O, no clock and no randomness.
//!
//! ```
//! use coriander_core::{LogPosition, MonotonicTime, TermNumber};
//! use std::time::Duration;
//!
//! let acknowledged = LogPosition::new(TermNumber::new(3), 41);
//! let replica: LogPosition = "3.40".parse().expect("valid position");
//! assert!(!replica.includes(acknowledged));
//!
//! let start = MonotonicTime::from_millis(500);
//! assert_eq!((start + Duration::from_secs(1)).since(start), Duration::from_secs(1));
//! ```

mod config_document;
mod group_messages;
mod log_position;
mod monotonic_time;
mod names;
mod request_error;
mod stable_hash;

pub use config_document::{
    AccountLimits, ClassTarget, ConfigDocument, ConfigVersion, FleetMember, KeyDigest,
    KeyDigestError, KeyEntry, WriteCertainty, ZoneState,
};
pub use group_messages::{ConfirmReply, ControlReply, GroupStatus, MemberRole};
pub use log_position::{LogPosition, PositionError, TermNumber};
pub use monotonic_time::MonotonicTime;
pub use names::{
    AccountName, ClassName, DatabaseName, InstanceId, MAX_NAME_LENGTH, MemberId, NameError,
    ZoneName,
};
pub use request_error::{ErrorCode, RequestError, RequestOutcome};
pub use stable_hash::stable_hash;
