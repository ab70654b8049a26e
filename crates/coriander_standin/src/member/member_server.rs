//! HTTP server of a stand-in member.

use std::rc::Rc;
use std::time::Duration;

use ntex::client::Client;
use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web::types::{PayloadConfig, State};
use ntex::web::{self, App, HttpRequest, HttpResponse, HttpServer};
use serde::de::DeserializeOwned;
use serde_json::json;
use tokio::time::sleep;

use super::fault_controls::{CutMode, FaultUpdate};
use super::group_service;
use super::group_state::ControlRequest;
use super::hrana_service::{StatementHeaders, serve_cursor, serve_pipeline};
use super::member_node::MemberNode;
use super::member_refusal::MemberRefusal;
use super::member_settings::MemberSettings;
use super::replication::start_replication;
use super::request_record::ReceivedRequest;
use crate::precise_sleep::precise_sleep;

const MAX_BODY_BYTES: usize = 16 << 20;
const IGNORED_REQUEST_DELAY: Duration = Duration::from_secs(60);
const EXPIRE_INTERVAL: Duration = Duration::from_millis(250);

/// Runs a member until the process is stopped.
pub async fn run_member(settings: MemberSettings) -> eyre::Result<()> {
    let listen = settings.listen;
    log::info!("member: {} is listening on {listen}", settings.member);
    HttpServer::new(async move || {
        let node = start_node(settings.clone()).await.expect("member starts");
        App::new()
            .state(node)
            .state(PayloadConfig::new(MAX_BODY_BYTES))
            .default_service(web::to(handle))
    })
    .workers(1)
    .bind(listen)?
    .run()
    .await?;
    Ok(())
}

async fn start_node(settings: MemberSettings) -> eyre::Result<Rc<MemberNode>> {
    let client = Client::builder().build(ntex::SharedCfg::default()).await;
    let node = MemberNode::create(settings, client.map_err(|error| eyre::eyre!("{error:?}"))?)?;
    start_replication(&node);
    ntex::rt::spawn(expire_streams(node.clone()));
    Ok(node)
}

async fn expire_streams(node: Rc<MemberNode>) {
    let stream_idle = Duration::from_millis(node.settings.stream_idle_ms);
    let transaction_idle = Duration::from_millis(node.settings.transaction_idle_ms);
    loop {
        sleep(EXPIRE_INTERVAL).await;
        node.streams
            .borrow_mut()
            .expire(stream_idle, transaction_idle);
    }
}

async fn handle(node: State<Rc<MemberNode>>, request: HttpRequest, body: Bytes) -> HttpResponse {
    let node: Rc<MemberNode> = (*node).clone();
    if request.path().starts_with("/debug/") {
        return serve_debug(&node, &request, &body);
    }
    let received = ReceivedRequest::from_http(&request, &body);
    node.request_record.borrow_mut().add(received);
    if let Some(mode) = find_cut_mode(&node, &request, &body) {
        return cut_request(&request, mode).await;
    }
    let delay = node.settings.network_delay();
    precise_sleep(delay).await;
    let is_statement = !request.path().starts_with("/group/");
    let response = serve(&node, &request, body.clone()).await;
    let response = response.unwrap_or_else(|refusal| refuse(&node, &refusal));
    // A peer that was disconnected while its request waited gets no response.
    if let Some(mode) = find_cut_mode(&node, &request, &body) {
        return cut_request(&request, mode).await;
    }
    let late = node.faults.borrow_mut().take_late_delay();
    if let Some(late) = late {
        sleep(late).await;
    }
    if is_statement && node.faults.borrow_mut().take_dropped_response() {
        return close_connection(&request);
    }
    precise_sleep(delay).await;
    response
}

fn refuse(node: &MemberNode, refusal: &MemberRefusal) -> HttpResponse {
    let term = node.group.borrow().term;
    refusal.to_response(term, node.position())
}

/// Closes the connection; the returned response is never sent.
fn close_connection(request: &HttpRequest) -> HttpResponse {
    if let Some(io) = request.io() {
        io.terminate();
    }
    HttpResponse::new(StatusCode::SERVICE_UNAVAILABLE)
}

