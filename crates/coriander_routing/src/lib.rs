//! Statement classification, choice of members, retry budget, hedging and the request log.
//!
//! All types are state machines without I/O; the current time is passed in.
//!
//! ```
//! use coriander_core::{LogPosition, MonotonicTime};
//! use coriander_routing::{
//!     MemberPlacement, MemberReport, ReadChoice, ReadRequest, ReadRouter, ReplicaTable,
//!     StatementCache, StatementKind,
//! };
//! use coriander_tokens::SessionPosition;
//! use std::time::Duration;
//!
//! let mut cache = StatementCache::default();
//! assert_eq!(cache.classify("SELECT price FROM articles"), StatementKind::Read);
//!
//! let mut table = ReplicaTable::new("piraeus".parse()?, 2);
//! let log: LogPosition = "3.90".parse()?;
//! let (sent, received) = (MonotonicTime::from_millis(10), MonotonicTime::from_millis(12));
//! for (member, zone, is_primary) in [("a", "elefsina", true), ("b", "piraeus", false)] {
//!     let zone = zone.parse()?;
//!     let placement = MemberPlacement { zone, is_leaving: false, is_zone_out: false };
//!     table.set_member(&member.parse()?, placement);
//!     let report = MemberReport { term: log.term, is_primary, log };
//!     table.record_status(&member.parse()?, report, sent, received);
//! }
//! let request = ReadRequest {
//!     freshness: Duration::from_millis(500),
//!     session: SessionPosition::AtLeast("3.88".parse()?),
//!     primary_queue_time: Duration::ZERO,
//!     elapsed_wait: Duration::ZERO,
//!     excluded: &[],
//! };
//! let choice = ReadRouter.choose(&table, &request, MonotonicTime::from_millis(20));
//! assert_eq!(choice, ReadChoice::Replica { member: "b".parse()?, min_position: log });
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod batch_transaction;
mod hedge_policy;
mod logged_write;
mod member_state;
mod moving_average;
mod position_timeline;
mod read_functions;
mod read_router;
mod replica_table;
mod request_kind;
mod request_log;
mod request_parts;
mod request_results;
mod script;
mod sql_words;
mod statement_cache;
mod statement_kind;
mod stored_outcome;

pub use hedge_policy::HedgePolicy;
pub use logged_write::{LoggedWrite, PendingCommit, WriteResult, WriteStep};
pub use member_state::{MemberPlacement, MemberReport, RequestTicket};
pub use read_router::{ReadChoice, ReadRequest, ReadRouter};
pub use replica_table::ReplicaTable;
pub use request_kind::{RequestClassification, RequestKind};
pub use request_log::{
    LookupResult, MAX_REQUEST_ID_LENGTH, RequestIdError, RequestIdentity, RequestLog, StoredResults,
};
pub use request_parts::WrapError;
pub use statement_cache::StatementCache;
pub use statement_kind::StatementKind;
pub use stored_outcome::MAX_OUTCOME_LENGTH;
