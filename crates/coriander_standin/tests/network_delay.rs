//! Simulated network delay and service time of stand-in members.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use std::time::{Duration, Instant};

use common::start_members;
use coriander_standin::process::ProcessGroup;

/// Fails if a response arrives before two one-way delays and the service time have elapsed.
#[ntex::test]
async fn delay_not_shorter_than_setting() {
    let mut group = ProcessGroup::create("network-delay").await.unwrap();
    let args = ["--network-delay-us", "1500", "--statement-time-us", "700"];
    let members = start_members(&mut group, &["a"], &args).await;
    members[0].make_primary(1, &[]).await.unwrap();
    for _ in 0..50 {
        let start = Instant::now();
        members[0].status().await.unwrap();
        assert!(start.elapsed() >= Duration::from_micros(3_000));
        let start = Instant::now();
        members[0].execute(1, "SELECT 1").await.unwrap();
        assert!(start.elapsed() >= Duration::from_micros(3_700));
    }
}
