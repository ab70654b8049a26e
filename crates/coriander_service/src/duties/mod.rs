//! Duties of one instance at a time: their leases and fencing tokens.

pub mod duty_lease;
pub mod duty_state;
