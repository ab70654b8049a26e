//! Runs statements: chooses a member, repeats where nothing was run, and says what is known.

use std::borrow::Cow;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use coriander_core::{LogPosition, MonotonicTime};
use coriander_service_api::{
    FailureCode, FailureReason, ReadFreshness, SessionFailure, SessionValues, TransactionStatus,
};
use smallvec::SmallVec;
use tokio::time::{sleep, timeout};

use crate::access::GrantedAccess;
use crate::attempt::{
    Attempt, DoneStatement, aborted, finish_attempt, in_doubt, link_reason, no_connection,
    note_refusal,
};
use crate::database_group::DatabaseGroup;
use crate::exchange::{
    ExchangeError, ExchangeOutcome, ExchangePlan, PlannedBegin, PlannedStatement,
};
use crate::member::Member;
use crate::member_pool::PoolError;
use crate::operation_link::OperationLink;
use crate::operation_trace::{AttemptTrace, OperationTrace};
use crate::service::SessionService;
use crate::session::OpenTransaction;

/// Part of a statement's time after which a read is repeated on another member.
const READ_ATTEMPT_PART: f64 = 0.45;

/// Part of a statement's time for which it waits for a primary.
const PRIMARY_WAIT_PART: f64 = 0.75;

/// Part of a statement's time for which it waits for a connection. A caller that hears early
/// that its members are busy can still come back within its own deadline.
const CONNECTION_WAIT_PART: f64 = 0.45;

/// Pause before a member that was busy is asked again.
const BUSY_PAUSE: Duration = Duration::from_millis(15);

/// Time between two looks for a primary that may be used.
const PRIMARY_CHECK: Duration = Duration::from_millis(40);

/// Age of the last read of the store from which a missing primary asks for another.
pub const LEADER_NEWS: Duration = Duration::from_millis(400);

/// Shortest time in which a member can be expected to answer. With less left, a statement is not
/// sent: its caller would learn nothing.
const LEAST_ATTEMPT: Duration = Duration::from_millis(60);

/// When a caller should try again while a group has no primary.
pub const PRIMARY_RETRY: Duration = Duration::from_millis(500);

/// Members that have been tried for one operation.
type TriedMembers = SmallVec<[Arc<str>; 4]>;

/// What an operation works with.
pub struct OperationContext<'a> {
    /// The process.
    pub service: &'a Rc<SessionService>,
    /// Group that serves the route.
    pub group: Rc<DatabaseGroup>,
    /// What was checked.
    pub access: GrantedAccess,
    /// Values of the session.
    pub values: &'a SessionValues,
    /// Position of the session's last commit.
    pub last_commit: Option<LogPosition>,
    /// When the statement must have ended.
    pub deadline: MonotonicTime,
    /// What has been tried.
    pub trace: RefCell<OperationTrace>,
}

/// What a member must prove before a read.
#[derive(Clone, Copy)]
enum ReadNeed {
    /// That it is the primary.
    Lead,
    /// That its log contains a position, if any.
    Floor(Option<LogPosition>),
}

