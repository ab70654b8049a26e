//! Execution of an autocommit write together with its record in the request log.

use libsql_hrana::proto::{
    Batch, BatchCond, BatchCondList, BatchResult, BatchStep, BatchStreamReq, Error,
    PipelineReqBody, PipelineRespBody, Stmt, StmtResult, StreamRequest, StreamResponse,
    StreamResult,
};

use crate::StatementCache;
use crate::request_log::{LookupResult, RequestIdentity, RequestLog, StoredResults};
use crate::request_parts::{RequestParts, WrapError};
use crate::request_results::{StepOutcome, build_results};
use crate::stored_outcome::StoredOutcome;

/// Indices of the first steps in the upstream batch.
const BEGIN_STEP: usize = 0;
const INSERT_STEP: usize = 1;
const LOOKUP_STEP: usize = 2;
const FIRST_CALLER_STEP: usize = 3;

/// An autocommit write as one upstream transaction.
///
/// The transaction inserts the record, runs the caller's statements, stores the outcome and
/// commits. It is atomic: if a statement fails and no condition of the caller's batch refers to
/// its error, everything is rolled back, including the record.
///
/// If the caller's statements return no rows, one pipeline is sufficient. Otherwise the results
/// are available only after the statements have run, and a second pipeline on the same stream
/// stores them and commits ([`WriteStep::Commit`]).
///
/// ```
/// use coriander_routing::{LoggedWrite, RequestIdentity, StatementCache};
/// use coriander_tokens::RequestDigest;
/// use libsql_hrana::proto::PipelineReqBody;
///
/// let body = r#"{"baton":null,"requests":[{"type":"execute","stmt":{"sql":"DELETE FROM t"}}]}"#;
/// let caller: PipelineReqBody = serde_json::from_str(body)?;
/// let digest = RequestDigest::compute(&"records".parse()?, &"orders".parse()?, body.as_bytes());
/// let identity = RequestIdentity::new("waste-north".parse()?, "request-1", digest)?;
/// let mut cache = StatementCache::default();
/// let write = LoggedWrite::new(identity, &caller.requests, &mut cache)?;
/// assert!(write.is_single_pass());
/// let upstream = write.pipeline(Some("baton of a pooled stream".to_owned()));
/// assert_eq!(upstream.requests.len(), 1);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug)]
pub struct LoggedWrite {
    identity: RequestIdentity,
    parts: RequestParts,
}

/// Next step after the response to [`LoggedWrite::pipeline`].
#[derive(Debug)]
pub enum WriteStep {
    /// The write has ended.
    Ended(WriteResult),
    /// The statements have run in a transaction that is still open.
    Commit(PendingCommit),
}

/// Result of a logged write.
#[derive(Debug)]
pub enum WriteResult {
    /// The write is committed, but not yet confirmed by other members.
    Done {
        /// Results in the order of the caller's requests.
        results: Vec<StreamResult>,
    },
    /// An earlier attempt was committed. Its position must be confirmed like that of a new write,
    /// because the earlier attempt may not have been acknowledged.
    AlreadyDone {
        /// Results of the earlier attempt, unless they were too large to be stored.
        results: Option<Vec<StreamResult>>,
    },
    /// The request id was used for a different request; nothing was executed.
    IdReused,
    /// A statement or the commit failed and everything was rolled back.
    Failed {
        /// Results in the order of the caller's requests.
        results: Vec<StreamResult>,
        /// Whether the stream is known to have no open transaction; otherwise it must be closed.
        is_stream_clean: bool,
    },
    /// The transaction could not start, so no statement of the caller was executed.
    NotRun {
        /// Error of the upstream.
        error: Error,
    },
    /// The response does not determine the outcome; a retry with the same request id does. The
    /// stream must be closed.
    Unknown,
}

/// Results that must be stored before the transaction commits.
#[derive(Debug)]
pub struct PendingCommit {
    store: Stmt,
    results: Vec<StreamResult>,
    parts: RequestParts,
}

