//! Promotions in groups whose commits are acknowledged when a replica has received them: nothing that
//! was acknowledged is lost, and a promotion that ends halfway leaves no replica stopped.

mod support;

use std::rc::Rc;
use std::time::Duration;

use coriander_core::MonotonicTime;
use coriander_service::{BootClock, ServiceSettings, SessionService};
use coriander_service_api::{
    ControlSnapshot, DutyLease, MemberEntry, MemberRole, PromotionError, ReadFreshness,
};

use support::fake_promotion_api::{FakePromotionApi, start_promotions_with, wait_until};
use support::fake_store::FakeStore;
use support::{FakeGroup, GROUP, config, snapshot, start_with};

/// Time between two reads of the store.
const READ_INTERVAL: Duration = Duration::from_millis(900);

/// Time in which reads have shown the same entries when a test begins.
const KNOWN_FOR: Duration = Duration::from_millis(3_600);

/// Time in which a wrong promotion would have been requested.
const LONG: Duration = Duration::from_millis(700);

const TOKEN: u64 = 41;

/// A group with its promoter, the platform's call and the store.
struct Deployment {
    group: Rc<FakeGroup>,
    api: Rc<FakePromotionApi>,
    store: Rc<FakeStore>,
    service: Rc<SessionService>,
    sync_replicas: u32,
}

impl Deployment {
    async fn start(members: &[&str], sync_replicas: u32) -> Self {
        let group = FakeGroup::new(members);
        let address = ([127, 0, 0, 1], 0).into();
        let settings = ServiceSettings::new("instance-1", "berrechid", address);
        let service = start_with(&group, settings.with_platform_fences(true)).await;
        Self {
            api: FakePromotionApi::new(&group),
            store: FakeStore::new(TOKEN),
            group,
            service,
            sync_replicas,
        }
    }

    fn snapshot(&self, entries: &[MemberEntry]) -> ControlSnapshot {
        let mut config = config(1, ReadFreshness::Newest);
        for limits in config.groups.values_mut() {
            limits.sync_replicas = self.sync_replicas;
        }
        let mut snapshot = snapshot(config, entries.to_vec());
        snapshot.duty_lease = Some(DutyLease {
            holder: self.service.settings().process_id.clone(),
            address: None,
            token: self.store.token.get(),
        });
        snapshot
    }

    /// Applies reads of the store that have listed the members for some time.
    fn read(&self, entries: &[MemberEntry]) {
        self.read_until(entries, BootClock.now());
    }

    fn read_until(&self, entries: &[MemberEntry], end: MonotonicTime) {
        let snapshot = self.snapshot(entries);
        let mut at = end.saturating_sub(KNOWN_FOR);
        while at < end {
            self.service.apply_snapshot(&snapshot, at);
            at = at + READ_INTERVAL;
        }
        self.service.apply_snapshot(&snapshot, end);
        self.service.promotion_duty.record_renewal(BootClock.now());
    }

    /// Applies reads of the store in which a member has lost its entry and counts as gone.
    fn lose_entry(&self, name: &str) {
        let now = BootClock.now();
        self.read_until(&self.group.entries(), now.saturating_sub(KNOWN_FOR));
        let mut entries = self.group.entries();
        entries.retain(|entry| &*entry.id != name);
        self.read_until(&entries, now);
    }

    fn start_promotions(&self) {
        start_promotions_with(&self.service, &self.group, &self.api, &self.store);
    }

    /// Lets the primary fail for this instance; it may go on for others.
    fn fail_primary(&self) {
        let primary = self.service.groups()[0].primary(BootClock.now());
        let primary = primary.expect("a primary");
        self.group.member(&primary.id).reachable.set(false);
        primary.record_failure(BootClock.now());
    }

    /// Lets the primary reply to this instance again.
    fn restore_primary(&self, name: &str) {
        self.group.member(name).reachable.set(true);
        let member = self.service.find_member(GROUP, name).expect("a member");
        member.record_success(BootClock.now());
    }

    fn is_paused(&self, name: &str) -> bool {
        self.group.member(name).is_paused()
    }

    fn called_members(&self) -> Vec<String> {
        let calls = self.api.calls.borrow();
        calls.iter().map(|(member, _)| member.clone()).collect()
    }

    async fn wait_until_primary(&self, name: &str) {
        wait_until("new primary", || {
            self.group.member(name).role.get() == MemberRole::Primary
        })
        .await;
    }
}

#[ntex::test]
async fn commits_of_a_primary_that_is_cut_from_the_store_are_kept() {
    // Guards against a primary that goes on acknowledging commits while its successor, which does not
    // receive them, is being promoted.
    let deployment = Deployment::start(&["a", "b", "c"], 1).await;
    deployment.lose_entry("a");
    deployment.api.commits.set(true);
    deployment.api.deafens.set(true);
    assert!(deployment.group.commit(1));
    deployment.start_promotions();
    deployment.wait_until_primary("b").await;
    assert_eq!(deployment.group.lost_commits.get(), 0);
}

