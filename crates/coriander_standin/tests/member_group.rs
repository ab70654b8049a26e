//! Terms, fencing, promotion and replication of stand-in members.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::{assert_refused, pipeline, rows, start_members, statement_code};
use coriander_core::MemberRole;
use coriander_standin::member::{CutMode, FaultUpdate};
use coriander_standin::process::{CONDITION_TIMEOUT, MemberClient, ProcessGroup, wait_until};
use serde_json::json;

async fn wait_for_log(member: &MemberClient, position: &str) {
    let reached = async || {
        member
            .status()
            .await
            .is_ok_and(|s| s.log.to_string() == position)
    };
    wait_until(&format!("log {position}"), CONDITION_TIMEOUT, reached)
        .await
        .unwrap();
}

/// Fails if a member executes statements with a term other than its own.
#[ntex::test]
async fn statement_other_term_refused() {
    let mut group = ProcessGroup::create("member-term").await.unwrap();
    let members = start_members(&mut group, &["a"], &[]).await;
    let a = &members[0];
    assert_refused(&a.execute(0, "SELECT 1").await.unwrap(), 409, "NOT_SERVING");
    a.make_primary(2, &[]).await.unwrap();
    assert_refused(
        &a.execute(1, "CREATE TABLE t (a)").await.unwrap(),
        409,
        "TERM_CHANGED",
    );
    assert_refused(
        &a.execute(3, "CREATE TABLE t (a)").await.unwrap(),
        409,
        "TERM_CHANGED",
    );
    let reply = a.execute(2, "CREATE TABLE t (a)").await.unwrap();
    assert_eq!(reply.header("x-log-position"), Some("2.2"));
    let url = format!("http://{}/v3/pipeline", a.address);
    let missing = group
        .http_client()
        .post(&url, pipeline(None, &[], true).to_string())
        .await
        .unwrap();
    assert_refused(&missing, 400, "BAD_REQUEST");
}

/// Fails if two proposers can fence a member in the same term, or if a member is promoted without
/// a fence.
#[ntex::test]
async fn fence_same_term_one_proposer() {
    let mut group = ProcessGroup::create("member-fence").await.unwrap();
    let members = start_members(&mut group, &["a"], &[]).await;
    let a = &members[0];
    assert!(a.fence(1, "p").await.unwrap().accepted);
    assert!(
        a.fence(1, "p").await.unwrap().accepted,
        "a repeated request is accepted"
    );
    assert!(!a.fence(1, "q").await.unwrap().accepted);
    assert!(!a.promote(1, "q").await.unwrap().accepted);
    assert!(
        !a.promote(2, "p").await.unwrap().accepted,
        "only a fenced term is promoted"
    );
    assert_eq!(a.status().await.unwrap().role, MemberRole::Fenced);
    assert!(a.promote(1, "p").await.unwrap().accepted);
    let status = a.status().await.unwrap();
    assert_eq!(
        (status.role, status.log.to_string().as_str()),
        (MemberRole::Primary, "1.1")
    );
    assert!(a.fence(2, "q").await.unwrap().accepted);
    assert!(!a.fence(1, "p").await.unwrap().accepted);
    assert_eq!(a.status().await.unwrap().role, MemberRole::Fenced);
}

/// Fails if the data of a replica differs, if it accepts writes, or if it confirms an entry that it
/// does not have.
#[ntex::test]
async fn replica_copies_and_confirms() {
    let mut group = ProcessGroup::create("member-copy").await.unwrap();
    let members = start_members(&mut group, &["a", "b"], &[]).await;
    let [a, b] = &members[..] else {
        panic!("two members")
    };
    a.make_primary(1, &[b]).await.unwrap();
    a.execute(
        1,
        "CREATE TABLE t (id INTEGER PRIMARY KEY, r, at DEFAULT CURRENT_TIMESTAMP)",
    )
    .await
    .unwrap();
    let steps = [
        "BEGIN IMMEDIATE",
        "INSERT INTO t (r) VALUES (random())",
        "SAVEPOINT s",
        "INSERT INTO t (r) VALUES (1)",
        "ROLLBACK TO s",
        "INSERT INTO t (r) VALUES (hex(randomblob(8)) || datetime('now'))",
        "COMMIT",
    ];
    let reply = a.pipeline(1, &pipeline(None, &steps, true)).await.unwrap();
    assert_eq!(
        reply.header("x-log-position"),
        Some("1.3"),
        "one entry per transaction"
    );
    assert!(b.confirm(1, 3, 10_000).await.unwrap().confirmed);
    assert!(!b.confirm(1, 4, 50).await.unwrap().confirmed);
    assert!(!b.confirm(2, 3, 50).await.unwrap().confirmed);
    let query = "SELECT * FROM t";
    let expected = rows(&a.execute(1, query).await.unwrap());
    assert_eq!(expected.as_array().unwrap().len(), 2);
    assert_eq!(rows(&b.execute(1, query).await.unwrap()), expected);
    let refused = b.execute(1, "DELETE FROM t").await.unwrap();
    assert_eq!(statement_code(&refused), "NOT_PRIMARY");
    b.set_faults(&FaultUpdate {
        lag_ms: Some(300),
        ..FaultUpdate::default()
    })
    .await
    .unwrap();
    a.execute(1, "DELETE FROM t").await.unwrap();
    let select = pipeline(None, &[query], true);
    let early = b.pipeline_at(1, Some("1.4"), &select).await.unwrap();
    assert_refused(&early, 409, "POSITION_NOT_REACHED");
    assert!(b.confirm(1, 4, 10_000).await.unwrap().confirmed);
    assert_eq!(
        b.pipeline_at(1, Some("1.4"), &select).await.unwrap().status,
        200
    );
}

