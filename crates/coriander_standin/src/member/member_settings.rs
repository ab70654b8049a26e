//! Arguments of a stand-in member.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use coriander_core::{DatabaseName, MemberId, ZoneName};

/// One member of a database group on an in-memory SQLite database.
#[derive(Clone, Debug, FromArgs)]
pub struct MemberSettings {
    /// address to listen on
    #[argh(option)]
    pub listen: SocketAddr,
    /// identifier of the member
    #[argh(option)]
    pub member: MemberId,
    /// name of the database group
    #[argh(option)]
    pub database: DatabaseName,
    /// availability zone
    #[argh(option)]
    pub zone: ZoneName,
    /// maximum number of open streams (default 20)
    #[argh(option, default = "20")]
    pub max_streams: usize,
    /// requests that execute at once (default 3)
    #[argh(option, default = "3")]
    pub slots: usize,
    /// requests that may wait for a slot (default 32)
    #[argh(option, default = "32")]
    pub queue_length: usize,
    /// maximum wait for a slot in milliseconds (default 1000)
    #[argh(option, default = "1000")]
    pub queue_wait_ms: u64,
    /// time to open a stream in milliseconds (default 0)
    #[argh(option, default = "0")]
    pub open_delay_ms: u64,
    /// service time of each statement in microseconds (default 0)
    #[argh(option, default = "0")]
    pub statement_time_us: u64,
    /// one-way network delay in microseconds (default 0)
    #[argh(option, default = "0")]
    pub network_delay_us: u64,
    /// replication lag in milliseconds (default 0)
    #[argh(option, default = "0")]
    pub lag_ms: u64,
    /// maximum wait for the minimum position of a read in milliseconds (default 0)
    #[argh(option, default = "0")]
    pub position_wait_ms: u64,
    /// time after which an idle stream is closed, in milliseconds (default 10000)
    #[argh(option, default = "10000")]
    pub stream_idle_ms: u64,
    /// time after which a stream with an open transaction is closed, in milliseconds (default 5000)
    #[argh(option, default = "5000")]
    pub transaction_idle_ms: u64,
    /// maximum wait for a lock of another transaction in milliseconds (default 2000)
    #[argh(option, default = "2000")]
    pub lock_wait_ms: u64,
    /// keep a stream whose response could not be delivered until it expires, with its locks
    #[argh(switch)]
    pub keep_abandoned: bool,
    /// number of received requests kept for /debug/received, per kind (default 5000)
    #[argh(option, default = "5000")]
    pub record_limit: usize,
    /// file to which every received request is appended as a JSON line
    #[argh(option)]
    pub record_file: Option<PathBuf>,
    /// file that stores term and log; without it a restarted member is empty
    #[argh(option)]
    pub journal: Option<PathBuf>,
}

impl MemberSettings {
    /// Returns the one-way network delay.
    pub fn network_delay(&self) -> Duration {
        Duration::from_micros(self.network_delay_us)
    }
}
