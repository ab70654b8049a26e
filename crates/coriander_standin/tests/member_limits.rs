//! Streams, slots and faults of a stand-in member.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use std::time::{Duration, Instant};

use common::{assert_refused, baton, pipeline, rows, start_members, statement_code};
use coriander_standin::member::FaultUpdate;
use coriander_standin::process::{HttpClient, MemberClient, ProcessGroup};
use ntex::http::Method;
use serde_json::{Value, json};

/// Fails if a member opens more streams than configured, or accepts a used or closed baton.
#[ntex::test]
async fn streams_limited() {
    let mut group = ProcessGroup::create("member-streams").await.unwrap();
    let args = ["--max-streams", "2", "--open-delay-ms", "30"];
    let members = start_members(&mut group, &["a"], &args).await;
    let a = &members[0];
    a.make_primary(1, &[]).await.unwrap();
    let open = pipeline(None, &["SELECT 1"], false);
    let start = Instant::now();
    let first = baton(&a.pipeline(1, &open).await.unwrap());
    assert!(start.elapsed() >= Duration::from_millis(30));
    a.pipeline(1, &open).await.unwrap();
    assert_refused(
        &a.pipeline(1, &open).await.unwrap(),
        503,
        "CONNECTION_LIMIT",
    );
    let close = pipeline(Some(&first), &[], true);
    assert_eq!(a.pipeline(1, &close).await.unwrap().status, 200);
    assert_refused(
        &a.pipeline(1, &close).await.unwrap(),
        409,
        "STREAM_NOT_FOUND",
    );
    let reopened = a.pipeline(1, &open).await.unwrap();
    assert_eq!(reopened.status, 200);
    let again = pipeline(Some(&baton(&reopened)), &["SELECT 1"], false);
    assert_eq!(a.pipeline(1, &again).await.unwrap().status, 200);
    assert_refused(&a.pipeline(1, &again).await.unwrap(), 409, "BATON_REUSED");
}

/// Fails if more requests than slots are executed at once, or if the queue is not limited.
#[ntex::test]
async fn slots_limited() {
    let mut group = ProcessGroup::create("member-slots").await.unwrap();
    let args = [
        "--slots",
        "1",
        "--queue-length",
        "1",
        "--statement-time-us",
        "200000",
    ];
    let members = start_members(&mut group, &["a"], &args).await;
    let a = &members[0];
    a.make_primary(1, &[]).await.unwrap();
    let mut tasks = Vec::new();
    for _ in 0..3 {
        let a = a.clone();
        tasks.push(ntex::rt::spawn(async move {
            a.execute(1, "SELECT 1").await.unwrap().status
        }));
    }
    let mut statuses = Vec::new();
    for task in tasks {
        statuses.push(task.await.unwrap());
    }
    statuses.sort_unstable();
    assert_eq!(
        statuses,
        [200, 200, 503],
        "one runs, one waits, one is refused"
    );
}

/// Fails if a writer that waits for a lock occupies the slot that the commit of the lock holder
/// needs.
#[ntex::test]
async fn lock_holder_commits() {
    let mut group = ProcessGroup::create("member-locks").await.unwrap();
    let members = start_members(&mut group, &["a"], &["--slots", "1"]).await;
    let a = &members[0];
    a.make_primary(1, &[]).await.unwrap();
    a.execute(1, "CREATE TABLE t (v)").await.unwrap();
    let begin = pipeline(
        None,
        &["BEGIN IMMEDIATE", "INSERT INTO t VALUES (1)"],
        false,
    );
    let holder_baton = baton(&a.pipeline(1, &begin).await.unwrap());
    let other = a.clone();
    let waiting =
        ntex::rt::spawn(async move { other.execute(1, "INSERT INTO t VALUES (2)").await.unwrap() });
    tokio::time::sleep(Duration::from_millis(50)).await;
    let commit = pipeline(Some(&holder_baton), &["COMMIT"], true);
    let committed = a.pipeline(1, &commit).await.unwrap();
    assert_eq!(
        (committed.status, statement_code(&committed).as_str()),
        (200, "")
    );
    assert_eq!(statement_code(&waiting.await.unwrap()), "");
    let found = rows(&a.execute(1, "SELECT v FROM t ORDER BY v").await.unwrap());
    assert_eq!(found.as_array().unwrap().len(), 2);
}

