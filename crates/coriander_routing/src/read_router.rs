//! Choice of the member that serves a read.

use std::time::Duration;

use coriander_core::{LogPosition, MemberId, MonotonicTime};
use coriander_session::SessionPosition;

use crate::ReplicaTable;
use crate::member_state::MemberState;

/// What a read requires.
#[derive(Clone, Copy, Debug)]
pub struct ReadRequest<'a> {
    /// Greatest data age that the class accepts.
    pub freshness: Duration,
    /// What the session requires; without a token it is `Unknown`.
    pub session: SessionPosition,
    /// Members that must not be chosen, because they failed or refused this read before.
    pub excluded: &'a [MemberId],
}

/// Where a read goes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReadChoice {
    /// To a replica, which must refuse the read below `min_position`.
    Replica {
        /// The replica.
        member: MemberId,
        /// Position that satisfies both the session and the freshness of the class.
        min_position: LogPosition,
    },
    /// To nobody yet: a replica is expected to qualify sooner than the primary could answer.
    Wait {
        /// The replica that is expected to qualify.
        member: MemberId,
        /// Time after which the choice should be repeated. Status requests to the primary and
        /// the replica should be sent at once.
        retry_after: Duration,
    },
    /// To the primary, which must refuse the read below `min_position`.
    Primary {
        /// The primary.
        member: MemberId,
        /// Position of the session, if any.
        min_position: Option<LogPosition>,
    },
    /// No member can serve the read now.
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
    /// use coriander_session::SessionPosition;
    /// use std::time::Duration;
    ///
    /// let table = ReplicaTable::new("piraeus".parse().expect("valid name"), 2);
    /// let request = ReadRequest {
    ///     freshness: Duration::from_secs(1),
    ///     session: SessionPosition::Unwritten,
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
        let replica = table
            .replicas()
            .filter(|member| is_usable(table, member, request, now))
            .filter_map(|member| Some((member, proven_position(table, member, request, now)?)))
            .min_by_key(|(member, _)| {
                let is_other_zone = member.placement.zone != *table.own_zone();
                (member.expected_latency(table.slots()), is_other_zone)
            });
        if let Some((member, min_position)) = replica {
            let member = member.id.clone();
            return ReadChoice::Replica {
                member,
                min_position,
            };
        }
        choose_primary(table, request)
    }
}

fn choose_primary(table: &ReplicaTable, request: &ReadRequest<'_>) -> ReadChoice {
    let min_position = match request.session {
        SessionPosition::AtLeast(position) => Some(position),
        SessionPosition::Unwritten | SessionPosition::Unknown => None,
    };
    // A session that has seen a later term proves that the known primary was replaced.
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

/// Tells whether a replica may get work at all.
fn is_usable(
    table: &ReplicaTable,
    member: &MemberState,
    request: &ReadRequest<'_>,
    now: MonotonicTime,
) -> bool {
    // A member refuses statements of another term. A log that ends in an earlier term may hold
    // entries that the new primary does not have, unless it is equal to the primary's.
    let is_current = member.term == table.term()
        && (member.position.term == table.term()
            || Some(member.position) == table.history().newest());
    is_current
        && member.takes_work()
        && !member.is_paused(now)
        && !request.excluded.contains(&member.id)
}

/// Returns the position that proves that a replica satisfies the request, if it does.
fn proven_position(
    table: &ReplicaTable,
    member: &MemberState,
    request: &ReadRequest<'_>,
    now: MonotonicTime,
) -> Option<LogPosition> {
    let (time, proof) = table.history().current_until(member.position)?;
    let is_fresh = now.since(time) <= request.freshness && !request.freshness.is_zero();
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
