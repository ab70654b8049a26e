//! Admission by key, configuration version and age, and members that must not be used.

mod support;

use std::time::Duration;

use coriander_service::{BootClock, ServicePhase, ServiceSettings};
use coriander_service_api::{FailureCode, FailureReason, MemberRole, ReadFreshness, SessionHost};

use support::{
    DATABASE, FakeGroup, KEY, apply, code, config, member_entry, open, run, snapshot, start,
    start_with,
};

fn settings(lifetime: Duration) -> ServiceSettings {
    ServiceSettings::new("instance-1", "berrechid", ([127, 0, 0, 1], 0).into())
        .with_key_lifetime(Some(lifetime))
}

#[ntex::test]
async fn open_refuses_unknown_keys_and_databases() {
    let group = FakeGroup::new(&["a"]);
    let service = start(&group, ReadFreshness::Newest).await;
    let failure = service.open(DATABASE, "other").await.err();
    assert_eq!(failure.map(|f| f.code), Some(FailureCode::UnknownKey));
    let failure = service.open("other", KEY).await.err();
    assert_eq!(failure.map(|f| f.code), Some(FailureCode::UnknownDatabase));
}

#[ntex::test]
async fn open_refuses_before_the_first_configuration() {
    let group = FakeGroup::new(&["a"]);
    let service = start_with(&group, settings(Duration::from_secs(5))).await;
    let failure = service.open(DATABASE, KEY).await.err().expect("refused");
    assert_eq!(failure.reason, FailureReason::NoConfig);
    assert!(!service.is_ready());
}

#[ntex::test]
async fn statement_is_refused_when_the_configuration_cannot_be_confirmed() {
    // A withdrawn key must be refused on an instance that cannot reach the store.
    let group = FakeGroup::new(&["a"]);
    let service = start_with(&group, settings(Duration::from_millis(400))).await;
    apply(&service, config(1, ReadFreshness::Newest), group.entries());
    let mut session = open(&service).await;
    assert!(run(&mut session, "q1", "READ 1").await.result.is_ok());
    tokio::time::sleep(Duration::from_millis(200)).await;
    let response = run(&mut session, "q2", "READ 1").await;
    let failure = response.result.expect_err("too old");
    assert_eq!(failure.reason, FailureReason::ConfigTooOld);
    assert!(!service.is_ready());
    assert_eq!(group.ran_texts().len(), 1);
}

#[ntex::test]
async fn apply_snapshot_measures_config_age_from_the_start_of_the_read() {
    let group = FakeGroup::new(&["a"]);
    let service = start_with(&group, settings(Duration::from_millis(400))).await;
    let sent_at = BootClock.now();
    tokio::time::sleep(Duration::from_millis(200)).await;
    let snapshot = snapshot(config(1, ReadFreshness::Newest), group.entries());
    service.apply_snapshot(&snapshot, sent_at);
    assert!(
        !service.is_ready(),
        "the read started too long ago to confirm the configuration"
    );
}

#[ntex::test]
async fn apply_snapshot_ignores_an_older_version() {
    let group = FakeGroup::new(&["a"]);
    let service = start(&group, ReadFreshness::Newest).await;
    let mut newer = config(7, ReadFreshness::Newest);
    newer.keys.clear();
    apply(&service, newer, group.entries());
    apply(&service, config(3, ReadFreshness::Newest), group.entries());
    let failure = service.open(DATABASE, KEY).await.err().expect("refused");
    assert_eq!(failure.code, FailureCode::UnknownKey);
}

#[ntex::test]
async fn member_of_an_evacuated_zone_gets_no_reads() {
    let group = FakeGroup::new(&["a", "b"]);
    let service = start(&group, ReadFreshness::OwnWrites { max_age: None }).await;
    let mut entries = group.entries();
    entries[1].zone = "mohammedia".into();
    let mut evacuated = snapshot(config(1, ReadFreshness::Newest), entries);
    evacuated.evacuated_zones = vec!["mohammedia".into()];
    service.apply_snapshot(&evacuated, BootClock.now());
    let mut session = open(&service).await;
    for index in 0..6 {
        let response = run(&mut session, &format!("q{index}"), "READ 1").await;
        assert!(response.result.is_ok());
    }
    assert!(group.ran_texts().iter().all(|text| text.starts_with('a')));
}

