//! Logged writes against SQLite: at-most-once execution, identical results on retry, atomicity.

mod support;

use coriander_routing::{
    LoggedWrite, LookupResult, MAX_OUTCOME_LENGTH, RequestIdentity, RequestLog, StatementCache,
    WrapError, WriteResult, WriteStep,
};
use coriander_tokens::RequestDigest;
use libsql_hrana::proto::{
    Batch, BatchResult, BatchStreamResp, Error, PipelineReqBody, PipelineRespBody, Stmt,
    StmtResult, StreamResponse, StreamResult,
};
use proptest::prelude::*;
use rusqlite::Connection;

use support::{count, open, run, run_statement};

fn wrap(id: &str, requests: &str) -> Result<LoggedWrite, WrapError> {
    let body = format!(r#"{{"baton": null, "requests": [{requests}]}}"#);
    let caller: PipelineReqBody = serde_json::from_str(&body).expect("valid pipeline");
    let name = |name: &str| name.parse().expect("valid name");
    let digest = RequestDigest::compute(
        &name("records"),
        &"orders".parse().expect("valid name"),
        body.as_bytes(),
    );
    let account = "north".parse().expect("valid name");
    let identity = RequestIdentity::new(account, id, digest).expect("valid id");
    LoggedWrite::new(identity, &caller.requests, &mut StatementCache::default())
}

fn execute(connection: &Connection, write: &LoggedWrite) -> WriteResult {
    match write.interpret(run(connection, &write.pipeline(None), usize::MAX)) {
        WriteStep::Ended(result) => result,
        WriteStep::Commit(store) => {
            let response = run(connection, &store.pipeline(None), usize::MAX);
            store.interpret(response)
        }
    }
}

fn json(results: &[StreamResult]) -> String {
    serde_json::to_string(results).expect("results are encodable")
}

const INSERT: &str = r#"{"type":"execute","stmt":{"sql":"INSERT INTO t (a) VALUES ('x')"}}"#;
const RETURNING: &str = r#"{"type":"execute","stmt":{"sql":"INSERT INTO t (a) VALUES ('y') RETURNING id, a, 0.1 + 0.2"}}"#;
const FAILING: &str =
    r#"{"type":"execute","stmt":{"sql":"INSERT INTO t (id, a) VALUES (1, NULL), (1, NULL)"}}"#;

/// Guards against a second execution or a different result when a lost response is retried.
#[test]
fn logged_write_retry_same_results() {
    let script = r#"{"type":"sequence","sql":"DELETE FROM t; INSERT INTO t (a) VALUES ('p;q');"},{"type":"close"}"#;
    let batch = r#"{"type":"batch","batch":{"steps":[
        {"stmt":{"sql":"INSERT INTO t (id, a) VALUES (1, 'm')"}},
        {"stmt":{"sql":"INSERT INTO t (id, a) VALUES (1, 'n')"}},
        {"condition":{"type":"error","step":1},"stmt":{"sql":"UPDATE t SET a = 'o'"}},
        {"condition":{"type":"ok","step":1},"stmt":{"sql":"DELETE FROM t"}}]}}"#;
    for requests in [
        INSERT.to_owned(),
        RETURNING.to_owned(),
        script.to_owned(),
        batch.to_owned(),
        format!("{INSERT},{RETURNING},{script}"),
        r#"{"type":"store_sql","sql_id":4,"sql":"INSERT INTO t (a) VALUES (?)"},{"type":"execute","stmt":{"sql_id":4,"args":[{"type":"integer","value":"5"}]}}"#.to_owned(),
        r#"{"type":"execute","stmt":{"sql":"CREATE TABLE u (a)"}}"#.to_owned(),
    ] {
        let connection = open();
        let write = wrap("1", &requests).expect("can be wrapped");
        let WriteResult::Done { results: first } = execute(&connection, &write) else {
            panic!("not done: {requests}")
        };
        let rows = count(&connection, "t");
        let WriteResult::AlreadyDone { results: Some(again) } = execute(&connection, &write) else {
            panic!("not found: {requests}")
        };
        assert_eq!(json(&first), json(&again));
        assert!(!json(&first).contains(r#""type":"error""#), "{}", json(&first));
        assert_eq!((rows, count(&connection, "corianderstile_requests")), (count(&connection, "t"), 1));
        assert!(connection.is_autocommit());
    }
}

/// Guards against losing the counters that callers read from the first result.
#[test]
fn logged_write_counters() {
    let connection = open();
    connection
        .execute_batch("INSERT INTO t (id, a) VALUES (40, 'o'), (41, 'p')")
        .expect("rows");
    let update = r#"{"type":"execute","stmt":{"sql":"UPDATE t SET a = a || '!'"}}"#;
    let write = wrap("1", &format!("{update},{INSERT}")).expect("can be wrapped");
    let WriteResult::Done { results } = execute(&connection, &write) else {
        panic!("not done")
    };
    let text = json(&results);
    assert!(text.contains(r#""affected_row_count":2"#), "{text}");
    assert!(
        text.contains(r#""affected_row_count":1,"last_insert_rowid":"42""#),
        "{text}"
    );
}

/// Guards against a failed request taking effect in part, or blocking its retry.
#[test]
fn logged_write_failure_rolls_back() {
    for requests in [
        format!("{INSERT},{FAILING}"),
        format!("{RETURNING},{FAILING},{INSERT}"),
    ] {
        let connection = open();
        let write = wrap("1", &requests).expect("can be wrapped");
        let WriteResult::Failed {
            results,
            is_stream_clean: true,
        } = execute(&connection, &write)
        else {
            panic!("not failed")
        };
        assert!(
            results
                .iter()
                .all(|result| matches!(result, StreamResult::Error { .. }))
        );
        assert!(
            json(&results).contains("UNIQUE constraint"),
            "{}",
            json(&results)
        );
        assert_eq!(
            (
                count(&connection, "t"),
                count(&connection, "corianderstile_requests")
            ),
            (0, 0)
        );
    }
}

/// Guards against statements that run outside of the transaction after SQLite rolled it back.
#[test]
fn logged_write_implicit_rollback() {
    let batch = r#"{"type":"batch","batch":{"steps":[
        {"stmt":{"sql":"INSERT INTO t (id, a) VALUES (1, 'm')"}},
        {"stmt":{"sql":"INSERT OR ROLLBACK INTO t (id, a) VALUES (1, 'n')"}},
        {"condition":{"type":"error","step":1},"stmt":{"sql":"INSERT INTO t (a) VALUES ('o')"}}]}}"#;
    for requests in [batch.to_owned(), format!("{RETURNING},{batch},{INSERT}")] {
        let connection = open();
        let result = execute(&connection, &wrap("1", &requests).expect("can be wrapped"));
        assert!(matches!(
            result,
            WriteResult::Failed {
                is_stream_clean: false,
                ..
            }
        ));
        assert_eq!(
            (
                count(&connection, "t"),
                count(&connection, "corianderstile_requests")
            ),
            (0, 0)
        );
    }
}

/// Guards against returning the outcome of another request.
#[test]
fn logged_write_id_reused() {
    let connection = open();
    execute(&connection, &wrap("1", INSERT).expect("can be wrapped"));
    let other = wrap("1", RETURNING).expect("can be wrapped");
    assert!(matches!(
        execute(&connection, &other),
        WriteResult::IdReused
    ));
    assert_eq!(count(&connection, "t"), 1);
}

/// Guards against reporting a write as not run or failed when the response is incomplete.
#[test]
fn logged_write_incomplete_response() {
    for requests in [INSERT, RETURNING] {
        let write = wrap("1", requests).expect("can be wrapped");
        for steps in 0..5 {
            let response = run(&open(), &write.pipeline(None), steps);
            assert!(matches!(
                write.interpret(response),
                WriteStep::Ended(WriteResult::Unknown)
            ));
        }
    }
}

/// Guards against mistaking a busy database or a missing table for an executed write.
#[test]
fn logged_write_not_run() {
    let connection = open();
    connection
        .execute_batch("DROP TABLE corianderstile_requests")
        .expect("drop");
    let write = wrap("1", INSERT).expect("can be wrapped");
    assert!(matches!(
        execute(&connection, &write),
        WriteResult::NotRun { .. }
    ));
    connection
        .execute_batch("BEGIN")
        .expect("transaction that is already open");
    assert!(matches!(
        execute(&connection, &write),
        WriteResult::NotRun { .. }
    ));
}

/// Guards against unbounded records, and against a second execution when an outcome is too large.
#[test]
fn logged_write_large_outcome() {
    let connection = open();
    let sql = format!("INSERT INTO t (a) VALUES (hex(zeroblob({MAX_OUTCOME_LENGTH}))) RETURNING a");
    let write = wrap(
        "1",
        &format!(r#"{{"type":"execute","stmt":{{"sql":"{sql}"}}}}"#),
    )
    .expect("can be wrapped");
    assert!(matches!(
        execute(&connection, &write),
        WriteResult::Done { .. }
    ));
    assert!(matches!(
        execute(&connection, &write),
        WriteResult::AlreadyDone { results: None }
    ));
    let longest = "SELECT max(length(outcome)) FROM corianderstile_requests";
    assert_eq!(
        connection
            .query_row(longest, [], |row| row.get::<_, i64>(0))
            .expect("length"),
        1
    );
}

/// Guards against a second execution of a transaction in one batch after its response was lost.
#[test]
fn logged_write_batch_transaction() {
    let ok = |step: u32| format!(r#""condition":{{"type":"ok","step":{step}}},"#);
    let open_and_ok = r#""condition":{"type":"and","conds":[{"type":"ok","step":2},{"type":"not","cond":{"type":"is_autocommit"}}]},"#;
    let request = |second: &str, commit: &str| {
        format!(
            r#"{{"type":"batch","batch":{{"steps":[
            {{"stmt":{{"sql":"BEGIN IMMEDIATE"}}}},
            {{{}"stmt":{{"sql":"INSERT INTO t (id) VALUES (1)"}}}},
            {{{}"stmt":{{"sql":"{second}"}}}},
            {{{commit}"stmt":{{"sql":"COMMIT"}}}},
            {{"condition":{{"type":"not","cond":{{"type":"ok","step":3}}}},"stmt":{{"sql":"ROLLBACK"}}}}]}}}}"#,
            ok(0),
            ok(1)
        )
    };
    let shape = |results: &[StreamResult]| match results {
        [
            StreamResult::Ok {
                response: StreamResponse::Batch(batch),
            },
        ] => {
            let results = batch.result.step_results.iter().map(Option::is_some);
            (
                results.collect::<Vec<_>>(),
                batch.result.step_errors.iter().flatten().count(),
            )
        }
        _ => panic!("one batch"),
    };
    for commit in [&*ok(2), open_and_ok] {
        let connection = open();
        let write = wrap("1", &request("UPDATE t SET a = 'x'", commit)).expect("can be wrapped");
        assert!(write.is_single_pass());
        let WriteResult::Done { results } = execute(&connection, &write) else {
            panic!("not done")
        };
        assert_eq!(shape(&results), (vec![true, true, true, true, false], 0));
        let again = execute(&connection, &write);
        let WriteResult::AlreadyDone {
            results: Some(again),
        } = again
        else {
            panic!("not found")
        };
        assert_eq!(json(&results), json(&again));
        assert_eq!(count(&connection, "t"), 1);
        let connection = open();
        let write =
            wrap("2", &request("INSERT INTO t (id) VALUES (1)", commit)).expect("can be wrapped");
        let WriteResult::Failed { results, .. } = execute(&connection, &write) else {
            panic!("not failed")
        };
        // One error is that of the second statement, the other reports the rollback of the first.
        assert_eq!(shape(&results), (vec![true, false, false, false, true], 2));
        assert_eq!(
            (
                count(&connection, "t"),
                count(&connection, "corianderstile_requests")
            ),
            (0, 0)
        );
    }
    // A COMMIT that does not depend on every statement would commit a failed transaction in part.
    for commit in ["", &ok(1)] {
        let write = wrap("1", &request("UPDATE t SET a = 'x'", commit));
        assert_eq!(write.err(), Some(WrapError::Transaction));
    }
}

