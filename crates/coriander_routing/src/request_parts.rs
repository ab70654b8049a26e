//! Decomposition of a caller's pipeline into the statements of one transaction.

use libsql_hrana::proto::{BatchCond, BatchCondList, BatchStep, Stmt, StreamRequest};
use thiserror::Error;

use crate::batch_transaction::BatchTransaction;
use crate::request_kind::find_sql;
use crate::script::split_script;
use crate::{StatementCache, StatementKind};

/// Maximum number of statements in one logged request.
const MAX_STEPS: usize = 4096;

/// Reason why a request cannot be executed as one logged transaction.
///
/// Nothing of the request has been executed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum WrapError {
    /// A statement controls a transaction.
    #[error("request controls a transaction")]
    Transaction,
    /// A statement names the table of executed requests.
    #[error("request uses the reserved table corianderstile_requests")]
    ReservedTable,
    /// A statement refers to a stored SQL text that the request does not contain.
    #[error("request refers to an unknown stored text")]
    UnknownText,
    /// A script cannot be split into statements.
    #[error("script cannot be divided into statements; send its statements one by one")]
    Script,
    /// A condition refers to a step that does not precede it.
    #[error("condition refers to a step that does not come before it")]
    Condition,
    /// The request kind cannot be part of a transaction.
    #[error("describe must be sent in a request without writes")]
    Describe,
    /// The request has too many statements.
    #[error("request has more than {MAX_STEPS} statements")]
    TooManySteps,
}

/// One request of the caller's pipeline and its statements.
#[derive(Clone, Debug)]
pub(crate) enum RequestPart {
    Execute,
    /// Contains the number of steps.
    Batch(usize),
    /// A batch that is a complete transaction; the transaction of the log replaces it.
    Transaction {
        /// Number of steps between BEGIN and COMMIT.
        inner_count: usize,
        /// Number of steps after COMMIT.
        rollback_count: usize,
    },
    /// Contains the number of statements.
    Sequence(usize),
    StoreSql,
    CloseSql,
    Close,
    GetAutocommit,
}

/// A statement with the caller's condition; step numbers count over the whole request.
#[derive(Clone, Debug)]
pub(crate) struct CallerStep {
    pub(crate) condition: Option<BatchCond>,
    pub(crate) statement: Stmt,
    /// Whether the condition of another step handles an error of this one.
    pub(crate) is_error_handled: bool,
}

/// All statements of a caller's pipeline.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestParts {
    pub(crate) parts: Vec<RequestPart>,
    pub(crate) steps: Vec<CallerStep>,
    /// Whether every statement is a change without result rows.
    pub(crate) has_only_changes: bool,
    /// Whether any step has a condition.
    pub(crate) has_conditions: bool,
}

impl RequestParts {
    pub(crate) fn new(
        requests: &[StreamRequest],
        cache: &mut StatementCache,
    ) -> Result<Self, WrapError> {
        let mut parts = Self {
            has_only_changes: true,
            ..Self::default()
        };
        for (index, request) in requests.iter().enumerate() {
            parts.add_request(request, &requests[..index], cache)?;
        }
        Ok(parts)
    }

