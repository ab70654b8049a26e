//! Classification of statements and requests as reads, writes and transaction control.

use coriander_routing::{RequestClassification, RequestKind, StatementCache, StatementKind};
use libsql_hrana::proto::{Batch, BatchCond, BatchStep, PipelineReqBody, Stmt};
use proptest::prelude::*;

/// Guards against rejecting common reads, which would then go to the primary.
#[test]
fn classify_proven_reads() {
    for sql in [
        "SELECT * FROM orders WHERE id = ?1",
        "select count(*), max(weight) from entries e left join sites s on s.id = e.site",
        "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n WHERE i < 9) SELECT i FROM n",
        "-- comment\n/* another */ SELECT replace(name, 'a', 'b') FROM t;",
        "VALUES (1), (2)",
        "SELECT j.value FROM t, json_each(t.body) AS j WHERE t.a = :a AND t.b = @b AND t.c = $c",
        "SELECT CASE WHEN a > 1 THEN 'x' ELSE 'y' END FROM t ORDER BY a LIMIT 5 OFFSET ?",
        "SELECT sum(w) OVER (PARTITION BY site ORDER BY day) FROM entries",
        "SELECT * FROM (SELECT a FROM t UNION SELECT b FROM u) WHERE a IN (SELECT c FROM v)",
        "EXPLAIN QUERY PLAN SELECT * FROM orders",
        "PRAGMA table_info('orders')",
    ] {
        assert_eq!(StatementKind::classify(sql), StatementKind::Read, "{sql}");
    }
}

/// Guards against a write or connection-dependent statement being sent to a replica.
#[test]
fn classify_hidden_writes() {
    for sql in [
        "",
        "INSERT INTO t VALUES (1) RETURNING id",
        "REPLACE INTO t VALUES (1)",
        "WITH a AS (SELECT 1) INSERT INTO t SELECT * FROM a",
        "WITH a AS (DELETE FROM t RETURNING id) SELECT * FROM a",
        "SELECT 1; DELETE FROM t",
        "SELECT 1;;\nUPDATE t SET a = 1",
        "SELECT 'a\\'; DELETE FROM t; --'",
        "SELECT /* /* */ 1; DELETE FROM t; -- */",
        "SELECT 1 -- \r; DELETE FROM t",
        "SELECT \"a\"; DROP TABLE t",
        "SELECT load_extension('x')",
        "SELECT Writefile('a', 'b')",
        "SELECT a FROM t WHERE b = (SELECT edit(c) FROM u)",
        "SELECT * FROM t ORDER BY load_extension('x')",
        "SELECT * FROM json_each(load_extension('x'))",
        "SELECT unknown_function(1)",
        "SELECT main.abs(1)",
        "SELECT last_insert_rowid()",
        "SELECT changes(), total_changes()",
        "SELECT * FROM pragma_journal_mode('wal')",
        "SELECT * FROM unknown_table_function(1)",
        "SELECT * INTO t FROM u",
        "PRAGMA journal_mode = WAL",
        "PRAGMA journal_mode(WAL)",
        "PRAGMA user_version = 4",
        "PRAGMA table_info(t); DELETE FROM t",
        "PRAGMA wal_checkpoint",
        "ATTACH 'x.db' AS x",
        "DETACH x",
        "VACUUM INTO 'copy.db'",
        "EXPLAIN DELETE FROM t",
        "CREATE TABLE t (a)",
        "\u{feff}DELETE FROM t",
    ] {
        assert_ne!(StatementKind::classify(sql), StatementKind::Read, "{sql}");
    }
}

/// Guards against transaction control in a request that runs in the transaction of the log.
#[test]
fn classify_control() {
    for (sql, kind) in [
        ("BEGIN IMMEDIATE", StatementKind::Begin),
        ("savepoint a", StatementKind::Begin),
        ("SAVEPOINT \"a;b\"", StatementKind::Begin),
        ("/* SELECT */ COMMIT", StatementKind::End),
        (";COMMIT", StatementKind::End),
        ("\u{feff}/* SELECT */ COMMIT", StatementKind::End),
        ("-- x\n;; end transaction;", StatementKind::End),
        ("ROLLBACK", StatementKind::End),
        (
            "ROLLBACK TRANSACTION TO SAVEPOINT a",
            StatementKind::Savepoint,
        ),
        ("RELEASE a", StatementKind::Savepoint),
        ("DELETE FROM t; COMMIT", StatementKind::End),
        ("SELECT 1; COMMIT; BEGIN", StatementKind::Begin),
    ] {
        assert_eq!(StatementKind::classify(sql), kind, "{sql}");
    }
}

