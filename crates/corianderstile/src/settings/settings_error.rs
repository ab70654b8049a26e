//! Why a settings file is refused.

use std::fmt;
use std::path::PathBuf;

use thiserror::Error;

/// An invalid entry of a settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InvalidSetting {
    /// File that contains the setting.
    pub file: PathBuf,
    /// Section, empty for keys before the first section.
    pub section: String,
    /// Key, empty if the section itself is unknown.
    pub key: String,
    /// Value in the file, if any.
    pub value: Option<String>,
    /// Kind of the problem.
    pub problem: SettingProblem,
    /// Description of the allowed values.
    pub allowed: String,
}

impl fmt::Display for InvalidSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: [{}]", self.file.display(), self.section)?;
        if !self.key.is_empty() {
            write!(f, " {}", self.key)?;
        }
        if let Some(value) = &self.value {
            write!(f, " = {value}")?;
        }
        write!(f, ": {}; allowed: {}", self.problem, self.allowed)
    }
}

/// Kind of a problem in a settings file.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum SettingProblem {
    /// The section is not known.
    #[error("unknown section")]
    UnknownSection,
    /// The key is not known in its section.
    #[error("unknown key")]
    UnknownKey,
    /// The key appears more than once.
    #[error("duplicate key")]
    DuplicateKey,
    /// A required key is missing.
    #[error("missing value")]
    Missing,
    /// The value cannot be parsed.
    #[error("invalid value")]
    Invalid,
    /// The zone of the instance is not in the list of zones.
    #[error("zone is not in the list")]
    UnknownZone,
}

/// Failure to load settings.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read {file}: {source}")]
    Read {
        /// File that was requested.
        file: PathBuf,
        /// Cause reported by the operating system.
        source: std::io::Error,
    },
    /// The file has no content.
    #[error("{file}: the file is empty")]
    Empty {
        /// File that was requested.
        file: PathBuf,
    },
    /// The file is not valid INI.
    #[error("{file}: line {line}: {message}")]
    Syntax {
        /// File that was requested.
        file: PathBuf,
        /// Line of the syntax error.
        line: usize,
        /// Explanation by the parser.
        message: String,
    },
    /// The file has invalid settings; all of them are listed.
    #[error("{}", join_lines(.0))]
    Invalid(Vec<InvalidSetting>),
}

fn join_lines(settings: &[InvalidSetting]) -> String {
    let lines: Vec<String> = settings.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
