//! Arguments of the stand-in platform.

use std::net::SocketAddr;

use argh::FromArgs;

/// A subset of the Consul HTTP interface with limits and faults.
#[derive(Clone, Debug, FromArgs)]
pub struct PlatformSettings {
    /// address to listen on
    #[argh(option)]
    pub listen: SocketAddr,
    /// accepted writes per second (default 300)
    #[argh(option, default = "300")]
    pub writes_per_second: u32,
    /// accepted reads per second; a watch counts once (default 2000)
    #[argh(option, default = "2000")]
    pub reads_per_second: u32,
    /// maximum size of a value in bytes (default 1000000)
    #[argh(option, default = "1_000_000")]
    pub max_value_bytes: usize,
    /// service time of each call in milliseconds (default 2)
    #[argh(option, default = "2")]
    pub call_time_ms: u64,
    /// time by which the lists lag behind registrations in milliseconds (default 0)
    #[argh(option, default = "0")]
    pub list_lag_ms: u64,
}
