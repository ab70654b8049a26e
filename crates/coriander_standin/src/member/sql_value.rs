//! Conversion of values between Hrana, SQLite and the log.

use libsql_hrana::proto::Value as HranaValue;
use rusqlite::types::{Value as SqliteValue, ValueRef};
use serde::{Deserialize, Serialize};

/// A parameter value in a log entry.
///
/// Floating point numbers are stored as bits because JSON text does not always preserve them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum LoggedValue {
    /// The SQL value NULL.
    Null,
    /// A 64-bit integer.
    Integer(i64),
    /// The bits of a 64-bit floating point number.
    Real(u64),
    /// Text.
    Text(String),
    /// Bytes.
    Blob(Vec<u8>),
}

impl LoggedValue {
    /// Converts a value from a request.
    pub fn from_hrana(value: &HranaValue) -> Self {
        match value {
            HranaValue::None | HranaValue::Null => Self::Null,
            HranaValue::Integer { value } => Self::Integer(*value),
            HranaValue::Float { value } => Self::Real(value.to_bits()),
            HranaValue::Text { value } => Self::Text(value.to_string()),
            HranaValue::Blob { value } => Self::Blob(value.to_vec()),
        }
    }

    /// Converts the value for binding to a statement.
    pub fn to_sqlite(&self) -> SqliteValue {
        match self {
            Self::Null => SqliteValue::Null,
            Self::Integer(value) => SqliteValue::Integer(*value),
            Self::Real(bits) => SqliteValue::Real(f64::from_bits(*bits)),
            Self::Text(text) => SqliteValue::Text(text.clone()),
            Self::Blob(bytes) => SqliteValue::Blob(bytes.clone()),
        }
    }
}

/// Converts a value of a result row.
pub fn hrana_from_sqlite(value: ValueRef<'_>) -> HranaValue {
    match value {
        ValueRef::Null => HranaValue::Null,
        ValueRef::Integer(value) => HranaValue::Integer { value },
        ValueRef::Real(value) => HranaValue::Float { value },
        ValueRef::Text(text) => HranaValue::Text {
            value: String::from_utf8_lossy(text).into(),
        },
        ValueRef::Blob(bytes) => HranaValue::Blob {
            value: bytes.to_vec().into(),
        },
    }
}
