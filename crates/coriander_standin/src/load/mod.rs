//! Load driver: runs the load of a deployment against given instances and checks the results.

mod arrival_schedule;
mod driver_settings;
mod instance_balancer;
mod load_driver;
mod load_metrics;
mod load_plot;
mod load_report;
mod load_session;
mod request_sender;
mod token_bucket;
mod write_history;

pub use arrival_schedule::{ArrivalSchedule, LoadArrival, RequestKind};
pub use driver_settings::DriverSettings;
pub use load_driver::run_driver;
pub use load_metrics::{LoadMetrics, RequestRecord, SecondCounts};
pub use load_plot::draw_plot;
pub use load_report::{LatencySummary, LoadReport, RefusalCount};
pub use token_bucket::TokenBucket;
pub use write_history::{HistorySummary, WriteHistory, WriteOutcome};
