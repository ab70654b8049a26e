//! Runs single statements: chooses a member, retries what was not run, and reports the outcome.

use std::borrow::Cow;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use coriander_core::{LogPosition, MonotonicTime};
use coriander_service_api::{
    FailureCode, FailureReason, ReadFreshness, SessionFailure, SessionValues,
};
use smallvec::SmallVec;
use tokio::time::{sleep, timeout};

use crate::admission::access::GrantedAccess;
use crate::fleet::peer_traffic::ZoneRelation;
use crate::members::database_group::DatabaseGroup;
use crate::members::member::Member;
use crate::members::member_pool::PoolError;
use crate::service::SessionService;
use crate::sessions::attempt::{
    Attempt, CompletedStatement, RetryCost, evaluate_reply, no_connection,
};
use crate::sessions::busy_backoff::BusyBackoff;
use crate::sessions::exchange::{
    ExchangeError, ExchangeOutcome, ExchangePlan, PlannedBegin, PlannedStatement,
};
use crate::sessions::operation_link::OperationLink;
use crate::sessions::operation_trace::{AttemptTrace, OperationTrace};

/// Fraction of the statement timeout after which a read is retried on another member.
const READ_ATTEMPT_FRACTION: f64 = 0.45;

/// Fraction of the statement timeout for which a statement waits for a primary.
const PRIMARY_WAIT_FRACTION: f64 = 0.75;

/// Fraction of the statement timeout for which a statement waits for a connection. An early refusal
/// leaves the caller time to retry within its own deadline.
const ACQUIRE_TIMEOUT_FRACTION: f64 = 0.45;

/// Interval at which a waiting statement checks for a usable primary.
const PRIMARY_CHECK_INTERVAL: Duration = Duration::from_millis(40);

/// Age of the last read of the store from which a missing primary triggers another read.
pub const PRIMARY_REFRESH_AGE: Duration = Duration::from_millis(400);

/// Minimum time in which a member can be expected to reply. With less time remaining a statement is
/// not sent, because its reply would come too late for the caller.
pub const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(60);

/// Delay after which a caller should retry while its group has no primary.
pub const PRIMARY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Members that have been tried for one operation.
pub type TriedMembers = SmallVec<[Arc<str>; 4]>;

/// State that one operation needs.
pub struct OperationContext<'a> {
    /// The session service.
    pub service: &'a Rc<SessionService>,
    /// Group that serves the route.
    pub group: Rc<DatabaseGroup>,
    /// Result of the admission check.
    pub access: GrantedAccess,
    /// Values of the session.
    pub values: &'a SessionValues,
    /// Position of the session's last commit.
    pub last_commit: Option<LogPosition>,
    /// Time by which the statement must have ended.
    pub deadline: MonotonicTime,
    /// Attempts made so far.
    pub trace: RefCell<OperationTrace>,
}

/// What a member must confirm before it may serve a read.
#[derive(Clone, Copy)]
pub enum ReadRequirement {
    /// It is the primary.
    Primary,
    /// Its log contains a position, if there is one.
    MinPosition(Option<LogPosition>),
    /// Its log contains a position, if there is one, and its data has at most an age. This instance
    /// knows no position for the age; the one that executes the read may.
    MaxAge(Option<LogPosition>, Duration),
}

impl ReadRequirement {
    /// Returns whether a replica may serve the read.
    const fn allows_replica(self) -> bool {
        matches!(self, Self::MinPosition(_) | Self::MaxAge(..))
    }
}

