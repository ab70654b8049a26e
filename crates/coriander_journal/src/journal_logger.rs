//! Installs the logger of the process.

use std::io::{self, Write};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use coriander_core::MonotonicTime;
use env_logger::{Builder, Env, Target};
use log::Level;
use log::kv::{Error, Key, Value, VisitSource};

use crate::line_buffer::{LineBuffer, LineWriter};
use crate::line_format::write_field;
use crate::part_budgets::PartBudgets;

struct FieldWriter<'a, W>(&'a mut W);

impl<'kvs, W: Write> VisitSource<'kvs> for FieldWriter<'_, W> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write_field(self.0, key.as_str(), &value).map_err(Error::from)
    }
}

/// Installs a logger that prints one line for each record to standard output.
///
/// `default_filter` applies if the variable `RUST_LOG` is not set. The returned buffer allows the
/// process to flush the remaining lines before it exits.
pub fn start_journal(default_filter: &str) -> io::Result<LineBuffer> {
    let buffer = LineBuffer::default();
    buffer.spawn_writer(io::stdout())?;
    let budgets = Mutex::new(PartBudgets::default());
    let started = Instant::now();
    let target = Target::Pipe(Box::new(LineWriter::new(buffer.clone())));
    Builder::from_env(Env::default().default_filter_or(default_filter))
        .target(target)
        .write_style(env_logger::WriteStyle::Never)
        .format(move |out, record| {
            let level = record.level().as_str().to_ascii_lowercase();
            let part = record.target().rsplit("::").next().unwrap_or_default();
            let now = MonotonicTime::new(started.elapsed());
            // The budgets remain valid if a thread panicked while it held the lock.
            let mut budgets = budgets.lock().unwrap_or_else(PoisonError::into_inner);
            let allowed = budgets.try_take(part, record.level() <= Level::Warn, now);
            drop(budgets);
            let Some(dropped_lines) = allowed else {
                return Ok(());
            };
            write!(
                out,
                "ts={} level={level} part={part}",
                out.timestamp_millis()
            )?;
            write_field(out, "msg", record.args())?;
            record
                .key_values()
                .visit(&mut FieldWriter(out))
                .map_err(io::Error::other)?;
            if dropped_lines > 0 {
                write_field(out, "part_left_out", &dropped_lines)?;
            }
            writeln!(out)
        })
        .init();
    Ok(buffer)
}
