//! Token buckets, grants, fair queueing and load shedding.
//!
//! The crate does no I/O: the caller passes in the time and received messages, and carries out the
//! returned decisions and messages.
//!
//! * [`PlanTable`] splits each account's rate and burst between owners and local reserves.
//! * [`OwnerTable`] holds the shards of an instance and grants tokens.
//! * [`GrantClient`] admits requests with granted tokens, which it prefetches from owners.
//! * [`FairQueue`] orders the waiting requests of a database and sheds overdue ones.
//! * [`RateShares`] divides the rates of accounts among instances of the session service.
//! * [`RepetitionBudget`] limits the statements that an instance repeats.
//! * [`SlotLimiter`] limits the concurrent statements per member, based on its refusals.
//!
//! ```
//! use coriander_core::{AccountLimits, ConfigDocument, MonotonicTime};
//! use coriander_limits::{
//!     AdmitDecision, FleetVersion, GrantClient, GrantEvent, LimitPolicy, OwnerTable, PlanTable,
//! };
//! use std::sync::Arc;
//!
//! let mut document = ConfigDocument::default();
//! document.accounts.insert("harbour".parse()?, AccountLimits { rate: 100, burst: 100 });
//! let owners = |_: &_| [("i-0".parse()).expect("valid name")].into_iter().collect();
//! let plans = PlanTable::new(&document, FleetVersion::new(1), &LimitPolicy::default(), owners);
//! let plans = Arc::new(plans);
//!
//! let start = MonotonicTime::ZERO;
//! let mut owner = OwnerTable::new("i-0".parse()?);
//! owner.apply(&plans, start);
//! owner.record_acceptance(document.version, start);
//! owner.set_fresh_until(MonotonicTime::from_millis(60_000));
//! let mut client = GrantClient::new("i-1".parse()?);
//! client.apply(&plans, start);
//!
//! // The request waits for a grant and is admitted when the reply arrives.
//! let now = MonotonicTime::from_millis(5_000);
//! let deadline = MonotonicTime::from_millis(5_200);
//! let decision = client.admit(&"harbour".parse()?, 7, deadline, now);
//! assert_eq!(decision, AdmitDecision::WaitUntil(deadline));
//! for event in client.take_events() {
//!     if let GrantEvent::Send { owner: id, message } = event {
//!         let grant = owner.handle_request(&message, now);
//!         client.handle_grant(&id, &grant, now);
//!     }
//! }
//! assert_eq!(client.take_events(), [GrantEvent::Admitted { ticket: 7 }]);
//! # Ok::<(), coriander_core::NameError>(())
//! ```

mod account_grants;
mod account_plan;
mod account_share;
mod bucket_shard;
mod class_queue;
mod fair_queue;
mod grant_client;
mod limit_policy;
mod owner_link;
mod owner_table;
mod rate_estimate;
mod rate_owners;
mod rate_shares;
mod repetition_budget;
mod retry_budget;
mod slot_limiter;
mod token_bucket;
mod token_messages;

pub use account_plan::{AccountPlan, FleetVersion, PlanTable};
pub use bucket_shard::BucketShard;
pub use fair_queue::{FairQueue, QueueBounds, QueuedRequest, ShedRequest, SlotRole};
pub use grant_client::{AdmitDecision, GrantClient, GrantEvent, rate_error};
pub use limit_policy::LimitPolicy;
pub use owner_table::OwnerTable;
pub use rate_owners::FleetInstance;
pub use rate_shares::{LoanOffer, RateShares};
pub use repetition_budget::{RepetitionBudget, RepetitionRefusal};
pub use retry_budget::RetryBudget;
pub use slot_limiter::SlotLimiter;
pub use token_bucket::BucketShare;
pub use token_messages::{
    GrantNumber, HandOver, HandOverReply, ReturnedTokens, TokenGrant, TokenRequest,
};
