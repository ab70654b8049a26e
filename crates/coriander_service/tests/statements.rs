//! Statements outside transactions: choice of the member, retries and failures.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use coriander_core::RequestOutcome;
use coriander_service_api::{
    AccessMode, ClientStatement, FailureCode, FailureReason, MemberRole, PreparedShape,
    ReadFreshness, StatementKind, TransactionStatus,
};

use support::{ACCOUNT, DATABASE, FakeGroup, Fault, apply, code, config, open, run, start};

const BOUNDED: ReadFreshness = ReadFreshness::Bounded {
    max_age: Duration::from_millis(1_500),
};
const OWN_WRITES: ReadFreshness = ReadFreshness::OwnWrites { max_age: None };

#[ntex::test]
async fn read_returns_rows_and_signature_of_the_member() {
    let group = FakeGroup::new(&["a", "b", "c"]);
    let service = start(&group, ReadFreshness::Newest).await;
    let mut session = open(&service).await;
    let response = run(&mut session, "q1", "READ 7").await;
    assert_eq!(response.result, Ok(Some("signed-q1".into())));
    assert_eq!(response.rows, vec!["row-of-READ 7".into()]);
    assert_eq!(response.transaction, TransactionStatus::Idle);
    let ran = group.ran_statements.borrow();
    assert_eq!(ran[0].account, ACCOUNT);
    assert_eq!(ran[0].id, "q1");
}

#[ntex::test]
async fn read_of_newest_data_never_runs_on_a_former_primary() {
    // Outside a transaction a former primary would serve the read from an outdated log.
    let group = FakeGroup::new(&["a", "b"]);
    let service = start(&group, ReadFreshness::Newest).await;
    group.member("a").role.set(MemberRole::Replica);
    let mut session = open(&service).await;
    let response = run(&mut session, "q1", "READ 7").await;
    assert_eq!(code(&response), Some(FailureCode::Busy));
    assert!(group.ran_statements.borrow().is_empty());
}

#[ntex::test]
async fn read_of_newest_data_follows_a_reported_primary() {
    let group = FakeGroup::new(&["a", "b"]);
    let service = start(&group, ReadFreshness::Newest).await;
    group.member("a").role.set(MemberRole::Replica);
    let successor = group.member("b");
    successor.role.set(MemberRole::Primary);
    successor.term.set(2);
    let groups = service.groups();
    groups[0].record_promoted_primary("b", 5);
    let mut session = open(&service).await;
    let response = run(&mut session, "q1", "READ 7").await;
    assert!(response.result.is_ok());
    assert_eq!(group.ran_texts(), ["b READ 7"]);
}

#[ntex::test]
async fn bounded_read_runs_on_the_primary_when_replicas_lag() {
    let group = FakeGroup::new(&["a", "b", "c"]);
    group.member("b").applied_index.set(3);
    group.member("c").applied_index.set(3);
    let service = start(&group, BOUNDED).await;
    let mut session = open(&service).await;
    // The first read records the position of the primary; the second one requires it.
    run(&mut session, "q1", "READ 1").await;
    let response = run(&mut session, "q2", "READ 2").await;
    assert!(response.result.is_ok());
    assert_eq!(group.ran_texts(), ["a READ 1", "a READ 2"]);
}

#[ntex::test]
async fn read_of_own_writes_avoids_lagging_replicas() {
    let group = FakeGroup::new(&["a", "b", "c"]);
    let service = start(&group, OWN_WRITES).await;
    let mut session = open(&service).await;
    let response = run(&mut session, "w1", "WRITE 1 x").await;
    assert!(response.result.is_ok());
    for index in 0..5 {
        let response = run(&mut session, &format!("r{index}"), "READ 1").await;
        assert!(response.result.is_ok());
    }
    let reads = group.ran_texts().into_iter().skip(1);
    assert!(reads.into_iter().all(|text| text.starts_with('a')));
}

