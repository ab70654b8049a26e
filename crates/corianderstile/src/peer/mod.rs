//! Messages and connections between the instances of the fleet.

mod connection;
mod messages;
mod peer_client;
mod peer_server;

pub use connection::PeerError;
pub use messages::{ForwardAnswer, ForwardRequest, PeerReply, PeerRequest, ServedBy};
pub use peer_client::PeerClient;
pub use peer_server::{PeerService, serve_peers};
