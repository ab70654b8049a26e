//! Gateways: the instances that hold the connections of a database and run its requests.

mod acknowledge;
mod database_gateway;
mod gateway_set;
mod group_task;
mod member_handle;
mod member_list;
mod run_read;
mod run_transaction;
mod run_write;
mod slot_gate;
mod transaction_table;
mod upstream_pipeline;

pub use database_gateway::GatewayContext;
pub use gateway_set::GatewaySet;
pub(crate) use member_handle::MemberHandle;
