//! The applied configuration of this instance and the tasks that update it.

mod change_driver;
mod config_service;
mod config_sync;
mod fleet_membership;

pub use config_service::{ConfigContext, ConfigService};
pub use config_sync::watch_platform;
pub use fleet_membership::{join_fleet, leave_fleet, remove_lost_members};
