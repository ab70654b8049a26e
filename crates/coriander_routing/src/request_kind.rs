//! Classification of whole Hrana pipelines and batches.

use libsql_hrana::proto::{Batch, Stmt, StreamRequest};

use crate::batch_transaction::BatchTransaction;
use crate::script::split_script;
use crate::{StatementCache, StatementKind};

/// Required execution mode of a request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RequestKind {
    /// Every statement is proven to be a read.
    ReadOnly,
    /// Some statement is not proven to be a read, and none controls a transaction.
    AutocommitWrite,
    /// Some statement controls a transaction, so the request needs a stream of its own.
    Transaction,
    /// Some statement names the table of executed requests. The request must be refused, also on
    /// a stream with an open transaction, because the table contains results of other accounts.
    Reserved,
}

/// Classification of a request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct RequestClassification {
    /// Required execution mode.
    pub kind: RequestKind,
    /// Whether a transaction may still be open after the request; only a `get_autocommit` on the
    /// stream determines it for certain.
    pub may_stay_in_transaction: bool,
}

impl RequestClassification {
    const READ: Self = Self {
        kind: RequestKind::ReadOnly,
        may_stay_in_transaction: false,
    };

    fn add(&mut self, kind: StatementKind) {
        let needed = match kind {
            StatementKind::Read => RequestKind::ReadOnly,
            StatementKind::Change | StatementKind::Write => RequestKind::AutocommitWrite,
            StatementKind::Reserved => RequestKind::Reserved,
            _ => RequestKind::Transaction,
        };
        self.kind = self.kind.max(needed);
        match kind {
            StatementKind::Begin | StatementKind::Savepoint => self.may_stay_in_transaction = true,
            StatementKind::End => self.may_stay_in_transaction = false,
            _ => {}
        }
    }

    /// Classifies the requests of a pipeline that starts a new stream.
    ///
    /// A request on a stream with an open transaction belongs to that transaction regardless of its
    /// statements; only [`RequestKind::Reserved`] is relevant there.
    ///
    /// ```
    /// use coriander_routing::{RequestClassification, RequestKind, StatementCache};
    /// use libsql_hrana::proto::PipelineReqBody;
    ///
    /// let body = r#"{"baton": null, "requests": [
    ///     {"type": "execute", "stmt": {"sql": "SELECT 1"}},
    ///     {"type": "close"}
    /// ]}"#;
    /// let pipeline: PipelineReqBody = serde_json::from_str(body)?;
    /// let mut cache = StatementCache::default();
    /// let class = RequestClassification::classify_requests(&pipeline.requests, &mut cache);
    /// assert_eq!(class.kind, RequestKind::ReadOnly);
    /// # Ok::<(), serde_json::Error>(())
    /// ```
    pub fn classify_requests(requests: &[StreamRequest], cache: &mut StatementCache) -> Self {
        let mut class = Self::READ;
        for (index, request) in requests.iter().enumerate() {
            let prior_requests = &requests[..index];
            match request {
                StreamRequest::Execute(execute) => {
                    class.add(classify_statement(&execute.stmt, prior_requests, cache));
                }
                StreamRequest::Batch(batch) => class.add_batch(&batch.batch, prior_requests, cache),
                StreamRequest::Sequence(sequence) => {
                    let sql = find_sql(sequence.sql.as_deref(), sequence.sql_id, prior_requests);
                    class.add_script(sql, cache);
                }
                StreamRequest::Close(_)
                | StreamRequest::Describe(_)
                | StreamRequest::StoreSql(_)
                | StreamRequest::CloseSql(_)
                | StreamRequest::GetAutocommit(_) => {}
                StreamRequest::None => class.add(StatementKind::Write),
            }
        }
        class
    }

    /// Classifies a batch that was sent to the cursor endpoint.
    pub fn classify_batch(batch: &Batch, cache: &mut StatementCache) -> Self {
        let mut class = Self::READ;
        class.add_batch(batch, &[], cache);
        class
    }

    fn add_batch(
        &mut self,
        batch: &Batch,
        prior_requests: &[StreamRequest],
        cache: &mut StatementCache,
    ) {
        let transaction = BatchTransaction::parse(batch, prior_requests, cache);
        if transaction.is_some_and(|transaction| transaction.is_read(cache, prior_requests)) {
            return;
        }
        let mut opened = false;
        for step in &batch.steps {
            let kind = classify_statement(&step.stmt, prior_requests, cache);
            opened |= kind == StatementKind::Begin;
            self.add(kind);
            // A conditional COMMIT or ROLLBACK may have been skipped.
            if kind == StatementKind::End && step.condition.is_some() {
                self.may_stay_in_transaction = opened;
            }
        }
    }

    fn add_script(&mut self, sql: Option<&str>, cache: &mut StatementCache) {
        let Some(sql) = sql else {
            return self.add(StatementKind::Write);
        };
        match split_script(sql) {
            // A reserved name is rejected anywhere in the script.
            _ if cache.classify(sql) == StatementKind::Reserved => {
                self.add(StatementKind::Reserved);
            }
            Some(statements) => {
                for statement in statements {
                    self.add(cache.classify(statement));
                }
            }
            // A script that cannot be split may control a transaction.
            None => self.add(StatementKind::Begin),
        }
    }
}

fn classify_statement(
    statement: &Stmt,
    prior_requests: &[StreamRequest],
    cache: &mut StatementCache,
) -> StatementKind {
    match find_sql(statement.sql.as_deref(), statement.sql_id, prior_requests) {
        Some(sql) => cache.classify(sql),
        None => StatementKind::Write,
    }
}

/// Returns the SQL text of a statement, which may have been stored earlier in the same pipeline.
pub(crate) fn find_sql<'a>(
    sql: Option<&'a str>,
    sql_id: Option<i32>,
    prior_requests: &'a [StreamRequest],
) -> Option<&'a str> {
    if sql.is_some() {
        return sql;
    }
    let id = sql_id?;
    prior_requests
        .iter()
        .rev()
        .find_map(|request| match request {
            StreamRequest::StoreSql(store) if store.sql_id == id => Some(&*store.sql),
            _ => None,
        })
}
