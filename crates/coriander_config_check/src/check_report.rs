//! Result of a check, as text and for scripts.

use std::fmt;

use coriander_service_api::{ConfigFinding, FindingSeverity, FleetConfig};
use serde::Serialize;

use crate::config_change::{ConfigChange, compare_configs};
use crate::config_check::check_config;

/// What the findings of a check mean for the configuration as a whole.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CheckVerdict {
    /// There are no findings.
    Clean,
    /// There are only warnings.
    Warnings,
    /// There are errors.
    Errors,
}

/// Findings about a configuration, and what it changes.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CheckReport {
    /// Version of the configuration.
    pub version: u64,
    /// Findings, errors first.
    pub findings: Vec<ConfigFinding>,
    /// Differences from the configuration in force; `None` if it was not given.
    pub changes: Option<Vec<ConfigChange>>,
}

impl CheckReport {
    /// Checks a configuration, and compares it with the one in force if that is given. `decoding`
    /// are the findings of the decoder.
    pub fn new(
        config: &FleetConfig,
        decoding: Vec<ConfigFinding>,
        in_force: Option<&FleetConfig>,
    ) -> Self {
        let mut findings = decoding;
        findings.extend(check_config(config));
        findings.sort_by_key(|finding| finding.severity);
        Self {
            version: config.version,
            findings,
            changes: in_force.map(|in_force| compare_configs(in_force, config)),
        }
    }

    /// Returns what the findings mean as a whole.
    pub fn verdict(&self) -> CheckVerdict {
        match self.findings.first() {
            None => CheckVerdict::Clean,
            Some(finding) if finding.severity == FindingSeverity::Error => CheckVerdict::Errors,
            Some(_) => CheckVerdict::Warnings,
        }
    }
}

impl fmt::Display for CheckReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "version {}: {} findings",
            self.version,
            self.findings.len()
        )?;
        for finding in &self.findings {
            writeln!(f, "{finding}")?;
        }
        let Some(changes) = &self.changes else {
            return Ok(());
        };
        writeln!(f, "{} changes against the version in force", changes.len())?;
        for change in changes {
            writeln!(f, "{change}")?;
        }
        Ok(())
    }
}
