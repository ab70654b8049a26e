//! The configuration in force and the contents of the store.

pub mod config_delta;
pub mod config_view;
pub mod control_loop;
pub mod list_update;
pub mod read_span;
pub mod store_update;
pub mod store_view;
pub mod update_sources;
