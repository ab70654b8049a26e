//! Executes batches like a member of a database group, on an in-memory SQLite database.

use coriander_routing::RequestLog;
use libsql_hrana::proto::{
    BatchCond, BatchResult, BatchStreamResp, Col, Error, PipelineReqBody, PipelineRespBody, Row,
    Stmt, StmtResult, StreamRequest, StreamResponse, StreamResult, Value,
};
use rusqlite::Connection;
use rusqlite::types::ValueRef;

pub fn open() -> Connection {
    let connection = Connection::open_in_memory().expect("in-memory database");
    for sql in RequestLog::SCHEMA {
        connection.execute_batch(sql).expect("schema");
    }
    let schema = "CREATE TABLE t (id INTEGER PRIMARY KEY, a TEXT UNIQUE)";
    connection.execute_batch(schema).expect("schema");
    connection
}

pub fn count(connection: &Connection, table: &str) -> i64 {
    let sql = format!("SELECT count(*) FROM {table}");
    connection
        .query_row(&sql, [], |row| row.get(0))
        .expect("count")
}

pub fn run_statement(connection: &Connection, stmt: &Stmt) -> rusqlite::Result<StmtResult> {
    let mut prepared = connection.prepare(stmt.sql.as_deref().expect("text"))?;
    for (index, arg) in stmt.args.iter().enumerate() {
        match arg {
            Value::Text { value } => prepared.raw_bind_parameter(index + 1, &**value)?,
            Value::Integer { value } => prepared.raw_bind_parameter(index + 1, value)?,
            _ => prepared.raw_bind_parameter(index + 1, rusqlite::types::Null)?,
        }
    }
    let names = prepared
        .column_names()
        .into_iter()
        .map(|name| Some(name.to_owned()));
    let cols: Vec<Col> = names
        .map(|name| Col {
            name,
            decltype: None,
        })
        .collect();
    let mut result = StmtResult {
        rows_read: 3,
        query_duration_ms: 0.7,
        ..StmtResult::default()
    };
    let mut rows = prepared.raw_query();
    while let Some(row) = rows.next()? {
        let value = |index| match row.get_ref_unwrap(index) {
            ValueRef::Integer(value) => Value::Integer { value },
            ValueRef::Real(value) => Value::Float { value },
            ValueRef::Text(text) => Value::Text {
                value: String::from_utf8_lossy(text).into(),
            },
            _ => Value::Null,
        };
        result.rows.push(Row {
            values: (0..cols.len()).map(value).collect(),
        });
    }
    result.cols = cols;
    result.affected_row_count = connection.changes();
    result.last_insert_rowid = Some(connection.last_insert_rowid());
    Ok(result)
}

fn is_satisfied(connection: &Connection, result: &BatchResult, condition: &BatchCond) -> bool {
    match condition {
        BatchCond::Ok { step } => result.step_results[*step as usize].is_some(),
        BatchCond::Error { step } => result.step_errors[*step as usize].is_some(),
        BatchCond::Not { cond } => !is_satisfied(connection, result, cond),
        BatchCond::And(list) => list
            .conds
            .iter()
            .all(|cond| is_satisfied(connection, result, cond)),
        BatchCond::Or(list) => list
            .conds
            .iter()
            .any(|cond| is_satisfied(connection, result, cond)),
        BatchCond::IsAutocommit {} => connection.is_autocommit(),
        BatchCond::None => false,
    }
}

/// Executes a pipeline of one batch as a member does, up to `steps` steps.
pub fn run(connection: &Connection, pipeline: &PipelineReqBody, steps: usize) -> PipelineRespBody {
    let [StreamRequest::Batch(request)] = &*pipeline.requests else {
        panic!("one batch")
    };
    let mut result = BatchResult::default();
    for step in request.batch.steps.iter().take(steps) {
        let is_due = step
            .condition
            .as_ref()
            .is_none_or(|cond| is_satisfied(connection, &result, cond));
        let (done, error) = match is_due.then(|| run_statement(connection, &step.stmt)) {
            Some(Ok(done)) => (Some(done), None),
            Some(Err(error)) => (
                None,
                Some(Error {
                    message: error.to_string(),
                    code: "SQL".to_owned(),
                }),
            ),
            None => (None, None),
        };
        result.step_results.push(done);
        result.step_errors.push(error);
    }
    let response = StreamResponse::Batch(BatchStreamResp { result });
    PipelineRespBody {
        baton: None,
        base_url: None,
        results: vec![StreamResult::Ok { response }],
    }
}
