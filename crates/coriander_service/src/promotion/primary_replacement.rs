//! Replaces the primary of a group: choice, stop of its commits, last comparison, call and proof.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use coriander_service_api::{ControlStore, DesignatedPrimary, MemberConnector, PromotionApi};
use tokio::time::sleep;

use crate::members::database_group::DatabaseGroup;
use crate::members::member::Member;
use crate::promotion::commit_stop::CommitStop;
use crate::promotion::interrupted_promotions::InterruptedPromotions;
use crate::promotion::lineage_store::LineageStore;
use crate::promotion::log_comparison::LogComparison;
use crate::promotion::log_inquiry::LogInquiry;
use crate::promotion::member_inquiry::{MemberInquiry, STATUS_INTERVAL};
use crate::promotion::primary_confirmation::HAND_OVER_DELAY;
use crate::promotion::promotion_call::{CallOutcome, PromotionCall};
use crate::promotion::promotion_cause::{PromotionCandidate, PromotionCause};
use crate::service::SessionService;

/// How long a replica may take to receive what was on its way when the primary was demoted.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay after a promotion that was postponed or failed.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Replaces primaries while this process holds the promotion duty.
pub struct PrimaryReplacement {
    service: Rc<SessionService>,
    store: Rc<dyn ControlStore>,
    lineages: Rc<LineageStore>,
    inquiry: MemberInquiry,
    call: Rc<PromotionCall>,
    commit_stop: CommitStop,
    /// Positions of the members, and the conditions on a successor.
    pub logs: Rc<LogInquiry>,
    /// Promotions that may have ended halfway.
    pub interrupted: InterruptedPromotions,
}

impl PrimaryReplacement {
    /// Creates a replacement that records promotions in `store`.
    pub fn new(
        service: Rc<SessionService>,
        connector: Rc<dyn MemberConnector>,
        store: Rc<dyn ControlStore>,
        promotion_api: Rc<dyn PromotionApi>,
    ) -> Self {
        let inquiry = MemberInquiry::new(connector);
        let lineages = Rc::new(LineageStore::new(store.clone()));
        let logs = Rc::new(LogInquiry::new(
            service.clone(),
            inquiry.clone(),
            lineages.clone(),
        ));
        let call = Rc::new(PromotionCall::new(
            service.clone(),
            inquiry.clone(),
            lineages.clone(),
            promotion_api,
        ));
        let interrupted = InterruptedPromotions::new(
            service.clone(),
            logs.clone(),
            call.clone(),
            CommitStop::new(inquiry.clone()),
        );
        Self {
            service,
            store,
            lineages,
            commit_stop: CommitStop::new(inquiry.clone()),
            inquiry,
            call,
            logs,
            interrupted,
        }
    }

    /// Replaces `old_primary`, or ends an interrupted promotion. Returns after a delay if nothing was
    /// promoted.
    pub async fn run(
        &self,
        group: &Rc<DatabaseGroup>,
        old_primary: Option<&Rc<Member>>,
        cause: PromotionCause,
    ) {
        let Some(token) = self.service.promotion_token() else {
            return;
        };
        let tenure = self.service.promotion_duty.tenure();
        if let Err(error) = self.lineages.ensure_read(tenure).await {
            log::warn!(
                group = &*group.name, token = token, error:% = error;
                "recorded promotions not read"
            );
            sleep(RETRY_DELAY).await;
            return;
        }
        if cause == PromotionCause::Interrupted && self.interrupted.end(group, token).await {
            return;
        }
        let first = self.logs.compare(group, old_primary, cause, None).await;
        let last = if first.successor().is_some() {
            self.stop_commits(group, old_primary, cause, first, token)
                .await
        } else {
            log_postponed(group, cause, &first);
            None
        };
        let is_promoted = match last {
            Some(last) => self.promote(group, old_primary, cause, &last, token).await,
            None => false,
        };
        if !is_promoted {
            sleep(RETRY_DELAY).await;
        }
    }

    /// Promotes the successor of the last comparison. Returns whether the platform has accepted it.
    async fn promote(
        &self,
        group: &Rc<DatabaseGroup>,
        old_primary: Option<&Rc<Member>>,
        cause: PromotionCause,
        comparison: &LogComparison,
        token: u64,
    ) -> bool {
        let Some(successor) = comparison.successor() else {
            log_postponed(group, cause, comparison);
            return false;
        };
        let rule = &comparison.rule;
        log::info!(
            group = &*group.name, need = cause.label(),
            old = old_primary.map_or("-", |member| &*member.id),
            successor = &*successor.member, received:% = successor.received,
            candidates = comparison.candidates.len(),
            replicas = rule.replicas, synchronous = rule.sync_replicas, token = token;
            "promoting a member"
        );
        let outcome = self.call.request(group, successor, comparison, token).await;
        if outcome == CallOutcome::Unknown {
            self.interrupted.record(&group.name);
        }
        if outcome != CallOutcome::Accepted {
            return false;
        }
        if self.service.settings().platform_fences
            && !rule.is_synchronous()
            && cause.is_primary_serving()
            && let Some(old_primary) = old_primary
        {
            // A demoted primary acknowledges no more commits, so that all acknowledged ones
            // reach its successor before the promotion takes effect.
            self.inquiry.demote_primary(group, old_primary).await;
        }
        self.call
            .wait_until_primary(group, &successor.member, token)
            .await;
        true
    }

