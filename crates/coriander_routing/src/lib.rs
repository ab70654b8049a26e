//! Statement classification, member choice, retry budget and hedging.

mod logged_write;
mod read_functions;
mod request_kind;
mod request_log;
mod request_parts;
mod request_results;
mod script;
mod sql_words;
mod statement_cache;
mod statement_kind;
mod stored_outcome;

pub use logged_write::{LoggedWrite, PendingStore, WriteResult, WriteStep};
pub use request_kind::{RequestClass, RequestKind};
pub use request_log::{
    LogEntry, MAX_REQUEST_ID_LENGTH, RequestIdError, RequestIdentity, RequestLog, StoredResults,
};
pub use request_parts::WrapError;
pub use statement_cache::StatementCache;
pub use statement_kind::StatementKind;
pub use stored_outcome::MAX_OUTCOME_LENGTH;
