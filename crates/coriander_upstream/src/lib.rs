//! Client of one database member: group control, Hrana pipelines and the pool of Hrana streams.
//!
//! [`UpstreamMember`] is the interface, [`HttpMember`] its implementation over HTTP and
//! [`StreamPool`] the bookkeeping of streams, which performs no I/O.
//!
//! ```
//! use coriander_core::MonotonicTime;
//! use coriander_upstream::{PoolSettings, StreamPool, StreamUse};
//!
//! let pool = StreamPool::new(PoolSettings::default().with_max_streams(2));
//! let now = MonotonicTime::ZERO;
//! let mut lease = pool.check_out(StreamUse::Statement, now).expect("below the limit");
//! assert_eq!(lease.baton(), None, "the first request opens the stream");
//! lease.set_baton("baton-1".into());
//! lease.check_in(now);
//! let lease = pool.check_out(StreamUse::Transaction, now).expect("idle stream");
//! assert_eq!(lease.baton(), Some("baton-1"));
//! ```

mod http_member;
mod http_response;
mod member_settings;
mod pipeline_call;
mod pool_settings;
mod response_budget;
mod stream_body;
mod stream_pool;
mod upstream_error;
mod upstream_member;

pub use http_member::HttpMember;
pub use member_settings::MemberSettings;
pub use pipeline_call::{
    LOG_POSITION_HEADER, MIN_POSITION_HEADER, OUTCOME_HEADER, PipelineEndpoint, PipelineReply,
    PipelineRequest, TERM_HEADER,
};
pub use pool_settings::PoolSettings;
pub use response_budget::{NoMemory, ResponseBudget, ResponseMemory};
pub use stream_body::{close_stream_body, open_stream_body, read_baton};
pub use stream_pool::{PoolCounts, StreamLease, StreamPool, StreamUse};
pub use upstream_error::{SendFailure, UpstreamError, UpstreamRefusal};
pub use upstream_member::UpstreamMember;
