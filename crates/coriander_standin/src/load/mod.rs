//! Load driver: plays a deployment against given instances and checks the results.

mod arrival_schedule;
mod driver_settings;
mod instance_balancer;
mod load_driver;
mod load_metrics;
mod load_plot;
mod load_report;
mod load_session;
mod rate_mirror;
mod request_sender;
mod write_ledger;

pub use arrival_schedule::{ArrivalSchedule, LoadArrival, RequestKind};
pub use driver_settings::DriverSettings;
pub use load_driver::run_driver;
pub use load_metrics::{LoadMetrics, RequestRecord, SecondCounts};
pub use load_plot::draw_plot;
pub use load_report::{LatencySummary, LoadReport, RefusalCount};
pub use rate_mirror::RateMirror;
pub use write_ledger::{LedgerSummary, WriteLedger, WriteOutcome};
