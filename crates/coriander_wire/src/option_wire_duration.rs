//! Optional durations on the wire, as whole microseconds.

use std::time::Duration;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::wire_duration::micros;

/// Encodes an optional duration, rounded down.
pub fn serialize<S: Serializer>(
    duration: &Option<Duration>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    duration.as_ref().map(micros).serialize(serializer)
}

/// Decodes an optional duration.
pub fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<Duration>, D::Error> {
    let micros = Option::<u64>::deserialize(deserializer)?;
    Ok(micros.map(Duration::from_micros))
}
