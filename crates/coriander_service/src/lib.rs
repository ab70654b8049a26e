//! Serves client sessions: admission, choice of members, connections, transactions and the control
//! loop.
//!
//! [`SessionService`] implements `SessionHost`; protocol fronts open sessions through it. It
//! reaches members, store and platform only through the interfaces of `coriander_service_api`.
//!
//! ```
//! use coriander_service::ServiceSettings;
//!
//! let peers = "10.1.0.26:7560".parse().expect("valid address");
//! let settings = ServiceSettings::new("berrechid-1", "berrechid", peers);
//! assert_eq!(&*settings.zone, "berrechid");
//! ```

mod access;
mod attempt;
mod busy_backoff;
mod config_delta;
mod config_view;
mod connection_caps;
mod control_loop;
mod database_group;
mod duty_lease;
mod exchange;
mod fleet_view;
mod held_connection;
mod lineage_store;
mod member;
mod member_health;
mod member_inquiry;
mod member_pool;
mod operation;
mod operation_link;
mod operation_trace;
mod peer_messages;
mod peer_socket;
mod pooled_connection;
mod primary_confirmation;
mod promotion_cause;
mod promotion_duty;
mod promotion_task;
mod rate_limiter;
mod registration;
mod relay;
mod request_log;
mod service;
mod service_metrics;
mod service_settings;
mod session;
mod shutdown_task;
mod store_update;
mod store_view;
mod term_lineage;
mod transaction;
mod warm_up_gate;

pub use busy_backoff::BusyBackoff;
pub use config_delta::{ConfigDelta, ConfigHistory};
pub use control_loop::run_store_sync;
pub use coriander_peer::BootClock;
pub use duty_lease::{rank_delay, run_promotion_duty};
pub use member_health::MemberHealth;
pub use peer_messages::PeerMessage;
pub use peer_socket::PeerSocket;
pub use promotion_cause::{
    PrimaryObservation, PromotionCandidate, PromotionCause, SuccessorRule, choose_successor,
};
pub use promotion_task::PromotionTask;
pub use registration::run_registration;
pub use relay::{RelayClient, RelayReply, RelayRequest, RelayServer};
pub use service::{ServicePhase, SessionService};
pub use service_settings::ServiceSettings;
pub use shutdown_task::ShutdownTask;
pub use store_update::{InstanceHistory, InstanceUpdate, SnapshotDigest, StoreUpdate};
pub use term_lineage::TermLineage;
pub use warm_up_gate::WarmUpGate;
