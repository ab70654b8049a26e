//! Learned capacity of members, as callers notice it.

mod support;

use std::rc::Rc;
use std::time::{Duration, Instant};

use coriander_service::{ServiceSettings, SessionService};
use coriander_service_api::{ClientSession, FailureCode, ReadFreshness, ServiceFeatures};

use support::{FakeGroup, Fault, apply, config, open, run, start, start_with};

const OWN_WRITES: ReadFreshness = ReadFreshness::OwnWrites { max_age: None };

/// Reads after which the usual latency of a class is known.
const LEARNING_READS: usize = 40;

async fn start_learning(group: &Rc<FakeGroup>) -> Rc<SessionService> {
    let features = ServiceFeatures {
        learned_capacity: true,
        ..ServiceFeatures::default()
    };
    let settings = ServiceSettings::new("instance-1", "berrechid", ([127, 0, 0, 1], 0).into())
        .with_key_lifetime(Some(Duration::from_secs(5)))
        .with_features(features);
    let service = start_with(group, settings).await;
    apply(&service, config(1, OWN_WRITES), group.entries());
    service
}

async fn read(session: &mut Box<dyn ClientSession>, count: usize) {
    for index in 0..count {
        let response = run(session, &format!("q{index}"), "READ 1").await;
        assert!(response.result.is_ok(), "read {index} failed");
    }
}

/// Returns the member that ran the last statement.
fn last_member(group: &FakeGroup) -> String {
    let ran = group.ran_statements.borrow();
    ran.last().expect("a statement ran").member.clone()
}

fn reads_at(group: &FakeGroup, member: &str) -> usize {
    let ran = group.ran_statements.borrow();
    ran.iter().filter(|ran| ran.member == member).count()
}

#[ntex::test]
async fn read_at_a_silent_member_is_repeated_after_the_learned_time() {
    // Guards against a wait of 45 % of the statement timeout, 360 ms, for a reply that is lost.
    let group = FakeGroup::new(&["a", "b", "c"]);
    let service = start_learning(&group).await;
    let mut session = open(&service).await;
    read(&mut session, LEARNING_READS).await;
    let member = last_member(&group);
    let text = if member == "a" { "BEGIN" } else { "READ" };
    group.add_fault(&member, text, Fault::LoseReply);
    let started = Instant::now();
    read(&mut session, 1).await;
    assert!(last_member(&group) != member);
    assert!(started.elapsed() < Duration::from_millis(250));
}

#[ntex::test]
async fn reads_of_a_group_that_slows_down_are_served() {
    // Guards against reads that are cut off and repeated until their deadline of 800 ms though each
    // member answers in a quarter of it.
    let group = FakeGroup::new(&["a", "b", "c"]);
    let service = start_learning(&group).await;
    let mut session = open(&service).await;
    read(&mut session, LEARNING_READS).await;
    for member in ["a", "b", "c"] {
        let member = group.member(member);
        member.statement_time.set(Duration::from_millis(200));
    }
    read(&mut session, 8).await;
}

#[ntex::test]
async fn member_that_fails_reads_is_set_aside_and_taken_back() {
    // Guards against a member that is chosen like the others though it fails its reads, and against
    // one that stays out after it has recovered.
    let group = FakeGroup::new(&["a", "b", "c"]);
    let service = start_learning(&group).await;
    let mut session = open(&service).await;
    read(&mut session, LEARNING_READS).await;
    let member = last_member(&group);
    for _ in 0..40 {
        group.add_fault(&member, "READ", Fault::Refuse(FailureCode::Failed));
    }
    read(&mut session, 40).await;
    assert!(service.describe().contains("set_aside=failing"));
    let metrics = service.encode_metrics();
    assert!(metrics.contains("corianderstile_members_set_aside{group=\"group-1\"} 1"));
    let before = reads_at(&group, &member);
    read(&mut session, 10).await;
    assert_eq!(reads_at(&group, &member), before);
    group.member(&member).faults.borrow_mut().clear();
    let deadline = Instant::now() + Duration::from_secs(5);
    while service.describe().contains("set_aside=failing") {
        assert!(Instant::now() < deadline, "{}", service.describe());
        read(&mut session, 1).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(reads_at(&group, &member) > before);
}

#[ntex::test]
async fn member_is_not_set_aside_for_the_memory_of_the_instance() {
    // Guards against clients that exhaust memory for rows and so take healthy members out of use.
    let group = FakeGroup::new(&["a", "b", "c"]);
    let service = start_learning(&group).await;
    let mut session = open(&service).await;
    read(&mut session, LEARNING_READS).await;
    let member = last_member(&group);
    for _ in 0..40 {
        group.add_fault(&member, "READ", Fault::NoMemory);
    }
    read(&mut session, 40).await;
    let left = group.member(&member).faults.borrow()["READ"].len();
    assert!(left < 40, "the member was read without memory");
    assert!(!service.describe().contains("set_aside=failing"));
}

#[ntex::test]
async fn writes_go_to_a_primary_that_is_set_aside_for_reads() {
    // Guards against refusing writes that only the primary can run.
    let group = FakeGroup::new(&["a", "b", "c"]);
    let service = start_learning(&group).await;
    let mut session = open(&service).await;
    for index in 0..6 {
        group.add_fault("a", "WRITE", Fault::Refuse(FailureCode::Failed));
        run(&mut session, &format!("w{index}"), "WRITE 1").await;
    }
    assert!(service.describe().contains("set_aside=failing"));
    let response = run(&mut session, "w7", "WRITE 1").await;
    assert!(response.result.is_ok());
    assert_eq!(last_member(&group), "a");
}

#[ntex::test]
async fn capacity_is_not_learned_where_the_settings_do_not_ask_for_it() {
    // Guards against a change of the choice of members on deployments without the feature.
    let group = FakeGroup::new(&["a", "b", "c"]);
    let service = start(&group, OWN_WRITES).await;
    let mut session = open(&service).await;
    read(&mut session, 5).await;
    assert!(!service.describe().contains("set_aside="));
    assert!(!service.encode_metrics().contains("members_set_aside{"));
}