/// Fails if the transaction of a disconnected caller keeps the write lock.
#[ntex::test]
async fn abandoned_stream_closed() {
    let mut group = ProcessGroup::create("member-abandoned").await.unwrap();
    let args = ["--statement-time-us", "150000"];
    let members = start_members(&mut group, &["a"], &args).await;
    let a = &members[0];
    a.make_primary(1, &[]).await.unwrap();
    a.execute(1, "CREATE TABLE t (v)").await.unwrap();
    let short_timeout = HttpClient::create(Duration::from_millis(200)).await;
    let short_timeout = MemberClient::new(a.address, short_timeout);
    let begin = pipeline(
        None,
        &["BEGIN IMMEDIATE", "INSERT INTO t VALUES (1)"],
        false,
    );
    assert!(short_timeout.pipeline(1, &begin).await.is_err());
    let start = Instant::now();
    assert_eq!(
        statement_code(&a.execute(1, "INSERT INTO t VALUES (2)").await.unwrap()),
        ""
    );
    assert!(
        start.elapsed() < Duration::from_secs(2),
        "less than the lock wait"
    );
    let found = rows(&a.execute(1, "SELECT v FROM t").await.unwrap());
    assert_eq!(found, json!([[{"type": "integer", "value": "2"}]]));
}

/// Fails if a write is lost with its response, or if the record lacks headers or bodies.
#[ntex::test]
async fn dropped_response_write_kept() {
    let mut group = ProcessGroup::create("member-drop").await.unwrap();
    let members = start_members(&mut group, &["a"], &[]).await;
    let a = &members[0];
    a.make_primary(1, &[]).await.unwrap();
    a.execute(1, "CREATE TABLE t (v)").await.unwrap();
    a.set_faults(&FaultUpdate {
        drop_count: Some(1),
        ..FaultUpdate::default()
    })
    .await
    .unwrap();
    assert!(a.execute(1, "INSERT INTO t VALUES (1)").await.is_err());
    let found = rows(&a.execute(1, "SELECT v FROM t").await.unwrap());
    assert_eq!(found.as_array().unwrap().len(), 1);

    let caller = HttpClient::create(Duration::from_secs(5)).await;
    let url = format!("http://{}/v2/pipeline", a.address);
    let headers = [("x-group-term", "1"), ("authorization", "Bearer visible")];
    let body = pipeline(None, &["SELECT 'in-body'"], true).to_string();
    caller
        .send(Method::POST, &url, &headers, body.into_bytes())
        .await
        .unwrap();
    let received = a.received().await.unwrap();
    let has_header = |name: &str, value: &str| {
        let expected = (name.to_owned(), value.to_owned());
        received
            .iter()
            .any(|request| request.headers.contains(&expected))
    };
    assert!(has_header("authorization", "Bearer visible"));
    assert!(
        received
            .iter()
            .any(|request| request.body.contains("in-body"))
    );
}

/// Fails if the conditions of a batch are ignored, or if a sequence stops before its end.
#[ntex::test]
async fn batch_conditions_hold() {
    let mut group = ProcessGroup::create("member-batch").await.unwrap();
    let members = start_members(&mut group, &["a"], &[]).await;
    let a = &members[0];
    a.make_primary(1, &[]).await.unwrap();
    let sequence = "CREATE TABLE t (v UNIQUE); INSERT INTO t VALUES (1); -- end\n";
    let step = |sql: &str, condition: Value| json!({"stmt": {"sql": sql}, "condition": condition});
    let ok = |step: u32| json!({"type": "ok", "step": step});
    let steps = [
        json!({"stmt": {"sql": "BEGIN"}}),
        step("INSERT INTO t VALUES (:v)", ok(0)),
        step("COMMIT", ok(1)),
        step(
            "ROLLBACK",
            json!({"type": "not", "cond": {"type": "is_autocommit"}}),
        ),
    ];
    let mut batch = json!({"steps": steps});
    let value = json!([{"name": "v", "value": {"type": "integer", "value": "1"}}]);
    batch["steps"][1]["stmt"]["named_args"] = value;
    let requests = json!([
        {"type": "sequence", "sql": sequence}, {"type": "batch", "batch": batch},
        {"type": "get_autocommit"}, {"type": "describe", "sql": "SELECT v FROM t WHERE v = :v"},
        {"type": "close"},
    ]);
    let reply = a.pipeline(1, &json!({"requests": requests})).await.unwrap();
    let body: Value = reply.json().unwrap();
    let result = &body["results"][1]["response"]["result"];
    assert_eq!(result["step_errors"][1]["code"], "SQLITE_CONSTRAINT_UNIQUE");
    let ran: Vec<bool> = result["step_results"]
        .as_array()
        .unwrap()
        .iter()
        .map(|r| !r.is_null())
        .collect();
    assert_eq!(ran, [true, false, false, true]);
    assert_eq!(body["results"][2]["response"]["is_autocommit"], true);
    assert_eq!(
        body["results"][3]["response"]["result"]["params"][0]["name"],
        ":v"
    );
    assert_eq!(
        reply.header("x-log-position"),
        Some("1.3"),
        "the rolled back batch has no entry"
    );
}
