//! Rate limits and counters of calls.

use std::time::Instant;

use serde::{Deserialize, Serialize};

/// Kind of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// Reads, lists and watches.
    Read,
    /// Calls that change the state, including sessions and registrations.
    Write,
}

/// Counters of calls since the start.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallCounters {
    /// Accepted reads, including watches.
    pub reads: u64,
    /// Accepted writes.
    pub writes: u64,
    /// Accepted reads that were watches.
    pub watches: u64,
    /// Watches that are waiting now.
    pub waiting_watches: u64,
    /// Reads refused with status 429.
    pub refused_reads: u64,
    /// Writes refused with status 429.
    pub refused_writes: u64,
    /// Values refused with status 413.
    pub refused_values: u64,
    /// Requests of any kind while the platform was down.
    pub while_down: u64,
    /// Writes that took effect and whose response was lost.
    pub lost_responses: u64,
}

struct CallBucket {
    tokens: f64,
    refilled_at: Instant,
}

impl CallBucket {
    fn take_token(&mut self, rate: u32, now: Instant) -> bool {
        let rate = f64::from(rate);
        let elapsed = now.duration_since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + rate * elapsed).min(rate);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Token buckets for reads and writes, which each hold the tokens of up to one second.
pub struct CallLimits {
    reads: CallBucket,
    writes: CallBucket,
    reads_per_second: u32,
    writes_per_second: u32,
}

impl CallLimits {
    /// Creates full buckets.
    pub fn new(reads_per_second: u32, writes_per_second: u32, now: Instant) -> Self {
        let bucket = |rate: u32| CallBucket {
            tokens: f64::from(rate),
            refilled_at: now,
        };
        Self {
            reads: bucket(reads_per_second),
            writes: bucket(writes_per_second),
            reads_per_second,
            writes_per_second,
        }
    }

    /// Takes a token; returns `false` if the call exceeds the limit.
    pub fn take_token(&mut self, kind: CallKind, now: Instant) -> bool {
        match kind {
            CallKind::Read => self.reads.take_token(self.reads_per_second, now),
            CallKind::Write => self.writes.take_token(self.writes_per_second, now),
        }
    }
}
