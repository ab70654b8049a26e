//! Admission of operations: key, route, age of the configuration, and rate.

pub mod access;
pub mod rate_limiter;
