//! Handles callers' requests on their entry instance: checks them and passes them to a gateway.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use coriander_core::{
    AccountName, ClassName, DatabaseName, ErrorCode, InstanceId, MonotonicTime, RequestError,
    RequestOutcome,
};
use coriander_membership::WorkAdmission;
use coriander_routing::{RequestClassification, RequestKind, StatementCache};
use coriander_tokens::{SecretKeys, SessionPosition, SessionToken, TransactionBaton};
use coriander_upstream::ResponseMemory;
use libsql_hrana::proto::PipelineReqBody;

use crate::caller::{
    CallerConnections, CallerEndpoint, CallerRequest, MAX_ERROR_BYTES, bounded_text,
    count_statements, cursor_to_pipeline,
};
use crate::config::ConfigService;
use crate::decision_log::{DecisionLog, DecisionRecord};
use crate::gateway::GatewaySet;
use crate::membership_service::MembershipService;
use crate::metrics::{ProxyMetrics, RequestLabels};
use crate::peer::{
    ForwardReply, ForwardRequest, PeerClient, PeerError, PeerReply, PeerRequest, ServedBy,
};
use crate::process_clock::ProcessClock;
use crate::settings::RequestBounds;

/// Maximum duration of a request, including a change of primary (9 s).
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay before a request is sent to the gateways again.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// A successful request.
pub struct EntrySuccess {
    /// Body of the response.
    pub body: Vec<u8>,
    /// Session token for the next request.
    pub session: String,
    /// Member that executed the request.
    pub served_by: ServedBy,
    /// Memory of the body.
    pub memory: ResponseMemory,
}

/// Result of a request together with its request id.
pub struct EntryResponse {
    /// Id that the caller sent or that was generated.
    pub request_id: String,
    /// The result.
    pub result: Result<EntrySuccess, RequestError>,
}

/// Dependencies of the entry service.
pub struct EntryContext {
    /// Identifier of this instance.
    pub own_id: InstanceId,
    /// Clock of this process.
    pub clock: ProcessClock,
    /// Limits on requests.
    pub bounds: RequestBounds,
    /// Keys for tokens and batons.
    pub secrets: SecretKeys,
    /// Applied configuration.
    pub config: Rc<ConfigService>,
    /// Fleet and ranks.
    pub membership: Rc<MembershipService>,
    /// Gateways of this instance.
    pub gateways: Rc<GatewaySet>,
    /// Connections to other instances.
    pub peers: Rc<PeerClient>,
    /// Counters.
    pub metrics: Rc<ProxyMetrics>,
    /// Recent decisions.
    pub decisions: Rc<DecisionLog>,
    /// Connections of callers and their memory.
    pub connections: Rc<CallerConnections>,
}

/// Accepts callers' requests and passes them to the gateway of their database.
pub struct EntryService {
    context: EntryContext,
    statement_cache: RefCell<StatementCache>,
    in_flight: Cell<usize>,
}

/// A well-formed request whose key belongs to an account.
struct CheckedRequest {
    forward: ForwardRequest,
    token: SessionToken,
    transaction_gateway: Option<InstanceId>,
    is_repeatable: bool,
}

impl EntryService {
    /// Creates the service.
    pub fn new(context: EntryContext) -> Rc<Self> {
        Rc::new(Self {
            context,
            statement_cache: RefCell::default(),
            in_flight: Cell::new(0),
        })
    }

    /// Returns the maximum size of a request body in bytes.
    pub fn body_limit(&self) -> usize {
        self.context.bounds.max_body_bytes
    }

    /// Returns the connections of callers.
    pub fn connections(&self) -> &Rc<CallerConnections> {
        &self.context.connections
    }

    /// Returns the account of a key.
    pub fn find_account(&self, key: &str) -> Result<AccountName, RequestError> {
        self.context.config.may_serve()?;
        Ok(self.context.config.verify(key)?.account)
    }

