//! Checks that the load driver detects faults of a proxy.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::forwarder::{ForwardFault, start_forwarder};
use coriander_standin::DeploymentProfile;
use coriander_standin::load::{
    ArrivalSchedule, DriverSettings, LoadReport, RequestKind, WriteHistory, run_driver,
};
use coriander_standin::process::{MemberClient, ProcessGroup};

async fn run(fault: ForwardFault) -> LoadReport {
    let mut group = ProcessGroup::create("load-driver").await.unwrap();
    let deployment = DeploymentProfile::bennani();
    let mut members = BTreeMap::new();
    for &database in &deployment.databases {
        let address = group
            .start_member("a", database, "zone-1", &[])
            .await
            .unwrap();
        MemberClient::new(address, group.http_client().clone())
            .make_primary(1, &[])
            .await
            .unwrap();
        members.insert(database.to_owned(), address);
    }
    let server = start_forwarder(members, fault).await;
    let svg = group.directory().join("run.svg");
    let settings = DriverSettings {
        deployment,
        instance: vec![server.addr()],
        seconds: 2,
        load_percent: 40,
        greedy: None,
        seed: 1,
        transaction_percent: 0,
        request_limit_ms: 3_000,
        attempt_limit_ms: 3_000,
        key: Vec::new(),
        json: None,
        svg: Some(svg.clone()),
    };
    let report = run_driver(settings).await.unwrap();
    assert!(std::fs::read_to_string(svg).unwrap().contains("</svg>"));
    report
}

/// Guards against a driver that reports faults for a correct run.
#[ntex::test]
async fn correct_run_reports_no_faults() {
    let report = run(ForwardFault::None).await;
    let history = &report.history;
    assert!(history.verified && history.acknowledged > 10, "{history:?}");
    assert_eq!(
        (history.lost, history.doubled, history.unexplained),
        (0, 0, 0),
        "{history:?}"
    );
    assert_eq!((report.own_write_misses, report.too_old), (0, 0));
    assert!(
        (report.min_success_fraction() - 1.0).abs() < f64::EPSILON,
        "{:?}",
        report.failures
    );
    assert_eq!(report.write_gaps.len(), 3);
    let latency = &report.class_latency["tracking-reads"];
    assert!(
        latency.p50_ms >= 2.0 && latency.max_ms >= latency.p99_ms,
        "{latency:?}"
    );
}

/// Guards against a driver that misses lost writes and sessions that miss their own writes.
#[ntex::test]
async fn lost_writes_detected() {
    let report = run(ForwardFault::DropWrite).await;
    assert_eq!(report.history.lost, report.history.acknowledged);
    assert!(report.own_write_misses > 0);
    assert!(report.too_old > 0);
}

/// Guards against a driver that misses writes that were applied twice.
#[ntex::test]
async fn doubled_writes_detected() {
    let report = run(ForwardFault::RunTwice).await;
    assert_eq!(report.history.doubled, report.history.acknowledged);
}

/// Guards against a driver that accepts a false "not run".
#[ntex::test]
async fn false_not_run_detected() {
    let report = run(ForwardFault::ReportNotRun).await;
    assert!(
        report.history.not_run_but_present > 10,
        "{:?}",
        report.history
    );
}

/// Guards against a greedy account that changes the arrivals of the others, and against a load
/// that differs from the accounts' rates.
#[test]
fn schedule_follows_rates() {
    let profile = DeploymentProfile::karamanlis();
    let length = Duration::from_secs(100);
    let normal = ArrivalSchedule::draw(&profile, length, 70, 5);
    let greedy = ArrivalSchedule::draw_greedy(&profile, length, 70, (5, Some("account-4")));
    let of = |schedule: &ArrivalSchedule, account: usize| {
        let arrivals = schedule.arrivals().iter().copied();
        arrivals
            .filter(|arrival| arrival.account == account)
            .collect::<Vec<_>>()
    };
    assert_eq!(of(&normal, 0), of(&greedy, 0));
    let expected = 100.0 * 12.0 * 0.7;
    let ratio = of(&normal, 3).len() as f64 / expected;
    assert!((0.9..1.1).contains(&ratio), "{ratio}");
    assert!(of(&greedy, 3).len() > 5 * of(&normal, 3).len());
    let mixed = normal.with_transactions(50, 5);
    let count = |kind| {
        mixed
            .arrivals()
            .iter()
            .filter(|arrival| arrival.kind == kind)
            .count()
    };
    let ratio = count(RequestKind::Transaction) as f64 / count(RequestKind::Write) as f64;
    assert!((0.8..1.2).contains(&ratio), "{ratio}");
}

/// Guards against an age that is measured from the write that was read instead of the first newer
/// write.
#[test]
fn staleness_counts_from_newer_write() {
    let at = Duration::from_millis;
    let mut history = WriteHistory::default();
    history.record_acknowledged((0, 1), 1, at(100));
    history.record_acknowledged((0, 1), 2, at(300));
    history.record_acknowledged((0, 1), 3, at(500));
    assert_eq!(history.staleness((0, 1), 1, at(1_000)), at(700));
    assert_eq!(history.staleness((0, 1), 3, at(1_000)), Duration::ZERO);
    assert_eq!(
        history.staleness((0, 1), 1, at(200)),
        Duration::ZERO,
        "not yet acknowledged"
    );
}
