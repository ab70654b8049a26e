//! Durations on the wire, as whole microseconds.
//!
//! The usual form of a duration takes six bytes for most values between 0 and 2 s; this one three.

use std::time::Duration;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Encodes a duration, rounded down.
pub fn serialize<S: Serializer>(duration: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    micros(duration).serialize(serializer)
}

/// Decodes a duration.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    u64::deserialize(deserializer).map(Duration::from_micros)
}

pub(crate) fn micros(duration: &Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
