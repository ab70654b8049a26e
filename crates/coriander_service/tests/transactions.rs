//! Transactions: one connection, no writes without a COMMIT, and correct responses after failures.

mod support;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use coriander_service::{BootClock, SessionService};
use coriander_service_api::{
    ClientAccount, ClientSession, FailureCode, FailureReason, FleetConfig, MemberRole,
    ReadFreshness, TransactionStatus,
};

use support::{FakeGroup, Fault, KEY, apply, code, config, open, run, snapshot, start};

const BOUNDED: ReadFreshness = ReadFreshness::Bounded {
    max_age: Duration::from_millis(1_500),
};

#[ntex::test]
async fn transaction_runs_all_statements_on_one_connection() {
    let group = FakeGroup::new(&["a", "b"]);
    let service = start(&group, ReadFreshness::Newest).await;
    let mut session = open(&service).await;
    run(&mut session, "b", "BEGIN").await;
    run(&mut session, "q1", "READ 1").await;
    run(&mut session, "q2", "WRITE 1 x").await;
    let response = run(&mut session, "q3", "COMMIT").await;
    assert_eq!(response.result, Ok(Some("signed-q3".into())));
    assert_eq!(response.transaction, TransactionStatus::Idle);
    let ran = group.ran_statements.borrow();
    assert!(ran[0].in_transaction && ran[1].in_transaction);
    assert_eq!(group.member("a").opened_connections.get(), 1);
}

#[ntex::test]
async fn transactions_of_two_sessions_use_two_connections() {
    let group = FakeGroup::new(&["a"]);
    let service = start(&group, ReadFreshness::Newest).await;
    let mut first = open(&service).await;
    let mut second = open(&service).await;
    for session in [&mut first, &mut second] {
        run(session, "b", "BEGIN").await;
        run(session, "w", "WRITE 1 x").await;
    }
    assert_eq!(group.member("a").open_connections.get(), 2);
}

#[ntex::test]
async fn empty_transaction_gets_the_signature_of_a_member() {
    let group = FakeGroup::new(&["a"]);
    let service = start(&group, ReadFreshness::Newest).await;
    let mut session = open(&service).await;
    run(&mut session, "b", "BEGIN").await;
    let response = run(&mut session, "c", "COMMIT").await;
    assert_eq!(response.result, Ok(Some("signed-c".into())));
}

#[ntex::test]
async fn commit_is_in_doubt_when_its_reply_is_lost() {
    let group = FakeGroup::new(&["a"]);
    let service = start(&group, ReadFreshness::Newest).await;
    let mut session = open(&service).await;
    run(&mut session, "b", "BEGIN").await;
    run(&mut session, "w", "WRITE 1 x").await;
    group.add_fault("a", "COMMIT", Fault::LoseReply);
    let response = run(&mut session, "c", "COMMIT").await;
    assert_eq!(code(&response), Some(FailureCode::InDoubt));
}

#[ntex::test]
async fn commit_without_writes_is_aborted_when_its_reply_is_lost() {
    // Nothing was written, so the transaction is aborted and the caller may retry.
    let group = FakeGroup::new(&["a"]);
    let service = start(&group, ReadFreshness::Newest).await;
    let mut session = open(&service).await;
    run(&mut session, "b", "BEGIN").await;
    run(&mut session, "r", "READ 1").await;
    group.add_fault("a", "COMMIT", Fault::LoseReply);
    let response = run(&mut session, "c", "COMMIT").await;
    assert_eq!(code(&response), Some(FailureCode::Aborted));
}

#[ntex::test]
async fn statement_without_a_reply_aborts_the_transaction() {
    let group = FakeGroup::new(&["a"]);
    let service = start(&group, ReadFreshness::Newest).await;
    let mut session = open(&service).await;
    run(&mut session, "b", "BEGIN").await;
    run(&mut session, "w", "WRITE 1 x").await;
    group.add_fault("a", "WRITE", Fault::LoseReply);
    let response = run(&mut session, "w2", "WRITE 2 y").await;
    assert_eq!(code(&response), Some(FailureCode::Aborted));
    assert_eq!(response.transaction, TransactionStatus::Failed);
    let response = run(&mut session, "w3", "WRITE 3 z").await;
    assert_eq!(code(&response), Some(FailureCode::Malformed));
    let response = run(&mut session, "r", "ROLLBACK").await;
    assert_eq!(response.result, Ok(None));
    assert!(!group.ran_texts().iter().any(|text| text.contains("COMMIT")));
}