    /// Records a request that is refused before its body is known.
    pub fn refuse(&self, request: CallerRequest, error: RequestError) -> EntryResponse {
        let request_id = request.request_id.unwrap_or_else(generated_id);
        let mut record = DecisionRecord::new(request_id.clone());
        let result = Err(error);
        self.record_result(&request.class, &result, Duration::ZERO, &mut record);
        self.context.decisions.push(record);
        EntryResponse { request_id, result }
    }

    /// Returns the number of requests in progress.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Fails if the load balancer must not send requests to this instance.
    pub fn readiness(&self) -> Result<(), RequestError> {
        self.context.config.may_serve()?;
        if self.context.membership.is_ready() {
            Ok(())
        } else {
            Err(self.context.membership.refusal())
        }
    }

    /// Serves a caller's request.
    pub async fn serve(self: Rc<Self>, request: CallerRequest) -> EntryResponse {
        self.in_flight.set(self.in_flight.get() + 1);
        let start = self.context.clock.now();
        let request_id = request.request_id.clone().unwrap_or_else(generated_id);
        let mut record = DecisionRecord::new(request_id.clone());
        let class = request.class.clone();
        let result = self.run(request, &request_id, start, &mut record).await;
        let elapsed = self.context.clock.now().since(start);
        self.record_result(&class, &result, elapsed, &mut record);
        self.context.decisions.push(record);
        self.in_flight.set(self.in_flight.get() - 1);
        EntryResponse { request_id, result }
    }

    async fn run(
        &self,
        request: CallerRequest,
        request_id: &str,
        start: MonotonicTime,
        record: &mut DecisionRecord,
    ) -> Result<EntrySuccess, RequestError> {
        self.context.config.may_serve()?;
        if self.context.membership.admission() == WorkAdmission::Refuse && !has_baton(&request.body)
        {
            return Err(self.context.membership.refusal());
        }
        let mut checked = self.check(request, request_id)?;
        let forward = &checked.forward;
        let text = format!(
            "account {}, database {}, class {}, session {:?}",
            forward.account, forward.database, forward.class, forward.session
        );
        record.add(self.elapsed_since(start), "caller", text);
        let reply = self.dispatch(&checked, start, record).await?;
        if let Some(position) = reply.written {
            checked.token.advance(&checked.forward.database, position);
        }
        Ok(EntrySuccess {
            body: reply.body,
            session: checked.token.encode(&self.context.secrets),
            served_by: reply.served_by,
            memory: reply.memory,
        })
    }

    fn check(
        &self,
        request: CallerRequest,
        request_id: &str,
    ) -> Result<CheckedRequest, RequestError> {
        let verified = self.context.config.verify(&request.key)?;
        let body = parse_body(&request, self.context.bounds.max_statements)?;
        let database = self.find_database(request.database)?;
        let (token, session) = match &request.session {
            Some(text) => {
                let token = SessionToken::decode(text, &self.context.secrets, &verified.account)
                    .map_err(|error| invalid_session(&error))?;
                let position = token.position(&database);
                (token, position)
            }
            None => (
                SessionToken::new(verified.account.clone()),
                SessionPosition::Unknown,
            ),
        };
        let class = RequestClassification::classify_requests(
            &body.requests,
            &mut self.statement_cache.borrow_mut(),
        );
        let baton = match &body.baton {
            Some(text) => Some(self.check_baton(text, &verified.account, &database)?),
            None => None,
        };
        let encoded = match request.endpoint {
            CallerEndpoint::Pipeline => request.body,
            CallerEndpoint::Cursor => serde_json::to_vec(&body)
                .map_err(|error| RequestError::not_run(ErrorCode::Internal, error.to_string()))?,
        };
        Ok(CheckedRequest {
            forward: ForwardRequest {
                account: verified.account,
                key: verified.digest,
                class: request.class,
                database,
                session,
                request_id: request_id.to_owned(),
                stream: baton.as_ref().map(|baton| (baton.stream, baton.sequence)),
                remaining: REQUEST_TIMEOUT,
                body: encoded,
            },
            token,
            is_repeatable: baton.is_none() && class.kind < RequestKind::Transaction,
            transaction_gateway: baton.map(|baton| baton.gateway),
        })
    }

