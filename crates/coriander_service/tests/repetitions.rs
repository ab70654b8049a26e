//! Repetitions of statements at members that refuse them.

mod support;

use coriander_service::ServiceSettings;
use coriander_service_api::{FailureCode, ReadFreshness, ServiceFeatures};

use support::{FakeGroup, Fault, apply, code, config, open, run, start_with};

const FAULTS: usize = 1_000;

fn settings(ordered_waiting: bool) -> ServiceSettings {
    let features = ServiceFeatures {
        ordered_waiting,
        ..ServiceFeatures::default()
    };
    ServiceSettings::new("instance-1", "berrechid", ([127, 0, 0, 1], 0).into())
        .with_platform_fences(true)
        .with_features(features)
}

/// Runs writes at a primary that refuses all of them; returns how many attempts reached it.
async fn attempts_of_refused_writes(ordered_waiting: bool, count: usize) -> usize {
    let group = FakeGroup::new(&["a"]);
    for _ in 0..FAULTS {
        group.add_fault("a", "WRITE", Fault::Refuse(FailureCode::Busy));
    }
    let service = start_with(&group, settings(ordered_waiting)).await;
    apply(&service, config(1, ReadFreshness::Newest), group.entries());
    let mut session = open(&service).await;
    for index in 0..count {
        let response = run(&mut session, &format!("w{index}"), "WRITE 1").await;
        assert_eq!(code(&response), Some(FailureCode::Busy));
        let failure = response.result.expect_err("refused");
        assert!(failure.retry_after.is_some_and(|delay| !delay.is_zero()));
        let inputs = failure.decision_inputs.unwrap_or_default();
        if ordered_waiting && index == count - 1 {
            assert!(inputs.contains("retry_budget=account"), "{inputs}");
        }
    }
    let left = group.member("a").faults.borrow()["WRITE"].len();
    group.member("a").faults.borrow_mut().clear();
    let response = run(&mut session, "last", "WRITE 1").await;
    assert_eq!(code(&response), None, "a first attempt is always made");
    FAULTS - left
}

#[ntex::test]
async fn refused_writes_are_repeated_within_the_budget() {
    // Callers of members that were short got each statement sent up to a dozen times.
    let attempts = attempts_of_refused_writes(true, 30).await;
    let allowed = 30 + 10 + 30 / 5;
    assert!((30..=allowed).contains(&attempts), "{attempts}");
}

#[ntex::test]
async fn reads_declined_by_lagging_replicas_do_not_use_the_budget() {
    // Guards against refusals while replicas lag and the primary has room.
    let group = FakeGroup::new(&["a", "b", "c"]);
    for replica in ["b", "c"] {
        for _ in 0..FAULTS {
            group.add_fault(replica, "READ", Fault::Refuse(FailureCode::Lagging));
        }
    }
    let service = start_with(&group, settings(true)).await;
    let freshness = ReadFreshness::OwnWrites { max_age: None };
    apply(&service, config(1, freshness), group.entries());
    let mut session = open(&service).await;
    for index in 0..100 {
        let response = run(&mut session, &format!("q{index}"), "READ 1").await;
        assert_eq!(code(&response), None, "read {index}");
    }
}

#[ntex::test]
async fn refused_writes_are_repeated_without_ordered_waiting() {
    // Guards against a budget where the settings do not ask for one.
    let attempts = attempts_of_refused_writes(false, 5).await;
    assert!(attempts > 2 * 5, "{attempts}");
}
