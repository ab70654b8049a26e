//! Session model, fleet configuration and the interfaces to members and platform.
//!
//! The crate does no I/O. Protocol fronts turn what they receive into [`ClientStatement`]s and
//! render [`SessionAnswer`]s; adapters implement [`MemberConnector`], [`ControlStore`] and
//! [`PromotionApi`].
//!
//! ```
//! use coriander_service_api::{FailureCode, SessionAnswer, TransactionStatus};
//!
//! let answer = SessionAnswer::acknowledged(TransactionStatus::Open);
//! assert_eq!(answer.result, Ok(None));
//! assert_eq!(FailureCode::Busy.label(), "busy");
//! ```

mod answer;
mod control_store;
mod fleet_config;
mod member_link;
mod read_floor;
mod session_host;
mod session_values;
mod statement;

pub use answer::{FailureCode, FailureReason, SessionAnswer, SessionFailure, TransactionStatus};
pub use control_store::{
    ControlSnapshot, ControlStore, DesignatedPrimary, DutyLease, InstanceEntry, LeaseId,
    MemberEntry, MemberRole, PromotionApi, PromotionError, StoreError, TermStart,
};
pub use fleet_config::{ClientAccount, DatabaseRoute, FleetConfig, GroupLimits, ReadFreshness};
pub use member_link::{
    LinkError, MemberConnector, MemberLink, MemberRefusal, MemberReply, MemberStatement,
    MemberStatus, MemberTarget, ReplyBatch,
};
pub use read_floor::ReadFloor;
pub use session_host::{ClientSession, SessionHost};
pub use session_values::SessionValues;
pub use statement::{AccessMode, ClientStatement, PreparedShape, StatementKind};
