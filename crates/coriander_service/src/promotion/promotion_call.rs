//! Requests a promotion from the platform and follows it until its member is primary.

use std::rc::Rc;
use std::time::Duration;

use coriander_core::TermNumber;
use coriander_service_api::{MemberRole, MemberStatus, PromotionApi, PromotionError};
use tokio::time::sleep;

use crate::fleet::peer_messages::{PeerMessage, PrimaryNotice};
use crate::members::database_group::DatabaseGroup;
use crate::members::member::Member;
use crate::promotion::lineage_store::LineageStore;
use crate::promotion::log_comparison::LogComparison;
use crate::promotion::member_inquiry::{MemberInquiry, STATUS_INTERVAL};
use crate::promotion::promotion_cause::PromotionCandidate;
use crate::promotion::term_lineage::TermLineage;
use crate::service::SessionService;

/// Timeout of the wait for a promoted member to become primary.
const PROMOTION_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Outcome of a request to promote a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The platform has accepted the promotion.
    Accepted,
    /// The promotion was not requested, or it was refused.
    Refused,
    /// Nothing was received, so the platform may still promote the member.
    Unknown,
}

/// Records promotions, requests them and announces their effect.
pub struct PromotionCall {
    service: Rc<SessionService>,
    inquiry: MemberInquiry,
    lineages: Rc<LineageStore>,
    promotion_api: Rc<dyn PromotionApi>,
}

impl PromotionCall {
    /// Creates a call that records promotions in `lineages`.
    pub fn new(
        service: Rc<SessionService>,
        inquiry: MemberInquiry,
        lineages: Rc<LineageStore>,
        promotion_api: Rc<dyn PromotionApi>,
    ) -> Self {
        Self {
            service,
            inquiry,
            lineages,
            promotion_api,
        }
    }

    /// Records the promotion of a member and requests it.
    pub async fn request(
        &self,
        group: &DatabaseGroup,
        successor: &PromotionCandidate,
        comparison: &LogComparison,
        token: u64,
    ) -> CallOutcome {
        let newest_term = comparison.newest_term();
        if !self
            .record_attempt(group, successor, newest_term, token)
            .await
        {
            return CallOutcome::Refused;
        }
        let lineage = comparison.rule.lineage.clone();
        self.promote(group, successor, lineage, token).await
    }

    /// Records a promotion that is about to be requested. Returns whether it may be.
    async fn record_attempt(
        &self,
        group: &DatabaseGroup,
        successor: &PromotionCandidate,
        newest_term: TermNumber,
        token: u64,
    ) -> bool {
        let mut lineage = self.lineages.lineage(&group.name);
        lineage.record_attempt(&successor.member, successor.received, newest_term);
        if let Err(error) = self.lineages.write(&group.name, lineage, token).await {
            log::warn!(
                group = &*group.name, successor = &*successor.member, token = token,
                error:% = error;
                "promotion not recorded and not requested"
            );
            return false;
        }
        // The lease of the promotion duty may have ended meanwhile.
        self.service.promotion_token() == Some(token)
    }

    /// Calls the platform. If the call had no effect, the lineage before it is restored.
    async fn promote(
        &self,
        group: &DatabaseGroup,
        successor: &PromotionCandidate,
        previous_lineage: TermLineage,
        token: u64,
    ) -> CallOutcome {
        let holder = self.service.settings().name.clone();
        let called = self
            .promotion_api
            .promote(&group.name, &successor.member, &holder, token);
        let Err(error) = called.await else {
            return CallOutcome::Accepted;
        };
        let metrics = &self.service.metrics;
        metrics.count_promotion(&group.name, "call_failed");
        log::warn!(
            group = &*group.name, successor = &*successor.member, token = token,
            error:% = error;
            "promotion call failed"
        );
        match error {
            PromotionError::NoResponse(_) => {
                self.service.promotion_duty.mark_token_spent();
                return CallOutcome::Unknown;
            }
            PromotionError::Rejected => self.service.promotion_duty.mark_token_spent(),
            PromotionError::Refused(_) | PromotionError::NotSent(_) => {}
        }
        self.lineages.restore(&group.name, previous_lineage);
        CallOutcome::Refused
    }

    /// Waits until a promoted member is primary, and announces it.
    pub async fn wait_until_primary(&self, group: &Rc<DatabaseGroup>, member: &str, token: u64) {
        let started = self.service.clock.now();
        let Some(member) = group.member(member) else {
            return;
        };
        while self.service.clock.now().since(started) < PROMOTION_TIMEOUT {
            let status = self.inquiry.status(group, &member).await;
            if let Some(status) = status.filter(|status| status.role == MemberRole::Primary) {
                let duration = self.service.clock.now().since(started);
                self.announce_primary(group, &member, token, duration);
                self.record_effect(group, &status, token).await;
                return;
            }
            sleep(STATUS_INTERVAL).await;
        }
        log::warn!(
            group = &*group.name, member = &*member.id, token = token,
            waited_ms = PROMOTION_TIMEOUT.as_millis() as u64;
            "promoted member did not become primary"
        );
    }

    fn announce_primary(
        &self,
        group: &DatabaseGroup,
        member: &Member,
        token: u64,
        duration: Duration,
    ) {
        log::info!(
            group = &*group.name, member = &*member.id, token = token,
            took_ms = duration.as_millis() as u64;
            "promoted member is primary"
        );
        let metrics = &self.service.metrics;
        metrics.count_promotion(&group.name, "leads");
        metrics.record_promotion(duration);
        group.record_promoted_primary(&member.id, token);
        let notice = PrimaryNotice {
            group: group.name.to_string(),
            member: member.id.to_string(),
            token,
        };
        self.service.peers.send_all(&PeerMessage::Primary(notice));
    }

    /// Records that the newest promotion of a group has taken effect.
    async fn record_effect(&self, group: &DatabaseGroup, status: &MemberStatus, token: u64) {
        let mut lineage = self.lineages.lineage(&group.name);
        lineage.record_effect(status.term, status.received);
        if let Err(error) = self.lineages.write(&group.name, lineage, token).await {
            // The record of the attempt excludes at least the same logs.
            log::warn!(
                group = &*group.name, term:% = status.term, position:% = status.received,
                token = token, error:% = error;
                "effect of a promotion not recorded"
            );
        }
    }
}
