//! Admission of operations: key, route, age of the configuration, rate, and repetitions.

pub mod access;
pub mod rate_limiter;
pub mod repetitions;
