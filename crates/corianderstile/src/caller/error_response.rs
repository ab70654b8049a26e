//! Error responses of the caller protocol.

use coriander_core::RequestError;
use ntex::http::StatusCode;
use ntex::web::HttpResponse;
use serde::Serialize;

#[derive(Serialize)]
struct ErrorBody<'a> {
    message: &'a str,
    code: &'a str,
    outcome: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    request_id: &'a str,
}

/// Builds the response for a failed request.
pub fn error_response(error: &RequestError, request_id: &str) -> HttpResponse {
    let status = StatusCode::from_u16(error.code.http_status());
    let mut response = HttpResponse::build(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    response.set_header("x-outcome", error.outcome.to_string());
    response.set_header(super::caller_request::REQUEST_ID_HEADER, request_id);
    if let Some(delay) = error.retry_after {
        // The header counts whole seconds; the body has the exact delay.
        response.set_header("retry-after", delay.as_secs().max(1).to_string());
    }
    response.json(&ErrorBody {
        message: &error.message,
        code: error.code.as_str(),
        outcome: error.outcome.to_string(),
        retry_after_ms: error
            .retry_after
            .map(|delay| u64::try_from(delay.as_millis()).unwrap_or(u64::MAX)),
        request_id,
    })
}
