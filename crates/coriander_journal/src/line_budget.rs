//! Rate limit for log lines of one kind.

use coriander_core::MonotonicTime;

/// A token bucket for log lines that counts the dropped ones.
#[derive(Clone, Debug)]
pub struct LineBudget {
    per_second: f64,
    burst: f64,
    tokens: f64,
    last_refill: MonotonicTime,
    dropped_lines: u64,
}

impl LineBudget {
    /// Creates a full budget of `per_second` lines with bursts of up to `burst` lines.
    pub const fn new(per_second: f64, burst: f64) -> Self {
        Self {
            per_second,
            burst,
            tokens: burst,
            last_refill: MonotonicTime::ZERO,
            dropped_lines: 0,
        }
    }

    /// Takes one line from the budget.
    ///
    /// Returns the number of lines dropped since the last permitted one, or `None` if this line
    /// must be dropped.
    pub fn try_take(&mut self, now: MonotonicTime) -> Option<u64> {
        let added_tokens = now.since(self.last_refill).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + added_tokens).min(self.burst);
        self.last_refill = now;
        if self.tokens < 1.0 {
            self.dropped_lines += 1;
            return None;
        }
        self.tokens -= 1.0;
        Some(std::mem::take(&mut self.dropped_lines))
    }
}
