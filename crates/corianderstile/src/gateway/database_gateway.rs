//! The gateway of one database: members, queue, transactions and their maintenance.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use coriander_consul::ServiceMember;
use coriander_core::{
    ClassName, ClassTarget, DatabaseName, ErrorCode, InstanceId, KeyDigest, MonotonicTime,
    RequestError, ZoneName,
};
use coriander_failover::PrimaryView;
use coriander_routing::{RequestClassification, RequestKind, StatementCache};
use coriander_tokens::SecretKeys;
use coriander_upstream::ResponseBudget;
use coriander_upstream::{StreamLease, StreamUse};
use libsql_hrana::proto::{PipelineReqBody, PipelineRespBody, StreamResult};

use super::group_task::GroupTask;
use super::member_handle::MemberHandle;
use super::member_list::group_members;
use super::slot_gate::{SlotGate, SlotPermit, SlotRequest};
use super::transaction_table::TransactionTable;
use super::upstream_pipeline::UpstreamPipeline;
use crate::peer::{ForwardReply, ForwardRequest};
use crate::process_clock::ProcessClock;
use crate::rate_service::RateService;
use crate::read_selector::ReadSelector;
use crate::settings::RequestBounds;

/// Time between two rounds of pool maintenance and transaction expiry.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two deletions of old request records. Each deletes up to 500 records, which is
/// enough for 8 writes/s of one database; at higher rates, records are kept longer.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(60);

/// Delay before a request is retried on another member.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(10);

/// Maximum wait of a request in an open transaction for a token of its account.
const TRANSACTION_RATE_TIMEOUT: Duration = Duration::from_secs(5);

/// Function that fails if a request with a key must not run.
pub type KeyCheck = Box<dyn Fn(&KeyDigest) -> Result<(), RequestError>>;

/// Dependencies of a gateway.
pub struct GatewayContext {
    /// Identifier of this instance.
    pub own_id: InstanceId,
    /// Availability zone of this instance.
    pub own_zone: ZoneName,
    /// Clock of this process.
    pub clock: ProcessClock,
    /// Keys for batons.
    pub secrets: SecretKeys,
    /// Limits on requests.
    pub bounds: RequestBounds,
    /// Fails if this instance may not serve now or the key is no longer valid.
    pub may_run: KeyCheck,
    /// Rate limits of client accounts.
    pub rates: Rc<RateService>,
    /// Memory of the answers of members.
    pub answers: Rc<dyn ResponseBudget>,
    /// Returns the target of a class.
    pub class_target: Box<dyn Fn(&ClassName) -> ClassTarget>,
    /// Returns whether operators keep a zone in service.
    pub is_zone_in: Box<dyn Fn(&ZoneName) -> bool>,
}

/// The gateway of one database on this instance.
pub struct DatabaseGateway {
    pub(super) name: DatabaseName,
    pub(super) context: Rc<GatewayContext>,
    pub(super) group: Rc<GroupTask>,
    pub(super) gate: Rc<SlotGate>,
    pub(super) transactions: TransactionTable,
    pub(super) statement_cache: RefCell<StatementCache>,
    pub(super) read_selector: ReadSelector,
    pub(super) schema_term: Cell<u64>,
    pub(super) listed_members: RefCell<Vec<ServiceMember>>,
    pub(super) rank: Cell<Option<u32>>,
    in_flight: Cell<usize>,
}

