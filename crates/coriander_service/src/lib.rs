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

mod admission;
mod configuration;
mod duties;
mod fleet;
mod members;
mod process_lifecycle;
mod promotion;
mod service;
mod service_description;
mod service_metrics;
mod service_settings;
mod sessions;
mod spread;
mod usage;

pub use admission::access::SHORT_KEY_LIFETIME;
pub use configuration::config_delta::{ConfigDelta, ConfigHistory};
pub use configuration::control_loop::run_store_sync;
pub use configuration::list_update::ListUpdate;
pub use configuration::read_span::ReadSpan;
pub use configuration::store_update::{
    InstanceUpdate, KnownSnapshot, MemberUpdate, SnapshotDigest, SnapshotHistory, StoreUpdate,
};
pub use configuration::store_view::StoreView;
pub use coriander_peer::BootClock;
pub use duties::duty_lease::{rank_delay, run_duty};
pub use fleet::fleet_view::{FleetView, MemberLocation};
pub use fleet::peer_messages::PeerMessage;
pub use fleet::peer_socket::PeerSocket;
pub use fleet::registration::run_registration;
pub use fleet::relay::{RelayClient, RelayServer};
pub use fleet::relay_messages::{HeldUpdate, RelayReply, RelayRequest};
pub use members::member_health::MemberHealth;
pub use members::warm_up_gate::WarmUpGate;
pub use process_lifecycle::{ProcessLifecycle, ServicePhase};
pub use promotion::promotion_cause::{
    PrimaryObservation, PromotionCandidate, PromotionCause, SuccessorRule, choose_successor,
};
pub use promotion::promotion_task::PromotionTask;
pub use promotion::term_lineage::TermLineage;
pub use service::SessionService;
pub use service_settings::ServiceSettings;
pub use sessions::busy_backoff::BusyBackoff;
pub use sessions::shutdown_task::ShutdownTask;
pub use spread::update_tree::{FAN_OUT, READERS_PER_ZONE, UpdateTree};
pub use usage::usage_meter::UsageMeter;
pub use usage::usage_task::UsageTask;
