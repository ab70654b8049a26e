//! The interface for callers: Hrana over HTTP.

mod answer_budget;
mod body_reader;
mod bounded_text;
mod caller_connections;
mod caller_request;
mod cursor_body;
mod error_response;
mod held_body;
mod routes;
mod statement_count;

pub use answer_budget::AnswerBudget;
pub use body_reader::BODY_COPIES;
pub use bounded_text::{MAX_ERROR_BYTES, bounded_text};
pub use caller_connections::{CallerConnections, MAX_ADMIN_CONNECTIONS};
pub use caller_request::{CallerEndpoint, CallerRequest};
pub use cursor_body::{cursor_lines, cursor_to_pipeline};
pub use error_response::error_response;
pub use routes::caller_routes;
pub use statement_count::count_statements;
