//! Session model, fleet configuration and the interfaces to members and platform.
//!
//! The crate does no I/O. Protocol fronts parse requests into [`ClientStatement`]s and render
//! [`SessionResponse`]s; adapters implement [`MemberConnector`], [`ControlStore`],
//! [`PromotionApi`] and [`UsageApi`].
//!
//! ```
//! use coriander_service_api::{FailureCode, SessionResponse, TransactionStatus};
//!
//! let response = SessionResponse::acknowledged(TransactionStatus::Open);
//! assert_eq!(response.result, Ok(None));
//! assert_eq!(FailureCode::Busy.label(), "busy");
//! ```

mod client_statement;
mod config_finding;
mod control_store;
mod fleet_config;
mod member_link;
mod position_timeline;
mod service_features;
mod session_host;
mod session_response;
mod session_values;

pub use client_statement::{AccessMode, ClientStatement, PreparedShape, StatementKind};
pub use config_finding::{ConfigFinding, ConfigProblem, FindingSeverity};
pub use control_store::{
    ControlSnapshot, ControlStore, DesignatedPrimary, Duty, DutyLease, FleetContacts,
    InstanceEntry, LeaseId, LineageRecord, MemberEntry, MemberRole, PromotionApi, PromotionError,
    StoreError, TermOrigin, UsageApi, UsageReportError,
};
pub use fleet_config::{ClientAccount, DatabaseRoute, FleetConfig, GroupLimits, ReadFreshness};
pub use member_link::{
    LinkError, MemberConnector, MemberLink, MemberRefusal, MemberReply, MemberStatement,
    MemberStatus, MemberTarget, ReplyBatch,
};
pub use position_timeline::PositionTimeline;
pub use service_features::ServiceFeatures;
pub use session_host::{ClientSession, SessionHost};
pub use session_response::{
    FailureCode, FailureReason, SessionFailure, SessionResponse, TransactionStatus,
};
pub use session_values::{ENTRY_BYTES, SessionValues};
