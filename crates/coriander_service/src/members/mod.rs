//! Members of the database groups: entries, health and connections.

pub mod connection_caps;
pub mod connection_request;
pub mod database_group;
pub mod departed_members;
pub mod held_connection;
pub mod member;
pub mod member_capacity;
pub mod member_gate;
pub mod member_health;
pub mod member_pool;
pub mod ordered_waiting;
pub mod pool_error;
pub mod pool_waiters;
pub mod pooled_connection;
pub mod warm_up_gate;
