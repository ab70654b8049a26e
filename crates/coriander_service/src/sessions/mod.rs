//! Sessions of clients: statements, transactions and the attempts made for them.

pub mod attempt;
pub mod busy_backoff;
pub mod exchange;
pub mod operation;
pub mod operation_link;
pub mod operation_trace;
pub mod request_log;
pub mod session;
pub mod shutdown_task;
pub mod stop_rules;
pub mod transaction;
