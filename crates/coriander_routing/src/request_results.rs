//! Builds the results of a caller's requests from the outcomes of their statements.

use libsql_hrana::proto::{
    BatchResult, BatchStreamResp, CloseSqlStreamResp, CloseStreamResp, Error, ExecuteStreamResp,
    GetAutocommitStreamResp, SequenceStreamResp, StmtResult, StoreSqlStreamResp, StreamResponse,
    StreamResult,
};

use crate::request_parts::{RequestPart, RequestParts};

/// Outcome of one step of an upstream batch.
#[derive(Clone, Debug)]
pub(crate) enum StepOutcome {
    Done(StmtResult),
    Failed(Error),
    /// The condition of the step was false.
    Skipped,
}

impl StepOutcome {
    /// Clears measurements, which differ between attempts, so that a retry returns the same result.
    fn normalize(self) -> Self {
        match self {
            Self::Done(result) => Self::Done(StmtResult {
                replication_index: None,
                rows_read: 0,
                rows_written: 0,
                query_duration_ms: 0.0,
                ..result
            }),
            outcome => outcome,
        }
    }
}

/// Builds the results; `rolled_back` replaces the results of statements that were rolled back.
pub(crate) fn build_results(
    parts: &RequestParts,
    outcomes: Vec<StepOutcome>,
    rolled_back: Option<&Error>,
) -> Vec<StreamResult> {
    let apply_rollback = |outcome: StepOutcome| match (outcome, rolled_back) {
        (StepOutcome::Done(_), Some(error)) => StepOutcome::Failed(error.clone()),
        (outcome, _) => outcome.normalize(),
    };
    let mut outcomes = outcomes.into_iter().map(apply_rollback);
    let results = parts.parts.iter().map(|part| match part {
        RequestPart::Execute => execute_result(outcomes.next(), rolled_back),
        RequestPart::Batch(steps) => batch_result(outcomes.by_ref().take(*steps)),
        RequestPart::Transaction {
            inner_count,
            rollback_count,
        } => {
            let begin = StepOutcome::Done(StmtResult::default());
            let inner = outcomes.by_ref().take(*inner_count);
            // Exactly one of COMMIT and ROLLBACK takes effect.
            let (commit, rollback) = match rolled_back {
                None => (begin.clone(), StepOutcome::Skipped),
                Some(_) => (StepOutcome::Skipped, begin.clone()),
            };
            let rollbacks = std::iter::repeat_n(rollback, *rollback_count);
            let steps = std::iter::once(begin).chain(inner);
            batch_result(steps.chain([commit]).chain(rollbacks))
        }
        RequestPart::Sequence(steps) => {
            let steps = outcomes.by_ref().take(*steps);
            sequence_result(steps.collect(), rolled_back)
        }
        RequestPart::StoreSql => ok_result(StreamResponse::StoreSql(StoreSqlStreamResp {})),
        RequestPart::CloseSql => ok_result(StreamResponse::CloseSql(CloseSqlStreamResp {})),
        RequestPart::Close => ok_result(StreamResponse::Close(CloseStreamResp {})),
        RequestPart::GetAutocommit => {
            let is_autocommit = true;
            ok_result(StreamResponse::GetAutocommit(GetAutocommitStreamResp {
                is_autocommit,
            }))
        }
    });
    results.collect()
}

const fn ok_result(response: StreamResponse) -> StreamResult {
    StreamResult::Ok { response }
}

fn skipped(rolled_back: Option<&Error>) -> StreamResult {
    let error = rolled_back.cloned().unwrap_or_default();
    StreamResult::Error { error }
}

fn execute_result(outcome: Option<StepOutcome>, rolled_back: Option<&Error>) -> StreamResult {
    match outcome {
        Some(StepOutcome::Done(result)) => {
            ok_result(StreamResponse::Execute(ExecuteStreamResp { result }))
        }
        Some(StepOutcome::Failed(error)) => StreamResult::Error { error },
        Some(StepOutcome::Skipped) | None => skipped(rolled_back),
    }
}

fn batch_result(outcomes: impl Iterator<Item = StepOutcome>) -> StreamResult {
    let mut result = BatchResult::default();
    for outcome in outcomes {
        let (step, error) = match outcome {
            StepOutcome::Done(step) => (Some(step), None),
            StepOutcome::Failed(error) => (None, Some(error)),
            StepOutcome::Skipped => (None, None),
        };
        result.step_results.push(step);
        result.step_errors.push(error);
    }
    ok_result(StreamResponse::Batch(BatchStreamResp { result }))
}

fn sequence_result(outcomes: Vec<StepOutcome>, rolled_back: Option<&Error>) -> StreamResult {
    // Prefers a statement's own error to the rollback error of an earlier statement.
    let is_own_error =
        |error: &Error| rolled_back.is_none_or(|rollback_error| rollback_error.code != error.code);
    let mut errors: Vec<Error> = Vec::new();
    let mut is_complete = true;
    for outcome in outcomes {
        match outcome {
            StepOutcome::Failed(error) => errors.push(error),
            StepOutcome::Skipped => is_complete = false,
            StepOutcome::Done(_) => {}
        }
    }
    let error_index = errors.iter().position(is_own_error).unwrap_or(0);
    match errors.get(error_index) {
        Some(error) => StreamResult::Error {
            error: error.clone(),
        },
        None if is_complete => ok_result(StreamResponse::Sequence(SequenceStreamResp {})),
        None => skipped(rolled_back),
    }
}
