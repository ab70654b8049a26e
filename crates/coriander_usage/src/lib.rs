//! Usage of client accounts in windows of time.
//!
//! The crate does no I/O: the caller passes in the time and received messages, and carries out the
//! returned steps.
//!
//! * [`ClockEstimate`] estimates the true time from the clocks of several instances.
//! * [`AccountCounter`] counts the operations of this process.
//! * [`ZoneCollector`] sums the counts of the processes of availability zones.
//! * [`UsageLedger`] decides when a window is complete, and which counts are recorded and sent.
//!
//! ```
//! use coriander_usage::{AccountCounter, InstanceCounts, ZoneCollector};
//!
//! let mut counter = AccountCounter::default();
//! counter.count(&"harbour".into(), 7);
//! let mut collector = ZoneCollector::default();
//! for due in counter.take_due(8, 1) {
//!     for message in InstanceCounts::parts(1, &"north".into(), due) {
//!         collector.record(&message);
//!         // A repeated message does not count twice.
//!         collector.record(&message);
//!     }
//! }
//! let totals = collector.take_due(1, 8);
//! assert_eq!(totals[0].counts, [("harbour".into(), 1)]);
//! ```

mod account_counter;
mod clock_estimate;
mod usage_ledger;
mod usage_messages;
mod usage_policy;
mod zone_collector;

pub use account_counter::{AccountCounter, WindowCounts};
pub use clock_estimate::ClockEstimate;
pub use usage_ledger::{LedgerStep, UsageLedger, WindowDifference};
pub use usage_messages::{
    AccountCounts, InstanceCounts, UsageRecord, WindowUsage, ZoneCounts, split_counts,
};
pub use usage_policy::UsagePolicy;
pub use zone_collector::ZoneCollector;

/// Number of windows that counters, collectors and the ledger keep. A minute of windows of 5 s
/// covers an outage of the store or of the platform with a change of the holder.
pub const KEPT_WINDOWS: u64 = 12;

/// Returns whether counters and collectors keep a window. One that is further ahead than windows
/// are kept comes from a wrong clock and is rejected.
const fn is_kept(window: u64, open_window: u64) -> bool {
    let is_recent = window.saturating_add(KEPT_WINDOWS) > open_window;
    is_recent && window <= open_window.saturating_add(KEPT_WINDOWS)
}