/// Guards against losing rows or connection counters where only counters are stored.
#[test]
fn classify_plain_changes() {
    let change = StatementKind::Change;
    assert_eq!(
        StatementKind::classify("INSERT INTO t VALUES ('a;b')"),
        change
    );
    assert_eq!(
        StatementKind::classify("UPDATE t SET a = ? WHERE b = ?;"),
        change
    );
    for sql in [
        "DELETE FROM t RETURNING a",
        "INSERT INTO u VALUES (last_insert_rowid())",
        "DELETE FROM t; DELETE FROM u",
    ] {
        assert_eq!(StatementKind::classify(sql), StatementKind::Write, "{sql}");
    }
}

fn class_of(requests: &str) -> RequestClassification {
    let body = format!(r#"{{"baton": null, "requests": [{requests}]}}"#);
    let pipeline: PipelineReqBody = serde_json::from_str(&body).expect("valid pipeline");
    RequestClassification::classify_requests(&pipeline.requests, &mut StatementCache::default())
}

/// Guards against overlooking a write among reads, stored texts and scripts.
#[test]
fn classify_pipelines() {
    use RequestKind::{AutocommitWrite, ReadOnly, Transaction};
    let read = r#"{"type":"execute","stmt":{"sql":"SELECT 1"}}"#;
    for (requests, kind, may_stay_in_transaction) in [
        (r#"{"type":"close"}"#, ReadOnly, false),
        (
            r#"{"type":"sequence","sql":"SELECT 1; SELECT ';'"}"#,
            ReadOnly,
            false,
        ),
        (
            r#"{"type":"sequence","sql":"SELECT 1; DELETE FROM t"}"#,
            AutocommitWrite,
            false,
        ),
        (
            r#"{"type":"sequence","sql":"SELECT 1; BEGIN"}"#,
            Transaction,
            true,
        ),
        (
            r#"{"type":"sequence","sql":"SELECT 'open"}"#,
            Transaction,
            true,
        ),
        (
            r#"{"type":"execute","stmt":{"sql_id":1}}"#,
            AutocommitWrite,
            false,
        ),
        (
            r#"{"type":"store_sql","sql_id":1,"sql":"SELECT 1"},{"type":"execute","stmt":{"sql_id":1}}"#,
            ReadOnly,
            false,
        ),
        (
            r#"{"type":"store_sql","sql_id":1,"sql":"SELECT 1"},{"type":"store_sql","sql_id":1,"sql":"DROP TABLE t"},{"type":"execute","stmt":{"sql_id":1}}"#,
            AutocommitWrite,
            false,
        ),
    ] {
        let class = class_of(requests);
        assert_eq!(
            (class.kind, class.may_stay_in_transaction),
            (kind, may_stay_in_transaction),
            "{requests}"
        );
        let class = class_of(&format!("{read},{requests},{read}"));
        assert_eq!(class.kind, kind, "among reads: {requests}");
    }
}

/// Guards against releasing a stream whose conditional COMMIT may not have run.
#[test]
fn classify_transactional_batch() {
    let mut cache = StatementCache::default();
    let mut batch = Batch::transactional([Stmt::new("DELETE FROM t", false)]);
    let class = RequestClassification::classify_batch(&batch, &mut cache);
    assert_eq!(class.kind, RequestKind::Transaction);
    assert!(class.may_stay_in_transaction);
    batch.steps = vec![BatchStep {
        condition: Some(BatchCond::Ok { step: 0 }),
        stmt: Stmt::new("SELECT 1", true),
    }];
    let class = RequestClassification::classify_batch(&batch, &mut cache);
    assert_eq!(class.kind, RequestKind::ReadOnly);
}

/// Guards against sending a transaction that writes or locks to a replica, and one that only reads
/// to the primary.
#[test]
fn classify_read_transaction() {
    let kind = |begin: &str, sql: &str| {
        let mut batch = Batch::transactional([Stmt::new("SELECT 1", true), Stmt::new(sql, true)]);
        batch.steps[0].stmt = Stmt::new(begin, false);
        RequestClassification::classify_batch(&batch, &mut StatementCache::default())
    };
    let read = kind("BEGIN DEFERRED", "SELECT 2");
    assert_eq!(
        (read.kind, read.may_stay_in_transaction),
        (RequestKind::ReadOnly, false)
    );
    for (begin, sql) in [
        ("BEGIN IMMEDIATE", "SELECT 2"),
        ("BEGIN /* */ exclusive", "SELECT 2"),
        ("BEGIN", "SELECT load_extension('x')"),
        ("SAVEPOINT a", "SELECT 2"),
    ] {
        assert_eq!(
            kind(begin, sql).kind,
            RequestKind::Transaction,
            "{begin}; {sql}"
        );
    }
}

/// Guards against reading the stored results of other accounts.
#[test]
fn classify_reserved_table() {
    for requests in [
        r#"{"type":"execute","stmt":{"sql":"SELECT * FROM corianderstile_requests"}}"#,
        r#"{"type":"execute","stmt":{"sql":"SELECT 1 FROM t, main.\"CorianderStile_Requests\""}}"#,
        r#"{"type":"sequence","sql":"SELECT 1; CREATE TRIGGER x AFTER INSERT ON corianderstile_requests BEGIN SELECT 1; END"}"#,
        r#"{"type":"batch","batch":{"steps":[{"stmt":{"sql":"BEGIN"}},{"stmt":{"sql":"DELETE FROM corianderstile_requests"}}]}}"#,
    ] {
        assert_eq!(class_of(requests).kind, RequestKind::Reserved, "{requests}");
    }
}

/// Guards against unbounded growth of the cache and wrong results after eviction.
#[test]
fn statement_cache_bounded() {
    let mut cache = StatementCache::default();
    for round in 0..20_000 {
        let sql = format!("SELECT {round}");
        assert_eq!(cache.classify(&sql), StatementKind::Read);
        assert_eq!(cache.classify("DELETE FROM t"), StatementKind::Change);
        assert!(cache.len() <= 4096);
    }
    assert_eq!(cache.misses(), 20_001, "a text in regular use stays cached");
}

/// Guards against exhausting the stack with a deeply nested or very long text.
#[test]
fn classify_deep_texts() {
    for (part, count) in [
        ("1+", 4090),
        ("(", 8000),
        ("SELECT (", 1000),
        ("NOT ", 2000),
        ("a,", 9999),
    ] {
        let sql = format!("SELECT {}1", part.repeat(count));
        let _ = StatementKind::classify(&sql);
    }
}

proptest! {
    /// Guards against panics on arbitrary texts.
    #[test]
    fn classify_arbitrary_text(sql in "\\PC{0,200}", prefix in prop::sample::select(vec!["", "SELECT ", "WITH ", "PRAGMA ", ";/*", "BEGIN;"])) {
        let _ = StatementKind::classify(&format!("{prefix}{sql}"));
    }

    /// Guards against a text that is classified as a read but changes data in SQLite.
    #[test]
    fn classify_agrees_with_sqlite(pieces in prop::collection::vec(prop::sample::select(vec![
        "SELECT ", "1 ", "a ", "FROM t ", ";", "'", "\"", "--", "\n", "\r", "/*", "*/", "DELETE FROM t ",
        "INSERT INTO t VALUES (1) ", "WITH x AS (", ")", "\\", "[", "]", "`", "RETURNING a ", "UNION ", "$$",
        "E'", "x'", "#", "\u{a0}", "\u{feff}", ",", "REPLACE ", "PRAGMA user_version=3 ",
    ]), 1..12)) {
        let sql = pieces.concat();
        if StatementKind::classify(&sql) == StatementKind::Read {
            let connection = rusqlite::Connection::open_in_memory().expect("in-memory database");
            connection.execute_batch("CREATE TABLE t (a); INSERT INTO t VALUES (7)").expect("schema");
            // SQLite may reject the text; if it runs, it must not change data.
            let _ = connection.execute_batch(&sql);
            let total: i64 = connection
                .query_row("SELECT (SELECT count(*) FROM t) + 10 * user_version FROM pragma_user_version", [], |row| row.get(0))
                .expect("query");
            prop_assert_eq!(total, 1, "{}", sql);
        }
    }
}
