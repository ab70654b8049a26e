//! A client session: its state, and the statements that the proxy handles itself.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use async_trait::async_trait;
use coriander_core::{LogPosition, MonotonicTime};
use coriander_service_api::{
    AccessMode, ClientSession, ClientStatement, ENTRY_BYTES, FailureCode, FailureReason,
    PreparedShape, SessionFailure, SessionResponse, SessionValues, StatementKind,
    TransactionStatus,
};
use tokio::time::{sleep, timeout};

use crate::admission::access::GrantedAccess;
use crate::process_lifecycle::ServicePhase;
use crate::service::SessionService;
use crate::sessions::exchange::PlannedStatement;
use crate::sessions::operation::{OperationContext, run_single};
use crate::sessions::operation_link::OperationLink;
use crate::sessions::operation_trace::OperationTrace;
use crate::sessions::request_log::{EndedStatement, kind_label};
use crate::sessions::stop_rules::{abandoned_failure, check_phase};
use crate::sessions::transaction::{run_commit, run_in_transaction};

/// Interval at which an idle session checks whether it should close.
const IDLE_CHECK_INTERVAL: std::time::Duration = std::time::Duration::from_secs(1);

/// An open transaction. It takes a connection for the first statement that a member has to run.
pub struct OpenTransaction {
    /// Result of the admission check at its start.
    pub access: GrantedAccess,
    /// Whether the client declared it read-only.
    pub read_only: bool,
    /// Whether a statement has written.
    pub has_written: bool,
    /// The connection that runs it; `None` before the first statement.
    pub link: Option<OperationLink>,
    last_used: MonotonicTime,
}

enum SessionState {
    Idle,
    Open(Box<OpenTransaction>),
    Failed,
}

/// A session served by this process.
pub struct ServedSession {
    service: Rc<SessionService>,
    database: Arc<str>,
    key: Arc<str>,
    /// Account of the key when the session was opened.
    account: Arc<str>,
    values: SessionValues,
    prepared: HashMap<Arc<str>, PreparedShape>,
    /// Log position of the last commit of this session.
    last_commit: Option<LogPosition>,
    state: SessionState,
    /// Attempts made for the last statement.
    trace: OperationTrace,
}

impl ServedSession {
    /// Opens a session.
    pub fn new(service: Rc<SessionService>, database: &str, key: &str, account: Arc<str>) -> Self {
        service.lifecycle.count_session(true);
        Self {
            service,
            database: database.into(),
            key: key.into(),
            account,
            values: SessionValues::default(),
            prepared: HashMap::new(),
            last_commit: None,
            state: SessionState::Idle,
            trace: OperationTrace::default(),
        }
    }

    fn status(&self) -> TransactionStatus {
        match &self.state {
            SessionState::Idle => TransactionStatus::Idle,
            SessionState::Open(_) => TransactionStatus::Open,
            SessionState::Failed => TransactionStatus::Failed,
        }
    }

    /// Handles a statement. If it still runs when the process stops, it gets its final answer then.
    async fn dispatch_until_stop(&mut self, statement: &ClientStatement) -> SessionResponse {
        let failure = abandoned_failure(self.may_be_kept(&statement.kind));
        let service = self.service.clone();
        let answer = tokio::select! {
            biased;
            response = self.dispatch(statement) => Some(response),
            () = service.lifecycle.wait_for_phase(ServicePhase::Stopping) => None,
        };
        answer.unwrap_or_else(|| SessionResponse::failed(failure, self.status()))
    }

    /// Returns whether a statement that runs at a member may take effect although it is abandoned.
    fn may_be_kept(&self, kind: &StatementKind) -> bool {
        match (&self.state, kind) {
            (SessionState::Open(transaction), StatementKind::Commit) => transaction.has_written,
            (SessionState::Idle, StatementKind::Write) => true,
            (SessionState::Idle, StatementKind::Execute { name, .. }) => {
                let shape = self.prepared.get(name);
                shape.is_some_and(|shape| shape.access == AccessMode::Write)
            }
            _ => false,
        }
    }

