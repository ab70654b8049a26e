//! Calls, limits and faults of the stand-in platform.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::{Duration, Instant};

use coriander_standin::platform::{CallCounters, ServiceEntry};
use coriander_standin::process::{HttpReply, ProcessGroup};
use serde_json::Value;

struct Platform {
    group: ProcessGroup,
    base: String,
}

impl Platform {
    async fn start(args: &[&str]) -> Self {
        let mut group = ProcessGroup::create("platform").await.unwrap();
        let address = group.start_platform(args).await.unwrap();
        Self {
            group,
            base: format!("http://{address}"),
        }
    }

    async fn put(&self, path: &str, body: &str) -> HttpReply {
        self.group
            .http_client()
            .put(&format!("{}{path}", self.base), body)
            .await
            .unwrap()
    }

    async fn get(&self, path: &str) -> HttpReply {
        self.group
            .http_client()
            .get(&format!("{}{path}", self.base))
            .await
            .unwrap()
    }

    async fn set_faults(&self, update: &str) {
        let url = format!("{}/debug/faults", self.base);
        self.group
            .http_client()
            .post(&url, update.to_owned())
            .await
            .unwrap();
    }

    async fn counters(&self) -> CallCounters {
        self.get("/debug/counters").await.json().unwrap()
    }
}

/// Fails if two writes with the same compare-and-swap index both succeed.
#[ntex::test]
async fn put_cas_one_winner() {
    let platform = Platform::start(&[]).await;
    assert_eq!(
        platform.put("/v1/kv/root?cas=0", "one").await.text(),
        "true"
    );
    assert_eq!(
        platform.put("/v1/kv/root?cas=0", "two").await.text(),
        "false"
    );
    let entries: Value = platform.get("/v1/kv/root").await.json().unwrap();
    assert_eq!(entries[0]["Value"], "b25l");
    let index = entries[0]["ModifyIndex"].as_u64().unwrap();
    assert_eq!(
        platform
            .put(&format!("/v1/kv/root?cas={index}"), "three")
            .await
            .text(),
        "true"
    );
    assert_eq!(
        platform
            .put(&format!("/v1/kv/root?cas={index}"), "four")
            .await
            .text(),
        "false"
    );
    assert_eq!(platform.get("/v1/kv/root?raw").await.text(), "three");
    assert_eq!(platform.get("/v1/kv/none").await.status, 404);
}

/// Fails if a watch misses a change, returns early or counts as several reads.
#[ntex::test]
async fn watch_waits_for_change() {
    let platform = Platform::start(&[]).await;
    platform.put("/v1/kv/root", "one").await;
    let index = platform
        .get("/v1/kv/root")
        .await
        .header("x-consul-index")
        .unwrap()
        .to_owned();
    let reads = platform.counters().await.reads;
    let caller = platform.group.http_client().clone();
    let url = format!("{}/v1/kv/root?index={index}&wait=4s", platform.base);
    let start = Instant::now();
    let watch = ntex::rt::spawn(async move { caller.get(&url).await.unwrap() });
    tokio::time::sleep(Duration::from_millis(200)).await;
    platform.put("/v1/kv/other", "x").await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(platform.counters().await.waiting_watches, 1);
    platform.put("/v1/kv/root", "two").await;
    let reply = watch.await.unwrap();
    assert!(reply.text().contains("dHdv"));
    assert!(start.elapsed() >= Duration::from_millis(300));
    assert_eq!(platform.counters().await.reads, reads + 1);
    let index = reply.header("x-consul-index").unwrap();
    let unchanged = platform
        .get(&format!("/v1/kv/root?index={index}&wait=50ms"))
        .await;
    assert_eq!(unchanged.header("x-consul-index"), Some(index));
}

