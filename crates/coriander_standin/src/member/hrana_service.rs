//! Handlers of Hrana pipelines and cursors over HTTP.

use std::rc::Rc;
use std::time::Duration;

use coriander_core::{LogPosition, TermNumber};
use libsql_hrana::proto::{
    Batch, BatchCond, BatchResult, BatchStreamResp, CloseSqlStreamResp, CloseStreamResp,
    CursorEntry, CursorReqBody, CursorRespBody, DescribeCol, DescribeParam, DescribeResult,
    DescribeStreamResp, Error as HranaError, ExecuteStreamResp, GetAutocommitStreamResp,
    PipelineReqBody, PipelineRespBody, SequenceStreamResp, StepBeginEntry, StepEndEntry,
    StepErrorEntry, StoreSqlStreamResp, StreamRequest, StreamResponse, StreamResult,
};
use ntex::io::IoRef;
use ntex::util::Bytes;
use ntex::web::{HttpRequest, HttpResponse};
use serde::Serialize;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::sleep;

use super::member_node::MemberNode;
use super::member_refusal::MemberRefusal;
use super::sql_database::prepare_single;
use super::statement_runner::{StatementRunner, sqlite_error, statement_error};
use super::stream_table::{SqlStream, StreamTable};

/// Headers that restrict the execution of a request, with the connection of the caller.
pub struct StatementHeaders {
    term: TermNumber,
    min_position: Option<LogPosition>,
    connection: Option<IoRef>,
}

impl StatementHeaders {
    /// Reads the headers.
    pub fn parse(request: &HttpRequest) -> Result<Self, MemberRefusal> {
        let text = |name: &str| {
            request
                .headers()
                .get(name)
                .and_then(|value| value.to_str().ok())
        };
        let term = text("x-group-term").and_then(|term| term.parse().ok());
        let term = term.ok_or_else(|| MemberRefusal::malformed("x-group-term is missing"))?;
        let min_position = text("x-min-position")
            .map(str::parse)
            .transpose()
            .map_err(|error| MemberRefusal::malformed(format!("x-min-position: {error}")))?;
        Ok(Self {
            term: TermNumber::new(term),
            min_position,
            connection: request.io().cloned(),
        })
    }

    /// Returns whether the caller has closed its connection, so that no response can be sent.
    fn is_abandoned(&self) -> bool {
        self.connection.as_ref().is_some_and(IoRef::is_closed)
    }
}

/// Executes a pipeline.
pub async fn serve_pipeline(
    node: Rc<MemberNode>,
    headers: StatementHeaders,
    body: Bytes,
) -> Result<HttpResponse, MemberRefusal> {
    let body: PipelineReqBody = parse_body(&body)?;
    let (mut stream, permit) = begin_request(&node, &headers, body.baton.as_deref()).await?;
    let start = node.position();
    let mut runner = StatementRunner::new(node.clone(), &mut stream, permit);
    let mut results = Vec::with_capacity(body.requests.len());
    let mut is_closed = false;
    for request in &body.requests {
        is_closed |= matches!(request, StreamRequest::Close(_));
        results.push(match run_request(&mut runner, request).await {
            Ok(response) => StreamResult::Ok { response },
            Err(error) => StreamResult::Error { error },
        });
    }
    let position = runner.committed.unwrap_or(start);
    drop(runner);
    let reply = PipelineRespBody {
        baton: end_request(&node, stream, is_closed, &headers),
        base_url: None,
        results,
    };
    Ok(build_response(
        &node,
        position,
        json_line(&reply),
        "application/json",
    ))
}

/// Executes the batch of a cursor.
pub async fn serve_cursor(
    node: Rc<MemberNode>,
    headers: StatementHeaders,
    body: Bytes,
) -> Result<HttpResponse, MemberRefusal> {
    let body: CursorReqBody = parse_body(&body)?;
    let (mut stream, permit) = begin_request(&node, &headers, body.baton.as_deref()).await?;
    let start = node.position();
    let mut runner = StatementRunner::new(node.clone(), &mut stream, permit);
    let result = run_batch(&mut runner, &body.batch).await;
    let position = runner.committed.unwrap_or(start);
    drop(runner);
    let head = CursorRespBody {
        baton: end_request(&node, stream, false, &headers),
        base_url: None,
    };
    let mut text = json_line(&head);
    for entry in cursor_entries(result) {
        text.push_str(&json_line(&entry));
    }
    Ok(build_response(
        &node,
        position,
        text,
        "application/x-ndjson",
    ))
}

