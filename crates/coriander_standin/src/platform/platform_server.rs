//! HTTP server of the stand-in platform.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web::types::{PayloadConfig, State};
use ntex::web::{self, App, HttpRequest, HttpResponse, HttpServer};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::call_limits::{CallCounters, CallKind, CallLimits};
use super::duration_text::parse_duration;
use super::key_store::{KeyStore, PutCondition, SessionOptions, StoredKey};
use super::platform_faults::PlatformFaults;
use super::platform_settings::PlatformSettings;
use super::service_catalog::ServiceCatalog;

const MAX_BODY_BYTES: usize = 16 << 20;
const DEFAULT_WAIT: Duration = Duration::from_secs(300);
const MAX_TIMER_INTERVAL: Duration = Duration::from_millis(20);
const DEFAULT_LOCK_DELAY: Duration = Duration::from_secs(15);

struct PlatformNode {
    settings: PlatformSettings,
    keys: RefCell<KeyStore>,
    catalog: RefCell<ServiceCatalog>,
    limits: RefCell<CallLimits>,
    counters: RefCell<CallCounters>,
    faults: RefCell<PlatformFaults>,
    change_sender: watch::Sender<u64>,
}

/// Query parameters of all calls.
#[derive(Default, Deserialize)]
struct CallQuery {
    cas: Option<u64>,
    acquire: Option<String>,
    release: Option<String>,
    index: Option<u64>,
    wait: Option<String>,
    recurse: Option<String>,
    raw: Option<String>,
    passing: Option<String>,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct SessionBody {
    #[serde(rename = "TTL")]
    ttl: String,
    behavior: String,
    lock_delay: String,
}

/// Runs the platform until the process is stopped.
pub async fn run_platform(settings: PlatformSettings) -> eyre::Result<()> {
    let listen = settings.listen;
    log::info!("platform: listening on {listen}");
    HttpServer::new(async move || {
        App::new()
            .state(start_node(settings.clone()))
            .state(PayloadConfig::new(MAX_BODY_BYTES))
            .default_service(web::to(handle))
    })
    .workers(1)
    .bind(listen)?
    .run()
    .await?;
    Ok(())
}

fn start_node(settings: PlatformSettings) -> Rc<PlatformNode> {
    let (reads, writes) = (settings.reads_per_second, settings.writes_per_second);
    let faults = PlatformFaults {
        list_lag_ms: settings.list_lag_ms,
        ..PlatformFaults::default()
    };
    let node = Rc::new(PlatformNode {
        settings,
        keys: RefCell::default(),
        catalog: RefCell::default(),
        limits: RefCell::new(CallLimits::new(reads, writes, Instant::now())),
        counters: RefCell::default(),
        faults: RefCell::new(faults),
        change_sender: watch::Sender::new(0),
    });
    ntex::rt::spawn(run_timers(node.clone()));
    node
}

/// Ends expired sessions and applies catalog changes whose lag has elapsed.
async fn run_timers(node: Rc<PlatformNode>) {
    loop {
        let next = node.catalog.borrow().time_to_next_change(Instant::now());
        sleep(next.map_or(MAX_TIMER_INTERVAL, |next| {
            next.clamp(Duration::from_millis(1), MAX_TIMER_INTERVAL)
        }))
        .await;
        let now = Instant::now();
        let has_expired = node.keys.borrow_mut().expire_sessions(now);
        let is_list_changed = node.catalog.borrow_mut().apply_due(now);
        if has_expired || is_list_changed {
            node.notify();
        }
    }
}

impl PlatformNode {
    fn notify(&self) {
        self.change_sender.send_modify(|version| *version += 1);
    }

    /// Waits until the index exceeds the one in the query, the wait ends or the platform goes down.
    async fn wait_for_change(&self, query: &CallQuery, current: impl Fn(&Self) -> u64) {
        let Some(index) = query.index.filter(|index| *index > 0) else {
            return;
        };
        let wait = query.wait.as_deref().and_then(parse_duration);
        let mut changes = self.change_sender.subscribe();
        self.counters.borrow_mut().watches += 1;
        let waiting = async {
            while current(self) <= index && !self.faults.borrow().down {
                let _ = changes.changed().await;
            }
        };
        let guard = WatchGuard::new(self);
        let _ = timeout(wait.unwrap_or(DEFAULT_WAIT), waiting).await;
        drop(guard);
    }
}

/// Counts a waiting watch until it is dropped, which also happens if its connection is closed.
struct WatchGuard<'a>(&'a PlatformNode);

impl<'a> WatchGuard<'a> {
    fn new(node: &'a PlatformNode) -> Self {
        node.counters.borrow_mut().waiting_watches += 1;
        Self(node)
    }
}

impl Drop for WatchGuard<'_> {
    fn drop(&mut self) {
        self.0.counters.borrow_mut().waiting_watches -= 1;
    }
}

