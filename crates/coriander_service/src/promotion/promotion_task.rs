//! Monitors the primaries of all groups and has them replaced while this process holds the promotion
//! duty.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use coriander_core::MonotonicTime;
use coriander_service_api::{ControlStore, MemberConnector, PromotionApi};
use tokio::time::sleep;

use crate::fleet::peer_messages::{OutageReport, PeerMessage};
use crate::members::database_group::DatabaseGroup;
use crate::members::member::{ENTRY_RETURN_TIME, Member};
use crate::promotion::primary_replacement::PrimaryReplacement;
use crate::promotion::promotion_cause::{PrimaryObservation, PromotionCause};
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

/// Monitors the primaries of all groups and replaces those that fail or leave.
pub struct PromotionTask {
    service: Rc<SessionService>,
    connector: Rc<dyn MemberConnector>,
    replacement: PrimaryReplacement,
    /// Groups with a promotion in progress.
    promoting_groups: RefCell<HashSet<Arc<str>>>,
    no_primary_since: RefCell<HashMap<Arc<str>, MonotonicTime>>,
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
            replacement: PrimaryReplacement::new(
                service.clone(),
                connector.clone(),
                store,
                promotion_api,
            ),
            service,
            connector,
            promoting_groups: RefCell::default(),
            no_primary_since: RefCell::default(),
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
        let cause = observation.and_then(PrimaryObservation::promotion_cause);
        if cause.is_none() {
            self.replacement.logs.end_wait(&group.name);
        }
        let interrupted = &self.replacement.interrupted;
        let is_check_due = token.is_some() && interrupted.is_check_due(group, now);
        let check = is_check_due.then_some(PromotionCause::Interrupted);
        let Some(cause) = cause.or(check) else {
            return;
        };
        self.promoting_groups
            .borrow_mut()
            .insert(group.name.clone());
        let (task, group) = (self.clone(), group.clone());
        ntex::rt::spawn(async move {
            let replacement = &task.replacement;
            replacement.run(&group, primary.as_ref(), cause).await;
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

    /// Returns whether the group waits for a member with a whole log.
    pub fn is_waiting_for_whole_log(&self, group: &str) -> bool {
        self.replacement.logs.is_waiting_for_whole_log(group)
    }
}
