//! Choice of the member that serves a read.

use std::time::Duration;

use coriander_core::{LogPosition, MemberId, MonotonicTime};
use coriander_tokens::SessionPosition;

use crate::ReplicaTable;
use crate::member_state::MemberState;

/// Requirements of a read.
#[derive(Clone, Copy, Debug)]
pub struct ReadRequest<'a> {
    /// Maximum data age that the class accepts.
    pub freshness: Duration,
    /// Position that the session requires; `Unknown` without a session token.
    pub session: SessionPosition,
    /// Expected time in this instance's queue before the read could be sent to the primary.
    pub primary_queue_time: Duration,
    /// Time for which the read has waited for replicas since its first routing decision.
    pub elapsed_wait: Duration,
    /// Members that must not be chosen because they failed or refused this read.
    pub excluded: &'a [MemberId],
}

/// Routing decision for a read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReadChoice {
    /// Sends the read to a replica, which must refuse it below `min_position`.
    Replica {
        /// The replica.
        member: MemberId,
        /// Position that satisfies both the session and the freshness of the class.
        min_position: LogPosition,
    },
    /// Delays the read, because a replica is expected to qualify before the primary could reply.
    Wait {
        /// The replica that is expected to qualify.
        member: MemberId,
        /// Delay after which to choose again. Status requests to the primary and the replica
        /// should be sent immediately.
        retry_after: Duration,
    },
    /// Sends the read to the primary, which must refuse it below `min_position`.
    Primary {
        /// The primary.
        member: MemberId,
        /// Position of the session, if any.
        min_position: Option<LogPosition>,
    },
    /// No member can currently serve the read.
    Unavailable,
}

/// Chooses members for reads.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadRouter;

impl ReadRouter {
    /// Chooses the member for a read.
    ///
    /// ```
    /// use coriander_core::MonotonicTime;
    /// use coriander_routing::{ReadChoice, ReadRequest, ReadRouter, ReplicaTable};
    /// use coriander_tokens::SessionPosition;
    /// use std::time::Duration;
    ///
    /// let table = ReplicaTable::new("piraeus".parse().expect("valid name"), 2);
    /// let request = ReadRequest {
    ///     freshness: Duration::from_secs(1),
    ///     session: SessionPosition::Unwritten,
    ///     primary_queue_time: Duration::ZERO,
    ///     elapsed_wait: Duration::ZERO,
    ///     excluded: &[],
    /// };
    /// let choice = ReadRouter.choose(&table, &request, MonotonicTime::from_millis(10));
    /// assert_eq!(choice, ReadChoice::Unavailable);
    /// ```
    pub fn choose(
        &self,
        table: &ReplicaTable,
        request: &ReadRequest<'_>,
        now: MonotonicTime,
    ) -> ReadChoice {
        if let Some((member, min_position)) = choose_replica(table, request, now, u32::MAX) {
            return ReadChoice::Replica {
                member,
                min_position,
            };
        }
        let primary = choose_primary(table, request);
        match choose_wait(table, request, &primary, now) {
            Some((member, retry_after)) => ReadChoice::Wait {
                member,
                retry_after,
            },
            None => primary,
        }
    }

    /// Chooses a second replica for a read whose reply is overdue, with the position below which
    /// the replica must refuse the read.
    ///
    /// `request.excluded` contains the first replica. Only a replica with a free slot qualifies:
    /// under overload a hedge would delay the reads in the replica's queue.
    pub fn choose_hedge(
        &self,
        table: &ReplicaTable,
        request: &ReadRequest<'_>,
        now: MonotonicTime,
    ) -> Option<(MemberId, LogPosition)> {
        choose_replica(table, request, now, 0)
    }
}

/// Returns the eligible replica with the lowest expected latency.
fn choose_replica(
    table: &ReplicaTable,
    request: &ReadRequest<'_>,
    now: MonotonicTime,
    max_queue_length: u32,
) -> Option<(MemberId, LogPosition)> {
    let (member, min_position) = table
        .replicas()
        .filter(|member| is_usable(table, member, request, now))
        .filter(|member| member.queue_length(table.slots()) <= max_queue_length)
        .filter_map(|member| Some((member, proven_position(table, member, request, now)?)))
        .min_by_key(|(member, _)| {
            let is_other_zone = member.placement.zone != *table.own_zone();
            (member.expected_latency(table.slots()), is_other_zone)
        })?;
    Some((member.id.clone(), min_position))
}

