//! Promotions: the promoted member, the fencing token, and the use of the old primary.

mod support;

use std::rc::Rc;
use std::time::Duration;

use coriander_core::{LogPosition, TermNumber};
use coriander_service::{BootClock, PromotionTask, SessionService};
use coriander_service_api::{
    ControlStore, DesignatedPrimary, DutyLease, FailureCode, LineageRecord, MemberRole,
    PromotionError, ReadFreshness, TermOrigin,
};

use support::fake_promotion_api::{
    FakePromotionApi, hold_promotion_duty, start_promotions, start_promotions_with, wait_until,
};
use support::fake_store::FakeStore;
use support::{FakeGroup, GROUP, apply, code, config, open, run, snapshot, start};

fn set_platform_fences(service: &SessionService, fences: bool) {
    let mut settings = (*service.settings()).clone();
    settings.platform_fences = fences;
    service.apply_settings(&settings);
}

/// Starts a service for a group on a platform that does not fence a former primary.
async fn start_unfenced() -> (Rc<FakeGroup>, Rc<SessionService>) {
    let group = FakeGroup::new(&["a", "b"]);
    let service = start(&group, ReadFreshness::Newest).await;
    set_platform_fences(&service, false);
    (group, service)
}

#[ntex::test]
async fn failed_primary_is_replaced_by_the_replica_that_received_most() {
    let group = FakeGroup::new(&["a", "b", "c"]);
    let service = start(&group, ReadFreshness::Newest).await;
    let api = FakePromotionApi::new(&group);
    hold_promotion_duty(&service, &group, 41);
    group.member("b").applied_index.set(7);
    group.member("c").applied_index.set(9);
    let mut session = open(&service).await;
    run(&mut session, "q1", "READ 1").await;
    group.member("a").reachable.set(false);
    start_promotions(&service, &group, &api);
    run(&mut session, "q2", "READ 1").await;
    wait_until("promotion", || !api.calls.borrow().is_empty()).await;
    assert_eq!(api.calls.borrow()[0], ("c".to_owned(), 41));
    let is_primary = || {
        let primary = service.groups()[0].primary(service.clock.now());
        primary.is_some_and(|primary| &*primary.id == "c")
    };
    wait_until("record of the new primary", is_primary).await;
    let response = run(&mut session, "q3", "READ 1").await;
    assert!(response.result.is_ok(), "{response:?}");
}

#[ntex::test]
async fn instance_without_the_promotion_duty_promotes_no_member() {
    let group = FakeGroup::new(&["a", "b"]);
    let service = start(&group, ReadFreshness::Newest).await;
    let api = FakePromotionApi::new(&group);
    start_promotions(&service, &group, &api);
    group.member("a").reachable.set(false);
    let mut session = open(&service).await;
    run(&mut session, "q1", "READ 1").await;
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert!(api.calls.borrow().is_empty());
}

#[ntex::test]
async fn leaving_primary_is_demoted_before_its_successor_is_primary() {
    // Otherwise commits that the old primary acknowledges after the promotion call are lost.
    let group = FakeGroup::new(&["a", "b"]);
    let service = start(&group, ReadFreshness::Newest).await;
    let api = FakePromotionApi::new(&group);
    let mut entries = group.entries();
    entries[0].draining = true;
    let mut snapshot = snapshot(config(1, ReadFreshness::Newest), entries);
    snapshot.duty_lease = Some(DutyLease {
        holder: service.settings().process_id.clone(),
        address: None,
        token: 12,
    });
    service.apply_snapshot(&snapshot, BootClock.now());
    service.promotion_duty.record_renewal(BootClock.now());
    start_promotions_with(&service, &group, &api, &FakeStore::new(12));
    wait_until("promotion", || !api.calls.borrow().is_empty()).await;
    let is_demoted = || group.member("a").role.get() == MemberRole::Replica;
    wait_until("demotion of the old primary", is_demoted).await;
    wait_until("role change of the successor", || {
        group.member("b").role.get() == MemberRole::Primary
    })
    .await;
}

