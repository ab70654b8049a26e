//! Simulation shared by the property tests and the examples.

#![allow(dead_code, missing_docs)]

mod fleet_simulation;
mod simulated_plans;
mod simulation_settings;
mod usage_record;

pub use fleet_simulation::Simulation;
pub use simulation_settings::{Action, Fault, Settings};
#[allow(unused_imports)]
pub use usage_record::IdealBucket;