    fn check_baton(
        &self,
        text: &str,
        account: &AccountName,
        database: &DatabaseName,
    ) -> Result<TransactionBaton, RequestError> {
        let baton = TransactionBaton::decode(text, &self.context.secrets, account)
            .map_err(|error| RequestError::not_run(ErrorCode::BadBaton, error.to_string()))?;
        if baton.database != *database {
            let message = "baton belongs to another database";
            return Err(RequestError::not_run(ErrorCode::BadBaton, message));
        }
        Ok(baton)
    }

    fn find_database(&self, requested: Option<DatabaseName>) -> Result<DatabaseName, RequestError> {
        let document = self.context.config.document();
        let not_found = |message: String| RequestError::not_run(ErrorCode::NotFound, message);
        match requested {
            Some(name) if document.databases.contains(&name) => Ok(name),
            Some(name) => Err(not_found(format!("database {name} does not exist"))),
            // A request may omit the name if there is only one database.
            None if document.databases.len() == 1 => Ok(document.databases[0].clone()),
            None => Err(not_found("the request names no database".to_owned())),
        }
    }

    async fn dispatch(
        &self,
        checked: &CheckedRequest,
        start: MonotonicTime,
        record: &mut DecisionRecord,
    ) -> Result<ForwardReply, RequestError> {
        let deadline = start + REQUEST_TIMEOUT;
        if let Some(gateway) = &checked.transaction_gateway {
            return self.send_to(gateway, checked, start, record).await;
        }
        let mut may_have_run = false;
        loop {
            let gateways = self.context.membership.gateways(&checked.forward.database);
            let mut last_error = RequestError::not_run(
                ErrorCode::NoUpstream,
                "no instance can serve the database now",
            );
            for gateway in &gateways {
                let error = match self.send_to(gateway, checked, start, record).await {
                    Ok(reply) => return Ok(reply),
                    Err(error) => error,
                };
                may_have_run |= error.outcome == RequestOutcome::Unknown;
                if !is_gateway_failure(&error) || (may_have_run && !checked.is_repeatable) {
                    return Err(with_outcome(error, may_have_run));
                }
                record.add(
                    self.elapsed_since(start),
                    "gateway",
                    format!("{gateway}: {error}; trying the next"),
                );
                last_error = error;
            }
            if self.context.clock.now() + RETRY_DELAY >= deadline {
                return Err(with_outcome(last_error, may_have_run));
            }
            tokio::time::sleep(RETRY_DELAY).await;
            if let Err(error) = self.context.config.check_key(&checked.forward.key) {
                return Err(with_outcome(error, may_have_run));
            }
        }
    }

    async fn send_to(
        &self,
        gateway: &InstanceId,
        checked: &CheckedRequest,
        start: MonotonicTime,
        record: &mut DecisionRecord,
    ) -> Result<ForwardReply, RequestError> {
        let remaining = REQUEST_TIMEOUT.saturating_sub(self.elapsed_since(start));
        let forward = ForwardRequest {
            remaining,
            ..checked.forward.clone()
        };
        if *gateway == self.context.own_id {
            record.add(
                self.elapsed_since(start),
                "gateway",
                "runs on this instance",
            );
            return self
                .context
                .gateways
                .get(&forward.database)
                .execute(forward)
                .await;
        }
        let gateway_left =
            || RequestError::not_run(ErrorCode::NoUpstream, "the gateway left the fleet");
        let membership = &self.context.membership;
        let address = if checked.transaction_gateway.is_some() {
            // A gateway that has left the fleet still finishes its open transactions.
            membership.last_known_address(gateway)
        } else {
            membership.address(gateway)
        };
        let address = address.ok_or_else(|| self.gateway_lost_error(checked, gateway_left()))?;
        record.add(
            self.elapsed_since(start),
            "gateway",
            format!("sent to {gateway}"),
        );
        self.context.metrics.forwarded.inc();
        let request = PeerRequest::Forward(forward);
        match self.context.peers.call(address, request, remaining).await {
            Ok(PeerReply::Forwarded(result)) => result,
            Ok(_) => Err(RequestError::unknown(
                ErrorCode::Internal,
                "unexpected reply of a peer",
            )),
            Err(PeerError::NotSent | PeerError::Expired | PeerError::Encode(_)) => {
                Err(self.gateway_lost_error(checked, gateway_left()))
            }
            Err(PeerError::NoReply) => {
                let message = "the gateway was lost while it ran the request";
                Err(RequestError::unknown(ErrorCode::OutcomeUnknown, message))
            }
        }
    }

