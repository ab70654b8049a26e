//! Promotions that may have ended halfway.
//!
//! A promotion stops replicas from receiving commits, or gets no reply to its call. If the primary
//! then turns out to be alive, or the promoter stops, nobody would let the replicas receive again,
//! and the platform might execute the call later, beside commits that the primary has acknowledged.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use coriander_core::MonotonicTime;

use crate::members::database_group::DatabaseGroup;
use crate::promotion::commit_stop::CommitStop;
use crate::promotion::log_inquiry::LogInquiry;
use crate::promotion::promotion_call::{CallOutcome, PromotionCall};
use crate::promotion::promotion_cause::PromotionCause;
use crate::service::SessionService;

/// Interval between two checks of a group.
const CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// Finds and ends interrupted promotions of groups with synchronous commits.
pub struct InterruptedPromotions {
    service: Rc<SessionService>,
    logs: Rc<LogInquiry>,
    call: Rc<PromotionCall>,
    commit_stop: CommitStop,
    /// Tenure of the duty in which a group is known to have no interrupted promotion.
    checked_tenures: RefCell<HashMap<Arc<str>, u64>>,
    last_checks: RefCell<HashMap<Arc<str>, MonotonicTime>>,
}

impl InterruptedPromotions {
    /// Creates the state of a process that knows nothing about any group.
    pub fn new(
        service: Rc<SessionService>,
        logs: Rc<LogInquiry>,
        call: Rc<PromotionCall>,
        commit_stop: CommitStop,
    ) -> Self {
        Self {
            service,
            logs,
            call,
            commit_stop,
            checked_tenures: RefCell::default(),
            last_checks: RefCell::default(),
        }
    }

    /// Records that the promotion of a group may end halfway from now on.
    pub fn record(&self, group: &str) {
        self.checked_tenures.borrow_mut().remove(group);
    }

    /// Returns whether a group has to be checked: once in each tenure of the duty, as an earlier holder
    /// may have stopped, and after [`record`](Self::record) until nothing is left to end.
    pub fn is_check_due(&self, group: &DatabaseGroup, now: MonotonicTime) -> bool {
        let tenure = self.service.promotion_duty.tenure();
        let checked_tenure = self.checked_tenures.borrow().get(&group.name).copied();
        let is_checked = checked_tenure == Some(tenure);
        if is_checked || self.logs.sync_replicas(group) == 0 {
            return false;
        }
        let last_check = self.last_checks.borrow().get(&group.name).copied();
        last_check.is_none_or(|last| now.since(last) >= CHECK_INTERVAL)
    }

    fn record_check(&self, group: &DatabaseGroup) {
        let now = self.service.clock.now();
        let mut last_checks = self.last_checks.borrow_mut();
        last_checks.insert(group.name.clone(), now);
    }

    /// Checks a group. If a promotion was interrupted, confirms the primary with the own token, after
    /// which the platform executes no older call, and only then lets the paused replicas receive
    /// commits again. Returns false if replicas are paused and no primary replies, so that only
    /// another promotion lets the group commit again.
    pub async fn end(&self, group: &Rc<DatabaseGroup>, token: u64) -> bool {
        self.record_check(group);
        let tenure = self.service.promotion_duty.tenure();
        let cause = PromotionCause::Interrupted;
        let comparison = self.logs.compare(group, None, cause, None).await;
        let has_paused_member = comparison.has_paused_member();
        let has_open_call = comparison.rule.lineage.is_newest_uncertain();
        if has_paused_member || has_open_call {
            let Some(primary) = comparison.current_primary() else {
                return !has_paused_member;
            };
            log::info!(
                group = &*group.name, member = &*primary.member, token = token,
                paused = has_paused_member, open_call = has_open_call;
                "confirming the primary after an interrupted promotion"
            );
            let outcome = self.call.request(group, primary, &comparison, token).await;
            if outcome != CallOutcome::Accepted {
                return true;
            }
            self.call
                .wait_until_primary(group, &primary.member, token)
                .await;
            // The next holder of the duty may have paused them for its own promotion.
            let is_holder = self.service.promotion_token() == Some(token);
            if !is_holder || !self.commit_stop.resume(group, &comparison).await {
                return true;
            }
        }
        // A member that has not replied may be paused.
        if comparison.candidates.len() == group.members().len() {
            let mut checked_tenures = self.checked_tenures.borrow_mut();
            checked_tenures.insert(group.name.clone(), tenure);
        }
        true
    }
}