/// Fails if a write is lost with its response, or if an outage loses the state.
#[ntex::test]
async fn lost_response_write_kept() {
    let platform = Platform::start(&[]).await;
    platform.set_faults(r#"{"lose_writes": 1}"#).await;
    let url = format!("{}/v1/kv/root", platform.base);
    assert!(
        platform
            .group
            .http_client()
            .put(&url, "kept")
            .await
            .is_err()
    );
    assert_eq!(platform.get("/v1/kv/root?raw").await.text(), "kept");
    platform.set_faults(r#"{"down": true}"#).await;
    assert!(platform.group.http_client().get(&url).await.is_err());
    platform.set_faults(r#"{"down": false}"#).await;
    assert_eq!(platform.get("/v1/kv/root?raw").await.text(), "kept");
    let counters = platform.counters().await;
    assert_eq!((counters.lost_responses, counters.while_down), (1, 1));
}

/// Fails if calls above the rate limit or values above the size limit are accepted.
#[ntex::test]
async fn calls_limited() {
    let platform = Platform::start(&["--writes-per-second", "5", "--call-time-ms", "0"]).await;
    let mut statuses = Vec::new();
    for _ in 0..10 {
        statuses.push(platform.put("/v1/kv/root", "x").await.status);
    }
    assert_eq!(statuses[..5], [200; 5]);
    assert!(statuses[5..].contains(&429));
    assert!(platform.counters().await.refused_writes >= 1);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let large = "x".repeat(1_000_001);
    assert_eq!(platform.put("/v1/kv/root", &large).await.status, 413);
    assert_eq!(platform.put("/v1/kv/root", &large[1..]).await.status, 200);
}

/// Fails if two sessions hold a key at once, or if a key is kept after its session has expired.
#[ntex::test]
async fn session_holds_until_ttl() {
    let platform = Platform::start(&[]).await;
    let body = r#"{"TTL": "1s", "Behavior": "delete", "LockDelay": "0s"}"#;
    let mut ids = Vec::new();
    for _ in 0..2 {
        let created: Value = platform
            .put("/v1/session/create", body)
            .await
            .json()
            .unwrap();
        ids.push(created["ID"].as_str().unwrap().to_owned());
    }
    let acquire = |id: &str| format!("/v1/kv/lease?acquire={id}");
    assert_eq!(platform.put(&acquire(&ids[0]), "a").await.text(), "true");
    assert_eq!(platform.put(&acquire(&ids[1]), "b").await.text(), "false");
    for _ in 0..3 {
        tokio::time::sleep(Duration::from_millis(500)).await;
        let renewed = platform
            .put(&format!("/v1/session/renew/{}", ids[0]), "")
            .await;
        assert_eq!(renewed.status, 200);
    }
    assert_eq!(
        platform.put(&acquire(&ids[1]), "b").await.status,
        500,
        "the session expired at its TTL"
    );
    assert_eq!(platform.get("/v1/kv/lease?raw").await.text(), "a");
    tokio::time::sleep(Duration::from_millis(1500)).await;
    assert_eq!(platform.get("/v1/kv/lease").await.status, 404);
}

/// Fails if a list lacks the zone, or shows a change before the lag has elapsed.
#[ntex::test]
async fn list_lags_behind() {
    let platform = Platform::start(&["--list-lag-ms", "400"]).await;
    let address = platform.base["http://".len()..].parse().unwrap();
    let entry = ServiceEntry {
        id: "a".to_owned(),
        service: "orders".to_owned(),
        address: "127.0.0.1".to_owned(),
        port: 4101,
        meta: [("zone".to_owned(), "piraeus".to_owned())].into(),
    };
    platform
        .group
        .register_service(address, &entry)
        .await
        .unwrap();
    let list = platform.get("/v1/health/service/orders").await;
    assert_eq!(list.text(), "[]");
    let index = list.header("x-consul-index").unwrap();
    let path = format!("/v1/health/service/orders?index={index}&wait=4s");
    let list: Value = platform.get(&path).await.json().unwrap();
    assert_eq!(list[0]["Service"]["Meta"]["zone"], "piraeus");
    platform.set_faults(r#"{"list_lag_ms": 0}"#).await;
    platform
        .put("/v1/catalog/deregister", r#"{"Node": "orders-a"}"#)
        .await;
    assert_eq!(platform.get("/v1/health/service/orders").await.text(), "[]");
}
