//! Settings files: what they say, which numbers a process uses, and when a file is refused.

mod instance_settings;
mod known_settings;
mod process_settings;
mod session_settings;
mod setting_conflict;
mod setting_note;
mod setting_number;
mod settings_error;
mod settings_file;
mod settings_reader;

pub use instance_settings::{InstanceSettings, RequestBounds};
pub use process_settings::ProcessSettings;
pub use session_settings::SessionSettings;
pub use setting_conflict::SettingConflict;
pub use setting_note::{AdjustedSetting, SettingNote};
pub use settings_error::{InvalidSetting, SettingProblem, SettingsError};
pub use settings_file::SettingsFile;