impl DatabaseGateway {
    /// Creates a gateway without members and starts its tasks.
    pub fn start(name: DatabaseName, context: Rc<GatewayContext>) -> Rc<Self> {
        let group = GroupTask::new(name.clone(), context.own_id.clone(), context.clock);
        let gateway = Rc::new(Self {
            gate: SlotGate::new(context.clock, context.bounds.slots_per_member),
            read_selector: ReadSelector::new(
                context.own_zone.clone(),
                context.clock,
                context.bounds.slots_per_member,
            ),
            name,
            group: group.clone(),
            context,
            transactions: TransactionTable::default(),
            statement_cache: RefCell::default(),
            schema_term: Cell::new(0),
            listed_members: RefCell::default(),
            rank: Cell::new(None),
            in_flight: Cell::new(0),
        });
        let weak = Rc::downgrade(&gateway);
        group.on_status(Box::new(move |status, sent| {
            if let Some(gateway) = weak.upgrade() {
                gateway.read_selector.record_status(status, sent);
            }
        }));
        ntex::rt::spawn(group.run());
        ntex::rt::spawn(gateway.clone().run_maintenance());
        gateway
    }

    /// Runs a request; the entry instance may be this one or another.
    pub async fn execute(
        self: Rc<Self>,
        request: ForwardRequest,
    ) -> Result<ForwardReply, RequestError> {
        self.in_flight.set(self.in_flight.get() + 1);
        let result = self.clone().execute_counted(request).await;
        self.in_flight.set(self.in_flight.get() - 1);
        result
    }

    async fn execute_counted(
        self: Rc<Self>,
        request: ForwardRequest,
    ) -> Result<ForwardReply, RequestError> {
        (self.context.may_run)(&request.key)?;
        let deadline = self.context.clock.now() + request.remaining;
        let body: PipelineReqBody = serde_json::from_slice(&request.body)
            .map_err(|error| RequestError::not_run(ErrorCode::BadRequest, error.to_string()))?;
        let class = {
            let mut cache = self.statement_cache.borrow_mut();
            RequestClassification::classify_requests(&body.requests, &mut cache)
        };
        if class.kind == RequestKind::Reserved {
            let message = "the table of executed requests cannot be used by callers";
            return Err(RequestError::not_run(ErrorCode::BadRequest, message));
        }
        let pipeline = UpstreamPipeline::new(body.requests);
        self.admit(&request).await?;
        if request.stream.is_some() {
            return self.continue_transaction(request, pipeline, deadline).await;
        }
        match class.kind {
            _ if pipeline.keeps_stored_sql() => {
                self.open_transaction(request, pipeline, deadline).await
            }
            RequestKind::ReadOnly => self.run_read(request, pipeline, deadline).await,
            RequestKind::AutocommitWrite => self.run_write(request, pipeline, deadline).await,
            RequestKind::Transaction | RequestKind::Reserved => {
                let is_logged = !class.may_stay_in_transaction
                    && self.prepare_write(&request, &pipeline).is_ok();
                if is_logged {
                    self.run_write(request, pipeline, deadline).await
                } else {
                    self.open_transaction(request, pipeline, deadline).await
                }
            }
        }
    }

    /// Spends one token of the account's rate.
    ///
    /// Rates are counted at the gateways, because a few gateways need far fewer grants than all
    /// entry instances.
    async fn admit(&self, request: &ForwardRequest) -> Result<(), RequestError> {
        // Refusing a request of an open transaction would leave its locks held, so it waits longer.
        let timeout = match request.stream {
            Some(_) => TRANSACTION_RATE_TIMEOUT,
            None => (self.context.class_target)(&request.class).latency,
        };
        let deadline = self.context.clock.now() + timeout.min(request.remaining);
        self.context.rates.admit(&request.account, deadline).await?;
        // The key may have been withdrawn while the request waited.
        (self.context.may_run)(&request.key)
    }

    /// Applies changes of zones and classes.
    pub fn apply_config(&self) {
        let members: BTreeMap<_, _> = self
            .group
            .members()
            .into_iter()
            .map(|member| (member.id.clone(), member))
            .collect();
        if !members.is_empty() {
            let states = group_members(&members, &self.context);
            self.group.set_members(members, &states);
        }
        self.update_members();
    }

    /// Sets the latency target of a class.
    pub fn set_class_target(&self, class: ClassName, target: &ClassTarget) {
        self.gate.set_target(class, target.latency);
    }

