//! Queries what the members of a group have received, and states what a successor must hold.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use coriander_core::MonotonicTime;
use coriander_service_api::{MemberRole, MemberStatement};

use crate::members::database_group::DatabaseGroup;
use crate::members::departed_members::RETURN_TIMEOUT;
use crate::members::member::Member;
use crate::promotion::lineage_store::LineageStore;
use crate::promotion::log_comparison::LogComparison;
use crate::promotion::member_inquiry::MemberInquiry;
use crate::promotion::promotion_cause::{PromotionCandidate, PromotionCause, SuccessorRule};
use crate::promotion::term_lineage::TermLineage;
use crate::service::SessionService;

/// Compares the logs of a group's members under the configuration and the recorded promotions.
pub struct LogInquiry {
    service: Rc<SessionService>,
    inquiry: MemberInquiry,
    lineages: Rc<LineageStore>,
    /// Since when no candidate of a group has had a whole log.
    no_whole_log_since: RefCell<HashMap<Arc<str>, MonotonicTime>>,
}

impl LogInquiry {
    /// Creates an inquiry that follows the records in `lineages`.
    pub fn new(
        service: Rc<SessionService>,
        inquiry: MemberInquiry,
        lineages: Rc<LineageStore>,
    ) -> Self {
        Self {
            service,
            inquiry,
            lineages,
            no_whole_log_since: RefCell::default(),
        }
    }

    /// Queries the members of a group and returns what they have received, with the conditions on a
    /// successor of `old_primary`.
    pub async fn compare(
        &self,
        group: &Rc<DatabaseGroup>,
        old_primary: Option<&Rc<Member>>,
        cause: PromotionCause,
        demoted_primary: Option<PromotionCandidate>,
    ) -> LogComparison {
        let sync_replicas = self.sync_replicas(group);
        let is_old_primary =
            |member: &Member| old_primary.is_some_and(|primary| primary.id == member.id);
        let primary_position = match (&demoted_primary, old_primary) {
            (Some(demoted), _) => Some(demoted.received),
            (None, Some(primary)) if sync_replicas > 0 && cause.may_primary_reply() => {
                // Before the replicas, so that those that keep up have received its log.
                let status = self.inquiry.status(group, primary).await;
                let status = status.filter(|status| status.role == MemberRole::Primary);
                status.map(|status| status.received)
            }
            _ => None,
        };
        // A replica without an entry may hold the newest commit, so it counts if commits are
        // synchronous.
        let mut members = group.members();
        members.retain(|member| {
            !is_old_primary(member) && (sync_replicas > 0 || !member.is_missing())
        });
        let statement = MemberStatement::Status;
        let reports = self.inquiry.query_all(group, &members, &statement).await;
        let candidates: Vec<_> = reports
            .iter()
            .map(|(member, status)| PromotionCandidate::new(member, status))
            .collect();
        let rule = self.successor_rule(group, old_primary, sync_replicas, &candidates);
        LogComparison {
            candidates,
            rule: SuccessorRule {
                primary_position,
                ..rule
            },
            demoted_primary,
        }
    }

    /// Returns how many replicas must have received a commit before it is acknowledged.
    pub fn sync_replicas(&self, group: &DatabaseGroup) -> usize {
        let config = self.service.config_view.config();
        let limits = config
            .as_ref()
            .and_then(|config| config.groups.get(&group.name));
        let sync_replicas = limits.map_or(0, |limits| limits.sync_replicas);
        usize::try_from(sync_replicas).unwrap_or(usize::MAX)
    }

    /// Returns the conditions that a successor must meet.
    fn successor_rule(
        &self,
        group: &DatabaseGroup,
        primary: Option<&Rc<Member>>,
        sync_replicas: usize,
        candidates: &[PromotionCandidate],
    ) -> SuccessorRule {
        let members = group.members();
        let is_replica =
            |member: &&Rc<Member>| primary.is_none_or(|primary| primary.id != member.id);
        let has_replied = |member: &&Rc<Member>| {
            let mut candidates = candidates.iter();
            candidates.any(|candidate| candidate.member == member.id)
        };
        let mut present = members.iter().filter(|member| !member.is_missing());
        let departed = group.departed_count(self.service.clock.now());
        let lineage = self.lineages.lineage(&group.name);
        let waited = self.time_without_whole_log(group, &lineage, candidates);
        SuccessorRule {
            replicas: members.iter().filter(is_replica).count() + departed,
            sync_replicas,
            primary_position: None,
            lineage,
            candidates_complete: present.all(|member| has_replied(&member))
                && waited >= RETURN_TIMEOUT,
        }
    }

    /// Returns whether the group waits for a member with a whole log.
    pub fn is_waiting_for_whole_log(&self, group: &str) -> bool {
        self.no_whole_log_since.borrow().contains_key(group)
    }

    /// Returns for how long no candidate of a group has had a whole log.
    fn time_without_whole_log(
        &self,
        group: &DatabaseGroup,
        lineage: &TermLineage,
        candidates: &[PromotionCandidate],
    ) -> Duration {
        let mut no_whole_log_since = self.no_whole_log_since.borrow_mut();
        let is_whole = |candidate: &PromotionCandidate| lineage.contains(candidate.received);
        if candidates.iter().any(is_whole) {
            no_whole_log_since.remove(&group.name);
            return Duration::ZERO;
        }
        let now = self.service.clock.now();
        let since = *no_whole_log_since.entry(group.name.clone()).or_insert(now);
        now.since(since)
    }

    /// Records that a group needs no new primary, so that a later wait for a whole log begins anew.
    pub fn end_wait(&self, group: &str) {
        self.no_whole_log_since.borrow_mut().remove(group);
    }
}