    /// Ensures that the logs that decide the promotion are final, as far as the group and the platform
    /// need it, and returns them. Commits of a group without synchronous ones are not stopped.
    async fn stop_commits(
        &self,
        group: &Rc<DatabaseGroup>,
        old_primary: Option<&Rc<Member>>,
        cause: PromotionCause,
        first: LogComparison,
        token: u64,
    ) -> Option<LogComparison> {
        let successor = first.successor()?;
        let is_synchronous = first.rule.is_synchronous();
        if !self.service.settings().platform_fences {
            let successor = successor.member.clone();
            let is_designated = self.designate(group, &successor, token).await;
            if !is_designated {
                return None;
            }
            let demoted = self.end_use(group, old_primary).await;
            if !is_synchronous {
                return Some(first);
            }
            let last = self
                .compare_after_stop(group, old_primary, cause, demoted)
                .await;
            let chosen = &last.successor()?.member;
            let is_designated = *chosen == successor || self.designate(group, chosen, token).await;
            return is_designated.then_some(last);
        }
        if !is_synchronous || successor.is_primary {
            return Some(first);
        }
        if cause.may_primary_reply()
            && let Some(old_primary) = old_primary
            && let Some(demoted) = self.commit_stop.demote(group, old_primary).await
        {
            let old_primary = Some(old_primary);
            let last = self.compare_after_stop(group, old_primary, cause, Some(demoted));
            return Some(last.await);
        }
        // Until the promotion takes effect, replicas may stay paused.
        self.interrupted.record(&group.name);
        let last = self.commit_stop.pause(group, &first).await;
        if last.is_none() {
            log_postponed(group, cause, &first);
        }
        last
    }

    /// Compares the logs of a group whose primary acknowledges no more commits, until a replica has
    /// received what was on its way. After a timeout a demoted primary is the successor.
    async fn compare_after_stop(
        &self,
        group: &Rc<DatabaseGroup>,
        old_primary: Option<&Rc<Member>>,
        cause: PromotionCause,
        demoted: Option<PromotionCandidate>,
    ) -> LogComparison {
        let started = self.service.clock.now();
        loop {
            let last = self
                .logs
                .compare(group, old_primary, cause, demoted.clone())
                .await;
            let is_late = self.service.clock.now().since(started) >= CATCH_UP_TIMEOUT;
            if last.replica().is_some() || is_late {
                return last;
            }
            sleep(STATUS_INTERVAL).await;
        }
    }

    /// Writes the only member that may act as primary, on a platform that does not fence a former
    /// primary. Returns whether the store has accepted it.
    async fn designate(&self, group: &DatabaseGroup, successor: &Arc<str>, token: u64) -> bool {
        let designation = DesignatedPrimary {
            group: group.name.clone(),
            member: successor.clone(),
        };
        if let Err(error) = self.store.designate_primary(&designation, token).await {
            log::warn!(
                group = &*group.name, successor = &**successor, token = token,
                error:% = error;
                "designation of the successor failed"
            );
            return false;
        }
        group.set_designated_primary(Some(successor.clone()));
        true
    }

    /// Ensures that no instance uses the old primary any longer after another member has been
    /// designated. Returns the old primary as a candidate if it was primary until now.
    async fn end_use(
        &self,
        group: &DatabaseGroup,
        old_primary: Option<&Rc<Member>>,
    ) -> Option<PromotionCandidate> {
        if let Some(old_primary) = old_primary
            && let Some(demotion) = self.inquiry.demote_primary(group, old_primary).await
        {
            return demotion.candidate();
        }
        sleep(HAND_OVER_DELAY).await;
        None
    }
}

fn log_postponed(group: &DatabaseGroup, cause: PromotionCause, comparison: &LogComparison) {
    let rule = &comparison.rule;
    let position = rule.primary_position;
    let position = position.map_or_else(|| "-".to_owned(), |position| position.to_string());
    log::info!(
        group = &*group.name, need = cause.label(),
        candidates = comparison.candidates.len(),
        replicas = rule.replicas, synchronous = rule.sync_replicas,
        primary_position = position.as_str(),
        newest_term:% = rule.lineage.newest_term();
        "promotion postponed; no candidate qualifies"
    );
}
