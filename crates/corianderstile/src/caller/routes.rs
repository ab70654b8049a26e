//! HTTP routes for callers.

use std::rc::Rc;

use coriander_core::{ErrorCode, RequestError};
use ntex::util::BytesMut;
use ntex::web::types::{Path, Payload, State};
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig};

use super::caller_request::{
    CallerEndpoint, CallerRequest, REQUEST_ID_HEADER, SERVED_BY_HEADER, SESSION_HEADER,
};
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
    let result = async {
        let body = read_body(body, entry.body_limit()).await?;
        let request = CallerRequest::from_headers(endpoint, database, request.headers(), body)?;
        Ok(request)
    }
    .await;
    let request = match result {
        Ok(request) => request,
        Err(error) => return error_response(&error, ""),
    };
    // The request runs in its own task, so that a caller that disconnects does not cancel it.
    let task = ntex::rt::spawn(EntryService::serve(entry.clone(), request));
    match task.await {
        Ok(response) => entry_response(endpoint, response),
        Err(_) => {
            let error = RequestError::unknown(ErrorCode::Internal, "request task failed");
            error_response(&error, "")
        }
    }
}

fn entry_response(endpoint: CallerEndpoint, response: EntryResponse) -> HttpResponse {
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
    response.body(body)
}

async fn read_body(mut payload: Payload, limit: usize) -> Result<Vec<u8>, RequestError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = ntex::util::stream_recv(&mut payload).await {
        let chunk = chunk.map_err(|error| {
            RequestError::not_run(ErrorCode::BadRequest, format!("body not received: {error}"))
        })?;
        if body.len() + chunk.len() > limit {
            let message = format!("body is longer than {limit} bytes");
            return Err(RequestError::not_run(ErrorCode::BadRequest, message));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.to_vec())
}
