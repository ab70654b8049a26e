//! Checks a configuration of the fleet and compares it with the one in force.
//!
//! The crate does no I/O. [`check_config`] finds entries that can never match and limits that
//! contradict each other, [`compare_configs`] tells what a new version changes for callers, and
//! [`CheckReport`] joins both with what the decoder of the document has left out.
//!
//! ```
//! use coriander_config_check::{CheckReport, CheckVerdict};
//! use coriander_service_api::FleetConfig;
//!
//! let report = CheckReport::new(&FleetConfig::default(), Vec::new(), None);
//! assert_eq!(report.verdict(), CheckVerdict::Clean);
//! ```

mod check_report;
mod config_change;
mod config_check;

pub use check_report::{CheckReport, CheckVerdict};
pub use config_change::{ConfigChange, compare_configs};
pub use config_check::check_config;
