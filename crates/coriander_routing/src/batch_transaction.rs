//! Detection of batches that form one complete transaction.

use libsql_hrana::proto::{Batch, BatchCond, BatchStep, StreamRequest};

use crate::request_kind::find_sql;
use crate::sql_words::SqlWords;
use crate::{StatementCache, StatementKind};

/// A batch of BEGIN, statements conditional on their predecessors, COMMIT and conditional ROLLBACK.
///
/// Client libraries send a transaction in one request in this form. It is atomic, like a logged
/// write.
pub(crate) struct BatchTransaction<'a> {
    begin_step: &'a BatchStep,
    /// Statements between BEGIN and COMMIT.
    pub(crate) inner_steps: &'a [BatchStep],
    /// Number of ROLLBACK steps after COMMIT.
    pub(crate) rollback_count: usize,
}

impl<'a> BatchTransaction<'a> {
    pub(crate) fn parse(
        batch: &'a Batch,
        prior_requests: &[StreamRequest],
        cache: &mut StatementCache,
    ) -> Option<Self> {
        let steps = &*batch.steps;
        let word = |step: &BatchStep| {
            let sql = find_sql(step.stmt.sql.as_deref(), step.stmt.sql_id, prior_requests)?;
            Some(SqlWords::new(sql).next()?.to_ascii_uppercase())
        };
        let mut kind = |step: &BatchStep| {
            let sql = find_sql(step.stmt.sql.as_deref(), step.stmt.sql_id, prior_requests);
            sql.map(|sql| cache.classify(sql))
        };
        let (first, rest) = steps.split_first()?;
        let is_begin = kind(first) == Some(StatementKind::Begin)
            && word(first).as_deref() == Some("BEGIN")
            && first.condition.is_none();
        let length = rest
            .iter()
            .position(|step| kind(step).is_none_or(StatementKind::is_control))?;
        let (inner_steps, tail) = rest.split_at(length);
        let (commit, rollback_steps) = tail.split_first()?;
        let is_commit = kind(commit) == Some(StatementKind::End)
            && word(commit).is_some_and(|word| word == "COMMIT" || word == "END");
        let mut links = inner_steps.iter().chain([commit]).zip(0..);
        let is_chain = links.all(|(step, before)| requires_step(step.condition.as_ref(), before));
        let mut is_rollback = |step: &BatchStep| {
            kind(step) == Some(StatementKind::End)
                && word(step).as_deref() == Some("ROLLBACK")
                && step.condition.is_some()
        };
        let is_complete = is_begin && is_commit && is_chain && !inner_steps.is_empty();
        let rollback_count = rollback_steps
            .iter()
            .filter(|step| is_rollback(step))
            .count();
        (is_complete && 1 + length + 1 + rollback_count == steps.len()).then_some(Self {
            begin_step: first,
            inner_steps,
            rollback_count,
        })
    }

    /// Returns whether the transaction only reads and takes no lock, so that a replica can run it.
    pub(crate) fn is_read(
        &self,
        cache: &mut StatementCache,
        prior_requests: &[StreamRequest],
    ) -> bool {
        let sql = |step: &'a BatchStep| step.stmt.sql.as_deref();
        let takes_lock = |sql: &str| {
            let lock_words = ["IMMEDIATE", "EXCLUSIVE", "CONCURRENT"];
            SqlWords::new(sql).any(|word| lock_words.iter().any(|w| word.eq_ignore_ascii_case(w)))
        };
        sql(self.begin_step).is_some_and(|sql| !takes_lock(sql))
            && self.inner_steps.iter().all(|step| {
                let sql = find_sql(sql(step), step.stmt.sql_id, prior_requests);
                sql.is_some_and(|sql| cache.classify(sql) == StatementKind::Read)
            })
    }
}

/// Returns whether a condition requires exactly that step `before` succeeded.
///
/// The condition may additionally require that the transaction is open.
fn requires_step(condition: Option<&BatchCond>, before: u32) -> bool {
    match condition {
        Some(BatchCond::Ok { step }) => *step == before,
        Some(BatchCond::And(list)) => {
            let is_open = |cond: &BatchCond| match cond {
                BatchCond::Not { cond } => matches!(**cond, BatchCond::IsAutocommit {}),
                _ => false,
            };
            let others = list.conds.iter().filter(|cond| !is_open(cond));
            let mut others = others.map(|cond| requires_step(Some(cond), before));
            others.next() == Some(true) && others.next().is_none()
        }
        _ => false,
    }
}