impl LoggedWrite {
    /// Wraps the requests of a pipeline that starts a new stream.
    ///
    /// A batch that is a complete transaction is accepted as well; the transaction of the log
    /// replaces it. Other requests that control a transaction are refused with
    /// [`WrapError::Transaction`] and need a stream of their own.
    pub fn new(
        identity: RequestIdentity,
        requests: &[StreamRequest],
        cache: &mut StatementCache,
    ) -> Result<Self, WrapError> {
        let parts = RequestParts::new(requests, cache)?;
        Ok(Self { identity, parts })
    }

    /// Returns whether one pipeline is sufficient.
    ///
    /// This is the case if the results consist of counters only, which SQL itself can store.
    pub const fn is_single_pass(&self) -> bool {
        self.parts.has_only_changes && !self.parts.has_conditions
    }

    /// Returns the pipeline for the primary on the stream with `baton`.
    pub fn pipeline(&self, baton: Option<String>) -> PipelineReqBody {
        let mut steps = vec![
            step(None, Stmt::new("BEGIN IMMEDIATE", false)),
            step(Some(ok(BEGIN_STEP)), self.identity.insert_record()),
            step(
                Some(and(vec![ok(BEGIN_STEP), error(INSERT_STEP)])),
                RequestLog::lookup(&self.identity),
            ),
        ];
        for index in 0..self.parts.steps.len() {
            self.add_caller_step(index, &mut steps);
        }
        let end = steps.len();
        if self.is_single_pass() {
            let select = RequestLog::lookup(&self.identity);
            steps.push(step(Some(self.all_ok(end)), select));
            steps.push(step(Some(ok(end)), Stmt::new("COMMIT", false)));
            steps.push(step(Some(not(ok(end + 1))), Stmt::new("ROLLBACK", false)));
        } else {
            let condition = not(self.all_ok(end));
            steps.push(step(Some(condition), Stmt::new("ROLLBACK", false)));
        }
        batch_pipeline(baton, steps)
    }

    /// Interprets the response to [`pipeline`](Self::pipeline).
    pub fn interpret(&self, response: PipelineRespBody) -> WriteStep {
        let length = self.batch_length();
        let Some(mut batch) = single_batch(response, length) else {
            return WriteStep::Ended(WriteResult::Unknown);
        };
        if let Some(result) = self.interpret_start(&mut batch) {
            return WriteStep::Ended(result);
        }
        if self.is_single_pass() {
            return WriteStep::Ended(self.interpret_commit(&mut batch));
        }
        let rollback = take_outcome(&mut batch, length - 1);
        let outcomes = self.caller_outcomes(&mut batch);
        let is_committable = matches!(rollback, StepOutcome::Skipped);
        if !is_committable {
            return WriteStep::Ended(self.failed_result(outcomes, &rollback));
        }
        let results = build_results(&self.parts, outcomes, None);
        let store = self.identity.store_outcome(&StoredOutcome::new(&results));
        WriteStep::Commit(PendingCommit {
            store,
            results,
            parts: self.parts.clone(),
        })
    }

    /// Returns the results from stored counters or JSON.
    fn stored_results(&self, stored: StoredResults) -> Option<Vec<StreamResult>> {
        let Some(mut counters) = stored.outcome().counters() else {
            return stored.into_results();
        };
        let outcomes = (0..self.parts.steps.len()).map(|index| match counters.remove(&index) {
            Some(result) => StepOutcome::Done(result),
            None => StepOutcome::Skipped,
        });
        Some(build_results(&self.parts, outcomes.collect(), None))
    }

    /// Returns the result if the caller's statements were not executed.
    fn interpret_start(&self, batch: &mut BatchResult) -> Option<WriteResult> {
        match take_outcome(batch, BEGIN_STEP) {
            StepOutcome::Done(_) => {}
            StepOutcome::Failed(error) => return Some(WriteResult::NotRun { error }),
            StepOutcome::Skipped => return Some(WriteResult::Unknown),
        }
        let error = match take_outcome(batch, INSERT_STEP) {
            StepOutcome::Done(_) => return None,
            StepOutcome::Failed(error) => error,
            StepOutcome::Skipped => return Some(WriteResult::Unknown),
        };
        let StepOutcome::Done(found) = take_outcome(batch, LOOKUP_STEP) else {
            return Some(WriteResult::NotRun { error });
        };
        Some(match RequestLog::interpret_lookup(&self.identity, &found) {
            // There is no record, so the insertion failed for another reason.
            Some(LookupResult::Missing) => WriteResult::NotRun { error },
            Some(LookupResult::IdReused) => WriteResult::IdReused,
            Some(LookupResult::Committed(stored)) => WriteResult::AlreadyDone {
                results: stored.and_then(|stored| self.stored_results(stored)),
            },
            None => WriteResult::Unknown,
        })
    }

