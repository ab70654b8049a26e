//! HTTP routes for callers.

use std::rc::Rc;
use std::sync::Arc;

use coriander_core::{ErrorCode, RequestError};
use ntex::http::ConnectionType;
use ntex::http::body::Body;
use ntex::web::types::{Path, Payload, State};
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig};
use platform_adapter::{ConnectionGuard, MemoryGate};

use super::body_reader::{BodyReader, FREE_BYTES, ReceivedBody};
use super::caller_connections::ConnectionUse;
use super::caller_request::{
    CallerEndpoint, CallerRequest, REQUEST_ID_HEADER, SERVED_BY_HEADER, SESSION_HEADER,
};
use super::held_body::HeldBody;
use super::{cursor_lines, error_response};
use crate::entry::{EntryResponse, EntryService};

type SharedEntry = State<Rc<EntryService>>;

/// Registers the routes for callers.
pub fn caller_routes(config: &mut ServiceConfig) {
    config
        .route("/health", web::get().to(health))
        .route("/ready", web::get().to(ready))
        .route("/version", web::get().to(version));
    for path in ["/v2/pipeline", "/v3/pipeline"] {
        config.route(path, web::post().to(pipeline));
    }
    config.route("/v3/cursor", web::post().to(cursor));
    for path in ["/{database}/v2/pipeline", "/{database}/v3/pipeline"] {
        config.route(path, web::post().to(database_pipeline));
    }
    config.route("/{database}/v3/cursor", web::post().to(database_cursor));
    // Clients request these paths to detect the supported protocol versions.
    config
        .route("/v2", web::get().to(health))
        .route("/v3", web::get().to(health));
}

async fn health() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

async fn ready(entry: SharedEntry) -> HttpResponse {
    match entry.readiness() {
        Ok(()) => HttpResponse::Ok().body("ready\n"),
        Err(reason) => HttpResponse::ServiceUnavailable().body(format!("not ready: {reason}\n")),
    }
}

async fn version() -> HttpResponse {
    HttpResponse::Ok().body(concat!(env!("CARGO_PKG_VERSION"), "\n"))
}

async fn pipeline(request: HttpRequest, body: Payload, entry: SharedEntry) -> HttpResponse {
    respond(CallerEndpoint::Pipeline, None, &request, body, &entry).await
}

async fn cursor(request: HttpRequest, body: Payload, entry: SharedEntry) -> HttpResponse {
    respond(CallerEndpoint::Cursor, None, &request, body, &entry).await
}

async fn database_pipeline(
    request: HttpRequest,
    database: Path<String>,
    body: Payload,
    entry: SharedEntry,
) -> HttpResponse {
    respond(
        CallerEndpoint::Pipeline,
        Some(database.as_str()),
        &request,
        body,
        &entry,
    )
    .await
}

async fn database_cursor(
    request: HttpRequest,
    database: Path<String>,
    body: Payload,
    entry: SharedEntry,
) -> HttpResponse {
    respond(
        CallerEndpoint::Cursor,
        Some(database.as_str()),
        &request,
        body,
        &entry,
    )
    .await
}

async fn respond(
    endpoint: CallerEndpoint,
    database: Option<&str>,
    request: &HttpRequest,
    body: Payload,
    entry: &Rc<EntryService>,
) -> HttpResponse {
    let Some(guard) = entry.connections().find(request) else {
        // The connection has been told to close.
        let error = RequestError::not_run(ErrorCode::Overloaded, "the connection is closed");
        let mut response = error_response(&error, "");
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
        return response;
    };
    let connection = ConnectionUse::begin(guard);
    let gate = entry.connections().gate();
    let reader = BodyReader::new(body, gate.clone(), entry.body_limit());
    let checked = CallerRequest::from_headers(endpoint, database, request.headers(), Vec::new());
    let mut request = match checked {
        Ok(request) => request,
        Err(error) => {
            reader.discard().await;
            return error_response(&error, "");
        }
    };
    let received = match identify(entry, connection.guard(), &request.key) {
        Ok(()) => reader.read().await,
        Err(error) => {
            reader.discard().await;
            Err(error)
        }
    };
    let ReceivedBody { bytes, permit } = match received {
        Ok(received) => received,
        Err(error) => {
            let refused = entry.refuse(request, error);
            return entry_response(endpoint, refused, gate, connection);
        }
    };
    request.body = bytes;
    let service = entry.clone();
    // The request runs in its own task, so that a caller that disconnects does not cancel it.
    let task = ntex::rt::spawn(async move {
        if let Some(permit) = &permit {
            permit.set_busy(true);
        }
        service.serve(request).await
    });
    match task.await {
        Ok(response) => entry_response(endpoint, response, gate, connection),
        Err(_) => {
            let error = RequestError::unknown(ErrorCode::Internal, "request task failed");
            error_response(&error, "")
        }
    }
}

/// Counts a connection for the account of its first request.
fn identify(entry: &EntryService, guard: &ConnectionGuard, key: &str) -> Result<(), RequestError> {
    let account = entry.find_account(key)?;
    if guard.is_identified() || guard.identify(&Arc::from(account.as_str())) {
        return Ok(());
    }
    let message = "the account has too many connections";
    Err(RequestError::not_run(ErrorCode::Overloaded, message))
}

fn entry_response(
    endpoint: CallerEndpoint,
    response: EntryResponse,
    gate: &Rc<MemoryGate>,
    connection: ConnectionUse,
) -> HttpResponse {
    let EntryResponse { request_id, result } = response;
    let success = match result {
        Ok(success) => success,
        Err(error) => return error_response(&error, &request_id),
    };
    let body = match endpoint {
        CallerEndpoint::Pipeline => success.body,
        CallerEndpoint::Cursor => match cursor_lines(&success.body) {
            Ok(lines) => lines,
            Err(error) => {
                let error = RequestError::run(ErrorCode::Internal, error.to_string());
                return error_response(&error, &request_id);
            }
        },
    };
    let mut response = HttpResponse::Ok();
    response.content_type("application/json");
    response.set_header(REQUEST_ID_HEADER, request_id);
    response.set_header(SESSION_HEADER, success.session);
    response.set_header(SERVED_BY_HEADER, success.served_by.to_string());
    if body.len() <= FREE_BYTES {
        return response.body(body);
    }
    let held = HeldBody::start(body, success.memory, gate, connection);
    response.body(Body::from_message(held))
}