fn parse_body<T: serde::de::DeserializeOwned>(body: &Bytes) -> Result<T, MemberRefusal> {
    serde_json::from_slice(body).map_err(|error| MemberRefusal::malformed(error.to_string()))
}

fn json_line<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("serializable response") + "\n"
}

/// Builds a response with the current term, which can be newer than the term of the request.
fn build_response(
    node: &MemberNode,
    position: LogPosition,
    body: String,
    content_type: &str,
) -> HttpResponse {
    HttpResponse::Ok()
        .content_type(content_type)
        .header("x-group-term", node.group.borrow().term.to_string())
        .header("x-log-position", position.to_string())
        .body(body)
}

fn check_headers(node: &MemberNode, headers: &StatementHeaders) -> Result<(), MemberRefusal> {
    let group = node.group.borrow();
    if group.term != headers.term {
        let message = format!("the member is in term {}", group.term);
        return Err(MemberRefusal::conflict("TERM_CHANGED", message));
    }
    if !group.is_serving() {
        let message = "the member is neither the primary nor a replica with a matching log";
        return Err(MemberRefusal::conflict("NOT_SERVING", message));
    }
    let last = group.log.last_position();
    match headers.min_position {
        Some(min_position) if !last.includes(min_position) => {
            let message = format!("the log ends at {last}, before {min_position}");
            Err(MemberRefusal::conflict("POSITION_NOT_REACHED", message))
        }
        _ => Ok(()),
    }
}

/// Waits for the minimum position of a request, checks its headers, and acquires its stream and a
/// slot.
async fn begin_request(
    node: &Rc<MemberNode>,
    headers: &StatementHeaders,
    baton: Option<&str>,
) -> Result<(Box<SqlStream>, OwnedSemaphorePermit), MemberRefusal> {
    if let Some(min_position) = headers.min_position {
        let limit = Duration::from_millis(node.settings.position_wait_ms);
        node.wait_until(limit, |node| {
            node.position().includes(min_position) || node.group.borrow().term != headers.term
        })
        .await;
    }
    check_headers(node, headers)?;
    if let Some(baton) = baton {
        let permit = node.acquire_slot().await?;
        check_headers(node, headers)?;
        let stream = node.streams.borrow_mut().take(baton)?;
        return Ok((stream, permit));
    }
    let id = node
        .streams
        .borrow_mut()
        .reserve(node.settings.max_streams)?;
    let opened = open_stream(node, headers, id).await;
    if opened.is_err() {
        node.streams.borrow_mut().cancel_reservation(id);
    }
    opened
}

async fn open_stream(
    node: &Rc<MemberNode>,
    headers: &StatementHeaders,
    id: u64,
) -> Result<(Box<SqlStream>, OwnedSemaphorePermit), MemberRefusal> {
    if node.settings.open_delay_ms > 0 {
        sleep(Duration::from_millis(node.settings.open_delay_ms)).await;
    }
    let permit = node.acquire_slot().await?;
    check_headers(node, headers)?;
    let connection = node.database().connect();
    let connection =
        connection.map_err(|error| MemberRefusal::overload("OPEN_FAILED", error.to_string()))?;
    Ok((StreamTable::create(id, connection, node.epoch()), permit))
}

/// Puts the stream back and returns its next baton, or closes the stream.
///
/// The stream is closed if the request closes it, if its epoch has ended or if the caller has
/// disconnected: a stream whose baton cannot be delivered would only hold its locks until it
/// expires.
fn end_request(
    node: &MemberNode,
    stream: Box<SqlStream>,
    is_closed: bool,
    headers: &StatementHeaders,
) -> Option<String> {
    let mut streams = node.streams.borrow_mut();
    let is_abandoned = !node.settings.keep_abandoned && headers.is_abandoned();
    if is_closed || is_abandoned || stream.epoch != node.epoch() {
        streams.close(&stream);
        return None;
    }
    Some(streams.put_back(stream))
}