    async fn dispatch(&mut self, statement: &ClientStatement) -> SessionResponse {
        if matches!(self.state, SessionState::Failed) {
            return self.respond_in_failed_transaction(&statement.kind);
        }
        let is_open = matches!(self.state, SessionState::Open(_));
        if let Err(failure) = check_phase(self.service.phase(), &statement.kind, is_open) {
            return self.fail(failure);
        }
        match &statement.kind {
            StatementKind::Set { name, value } => {
                self.values.set(name.clone(), value.clone());
                SessionResponse::acknowledged(self.status())
            }
            StatementKind::Prepare { name, shape } => {
                self.prepared.insert(name.clone(), shape.clone());
                SessionResponse::acknowledged(self.status())
            }
            StatementKind::Deallocate { name } => {
                if self.prepared.remove(name).is_some() {
                    return SessionResponse::acknowledged(self.status());
                }
                self.fail(SessionFailure::new(
                    FailureCode::UnknownName,
                    FailureReason::BadStatement,
                ))
            }
            StatementKind::Begin { read_only } if !is_open => self.begin(*read_only).await,
            StatementKind::Rollback => {
                self.state = SessionState::Idle;
                SessionResponse::acknowledged(TransactionStatus::Idle)
            }
            StatementKind::Commit if is_open => self.commit(statement).await,
            StatementKind::Read | StatementKind::Write | StatementKind::Execute { .. } => {
                self.run(statement).await
            }
            StatementKind::Begin { .. } | StatementKind::Commit => self.fail(SessionFailure::new(
                FailureCode::Malformed,
                FailureReason::WrongState,
            )),
            StatementKind::Unknown => self.fail(SessionFailure::new(
                FailureCode::Malformed,
                FailureReason::BadStatement,
            )),
        }
    }

    /// Handles a statement in a failed transaction: only COMMIT and ROLLBACK end it.
    fn respond_in_failed_transaction(&mut self, kind: &StatementKind) -> SessionResponse {
        match kind {
            StatementKind::Rollback => {
                self.state = SessionState::Idle;
                SessionResponse::acknowledged(TransactionStatus::Idle)
            }
            StatementKind::Commit => {
                self.state = SessionState::Idle;
                let failure =
                    SessionFailure::new(FailureCode::Aborted, FailureReason::TransactionFailed);
                SessionResponse::failed(failure, TransactionStatus::Idle)
            }
            _ => SessionResponse::failed(
                SessionFailure::new(FailureCode::Malformed, FailureReason::TransactionFailed),
                TransactionStatus::Failed,
            ),
        }
    }

    /// Returns a failure; an open transaction is rolled back.
    fn fail(&mut self, failure: SessionFailure) -> SessionResponse {
        if matches!(self.state, SessionState::Open(_)) {
            self.state = SessionState::Failed;
        }
        SessionResponse::failed(failure, self.status())
    }

    async fn admit(&self) -> Result<GrantedAccess, SessionFailure> {
        let service = &self.service;
        let access = service
            .check_access_with_retry(&self.database, &self.key)
            .await?;
        service.check_rate(&access).await?;
        Ok(access)
    }

    async fn begin(&mut self, read_only: bool) -> SessionResponse {
        let access = match self.admit().await {
            Ok(access) => access,
            Err(failure) => return self.fail(failure),
        };
        self.state = SessionState::Open(Box::new(OpenTransaction {
            access,
            read_only,
            has_written: false,
            link: None,
            last_used: self.service.clock.now(),
        }));
        SessionResponse::acknowledged(TransactionStatus::Open)
    }

    fn plan_statement(
        &self,
        statement: &ClientStatement,
    ) -> Result<PlannedStatement, SessionFailure> {
        let mut plan = PlannedStatement {
            id: statement.id.clone(),
            text: statement.text.clone(),
            prepared: None,
            writes: statement.kind == StatementKind::Write,
            commits: false,
        };
        if let StatementKind::Execute { name, arguments } = &statement.kind {
            let Some(shape) = self.prepared.get(name) else {
                return Err(SessionFailure::new(
                    FailureCode::UnknownName,
                    FailureReason::BadStatement,
                ));
            };
            plan.writes = shape.access == AccessMode::Write;
            plan.prepared = Some((shape.clone(), arguments.clone()));
        }
        Ok(plan)
    }