#[ntex::test]
async fn commit_of_a_failed_transaction_is_aborted() {
    let group = FakeGroup::new(&["a"]);
    let service = start(&group, ReadFreshness::Newest).await;
    let mut session = open(&service).await;
    run(&mut session, "b", "BEGIN").await;
    run(&mut session, "r", "READ 1").await;
    group.add_fault("a", "WRITE", Fault::Refuse(FailureCode::Failed));
    run(&mut session, "w", "WRITE 1 x").await;
    let response = run(&mut session, "c", "COMMIT").await;
    assert_eq!(code(&response), Some(FailureCode::Aborted));
    assert_eq!(response.transaction, TransactionStatus::Idle);
    assert!(!group.ran_texts().iter().any(|text| text.contains("COMMIT")));
}

#[ntex::test]
async fn transaction_fails_when_its_member_is_no_longer_primary() {
    let group = FakeGroup::new(&["a", "b"]);
    let service = start(&group, ReadFreshness::Newest).await;
    let mut session = open(&service).await;
    run(&mut session, "b", "BEGIN").await;
    run(&mut session, "w", "WRITE 1 x").await;
    group.member("a").role.set(MemberRole::Replica);
    let response = run(&mut session, "r", "READ 1").await;
    assert_eq!(code(&response), Some(FailureCode::ReadOnly));
}

#[ntex::test]
async fn abandoned_transaction_is_rolled_back_and_its_connection_reused() {
    let group = FakeGroup::new(&["a"]);
    let service = start(&group, ReadFreshness::Newest).await;
    let mut session = open(&service).await;
    run(&mut session, "b", "BEGIN").await;
    run(&mut session, "w", "WRITE 1 x").await;
    drop(session);
    tokio::time::sleep(Duration::from_millis(20)).await;
    let mut session = open(&service).await;
    run(&mut session, "r", "READ 1").await;
    assert_eq!(group.member("a").applied_index.get(), 10, "nothing is kept");
    assert_eq!(group.member("a").opened_connections.get(), 1);
}

#[ntex::test]
async fn idle_transaction_is_aborted_after_its_timeout() {
    let group = FakeGroup::new(&["a"]);
    let service = start(&group, ReadFreshness::Newest).await;
    let mut short = config(2, ReadFreshness::Newest);
    short.idle_transaction_timeout = Some(Duration::from_millis(50));
    apply(&service, short, group.entries());
    let mut session = open(&service).await;
    run(&mut session, "b", "BEGIN").await;
    run(&mut session, "w", "WRITE 1 x").await;
    let idle = tokio::time::timeout(Duration::from_millis(200), session.wait_for_close());
    assert!(idle.await.is_err(), "the session itself stays open");
    let response = run(&mut session, "c", "COMMIT").await;
    assert_eq!(code(&response), Some(FailureCode::Aborted));
    assert_eq!(group.member("a").applied_index.get(), 10);
}

#[ntex::test]
async fn read_only_transaction_runs_on_a_replica_that_is_recent_enough() {
    let group = FakeGroup::new(&["a", "b", "c"]);
    let service = start(&group, BOUNDED).await;
    let mut session = open(&service).await;
    run(&mut session, "q", "READ 1").await;
    let mut members = Vec::new();
    for _ in 0..2 {
        run(&mut session, "b", "BEGIN READ").await;
        run(&mut session, "q1", "READ 1").await;
        let response = run(&mut session, "c", "COMMIT").await;
        assert!(response.result.is_ok());
        members.push(group.ran_texts().pop().expect("ran"));
    }
    assert!(
        members.iter().any(|text| !text.starts_with('a')),
        "{members:?}"
    );
}

#[ntex::test]
async fn withdrawn_key_ends_an_open_transaction() {
    let group = FakeGroup::new(&["a"]);
    let service = start(&group, ReadFreshness::Newest).await;
    let mut session = open(&service).await;
    run(&mut session, "b", "BEGIN").await;
    run(&mut session, "w", "WRITE 1 x").await;
    let mut without_key = config(2, ReadFreshness::Newest);
    without_key.keys.clear();
    apply(&service, without_key, group.entries());
    let response = run(&mut session, "c", "COMMIT").await;
    assert_eq!(code(&response), Some(FailureCode::UnknownKey));
    let failure = response.result.expect_err("key is withdrawn");
    assert_eq!(failure.reason, FailureReason::KeyNotInConfig);
    assert!(!group.ran_texts().iter().any(|text| text.contains("COMMIT")));
}

/// Starts a service and a session with an open transaction that has written.
async fn start_transaction() -> (Rc<FakeGroup>, Rc<SessionService>, Box<dyn ClientSession>) {
    let group = FakeGroup::new(&["a"]);
    let service = start(&group, ReadFreshness::Newest).await;
    let mut session = open(&service).await;
    run(&mut session, "b", "BEGIN").await;
    run(&mut session, "w", "WRITE 1 x").await;
    (group, service, session)
}

