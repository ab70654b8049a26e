//! What one exchange shows about its member.

use std::time::Duration;

/// Class of a statement. Latencies are compared within a class only, since classes differ in work.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct StatementClass {
    priority: u32,
    writes: bool,
    opens_transaction: bool,
}

impl StatementClass {
    /// Creates the class of the statements of a route's priority.
    pub const fn new(priority: u32, writes: bool, opens_transaction: bool) -> Self {
        Self {
            priority,
            writes,
            opens_transaction,
        }
    }
}

/// Outcome of an exchange, as far as it concerns the member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SampleOutcome {
    /// The member ran the statement.
    Served,
    /// The member refused the statement because of load.
    Rejected,
    /// The member failed the statement or closed the connection.
    Failed,
    /// The member did not reply in time.
    Unanswered,
}

impl SampleOutcome {
    /// Returns whether the outcome counts against the member's health. A rejection does not: it
    /// concerns the limit.
    pub const fn is_failure(self) -> bool {
        matches!(self, Self::Failed | Self::Unanswered)
    }
}

/// One exchange with a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ExchangeSample {
    /// Class of the statement.
    pub class: StatementClass,
    /// Outcome.
    pub outcome: SampleOutcome,
    /// Time from sending the statement to the outcome.
    pub latency: Duration,
}
