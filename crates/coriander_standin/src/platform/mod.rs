//! Stand-in for the platform: a subset of the Consul HTTP interface.

mod call_limits;
mod duration_text;
mod key_store;
mod platform_faults;
mod platform_server;
mod platform_settings;
mod service_catalog;

pub use call_limits::{CallCounters, CallKind, CallLimits};
pub use key_store::{KeyStore, PutCondition, SessionOptions, StoredKey};
pub use platform_faults::{PlatformFaults, PlatformUpdate};
pub use platform_server::run_platform;
pub use platform_settings::PlatformSettings;
pub use service_catalog::{ServiceCatalog, ServiceEntry};
