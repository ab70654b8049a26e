//! The configuration in force on this instance and the tasks that keep it current.

mod change_driver;
mod config_service;
mod config_sync;
mod fleet_duty;

pub use config_service::{ConfigService, ServiceParts};
pub use config_sync::watch_platform;
pub use fleet_duty::{join_fleet, leave_fleet, remove_silent_members};
