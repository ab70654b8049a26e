//! Rate limits for the log lines of each part of the process.

use std::collections::HashMap;

use coriander_core::MonotonicTime;

use crate::line_budget::LineBudget;

/// Rate and burst per part and kind of line; higher than those of parts that limit their own lines.
const LINES_PER_SECOND: f64 = 100.0;
const BURST_LINES: f64 = 400.0;

/// Budgets by part; warnings and errors have a budget separate from that of other lines.
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
    /// Takes one line from the budget of a part.
    ///
    /// Returns the number of lines dropped since the last permitted one, or `None` if this line
    /// must be dropped. `is_important` selects the budget for warnings and errors.
    pub fn try_take(&mut self, part: &str, is_important: bool, now: MonotonicTime) -> Option<u64> {
        let key = (part.to_owned(), is_important);
        let new_budget = || LineBudget::new(LINES_PER_SECOND, BURST_LINES);
        self.budgets
            .entry(key)
            .or_insert_with(new_budget)
            .try_take(now)
    }
}