async fn handle(node: State<Rc<PlatformNode>>, request: HttpRequest, body: Bytes) -> HttpResponse {
    let node: Rc<PlatformNode> = (*node).clone();
    if request.path().starts_with("/debug/") {
        return serve_debug(&node, &request, &body);
    }
    if node.faults.borrow().down {
        return close_while_down(&node, &request);
    }
    let kind = match request.method().as_str() {
        "GET" => CallKind::Read,
        _ => CallKind::Write,
    };
    let is_accepted = node.limits.borrow_mut().take_token(kind, Instant::now());
    count_call(&node, kind, is_accepted);
    if !is_accepted {
        return text_response(StatusCode::TOO_MANY_REQUESTS, "rate limit exceeded");
    }
    let slow_ms = node.settings.call_time_ms + node.faults.borrow().slow_ms;
    sleep(Duration::from_millis(slow_ms)).await;
    if node.faults.borrow().down {
        return close_while_down(&node, &request);
    }
    let response = serve(&node, &request, &body).await;
    if node.faults.borrow().down {
        return close_while_down(&node, &request);
    }
    let is_written = kind == CallKind::Write && response.status().is_success();
    if is_written && node.faults.borrow_mut().take_lost_response() {
        node.counters.borrow_mut().lost_responses += 1;
        return close_connection(&request);
    }
    response
}

fn count_call(node: &PlatformNode, kind: CallKind, is_accepted: bool) {
    let mut counters = node.counters.borrow_mut();
    let counter = match (kind, is_accepted) {
        (CallKind::Read, true) => &mut counters.reads,
        (CallKind::Read, false) => &mut counters.refused_reads,
        (CallKind::Write, true) => &mut counters.writes,
        (CallKind::Write, false) => &mut counters.refused_writes,
    };
    *counter += 1;
}

fn close_while_down(node: &PlatformNode, request: &HttpRequest) -> HttpResponse {
    node.counters.borrow_mut().while_down += 1;
    close_connection(request)
}

/// Closes the connection; the returned response is never sent.
fn close_connection(request: &HttpRequest) -> HttpResponse {
    if let Some(io) = request.io() {
        io.terminate();
    }
    HttpResponse::new(StatusCode::SERVICE_UNAVAILABLE)
}

fn text_response(status: StatusCode, message: &str) -> HttpResponse {
    HttpResponse::build(status).body(message.to_owned())
}

fn boolean_response(value: bool) -> HttpResponse {
    HttpResponse::Ok().json(&value)
}