impl OperationContext<'_> {
    /// Returns the current time.
    pub fn now(&self) -> MonotonicTime {
        self.service.clock.now()
    }

    /// Returns the time until the deadline.
    pub fn time_remaining(&self) -> Duration {
        self.deadline.since(self.now())
    }

    /// Records the first attempt of the statement, which allows a part of a repetition.
    pub fn record_first_attempt(&self) {
        let account = &self.access.account_name;
        self.service.repetitions.record_first(account, self.now());
    }

    /// Checks that the statement may be repeated after a failed attempt. Fails with what that
    /// attempt tells the caller, and with the time at which a repetition is expected to be allowed.
    pub fn check_repetition(
        &self,
        failure: &SessionFailure,
        cost: RetryCost,
    ) -> Result<(), SessionFailure> {
        if cost == RetryCost::Free {
            return Ok(());
        }
        let account = &self.access.account_name;
        let repetitions = &self.service.repetitions;
        let checked = repetitions.try_repeat(account, self.now());
        let metrics = &self.service.metrics;
        let Err(refusal) = checked else {
            metrics.count_repetition("allowed");
            return Ok(());
        };
        metrics.count_repetition(refusal.budget);
        let retry_after = failure.retry_after.unwrap_or_default();
        let inputs = failure.decision_inputs.as_deref().unwrap_or_default();
        let inputs = format!("{inputs} retry_budget={}", refusal.budget);
        let refused = failure.clone();
        Err(refused
            .with_retry_after(retry_after.max(refusal.retry_after))
            .with_decision_inputs(inputs.trim_start().to_owned()))
    }

    /// Waits before the next attempt at busy members. Returns false if no time would be left for
    /// it.
    pub async fn wait_for_busy_members(&self, backoff: &mut BusyBackoff) -> bool {
        let Some(delay) = self.busy_delay(backoff) else {
            return false;
        };
        sleep(delay).await;
        true
    }

    /// Returns the delay before the next attempt at busy members; `None` if no time would be left
    /// for it.
    pub fn busy_delay(&self, backoff: &mut BusyBackoff) -> Option<Duration> {
        let remaining = self.time_remaining().saturating_sub(MIN_ATTEMPT_TIME);
        backoff.next_delay(remaining, rand::random())
    }

    /// Returns how long a statement may use the member as primary; `None` if it may not.
    fn primary_use_remaining(&self, member: &Member) -> Option<Duration> {
        let group = &self.group.name;
        self.service
            .primary_use_remaining(group, &member.id, self.now())
    }

    /// Returns the plan of a statement at a member, outside a transaction.
    pub fn plan(
        &self,
        member: &Member,
        statement: &PlannedStatement,
        time_limit: Duration,
    ) -> ExchangePlan {
        let timeout = self.access.route.statement_timeout;
        let acquire_timeout = timeout.mul_f64(ACQUIRE_TIMEOUT_FRACTION);
        let started = self.deadline.saturating_sub(timeout);
        let target = started + self.access.route.latency_target;
        ExchangePlan {
            group: self.group.name.clone(),
            member: member.id.clone(),
            account: self.access.account_name.clone(),
            values: self.values.clone(),
            begin: None,
            statement: statement.clone(),
            min_position: None,
            max_age: None,
            priority: self.access.route.priority,
            account_weight: self.access.weight(),
            target_remaining: target.since(self.now()),
            acquire_timeout: acquire_timeout.min(time_limit.saturating_sub(MIN_ATTEMPT_TIME)),
            time_limit,
            keep_reserved: false,
            runs_whole_time: false,
            capacity: None,
        }
    }

    /// Executes a plan and records the attempt.
    pub async fn exchange(&self, link: &mut OperationLink, plan: &ExchangePlan) -> ExchangeOutcome {
        let started = self.now();
        let outcome = match self.limit_primary_use(plan) {
            Some(plan) => link.exchange(&plan).await,
            None => ExchangeOutcome::failed(ExchangeError::NotSent(PoolError::PrimaryUnconfirmed)),
        };
        let result = outcome.label();
        let duration = self.now().since(started);
        let metrics = &self.service.metrics;
        metrics.count_attempt(&plan.group, result, duration);
        let begin_min_position = plan.begin.and_then(|begin| begin.min_position);
        let mut trace = self.trace.borrow_mut();
        trace.position_unknown |= matches!(
            outcome.result,
            Err(ExchangeError::NotSent(PoolError::PositionUnknown))
        );
        trace.add(AttemptTrace {
            member: plan.member.clone(),
            home_instance: link.last_home_instance(),
            min_position: plan.min_position.or(begin_min_position),
            result,
            duration,
        });
        drop(trace);
        outcome
    }

    /// Limits the time of a plan that only the primary may run; `None` if its member may not be
    /// used as primary.
    fn limit_primary_use<'a>(&self, plan: &'a ExchangePlan) -> Option<Cow<'a, ExchangePlan>> {
        if !plan.needs_primary() {
            return Some(Cow::Borrowed(plan));
        }
        let remaining =
            self.service
                .primary_use_remaining(&plan.group, &plan.member, self.now())?;
        if remaining >= plan.time_limit {
            return Some(Cow::Borrowed(plan));
        }
        let mut plan = plan.clone();
        plan.time_limit = remaining;
        Some(Cow::Owned(plan))
    }

    /// Returns what a member must confirm before it may serve a read of the route.
    pub fn read_requirement(&self) -> ReadRequirement {
        let freshness = self.access.route.freshness;
        if freshness == ReadFreshness::Newest {
            return ReadRequirement::Primary;
        }
        let own_commit = match freshness {
            ReadFreshness::OwnWrites { .. } => self.last_commit,
            _ => None,
        };
        let Some(max_age) = freshness.max_age() else {
            return ReadRequirement::MinPosition(own_commit);
        };
        match self.group.min_position_for_age(max_age, self.now()) {
            Some(min_position) => ReadRequirement::MinPosition(own_commit.max(Some(min_position))),
            None if self.service.capacity.is_some() && !self.trace.borrow().position_unknown => {
                ReadRequirement::MaxAge(own_commit, max_age)
            }
            None => ReadRequirement::Primary,
        }
    }

    /// Waits until the group has a primary that may be used.
    async fn wait_for_primary(&self) -> Result<Rc<Member>, SessionFailure> {
        let wait_limit = self
            .access
            .route
            .statement_timeout
            .mul_f64(PRIMARY_WAIT_FRACTION);
        let wait_deadline = self
            .deadline
            .saturating_sub(self.access.route.statement_timeout)
            + wait_limit;
        loop {
            let changed = self.group.changed.notified();
            if self.group.is_empty() {
                let failure = SessionFailure::new(FailureCode::Busy, FailureReason::NoMember);
                return Err(failure.with_retry_after(PRIMARY_RETRY_AFTER));
            }
            let now = self.now();
            if let Some(primary) = self.group.primary(now)
                && primary.is_usable(now)
                && primary.is_allowed_as_primary(now)
                && self.primary_use_remaining(&primary).is_some()
                && primary.admit_statement(now)
            {
                return Ok(primary);
            }
            let remaining = wait_deadline.since(now);
            if remaining.is_zero() {
                let failure = SessionFailure::new(FailureCode::Busy, FailureReason::NoPrimary);
                let failure = failure.with_decision_inputs(self.group.describe_primary(now));
                return Err(failure.with_retry_after(PRIMARY_RETRY_AFTER));
            }
            self.service.request_refresh(PRIMARY_REFRESH_AGE);
            let wait = remaining.min(PRIMARY_CHECK_INTERVAL);
            // A member can become usable after its backoff without a change of the group.
            let _ = timeout(wait, changed).await;
        }
    }

    /// Returns whether a read that was refused by the tried members may run on another replica.
    fn has_untried_replica(&self, tried: &TriedMembers) -> bool {
        let allows_replica = self.read_requirement().allows_replica();
        !tried.is_empty() && allows_replica && self.group.has_read_target(tried, self.now())
    }

    /// Chooses a member for a read and records it as tried.
    pub async fn choose_member(
        &self,
        requirement: ReadRequirement,
        tried: &mut TriedMembers,
    ) -> Result<Rc<Member>, SessionFailure> {
        let member = match requirement {
            ReadRequirement::Primary => self.wait_for_primary().await?,
            ReadRequirement::MinPosition(_) | ReadRequirement::MaxAge(..) => {
                self.choose_read_target(tried).await?
            }
        };
        self.count_read_target(requirement, &member);
        tried.push(member.id.clone());
        Ok(member)
    }

    fn count_read_target(&self, requirement: ReadRequirement, member: &Member) {
        let primary = self.group.primary(self.now());
        let is_primary = primary.is_some_and(|primary| primary.id == member.id);
        let target = match requirement {
            _ if requirement.allows_replica() && is_primary => "primary",
            ReadRequirement::MinPosition(_) => "replica",
            ReadRequirement::MaxAge(..) => "replica_by_age",
            ReadRequirement::Primary if self.access.route.freshness == ReadFreshness::Newest => {
                "newest"
            }
            ReadRequirement::Primary => "no_position",
        };
        let zone = ZoneRelation::new(&self.service.settings().zone, &member.zone());
        self.service.peers.traffic.count_read_target(target, zone);
    }

    async fn choose_read_target(
        &self,
        tried: &mut TriedMembers,
    ) -> Result<Rc<Member>, SessionFailure> {
        let account = &self.access.account_name;
        if let Some(member) = self.group.choose_read_target(account, tried, self.now()) {
            return Ok(member);
        }
        if !tried.is_empty() {
            tried.clear();
            if let Some(member) = self.group.choose_read_target(account, tried, self.now()) {
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
) -> Result<CompletedStatement, SessionFailure> {
    let mut tried = TriedMembers::new();
    let mut attempted = TriedMembers::new();
    let mut backoff = BusyBackoff::default();
    let mut failure = None;
    context.record_first_attempt();
    while context.time_remaining() > MIN_ATTEMPT_TIME {
        let attempt = if statement.writes {
            attempt_write(context, statement).await
        } else {
            attempt_read(context, statement, &mut tried, &mut attempted).await
        };
        match attempt {
            Attempt::Completed(completed) => return Ok(completed),
            Attempt::Failed(failure) => return Err(failure),
            Attempt::Retry(retry, cost) => {
                let is_busy =
                    retry.code == FailureCode::Busy && retry.reason != FailureReason::MemberSilent;
                let has_no_room = retry.reason == FailureReason::NoConnection;
                let repeats_now = !is_busy || context.has_untried_replica(&tried);
                // A request without room is refused at once: waiting would only repeat it.
                if has_no_room && !repeats_now {
                    return Err(retry);
                }
                let delay = if repeats_now {
                    Duration::ZERO
                } else {
                    match context.busy_delay(&mut backoff) {
                        Some(delay) => delay,
                        // A repetition that is not made must not be taken from the budget.
                        None => return Err(retry),
                    }
                };
                context.check_repetition(&retry, cost)?;
                failure = Some(retry);
                if !repeats_now {
                    sleep(delay).await;
                }
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
    let plan = context.plan(&primary, statement, context.time_remaining());
    let mut link = OperationLink::new(context.service, &context.group, &primary);
    let outcome = context.exchange(&mut link, &plan).await;
    evaluate_reply(context, &primary, outcome.result, true)
}

async fn attempt_read(
    context: &OperationContext<'_>,
    statement: &PlannedStatement,
    tried: &mut TriedMembers,
    attempted: &mut TriedMembers,
) -> Attempt {
    let requirement = context.read_requirement();
    let member = match context.choose_member(requirement, tried).await {
        Ok(member) => member,
        Err(failure) => return Attempt::Failed(failure),
    };
    let attempt_limit = context
        .access
        .route
        .statement_timeout
        .mul_f64(READ_ATTEMPT_FRACTION);
    let mut plan = context.plan(
        &member,
        statement,
        context.time_remaining().min(attempt_limit),
    );
    // Cut off again, a member that answers slowly would serve no read at all.
    plan.runs_whole_time = attempted.contains(&member.id);
    attempted.push(member.id.clone());
    match requirement {
        ReadRequirement::MinPosition(min_position) => {
            plan.min_position = min_position;
            plan.runs_whole_time |= !context.has_untried_replica(tried);
        }
        ReadRequirement::MaxAge(min_position, max_age) => {
            plan.min_position = min_position;
            plan.max_age = Some(max_age);
            plan.runs_whole_time |= !context.has_untried_replica(tried);
        }
        ReadRequirement::Primary => {
            plan.begin = Some(PlannedBegin {
                read_only: false,
                min_position: None,
            });
        }
    }
    let mut link = OperationLink::new(context.service, &context.group, &member);
    let outcome = context.exchange(&mut link, &plan).await;
    let is_full = matches!(
        outcome.result,
        Err(ExchangeError::NotSent(PoolError::Exhausted { .. }))
    );
    let attempt = evaluate_reply(context, &member, outcome.result, false);
    match attempt {
        // Another member may have room.
        Attempt::Failed(failure)
            if is_full && member.capacity.is_some() && context.has_untried_replica(tried) =>
        {
            Attempt::Retry(failure, RetryCost::Counted)
        }
        attempt => attempt,
    }
}
