//! Failure detection, fencing, promotion and write acknowledgement of database groups.
//!
//! [`GroupMonitor`] is a state machine without I/O: it takes events and the current time, and
//! returns calls to members. [`WriteAcknowledgement`] decides when a write may be acknowledged.
//!
//! ```
//! use coriander_core::MonotonicTime;
//! use coriander_failover::{
//!     GroupAction, GroupEvent, GroupMember, GroupMonitor, MonitorSettings,
//! };
//! use rand::{SeedableRng, rngs::SmallRng};
//!
//! let mut random = SmallRng::seed_from_u64(1);
//! let now = MonotonicTime::ZERO;
//! let mut monitor =
//!     GroupMonitor::new("orders".parse()?, MonitorSettings::default(), now);
//! let member = GroupMember {
//!     id: "a".parse()?,
//!     zone: "acharnes".parse()?,
//!     is_leaving: false,
//!     is_zone_out: false,
//! };
//! monitor.set_members(&[member], now);
//! monitor.set_rank(Some(0), now);
//! let actions = monitor.handle(GroupEvent::Tick, now, &mut random);
//! assert!(matches!(actions[..], [GroupAction::Probe { .. }]));
//! assert!(monitor.primary().is_none(), "no member has replied yet");
//! # Ok::<(), coriander_core::NameError>(())
//! ```

mod failure_assessment;
mod failure_detector;
mod group_event;
mod group_monitor;
mod member_record;
mod monitor_settings;
mod probe_schedule;
mod promotion_attempt;
mod promotion_cause;
mod promotion_steps;
mod write_acknowledgement;

pub use group_event::{CallFailure, GroupAction, GroupEvent, GroupMember, PrimaryView, ProbeId};
pub use group_monitor::GroupMonitor;
pub use monitor_settings::MonitorSettings;
pub use promotion_cause::PromotionCause;
pub use write_acknowledgement::{AckState, WriteAcknowledgement, majority_of};