impl OperationContext<'_> {
    /// Returns the current time.
    pub fn now(&self) -> MonotonicTime {
        self.service.clock.now()
    }

    fn left(&self) -> Duration {
        self.deadline.since(self.now())
    }

    /// Returns how long a statement may take at the primary; `None` if it may not be used.
    fn lead_time_left(&self, member: &Member) -> Option<Duration> {
        let group = &self.group.name;
        self.service.lead_time_left(group, &member.id, self.now())
    }

    fn plan(&self, member: &Member, statement: &PlannedStatement, limit: Duration) -> ExchangePlan {
        let timeout = self.access.route.statement_timeout;
        let connection_wait = timeout.mul_f64(CONNECTION_WAIT_PART);
        ExchangePlan {
            group: self.group.name.clone(),
            member: member.id.clone(),
            account: self.access.account_name.clone(),
            values: self.values.clone(),
            begin: None,
            statement: statement.clone(),
            floor: None,
            priority: self.access.route.priority,
            connection_wait: connection_wait.min(limit.saturating_sub(LEAST_ATTEMPT)),
            limit,
            keep: false,
        }
    }

    /// Carries out a plan and notes the attempt.
    async fn exchange(&self, link: &mut OperationLink, plan: &ExchangePlan) -> ExchangeOutcome {
        let started = self.now();
        let outcome = match self.limit_lead(plan) {
            Some(plan) => link.exchange(&plan).await,
            None => ExchangeOutcome::failed(ExchangeError::NotSent(PoolError::LeadUnproved)),
        };
        let result = outcome.label();
        let took = self.now().since(started);
        let metrics = &self.service.metrics;
        metrics.count_attempt(&plan.group, result, took);
        let begin_floor = plan.begin.and_then(|begin| begin.floor);
        self.trace.borrow_mut().add(AttemptTrace {
            member: plan.member.clone(),
            home: link.last_home(),
            floor: plan.floor.or(begin_floor),
            result,
            took,
        });
        outcome
    }

    /// Bounds the time of a plan that only the primary may run; `None` if its member may not be
    /// used as primary.
    fn limit_lead<'a>(&self, plan: &'a ExchangePlan) -> Option<Cow<'a, ExchangePlan>> {
        if !plan.needs_lead() {
            return Some(Cow::Borrowed(plan));
        }
        let left = self
            .service
            .lead_time_left(&plan.group, &plan.member, self.now())?;
        if left >= plan.limit {
            return Some(Cow::Borrowed(plan));
        }
        let mut plan = plan.clone();
        plan.limit = left;
        Some(Cow::Owned(plan))
    }

    fn read_need(&self) -> ReadNeed {
        let freshness = self.access.route.freshness;
        if freshness == ReadFreshness::Newest {
            return ReadNeed::Lead;
        }
        let own = match freshness {
            ReadFreshness::OwnWrites { .. } => self.last_commit,
            _ => None,
        };
        let Some(max_age) = freshness.max_age() else {
            return ReadNeed::Floor(own);
        };
        match self.group.floor_for_age(max_age, self.now()) {
            Some(floor) => ReadNeed::Floor(own.max(Some(floor))),
            None => ReadNeed::Lead,
        }
    }

    /// Waits until the group has a primary that may be used.
    async fn wait_for_primary(&self) -> Result<Rc<Member>, SessionFailure> {
        let patience = self
            .access
            .route
            .statement_timeout
            .mul_f64(PRIMARY_WAIT_PART);
        let until = self
            .deadline
            .saturating_sub(self.access.route.statement_timeout)
            + patience;
        loop {
            let changed = self.group.changed.notified();
            if self.group.is_empty() {
                let failure = SessionFailure::new(FailureCode::Busy, FailureReason::NoMember);
                return Err(failure.with_retry_after(PRIMARY_RETRY));
            }
            let now = self.now();
            if let Some(leader) = self.group.leader(now)
                && leader.is_usable(now)
                && leader.may_still_lead(now)
                && self.lead_time_left(&leader).is_some()
                && leader.admit_statement(now)
            {
                return Ok(leader);
            }
            let left = until.since(now);
            if left.is_zero() {
                let failure = SessionFailure::new(FailureCode::Busy, FailureReason::NoPrimary);
                let failure = failure.with_decision_inputs(self.group.describe_leader(now));
                return Err(failure.with_retry_after(PRIMARY_RETRY));
            }
            self.service.want_news(LEADER_NEWS);
            let pause = left.min(PRIMARY_CHECK);
            // A member whose pause has ended can be tried without a change of the group.
            let _ = timeout(pause, changed).await;
        }
    }

    /// Chooses a member for a read and notes that it is tried.
    async fn choose_member(
        &self,
        need: ReadNeed,
        tried: &mut TriedMembers,
    ) -> Result<Rc<Member>, SessionFailure> {
        let member = match need {
            ReadNeed::Lead => self.wait_for_primary().await?,
            ReadNeed::Floor(_) => self.choose_reader(tried).await?,
        };
        tried.push(member.id.clone());
        Ok(member)
    }

    async fn choose_reader(&self, tried: &mut TriedMembers) -> Result<Rc<Member>, SessionFailure> {
        let account = &self.access.account_name;
        if let Some(member) = self.group.choose_reader(account, tried, self.now()) {
            return Ok(member);
        }
        if !tried.is_empty() {
            tried.clear();
            sleep(BUSY_PAUSE.min(self.left())).await;
            if let Some(member) = self.group.choose_reader(account, tried, self.now()) {
                return Ok(member);
            }
        }
        self.wait_for_primary().await
    }
}