async fn run_request(
    runner: &mut StatementRunner<'_>,
    request: &StreamRequest,
) -> Result<StreamResponse, HranaError> {
    Ok(match request {
        StreamRequest::None => return Err(statement_error("BAD_REQUEST", "unknown request")),
        StreamRequest::Close(_) => StreamResponse::Close(CloseStreamResp {}),
        StreamRequest::Execute(request) => StreamResponse::Execute(ExecuteStreamResp {
            result: runner.run(&request.stmt).await?,
        }),
        StreamRequest::Batch(request) => StreamResponse::Batch(BatchStreamResp {
            result: run_batch(runner, &request.batch).await,
        }),
        StreamRequest::Sequence(request) => {
            let sql = runner.resolve_sql(request.sql.as_ref(), request.sql_id)?;
            runner.run_sequence(&sql).await?;
            StreamResponse::Sequence(SequenceStreamResp {})
        }
        StreamRequest::Describe(request) => {
            let sql = runner.resolve_sql(request.sql.as_ref(), request.sql_id)?;
            let result = describe(runner, &sql)?;
            StreamResponse::Describe(DescribeStreamResp { result })
        }
        StreamRequest::StoreSql(request) => {
            let stored = &mut runner.stream.stored_sql;
            stored.insert(request.sql_id, request.sql.clone());
            StreamResponse::StoreSql(StoreSqlStreamResp {})
        }
        StreamRequest::CloseSql(request) => {
            runner.stream.stored_sql.remove(&request.sql_id);
            StreamResponse::CloseSql(CloseSqlStreamResp {})
        }
        StreamRequest::GetAutocommit(_) => StreamResponse::GetAutocommit(GetAutocommitStreamResp {
            is_autocommit: runner.stream.connection.is_autocommit(),
        }),
    })
}

fn describe(runner: &StatementRunner<'_>, sql: &str) -> Result<DescribeResult, HranaError> {
    let prepared = prepare_single(&runner.stream.connection, sql);
    let statement = prepared
        .map_err(|error| sqlite_error(&error))?
        .ok_or_else(|| statement_error("SQL_NO_STATEMENT", "the text has no statement"))?;
    let names = statement.column_names().into_iter();
    Ok(DescribeResult {
        params: (1..=statement.parameter_count())
            .map(|index| DescribeParam {
                name: statement.parameter_name(index).map(str::to_owned),
            })
            .collect(),
        cols: names
            .map(|name| DescribeCol {
                name: name.to_owned(),
                decltype: None,
            })
            .collect(),
        is_explain: statement.is_explain() != 0,
        is_readonly: statement.readonly(),
    })
}

async fn run_batch(runner: &mut StatementRunner<'_>, batch: &Batch) -> BatchResult {
    let mut result = BatchResult::default();
    for step in &batch.steps {
        let is_autocommit = runner.stream.connection.is_autocommit();
        let condition = step.condition.as_ref();
        let is_met =
            condition.is_none_or(|condition| evaluate_condition(condition, &result, is_autocommit));
        let (output, error) = if is_met {
            match runner.run(&step.stmt).await {
                Ok(output) => (Some(output), None),
                Err(error) => (None, Some(error)),
            }
        } else {
            (None, None)
        };
        result.step_results.push(output);
        result.step_errors.push(error);
    }
    result
}

fn evaluate_condition(condition: &BatchCond, result: &BatchResult, is_autocommit: bool) -> bool {
    let nested = |condition| evaluate_condition(condition, result, is_autocommit);
    let at = |step: &u32| *step as usize;
    match condition {
        BatchCond::None => true,
        BatchCond::Ok { step } => matches!(result.step_results.get(at(step)), Some(Some(_))),
        BatchCond::Error { step } => matches!(result.step_errors.get(at(step)), Some(Some(_))),
        BatchCond::Not { cond } => !nested(cond),
        BatchCond::And(list) => list.conds.iter().all(nested),
        BatchCond::Or(list) => list.conds.iter().any(nested),
        BatchCond::IsAutocommit {} => is_autocommit,
    }
}

fn cursor_entries(result: BatchResult) -> Vec<CursorEntry> {
    let mut entries = Vec::new();
    let steps = result.step_results.into_iter().zip(result.step_errors);
    for (step, (output, error)) in (0u32..).zip(steps) {
        if let Some(output) = output {
            let cols = output.cols;
            entries.push(CursorEntry::StepBegin(StepBeginEntry { step, cols }));
            entries.extend(output.rows.into_iter().map(|row| CursorEntry::Row { row }));
            entries.push(CursorEntry::StepEnd(StepEndEntry {
                affected_row_count: output.affected_row_count,
                last_insert_rowid: output.last_insert_rowid,
            }));
        }
        if let Some(error) = error {
            entries.push(CursorEntry::StepError(StepErrorEntry { step, error }));
        }
    }
    entries
}