/// Guards against requests that end the transaction of the record or read other records.
#[test]
fn logged_write_refused() {
    for (requests, error) in [
        (
            r#"{"type":"execute","stmt":{"sql":";COMMIT"}}"#,
            WrapError::Transaction,
        ),
        (
            r#"{"type":"sequence","sql":"DELETE FROM t; COMMIT"}"#,
            WrapError::Transaction,
        ),
        (
            r#"{"type":"execute","stmt":{"sql":"DELETE FROM \"CORIANDERSTILE_requests\""}}"#,
            WrapError::ReservedTable,
        ),
        (
            r#"{"type":"execute","stmt":{"sql_id":3}}"#,
            WrapError::UnknownText,
        ),
        (
            r#"{"type":"sequence","sql":"CREATE TRIGGER x AFTER INSERT ON t BEGIN DELETE FROM t; END"}"#,
            WrapError::Script,
        ),
        (
            r#"{"type":"describe","sql":"SELECT 1"}"#,
            WrapError::Describe,
        ),
        (
            r#"{"type":"batch","batch":{"steps":[{"condition":{"type":"ok","step":0},"stmt":{"sql":"DELETE FROM t"}}]}}"#,
            WrapError::Condition,
        ),
    ] {
        assert_eq!(wrap("1", requests).err(), Some(error), "{requests}");
    }
    let steps = Batch::single(Stmt::new("DELETE FROM t", false)).steps;
    let steps = steps.into_iter().cycle().take(5000).collect();
    let batch = Batch {
        steps,
        replication_index: None,
    };
    let text = serde_json::to_string(&batch).expect("encodable");
    let request = format!(r#"{{"type":"batch","batch":{text}}}"#);
    assert_eq!(wrap("1", &request).err(), Some(WrapError::TooManySteps));
}

/// Guards against a second execution of an interactive transaction after a lost COMMIT response.
#[test]
fn request_log_interactive_commit() {
    let connection = open();
    let digest = RequestDigest::compute(
        &"a".parse().expect("valid name"),
        &"b".parse().expect("valid name"),
        b"",
    );
    let identity =
        RequestIdentity::new("north".parse().expect("valid name"), "7", digest).expect("valid id");
    let lookup = || {
        let result = run_statement(&connection, &RequestLog::lookup(&identity)).expect("lookup");
        RequestLog::interpret_lookup(&identity, &result)
    };
    assert!(matches!(lookup(), Some(LookupResult::Missing)));
    run_statement(&connection, &RequestLog::record_commit(&identity)).expect("record");
    assert!(matches!(lookup(), Some(LookupResult::Committed(None))));
    connection
        .execute_batch("UPDATE corianderstile_requests SET created = 1")
        .expect("update");
    connection
        .execute_batch(RequestLog::CLEANUP)
        .expect("cleanup");
    assert!(matches!(lookup(), Some(LookupResult::Missing)));
}

proptest! {
    /// Guards against a lost or second execution when the first attempt is interrupted at any step
    /// by the loss of the gateway or the stream.
    #[test]
    fn logged_write_lost_at_any_step(first in 0..12usize, second in 0..4usize, kind in 0..3usize) {
        let connection = open();
        let requests = [INSERT, RETURNING, &format!("{INSERT},{RETURNING}")][kind].to_owned();
        let write = wrap("1", &requests).expect("can be wrapped");
        let step = write.interpret(run(&connection, &write.pipeline(None), first));
        let known = match step {
            WriteStep::Ended(result) => result,
            WriteStep::Commit(store) => {
                let response = run(&connection, &store.pipeline(None), second);
                store.interpret(response)
            }
        };
        // The member rolls back the transaction of a lost stream.
        if !connection.is_autocommit() {
            connection.execute_batch("ROLLBACK").expect("open transaction");
        }
        let is_committed = count(&connection, "t") > 0;
        match (known, execute(&connection, &write)) {
            (WriteResult::Done { results }, WriteResult::AlreadyDone { results: Some(again) }) => {
                prop_assert_eq!(json(&results), json(&again));
            }
            (WriteResult::Unknown, WriteResult::AlreadyDone { results: Some(_) }) => prop_assert!(is_committed),
            (WriteResult::Unknown, WriteResult::Done { .. }) => prop_assert!(!is_committed),
            (known, again) => prop_assert!(false, "{:?}, then {:?}", known, again),
        }
        prop_assert_eq!(count(&connection, "t"), if kind == 2 { 2 } else { 1 });
    }

    /// Guards against panics and false success on any pattern of step results.
    #[test]
    fn logged_write_arbitrary_response(steps in prop::collection::vec(0..3u8, 0..10), is_returning: bool) {
        let write = wrap("1", if is_returning { RETURNING } else { INSERT }).expect("can be wrapped");
        let result = BatchResult {
            step_results: steps.iter().map(|s| (*s == 1).then(StmtResult::default)).collect(),
            step_errors: steps.iter().map(|s| (*s == 2).then(Error::default)).collect(),
            replication_index: None,
        };
        let results = vec![StreamResult::Ok { response: StreamResponse::Batch(BatchStreamResp { result }) }];
        let step = write.interpret(PipelineRespBody { baton: None, base_url: None, results });
        if let WriteStep::Ended(WriteResult::Done { .. }) = step {
            prop_assert!(!is_returning && steps[6] == 1, "done without a commit");
        }
    }
}