#[ntex::test]
async fn draining_member_gets_no_reads() {
    let group = FakeGroup::new(&["a", "b"]);
    let service = start(&group, ReadFreshness::OwnWrites { max_age: None }).await;
    let mut entries = group.entries();
    entries[1].draining = true;
    let config = config(1, ReadFreshness::OwnWrites { max_age: None });
    apply(&service, config, entries);
    let mut session = open(&service).await;
    for index in 0..6 {
        run(&mut session, &format!("q{index}"), "READ 1").await;
    }
    assert!(group.ran_texts().iter().all(|text| text.starts_with('a')));
}

#[ntex::test]
async fn restarted_member_gets_new_connections() {
    let group = FakeGroup::new(&["a"]);
    let service = start(&group, ReadFreshness::Newest).await;
    let mut session = open(&service).await;
    run(&mut session, "q1", "READ 1").await;
    let mut entry = member_entry("a", MemberRole::Primary);
    entry.started_at_ms = 2;
    apply(&service, config(1, ReadFreshness::Newest), vec![entry]);
    run(&mut session, "q2", "READ 1").await;
    assert_eq!(group.member("a").opened_connections.get(), 2);
}

#[ntex::test]
async fn is_ready_is_false_while_draining() {
    let group = FakeGroup::new(&["a"]);
    let service = start(&group, ReadFreshness::Newest).await;
    assert!(service.is_ready());
    service.set_phase(ServicePhase::Draining);
    assert!(!service.is_ready());
    let mut session = open(&service).await;
    let response = run(&mut session, "q1", "READ 1").await;
    assert_eq!(
        code(&response),
        None,
        "callers that still connect are served"
    );
}

#[ntex::test]
async fn wait_for_close_returns_when_the_process_closes_idle_sessions() {
    let group = FakeGroup::new(&["a"]);
    let service = start(&group, ReadFreshness::Newest).await;
    let mut session = open(&service).await;
    service.set_phase(ServicePhase::Closing);
    let idle = tokio::time::timeout(Duration::from_millis(500), session.wait_for_close()).await;
    assert!(idle.is_ok());
}

#[ntex::test]
async fn refused_session_metrics_have_no_labels_chosen_by_callers() {
    // Otherwise a caller that sends many database names increases the number of metric series.
    let group = FakeGroup::new(&["a"]);
    let service = start(&group, ReadFreshness::Newest).await;
    for number in 0..50 {
        let name = format!("made-up-{number}");
        assert!(service.open(&name, KEY).await.is_err());
    }
    assert!(service.open(DATABASE, "no key").await.is_err());
    let metrics = service.encode_metrics();
    assert!(!metrics.contains("made-up"), "{metrics}");
    let unknown =
        "corianderstile_refused_sessions_total{database=\"unknown\",reason=\"no_route\"} 50";
    assert!(metrics.contains(unknown), "{metrics}");
    assert!(metrics.contains("database=\"orders\",reason=\"key_not_in_config\""));
}

#[ntex::test]
async fn rate_refusal_describes_the_share_of_the_instance() {
    let group = FakeGroup::new(&["a"]);
    let service = start(&group, ReadFreshness::Newest).await;
    let mut config = config(2, ReadFreshness::Newest);
    let account = std::sync::Arc::new(coriander_service_api::ClientAccount {
        name: support::ACCOUNT.into(),
        rate: Some(1.0),
        burst: 1.0,
    });
    config
        .accounts
        .insert(support::ACCOUNT.into(), account.clone());
    config.keys.insert(KEY.into(), account);
    apply(&service, config, group.entries());
    let mut session = open(&service).await;
    for number in 0..3 {
        run(&mut session, &format!("q{number}"), "READ 1").await;
    }
    let response = run(&mut session, "q4", "READ 1").await;
    let failure = response.result.expect_err("the rate is exceeded");
    let inputs = failure
        .decision_inputs
        .clone()
        .expect("inputs of the decision");
    assert!(inputs.contains("rate=1 part="), "{inputs}");
    assert!(
        !failure.message().contains("part="),
        "the message to callers omits them"
    );
}
