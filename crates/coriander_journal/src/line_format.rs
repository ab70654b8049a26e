//! Format of a log line: `key=value` fields separated by spaces.

use std::fmt::Display;
use std::io::{self, Write};

/// Writes a field. Empty values and values with whitespace, quotes, `=` or control characters are
/// quoted.
///
/// ```
/// let mut line = Vec::new();
/// coriander_journal::write_field(&mut line, "reason", &"no primary")?;
/// assert_eq!(line, b" reason=\"no primary\"");
/// # Ok::<(), std::io::Error>(())
/// ```
pub fn write_field(out: &mut impl Write, key: &str, value: &impl Display) -> io::Result<()> {
    let text = value.to_string();
    let is_plain = |c: char| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=';
    if !text.is_empty() && text.chars().all(is_plain) {
        return write!(out, " {key}={text}");
    }
    write!(out, " {key}={text:?}")
}
