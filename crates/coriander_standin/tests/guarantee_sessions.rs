//! G1: read-your-writes through other instances, with lagging replicas and changes of primary.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::fleet::{CallerRequest, FLEET_TIMEOUT, Fleet};
use coriander_standin::member::FaultUpdate;
use coriander_standin::process::wait_until;

const ROUNDS: usize = 12;

fn read(value: &str) -> CallerRequest {
    CallerRequest::new(&[&format!("SELECT value FROM items WHERE value = '{value}'")])
}

/// Writes through one instance and reads the value back through the next one, with and without
/// the session token, in a class that accepts stale data and in one that does not.
async fn assert_reads_own_writes(fleet: &Fleet, label: &str) {
    for round in 0..ROUNDS {
        let value = format!("{label}-{round}");
        let (writer, reader) = (round % 3, (round + 1) % 3);
        let written = fleet
            .send_until_ok(writer, &CallerRequest::insert(&value).request_id(&value))
            .await;
        assert!(!written.session.is_empty());
        for class in ["tracking", "default"] {
            let request = read(&value).class(class).session(&written.session);
            let found = fleet.send_until_ok(reader, &request).await;
            assert_eq!(found.values(0), [value.as_str()], "{class}: {found:?}");
        }
        let found = fleet.send_until_ok(reader, &read(&value)).await;
        assert_eq!(found.values(0), [value.as_str()], "no token: {found:?}");
    }
}

/// Guards against stale reads: a read through another instance that is served by a replica which
/// does not have the session's write yet.
#[ntex::test]
async fn session_reads_its_writes_while_replicas_lag() {
    let fleet = Fleet::start().await;
    assert_reads_own_writes(&fleet, "small-lag").await;
    for replica in fleet.replicas().await {
        let lag = FaultUpdate {
            lag_ms: Some(300),
            ..FaultUpdate::default()
        };
        fleet.member_faults(replica.name, lag).await;
    }
    assert_reads_own_writes(&fleet, "large-lag").await;
}

/// Guards against session tests that never read from a replica: with the token of an old write,
/// replicas serve reads of a class that accepts stale data.
#[ntex::test]
async fn replicas_serve_sessions_that_they_have_caught_up_with() {
    let fleet = Fleet::start().await;
    let written = fleet
        .send_until_ok(0, &CallerRequest::insert("one").request_id("one"))
        .await;
    let request = read("one").class("tracking").session(&written.session);
    let from_replica = async || {
        let reply = fleet.send_until_ok(1, &request).await;
        assert_eq!(reply.values(0), ["one"]);
        reply.served_by.contains("role=replica")
    };
    wait_until("a read from a replica", FLEET_TIMEOUT, from_replica)
        .await
        .unwrap();
}

/// Guards against a session that loses its writes when the primary crashes and a replica that may
/// have lagged becomes the primary.
#[ntex::test]
async fn session_reads_its_writes_across_a_change_of_primary() {
    let mut fleet = Fleet::start().await;
    let before = fleet
        .send_until_ok(0, &CallerRequest::insert("before").request_id("before"))
        .await;
    let (old, process) = {
        let primary = fleet.primary().await;
        (primary.name, primary.process_name.clone())
    };
    fleet.run.group.kill(&process).unwrap();
    for class in ["tracking", "default"] {
        let request = read("before").class(class).session(&before.session);
        let found = fleet.send_until_ok(1, &request).await;
        assert_eq!(found.values(0), ["before"], "{class}");
    }
    fleet.wait_for_other_primary(old).await;
    assert_reads_own_writes(&fleet, "after").await;
    fleet.run.group.restart(&process).unwrap();
    assert_reads_own_writes(&fleet, "returned").await;
}