fn choose_primary(table: &ReplicaTable, request: &ReadRequest<'_>) -> ReadChoice {
    let min_position = match request.session {
        SessionPosition::AtLeast(position) => Some(position),
        SessionPosition::Unwritten | SessionPosition::Unknown => None,
    };
    // A session position in a later term proves that the recorded primary was replaced.
    let is_replaced = min_position.is_some_and(|position| position.term > table.term());
    match table.primary() {
        Some(primary) if !is_replaced && !request.excluded.contains(primary) => {
            let member = primary.clone();
            ReadChoice::Primary {
                member,
                min_position,
            }
        }
        _ => ReadChoice::Unavailable,
    }
}

/// Returns a replica that is expected to reply before the primary even after a wait, and the wait.
fn choose_wait(
    table: &ReplicaTable,
    request: &ReadRequest<'_>,
    primary: &ReadChoice,
    now: MonotonicTime,
) -> Option<(MemberId, Duration)> {
    let ReadChoice::Primary { member: id, .. } = primary else {
        return None;
    };
    let primary_latency =
        request.primary_queue_time + table.find(id)?.expected_latency(table.slots());
    let (wait, member) = table
        .replicas()
        .filter(|member| is_usable(table, member, request, now))
        .filter_map(|member| Some((expected_wait(table, member, request, id)?, member)))
        .min_by_key(|(wait, member)| *wait + member.expected_latency(table.slots()))?;
    let is_sooner = wait + member.expected_latency(table.slots()) < primary_latency;
    is_sooner.then(|| (member.id.clone(), wait))
}

/// Returns the expected time until a replica satisfies the request, or `None` if it will not.
fn expected_wait(
    table: &ReplicaTable,
    member: &MemberState,
    request: &ReadRequest<'_>,
    primary: &MemberId,
) -> Option<Duration> {
    if request.session == SessionPosition::Unknown {
        return None;
    }
    // New replies to status requests are required in any case.
    let status_time = member.round_trip().max(table.find(primary)?.round_trip());
    let age = status_time + member.expected_start(table.slots());
    if age >= request.freshness {
        return None;
    }
    let is_caught_up = Some(member.position) == table.timeline().newest_position();
    if is_caught_up {
        return (request.elapsed_wait < status_time).then_some(status_time);
    }
    // Once the usual replication delay has elapsed, the replica is not expected to catch up soon.
    let remaining = member
        .lag
        .upper_estimate()?
        .saturating_sub(request.elapsed_wait);
    (!remaining.is_zero()).then(|| remaining.max(status_time))
}

/// Returns whether a replica may receive reads at all.
fn is_usable(
    table: &ReplicaTable,
    member: &MemberState,
    request: &ReadRequest<'_>,
    now: MonotonicTime,
) -> bool {
    // A member refuses statements of another term. A log that ends in an earlier term may contain
    // entries that the new primary lacks, unless it ends at the primary's position.
    let is_current = member.term == table.term()
        && (member.position.term == table.term()
            || Some(member.position) == table.timeline().newest_position());
    is_current
        && member.is_available()
        && !member.is_paused(now)
        && !request.excluded.contains(&member.id)
}

/// Returns the position that proves that a replica satisfies the request, or `None` if none does.
fn proven_position(
    table: &ReplicaTable,
    member: &MemberState,
    request: &ReadRequest<'_>,
    now: MonotonicTime,
) -> Option<LogPosition> {
    let (time, proof) = table.timeline().complete_until(member.position)?;
    // The data continues to age until the member executes the read.
    let age = (now + member.expected_start(table.slots())).since(time);
    let is_fresh = age <= request.freshness && !request.freshness.is_zero();
    if !is_fresh {
        return None;
    }
    match request.session {
        SessionPosition::Unwritten => Some(proof),
        SessionPosition::AtLeast(position) if member.position.includes(position) => {
            Some(proof.max(position))
        }
        SessionPosition::AtLeast(_) | SessionPosition::Unknown => None,
    }
}