#[ntex::test]
async fn commits_of_a_leaving_primary_are_kept() {
    // Guards against the same loss in planned work, where the demotion followed the call.
    let deployment = Deployment::start(&["a", "b", "c"], 1).await;
    let mut entries = deployment.group.entries();
    entries[0].draining = true;
    deployment.read(&entries);
    deployment.api.commits.set(true);
    deployment.api.deafens.set(true);
    deployment.start_promotions();
    deployment.wait_until_primary("b").await;
    assert_eq!(deployment.group.lost_commits.get(), 0);
}

#[ntex::test]
async fn commits_of_a_primary_that_this_instance_does_not_reach_are_kept() {
    // Guards against a primary that only some instances reach: it cannot be demoted, so the replicas
    // have to stop receiving.
    let deployment = Deployment::start(&["a", "b", "c"], 1).await;
    deployment.read(&deployment.group.entries());
    deployment.api.commits.set(true);
    deployment.api.deafens.set(true);
    deployment.fail_primary();
    deployment.start_promotions();
    deployment.wait_until_primary("b").await;
    assert_eq!(deployment.group.lost_commits.get(), 0);
    assert!(!deployment.is_paused("b") && !deployment.is_paused("c"));
}

#[ntex::test]
async fn replica_is_promoted_without_a_pause_where_commits_are_not_synchronous() {
    // Availability: neither the old primary nor the other replica replies.
    let deployment = Deployment::start(&["a", "b", "c"], 0).await;
    deployment.read(&deployment.group.entries());
    deployment.group.member("c").reachable.set(false);
    deployment.fail_primary();
    deployment.start_promotions();
    wait_until("call", || !deployment.api.calls.borrow().is_empty()).await;
    assert!(!deployment.is_paused("b"));
    deployment.wait_until_primary("b").await;
}

#[ntex::test]
async fn primary_is_not_demoted_while_no_replica_has_its_commits() {
    // Guards against a group without a primary: the replica that replies lags, the other one may
    // hold the newest commit.
    let deployment = Deployment::start(&["a", "b", "c"], 1).await;
    let mut entries = deployment.group.entries();
    entries[0].draining = true;
    deployment.read(&entries);
    deployment.group.member("b").applied_index.set(7);
    deployment.group.member("c").reachable.set(false);
    deployment.start_promotions();
    tokio::time::sleep(LONG).await;
    assert_eq!(deployment.group.member("a").role.get(), MemberRole::Primary);
    assert!(deployment.api.calls.borrow().is_empty());
}

#[ntex::test]
async fn leaving_primary_is_replaced_while_a_replica_does_not_reply() {
    // The demoted primary has stated what it acknowledged, so the other replica is not needed.
    for members in [&["a", "b", "c"][..], &["a", "b", "c", "d", "e"][..]] {
        let deployment = Deployment::start(members, 1).await;
        let mut entries = deployment.group.entries();
        entries[0].draining = true;
        deployment.read(&entries);
        deployment.group.member("c").reachable.set(false);
        deployment.start_promotions();
        deployment.wait_until_primary("b").await;
    }
}

#[ntex::test]
async fn replica_without_an_entry_that_holds_the_newest_commit_is_promoted() {
    // Guards against a replica that is cut from the store and goes on acknowledging commits.
    let deployment = Deployment::start(&["a", "b", "c"], 1).await;
    deployment.lose_entry("c");
    deployment.group.member("b").receives.set(false);
    assert!(deployment.group.commit(1));
    deployment.fail_primary();
    deployment.start_promotions();
    deployment.wait_until_primary("c").await;
    assert_eq!(deployment.group.lost_commits.get(), 0);
}

#[ntex::test]
async fn failed_primary_is_replaced_by_its_only_replica() {
    let deployment = Deployment::start(&["a", "b"], 1).await;
    deployment.read(&deployment.group.entries());
    deployment.fail_primary();
    deployment.start_promotions();
    deployment.wait_until_primary("b").await;
}

#[ntex::test]
async fn failed_primary_of_four_replicas_is_replaced_when_enough_reply() {
    for (sync_replicas, is_replaced) in [(1, false), (2, true)] {
        let deployment = Deployment::start(&["a", "b", "c", "d", "e"], sync_replicas).await;
        deployment.read(&deployment.group.entries());
        deployment.group.member("e").reachable.set(false);
        deployment.fail_primary();
        deployment.start_promotions();
        tokio::time::sleep(LONG * 2).await;
        assert_eq!(!deployment.api.calls.borrow().is_empty(), is_replaced);
        // A primary that comes back must be able to commit where no promotion followed.
        assert!(is_replaced || !deployment.is_paused("b"));
    }
}

