//! Settings of a process of either kind.

use std::path::Path;

use super::instance_settings::InstanceSettings;
use super::session_settings::SessionSettings;
use super::setting_note::SettingNote;
use super::settings_error::SettingsError;

/// Settings of an instance of either kind.
#[derive(Clone, Debug)]
pub enum ProcessSettings {
    /// An instance that serves callers over Hrana.
    Hrana(Box<InstanceSettings>),
    /// An instance that serves sessions on the users' platform.
    Sessions(Box<SessionSettings>),
}

impl ProcessSettings {
    /// Checks the text of a settings file; `path` is used in messages only.
    ///
    /// ```
    /// use corianderstile::ProcessSettings;
    /// use std::path::Path;
    ///
    /// let path = Path::new("a.ini");
    /// let error = ProcessSettings::parse(path, "").expect_err("empty");
    /// assert_eq!(error.to_string(), "a.ini: the file is empty");
    /// ```
    pub fn parse(path: &Path, text: &str) -> Result<Self, SettingsError> {
        if text.trim().is_empty() {
            return Err(SettingsError::Empty {
                file: path.to_owned(),
            });
        }
        if SessionSettings::matches_text(text) {
            let settings = SessionSettings::parse(path, text)?;
            return Ok(Self::Sessions(Box::new(settings)));
        }
        let settings = InstanceSettings::parse(path, text)?;
        Ok(Self::Hrana(Box::new(settings)))
    }

    /// Returns what an operator should know of settings that are used.
    pub fn notes(&self) -> Vec<SettingNote> {
        let (adjusted, conflicts) = match self {
            Self::Hrana(settings) => (&settings.adjusted, settings.conflicts()),
            Self::Sessions(settings) => (&settings.adjusted, settings.conflicts()),
        };
        let adjusted = adjusted.iter().cloned().map(SettingNote::Adjusted);
        let conflicts = conflicts.into_iter().map(SettingNote::Conflict);
        adjusted.chain(conflicts).collect()
    }
}