    fn interpret_commit(&self, batch: &mut BatchResult) -> WriteResult {
        let end = self.batch_length() - 3;
        let rollback = take_outcome(batch, end + 2);
        match take_outcome(batch, end + 1) {
            StepOutcome::Done(_) => self.committed_result(batch, end),
            StepOutcome::Failed(error) => failed_commit_result(&self.parts, &error, &rollback),
            StepOutcome::Skipped => {
                let outcomes = self.caller_outcomes(batch);
                self.failed_result(outcomes, &rollback)
            }
        }
    }

    /// Builds the results from the stored text, so that a retry returns the same results.
    fn committed_result(&self, batch: &mut BatchResult, end: usize) -> WriteResult {
        let entry = match take_outcome(batch, end) {
            StepOutcome::Done(found) => RequestLog::interpret_lookup(&self.identity, &found),
            _ => None,
        };
        let results = match entry {
            Some(LookupResult::Committed(Some(stored))) => self.stored_results(stored),
            _ => None,
        };
        match results {
            Some(results) => WriteResult::Done { results },
            None => WriteResult::AlreadyDone { results: None },
        }
    }

    fn failed_result(&self, outcomes: Vec<StepOutcome>, rollback: &StepOutcome) -> WriteResult {
        let error = Error {
            message: "rolled back because another statement of the request failed".to_owned(),
            code: "ROLLED_BACK".to_owned(),
        };
        WriteResult::Failed {
            results: build_results(&self.parts, outcomes, Some(&error)),
            is_stream_clean: matches!(rollback, StepOutcome::Done(_)),
        }
    }

    fn caller_outcomes(&self, batch: &mut BatchResult) -> Vec<StepOutcome> {
        let outcomes =
            (0..self.parts.steps.len()).map(|index| take_outcome(batch, self.batch_index(index)));
        outcomes.collect()
    }

    fn batch_length(&self) -> usize {
        let tail = if self.is_single_pass() { 3 } else { 1 };
        self.batch_index(self.parts.steps.len()) + tail
    }

    /// Returns the index of a caller's step in the batch.
    fn batch_index(&self, index: usize) -> usize {
        // In a single pass each step is followed by one that stores its counters.
        let width = if self.is_single_pass() { 2 } else { 1 };
        FIRST_CALLER_STEP + width * index
    }

    fn add_caller_step(&self, index: usize, steps: &mut Vec<BatchStep>) {
        let caller_step = &self.parts.steps[index];
        let condition = if self.parts.has_conditions {
            // If an error rolled back the transaction, no further statement may run outside of it.
            let mut conds = vec![ok(INSERT_STEP), not(BatchCond::IsAutocommit {})];
            let own = caller_step.condition.as_ref();
            conds.extend(own.map(|own| renumber(own, &|step| self.batch_index(step))));
            and(conds)
        } else {
            ok(if index == 0 {
                INSERT_STEP
            } else {
                steps.len() - 1
            })
        };
        steps.push(step(Some(condition), caller_step.statement.clone()));
        if self.is_single_pass() {
            let counters = self.identity.append_counters(index);
            steps.push(step(Some(ok(steps.len() - 1)), counters));
        }
    }

    /// Returns the condition that every statement before `end` succeeded.
    fn all_ok(&self, end: usize) -> BatchCond {
        if !self.parts.has_conditions {
            let last = if self.parts.steps.is_empty() {
                INSERT_STEP
            } else {
                end - 1
            };
            return ok(last);
        }
        let mut conds = vec![ok(INSERT_STEP), not(BatchCond::IsAutocommit {})];
        for (index, caller_step) in self.parts.steps.iter().enumerate() {
            if !caller_step.is_error_handled {
                conds.push(not(error(self.batch_index(index))));
            }
        }
        and(conds)
    }
}