#[ntex::test]
async fn read_is_retried_on_another_member_after_a_lost_reply() {
    let group = FakeGroup::new(&["a", "b", "c"]);
    let service = start(&group, OWN_WRITES).await;
    // Two attempts without a reply leave a tenth of the timeout.
    let mut config = config(2, OWN_WRITES);
    let route = config.routes.get_mut(DATABASE).expect("route exists");
    Arc::make_mut(route).statement_timeout = Duration::from_secs(6);
    apply(&service, config, group.entries());
    for member in ["a", "b", "c"] {
        group.add_fault(member, "READ", Fault::LoseReply);
    }
    group.member("a").faults.borrow_mut().clear();
    let mut session = open(&service).await;
    let response = run(&mut session, "q1", "READ 1").await;
    assert!(response.result.is_ok(), "{response:?}");
}

#[ntex::test]
async fn write_is_not_retried_after_a_lost_reply() {
    let group = FakeGroup::new(&["a", "b"]);
    let service = start(&group, ReadFreshness::Newest).await;
    group.add_fault("a", "WRITE", Fault::LoseReply);
    let mut session = open(&service).await;
    let response = run(&mut session, "w1", "WRITE 1 x").await;
    assert_eq!(code(&response), Some(FailureCode::InDoubt));
    assert_eq!(group.ran_texts(), ["a WRITE 1 x"]);
}

#[ntex::test]
async fn write_without_memory_for_its_reply_is_in_doubt() {
    // Guards against a write that is refused or repeated although the member has run it.
    let group = FakeGroup::new(&["a", "b"]);
    let service = start(&group, ReadFreshness::Newest).await;
    group.add_fault("a", "WRITE", Fault::NoMemory);
    let mut session = open(&service).await;
    let response = run(&mut session, "w1", "WRITE 1 x").await;
    assert_eq!(code(&response), Some(FailureCode::InDoubt));
    assert_eq!(group.ran_texts(), ["a WRITE 1 x"]);
}

#[ntex::test]
async fn write_is_retried_when_the_member_did_not_run_it() {
    let group = FakeGroup::new(&["a", "b"]);
    let service = start(&group, ReadFreshness::Newest).await;
    group.add_fault("a", "WRITE", Fault::Refuse(FailureCode::Busy));
    let mut session = open(&service).await;
    let response = run(&mut session, "w1", "WRITE 1 x").await;
    assert_eq!(response.result, Ok(Some("signed-w1".into())));
}

#[ntex::test]
async fn write_reports_a_failure_of_the_member() {
    let group = FakeGroup::new(&["a", "b"]);
    let service = start(&group, ReadFreshness::Newest).await;
    group.add_fault("a", "WRITE", Fault::Refuse(FailureCode::Failed));
    let mut session = open(&service).await;
    let response = run(&mut session, "w1", "WRITE 1 x").await;
    assert_eq!(code(&response), Some(FailureCode::Failed));
    assert_eq!(FailureCode::Failed.member_outcome(), RequestOutcome::Run);
}

#[ntex::test]
async fn prepared_name_runs_the_shape_of_its_own_session() {
    // Two clients use the same name for different statements on one connection.
    let group = FakeGroup::new(&["a"]);
    let service = start(&group, ReadFreshness::Newest).await;
    for (id, shape) in [("q1", "first"), ("q2", "second")] {
        let mut session = open(&service).await;
        let shape = PreparedShape {
            access: AccessMode::Read,
            shape: shape.into(),
        };
        let name = "s1".into();
        let prepare = StatementKind::Prepare { name, shape };
        let response = session
            .execute(ClientStatement::new("p", "PREPARE s1", prepare))
            .await;
        assert_eq!(response.result, Ok(None));
        let execute = StatementKind::Execute {
            name: "s1".into(),
            arguments: "7".into(),
        };
        let response = session
            .execute(ClientStatement::new(id, "EXECUTE s1 7", execute))
            .await;
        assert!(response.result.is_ok());
    }
    assert_eq!(
        group.ran_texts(),
        ["a EXECUTE READ FIRST 7", "a EXECUTE READ SECOND 7"]
    );
    assert_eq!(group.member("a").opened_connections.get(), 1);
}

