//! Promotes members while this process holds the promotion duty.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use coriander_core::{MonotonicTime, TermNumber};
use coriander_service_api::{
    ControlStore, DesignatedPrimary, MemberConnector, MemberRole, MemberStatus, PromotionApi,
    PromotionError,
};
use tokio::time::sleep;

use crate::fleet::peer_messages::{OutageReport, PeerMessage, PrimaryNotice};
use crate::members::database_group::DatabaseGroup;
use crate::members::departed_members::RETURN_TIMEOUT;
use crate::members::member::{ENTRY_RETURN_TIME, Member};
use crate::promotion::lineage_store::LineageStore;
use crate::promotion::member_inquiry::MemberInquiry;
use crate::promotion::primary_confirmation::HAND_OVER_DELAY;
use crate::promotion::promotion_cause::{
    PrimaryObservation, PromotionCandidate, PromotionCause, SuccessorRule, choose_successor,
};
use crate::promotion::term_lineage::TermLineage;
use crate::service::SessionService;

/// Interval at which all groups are checked.
const WATCH_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between two reports of the same outage.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Time without a reply from a member with outstanding statements after which a health probe is
/// sent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(200);

/// Timeout of a health probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Timeout of the wait for a promoted member to become primary.
const PROMOTION_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Interval between status queries of a member that is being promoted.
const STATUS_INTERVAL: Duration = Duration::from_millis(30);

/// Delay after a failed promotion.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Monitors the primaries of all groups and replaces those that fail or leave.
pub struct PromotionTask {
    service: Rc<SessionService>,
    connector: Rc<dyn MemberConnector>,
    inquiry: MemberInquiry,
    store: Rc<dyn ControlStore>,
    lineages: LineageStore,
    promotion_api: Rc<dyn PromotionApi>,
    /// Groups with a promotion in progress.
    promoting_groups: RefCell<HashSet<Arc<str>>>,
    no_primary_since: RefCell<HashMap<Arc<str>, MonotonicTime>>,
    /// Since when no candidate of a group has had a whole log.
    no_whole_log_since: RefCell<HashMap<Arc<str>, MonotonicTime>>,
    last_reports: RefCell<HashMap<Arc<str>, MonotonicTime>>,
    probing_members: RefCell<HashSet<Arc<str>>>,
}

impl PromotionTask {
    /// Creates the task.
    pub fn new(
        service: Rc<SessionService>,
        connector: Rc<dyn MemberConnector>,
        store: Rc<dyn ControlStore>,
        promotion_api: Rc<dyn PromotionApi>,
    ) -> Rc<Self> {
        Rc::new(Self {
            service,
            inquiry: MemberInquiry::new(connector.clone()),
            connector,
            lineages: LineageStore::new(store.clone()),
            store,
            promotion_api,
            promoting_groups: RefCell::default(),
            no_primary_since: RefCell::default(),
            no_whole_log_since: RefCell::default(),
            last_reports: RefCell::default(),
            probing_members: RefCell::default(),
        })
    }

    /// Runs until the process ends.
    pub async fn run(self: Rc<Self>) {
        loop {
            sleep(WATCH_INTERVAL).await;
            for group in self.service.groups() {
                self.check_group(&group);
            }
        }
    }

    fn check_group(self: &Rc<Self>, group: &Rc<DatabaseGroup>) {
        let now = self.service.clock.now();
        let primary = group.primary(now);
        for member in group.members() {
            let is_primary = primary.as_ref().is_some_and(|known| known.id == member.id);
            self.probe_if_suspect(&member, is_primary, now);
            member.pool.close_surplus();
        }
        if let Some(primary) = &primary {
            self.report_outage(group, primary, now);
        }
        if self.promoting_groups.borrow().contains(&group.name) {
            return;
        }
        let token = self.service.promotion_token();
        let observation = token.map(|_| self.observe_primary(group, primary.as_ref(), now));
        let Some(cause) = observation.and_then(PrimaryObservation::promotion_cause) else {
            self.no_whole_log_since.borrow_mut().remove(&group.name);
            return;
        };
        self.promoting_groups
            .borrow_mut()
            .insert(group.name.clone());
        let (task, group) = (self.clone(), group.clone());
        ntex::rt::spawn(async move {
            task.replace_primary(&group, primary.as_ref(), cause).await;
            task.promoting_groups.borrow_mut().remove(&group.name);
        });
    }

