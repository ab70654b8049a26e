//! Structured log lines that never block a request and whose volume is bounded.
//!
//! [`start_journal`] installs a logger that prints one line of `key=value` fields for each record.
//! Lines pass through a [`LineBuffer`] to a separate writer thread; when the reader of standard
//! output is slow, lines of level info and below are dropped before warnings and errors. A
//! [`LineBudget`] limits the rate of one kind of line, and [`PartBudgets`] the rate of each part.
//!
//! ```
//! use coriander_core::MonotonicTime;
//! use coriander_journal::LineBudget;
//!
//! let mut budget = LineBudget::new(2.0, 2.0);
//! let now = MonotonicTime::from_millis(1_000);
//! assert_eq!(budget.try_take(now), Some(0));
//! assert_eq!(budget.try_take(now), Some(0));
//! assert_eq!(budget.try_take(now), None);
//! // The next permitted line returns the number of dropped ones.
//! assert_eq!(budget.try_take(MonotonicTime::from_millis(2_000)), Some(1));
//! ```

mod journal_logger;
mod line_budget;
mod line_buffer;
mod line_format;
mod part_budgets;

pub use journal_logger::start_journal;
pub use line_budget::LineBudget;
pub use line_buffer::{LineBuffer, LineWriter};
pub use line_format::write_field;
pub use part_budgets::PartBudgets;
