//! Sends requests with retries.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use ntex::http::Method;
use serde_json::{Value, json};
use tokio::time::sleep;

use super::driver_settings::DriverSettings;
use super::instance_balancer::InstanceBalancer;
use super::token_bucket::TokenBucket;
use crate::precise_sleep::precise_sleep;
use crate::process::{HttpClient, HttpReply, ProcessError};

const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
const RATE_LIMITED: &str = "RATE_LIMITED";
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// A request of one account.
#[derive(Clone, Debug, Default)]
pub struct CallSpec {
    /// Index of the account in the deployment.
    pub account: usize,
    /// Name of the class.
    pub class: String,
    /// Name of the database.
    pub database: String,
    /// Session token.
    pub token: Option<String>,
    /// Idempotency key; only requests with one are retried after an unknown outcome.
    pub request_id: Option<String>,
    /// Whether the request continues an open transaction.
    ///
    /// Such a request is retried after `RATE_LIMITED`, because the open transaction keeps its
    /// locks until it ends.
    pub in_transaction: bool,
    /// Body of the pipeline.
    pub body: Value,
}

/// Member that served a request, from the header `x-served-by`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServedBy {
    /// Identifier of the member.
    pub member: String,
    /// Whether the member was a replica.
    pub is_replica: bool,
    /// Age of the data as reported by the proxy, in milliseconds.
    pub age_ms: Option<u64>,
}

impl ServedBy {
    /// Parses `MEMBER;role=replica|primary[;age_ms=N]`.
    fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split(';');
        let member = parts.next()?.to_owned();
        let fields: BTreeMap<_, _> = parts.filter_map(|part| part.split_once('=')).collect();
        Some(Self {
            member,
            is_replica: *fields.get("role")? == "replica",
            age_ms: fields.get("age_ms").and_then(|age| age.parse().ok()),
        })
    }
}

/// A successful response.
#[derive(Debug)]
pub struct CallReply {
    /// Results of the pipeline.
    pub results: Vec<Value>,
    /// Baton of the stream.
    pub baton: Option<String>,
    /// New session token.
    pub token: Option<String>,
    /// Member that served the request.
    pub served_by: Option<ServedBy>,
}

/// Outcome of a failed request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureKind {
    /// No attempt was executed.
    NotRun,
    /// An attempt may have been executed.
    Unknown,
}

/// A failed request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallFailure {
    /// Code of the last error.
    pub code: String,
    /// Outcome of the request.
    pub kind: FailureKind,
    retry_after: Option<Duration>,
    is_final: bool,
}

/// Attempts that were refused, by code and by whether they were within the account's rate.
pub type RefusalCounts = BTreeMap<(String, bool), u64>;

/// Sends requests of all accounts.
pub struct RequestSender {
    /// Refused attempts.
    pub refusals: RefCell<RefusalCounts>,
    /// Attempts by whether they were within the account's rate.
    pub attempts: RefCell<BTreeMap<bool, u64>>,
    settings: DriverSettings,
    balancer: Rc<InstanceBalancer>,
    http_client: HttpClient,
    buckets: RefCell<Vec<TokenBucket>>,
    keys: Vec<String>,
    start: Instant,
}

impl RequestSender {
    /// Creates a sender that measures times from `start`.
    pub async fn create(
        settings: DriverSettings,
        balancer: Rc<InstanceBalancer>,
        start: Instant,
    ) -> Self {
        let accounts = &settings.deployment.accounts;
        let buckets = accounts
            .iter()
            .map(|account| TokenBucket::new(account.rate, account.burst));
        let keys = accounts
            .iter()
            .map(|account| settings.account_key(account.name));
        let timeout = Duration::from_millis(settings.attempt_limit_ms);
        Self {
            refusals: RefCell::default(),
            attempts: RefCell::default(),
            buckets: RefCell::new(buckets.collect()),
            keys: keys.collect(),
            http_client: HttpClient::create(timeout).await,
            balancer,
            start,
            settings,
        }
    }

