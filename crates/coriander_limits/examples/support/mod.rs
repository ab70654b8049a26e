//! Simulation shared by the property tests and the examples.

#![allow(dead_code, missing_docs)]

mod fleet_simulation;
mod usage_record;

pub use fleet_simulation::{Action, Fault, Settings, Simulation};
#[allow(unused_imports)]
pub use usage_record::IdealBucket;