impl PendingCommit {
    /// Returns the pipeline that stores the results and commits, for the same stream.
    pub fn pipeline(&self, baton: Option<String>) -> PipelineReqBody {
        let steps = vec![
            step(None, self.store.clone()),
            step(Some(ok(0)), Stmt::new("COMMIT", false)),
            step(Some(not(ok(1))), Stmt::new("ROLLBACK", false)),
        ];
        batch_pipeline(baton, steps)
    }

    /// Interprets the response to [`pipeline`](Self::pipeline).
    pub fn interpret(self, response: PipelineRespBody) -> WriteResult {
        let Some(mut batch) = single_batch(response, 3) else {
            return WriteResult::Unknown;
        };
        let rollback = take_outcome(&mut batch, 2);
        match (take_outcome(&mut batch, 0), take_outcome(&mut batch, 1)) {
            (_, StepOutcome::Done(_)) => WriteResult::Done {
                results: self.results,
            },
            (_, StepOutcome::Failed(error)) | (StepOutcome::Failed(error), _) => {
                failed_commit_result(&self.parts, &error, &rollback)
            }
            _ => WriteResult::Unknown,
        }
    }
}

/// Returns the result of a failed commit.
///
/// The commit certainly had no effect only if the rollback found the transaction open.
fn failed_commit_result(
    parts: &RequestParts,
    error: &Error,
    rollback: &StepOutcome,
) -> WriteResult {
    if !matches!(rollback, StepOutcome::Done(_)) {
        return WriteResult::Unknown;
    }
    let outcomes = (0..parts.steps.len()).map(|_| StepOutcome::Failed(error.clone()));
    WriteResult::Failed {
        results: build_results(parts, outcomes.collect(), Some(error)),
        is_stream_clean: true,
    }
}

fn single_batch(mut response: PipelineRespBody, length: usize) -> Option<BatchResult> {
    let result = response.results.pop();
    let (
        Some(StreamResult::Ok {
            response: StreamResponse::Batch(batch),
        }),
        true,
    ) = (result, response.results.is_empty())
    else {
        return None;
    };
    let batch = batch.result;
    let is_complete = batch.step_results.len() == length && batch.step_errors.len() == length;
    is_complete.then_some(batch)
}

fn take_outcome(batch: &mut BatchResult, index: usize) -> StepOutcome {
    let result: Option<StmtResult> = batch.step_results[index].take();
    match (result, batch.step_errors[index].take()) {
        (_, Some(error)) => StepOutcome::Failed(error),
        (Some(result), None) => StepOutcome::Done(result),
        (None, None) => StepOutcome::Skipped,
    }
}

fn batch_pipeline(baton: Option<String>, steps: Vec<BatchStep>) -> PipelineReqBody {
    let batch = Batch {
        steps,
        replication_index: None,
    };
    PipelineReqBody {
        baton,
        requests: vec![StreamRequest::Batch(BatchStreamReq { batch })],
    }
}

const fn step(condition: Option<BatchCond>, stmt: Stmt) -> BatchStep {
    BatchStep { condition, stmt }
}

const fn ok(step: usize) -> BatchCond {
    BatchCond::Ok { step: step as u32 }
}

const fn error(step: usize) -> BatchCond {
    BatchCond::Error { step: step as u32 }
}

const fn and(conds: Vec<BatchCond>) -> BatchCond {
    BatchCond::And(BatchCondList { conds })
}

fn not(cond: BatchCond) -> BatchCond {
    let cond = Box::new(cond);
    BatchCond::Not { cond }
}

fn renumber(condition: &BatchCond, batch_index: &dyn Fn(usize) -> usize) -> BatchCond {
    let list = |list: &BatchCondList| BatchCondList {
        conds: list
            .conds
            .iter()
            .map(|c| renumber(c, batch_index))
            .collect(),
    };
    match condition {
        BatchCond::Ok { step } => ok(batch_index(*step as usize)),
        BatchCond::Error { step } => error(batch_index(*step as usize)),
        BatchCond::Not { cond } => not(renumber(cond, batch_index)),
        BatchCond::And(conds) => BatchCond::And(list(conds)),
        BatchCond::Or(conds) => BatchCond::Or(list(conds)),
        BatchCond::None | BatchCond::IsAutocommit {} => condition.clone(),
    }
}