    /// Sets the rank of this instance: 0 is the gateway, 1 the backup, `None` neither.
    pub fn set_rank(&self, rank: Option<u32>) {
        if self.rank.replace(rank) != rank {
            log::info!("gateway: rank of {} is now {rank:?}", self.name);
        }
        self.group.set_rank(rank);
        for member in self.group.members() {
            self.resize_pool(&member.pool);
        }
    }

    /// Stops the tasks of the gateway after its database was removed.
    pub fn stop(&self) {
        self.group.stop();
    }

    /// Replaces a gateway that was lost without closing its transactions.
    pub fn replace_lost_gateway(&self) {
        log::info!("gateway: replacing the lost gateway of {}", self.name);
        self.group.gateway_replaced();
    }

    /// Cancels waiting requests and rolls back transactions of withdrawn keys.
    pub fn withdraw_keys(&self, keys: &[KeyDigest]) {
        self.gate.cancel_keys(keys);
        let ended = self.transactions.withdraw_keys(|key| keys.contains(key));
        if ended > 0 {
            log::info!(
                "gateway: ended {ended} transactions of withdrawn keys on {}",
                self.name
            );
        }
    }

    /// Returns the number of requests and transactions in progress.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get() + self.transactions.len()
    }

    /// Returns the rank of this instance for the database.
    pub fn rank(&self) -> Option<u32> {
        self.rank.get()
    }

    /// Returns the number of open transactions.
    pub fn open_transactions(&self) -> usize {
        self.transactions.len()
    }

    /// Returns the current primary.
    pub fn primary(&self) -> Option<PrimaryView> {
        self.group.primary()
    }

    /// Describes members and queue for the state dump.
    pub fn describe(&self) -> serde_json::Value {
        let members: Vec<_> = self
            .group
            .members()
            .iter()
            .map(|member| {
                let counts = member.pool.counts();
                serde_json::json!({
                    "member": member.id, "address": member.address,
                    "zone": *member.zone.borrow(), "leaving": member.is_leaving.get(),
                    "streams": { "idle": counts.idle, "statements": counts.statements,
                        "transactions": counts.transactions, "warming": counts.warming,
                        "closing": counts.closing },
                })
            })
            .collect();
        let primary = self.primary();
        serde_json::json!({
            "database": self.name, "rank": self.rank.get(),
            "primary": primary.as_ref().map(|view| view.member.to_string()),
            "term": primary.as_ref().map(|view| view.term),
            "transactions": self.transactions.len(), "in_flight": self.in_flight.get(),
            "waiting": self.gate.waiting_total(), "members": members,
            "monitor": self.group.describe(), "replicas": self.read_selector.describe(),
        })
    }

    /// Waits for a slot on the primary or a replica.
    pub(super) async fn acquire_slot(
        &self,
        request: &ForwardRequest,
        role: coriander_limits::SlotRole,
        deadline: MonotonicTime,
    ) -> Result<SlotPermit, RequestError> {
        let target = (self.context.class_target)(&request.class);
        let permit = self.gate.acquire(SlotRequest {
            account: request.account.clone(),
            key: request.key,
            class: request.class.clone(),
            role,
            deadline: deadline.min(self.context.clock.now() + target.latency),
        });
        permit.await
    }

    /// Waits for a stream of a member; the pool is bounded like the member's connections.
    pub(super) async fn wait_for_stream(
        &self,
        member: &MemberHandle,
        purpose: StreamUse,
        deadline: MonotonicTime,
    ) -> Result<StreamLease, RequestError> {
        loop {
            if let Some(lease) = member.check_out(purpose, self.context.clock) {
                return Ok(lease);
            }
            if self.context.clock.now() >= deadline {
                let message = "no connection became free in time";
                return Err(RequestError::not_run(ErrorCode::Overloaded, message));
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    /// Waits until a later term than that of `view` has a primary.
    ///
    /// A call to the old primary can no longer be confirmed then.
    pub(super) async fn wait_for_term_end(&self, view: &PrimaryView) {
        while self
            .group
            .primary()
            .is_none_or(|current| current.term <= view.term)
        {
            self.group.wait_for_change().await;
        }
    }

    /// Queries the status of all members immediately, in addition to the periodic probes.
    pub(super) fn request_status(self: &Rc<Self>) {
        for member in self.group.members() {
            let gateway = self.clone();
            ntex::rt::spawn(async move {
                let sent = gateway.context.clock.now();
                if let Ok(status) = member.client.status().await {
                    gateway.read_selector.record_status(&status, sent);
                }
            });
        }
    }

    /// Waits until a primary accepts writes, for example during a promotion.
    pub(super) async fn wait_for_write_primary(
        &self,
        deadline: MonotonicTime,
    ) -> Option<PrimaryView> {
        self.wait_for_view(deadline, GroupTask::write_primary).await
    }

    /// Waits until the primary is known; reads continue while a planned promotion blocks writes.
    pub(super) async fn wait_for_primary(&self, deadline: MonotonicTime) -> Option<PrimaryView> {
        self.wait_for_view(deadline, GroupTask::primary).await
    }

    async fn wait_for_view(
        &self,
        deadline: MonotonicTime,
        view: impl Fn(&GroupTask) -> Option<PrimaryView>,
    ) -> Option<PrimaryView> {
        loop {
            if let Some(view) = view(&self.group) {
                return Some(view);
            }
            if self.context.clock.now() >= deadline {
                return None;
            }
            self.group.wait_for_change().await;
        }
    }

    async fn run_maintenance(self: Rc<Self>) {
        let mut last_primary = None;
        let mut last_cleanup = self.context.clock.now();
        while !self.group.is_stopped() {
            self.group
                .wait_for_change_within(MAINTENANCE_INTERVAL)
                .await;
            let primary = self.group.primary();
            if primary != last_primary {
                self.primary_changed(primary.as_ref());
                last_primary.clone_from(&primary);
            }
            let now = self.context.clock.now();
            let term = primary.as_ref().map(|view| view.term);
            self.transactions
                .expire(now, self.context.bounds.transaction_idle_timeout, term);
            self.gate.dispatch();
            if self.rank.get() == Some(0) && now.since(last_cleanup) >= CLEANUP_INTERVAL {
                last_cleanup = now;
                ntex::rt::spawn(self.clone().delete_old_records());
            }
            // A former gateway must continue to close streams: those above its new limit count as
            // in use until they are closed, and would block requests that it still runs.
            let has_open_streams = || {
                let members = self.group.members();
                members
                    .iter()
                    .any(|member| member.pool.counts().total() > 0)
            };
            let Some(view) = primary.filter(|_| self.rank.get().is_some() || has_open_streams())
            else {
                continue;
            };
            for member in self.group.members() {
                member.maintain_pool(view.term, self.context.clock);
            }
        }
    }

    fn primary_changed(&self, primary: Option<&PrimaryView>) {
        match primary {
            Some(view) => {
                log::info!(
                    "gateway: primary of {} is {} in term {}",
                    self.name,
                    view.member,
                    view.term
                );
                self.read_selector.set_primary(view);
                // Members close the streams of earlier terms.
                for member in self.group.members() {
                    member.pool.reset();
                }
            }
            None => log::info!("gateway: {} has no primary", self.name),
        }
        self.update_members();
    }
}

/// Encodes the response for the caller.
pub(super) fn response_body(
    baton: Option<String>,
    results: Vec<StreamResult>,
) -> Result<Vec<u8>, RequestError> {
    let body = PipelineRespBody {
        baton,
        base_url: None,
        results,
    };
    serde_json::to_vec(&body)
        .map_err(|error| RequestError::run(ErrorCode::Internal, error.to_string()))
}