/// Returns a configuration without the route of the open transaction.
fn config_without_route() -> FleetConfig {
    let mut config = config(2, ReadFreshness::Newest);
    config.routes.clear();
    config
}

#[ntex::test]
async fn transaction_outlives_its_route() {
    // A change of a route applies from the next transaction onward.
    let (group, service, mut session) = start_transaction().await;
    apply(&service, config_without_route(), group.entries());
    let response = run(&mut session, "c", "COMMIT").await;
    assert_eq!(code(&response), None);
    assert_eq!(group.member("a").applied_index.get(), 11);
    let response = run(&mut session, "b", "BEGIN").await;
    assert_eq!(code(&response), Some(FailureCode::UnknownDatabase));
}

#[ntex::test]
async fn withdrawn_key_ends_a_transaction_whose_route_is_removed() {
    // Guards against a key that stays valid because its route is gone.
    let (group, service, mut session) = start_transaction().await;
    let mut without_both = config_without_route();
    without_both.keys.clear();
    apply(&service, without_both, group.entries());
    let response = run(&mut session, "w2", "WRITE 2 y").await;
    assert_eq!(code(&response), Some(FailureCode::UnknownKey));
    assert_eq!(response.transaction, TransactionStatus::Failed);
    assert_eq!(group.ran_texts(), ["a WRITE 1 x"]);
}

#[ntex::test]
async fn withdrawn_key_does_not_commit_a_transaction_whose_route_is_removed() {
    // Guards against a key that stays valid because its route is gone.
    let (group, service, mut session) = start_transaction().await;
    let mut without_both = config_without_route();
    without_both.keys.clear();
    apply(&service, without_both, group.entries());
    let response = run(&mut session, "c", "COMMIT").await;
    assert_eq!(code(&response), Some(FailureCode::UnknownKey));
    assert_eq!(group.member("a").applied_index.get(), 10);
}

#[ntex::test]
async fn old_configuration_ends_a_transaction_whose_route_is_removed() {
    // Guards against an instance without the store that cannot know whether the key is withdrawn.
    let (group, service, mut session) = start_transaction().await;
    apply(&service, config_without_route(), group.entries());
    let mut settings = (*service.settings()).clone();
    settings.key_lifetime = Some(Duration::from_millis(300));
    service.apply_settings(&settings);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let response = run(&mut session, "c", "COMMIT").await;
    let failure = response.result.expect_err("configuration is too old");
    assert_eq!(failure.code, FailureCode::Aborted);
    assert_eq!(failure.reason, FailureReason::ConfigTooOld);
    assert_eq!(group.member("a").applied_index.get(), 10);
}

#[ntex::test]
async fn key_of_another_account_ends_a_transaction() {
    // Guards against statements that run for the account that the key belonged to before.
    let (group, service, mut session) = start_transaction().await;
    let mut moved = config(2, ReadFreshness::Newest);
    let other = ClientAccount {
        name: "office".into(),
        rate: None,
        burst: 0.0,
    };
    moved.keys.insert(KEY.into(), Arc::new(other));
    apply(&service, moved, group.entries());
    let response = run(&mut session, "c", "COMMIT").await;
    let failure = response
        .result
        .expect_err("the key was withdrawn from the account");
    assert_eq!(failure.reason, FailureReason::KeyNotInConfig);
    assert_eq!(group.member("a").applied_index.get(), 10);
}

#[ntex::test]
async fn transaction_in_an_evacuated_zone_ends_after_a_while() {
    // Guards against statements that reach members of a zone long after it was taken out of service.
    let group = FakeGroup::new(&["a", "b"]);
    let service = start(&group, ReadFreshness::OwnWrites { max_age: None }).await;
    let mut sessions = [open(&service).await, open(&service).await];
    let mut entries = group.entries();
    for entry in &mut entries {
        entry.zone = "mohammedia".into();
    }
    let mut evacuated = snapshot(config(2, ReadFreshness::Newest), entries);
    evacuated.evacuated_zones = vec!["mohammedia".into()];
    for session in &mut sessions {
        run(session, "b", "BEGIN READ").await;
        assert_eq!(code(&run(session, "q1", "READ 1").await), None);
    }
    service.apply_snapshot(&evacuated, BootClock.now());
    for session in &mut sessions {
        let response = run(session, "q2", "READ 1").await;
        assert_eq!(code(&response), None, "the transaction may end");
    }
    tokio::time::sleep(Duration::from_millis(3_100)).await;
    let response = run(&mut sessions[0], "late", "READ 1").await;
    assert_eq!(code(&response), Some(FailureCode::Aborted));
    let response = run(&mut sessions[1], "late", "COMMIT").await;
    assert_eq!(code(&response), Some(FailureCode::Aborted));
    let ran = group.ran_statements.borrow();
    assert!(ran.iter().all(|statement| statement.id != "late"));
}
