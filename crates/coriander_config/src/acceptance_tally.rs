//! Counts which instances have applied a version.

use std::collections::{BTreeMap, BTreeSet};

use coriander_core::{ConfigVersion, InstanceId, MonotonicTime};

use crate::freshness_guard::majority;
use crate::{Incarnation, VersionConfirmed};

/// A check is due after answers from one `CHECK_SHARE`th of the instances that have answered.
const CHECK_SHARE: usize = 32;

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
/// A version is accepted once a majority of each fleet held it at one and the same moment. One
/// answer from each of a majority is not enough: an instance can answer, restart, load the older
/// version from instances that have not applied the new one, and so let the older version keep a
/// majority. Each instance therefore has to answer a first time before the moment and a second
/// time, as the same process, to a request sent after it.
#[derive(Clone, Debug)]
pub struct AcceptanceTally {
    version: ConfigVersion,
    fleets: Vec<BTreeSet<InstanceId>>,
    held: BTreeMap<InstanceId, HeldInterval>,
    /// Instances that have answered to a request sent after their first answer.
    complete: usize,
    /// Value of `complete` below which the version cannot be accepted.
    needed: usize,
    /// Answers since the last check.
    unchecked: usize,
}

impl AcceptanceTally {
    /// Creates a tally for a version and all fleets that must confirm it.
    pub fn new(version: ConfigVersion, fleets: Vec<BTreeSet<InstanceId>>) -> Self {
        let needed = fleets.iter().map(|fleet| majority(fleet.len())).max();
        Self {
            version,
            fleets,
            held: BTreeMap::new(),
            complete: 0,
            needed: needed.unwrap_or(0),
            unchecked: 0,
        }
    }

    /// Returns the version.
    pub const fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Records an answer that arrived at `now`, on the clock on which the request was sent.
    pub fn record_reply(&mut self, answer: &VersionConfirmed, now: MonotonicTime) {
        if !answer.loaded || answer.version < self.version {
            return;
        }
        let sent = answer.request.sent_at();
        let fresh = HeldInterval {
            incarnation: answer.incarnation,
            first_received: now,
            last_sent: sent,
        };
        self.unchecked += 1;
        let previous = self.held.get(&answer.instance).copied();
        let held = match previous {
            Some(held) if held.incarnation == answer.incarnation => HeldInterval {
                last_sent: held.last_sent.max(sent),
                ..held
            },
            _ => fresh,
        };
        self.complete += usize::from(held.is_complete());
        self.complete -= usize::from(previous.is_some_and(|held| held.is_complete()));
        self.held.insert(answer.instance.clone(), held);
    }

    /// Tells whether [`Self::is_accepted`] can have changed enough to be asked after an answer.
    ///
    /// A check sorts all answers, so a check after each of thousands would be quadratic.
    pub fn is_check_due(&mut self) -> bool {
        if self.complete < self.needed || self.unchecked < self.held.len() / CHECK_SHARE {
            return false;
        }
        self.unchecked = 0;
        true
    }

    /// Tells whether the version is accepted.
    ///
    /// An empty fleet needs no confirmation: without a fleet only the platform confirms versions.
    pub fn is_accepted(&self) -> bool {
        let fleets: Vec<_> = self
            .fleets
            .iter()
            .filter(|fleet| !fleet.is_empty())
            .collect();
        let mut counts = vec![0; fleets.len()];
        for (_, starts, id) in self.list_bounds() {
            for (fleet, count) in fleets.iter().zip(&mut counts) {
                if fleet.contains(id) {
                    *count = if starts { *count + 1 } else { *count - 1 };
                }
            }
            let is_majority =
                |(fleet, count): (&&BTreeSet<_>, &usize)| *count >= majority(fleet.len());
            if starts && fleets.iter().zip(&counts).all(is_majority) {
                return true;
            }
        }
        fleets.is_empty()
    }

    /// Lists the starts and ends of all intervals by time; at equal times starts come first.
    fn list_bounds(&self) -> Vec<(MonotonicTime, bool, &InstanceId)> {
        let held = self.held.iter().filter(|(_, held)| held.is_complete());
        let mut bounds: Vec<_> = held
            .flat_map(|(id, held)| [(held.first_received, true, id), (held.last_sent, false, id)])
            .collect();
        bounds.sort_by_key(|(time, starts, _)| (*time, !starts));
        bounds
    }

    /// Returns the instances that are not known to have applied the version.
    pub fn missing(&self) -> Vec<InstanceId> {
        let all: BTreeSet<_> = self.fleets.iter().flatten().collect();
        let missing = all.into_iter().filter(|id| !self.held.contains_key(*id));
        missing.cloned().collect()
    }

    /// Returns all instances that are asked.
    pub fn instances(&self) -> BTreeSet<InstanceId> {
        self.fleets.iter().flatten().cloned().collect()
    }
}