    /// Sends a health probe to a member that does not reply to statements or has failed, and from the
    /// promoter to a primary without an entry, which may be idle.
    fn probe_if_suspect(
        self: &Rc<Self>,
        member: &Rc<Member>,
        is_primary: bool,
        now: MonotonicTime,
    ) {
        let is_silent = member.silent_for(now) >= SILENCE_TIMEOUT;
        let failing = member.failing_for(now).is_some();
        let is_promoter = self.service.promotion_duty.is_held();
        let may_have_left = is_promoter && is_primary && member.is_missing();
        let is_suspect = is_silent || failing || may_have_left;
        if !is_suspect || !self.probing_members.borrow_mut().insert(member.id.clone()) {
            return;
        }
        let (task, member) = (self.clone(), member.clone());
        ntex::rt::spawn(async move {
            let address = member.entry().address;
            let result = task.connector.probe(address, PROBE_TIMEOUT).await;
            let now = task.service.clock.now();
            match result {
                Ok(()) if failing => member.record_success(now),
                Ok(()) => {}
                Err(error) => {
                    if member.failing_for(now).is_none() {
                        log::info!(
                            member = &*member.id, error:% = error;
                            "health probe of a member failed"
                        );
                    }
                    member.record_failure(now);
                }
            }
            sleep(WATCH_INTERVAL).await;
            task.probing_members.borrow_mut().remove(&member.id);
        });
    }

    /// Reports to the promoter whether this instance reaches a primary.
    fn report_outage(&self, group: &DatabaseGroup, primary: &Member, now: MonotonicTime) {
        let Some(promoter) = self.service.promotion_duty.other_holder() else {
            return;
        };
        let failing = primary.failing_for(now).is_some();
        let mut last_reports = self.last_reports.borrow_mut();
        let last = last_reports.get(&group.name).copied();
        if !failing {
            if last.is_none() {
                return;
            }
            last_reports.remove(&group.name);
        } else if last.is_some_and(|at| now.since(at) < REPORT_INTERVAL) {
            return;
        } else {
            last_reports.insert(group.name.clone(), now);
        }
        let report = OutageReport {
            group: group.name.to_string(),
            member: primary.id.to_string(),
            failing,
        };
        let message = PeerMessage::Outage(report);
        self.service.peers.send(promoter, &message);
    }

    fn observe_primary(
        &self,
        group: &DatabaseGroup,
        primary: Option<&Rc<Member>>,
        now: MonotonicTime,
    ) -> PrimaryObservation {
        // After an outage of the store, or the start of this process, entries that were lost in an
        // outage may not be back.
        let are_entries_back = group.reads().length() >= ENTRY_RETURN_TIME;
        let mut no_primary_since = self.no_primary_since.borrow_mut();
        let Some(primary) = primary else {
            let since = *no_primary_since.entry(group.name.clone()).or_insert(now);
            let time = are_entries_back.then(|| now.since(since));
            return PrimaryObservation::default().with_no_primary(time.unwrap_or_default());
        };
        no_primary_since.remove(&group.name);
        let reports = &self.service.outage_reports;
        let reports = reports.count(&group.name, &primary.id, now);
        PrimaryObservation::default()
            .with_failing(primary.failing_for(now).unwrap_or_default())
            .with_reports(reports, self.service.peers.peers().len())
            .with_missing(primary.is_missing() && are_entries_back)
            .with_gone(primary.is_gone())
            .with_leaving(primary.is_leaving())
    }