/// Fails if a disconnected former primary keeps unconfirmed writes, or if streams of an old term
/// stay open.
#[ntex::test]
async fn diverged_log_replaced() {
    let mut group = ProcessGroup::create("member-diverged").await.unwrap();
    let members = start_members(&mut group, &["a", "b", "c"], &[]).await;
    let [a, b, c] = &members[..] else {
        panic!("three members")
    };
    a.make_primary(1, &[b, c]).await.unwrap();
    a.execute(1, "CREATE TABLE t (v)").await.unwrap();
    assert!(b.confirm(1, 2, 10_000).await.unwrap().confirmed);
    assert!(c.confirm(1, 2, 10_000).await.unwrap().confirmed);
    let cut = FaultUpdate {
        cut_peers: Some(["members".to_owned()].into()),
        cut_mode: Some(CutMode::Refuse),
        ..FaultUpdate::default()
    };
    a.set_faults(&cut).await.unwrap();
    a.execute(1, "INSERT INTO t VALUES ('lost')").await.unwrap();
    assert!(!b.confirm(1, 3, 100).await.unwrap().confirmed);
    let open = pipeline(None, &["BEGIN", "INSERT INTO t VALUES ('open')"], false);
    let baton = common::baton(&a.pipeline(1, &open).await.unwrap());

    b.make_primary(2, &[c]).await.unwrap();
    b.execute(2, "INSERT INTO t VALUES ('kept')").await.unwrap();
    a.set_faults(&FaultUpdate {
        cut_peers: Some([].into()),
        ..FaultUpdate::default()
    })
    .await
    .unwrap();
    assert!(a.follow(2, "test", b.address).await.unwrap().accepted);
    wait_for_log(a, "2.4").await;
    let found = rows(&a.execute(2, "SELECT v FROM t").await.unwrap());
    assert_eq!(found, json!([[{"type": "text", "value": "kept"}]]));
    assert_eq!(
        a.log_entries().await.unwrap(),
        b.log_entries().await.unwrap()
    );
    let commit = pipeline(Some(&baton), &["COMMIT"], true);
    assert_refused(
        &a.pipeline(2, &commit).await.unwrap(),
        409,
        "STREAM_NOT_FOUND",
    );
}

/// Fails if a member loses its term or its log when its process is killed.
#[ntex::test]
async fn journal_survives_kill() {
    let mut group = ProcessGroup::create("member-journal").await.unwrap();
    let journal = group.directory().join("journal").display().to_string();
    let members = start_members(&mut group, &["a"], &["--journal", &journal]).await;
    let a = &members[0];
    a.make_primary(4, &[]).await.unwrap();
    a.execute(4, "CREATE TABLE t AS SELECT 7 AS v")
        .await
        .unwrap();
    group.kill("orders-a").unwrap();
    assert!(a.status().await.is_err());
    group.restart("orders-a").unwrap();
    wait_for_log(a, "4.2").await;
    let status = a.status().await.unwrap();
    assert_eq!((status.term.get(), status.role), (4, MemberRole::Fenced));
    assert!(!a.fence(4, "other").await.unwrap().accepted);
    a.make_primary(5, &[]).await.unwrap();
    let found = rows(&a.execute(5, "SELECT v FROM t").await.unwrap());
    assert_eq!(found, json!([[{"type": "integer", "value": "7"}]]));
}