#[ntex::test]
async fn rejected_token_is_not_used_again() {
    // Another instance has promoted a member with a newer token; its choice must stand until this
    // instance has a new token.
    let group = FakeGroup::new(&["a", "b"]);
    let service = start(&group, ReadFreshness::Newest).await;
    let api = FakePromotionApi::new(&group);
    hold_promotion_duty(&service, &group, 41);
    api.error.set(Some(PromotionError::Rejected));
    group.member("a").reachable.set(false);
    start_promotions(&service, &group, &api);
    let mut session = open(&service).await;
    run(&mut session, "q1", "READ 1").await;
    wait_until("promotion", || !api.calls.borrow().is_empty()).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(api.calls.borrow().len(), 1);
    assert_eq!(service.promotion_duty.token(), None);
    assert_eq!(service.promotion_duty.spent_token(), Some(41));
}

/// Checks that a lease that has ended by the clock of its holder is not used.
async fn check_expired_lease(platform_fences: bool) {
    let group = FakeGroup::new(&["a", "b"]);
    let service = start(&group, ReadFreshness::Newest).await;
    let api = FakePromotionApi::new(&group);
    hold_promotion_duty(&service, &group, 41);
    set_platform_fences(&service, platform_fences);
    let long_ago = BootClock.now().saturating_sub(Duration::from_secs(4));
    service.promotion_duty.record_renewal(long_ago);
    group.member("a").reachable.set(false);
    start_promotions(&service, &group, &api);
    let mut session = open(&service).await;
    run(&mut session, "q1", "READ 1").await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(api.calls.borrow().is_empty());
    set_platform_fences(&service, true);
    service.promotion_duty.record_renewal(BootClock.now());
    wait_until("promotion", || !api.calls.borrow().is_empty()).await;
}

#[ntex::test]
async fn expired_lease_is_not_used_without_platform_fencing() {
    // Another instance may hold the duty after the lease has expired, and no platform check would
    // reject the older token.
    check_expired_lease(false).await;
}

#[ntex::test]
async fn expired_lease_is_not_used_with_platform_fencing() {
    // Guards against a former holder that promotes before the new one has used its token; until
    // then the platform accepts the older token.
    check_expired_lease(true).await;
}

