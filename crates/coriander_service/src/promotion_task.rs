//! Carries out promotions while this process holds the duty.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use coriander_core::{LogPosition, MonotonicTime};
use coriander_service_api::{
    ControlStore, DesignatedPrimary, MemberConnector, MemberRole, PromotionApi, PromotionError,
    TermStart,
};
use tokio::time::sleep;

use crate::database_group::DatabaseGroup;
use crate::member::Member;
use crate::member_inquiry::MemberInquiry;
use crate::peer_messages::{LeaderNotice, OutageNotice, PeerMessage};
use crate::primary_proof::HAND_OVER_TIME;
use crate::promotion_need::{
    LeaderObservation, PromotionCandidate, PromotionNeed, SuccessorRule, choose_successor,
};
use crate::service::SessionService;

/// Time between two looks at all groups.
const WATCH_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two notices about the same outage.
const NOTICE_INTERVAL: Duration = Duration::from_millis(200);

/// Silence of a member with waiting statements after which its machine is probed.
const SILENCE_LIMIT: Duration = Duration::from_millis(200);

/// Longest time for a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Longest wait for a promoted member to lead.
const EFFECT_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Pause between two looks at a member that is being promoted.
const EFFECT_PAUSE: Duration = Duration::from_millis(30);

/// Pause after a failed promotion.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Watches the primaries of all groups and replaces them.
pub struct PromotionTask {
    service: Rc<SessionService>,
    connector: Rc<dyn MemberConnector>,
    inquiry: MemberInquiry,
    store: Rc<dyn ControlStore>,
    api: Rc<dyn PromotionApi>,
    /// Groups with a promotion in progress.
    busy: RefCell<HashSet<Arc<str>>>,
    leaderless: RefCell<HashMap<Arc<str>, MonotonicTime>>,
    noticed: RefCell<HashMap<Arc<str>, MonotonicTime>>,
    probing: RefCell<HashSet<Arc<str>>>,
}

impl PromotionTask {
    /// Creates the task.
    pub fn new(
        service: Rc<SessionService>,
        connector: Rc<dyn MemberConnector>,
        store: Rc<dyn ControlStore>,
        api: Rc<dyn PromotionApi>,
    ) -> Rc<Self> {
        Rc::new(Self {
            service,
            inquiry: MemberInquiry::new(connector.clone()),
            connector,
            store,
            api,
            busy: RefCell::default(),
            leaderless: RefCell::default(),
            noticed: RefCell::default(),
            probing: RefCell::default(),
        })
    }

    /// Runs until the process ends.
    pub async fn run(self: Rc<Self>) {
        loop {
            sleep(WATCH_INTERVAL).await;
            for group in self.service.groups() {
                self.watch(&group);
            }
        }
    }

    fn watch(self: &Rc<Self>, group: &Rc<DatabaseGroup>) {
        let now = self.service.clock.now();
        for member in group.members() {
            self.probe_if_silent(&member, now);
            member.pool.close_surplus();
        }
        let leader = group.leader(now);
        if let Some(leader) = &leader {
            self.report_outage(group, leader, now);
        }
        if self.service.promotion_token().is_none() || self.busy.borrow().contains(&group.name) {
            return;
        }
        let Some(need) = self.observe(group, leader.as_ref(), now).need() else {
            return;
        };
        self.busy.borrow_mut().insert(group.name.clone());
        let (task, group) = (self.clone(), group.clone());
        ntex::rt::spawn(async move {
            task.replace_leader(&group, leader.as_ref(), need).await;
            task.busy.borrow_mut().remove(&group.name);
        });
    }

