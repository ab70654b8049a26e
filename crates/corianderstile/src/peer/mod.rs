//! Messages between the instances of the fleet, and the connections that carry them.

mod messages;

pub use coriander_peer::{ConnectionId, PeerError, PeerService, serve_peers};
pub use messages::{ForwardReply, ForwardRequest, PeerReply, PeerRequest, ServedBy};

/// Client of the other instances.
pub type PeerClient = coriander_peer::PeerClient<PeerRequest, PeerReply>;
