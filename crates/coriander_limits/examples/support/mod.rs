//! Simulation shared by the property tests and the examples.

#![allow(dead_code, missing_docs)]

mod simulated_plans;
mod simulation;
mod simulation_settings;
mod usage_record;

pub use simulation::Simulation;
pub use simulation_settings::{Action, Fault, Settings};
#[allow(unused_imports)]
pub use usage_record::IdealBucket;
