//! Requests and replies between instances over TCP, several in flight on each connection.
//!
//! The crate is generic over the messages. [`PeerClient`] sends requests, and [`serve_peers`]
//! handles them with a [`PeerService`]. `coriander_wire` authenticates the frames.
//!
//! A request carries its deadline in the time of the instance that handles it, as far as the sender
//! knows that time. A request that was held up on the way is dropped on arrival, however the clocks
//! of the two instances differ.
//!
//! ```no_run
//! use std::time::Duration;
//! use coriander_peer::{PeerClient, PeerError};
//! use coriander_wire::FrameCodec;
//!
//! async fn request(body: String) -> Result<String, PeerError> {
//!     let client: PeerClient<String, String> = PeerClient::new(FrameCodec::new(&[7; 32]));
//!     let address = "10.1.0.26:7560".parse().expect("valid address");
//!     client.call(address, body, Duration::from_millis(250)).await
//! }
//! ```

mod boot_clock;
mod peer_client;
mod peer_connection;
mod peer_server;
mod peer_time;

pub use boot_clock::BootClock;
pub use peer_client::PeerClient;
pub use peer_connection::PeerError;
pub use peer_server::{ConnectionId, PeerService, serve_peers};
pub use peer_time::PeerTime;
