//! G5 and G6: no key reaches an upstream, and withdrawn keys stop working.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use common::fleet::{ACCOUNT, CallerRequest, FLEET_TIMEOUT, Fleet, insert_sql};
use common::write_load::WriteLoad;
use coriander_config::ChangeCommand;
use coriander_standin::DeploymentProfile;
use coriander_standin::process::wait_until;

/// Common prefix of all test keys.
const KEY_PREFIX: &str = "test-key-of-";
const READ: &str = "SELECT value FROM items";

fn withdraw(account: &str) -> ChangeCommand {
    ChangeCommand::WithdrawKey {
        key_id: format!("key-{account}"),
    }
}

/// Sends a request on a connection that stays open and returns the response in lower case.
fn exchange(connection: &mut TcpStream, host: SocketAddr) -> String {
    let body = r#"{"baton":null,"requests":[{"type":"execute","stmt":{"sql":"SELECT 1"}},{"type":"close"}]}"#;
    let key = DeploymentProfile::account_key(ACCOUNT);
    let request = format!(
        "POST /v3/pipeline HTTP/1.1\r\nhost: {host}\r\nauthorization: Bearer {key}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    connection.write_all(request.as_bytes()).unwrap();
    let mut received = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let count = connection.read(&mut buffer).unwrap();
        assert!(count > 0, "the connection was closed");
        received.extend_from_slice(&buffer[..count]);
        let text = String::from_utf8_lossy(&received).to_lowercase();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let length = head.split("content-length: ").nth(1).unwrap();
        let length: usize = length.split("\r\n").next().unwrap().parse().unwrap();
        if body.len() >= length {
            return text;
        }
    }
}

/// Guards against keys in headers or bodies of upstream requests, on every path of a request:
/// reads, writes, retries, transactions, forwarded requests and changes of primary.
#[ntex::test]
async fn members_receive_no_key() {
    let mut fleet = Fleet::start().await;
    let load = WriteLoad::start(&fleet, "key", 3);
    for instance in 0..3 {
        let begin = CallerRequest::open(&["BEGIN", READ]).account("account-2");
        let baton = fleet.send(instance, &begin).await.expect_ok().baton();
        let commit = CallerRequest::new(&["COMMIT"])
            .account("account-2")
            .baton(&baton);
        fleet.send((instance + 1) % 3, &commit).await.expect_ok();
        let session = fleet
            .send_until_ok(instance, &CallerRequest::new(&[READ]))
            .await
            .session;
        let read = CallerRequest::new(&[READ])
            .class("tracking")
            .session(&session);
        fleet.send_until_ok(instance, &read).await;
        fleet
            .send(
                instance,
                &CallerRequest::new(&[READ]).key("test-key-of-nobody"),
            )
            .await;
    }
    let (old, process) = {
        let primary = fleet.primary().await;
        (primary.name, primary.process_name.clone())
    };
    fleet.run.group.pause(&process).unwrap();
    fleet.wait_for_other_primary(old).await;
    fleet.run.group.resume(&process).unwrap();
    assert!(!load.finish().await.is_empty());
    for member in &fleet.run.members {
        let received = member.client.received().await.unwrap();
        assert!(
            received
                .iter()
                .any(|request| request.target.contains("pipeline"))
        );
        for request in received {
            let text = format!("{request:?}").to_lowercase();
            assert!(!text.contains(KEY_PREFIX), "{request:?}");
            assert!(!text.contains("authorization"), "{request:?}");
        }
    }
}

/// Guards against a withdrawn key that is still accepted: by any instance, on a connection opened
/// before, or in an open transaction, whose changes must be rolled back.
#[ntex::test]
async fn withdrawn_key_is_refused_everywhere() {
    let fleet = Fleet::start().await;
    let begin = CallerRequest::open(&["BEGIN IMMEDIATE", &insert_sql("withdrawn")]);
    let baton = fleet.send(1, &begin).await.expect_ok().baton();
    let mut connections = Vec::new();
    for spec in &fleet.run.instances {
        let mut connection = TcpStream::connect(spec.callers).unwrap();
        connection
            .set_read_timeout(Some(Duration::from_secs(15)))
            .unwrap();
        // The open transaction locks the stand-in's database, except for reads without a table.
        let reply = exchange(&mut connection, spec.callers);
        assert!(reply.starts_with("http/1.1 200"), "{reply}");
        connections.push((connection, spec.callers));
    }
    let admin = fleet.run.admin(0);
    let change = async move { admin.change(&withdraw(ACCOUNT)).await };
    let change = ntex::rt::spawn(change);
    // The server closes connections that are idle for 5 s, so they are used during the change.
    while !change.is_finished() {
        for (connection, host) in &mut connections {
            exchange(connection, *host);
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    change.await.unwrap().unwrap();
    // A majority has applied an accepted change; the other instances stop serving after the
    // freshness period.
    tokio::time::sleep(Duration::from_secs(2)).await;
    for (connection, host) in &mut connections {
        let reply = exchange(connection, *host);
        assert!(reply.starts_with("http/1.1 401"), "{reply}");
        assert!(reply.contains("not_run"), "{reply}");
    }
    for instance in 0..3 {
        let refused = fleet.send(instance, &CallerRequest::new(&[READ])).await;
        refused.expect_refused("UNAUTHORIZED");
        let commit = CallerRequest::new(&["COMMIT"]).baton(&baton);
        let refused = fleet.send(instance, &commit).await;
        refused.expect_refused("UNAUTHORIZED");
    }
    let stored = async || {
        let write = CallerRequest::insert("kept")
            .request_id("kept")
            .account("account-2");
        fleet.send_until_ok(2, &write).await;
        let read = CallerRequest::new(&[READ]).account("account-2");
        fleet.send_until_ok(0, &read).await.values(0)
    };
    assert_eq!(stored().await, ["kept"]);
}

/// Guards against requests of a withdrawn key that wait for a lock or a slot and run after the
/// withdrawal: nothing that is sent afterwards may be stored.
#[ntex::test]
async fn withdrawn_key_stops_writers() {
    let fleet = Fleet::start().await;
    let client = fleet.client.clone();
    let writer = ntex::rt::spawn(async move {
        let mut acknowledged = Vec::new();
        for number in 0.. {
            let value = format!("writer-{number}");
            let reply = client
                .send(
                    number % 3,
                    &CallerRequest::insert(&value).request_id(&value),
                )
                .await;
            if !reply.is_ok() {
                reply.expect_refused("UNAUTHORIZED");
                return acknowledged;
            }
            acknowledged.push(value);
        }
        acknowledged
    });
    let has_written = async || {
        let read = CallerRequest::new(&[READ]).account("account-2");
        fleet.send_until_ok(0, &read).await.values(0).len() > 20
    };
    wait_until("some writes", FLEET_TIMEOUT, has_written)
        .await
        .unwrap();
    fleet.run.admin(2).change(&withdraw(ACCOUNT)).await.unwrap();
    let acknowledged = writer.await.unwrap();
    let read = CallerRequest::new(&["SELECT value FROM items ORDER BY id"]).account("account-2");
    let stored = fleet.send_until_ok(1, &read).await.values(0);
    assert_eq!(stored, acknowledged);
}
