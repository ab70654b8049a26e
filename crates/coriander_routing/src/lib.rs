//! Statement classification, member choice, retry budget and hedging.

mod read_functions;
mod request_kind;
mod script;
mod sql_words;
mod statement_cache;
mod statement_kind;

pub use request_kind::{RequestClass, RequestKind};
pub use statement_cache::StatementCache;
pub use statement_kind::StatementKind;
