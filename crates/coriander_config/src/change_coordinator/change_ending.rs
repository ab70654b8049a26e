//! How a change ends: accepted, in conflict, refused, or expired.

use std::rc::Rc;

use super::{ChangeCoordinator, ChangePhase};
use crate::change_plan::unreferenced_keys;
use crate::{AcceptanceTally, ChangeResult, ConfigRoot, CoordinatorAction, RefusalReason};

impl ChangeCoordinator {
    pub(super) fn accept(&mut self) -> Vec<CoordinatorAction> {
        let mut actions = Vec::new();
        if let (Some((base, _)), Some(plan)) = (&self.base, &self.plan) {
            let superseded = unreferenced_keys(base, &plan.root);
            if !superseded.is_empty() {
                actions.push(CoordinatorAction::DeleteSections(superseded));
            }
        }
        let version = self.recorded_version.unwrap_or_default();
        actions.extend(self.finish(ChangeResult::Accepted { version }));
        actions
    }

    pub(super) fn report_conflict(
        &mut self,
        root: Option<&Rc<ConfigRoot>>,
    ) -> Vec<CoordinatorAction> {
        let expected = self.request.expected;
        let Some(root) = root.filter(|root| root.version > expected) else {
            return self.refuse(RefusalReason::VersionUnknown);
        };
        let Some(winner) = root.change_at(expected.next()) else {
            // So many changes followed that the root no longer lists whether this one was made.
            return self.finish(ChangeResult::Undetermined);
        };
        let result = ChangeResult::Conflict {
            version: root.version,
            winner: winner.author.clone(),
            winner_version: winner.version,
        };
        let mut actions = Vec::new();
        if let Some(plan) = &self.plan {
            let mut orphans = unreferenced_keys(&plan.root, root);
            // The sections of other changes are deleted by their own coordinators.
            let own_suffix = format!(".{}", self.request.change_id);
            orphans.retain(|key| key.ends_with(&own_suffix));
            actions.push(CoordinatorAction::DeleteSections(orphans));
        }
        actions.extend(self.finish(result));
        actions
    }

    pub(super) fn expire(&mut self) -> Vec<CoordinatorAction> {
        let result = match (self.recorded_version, &self.tally) {
            (Some(version), tally) => ChangeResult::Unconfirmed {
                version,
                missing: tally
                    .as_ref()
                    .map(AcceptanceTally::missing)
                    .unwrap_or_default(),
            },
            (None, _) if self.has_unresolved_write || self.is_writing() => {
                ChangeResult::Undetermined
            }
            (None, _) => ChangeResult::NotRecorded,
        };
        self.finish(result)
    }

    fn is_writing(&self) -> bool {
        matches!(self.phase, ChangePhase::Writing) && self.retry_at.is_none()
    }

    pub(super) fn refuse(&mut self, reason: RefusalReason) -> Vec<CoordinatorAction> {
        self.finish(ChangeResult::Refused { reason })
    }

    pub(super) fn finish(&mut self, result: ChangeResult) -> Vec<CoordinatorAction> {
        self.phase = ChangePhase::Finished;
        vec![CoordinatorAction::Finish(result)]
    }
}
