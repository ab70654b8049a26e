//! Database proxy with session consistency: the process that runs on each instance.
//!
//! Everything except the command line is in this library, so that tests can check settings
//! without starting a process.
//!
//! ```
//! use corianderstile::InstanceSettings;
//! use std::path::Path;
//!
//! let text = "[instance]\nname = a\nzone = elefsina\n";
//! let error = InstanceSettings::parse(Path::new("a.ini"), text).expect_err("incomplete");
//! assert!(error.to_string().contains("[listen] callers: missing value"));
//! ```

mod admin;
mod caller;
mod config;
mod decision_log;
mod entry;
mod gateway;
mod membership_service;
mod metrics;
mod peer;
mod process_clock;
mod proxy;
mod proxy_parts;
mod rate_service;
mod read_selector;
mod server;
mod session_server;
mod settings;

pub use caller::{bounded_text, count_statements};
pub use proxy::StartError;
pub use server::run_server;
pub use session_server::run_session_server;
pub use settings::{
    AdjustedSetting, InstanceSettings, InvalidSetting, ProcessSettings, SessionSettings,
    SettingConflict, SettingNote, SettingProblem, SettingsError, SettingsFile,
};
