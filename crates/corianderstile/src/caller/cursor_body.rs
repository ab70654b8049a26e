//! Cursor requests, executed as a pipeline and returned as lines.

use coriander_core::{ErrorCode, RequestError};
use libsql_hrana::proto::{
    BatchResult, BatchStreamReq, CursorEntry, CursorReqBody, CursorRespBody, PipelineReqBody,
    PipelineRespBody, StepBeginEntry, StepEndEntry, StepErrorEntry, StmtResult, StreamRequest,
    StreamResponse, StreamResult,
};

use super::bounded_text::{MAX_ERROR_BYTES, bounded_text};

/// Converts a cursor request into the pipeline that runs the same batch.
pub fn cursor_to_pipeline(body: &[u8]) -> Result<PipelineReqBody, RequestError> {
    let cursor: CursorReqBody = serde_json::from_slice(body).map_err(|error| {
        let message = bounded_text(&format!("cursor request: {error}"), MAX_ERROR_BYTES);
        RequestError::not_run(ErrorCode::BadRequest, message)
    })?;
    let batch = StreamRequest::Batch(BatchStreamReq {
        batch: cursor.batch,
    });
    Ok(PipelineReqBody {
        baton: cursor.baton,
        requests: vec![batch],
    })
}

/// Converts the response of that pipeline into the lines of a cursor response.
pub fn cursor_lines(body: &[u8]) -> Result<Vec<u8>, serde_json::Error> {
    let response: PipelineRespBody = serde_json::from_slice(body)?;
    let head = CursorRespBody {
        baton: response.baton,
        base_url: response.base_url,
    };
    let mut lines = Vec::with_capacity(body.len());
    push_line(&mut lines, &head)?;
    match response.results.into_iter().next() {
        Some(StreamResult::Ok {
            response: StreamResponse::Batch(batch),
        }) => {
            push_batch(&mut lines, batch.result)?;
        }
        Some(StreamResult::Error { error }) => {
            push_line(&mut lines, &CursorEntry::Error { error })?;
        }
        _ => {}
    }
    Ok(lines)
}

fn push_batch(lines: &mut Vec<u8>, batch: BatchResult) -> Result<(), serde_json::Error> {
    let steps = batch.step_results.into_iter().zip(batch.step_errors);
    for (step, (result, error)) in (0u32..).zip(steps) {
        if let Some(result) = result {
            push_step(lines, step, result)?;
        }
        if let Some(error) = error {
            let entry = CursorEntry::StepError(StepErrorEntry { step, error });
            push_line(lines, &entry)?;
        }
    }
    Ok(())
}

fn push_step(lines: &mut Vec<u8>, step: u32, result: StmtResult) -> Result<(), serde_json::Error> {
    push_line(
        lines,
        &CursorEntry::StepBegin(StepBeginEntry {
            step,
            cols: result.cols,
        }),
    )?;
    for row in result.rows {
        push_line(lines, &CursorEntry::Row { row })?;
    }
    let end = StepEndEntry {
        affected_row_count: result.affected_row_count,
        last_insert_rowid: result.last_insert_rowid,
    };
    push_line(lines, &CursorEntry::StepEnd(end))
}

fn push_line<T: serde::Serialize>(lines: &mut Vec<u8>, value: &T) -> Result<(), serde_json::Error> {
    serde_json::to_writer(&mut *lines, value)?;
    lines.push(b'\n');
    Ok(())
}
