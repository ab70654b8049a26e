//! Stand-ins for the platform and the database members, a load driver and helpers for process
//! tests.
//!
//! This crate is not published.
//!
//! ```
//! use coriander_core::TermNumber;
//! use coriander_standin::member::{ControlRequest, GroupState};
//!
//! let request = ControlRequest {
//!     term: TermNumber::new(1),
//!     proposer: "proxy-1".to_owned(),
//!     primary_address: None,
//! };
//! let mut state = GroupState::default();
//! assert!(state.fence(&request));
//! assert!(state.promote(&request, "127.0.0.1:4001"));
//! assert!(state.has_confirmed(TermNumber::new(1), 1));
//! ```

mod deployment_profile;
pub mod load;
pub mod member;
pub mod platform;
mod precise_sleep;
pub mod process;

pub use deployment_profile::{AccountProfile, ClassProfile, DeploymentProfile, UnknownDeployment};
