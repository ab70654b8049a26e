//! Check of a configuration in a file.

use std::path::{Path, PathBuf};

use coriander_config_check::{CheckReport, CheckVerdict};
use platform_adapter::{ConfigReading, read_config};
use thiserror::Error;

use crate::ExitCode;
use crate::arguments::{CheckConfigArguments, ReportFormat};

/// Reason why a file cannot be checked.
#[derive(Debug, Error)]
pub enum CheckError {
    /// The file cannot be read.
    #[error("{file} cannot be read: {source}", file = file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The file is not a configuration document; the source has line and column.
    #[error("error: {file}: {source}", file = file.display())]
    Invalid {
        /// The file.
        file: PathBuf,
        /// Where and why.
        source: serde_json::Error,
    },
}

impl From<&CheckError> for ExitCode {
    fn from(error: &CheckError) -> Self {
        match error {
            CheckError::Unreadable { .. } => Self::Usage,
            CheckError::Invalid { .. } => Self::Refused,
        }
    }
}

/// Checks a file and returns the report with the exit code.
pub fn check_file(arguments: &CheckConfigArguments) -> Result<(String, ExitCode), CheckError> {
    let checked = read_file(&arguments.file)?;
    let in_force = arguments.in_force.as_deref().map(read_file).transpose()?;
    let in_force = in_force.as_ref().map(|reading| &reading.config);
    let report = CheckReport::new(&checked.config, checked.findings, in_force);
    let code = match report.verdict() {
        CheckVerdict::Clean => ExitCode::Accepted,
        CheckVerdict::Warnings => ExitCode::Unconfirmed,
        CheckVerdict::Errors => ExitCode::Refused,
    };
    let text = match arguments.format {
        ReportFormat::Text => report.to_string(),
        ReportFormat::Json => serde_json::to_string_pretty(&report).unwrap_or_default(),
    };
    Ok((text, code))
}

fn read_file(file: &Path) -> Result<ConfigReading, CheckError> {
    let bytes = std::fs::read(file).map_err(|source| CheckError::Unreadable {
        file: file.to_owned(),
        source,
    })?;
    read_config(&bytes).map_err(|source| CheckError::Invalid {
        file: file.to_owned(),
        source,
    })
}
