//! Number of statements that an instance lets through to a member at a time.

use std::time::Duration;

use coriander_core::MonotonicTime;

/// Weight of the newest operation in the mean time for which an operation takes room.
const NEW_OPERATION_WEIGHT: f64 = 0.1;

/// Time in which the limit from which waits are predicted follows a lower one.
const EXPECTED_LIMIT_WINDOW: Duration = Duration::from_millis(1_000);

/// Identifies a statement that was let through.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StatementNumber(u64);

#[derive(Clone, Copy, Debug)]
struct RunningStatement {
    number: StatementNumber,
    began_at: MonotonicTime,
    /// Time from which the statement no longer takes room.
    counts_until: MonotonicTime,
}

/// Room for statements at one member, from a limit that the caller learns.
///
/// Only the first statement of an operation needs room. The following ones of a transaction always
/// run, because the transaction holds locks that others wait for, but they take room away from new
/// operations. A statement that is overdue takes none: a member that leaves statements unanswered
/// would otherwise get no others, and one answered statement is what shows that it is well again.
///
/// ```
/// use coriander_core::MonotonicTime;
/// use coriander_queue::StatementGate;
///
/// let now = MonotonicTime::from_millis(0);
/// let overdue = MonotonicTime::from_millis(100);
/// let mut gate = StatementGate::new(1.9);
/// assert_eq!(gate.room(now), 1);
/// let number = gate.begin_operation(now, overdue);
/// assert_eq!(gate.room(now), 0);
/// assert_eq!(gate.room(overdue), 1);
/// gate.end(number, overdue);
/// assert_eq!(gate.room(now), 1);
/// ```
#[derive(Clone, Debug)]
pub struct StatementGate {
    limit: f64,
    /// Limit from which waits are predicted: it follows a fall of the limit slowly.
    expected_limit: f64,
    limit_set_at: MonotonicTime,
    running: Vec<RunningStatement>,
    last_number: u64,
    /// Number of operations, and sum of the times for which their statements took room; older ones
    /// count less.
    operations: f64,
    room_secs: f64,
}

impl StatementGate {
    /// Creates a gate without statements.
    pub fn new(limit: f64) -> Self {
        Self {
            limit,
            expected_limit: limit,
            limit_set_at: MonotonicTime::ZERO,
            running: Vec::new(),
            last_number: 0,
            operations: 0.0,
            room_secs: 0.0,
        }
    }

    /// Returns the limit.
    pub const fn limit(&self) -> f64 {
        self.limit
    }

    /// Sets the limit. Statements that run already go on.
    pub fn set_limit(&mut self, limit: f64, now: MonotonicTime) {
        let elapsed = now.since(self.limit_set_at).as_secs_f64();
        self.limit_set_at = now;
        // Until now the former limit was in force, so a quiet time brings the expected one to that.
        let kept = (-elapsed / EXPECTED_LIMIT_WINDOW.as_secs_f64()).exp();
        let expected = self.limit + (self.expected_limit - self.limit) * kept;
        self.expected_limit = limit.max(expected);
        self.limit = limit;
    }

    /// Returns how many statements are expected to run at a time. A limit that has just fallen grows
    /// again within a second if the member is well, and a request refused by then would have been
    /// served.
    pub const fn expected_places(&self) -> usize {
        let places = self.expected_limit as usize;
        if places > 0 { places } else { 1 }
    }

    /// Records the first statement of an operation, which takes room until `counts_until` or its
    /// end.
    pub fn begin_operation(
        &mut self,
        now: MonotonicTime,
        counts_until: MonotonicTime,
    ) -> StatementNumber {
        self.operations = self.operations * (1.0 - NEW_OPERATION_WEIGHT) + 1.0;
        self.room_secs *= 1.0 - NEW_OPERATION_WEIGHT;
        self.begin_statement(now, counts_until)
    }

    /// Records a further statement of an operation.
    pub fn begin_statement(
        &mut self,
        now: MonotonicTime,
        counts_until: MonotonicTime,
    ) -> StatementNumber {
        self.last_number += 1;
        let number = StatementNumber(self.last_number);
        self.running.push(RunningStatement {
            number,
            began_at: now,
            counts_until,
        });
        number
    }

    /// Changes the time from which a statement takes no room.
    pub fn set_counts_until(&mut self, number: StatementNumber, counts_until: MonotonicTime) {
        let mut running = self.running.iter_mut();
        if let Some(statement) = running.find(|statement| statement.number == number) {
            statement.counts_until = counts_until;
        }
    }

    /// Records the end of a statement.
    pub fn end(&mut self, number: StatementNumber, now: MonotonicTime) {
        let index = self
            .running
            .iter()
            .position(|running| running.number == number);
        if let Some(index) = index {
            let ended = self.running.swap_remove(index);
            let took_room = now.min(ended.counts_until).since(ended.began_at);
            self.room_secs += took_room.as_secs_f64();
        }
    }

    /// Returns the number of statements that take room.
    pub fn running(&self, now: MonotonicTime) -> usize {
        let takes_room = |statement: &&RunningStatement| now < statement.counts_until;
        self.running.iter().filter(takes_room).count()
    }

    /// Returns how many statements may run at a time.
    pub const fn places(&self) -> usize {
        let places = self.limit as usize;
        if places > 0 { places } else { 1 }
    }

    /// Returns how many operations may begin. At least one statement may always run, as nothing can
    /// be learned without it.
    pub fn room(&self, now: MonotonicTime) -> usize {
        self.places().saturating_sub(self.running(now))
    }

    /// Returns the mean time for which an operation takes room: the sum over its statements without
    /// the pauses of a transaction. Zero before the first end.
    pub fn mean_operation(&self) -> Duration {
        Duration::from_secs_f64(self.room_secs / self.operations.max(1.0))
    }
}