async fn serve(node: &Rc<PlatformNode>, request: &HttpRequest, body: &Bytes) -> HttpResponse {
    let query = web::types::Query::<CallQuery>::from_query(request.query_string());
    let Ok(query) = query.map(web::types::Query::into_inner) else {
        return text_response(StatusCode::BAD_REQUEST, "invalid query");
    };
    let path = request.path();
    let method = request.method().as_str();
    if let Some(key) = path.strip_prefix("/v1/kv/") {
        return match method {
            "GET" => get_key(node, key, &query).await,
            "PUT" => put_key(node, key, &query, body),
            "DELETE" => delete_key(node, key, &query),
            _ => text_response(StatusCode::METHOD_NOT_ALLOWED, "method not allowed"),
        };
    }
    if let ("GET", Some(service)) = (method, path.strip_prefix("/v1/health/service/")) {
        return list_service(node, service, &query).await;
    }
    if method != "PUT" {
        return text_response(StatusCode::NOT_FOUND, "not found");
    }
    let now = Instant::now();
    if let Some(id) = path.strip_prefix("/v1/session/renew/") {
        return renew_session(node, id);
    }
    if let Some(id) = path.strip_prefix("/v1/session/destroy/") {
        node.keys.borrow_mut().destroy_session(id, now);
        node.notify();
        return boolean_response(true);
    }
    let due = now + Duration::from_millis(node.faults.borrow().list_lag_ms);
    let result = match path {
        "/v1/session/create" => return create_session(node, body),
        "/v1/catalog/register" => node.catalog.borrow_mut().register(body, due),
        "/v1/catalog/deregister" => node.catalog.borrow_mut().deregister(body, due),
        _ => return text_response(StatusCode::NOT_FOUND, "not found"),
    };
    match result {
        Ok(()) => {
            if node.catalog.borrow_mut().apply_due(Instant::now()) {
                node.notify();
            }
            boolean_response(true)
        }
        Err(error) => text_response(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

fn key_json(key: &str, stored: &StoredKey) -> Value {
    let mut entry = json!({
        "Key": key,
        "Value": (!stored.value.is_empty()).then(|| STANDARD.encode(&stored.value)),
        "Flags": 0,
        "LockIndex": stored.lock_index,
        "CreateIndex": stored.create_index,
        "ModifyIndex": stored.modify_index,
    });
    if let Some(session) = &stored.session {
        entry["Session"] = json!(session);
    }
    entry
}

async fn get_key(node: &PlatformNode, key: &str, query: &CallQuery) -> HttpResponse {
    let is_prefix = query.recurse.is_some();
    let current = |node: &PlatformNode| {
        let keys = node.keys.borrow();
        if is_prefix {
            keys.prefix_index(key)
        } else {
            keys.change_index(key)
        }
    };
    node.wait_for_change(query, current).await;
    let index = current(node);
    let keys = node.keys.borrow();
    let found: Vec<_> = if is_prefix {
        keys.range(key)
            .map(|(key, stored)| key_json(key, stored))
            .collect()
    } else {
        keys.get(key)
            .map(|stored| key_json(key, stored))
            .into_iter()
            .collect()
    };
    let status = if found.is_empty() {
        StatusCode::NOT_FOUND
    } else {
        StatusCode::OK
    };
    let mut response = HttpResponse::build(status);
    response.header("x-consul-index", index.to_string());
    match keys.get(key) {
        Some(stored) if query.raw.is_some() => response.body(stored.value.clone()),
        _ if found.is_empty() => response.finish(),
        _ => response.json(&found),
    }
}

fn put_key(node: &PlatformNode, key: &str, query: &CallQuery, body: &Bytes) -> HttpResponse {
    if body.len() > node.settings.max_value_bytes {
        node.counters.borrow_mut().refused_values += 1;
        return text_response(StatusCode::PAYLOAD_TOO_LARGE, "value is too large");
    }
    let condition = match query {
        CallQuery {
            cas: Some(index), ..
        } => PutCondition::Index(*index),
        CallQuery {
            acquire: Some(id), ..
        } => PutCondition::Acquire(id.clone()),
        CallQuery {
            release: Some(id), ..
        } => PutCondition::Release(id.clone()),
        _ => PutCondition::Always,
    };
    let mut keys = node.keys.borrow_mut();
    let result = keys.put(key, body.to_vec(), &condition, Instant::now());
    drop(keys);
    match result {
        Some(is_written) => {
            node.notify();
            boolean_response(is_written)
        }
        None => text_response(StatusCode::INTERNAL_SERVER_ERROR, "invalid session"),
    }
}

fn delete_key(node: &PlatformNode, key: &str, query: &CallQuery) -> HttpResponse {
    let is_deleted = node.keys.borrow_mut().delete(key, query.cas);
    node.notify();
    boolean_response(is_deleted)
}

async fn list_service(node: &PlatformNode, service: &str, query: &CallQuery) -> HttpResponse {
    let current = |node: &PlatformNode| node.catalog.borrow().change_index(service);
    node.wait_for_change(query, current).await;
    let list = node.catalog.borrow().list(service, query.passing.is_some());
    HttpResponse::Ok()
        .header("x-consul-index", current(node).to_string())
        .json(&list)
}

fn create_session(node: &PlatformNode, body: &Bytes) -> HttpResponse {
    let session: SessionBody = serde_json::from_slice(body).unwrap_or_default();
    let options = SessionOptions {
        ttl: parse_duration(&session.ttl).filter(|ttl| !ttl.is_zero()),
        lock_delay: parse_duration(&session.lock_delay).unwrap_or(DEFAULT_LOCK_DELAY),
        deletes_keys: session.behavior == "delete",
    };
    let mut keys = node.keys.borrow_mut();
    let id = keys.create_session(options, Instant::now());
    HttpResponse::Ok().json(&json!({"ID": id}))
}

fn renew_session(node: &PlatformNode, id: &str) -> HttpResponse {
    match node.keys.borrow_mut().renew_session(id, Instant::now()) {
        Some(options) => {
            let ttl = options.ttl.unwrap_or_default().as_secs_f64();
            HttpResponse::Ok().json(&json!([{"ID": id, "TTL": format!("{ttl}s")}]))
        }
        None => text_response(StatusCode::NOT_FOUND, "session not found"),
    }
}

fn serve_debug(node: &PlatformNode, request: &HttpRequest, body: &Bytes) -> HttpResponse {
    match (request.method().as_str(), request.path()) {
        ("GET", "/debug/counters") => HttpResponse::Ok().json(&*node.counters.borrow()),
        ("GET", "/debug/faults") => HttpResponse::Ok().json(&*node.faults.borrow()),
        ("POST", "/debug/faults") => match serde_json::from_slice(body) {
            Ok(update) => {
                node.faults.borrow_mut().apply(update);
                node.notify();
                HttpResponse::Ok().json(&*node.faults.borrow())
            }
            Err(error) => text_response(StatusCode::BAD_REQUEST, &error.to_string()),
        },
        _ => text_response(StatusCode::NOT_FOUND, "not found"),
    }
}
