//! Signals to the processes of a group and their exit with the group.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::panic::AssertUnwindSafe;
use std::time::Duration;

use coriander_standin::process::{HttpClient, ProcessGroup};

/// Guards against signals that do not reach the process and processes that outlive their group.
#[ntex::test]
async fn processes_receive_signals_and_end_with_group() {
    let mut group = ProcessGroup::create("group-signals").await.unwrap();
    let platform = group.start_platform(&[]).await.unwrap();
    let url = format!("http://{platform}/debug/counters");
    let client = HttpClient::create(Duration::from_millis(300)).await;
    group.pause("platform").unwrap();
    assert!(client.get(&url).await.is_err());
    group.resume("platform").unwrap();
    group.wait_for_url(&url).await.unwrap();
    group.terminate("platform").unwrap();
    let code = group
        .wait_for_exit("platform", Duration::from_secs(20))
        .await
        .unwrap();
    assert_eq!(code, Some(0));
    assert!(!group.is_running("platform"));
    group.restart("platform").unwrap();
    group.wait_for_url(&url).await.unwrap();
    let panicked = std::panic::catch_unwind(AssertUnwindSafe(move || {
        let _group = group;
        panic!("expected by this test");
    }));
    assert!(panicked.is_err());
    assert!(
        client.get(&url).await.is_err(),
        "the process ended with its group"
    );
}