#[ntex::test]
async fn replicas_receive_again_when_the_primary_returns() {
    // Guards against replicas that stay stopped: the promotion was refused, and the primary, which
    // was unreachable for a moment, could acknowledge no commit.
    let deployment = Deployment::start(&["a", "b", "c"], 1).await;
    deployment.read(&deployment.group.entries());
    deployment.api.error.set(Some(PromotionError::Refused(503)));
    deployment.fail_primary();
    deployment.start_promotions();
    wait_until("call", || !deployment.api.calls.borrow().is_empty()).await;
    assert!(deployment.is_paused("b") && deployment.is_paused("c"));
    deployment.restore_primary("a");
    wait_until("end of the pause", || {
        !deployment.is_paused("b") && !deployment.is_paused("c")
    })
    .await;
    assert!(deployment.group.commit(1));
    assert_eq!(deployment.called_members(), ["b", "a"]);
}

#[ntex::test]
async fn replicas_stay_stopped_until_a_call_without_a_reply_is_fenced() {
    // Guards against a call that the platform executes late, after the primary has acknowledged
    // further commits.
    let deployment = Deployment::start(&["a", "b", "c"], 1).await;
    deployment.read(&deployment.group.entries());
    let error = PromotionError::NoResponse("lost".to_owned());
    deployment.api.error.set(Some(error));
    deployment.fail_primary();
    deployment.start_promotions();
    wait_until("call", || !deployment.api.calls.borrow().is_empty()).await;
    deployment.restore_primary("a");
    tokio::time::sleep(LONG).await;
    assert!(deployment.is_paused("b") && deployment.is_paused("c"));
    deployment.store.token.set(TOKEN + 1);
    deployment.service.promotion_duty.record_acquired(TOKEN + 1);
    deployment
        .service
        .promotion_duty
        .record_renewal(BootClock.now());
    wait_until("end of the pause", || {
        !deployment.is_paused("b") && !deployment.is_paused("c")
    })
    .await;
    let calls = deployment.api.calls.borrow();
    assert_eq!(
        calls[..],
        [("b".to_owned(), TOKEN), ("a".to_owned(), TOKEN + 1)]
    );
}

#[ntex::test]
async fn next_holder_of_the_duty_lets_stopped_replicas_receive_again() {
    // Guards against a promoter that stops between the pause and the call.
    let deployment = Deployment::start(&["a", "b", "c"], 1).await;
    for name in ["b", "c"] {
        deployment.group.member(name).paused_term.set(2);
    }
    deployment.read(&deployment.group.entries());
    deployment.start_promotions();
    wait_until("end of the pause", || {
        !deployment.is_paused("b") && !deployment.is_paused("c")
    })
    .await;
    assert_eq!(deployment.called_members(), ["a"]);
    assert!(deployment.group.commit(1));
}

#[ntex::test]
async fn stopped_replicas_get_a_primary_when_none_replies() {
    // Guards against a pause without an end: the promoter alone does not reach the primary, so no
    // cause for a promotion is left, and the primary can acknowledge nothing.
    let deployment = Deployment::start(&["a", "b", "c"], 1).await;
    for name in ["b", "c"] {
        deployment.group.member(name).paused_term.set(2);
    }
    deployment.group.member("a").reachable.set(false);
    deployment.read(&deployment.group.entries());
    deployment.start_promotions();
    deployment.wait_until_primary("b").await;
    assert!(!deployment.is_paused("c"));
}

#[ntex::test]
async fn next_holder_of_the_duty_promotes_a_member_after_a_demotion_without_a_call() {
    // Guards against a promoter that stops between the demotion and the call.
    let deployment = Deployment::start(&["a", "b", "c"], 1).await;
    assert!(deployment.group.commit(1));
    deployment.group.member("a").role.set(MemberRole::Replica);
    deployment.group.member("b").receives.set(false);
    deployment.group.member("b").applied_index.set(7);
    deployment.read(&deployment.group.entries());
    deployment.start_promotions();
    wait_until("call", || !deployment.api.calls.borrow().is_empty()).await;
    assert_ne!(deployment.called_members()[0], "b");
    wait_until("primary", || {
        let members = deployment.group.members.borrow();
        let mut members = members.values();
        members.any(|member| member.role.get() == MemberRole::Primary)
    })
    .await;
    assert_eq!(deployment.group.lost_commits.get(), 0);
}

#[ntex::test]
async fn calm_group_is_asked_once_and_gets_no_call() {
    // The check for interrupted promotions must cost a group without one nothing but one query.
    let deployment = Deployment::start(&["a", "b", "c"], 1).await;
    deployment.read(&deployment.group.entries());
    deployment.start_promotions();
    tokio::time::sleep(LONG * 3).await;
    assert!(deployment.api.calls.borrow().is_empty());
    let opened = deployment.group.member("b").opened_connections.get();
    assert_eq!(opened, 1);
}
