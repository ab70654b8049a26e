//! Reads typed values from an INI file and collects all invalid settings.

use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;

use coriander_memory::MachineLimits;
use ini::Ini;

use super::known_settings::{DESCRIPTORS, KnownKeys, MEMORY};
use super::setting_note::AdjustedSetting;
use super::setting_number::{CountSetting, DurationSetting, SettingValue, SwitchSetting, TimeUnit};
use super::settings_error::{InvalidSetting, SettingProblem, SettingsError};

/// Difference between a time and its number in the file that is no adjustment: times are kept in
/// whole nanoseconds.
const MAX_ROUNDING: Duration = Duration::from_nanos(1);

/// Values of an INI file together with the invalid and adjusted settings found so far.
pub struct SettingsReader {
    file: PathBuf,
    values: HashMap<(String, String), String>,
    invalid_settings: Vec<InvalidSetting>,
    adjusted_settings: Vec<AdjustedSetting>,
}

impl SettingsReader {
    /// Parses the text and records unknown sections, unknown keys and duplicate keys.
    pub fn from_text(
        file: &Path,
        text: &str,
        known_keys: &KnownKeys,
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
            adjusted_settings: Vec::new(),
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
        known_keys: &KnownKeys,
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
        if self.text(section, key).is_none() {
            self.push(section, key, SettingProblem::Missing, allowed);
            return None;
        }
        self.parse_optional(section, key, allowed)
    }

    /// Returns a value that may be absent.
    pub fn parse_optional<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        allowed: &str,
    ) -> Option<T> {
        let parsed = self.text(section, key)?.parse().ok();
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

    /// Returns the key of a time in the file and its unit, if the file states the time.
    fn find_duration(&mut self, setting: &DurationSetting) -> Option<(String, TimeUnit)> {
        let mut found = None;
        for unit in TimeUnit::ALL {
            let key = setting.key(unit);
            if self.text(setting.section, &key).is_none() {
                continue;
            }
            if found.is_some() {
                let allowed = "a time in one unit";
                self.push(setting.section, &key, SettingProblem::DuplicateKey, allowed);
            }
            found = Some((key, unit));
        }
        found
    }

    /// Returns an optional time, in the unit of its key.
    pub fn duration(&mut self, setting: &DurationSetting) -> Duration {
        let section = setting.section;
        let Some((key, unit)) = self.find_duration(setting) else {
            return setting.default;
        };
        let allowed = setting.allowed(unit);
        match self.value(section, &key, &allowed) {
            Some(SettingValue::Number(number)) => {
                let time = setting.fit(number, unit);
                let used = unit.count(time);
                if (used - number).abs() > unit.count(MAX_ROUNDING) {
                    self.adjust(section, &key, used.to_string(), allowed);
                }
                time
            }
            Some(SettingValue::Switch(_)) => {
                let used = unit.count(setting.default).to_string();
                self.adjust(section, &key, used, allowed);
                setting.default
            }
            None => setting.default,
        }
    }

    /// Returns whether the file states a time that is not used as written.
    pub fn is_adjusted(&self, setting: &DurationSetting) -> bool {
        let keys = TimeUnit::ALL.map(|unit| setting.key(unit));
        let mut adjusted = self.adjusted_settings.iter();
        adjusted.any(|other| other.section == setting.section && keys.contains(&other.key))
    }

    /// Returns an optional count.
    pub fn count(&mut self, setting: &CountSetting) -> usize {
        let (section, key) = (setting.section, setting.key);
        let allowed = setting.allowed();
        match self.value(section, key, &allowed) {
            Some(SettingValue::Number(number)) => {
                let count = setting.fit(number);
                if count as f64 != number {
                    self.adjust(section, key, count.to_string(), allowed);
                }
                count
            }
            Some(SettingValue::Switch(_)) => {
                self.adjust(section, key, setting.default.to_string(), allowed);
                setting.default
            }
            None => setting.default,
        }
    }

    /// Returns an optional switch.
    pub fn switch(&mut self, setting: &SwitchSetting) -> bool {
        let (section, key) = (setting.section, setting.key);
        let allowed = SwitchSetting::ALLOWED;
        match self.value(section, key, allowed) {
            Some(SettingValue::Switch(state)) => state,
            Some(SettingValue::Number(number)) => {
                let (state, is_stated) = setting.fit(number);
                if !is_stated {
                    self.adjust(section, key, state.to_string(), allowed.to_owned());
                }
                state
            }
            None => setting.default,
        }
    }

    /// Returns the optional value of a key; a text that is no value is recorded as invalid.
    fn value(&mut self, section: &str, key: &str, allowed: &str) -> Option<SettingValue> {
        let text = self.text(section, key)?;
        let value = SettingValue::parse(&text);
        if value.is_none() {
            self.push(section, key, SettingProblem::Invalid, allowed);
        }
        value
    }

    /// Returns the optional section with the memory and descriptors of the machine.
    pub fn machine(&mut self) -> MachineLimits {
        MachineLimits {
            memory_mb: self.count(&MEMORY),
            descriptors: self.count(&DESCRIPTORS),
        }
    }

    /// Records an invalid setting found by a check across several keys.
    pub fn reject(&mut self, section: &str, key: &str, problem: SettingProblem, allowed: &str) {
        self.push(section, key, problem, allowed);
    }

    /// Returns the settings that are not used as written; fails if any setting is invalid.
    pub fn finish(self) -> Result<Vec<AdjustedSetting>, SettingsError> {
        if self.invalid_settings.is_empty() {
            return Ok(self.adjusted_settings);
        }
        Err(SettingsError::Invalid(self.invalid_settings))
    }

    fn adjust(&mut self, section: &'static str, key: &str, used: String, allowed: String) {
        self.adjusted_settings.push(AdjustedSetting {
            section,
            key: key.to_owned(),
            value: self.text(section, key).unwrap_or_default(),
            used,
            allowed,
        });
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
