//! Counts the instances that have applied a version.

use std::collections::{BTreeMap, BTreeSet};

use coriander_core::{ConfigVersion, InstanceId, MonotonicTime};

use crate::freshness_guard::majority_of;
use crate::{Incarnation, VersionConfirmed};

/// A check is due after replies from one `CHECK_DIVISOR`th of the instances that have replied.
const CHECK_DIVISOR: usize = 32;

/// Time during which an instance is known to have held a version.
#[derive(Clone, Copy, Debug)]
struct HeldInterval {
    incarnation: Incarnation,
    first_received: MonotonicTime,
    last_sent: MonotonicTime,
}

impl HeldInterval {
    fn is_complete(&self) -> bool {
        self.first_received <= self.last_sent
    }
}

/// Decides whether a version is accepted.
///
/// A version is accepted once a majority of each fleet held it at the same moment. One reply from
/// each instance of a majority is not sufficient: an instance can reply, restart and load the older
/// version from instances that have not applied the new one, so that the older version still has a
/// majority. Each instance therefore has to reply once before the moment and, as the same process,
/// again to a request sent after it.
#[derive(Clone, Debug)]
pub struct AcceptanceTally {
    version: ConfigVersion,
    fleets: Vec<BTreeSet<InstanceId>>,
    held_intervals: BTreeMap<InstanceId, HeldInterval>,
    /// Number of instances that have replied to a request sent after their first reply.
    complete_count: usize,
    /// Value of `complete_count` below which the version cannot be accepted.
    required_count: usize,
    /// Number of replies since the last check.
    unchecked_replies: usize,
}

impl AcceptanceTally {
    /// Creates a tally for a version and all fleets that must confirm it.
    pub fn new(version: ConfigVersion, fleets: Vec<BTreeSet<InstanceId>>) -> Self {
        let required_count = fleets.iter().map(|fleet| majority_of(fleet.len())).max();
        Self {
            version,
            fleets,
            held_intervals: BTreeMap::new(),
            complete_count: 0,
            required_count: required_count.unwrap_or(0),
            unchecked_replies: 0,
        }
    }

    /// Returns the version.
    pub const fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Records a reply that was received at `now`, on the clock on which the request was sent.
    pub fn record_reply(&mut self, reply: &VersionConfirmed, now: MonotonicTime) {
        if !reply.loaded || reply.version < self.version {
            return;
        }
        let sent = reply.request.sent_at();
        let new_interval = HeldInterval {
            incarnation: reply.incarnation,
            first_received: now,
            last_sent: sent,
        };
        self.unchecked_replies += 1;
        let previous = self.held_intervals.get(&reply.instance).copied();
        let held = match previous {
            Some(held) if held.incarnation == reply.incarnation => HeldInterval {
                last_sent: held.last_sent.max(sent),
                ..held
            },
            _ => new_interval,
        };
        self.complete_count += usize::from(held.is_complete());
        self.complete_count -= usize::from(previous.is_some_and(|held| held.is_complete()));
        self.held_intervals.insert(reply.instance.clone(), held);
    }

    /// Returns whether [`Self::is_accepted`] should be checked after a reply.
    ///
    /// A check sorts all replies, so a check after each of thousands would take quadratic time.
    pub fn is_check_due(&mut self) -> bool {
        if self.complete_count < self.required_count
            || self.unchecked_replies < self.held_intervals.len() / CHECK_DIVISOR
        {
            return false;
        }
        self.unchecked_replies = 0;
        true
    }

    /// Returns whether the version is accepted.
    ///
    /// An empty fleet requires no confirmation; the platform alone then confirms versions.
    pub fn is_accepted(&self) -> bool {
        let fleets: Vec<_> = self
            .fleets
            .iter()
            .filter(|fleet| !fleet.is_empty())
            .collect();
        let mut counts = vec![0; fleets.len()];
        for (_, is_start, id) in self.sorted_bounds() {
            for (fleet, count) in fleets.iter().zip(&mut counts) {
                if fleet.contains(id) {
                    *count = if is_start { *count + 1 } else { *count - 1 };
                }
            }
            let is_majority =
                |(fleet, count): (&&BTreeSet<_>, &usize)| *count >= majority_of(fleet.len());
            if is_start && fleets.iter().zip(&counts).all(is_majority) {
                return true;
            }
        }
        fleets.is_empty()
    }

    /// Lists the starts and ends of all intervals by time; at equal times starts come first.
    fn sorted_bounds(&self) -> Vec<(MonotonicTime, bool, &InstanceId)> {
        let held = self
            .held_intervals
            .iter()
            .filter(|(_, held)| held.is_complete());
        let mut bounds: Vec<_> = held
            .flat_map(|(id, held)| [(held.first_received, true, id), (held.last_sent, false, id)])
            .collect();
        bounds.sort_by_key(|(time, is_start, _)| (*time, !is_start));
        bounds
    }

    /// Returns the instances that are not known to have applied the version.
    pub fn missing(&self) -> Vec<InstanceId> {
        let all: BTreeSet<_> = self.fleets.iter().flatten().collect();
        let missing = all
            .into_iter()
            .filter(|id| !self.held_intervals.contains_key(*id));
        missing.cloned().collect()
    }

    /// Returns all instances whose confirmation counts.
    pub fn instances(&self) -> BTreeSet<InstanceId> {
        self.fleets.iter().flatten().cloned().collect()
    }
}
