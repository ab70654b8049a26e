//! Starts, signals and stops processes for tests and scripts.

mod admin_client;
mod deployment_run;
mod http_client;
mod instance_spec;
mod member_client;
mod process_error;
mod process_group;
mod program_paths;
mod unused_address;
mod wait_until;

pub use admin_client::AdminClient;
pub use deployment_run::{DeploymentRun, RunMember, RunOptions};
pub use http_client::{HttpClient, HttpReply};
pub use instance_spec::InstanceSpec;
pub use member_client::MemberClient;
pub use process_error::ProcessError;
pub use process_group::ProcessGroup;
pub use program_paths::{example_path, program_path};
pub use unused_address::unused_address;
pub use wait_until::{CONDITION_TIMEOUT, wait_until};
