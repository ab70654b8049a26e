//! The configuration in force and the contents of the store.

pub mod config_delta;
pub mod config_view;
pub mod control_loop;
pub mod store_update;
pub mod store_view;
