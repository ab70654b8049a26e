//! Durations on the wire.

use std::time::Duration;

use coriander_wire::{option_wire_duration, wire_duration};
use serde::{Deserialize, Serialize};

#[derive(Debug, Deserialize, PartialEq, Serialize)]
struct Times {
    #[serde(with = "wire_duration")]
    limit: Duration,
    #[serde(with = "option_wire_duration")]
    age: Option<Duration>,
}

#[test]
fn duration_is_short_and_rounded_down() {
    // Guards against a limit that grows on its way, and against the six bytes of the usual form.
    let times = Times {
        limit: Duration::from_nanos(1_500_000_999),
        age: Some(Duration::from_millis(400)),
    };
    let bytes = postcard::to_allocvec(&times).expect("encodes");
    assert_eq!(bytes.len(), 3 + 4);
    let decoded: Times = postcard::from_bytes(&bytes).expect("decodes");
    assert_eq!(decoded.limit, Duration::from_micros(1_500_000));
    assert_eq!(decoded.age, times.age);
}

#[test]
fn duration_beyond_the_range_is_the_longest() {
    let times = Times {
        limit: Duration::MAX,
        age: None,
    };
    let bytes = postcard::to_allocvec(&times).expect("encodes");
    let decoded: Times = postcard::from_bytes(&bytes).expect("decodes");
    assert_eq!(decoded.limit, Duration::from_micros(u64::MAX));
    assert_eq!(decoded.age, None);
}
