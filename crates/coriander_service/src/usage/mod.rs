//! Usage of client accounts: what counts, its way to the holder of the duty, and the reports.

pub mod begun_operation;
pub mod usage_meter;
pub mod usage_task;
