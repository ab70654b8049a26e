//! Bounds the log lines of each part of the process.

use std::collections::HashMap;

use coriander_core::MonotonicTime;

use crate::line_budget::LineBudget;

/// Lines of one part and kind per second, and at once. Parts with a budget of their own stay below.
const LINES_PER_SECOND: f64 = 100.0;
const BURST_LINES: f64 = 400.0;

/// Budgets by part; warnings and errors have one beside that of the other lines.
///
/// ```
/// use coriander_core::MonotonicTime;
/// use coriander_journal::PartBudgets;
///
/// let mut budgets = PartBudgets::default();
/// let now = MonotonicTime::from_millis(1_000);
/// for _ in 0..400 {
///     assert_eq!(budgets.try_take("relay", false, now), Some(0));
/// }
/// assert_eq!(budgets.try_take("relay", false, now), None);
/// assert_eq!(budgets.try_take("relay", true, now), Some(0));
/// ```
#[derive(Debug, Default)]
pub struct PartBudgets {
    budgets: HashMap<(String, bool), LineBudget>,
}

impl PartBudgets {
    /// Asks for one line of a part. Returns the number of its lines left out since the last one
    /// that was allowed, or `None` if this one must be left out.
    pub fn try_take(&mut self, part: &str, is_important: bool, now: MonotonicTime) -> Option<u64> {
        let key = (part.to_owned(), is_important);
        let new_budget = || LineBudget::new(LINES_PER_SECOND, BURST_LINES);
        self.budgets
            .entry(key)
            .or_insert_with(new_budget)
            .try_take(now)
    }
}
