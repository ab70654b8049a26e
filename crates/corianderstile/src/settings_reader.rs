//! Reads typed values from an INI file and collects all invalid settings.

use std::collections::HashMap;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::str::FromStr;

use coriander_memory::MachineLimits;
use ini::Ini;

use crate::settings::{InvalidSetting, SettingProblem, SettingsError};

/// Memory of the machine in MiB: with less, the program itself has no room.
const MEMORY_RANGE_MB: RangeInclusive<u64> = 48..=1_048_576;

/// Descriptors of the machine. 200 are for files and 128 for members, store and other instances.
const DESCRIPTOR_RANGE: RangeInclusive<u64> = 360..=10_000_000;

/// Section with the memory and descriptors of the machine.
pub const MACHINE_KEYS: (&str, &[&str]) = ("machine", &["memory_mb", "descriptors"]);

/// Values of an INI file together with the invalid settings found so far.
pub struct SettingsReader {
    file: PathBuf,
    values: HashMap<(String, String), String>,
    invalid_settings: Vec<InvalidSetting>,
}

impl SettingsReader {
    /// Parses the text and records unknown sections, unknown keys and duplicate keys.
    pub fn from_text(
        file: &Path,
        text: &str,
        known_keys: &[(&str, &[&str])],
    ) -> Result<Self, SettingsError> {
        let ini = Ini::load_from_str(text).map_err(|error| SettingsError::Syntax {
            file: file.to_owned(),
            line: error.line,
            message: error.msg.into_owned(),
        })?;
        let mut reader = Self {
            file: file.to_owned(),
            values: HashMap::new(),
            invalid_settings: Vec::new(),
        };
        for (section, properties) in &ini {
            reader.read_section(section.unwrap_or_default(), properties, known_keys);
        }
        Ok(reader)
    }

    fn read_section(
        &mut self,
        section: &str,
        properties: &ini::Properties,
        known_keys: &[(&str, &[&str])],
    ) {
        let Some((_, keys)) = known_keys.iter().find(|(name, _)| *name == section) else {
            if !section.is_empty() || !properties.is_empty() {
                let allowed = known_keys
                    .iter()
                    .map(|(name, _)| *name)
                    .collect::<Vec<_>>()
                    .join(", ");
                self.push(section, "", SettingProblem::UnknownSection, &allowed);
            }
            return;
        };
        for (key, value) in properties {
            if !keys.contains(&key) {
                self.push(section, key, SettingProblem::UnknownKey, &keys.join(", "));
                continue;
            }
            let setting = (section.to_owned(), key.to_owned());
            if self.values.insert(setting, value.to_owned()).is_some() {
                self.push(section, key, SettingProblem::DuplicateKey, "each key once");
            }
        }
    }

    /// Returns the text of a key, or `None` if it is absent or empty.
    pub fn text(&self, section: &str, key: &str) -> Option<String> {
        let value = self.values.get(&(section.to_owned(), key.to_owned()))?;
        Some(value.clone()).filter(|text| !text.is_empty())
    }

    /// Returns a required value.
    pub fn parse<T: FromStr>(&mut self, section: &str, key: &str, allowed: &str) -> Option<T> {
        let Some(text) = self.text(section, key) else {
            self.push(section, key, SettingProblem::Missing, allowed);
            return None;
        };
        let parsed = text.parse().ok();
        if parsed.is_none() {
            self.push(section, key, SettingProblem::Invalid, allowed);
        }
        parsed
    }

    /// Returns a required list of values separated by commas.
    pub fn list<T: FromStr>(&mut self, section: &str, key: &str, allowed: &str) -> Vec<T> {
        let Some(text) = self.text(section, key) else {
            self.push(section, key, SettingProblem::Missing, allowed);
            return Vec::new();
        };
        let parsed: Result<Vec<T>, _> = text.split(',').map(|part| part.trim().parse()).collect();
        parsed.unwrap_or_else(|_| {
            self.push(section, key, SettingProblem::Invalid, allowed);
            Vec::new()
        })
    }

    /// Returns an optional number within a range.
    pub fn number(
        &mut self,
        section: &str,
        key: &str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> u64 {
        let Some(text) = self.text(section, key) else {
            return default;
        };
        match text.parse() {
            Ok(number) if range.contains(&number) => number,
            _ => {
                let allowed = format!("a number from {} to {}", range.start(), range.end());
                self.push(section, key, SettingProblem::Invalid, &allowed);
                default
            }
        }
    }

    /// Returns the optional section with the memory and descriptors of the machine.
    pub fn machine(&mut self) -> MachineLimits {
        let default = MachineLimits::default();
        let mut limit = |key, default: usize, range| {
            let value = self.number(MACHINE_KEYS.0, key, default as u64, range);
            usize::try_from(value).unwrap_or(default)
        };
        MachineLimits {
            memory_mb: limit("memory_mb", default.memory_mb, MEMORY_RANGE_MB),
            descriptors: limit("descriptors", default.descriptors, DESCRIPTOR_RANGE),
        }
    }

    /// Records an invalid setting found by a check across several keys.
    pub fn reject(&mut self, section: &str, key: &str, problem: SettingProblem, allowed: &str) {
        self.push(section, key, problem, allowed);
    }

    /// Fails if any setting is invalid.
    pub fn finish(self) -> Result<(), SettingsError> {
        if self.invalid_settings.is_empty() {
            return Ok(());
        }
        Err(SettingsError::Invalid(self.invalid_settings))
    }

    fn push(&mut self, section: &str, key: &str, problem: SettingProblem, allowed: &str) {
        // The error for an invalid secret must not contain the secret.
        let shown = if key == "secret" {
            None
        } else {
            self.text(section, key)
        };
        self.invalid_settings.push(InvalidSetting {
            file: self.file.clone(),
            section: section.to_owned(),
            key: key.to_owned(),
            value: shown,
            problem,
            allowed: allowed.to_owned(),
        });
    }
}
