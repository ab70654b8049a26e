//! What an operator should know about a settings file that a process uses.

use std::fmt;

use super::setting_conflict::SettingConflict;

/// A value that a process cannot use as written, and what it uses in its place.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdjustedSetting {
    /// Section of the file.
    pub section: &'static str,
    /// Key in the section.
    pub key: String,
    /// Value in the file.
    pub value: String,
    /// Value that the process uses, in the unit of the file.
    pub used: String,
    /// Description of the allowed values.
    pub allowed: String,
}

impl fmt::Display for AdjustedSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            section,
            key,
            value,
            used,
            allowed,
        } = self;
        write!(
            f,
            "[{section}] {key} = {value}: {used} is used; allowed: {allowed}"
        )
    }
}

/// A finding about settings with which a process starts nevertheless.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SettingNote {
    /// A value is not used as written.
    Adjusted(AdjustedSetting),
    /// Two settings contradict each other.
    Conflict(SettingConflict),
}

impl fmt::Display for SettingNote {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Adjusted(setting) => setting.fmt(f),
            Self::Conflict(conflict) => conflict.fmt(f),
        }
    }
}