    /// Sends a request and retries it while a retry is safe and the timeout has not passed.
    ///
    /// Also returns whether the first attempt was within the account's rate.
    pub async fn send(&self, call: &CallSpec) -> (Result<CallReply, CallFailure>, bool) {
        let deadline = Instant::now() + Duration::from_millis(self.settings.request_limit_ms);
        let mut backoff = INITIAL_BACKOFF;
        let mut may_have_run = false;
        let mut first_attempt = None;
        loop {
            let within_rate =
                self.buckets.borrow_mut()[call.account].take_token(self.start.elapsed());
            let first_within_rate = *first_attempt.get_or_insert(within_rate);
            *self.attempts.borrow_mut().entry(within_rate).or_default() += 1;
            let mut failure = match self.attempt(call).await {
                Ok(reply) => return (Ok(reply), first_within_rate),
                Err(failure) => failure,
            };
            failure.is_final &= !(call.in_transaction && failure.code == RATE_LIMITED);
            if failure.kind == FailureKind::NotRun {
                let key = (failure.code.clone(), within_rate);
                *self.refusals.borrow_mut().entry(key).or_default() += 1;
            } else {
                may_have_run = true;
            }
            log::debug!(
                "driver: request {:?} of {} in transaction={}: {} {:?}",
                call.request_id,
                call.database,
                call.in_transaction,
                failure.code,
                failure.kind
            );
            let delay = failure.retry_after.unwrap_or(backoff);
            let is_safe = !may_have_run || call.request_id.is_some();
            if failure.is_final || !is_safe || Instant::now() + delay >= deadline {
                if may_have_run {
                    failure.kind = FailureKind::Unknown;
                }
                return (Err(failure), first_within_rate);
            }
            sleep(delay).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    async fn attempt(&self, call: &CallSpec) -> Result<CallReply, CallFailure> {
        let address = self.balancer.choose();
        let url = format!("http://{address}/v3/pipeline");
        let key = format!("Bearer {}", self.keys[call.account]);
        let mut headers = vec![
            ("authorization", key.as_str()),
            ("content-type", "application/json"),
            ("x-namespace", &call.database),
            ("x-corianderstile-class", &call.class),
        ];
        headers.extend(
            call.token
                .as_ref()
                .map(|t| ("x-corianderstile-session", t.as_str())),
        );
        headers.extend(
            call.request_id
                .as_ref()
                .map(|id| ("x-request-id", id.as_str())),
        );
        let body = call.body.to_string().into_bytes();
        let delay = self.settings.deployment.client_delay;
        precise_sleep(delay).await;
        let result = self
            .http_client
            .send(Method::POST, &url, &headers, body)
            .await;
        precise_sleep(delay).await;
        if let Err(error) = &result {
            log::debug!(
                "driver: request {:?} of {}: {error}",
                call.request_id,
                call.database
            );
        }
        parse_reply(result)
    }
}

fn failure(code: &str, kind: FailureKind) -> CallFailure {
    CallFailure {
        code: code.to_owned(),
        kind,
        retry_after: None,
        is_final: false,
    }
}

fn parse_reply(result: Result<HttpReply, ProcessError>) -> Result<CallReply, CallFailure> {
    let reply = match result {
        Ok(reply) => reply,
        Err(ProcessError::NotSent(_)) => {
            return Err(failure("CONNECTION_REFUSED", FailureKind::NotRun));
        }
        Err(_) => return Err(failure("NO_RESPONSE", FailureKind::Unknown)),
    };
    let body: Value = reply.json().unwrap_or_default();
    if reply.status != 200 {
        return Err(parse_error(&reply, &body));
    }
    let served_by = reply.header("x-served-by").and_then(ServedBy::parse);
    let token = reply.header("x-corianderstile-session").map(str::to_owned);
    Ok(CallReply {
        results: body["results"].as_array().cloned().unwrap_or_default(),
        baton: body["baton"].as_str().map(str::to_owned),
        token,
        served_by,
    })
}

fn parse_error(reply: &HttpReply, body: &Value) -> CallFailure {
    let code = body["code"].as_str().unwrap_or("NO_CODE");
    let kind = match body["outcome"].as_str() {
        Some("not_run") => FailureKind::NotRun,
        _ => FailureKind::Unknown,
    };
    let mut failure = failure(code, kind);
    failure.retry_after = body["retry_after_ms"].as_u64().map(Duration::from_millis);
    // Retries of these errors cannot succeed, and retries of rate-limited requests would raise the
    // rate.
    let is_permanent = matches!(
        code,
        RATE_LIMITED
            | "UNAUTHORIZED"
            | "NOT_FOUND"
            | "BAD_REQUEST"
            | "BAD_BATON"
            | "BAD_SESSION"
            | "REQUEST_ID_REUSED"
            | "TRANSACTION_LOST"
    );
    failure.is_final = is_permanent || reply.status == 404;
    failure
}

/// Returns the code of the first statement that failed.
pub fn statement_failure(reply: &CallReply) -> Option<String> {
    let mut failed = reply
        .results
        .iter()
        .filter(|result| result["type"] == "error");
    let code = failed.next()?["error"]["code"].as_str();
    Some(code.unwrap_or("STATEMENT_ERROR").to_owned())
}

/// Returns the first value of the first row of the first statement.
pub fn first_value(reply: &CallReply) -> Option<&Value> {
    let rows = &reply.results.first()?["response"]["result"]["rows"];
    Some(&rows.get(0)?.get(0)?["value"])
}

/// Returns a request that executes a statement.
pub fn execute(sql: &str, args: &[Value]) -> Value {
    json!({"type": "execute", "stmt": {"sql": sql, "args": args}})
}

/// Returns an integer argument.
pub fn integer(value: u64) -> Value {
    json!({"type": "integer", "value": value.to_string()})
}

/// Returns a text argument.
pub fn text(value: &str) -> Value {
    json!({"type": "text", "value": value})
}