    fn context(&self, access: GrantedAccess) -> OperationContext<'_> {
        let deadline = self.service.clock.now() + access.route.statement_timeout;
        OperationContext {
            service: &self.service,
            group: self.service.group(&access.route.group),
            access,
            values: &self.values,
            last_commit: self.last_commit,
            deadline,
            trace: RefCell::default(),
        }
    }

    async fn run(&mut self, statement: &ClientStatement) -> SessionResponse {
        let plan = match self.plan_statement(statement) {
            Ok(plan) => plan,
            Err(failure) => return self.fail(failure),
        };
        if matches!(self.state, SessionState::Open(_)) {
            return self.run_open(&plan).await;
        }
        let access = match self.admit().await {
            Ok(access) => access,
            Err(failure) => return self.fail(failure),
        };
        let context = self.context(access);
        let result = run_single(&context, &plan).await;
        self.trace = context.trace.into_inner();
        match result {
            Ok(completed) => {
                if plan.writes {
                    self.record_commit(completed.position);
                }
                SessionResponse {
                    rows: completed.rows,
                    result: Ok(Some(completed.signature)),
                    transaction: TransactionStatus::Idle,
                }
            }
            Err(failure) => self.fail(failure),
        }
    }

    fn record_commit(&mut self, position: Option<LogPosition>) {
        self.last_commit = self.last_commit.max(position);
    }

    /// Removes the open transaction from the session; dropping it rolls back.
    fn take_transaction(&mut self) -> Option<Box<OpenTransaction>> {
        match std::mem::replace(&mut self.state, SessionState::Failed) {
            SessionState::Open(transaction) => Some(transaction),
            other => {
                self.state = other;
                None
            }
        }
    }

    /// Checks that an open transaction may go on.
    fn recheck_access(&self, access: &GrantedAccess) -> Result<(), SessionFailure> {
        let checked = self.service.check_open_transaction(access, &self.key);
        checked.map_err(|failure| match failure.code {
            FailureCode::Busy => SessionFailure::new(FailureCode::Aborted, failure.reason),
            _ => failure,
        })
    }

    async fn run_open(&mut self, plan: &PlannedStatement) -> SessionResponse {
        let Some(mut transaction) = self.take_transaction() else {
            return self.fail(wrong_state());
        };
        if let Err(failure) = self.recheck_access(&transaction.access) {
            return SessionResponse::failed(failure, TransactionStatus::Failed);
        }
        let context = self.context(transaction.access.clone());
        let result = run_in_transaction(&context, &mut transaction, plan).await;
        self.trace = context.trace.into_inner();
        match result {
            Ok(completed) => {
                transaction.last_used = self.service.clock.now();
                transaction.has_written |= plan.writes;
                self.state = SessionState::Open(transaction);
                SessionResponse {
                    rows: completed.rows,
                    result: Ok(Some(completed.signature)),
                    transaction: TransactionStatus::Open,
                }
            }
            Err(failure) => SessionResponse::failed(failure, TransactionStatus::Failed),
        }
    }

    async fn commit(&mut self, statement: &ClientStatement) -> SessionResponse {
        let Some(mut transaction) = self.take_transaction() else {
            return self.fail(wrong_state());
        };
        self.state = SessionState::Idle;
        if let Err(failure) = self.recheck_access(&transaction.access) {
            return SessionResponse::failed(failure, TransactionStatus::Idle);
        }
        let plan = PlannedStatement {
            id: statement.id.clone(),
            text: statement.text.clone(),
            prepared: None,
            writes: transaction.has_written,
            commits: true,
        };
        let context = self.context(transaction.access.clone());
        let result = run_commit(&context, &mut transaction, &plan).await;
        self.trace = context.trace.into_inner();
        match result {
            Ok(completed) => {
                if transaction.has_written {
                    self.record_commit(completed.position);
                }
                SessionResponse {
                    rows: completed.rows,
                    result: Ok(Some(completed.signature)),
                    transaction: TransactionStatus::Idle,
                }
            }
            Err(failure) => SessionResponse::failed(failure, TransactionStatus::Idle),
        }
    }

    /// Counts and logs a statement that has ended.
    fn record_end(
        &self,
        statement: &ClientStatement,
        response: &SessionResponse,
        started: MonotonicTime,
    ) {
        let service = &self.service;
        let now = service.clock.now();
        let duration = now.since(started);
        let failure = response.result.as_ref().err();
        let kind = kind_label(&statement.kind);
        let reason = failure.map(|failure| failure.reason.label());
        service
            .metrics
            .count_statement(&self.database, kind, reason, duration);
        let config = service.config_view.config();
        let account = config
            .as_ref()
            .and_then(|config| config.account_for_key(&self.key));
        let ended = EndedStatement {
            statement,
            database: &self.database,
            account: account.map(|account| &*account.name),
            failure,
            trace: &self.trace,
            duration,
            config_version: config.as_ref().map_or(0, |config| config.version),
            config_age: service.config_view.age(now),
        };
        service.request_log.write_statement(&ended, now);
    }

    /// Returns the time until the open transaction reaches its idle timeout.
    fn idle_time_remaining(&self) -> Option<std::time::Duration> {
        let SessionState::Open(transaction) = &self.state else {
            return None;
        };
        let limit = transaction.access.config.idle_transaction_timeout?;
        let idle = self.service.clock.now().since(transaction.last_used);
        Some(limit.saturating_sub(idle))
    }
}

