//! Numbers and switches of a settings file, and the nearest ones that a process can use.

use std::ops::RangeInclusive;
use std::time::Duration;

/// A unit in which a settings file states a time; the key ends with its suffix.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TimeUnit {
    /// Keys that end with `_ms`.
    Milliseconds,
    /// Keys that end with `_s`.
    Seconds,
}

impl TimeUnit {
    /// All units.
    pub const ALL: [Self; 2] = [Self::Milliseconds, Self::Seconds];

    const fn suffix(self) -> &'static str {
        match self {
            Self::Milliseconds => "_ms",
            Self::Seconds => "_s",
        }
    }

    const fn name(self) -> &'static str {
        match self {
            Self::Milliseconds => "milliseconds",
            Self::Seconds => "seconds",
        }
    }

    const fn per_second(self) -> f64 {
        match self {
            Self::Milliseconds => 1_000.0,
            Self::Seconds => 1.0,
        }
    }

    /// Converts a time to a number of this unit.
    pub fn count(self, time: Duration) -> f64 {
        time.as_secs_f64() * self.per_second()
    }

    /// Converts a number of this unit. A negative one counts as 0, one beyond the clock as the
    /// longest time.
    fn time(self, count: f64) -> Duration {
        let seconds = (count / self.per_second()).max(0.0);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}

/// A time that a settings file may state, in any [`TimeUnit`].
#[derive(Clone, Debug)]
pub struct DurationSetting {
    /// Section of the file.
    pub section: &'static str,
    /// Key without the suffix of the unit.
    pub name: &'static str,
    /// Time without a number in the file.
    pub default: Duration,
    /// Times that the process can use. Times outside become the nearest one.
    pub range: RangeInclusive<Duration>,
}

impl DurationSetting {
    /// Returns the key in a unit.
    pub fn key(&self, unit: TimeUnit) -> String {
        format!("{}{}", self.name, unit.suffix())
    }

    /// Returns the time that a process uses in place of `count` units.
    pub fn fit(&self, count: f64, unit: TimeUnit) -> Duration {
        unit.time(count)
            .clamp(*self.range.start(), *self.range.end())
    }

    /// Describes the allowed values in a unit.
    pub fn allowed(&self, unit: TimeUnit) -> String {
        let [low, high] = [self.range.start(), self.range.end()].map(|end| unit.count(*end));
        format!("a number of {}, used from {low} to {high}", unit.name())
    }
}

/// A limit that a settings file states as a count.
#[derive(Clone, Debug)]
pub struct CountSetting {
    /// Section of the file.
    pub section: &'static str,
    /// Key in the section.
    pub key: &'static str,
    /// Count without a number in the file.
    pub default: usize,
    /// Counts that the process can use. Counts outside become the nearest one.
    pub range: RangeInclusive<usize>,
}

impl CountSetting {
    /// Returns the count that a process uses in place of a number. A fraction is rounded down: a
    /// limit is not exceeded.
    pub fn fit(&self, number: f64) -> usize {
        // The conversion of floating-point numbers saturates.
        let count = number.floor() as usize;
        count.clamp(*self.range.start(), *self.range.end())
    }

    /// Describes the allowed values.
    pub fn allowed(&self) -> String {
        let (low, high) = (self.range.start(), self.range.end());
        format!("a number, used from {low} to {high}")
    }
}

/// Something that a settings file turns on or off.
#[derive(Clone, Debug)]
pub struct SwitchSetting {
    /// Section of the file.
    pub section: &'static str,
    /// Key in the section.
    pub key: &'static str,
    /// State without a value in the file.
    pub default: bool,
    /// State that promises callers more. It is used for a number that is neither 0 nor 1.
    pub safe: bool,
}

impl SwitchSetting {
    /// Values that a switch may have.
    pub const ALLOWED: &str = "true, false, 1 or 0";

    /// Returns the state that a process uses for a number, and whether the number states it.
    pub fn fit(&self, number: f64) -> (bool, bool) {
        if number == 0.0 {
            (false, true)
        } else if number == 1.0 {
            (true, true)
        } else {
            (self.safe, false)
        }
    }
}

/// A value where a number or a switch stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SettingValue {
    /// A number, whole or not. Numbers beyond the range of `f64` are infinite.
    Number(f64),
    /// `true` or `false`.
    Switch(bool),
}

impl SettingValue {
    /// Returns `None` for a text that is neither.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "true" => return Some(Self::Switch(true)),
            "false" => return Some(Self::Switch(false)),
            _ => {}
        }
        // `f64` also accepts words such as `infinity` and `nan`.
        if !text.contains(|c: char| c.is_ascii_digit()) {
            return None;
        }
        text.parse().ok().map(Self::Number)
    }
}
