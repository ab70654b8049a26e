//! The interface for callers: Hrana over HTTP.

mod caller_request;
mod cursor_body;
mod error_response;
mod routes;

pub use caller_request::{CallerEndpoint, CallerRequest};
pub use cursor_body::{cursor_lines, cursor_to_pipeline};
pub use error_response::error_response;
pub use routes::caller_routes;
