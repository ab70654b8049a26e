//! Stand-in for one member of a database group.

mod fault_controls;
mod group_log;
mod group_service;
mod group_state;
mod hrana_service;
mod member_journal;
mod member_node;
mod member_refusal;
mod member_server;
mod member_settings;
mod replication;
mod request_record;
mod sql_database;
mod sql_functions;
mod sql_value;
mod statement_runner;
mod stream_table;

pub use fault_controls::{CutMode, FaultSettings, FaultUpdate};
pub use group_log::{GroupLog, LogEntry, LoggedStatement, TermRun};
pub use group_state::{ControlRequest, GroupState};
pub use member_server::run_member;
pub use member_settings::MemberSettings;
pub use request_record::ReceivedRequest;
pub use sql_functions::StatementClock;
pub use sql_value::LoggedValue;