/// Runs a statement outside a transaction.
pub async fn run_single(
    context: &OperationContext<'_>,
    statement: &PlannedStatement,
) -> Result<DoneStatement, SessionFailure> {
    let mut tried = TriedMembers::new();
    let mut failure = None;
    while context.left() > LEAST_ATTEMPT {
        let attempt = if statement.writes {
            attempt_write(context, statement).await
        } else {
            attempt_read(context, statement, &mut tried).await
        };
        match attempt {
            Attempt::Done(done) => return Ok(done),
            Attempt::Failed(failure) => return Err(failure),
            Attempt::Again(again) => {
                if again.code == FailureCode::Busy && again.reason != FailureReason::MemberSilent {
                    sleep(BUSY_PAUSE.min(context.left())).await;
                }
                failure = Some(again);
            }
        }
    }
    Err(failure.unwrap_or_else(no_connection))
}

async fn attempt_write(context: &OperationContext<'_>, statement: &PlannedStatement) -> Attempt {
    let primary = match context.wait_for_primary().await {
        Ok(primary) => primary,
        Err(failure) => return Attempt::Failed(failure),
    };
    let plan = context.plan(&primary, statement, context.left());
    let mut link = OperationLink::new(context.service, &context.group, &primary);
    let outcome = context.exchange(&mut link, &plan).await;
    finish_attempt(context, &primary, outcome.result, true)
}

async fn attempt_read(
    context: &OperationContext<'_>,
    statement: &PlannedStatement,
    tried: &mut TriedMembers,
) -> Attempt {
    let need = context.read_need();
    let member = match context.choose_member(need, tried).await {
        Ok(member) => member,
        Err(failure) => return Attempt::Failed(failure),
    };
    let part = context
        .access
        .route
        .statement_timeout
        .mul_f64(READ_ATTEMPT_PART);
    let mut plan = context.plan(&member, statement, context.left().min(part));
    match need {
        ReadNeed::Floor(floor) => plan.floor = floor,
        ReadNeed::Lead => {
            plan.begin = Some(PlannedBegin {
                read_only: false,
                floor: None,
            });
        }
    }
    let mut link = OperationLink::new(context.service, &context.group, &member);
    let outcome = context.exchange(&mut link, &plan).await;
    finish_attempt(context, &member, outcome.result, false)
}

/// Runs the first statement of a transaction, repeating where nothing was run.
async fn open_transaction(
    context: &OperationContext<'_>,
    transaction: &mut OpenTransaction,
    statement: &PlannedStatement,
) -> Result<DoneStatement, SessionFailure> {
    let mut tried = TriedMembers::new();
    let mut failure = None;
    while context.left() > LEAST_ATTEMPT {
        match attempt_begin(context, transaction, statement, &mut tried).await {
            Attempt::Done(done) => return Ok(done),
            Attempt::Failed(failure) => return Err(failure),
            Attempt::Again(again) => {
                sleep(BUSY_PAUSE.min(context.left())).await;
                failure = Some(again);
            }
        }
    }
    Err(failure.unwrap_or_else(no_connection))
}

