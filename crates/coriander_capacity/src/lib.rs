//! Learned capacity of members, without I/O.
//!
//! * [`CapacityBoard`] holds what one instance has learned about all members.
//! * [`ConcurrencyLimit`] is the number of statements that one member takes well.
//! * [`GateLimit`] is the number of statements that are let through to one member.
//! * [`LatencyProfile`] is the usual latency of one class of statements.
//! * [`placement_order`] says where reads go while members have room.
//! * [`OutlierDetector`] sets a member aside by outcome and latency, and takes it back by probes.
//!
//! ```
//! use std::time::Duration;
//!
//! use coriander_capacity::{CapacityBoard, ExchangeSample, SampleOutcome, StatementClass};
//! use coriander_core::MonotonicTime;
//!
//! let mut board = CapacityBoard::default();
//! let class = StatementClass::new(1, false, false);
//! for step in 0..20 {
//!     let now = MonotonicTime::from_millis(step * 20);
//!     let latency = Duration::from_millis(400);
//!     let sample = ExchangeSample { class, outcome: SampleOutcome::Unanswered, latency };
//!     board.record_local("a", &sample, now);
//! }
//! assert!(board.is_set_aside("a", MonotonicTime::from_millis(400)));
//! ```

mod capacity_board;
mod concurrency_limit;
mod exchange_sample;
mod gate_limit;
mod latency_profile;
mod member_report;
mod outlier_detector;
mod read_placement;

pub use capacity_board::{CapacityBoard, CapacityEvent, ReadCandidate};
pub use concurrency_limit::ConcurrencyLimit;
pub use exchange_sample::{ExchangeSample, SampleOutcome, StatementClass};
pub use gate_limit::GateLimit;
pub use latency_profile::LatencyProfile;
pub use member_report::{CapacityNotice, ConfirmedPosition, MemberReport};
pub use outlier_detector::{OutlierCause, OutlierChange, OutlierDetector};
pub use read_placement::{PlacementCandidate, placement_order};
