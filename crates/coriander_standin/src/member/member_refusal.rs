//! Refusals of requests before execution.

use coriander_core::{LogPosition, TermNumber};
use ntex::http::StatusCode;
use ntex::web::HttpResponse;
use serde_json::json;

/// Refusal of a request of which no part was executed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberRefusal {
    status: u16,
    code: &'static str,
    message: String,
}

impl MemberRefusal {
    /// Creates a refusal due to the state of the member (HTTP 409).
    pub fn conflict(code: &'static str, message: impl Into<String>) -> Self {
        Self::with_status(409, code, message)
    }

    /// Creates a refusal due to a reached limit (HTTP 503).
    pub fn overload(code: &'static str, message: impl Into<String>) -> Self {
        Self::with_status(503, code, message)
    }

    /// Creates a refusal of a malformed request (HTTP 400).
    pub fn malformed(message: impl Into<String>) -> Self {
        Self::with_status(400, "BAD_REQUEST", message)
    }

    /// Converts the refusal to a response with the term and log position of the member.
    pub fn to_response(&self, term: TermNumber, position: LogPosition) -> HttpResponse {
        let status = StatusCode::from_u16(self.status).expect("valid status");
        let mut response = HttpResponse::build(status);
        response.header("x-outcome", "not_run");
        response.header("x-group-term", term.to_string());
        response.header("x-log-position", position.to_string());
        response.json(&json!({
            "code": self.code,
            "message": self.message,
            "outcome": "not_run",
        }))
    }

    fn with_status(status: u16, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
        }
    }
}