    /// Probes the machine of a member that leaves statements unanswered, or that has failed.
    fn probe_if_silent(self: &Rc<Self>, member: &Rc<Member>, now: MonotonicTime) {
        let silent = member.silent_for(now) >= SILENCE_LIMIT;
        let failing = member.failing_for(now).is_some();
        if !(silent || failing) || !self.probing.borrow_mut().insert(member.id.clone()) {
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
                        log::info!(member = &*member.id, error:% = error; "member does not answer");
                    }
                    member.record_failure(now);
                }
            }
            sleep(WATCH_INTERVAL).await;
            task.probing.borrow_mut().remove(&member.id);
        });
    }

    /// Tells the instance that promotes that a primary does not answer here.
    fn report_outage(&self, group: &DatabaseGroup, leader: &Member, now: MonotonicTime) {
        let Some(holder) = self.service.duty.other_holder() else {
            return;
        };
        let failing = leader.failing_for(now).is_some();
        let mut noticed = self.noticed.borrow_mut();
        let last = noticed.get(&group.name).copied();
        if !failing {
            if last.is_none() {
                return;
            }
            noticed.remove(&group.name);
        } else if last.is_some_and(|at| now.since(at) < NOTICE_INTERVAL) {
            return;
        } else {
            noticed.insert(group.name.clone(), now);
        }
        let notice = OutageNotice {
            group: group.name.to_string(),
            member: leader.id.to_string(),
            failing,
        };
        let message = PeerMessage::Outage(notice);
        self.service.peers.send(holder, &message);
    }

    fn observe(
        &self,
        group: &DatabaseGroup,
        leader: Option<&Rc<Member>>,
        now: MonotonicTime,
    ) -> LeaderObservation {
        let mut leaderless = self.leaderless.borrow_mut();
        let Some(leader) = leader else {
            let since = *leaderless.entry(group.name.clone()).or_insert(now);
            return LeaderObservation::default().with_no_leader(now.since(since));
        };
        leaderless.remove(&group.name);
        let duty = &self.service.duty;
        let reports = duty.outage_reports(&group.name, &leader.id, now);
        LeaderObservation::default()
            .with_failing(leader.failing_for(now).unwrap_or_default())
            .with_reports(reports, self.service.peers.peers().len())
            .with_missing(leader.is_missing())
            .with_leaving(leader.is_leaving())
    }

    async fn replace_leader(
        &self,
        group: &Rc<DatabaseGroup>,
        leader: Option<&Rc<Member>>,
        need: PromotionNeed,
    ) {
        let Some(token) = self.service.promotion_token() else {
            return;
        };
        let candidates = self.inquiry.candidates(group, leader).await;
        let rule = self.successor_rule(group, leader, candidates.len());
        let Some(successor) = choose_successor(&candidates, rule) else {
            log::info!(
                group = &*group.name, need = need.label(), candidates = candidates.len(),
                replicas = rule.replicas, synchronous = rule.synchronous;
                "no member may be promoted yet"
            );
            sleep(RETRY_PAUSE).await;
            return;
        };
        log::info!(
            group = &*group.name, need = need.label(),
            old = leader.map_or("-", |leader| &*leader.id), successor = &*successor.member,
            received:% = successor.received, candidates = candidates.len(),
            replicas = rule.replicas, synchronous = rule.synchronous, token = token;
            "promoting a member"
        );
        let stops_itself = self.service.settings().platform_fences;
        if !stops_itself && !self.hand_over(group, leader, successor, token).await {
            sleep(RETRY_PAUSE).await;
            return;
        }
        if self.promote(group, successor, token).await {
            if stops_itself
                && need.is_planned()
                && let Some(leader) = leader
            {
                // All that the old primary has acknowledged reaches its successor before the
                // promotion takes effect.
                self.inquiry.stop_leader(group, leader).await;
            }
            self.await_effect(group, &successor.member, token).await;
        }
    }

    /// Returns what a successor must prove.
    fn successor_rule(
        &self,
        group: &DatabaseGroup,
        leader: Option<&Rc<Member>>,
        answered: usize,
    ) -> SuccessorRule {
        let config = self.service.view.config();
        let limits = config
            .as_ref()
            .and_then(|config| config.groups.get(&group.name));
        let synchronous = limits.map_or(0, |limits| limits.sync_replicas);
        let members = group.members();
        let is_replica = |member: &&Rc<Member>| leader.is_none_or(|leader| leader.id != member.id);
        let present = members.iter().filter(|member| !member.is_missing());
        SuccessorRule {
            replicas: members.iter().filter(is_replica).count(),
            synchronous: usize::try_from(synchronous).unwrap_or(usize::MAX),
            lineage: group.lineage(),
            only_choice: present.count() <= answered,
        }
    }

    /// Makes sure that no instance uses the old primary any more, on a platform that lets a
    /// former primary keep its lead. Returns whether the successor may be promoted.
    async fn hand_over(
        &self,
        group: &DatabaseGroup,
        leader: Option<&Rc<Member>>,
        successor: &PromotionCandidate,
        token: u64,
    ) -> bool {
        let primary = DesignatedPrimary {
            group: group.name.clone(),
            member: successor.member.clone(),
        };
        if let Err(error) = self.store.designate_primary(&primary, token).await {
            log::warn!(
                group = &*group.name, successor = &*successor.member, token = token,
                error:% = error;
                "successor could not be designated"
            );
            return false;
        }
        group.set_designated(Some(successor.member.clone()));
        let stopped = match leader {
            Some(leader) => self.inquiry.stop_leader(group, leader).await,
            None => false,
        };
        if !stopped {
            sleep(HAND_OVER_TIME).await;
        }
        // The lease may have ended meanwhile.
        self.service.promotion_token() == Some(token)
    }

    /// Calls the platform. Returns whether it has accepted the promotion.
    async fn promote(
        &self,
        group: &DatabaseGroup,
        successor: &PromotionCandidate,
        token: u64,
    ) -> bool {
        let holder = self.service.settings().name.clone();
        let called = self
            .api
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
        if error == PromotionError::Rejected {
            self.service.duty.want_new_token();
        }
        sleep(RETRY_PAUSE).await;
        false
    }

    async fn await_effect(&self, group: &Rc<DatabaseGroup>, member: &str, token: u64) {
        let started = self.service.clock.now();
        let Some(member) = group.member(member) else {
            return;
        };
        while self.service.clock.now().since(started) < EFFECT_TIMEOUT {
            let status = self.inquiry.status(group, &member).await;
            if let Some(status) = status.filter(|status| status.role == MemberRole::Primary) {
                let took = self.service.clock.now().since(started);
                // Without a commit of its own the member still reports the previous term.
                let position = LogPosition::new(status.term, status.received.index);
                self.announce_leader(group, &member, position, token, took)
                    .await;
                return;
            }
            sleep(EFFECT_PAUSE).await;
        }
        log::warn!(
            group = &*group.name, member = &*member.id, token = token,
            waited_ms = EFFECT_TIMEOUT.as_millis() as u64;
            "promoted member does not lead"
        );
    }

    async fn announce_leader(
        &self,
        group: &DatabaseGroup,
        member: &Member,
        position: LogPosition,
        token: u64,
        took: Duration,
    ) {
        log::info!(
            group = &*group.name, member = &*member.id, token = token,
            position:% = position, took_ms = took.as_millis() as u64;
            "promoted member leads"
        );
        let metrics = &self.service.metrics;
        metrics.count_promotion(&group.name, "leads");
        metrics.record_promotion(took);
        group.observe_lineage(position);
        group.leader_reported(&member.id, token);
        let notice = LeaderNotice {
            group: group.name.to_string(),
            member: member.id.to_string(),
            token,
            position,
        };
        self.service.peers.send_all(&PeerMessage::Leader(notice));
        let start = TermStart {
            group: group.name.clone(),
            position,
        };
        if let Err(error) = self.store.record_term_start(&start, token).await {
            // The other instances have heard it; only one that starts later may not know it.
            log::warn!(
                group = &*group.name, position:% = position, token = token,
                error:% = error;
                "start of a term could not be stored"
            );
        }
    }
}