    /// Returns the error for a request whose gateway cannot be reached.
    ///
    /// An open transaction ends with its gateway, and the upstream rolls it back. The request may
    /// repeat a COMMIT that the gateway executed, so its outcome is unknown.
    fn gateway_lost_error(&self, checked: &CheckedRequest, error: RequestError) -> RequestError {
        if checked.transaction_gateway.is_some() {
            let message = "the instance that held the transaction is gone; it was rolled back \
                           unless it was committed";
            return RequestError::unknown(ErrorCode::TransactionLost, message);
        }
        error
    }

    fn elapsed_since(&self, start: MonotonicTime) -> Duration {
        self.context.clock.now().since(start)
    }

    fn record_result(
        &self,
        class: &ClassName,
        result: &Result<EntrySuccess, RequestError>,
        elapsed: Duration,
        record: &mut DecisionRecord,
    ) {
        let code = match result {
            Ok(success) => {
                self.context.metrics.count_served_by(&success.served_by);
                record.add(
                    elapsed,
                    "caller",
                    format!("served by {}", success.served_by),
                );
                "OK"
            }
            Err(error) => {
                record.add(elapsed, "caller", format!("failed: {error}"));
                error.code.as_str()
            }
        };
        let labels = RequestLabels::new(class, code);
        self.context.metrics.count_request(&labels, elapsed);
    }
}

fn generated_id() -> String {
    format!("auto-{:032x}", rand::random::<u128>())
}

fn parse_body(
    request: &CallerRequest,
    max_statements: usize,
) -> Result<PipelineReqBody, RequestError> {
    let invalid = |error: serde_json::Error| {
        let message = bounded_text(&error.to_string(), MAX_ERROR_BYTES);
        RequestError::not_run(ErrorCode::BadRequest, message)
    };
    let count = count_statements(&request.body).map_err(invalid)?;
    if count > max_statements {
        let message =
            format!("request has {count} statements; at most {max_statements} are allowed");
        return Err(RequestError::not_run(ErrorCode::BadRequest, message));
    }
    match request.endpoint {
        CallerEndpoint::Cursor => cursor_to_pipeline(&request.body),
        CallerEndpoint::Pipeline => serde_json::from_slice(&request.body).map_err(invalid),
    }
}

/// Returns whether a body may continue a transaction; reads only its baton.
fn has_baton(body: &[u8]) -> bool {
    serde_json::from_slice::<BatonOnly>(body).is_ok_and(|body| body.baton.is_some())
}

#[derive(serde::Deserialize)]
struct BatonOnly {
    baton: Option<String>,
}

fn invalid_session(error: &dyn std::fmt::Display) -> RequestError {
    RequestError::not_run(ErrorCode::BadSession, error.to_string())
}

/// Returns whether the gateway itself failed, so that another one may be tried.
fn is_gateway_failure(error: &RequestError) -> bool {
    let is_outcome_unknown = error.code == ErrorCode::OutcomeUnknown;
    let is_refused = matches!(
        error.code,
        ErrorCode::NoUpstream
            | ErrorCode::TermChanged
            | ErrorCode::Draining
            | ErrorCode::ConfigStale
    );
    is_outcome_unknown || is_refused
}

fn with_outcome(mut error: RequestError, may_have_run: bool) -> RequestError {
    if may_have_run && error.outcome == RequestOutcome::NotRun {
        error.outcome = RequestOutcome::Unknown;
        error.code = ErrorCode::OutcomeUnknown;
    }
    error
}
