//! Framing, versions, size limits and authentication of messages between instances.
//!
//! [`FrameCodec`] is for TCP streams and [`DatagramCodec`] for UDP. Both encode any serde type with
//! postcard and perform no I/O.
//!
//! ```
//! use coriander_wire::{DatagramCodec, FrameCodec, FrameStatus};
//!
//! let key = [7; 32];
//! let mut frames = FrameCodec::new(&key);
//! let bytes = frames.encode(&("take", 12u32))?;
//! let FrameStatus::Complete { message, consumed } = frames.decode::<(String, u32)>(&bytes)?
//! else {
//!     panic!("the frame is complete");
//! };
//! assert_eq!((message, consumed), (("take".to_owned(), 12), bytes.len()));
//!
//! let sender = "instance-1".parse().expect("valid name");
//! let receiver = "instance-2".parse().expect("valid name");
//! let mut outgoing = DatagramCodec::new(&key, sender, 1);
//! let mut incoming = DatagramCodec::new(&key, receiver, 2);
//! let datagram = outgoing.encode(&"heartbeat")?;
//! assert_eq!(incoming.decode::<String>(&datagram)?.message, "heartbeat");
//! assert!(incoming.decode::<String>(&datagram).is_err(), "replayed");
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod datagram_codec;
mod frame_codec;
mod message_mac;
pub mod option_wire_duration;
mod reject_counts;
mod replay_window;
mod short_body;
pub mod wire_duration;
mod wire_error;

pub use datagram_codec::{DatagramCodec, MAX_DATAGRAM_LENGTH, ReceivedDatagram};
pub use frame_codec::{FrameCodec, FrameStatus, MAX_FRAME_LENGTH};
pub use message_mac::WIRE_VERSION;
pub use reject_counts::{RejectCounts, RejectReason};
pub use wire_error::{DecodeError, EncodeError};