    async fn replace_primary(
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
        let candidates = self.inquiry.candidates(group, old_primary).await;
        let rule = self.successor_rule(group, old_primary, &candidates);
        let Some(successor) = choose_successor(&candidates, &rule) else {
            log::info!(
                group = &*group.name, need = cause.label(), candidates = candidates.len(),
                replicas = rule.replicas, synchronous = rule.sync_replicas,
                newest_term:% = rule.lineage.newest_term();
                "promotion postponed; no candidate qualifies"
            );
            sleep(RETRY_DELAY).await;
            return;
        };
        log::info!(
            group = &*group.name, need = cause.label(),
            old = old_primary.map_or("-", |member| &*member.id),
            successor = &*successor.member, received:% = successor.received,
            candidates = candidates.len(),
            replicas = rule.replicas, synchronous = rule.sync_replicas, token = token;
            "promoting a member"
        );
        let platform_fences = self.service.settings().platform_fences;
        if !platform_fences && !self.hand_over(group, old_primary, successor, token).await {
            sleep(RETRY_DELAY).await;
            return;
        }
        let newest_term = candidates.iter().map(|candidate| candidate.term).max();
        let newest_term = newest_term.unwrap_or_default();
        if !self
            .record_attempt(group, successor, newest_term, token)
            .await
        {
            sleep(RETRY_DELAY).await;
            return;
        }
        if self.promote(group, successor, rule.lineage, token).await {
            if platform_fences
                && cause.is_primary_serving()
                && let Some(old_primary) = old_primary
            {
                // A demoted primary acknowledges no more commits, so that all acknowledged ones
                // reach its successor before the promotion takes effect.
                self.inquiry.demote_primary(group, old_primary).await;
            }
            self.wait_until_primary(group, &successor.member, token)
                .await;
        }
    }

    /// Returns the conditions that a successor must meet.
    fn successor_rule(
        &self,
        group: &DatabaseGroup,
        primary: Option<&Rc<Member>>,
        candidates: &[PromotionCandidate],
    ) -> SuccessorRule {
        let config = self.service.config_view.config();
        let limits = config
            .as_ref()
            .and_then(|config| config.groups.get(&group.name));
        let sync_replicas = limits.map_or(0, |limits| limits.sync_replicas);
        let members = group.members();
        let is_replica =
            |member: &&Rc<Member>| primary.is_none_or(|primary| primary.id != member.id);
        let present = members.iter().filter(|member| !member.is_missing());
        let departed = group.departed_count(self.service.clock.now());
        let lineage = self.lineages.lineage(&group.name);
        let waited = self.time_without_whole_log(group, &lineage, candidates);
        SuccessorRule {
            replicas: members.iter().filter(is_replica).count() + departed,
            sync_replicas: usize::try_from(sync_replicas).unwrap_or(usize::MAX),
            lineage,
            candidates_complete: present.count() <= candidates.len() && waited >= RETURN_TIMEOUT,
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

    /// Ensures that no instance uses the old primary any longer, on a platform that does not fence
    /// a former primary. Returns whether the successor may be promoted.
    async fn hand_over(
        &self,
        group: &DatabaseGroup,
        old_primary: Option<&Rc<Member>>,
        successor: &PromotionCandidate,
        token: u64,
    ) -> bool {
        let designation = DesignatedPrimary {
            group: group.name.clone(),
            member: successor.member.clone(),
        };
        if let Err(error) = self.store.designate_primary(&designation, token).await {
            log::warn!(
                group = &*group.name, successor = &*successor.member, token = token,
                error:% = error;
                "designation of the successor failed"
            );
            return false;
        }
        group.set_designated_primary(Some(successor.member.clone()));
        let is_demoted = match old_primary {
            Some(old_primary) => self.inquiry.demote_primary(group, old_primary).await,
            None => false,
        };
        if !is_demoted {
            sleep(HAND_OVER_DELAY).await;
        }
        true
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

    /// Calls the platform. Returns whether it has accepted the promotion; if the call had no
    /// effect, the lineage before it is restored.
    async fn promote(
        &self,
        group: &DatabaseGroup,
        successor: &PromotionCandidate,
        previous_lineage: TermLineage,
        token: u64,
    ) -> bool {
        let holder = self.service.settings().name.clone();
        let called = self
            .promotion_api
            .promote(&group.name, &successor.member, &holder, token);
        let Err(error) = called.await else {
            return true;
        };
        let metrics = &self.service.metrics;
        metrics.count_promotion(&group.name, "call_failed");
        log::warn!(
            group = &*group.name, successor = &*successor.member, token = token,
            error:% = error;
            "promotion call failed"
        );
        match error {
            PromotionError::NoResponse(_) => self.service.promotion_duty.mark_token_spent(),
            PromotionError::Rejected => {
                self.lineages.restore(&group.name, previous_lineage);
                self.service.promotion_duty.mark_token_spent();
            }
            PromotionError::Refused(_) | PromotionError::NotSent(_) => {
                self.lineages.restore(&group.name, previous_lineage);
            }
        }
        sleep(RETRY_DELAY).await;
        false
    }

    async fn wait_until_primary(&self, group: &Rc<DatabaseGroup>, member: &str, token: u64) {
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