/// Plays a promotion of `b` that is cut off when it becomes primary, after which only the deposed
/// primary `a` replies, and returns the members that were promoted. `listed` are the members that
/// still have an entry in the store.
async fn promoted_after_cut(listed: &[&str]) -> Vec<String> {
    let group = FakeGroup::new(&["a", "b", "c"]);
    let service = start(&group, ReadFreshness::Newest).await;
    let api = FakePromotionApi::new(&group);
    api.cuts_off.set(true);
    hold_promotion_duty(&service, &group, 41);
    group.member("b").applied_index.set(8);
    let mut session = open(&service).await;
    run(&mut session, "q1", "READ 1").await;
    group.member("a").reachable.set(false);
    group.member("c").reachable.set(false);
    start_promotions(&service, &group, &api);
    run(&mut session, "q2", "READ 1").await;
    wait_until("promotion", || !api.calls.borrow().is_empty()).await;
    wait_until("cut", || !group.member("b").reachable.get()).await;
    group.member("a").role.set(MemberRole::Replica);
    group.member("a").reachable.set(true);
    let mut entries = group.entries();
    entries.retain(|entry| listed.contains(&&*entry.id));
    for _ in 0..10 {
        service.promotion_duty.record_renewal(BootClock.now());
        apply(&service, config(1, ReadFreshness::Newest), entries.clone());
        run(&mut session, "q3", "READ 1").await;
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let calls = api.calls.borrow();
    calls.iter().map(|(member, _)| member.clone()).collect()
}

#[ntex::test]
async fn deposed_primary_is_not_promoted_while_its_successor_is_cut_off() {
    // Guards against two primaries in turn: the successor has commits that the old primary lacks.
    let promoted = promoted_after_cut(&["a", "b", "c"]).await;
    assert!(promoted.iter().all(|member| member == "b"), "{promoted:?}");
}

#[ntex::test]
async fn deposed_primary_is_not_promoted_when_its_successor_loses_its_entry() {
    // Guards against a cut that outlasts the entries in the store: the successor still has its log.
    let promoted = promoted_after_cut(&["a"]).await;
    assert!(promoted.iter().all(|member| member == "b"), "{promoted:?}");
}

#[ntex::test]
async fn unfenced_primary_is_not_used_without_a_recent_read() {
    // A primary that is cut off together with this instance continues to acknowledge writes.
    let (group, service) = start_unfenced().await;
    let mut session = open(&service).await;
    let response = run(&mut session, "q1", "WRITE 1 x").await;
    assert!(response.result.is_ok(), "{response:?}");
    tokio::time::sleep(Duration::from_millis(2_100)).await;
    let response = run(&mut session, "q2", "WRITE 1 x").await;
    assert_eq!(code(&response), Some(FailureCode::Busy));
    assert_eq!(group.ran_texts(), ["a WRITE 1 x"]);
}

#[ntex::test]
async fn open_transaction_is_aborted_when_the_primary_is_unconfirmed() {
    let (group, service) = start_unfenced().await;
    let mut session = open(&service).await;
    run(&mut session, "q1", "BEGIN").await;
    run(&mut session, "q2", "WRITE 1 x").await;
    tokio::time::sleep(Duration::from_millis(2_100)).await;
    let response = run(&mut session, "q3", "COMMIT").await;
    assert_eq!(code(&response), Some(FailureCode::Aborted));
    assert_eq!(group.ran_texts(), ["a WRITE 1 x"]);
}

#[ntex::test]
async fn member_that_is_not_designated_is_not_used_as_primary() {
    let (group, service) = start_unfenced().await;
    let mut snapshot = snapshot(config(2, ReadFreshness::Newest), group.entries());
    snapshot.primaries = vec![DesignatedPrimary {
        group: GROUP.into(),
        member: "b".into(),
    }];
    service.apply_snapshot(&snapshot, BootClock.now());
    let mut session = open(&service).await;
    let response = run(&mut session, "q1", "WRITE 1 x").await;
    assert_eq!(code(&response), Some(FailureCode::Busy));
    assert!(group.ran_texts().is_empty());
}

#[ntex::test]
async fn unfenced_primary_is_replaced_after_all_instances_stop_using_it() {
    let (group, service) = start_unfenced().await;
    let (api, store) = (FakePromotionApi::new(&group), FakeStore::new(41));
    hold_promotion_duty(&service, &group, 41);
    let mut session = open(&service).await;
    run(&mut session, "q1", "READ 1").await;
    group.member("a").reachable.set(false);
    start_promotions_with(&service, &group, &api, &store);
    run(&mut session, "q2", "READ 1").await;
    wait_until("designation", || !store.primaries.borrow().is_empty()).await;
    assert_eq!(&*store.primaries.borrow()[0].member, "b");
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    assert!(
        api.calls.borrow().is_empty(),
        "another instance may still use the old primary"
    );
    service.promotion_duty.record_renewal(BootClock.now());
    wait_until("promotion", || !api.calls.borrow().is_empty()).await;
    assert_eq!(api.calls.borrow()[0], ("b".to_owned(), 41));
}

#[ntex::test]
async fn member_is_not_promoted_when_its_designation_is_refused() {
    // The token is outdated, so another instance may have designated another member.
    let (group, service) = start_unfenced().await;
    let (api, store) = (FakePromotionApi::new(&group), FakeStore::new(42));
    hold_promotion_duty(&service, &group, 41);
    let mut session = open(&service).await;
    run(&mut session, "q1", "READ 1").await;
    group.member("a").reachable.set(false);
    start_promotions_with(&service, &group, &api, &store);
    run(&mut session, "q2", "READ 1").await;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    assert!(api.calls.borrow().is_empty());
}

/// Starts the replacement of a failed primary `a`, with `b` as the only successor.
async fn start_failover(store: &Rc<FakeStore>) -> (Rc<SessionService>, Rc<FakePromotionApi>) {
    let group = FakeGroup::new(&["a", "b"]);
    let service = start(&group, ReadFreshness::Newest).await;
    let api = FakePromotionApi::new(&group);
    hold_promotion_duty(&service, &group, 41);
    let mut session = open(&service).await;
    run(&mut session, "q1", "READ 1").await;
    group.member("a").reachable.set(false);
    start_promotions_with(&service, &group, &api, store);
    run(&mut session, "q2", "READ 1").await;
    (service, api)
}

#[ntex::test]
async fn promotion_is_recorded_before_and_after_it_takes_effect() {
    // Guards against a promotion of which the next holder of the duty knows nothing.
    let store = FakeStore::new(41);
    let (_service, api) = start_failover(&store).await;
    let origin = || {
        let lineages = store.lineages.borrow();
        lineages.get(GROUP).map(|record| record.origins[0].clone())
    };
    wait_until("call", || !api.calls.borrow().is_empty()).await;
    let attempt = origin().expect("recorded before the call");
    assert_eq!((&*attempt.member, attempt.is_certain), ("b", false));
    assert_eq!(attempt.parent.to_string(), "1.10");
    wait_until("effect", || {
        origin().is_some_and(|origin| origin.is_certain)
    })
    .await;
    assert_eq!(origin().map(|origin| origin.term.get()), Some(2));
}

#[ntex::test]
async fn promotion_is_not_requested_without_its_record() {
    // Guards against a promotion by an instance that has lost the store, and with it the duty.
    let store = FakeStore::new(41);
    store.is_silent.set(true);
    let (service, api) = start_failover(&store).await;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    assert!(api.calls.borrow().is_empty());
    store.is_silent.set(false);
    service.promotion_duty.record_renewal(BootClock.now());
    wait_until("promotion", || !api.calls.borrow().is_empty()).await;
}

#[ntex::test]
async fn token_of_a_call_without_reply_is_not_used_again() {
    // Guards against a call that is executed late, after the next one: with the same token the
    // platform accepts both.
    let store = FakeStore::new(41);
    let group = FakeGroup::new(&["a", "b"]);
    let service = start(&group, ReadFreshness::Newest).await;
    let api = FakePromotionApi::new(&group);
    hold_promotion_duty(&service, &group, 41);
    api.error
        .set(Some(PromotionError::NoResponse("lost".to_owned())));
    let mut session = open(&service).await;
    run(&mut session, "q1", "READ 1").await;
    group.member("a").reachable.set(false);
    start_promotions_with(&service, &group, &api, &store);
    run(&mut session, "q2", "READ 1").await;
    wait_until("call", || !api.calls.borrow().is_empty()).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(api.calls.borrow().len(), 1);
    assert_eq!(service.promotion_duty.spent_token(), Some(41));
}

#[ntex::test]
async fn wait_for_a_whole_log_starts_anew_with_each_outage() {
    // Guards against an earlier outage, such as the time before the first members were listed, that
    // counts as the wait for a whole log.
    let group = FakeGroup::new(&["a", "b"]);
    let service = start(&group, ReadFreshness::Newest).await;
    let (api, store) = (FakePromotionApi::new(&group), FakeStore::new(41));
    let origin = TermOrigin {
        member: "c".into(),
        term: TermNumber::new(2),
        previous_term: TermNumber::new(1),
        parent: LogPosition::new(TermNumber::new(1), 5),
        is_certain: false,
    };
    let record = LineageRecord {
        group: GROUP.into(),
        origins: vec![origin],
        revision: 0,
    };
    store.write_lineage(&record, 41).await.expect("written");
    hold_promotion_duty(&service, &group, 41);
    let waits = PromotionTask::new(service.clone(), group.clone(), store.clone(), api.clone());
    ntex::rt::spawn(waits.clone().run());
    let mut session = open(&service).await;
    run(&mut session, "q1", "READ 1").await;
    group.member("a").reachable.set(false);
    run(&mut session, "q2", "READ 1").await;
    wait_until("wait", || waits.is_waiting_for_whole_log(GROUP)).await;
    group.member("a").reachable.set(true);
    service.promotion_duty.record_renewal(BootClock.now());
    wait_until("end", || !waits.is_waiting_for_whole_log(GROUP)).await;
    assert!(api.calls.borrow().is_empty());
}