fn wrong_state() -> SessionFailure {
    SessionFailure::new(FailureCode::Malformed, FailureReason::WrongState)
}

#[async_trait(?Send)]
impl ClientSession for ServedSession {
    fn account(&self) -> Arc<str> {
        self.account.clone()
    }

    fn kept_bytes(&self) -> usize {
        let prepared = self.prepared.iter();
        let prepared = prepared.map(|(name, shape)| name.len() + shape.shape.len() + ENTRY_BYTES);
        self.values.kept_bytes() + prepared.sum::<usize>()
    }

    fn refuse(&mut self) -> SessionResponse {
        if matches!(self.state, SessionState::Failed) {
            return self.respond_in_failed_transaction(&StatementKind::Unknown);
        }
        self.fail(SessionFailure::new(
            FailureCode::Busy,
            FailureReason::NoMemory,
        ))
    }

    async fn execute(&mut self, statement: ClientStatement) -> SessionResponse {
        let started = self.service.clock.now();
        self.trace = OperationTrace::default();
        let response = self.dispatch_until_stop(&statement).await;
        self.record_end(&statement, &response, started);
        response
    }

    fn transaction(&self) -> TransactionStatus {
        self.status()
    }

    async fn wait_for_close(&mut self) {
        loop {
            let service = self.service.clone();
            let changed = service.lifecycle.changed();
            let is_open = matches!(self.state, SessionState::Open(_));
            let closing = self.service.phase() >= ServicePhase::Closing;
            if !is_open && (closing || self.service.is_isolated()) {
                return;
            }
            match self.idle_time_remaining() {
                None => {
                    // A timeout only starts the next check.
                    let _ = timeout(IDLE_CHECK_INTERVAL, changed).await;
                }
                Some(limit) => {
                    tokio::select! {
                        () = changed => {}
                        () = sleep(limit) => {
                            if self
                                .idle_time_remaining()
                                .is_some_and(|remaining| remaining.is_zero())
                            {
                                self.state = SessionState::Failed;
                            }
                        }
                    }
                }
            }
        }
    }
}

impl Drop for ServedSession {
    fn drop(&mut self) {
        self.service.lifecycle.count_session(false);
    }
}