async fn cut_request(request: &HttpRequest, mode: CutMode) -> HttpResponse {
    if mode == CutMode::Ignore {
        sleep(IGNORED_REQUEST_DELAY).await;
    }
    close_connection(request)
}

/// Returns how a request fails if its peer is disconnected.
fn find_cut_mode(node: &MemberNode, request: &HttpRequest, body: &Bytes) -> Option<CutMode> {
    let faults = node.faults.borrow();
    if faults.cut_peers.is_empty() {
        return None;
    }
    let is_statement = !request.path().starts_with("/group/");
    if is_statement && !faults.cut_statements {
        return None;
    }
    let header = |name: &str| {
        request
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    let control: Option<ControlRequest> = serde_json::from_slice(body).ok();
    let proposer = control.map(|control| control.proposer);
    let mut names: Vec<&str> = Vec::new();
    names.extend(header("x-member"));
    names.extend(header("x-instance"));
    names.extend(proposer.as_deref());
    let is_member = header("x-member").is_some();
    names.push(if is_member { "members" } else { "instances" });
    faults.is_cut(&names).then_some(faults.cut_mode)
}

fn parse_query<T: DeserializeOwned>(request: &HttpRequest) -> Result<T, MemberRefusal> {
    web::types::Query::<T>::from_query(request.query_string())
        .map(web::types::Query::into_inner)
        .map_err(|error| MemberRefusal::malformed(error.to_string()))
}

async fn serve(
    node: &Rc<MemberNode>,
    request: &HttpRequest,
    body: Bytes,
) -> Result<HttpResponse, MemberRefusal> {
    match (request.method().as_str(), request.path()) {
        ("GET", "/v2" | "/v3") => Ok(HttpResponse::Ok().finish()),
        ("POST", "/v2/pipeline" | "/v3/pipeline") => {
            let headers = StatementHeaders::parse(request)?;
            // A separate task completes the request even if its connection is closed earlier.
            let task = ntex::rt::spawn(serve_pipeline(node.clone(), headers, body));
            task.await.expect("pipeline task")
        }
        ("POST", "/v3/cursor") => {
            let headers = StatementHeaders::parse(request)?;
            let task = ntex::rt::spawn(serve_cursor(node.clone(), headers, body));
            task.await.expect("cursor task")
        }
        ("GET", "/group/status") => Ok(group_service::serve_status(node)),
        ("POST", "/group/fence" | "/group/promote" | "/group/follow") => {
            let control = serde_json::from_slice(&body)
                .map_err(|error| MemberRefusal::malformed(error.to_string()))?;
            let action = &request.path()["/group/".len()..];
            Ok(group_service::serve_control(node, action, &control))
        }
        ("GET", "/group/confirm") => {
            Ok(group_service::serve_confirm(node, parse_query(request)?).await)
        }
        ("GET", "/group/entries") => {
            group_service::serve_entries(node, parse_query(request)?).await
        }
        ("GET", "/group/runs") => group_service::serve_runs(node, &parse_query(request)?),
        _ => Ok(HttpResponse::NotFound().finish()),
    }
}

fn serve_debug(node: &MemberNode, request: &HttpRequest, body: &Bytes) -> HttpResponse {
    match (request.method().as_str(), request.path()) {
        ("GET", "/debug/received") => {
            let record = node.request_record.borrow();
            HttpResponse::Ok().json(&record.requests().collect::<Vec<_>>())
        }
        ("GET", "/debug/faults") => HttpResponse::Ok().json(&*node.faults.borrow()),
        ("POST", "/debug/faults") => match serde_json::from_slice::<FaultUpdate>(body) {
            Ok(update) => {
                node.faults.borrow_mut().apply(update);
                node.notify();
                HttpResponse::Ok().json(&*node.faults.borrow())
            }
            Err(error) => refuse(node, &MemberRefusal::malformed(error.to_string())),
        },
        ("GET", "/debug/log") => HttpResponse::Ok().json(&node.group.borrow().log.entries()),
        ("GET", "/debug/streams") => {
            let streams = node.streams.borrow();
            HttpResponse::Ok().json(&json!({"open": streams.len(), "greatest": streams.max_open()}))
        }
        _ => HttpResponse::NotFound().finish(),
    }
}
