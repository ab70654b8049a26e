//! Peer liveness, rendezvous ranks, zones and drain state.
//!
//! The crate does no I/O: the caller passes in the time and received messages, and carries out the
//! returned decisions and sends the returned messages.
//!
//! * [`PeerTable`] tracks the liveness and state of the other instances.
//! * [`RankTable`] ranks instances for gateways, rate owners and watchers.
//! * [`DrainState`] is the drain state of the own instance.
//!
//! ```
//! use coriander_core::{ConfigDocument, FleetMember, MonotonicTime};
//! use coriander_membership::{PeerTable, RankTable};
//!
//! let mut document = ConfigDocument::default();
//! for number in 0..6 {
//!     let member = FleetMember {
//!         zone: format!("zone-{}", number % 3).parse()?,
//!         peer_address: ([127, 0, 0, 1], 7000 + number).into(),
//!         draining: false,
//!     };
//!     document.fleet.insert(format!("i-{number}").parse()?, member);
//! }
//! let now = MonotonicTime::from_millis(1_000);
//! let mut ranks = RankTable::new();
//! ranks.apply_document(&document, now);
//! let mut peers = PeerTable::new("i-0".parse()?);
//! peers.apply_document(&document, now);
//!
//! let gateways = ranks.gateways(&"orders".parse()?);
//! assert_eq!(gateways.len(), 2);
//! assert_eq!(peers.heartbeat_targets(&mut ranks).len(), 5);
//!
//! // A peer that has timed out is reported once and removed from the ranks.
//! let later = MonotonicTime::from_millis(10_000);
//! for change in peers.advance(later) {
//!     ranks.apply_change(&change);
//! }
//! let gateways = ranks.gateways(&"orders".parse()?);
//! assert_eq!(gateways.as_slice(), ["i-0".parse()?]);
//! # Ok::<(), coriander_core::NameError>(())
//! ```

mod arrival_window;
mod drain_state;
mod heartbeat;
mod peer_entry;
mod peer_table;
mod rank_table;
mod weighted_ranks;

pub use arrival_window::ArrivalWindow;
pub use drain_state::{DrainCause, DrainState, WorkAdmission};
pub use heartbeat::{Heartbeat, HeartbeatAck, InstanceState, OwnStatus, PeerNotice};
pub use peer_table::{HeartbeatError, PeerChange, PeerTable};
pub use rank_table::{MAX_OWNERS, RankTable, RankedInstances};
pub use weighted_ranks::{RankKey, WeightedRanks};