#[ntex::test]
async fn session_values_do_not_affect_other_sessions() {
    let group = FakeGroup::new(&["a"]);
    let service = start(&group, ReadFreshness::Newest).await;
    let mut first = open(&service).await;
    let set = StatementKind::Set {
        name: "tz".into(),
        value: "utc".into(),
    };
    first
        .execute(ClientStatement::new("s", "SET tz utc", set))
        .await;
    run(&mut first, "q1", "READ 1").await;
    let mut second = open(&service).await;
    run(&mut second, "q2", "READ 2").await;
    let ran = group.ran_statements.borrow();
    assert_eq!(ran[0].values, [("tz".to_owned(), "utc".to_owned())]);
    assert!(ran[1].values.is_empty());
}

#[ntex::test]
async fn statement_is_refused_with_a_retry_delay_when_no_member_replies() {
    let group = FakeGroup::new(&["a"]);
    let service = start(&group, ReadFreshness::Newest).await;
    group.member("a").reachable.set(false);
    let mut session = open(&service).await;
    let response = run(&mut session, "q1", "READ 1").await;
    assert_eq!(code(&response), Some(FailureCode::Busy));
    let failure = response.result.expect_err("no member");
    assert!(
        failure.retry_after.is_some(),
        "the caller needs a retry delay"
    );
}

#[ntex::test]
async fn unknown_statement_is_malformed_and_reaches_no_member() {
    let group = FakeGroup::new(&["a"]);
    let service = start(&group, ReadFreshness::Newest).await;
    let mut session = open(&service).await;
    let response = run(&mut session, "q1", "DROP everything").await;
    assert_eq!(code(&response), Some(FailureCode::Malformed));
    let failure = response.result.expect_err("not a statement");
    assert_eq!(failure.reason, FailureReason::BadStatement);
    assert!(group.ran_statements.borrow().is_empty());
}

#[ntex::test]
async fn statement_is_refused_at_once_when_the_group_has_no_member() {
    // No member can become primary, so waiting for one only delays the caller.
    let group = FakeGroup::new(&["a"]);
    let service = start(&group, ReadFreshness::Newest).await;
    let mut session = open(&service).await;
    service.groups()[0].close();
    let started = Instant::now();
    let response = run(&mut session, "q1", "READ 1").await;
    let failure = response.result.expect_err("no member");
    assert_eq!(failure.reason, FailureReason::NoMember);
    assert!(failure.retry_after.is_some());
    assert!(started.elapsed() < Duration::from_millis(100));
}

#[ntex::test]
async fn statement_at_a_full_member_is_sent_again_a_few_times_only() {
    // A request reached the same full member four times within 60 ms, so that most arrivals at the
    // member were requests that it had turned away before.
    let group = FakeGroup::new(&["a"]);
    let service = start(&group, ReadFreshness::Newest).await;
    for _ in 0..200 {
        group.add_fault("a", "WRITE", Fault::Refuse(FailureCode::Busy));
    }
    let mut session = open(&service).await;
    let response = run(&mut session, "q", "WRITE 1 x").await;
    assert_eq!(code(&response), Some(FailureCode::Busy));
    let member = group.member("a");
    let attempts = 200 - member.faults.borrow()["WRITE"].len();
    assert!((2..=10).contains(&attempts), "{attempts} attempts");
}

#[ntex::test]
async fn read_refused_by_a_full_replica_runs_on_another_at_once() {
    let group = FakeGroup::new(&["a", "b", "c"]);
    let freshness = ReadFreshness::OwnWrites { max_age: None };
    let service = start(&group, freshness).await;
    for replica in ["b", "c"] {
        for _ in 0..30 {
            group.add_fault(replica, "READ", Fault::Refuse(FailureCode::Busy));
        }
    }
    let mut session = open(&service).await;
    let started = Instant::now();
    for index in 0..30 {
        let response = run(&mut session, &format!("q{index}"), "READ 1").await;
        assert_eq!(code(&response), None);
    }
    // A wait of 10 ms before each further attempt would take 600 ms.
    let took = started.elapsed();
    assert!(took.as_millis() < 400, "took {took:?}");
}