async fn attempt_begin(
    context: &OperationContext<'_>,
    transaction: &mut OpenTransaction,
    statement: &PlannedStatement,
    tried: &mut TriedMembers,
) -> Attempt {
    let need = if transaction.read_only {
        context.read_need()
    } else {
        ReadNeed::Lead
    };
    let member = match context.choose_member(need, tried).await {
        Ok(member) => member,
        Err(failure) => return Attempt::Failed(failure),
    };
    let mut plan = context.plan(&member, statement, context.left());
    plan.keep = true;
    plan.begin = Some(match need {
        ReadNeed::Lead => PlannedBegin {
            read_only: false,
            floor: None,
        },
        ReadNeed::Floor(floor) => PlannedBegin {
            read_only: true,
            floor,
        },
    });
    let mut link = OperationLink::new(context.service, &context.group, &member);
    let outcome = context.exchange(&mut link, &plan).await;
    let result = match outcome.result {
        // Whatever ran is rolled back with the connection; a COMMIT had nothing to keep.
        Err(ExchangeError::Unanswered(lost)) => {
            return Attempt::Failed(aborted(link_reason(&lost), &lost.to_string()));
        }
        result => result,
    };
    let attempt = finish_attempt(context, &member, result, false);
    if matches!(attempt, Attempt::Done(_)) && !statement.commits {
        transaction.link = Some(link);
    }
    attempt
}

/// Runs a statement of an open transaction. After a failure the transaction must be dropped.
pub async fn run_in_transaction(
    context: &OperationContext<'_>,
    transaction: &mut OpenTransaction,
    statement: &PlannedStatement,
) -> Result<DoneStatement, SessionFailure> {
    let Some(mut link) = transaction.link.take() else {
        return open_transaction(context, transaction, statement).await;
    };
    let member = link.member.clone();
    let mut plan = context.plan(&member, statement, context.left());
    plan.keep = true;
    match context.exchange(&mut link, &plan).await.result {
        Ok(reply) => {
            let done = DoneStatement::new(reply).map_err(|refusal| {
                note_refusal(context, &member, refusal.code, None);
                SessionFailure::new(refusal.code, FailureReason::MemberRefused)
                    .with_detail(refusal.detail)
            })?;
            transaction.link = Some(link);
            Ok(done)
        }
        // The connection is closed, so the member rolls back; no COMMIT was sent.
        Err(error) => Err(broken_transaction(&error)),
    }
}

fn broken_transaction(error: &ExchangeError) -> SessionFailure {
    match error {
        ExchangeError::Unanswered(link) | ExchangeError::NotSent(PoolError::Connect(link)) => {
            aborted(link_reason(link), &link.to_string())
        }
        ExchangeError::Declined(code, _) => aborted(FailureReason::MemberRefused, code.label()),
        ExchangeError::NotSent(error @ PoolError::LeadUnproved) => {
            aborted(FailureReason::NoPrimary, &error.to_string())
        }
        ExchangeError::NotSent(error) => aborted(FailureReason::NoConnection, &error.to_string()),
    }
}

/// Commits the transaction with the client's own statement.
pub async fn run_commit(
    context: &OperationContext<'_>,
    transaction: &mut OpenTransaction,
    statement: &PlannedStatement,
) -> Result<DoneStatement, SessionFailure> {
    let Some(mut link) = transaction.link.take() else {
        return open_transaction(context, transaction, statement).await;
    };
    loop {
        let mut plan = context.plan(&link.member, statement, context.left());
        plan.keep = true;
        let reply = match context.exchange(&mut link, &plan).await.result {
            Ok(reply) => reply,
            // Nothing was written, so nothing can have been kept.
            Err(error) if !transaction.wrote => return Err(broken_transaction(&error)),
            Err(ExchangeError::Unanswered(lost)) => return Err(in_doubt(&lost)),
            Err(error) => return Err(broken_transaction(&error)),
        };
        let open = reply.transaction == TransactionStatus::Open;
        let refusal = match DoneStatement::new(reply) {
            Ok(done) => return Ok(done),
            Err(refusal) => refusal,
        };
        if refusal.code == FailureCode::Busy && open && context.left() > LEAST_ATTEMPT {
            sleep(BUSY_PAUSE).await;
            continue;
        }
        note_refusal(context, &link.member, refusal.code, None);
        let failure = SessionFailure::new(refusal.code, FailureReason::MemberRefused);
        return Err(failure.with_detail(refusal.detail));
    }
}