    fn add_request(
        &mut self,
        request: &StreamRequest,
        prior_requests: &[StreamRequest],
        cache: &mut StatementCache,
    ) -> Result<(), WrapError> {
        let start = self.steps.len();
        let part = match request {
            StreamRequest::Execute(execute) => {
                self.add_step(None, &execute.stmt, prior_requests, cache)?;
                RequestPart::Execute
            }
            StreamRequest::Batch(batch) => {
                let transaction = BatchTransaction::parse(&batch.batch, prior_requests, cache);
                if let Some(BatchTransaction {
                    inner_steps,
                    rollback_count,
                    ..
                }) = transaction
                {
                    for step in inner_steps {
                        self.add_step(None, &step.stmt, prior_requests, cache)?;
                    }
                    let inner_count = inner_steps.len();
                    self.parts.push(RequestPart::Transaction {
                        inner_count,
                        rollback_count,
                    });
                    return Ok(());
                }
                for step in &batch.batch.steps {
                    self.add_batch_step(step, start, prior_requests, cache)?;
                }
                RequestPart::Batch(batch.batch.steps.len())
            }
            StreamRequest::Sequence(sequence) => {
                let sql = find_sql(sequence.sql.as_deref(), sequence.sql_id, prior_requests);
                let statements = split_script(sql.ok_or(WrapError::UnknownText)?);
                for statement in statements.ok_or(WrapError::Script)? {
                    self.add_step(None, &Stmt::new(statement, false), prior_requests, cache)?;
                }
                RequestPart::Sequence(self.steps.len() - start)
            }
            StreamRequest::StoreSql(_) => RequestPart::StoreSql,
            StreamRequest::CloseSql(_) => RequestPart::CloseSql,
            StreamRequest::Close(_) => RequestPart::Close,
            StreamRequest::GetAutocommit(_) => RequestPart::GetAutocommit,
            StreamRequest::Describe(_) | StreamRequest::None => return Err(WrapError::Describe),
        };
        self.parts.push(part);
        Ok(())
    }

    fn add_batch_step(
        &mut self,
        step: &BatchStep,
        start: usize,
        prior_requests: &[StreamRequest],
        cache: &mut StatementCache,
    ) -> Result<(), WrapError> {
        let local = self.steps.len() - start;
        let condition = match &step.condition {
            Some(condition) => Some(self.shift_condition(condition, start, local)?),
            None => None,
        };
        self.add_step(condition, &step.stmt, prior_requests, cache)
    }

    fn add_step(
        &mut self,
        condition: Option<BatchCond>,
        statement: &Stmt,
        prior_requests: &[StreamRequest],
        cache: &mut StatementCache,
    ) -> Result<(), WrapError> {
        let sql = find_sql(statement.sql.as_deref(), statement.sql_id, prior_requests);
        let sql = sql.ok_or(WrapError::UnknownText)?;
        let kind = cache.classify(sql);
        if kind == StatementKind::Reserved {
            return Err(WrapError::ReservedTable);
        }
        if kind.is_control() {
            return Err(WrapError::Transaction);
        }
        if self.steps.len() == MAX_STEPS {
            return Err(WrapError::TooManySteps);
        }
        self.has_only_changes &= kind == StatementKind::Change;
        self.has_conditions |= condition.is_some();
        let statement = Stmt {
            sql: Some(sql.to_owned()),
            sql_id: None,
            ..statement.clone()
        };
        self.steps.push(CallerStep {
            condition,
            statement,
            is_error_handled: false,
        });
        Ok(())
    }

    /// Converts the step numbers of a condition from the caller's batch to the whole request.
    fn shift_condition(
        &mut self,
        condition: &BatchCond,
        start: usize,
        local: usize,
    ) -> Result<BatchCond, WrapError> {
        let check = |step: u32| match step as usize {
            step if step < local => Ok(start + step),
            _ => Err(WrapError::Condition),
        };
        let shift_list = |parts: &mut Self, list: &BatchCondList| {
            let conds = list.conds.iter();
            let conds: Result<_, _> = conds
                .map(|cond| parts.shift_condition(cond, start, local))
                .collect();
            conds.map(|conds| BatchCondList { conds })
        };
        Ok(match condition {
            BatchCond::None => return Err(WrapError::Condition),
            BatchCond::Ok { step } => BatchCond::Ok {
                step: check(*step)? as u32,
            },
            BatchCond::Error { step } => {
                let step = check(*step)?;
                self.steps[step].is_error_handled = true;
                BatchCond::Error { step: step as u32 }
            }
            BatchCond::Not { cond } => BatchCond::Not {
                cond: Box::new(self.shift_condition(cond, start, local)?),
            },
            BatchCond::And(list) => BatchCond::And(shift_list(self, list)?),
            BatchCond::Or(list) => BatchCond::Or(shift_list(self, list)?),
            // Without the transaction of the log the condition would be true; inside, it is false.
            // An empty AND is always true.
            BatchCond::IsAutocommit {} => BatchCond::And(BatchCondList { conds: Vec::new() }),
        })
    }
}
