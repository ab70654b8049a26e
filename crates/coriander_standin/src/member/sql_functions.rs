//! SQL functions whose results depend only on the recorded time and seed of the statement.
//!
//! Log entries are replayed as SQL, so `random()` and the current time must return the same values
//! on every member.

use std::cell::Cell;
use std::time::{SystemTime, UNIX_EPOCH};

use rusqlite::functions::{Context, FunctionFlags};
use rusqlite::types::Value;
use rusqlite::{Connection, params_from_iter};
use serde::{Deserialize, Serialize};

/// Time and random seed of a statement, used on the primary and in replays.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StatementClock {
    /// Milliseconds since the Unix epoch.
    pub now_millis: u64,
    /// Seed of `random()` and `randomblob()`.
    pub seed: u64,
}

thread_local! {
    static CURRENT_CLOCK: Cell<StatementClock> = const { Cell::new(StatementClock { now_millis: 0, seed: 0 }) };
    static DATE_CONNECTION: Connection = Connection::open_in_memory().expect("in-memory database");
}

impl StatementClock {
    /// Creates a clock with the system time and a random seed.
    pub fn new() -> Self {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            now_millis: elapsed.unwrap_or_default().as_millis() as u64,
            seed: rand::random(),
        }
    }

    /// Sets the clock of subsequent statements on this thread.
    pub fn install(self) {
        CURRENT_CLOCK.with(|current| current.set(self));
    }
}

fn next_random() -> u64 {
    CURRENT_CLOCK.with(|current| {
        let mut clock = current.get();
        clock.seed = clock.seed.wrapping_add(0x9E37_79B9_7F4A_7C15);
        current.set(clock);
        let mut mixed = clock.seed;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    })
}

fn random_bytes(context: &Context<'_>) -> rusqlite::Result<Vec<u8>> {
    let length = context.get::<i64>(0)?.clamp(1, 1 << 20) as usize;
    let mut bytes = Vec::with_capacity(length + 8);
    while bytes.len() < length {
        bytes.extend_from_slice(&next_random().to_le_bytes());
    }
    bytes.truncate(length);
    Ok(bytes)
}

/// Evaluates a date function of SQLite with `now` replaced by the time of the statement.
fn evaluate_date(name: &str, context: &Context<'_>) -> rusqlite::Result<Value> {
    let mut args = (0..context.len())
        .map(|index| context.get::<Value>(index))
        .collect::<rusqlite::Result<Vec<_>>>()?;
    let time_index = usize::from(name == "strftime");
    let is_now =
        |value: &Value| matches!(value, Value::Text(text) if text.eq_ignore_ascii_case("now"));
    if args.len() <= time_index || is_now(&args[time_index]) {
        let now_millis = CURRENT_CLOCK.with(|current| current.get().now_millis);
        // A Julian day preserves milliseconds and needs no modifier.
        let julian_day = now_millis as f64 / 86_400_000.0 + 2_440_587.5;
        args.truncate(args.len().max(time_index));
        if args.len() <= time_index {
            args.push(Value::Real(julian_day));
        } else {
            args[time_index] = Value::Real(julian_day);
        }
    }
    let placeholders = vec!["?"; args.len()].join(",");
    DATE_CONNECTION.with(|connection| {
        connection
            .prepare_cached(&format!("SELECT {name}({placeholders})"))?
            .query_row(params_from_iter(args), |row| row.get(0))
    })
}

/// Replaces the SQL functions that depend on the current time or on random numbers.
pub fn install_functions(connection: &Connection) -> rusqlite::Result<()> {
    let utf8 = FunctionFlags::SQLITE_UTF8;
    let deterministic = utf8 | FunctionFlags::SQLITE_DETERMINISTIC;
    connection.create_scalar_function("random", 0, utf8, |_| Ok(next_random() as i64))?;
    connection.create_scalar_function("randomblob", 1, utf8, random_bytes)?;
    for name in [
        "date",
        "time",
        "datetime",
        "julianday",
        "unixepoch",
        "strftime",
    ] {
        connection.create_scalar_function(name, -1, deterministic, move |context| {
            evaluate_date(name, context)
        })?;
    }
    for (name, function) in [
        ("current_timestamp", "datetime"),
        ("current_date", "date"),
        ("current_time", "time"),
    ] {
        connection.create_scalar_function(name, 0, deterministic, move |context| {
            evaluate_date(function, context)
        })?;
    }
    Ok(())
}
