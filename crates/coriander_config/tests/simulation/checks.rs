//! Checks of every history.

use std::collections::BTreeSet;

use coriander_config::{ChangeCommand, ChangeResult};

use super::fleet_simulation::FleetSimulation;

const FRESHNESS_MILLIS: u64 = 2_000;

impl FleetSimulation {
    pub fn record_acceptance(&mut self, change: usize, version: u64) {
        let change = &self.changes[change].request.change;
        let key = match change {
            ChangeCommand::WithdrawKey { key_id } => Some(key_id.replace('k', "secret")),
            _ => None,
        };
        self.accepted.push((version, self.now, key));
    }

    /// Checks that an instance does not serve under an older version after an acceptance and the
    /// following freshness period.
    pub fn check_node(&mut self, index: usize) {
        let node = &self.nodes[index];
        if node.paused.is_some() || !node.may_serve(self.now) {
            return;
        }
        for (version, time, key) in &self.accepted {
            if self.now <= time + FRESHNESS_MILLIS {
                continue;
            }
            if node.version() < *version {
                let (now, applied) = (self.now, node.version());
                self.violations.push(format!(
                    "{} serves under {applied} at {now}; {version} was accepted at {time}",
                    node.id
                ));
            }
            if key
                .as_ref()
                .is_some_and(|key| node.verifier.verify(key).is_ok())
            {
                self.violations
                    .push(format!("{} accepts a withdrawn key", node.id));
            }
        }
    }

    /// Checks that each change was made at most once, as its result states, and that all instances
    /// serve again.
    pub fn check_end(&mut self) {
        let history = self.platform.history.clone();
        let distinct: BTreeSet<_> = history.iter().collect();
        if distinct.len() != history.len() {
            self.violations.push("a change was applied twice".into());
        }
        for change in &self.changes {
            let made = history
                .iter()
                .position(|id| *id == change.request.change_id);
            let made = made.map(|index| index as u64 + 1);
            for result in &change.results {
                let fits = match result {
                    ChangeResult::Accepted { version }
                    | ChangeResult::Unconfirmed { version, .. } => made == Some(version.get()),
                    ChangeResult::Conflict { winner_version, .. } => {
                        made.is_none() && *winner_version == change.request.expected.next()
                    }
                    ChangeResult::Refused { .. } => made.is_none(),
                    ChangeResult::NotRecorded => made.is_none() || change.attempts > 1,
                    ChangeResult::Undetermined => true,
                };
                if !fits {
                    self.violations
                        .push(format!("{made:?} does not fit {result:?}"));
                }
            }
        }
        for node in &self.nodes {
            if !node.may_serve(self.now) || node.version() != self.platform.version() {
                self.violations
                    .push(format!("{} has not recovered", node.id));
            }
        }
    }
}
