//! The other instances: their list, messages and relayed exchanges.

pub mod fleet_view;
pub mod peer_messages;
pub mod peer_socket;
pub mod peer_traffic;
pub mod registration;
pub mod relay;
pub mod relay_messages;
