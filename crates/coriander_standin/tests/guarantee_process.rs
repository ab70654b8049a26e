//! State that a running process exposes and its handling of malformed input from the network.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use std::fs;
use std::io::Write;
use std::net::{TcpStream, UdpSocket};

use common::fleet::{CallerRequest, FLEET_TIMEOUT, Fleet};
use coriander_standin::process::wait_until;

async fn metrics(fleet: &Fleet, instance: usize) -> String {
    let url = format!("http://{}/metrics", fleet.run.instances[instance].admin);
    let reply = fleet.run.group.http_client().get(&url).await.unwrap();
    assert_eq!(reply.status, 200);
    reply.text()
}

/// Returns the value of a metric without labels.
async fn metric(fleet: &Fleet, instance: usize, name: &str) -> f64 {
    let text = metrics(fleet, instance).await;
    let mut lines = text.lines();
    let line = lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    line.unwrap_or_else(|| panic!("no {name} in {text}"))
        .trim()
        .parse()
        .unwrap()
}

/// Guards against keys, their digests and the fleet secret in metrics, dumps, configuration,
/// explanations and logs, which operators copy into reports.
#[ntex::test]
async fn shown_state_contains_no_key() {
    let fleet = Fleet::start().await;
    for instance in 0..3 {
        let request = CallerRequest::insert("shown").request_id(&format!("shown-{instance}"));
        fleet.send_until_ok(instance, &request).await;
        let refused = CallerRequest::insert("x").key("test-key-of-nobody");
        let refused = fleet.send(instance, &refused).await;
        refused.expect_refused("UNAUTHORIZED");
    }
    for (instance, spec) in fleet.run.instances.iter().enumerate() {
        let explain = format!("admin/explain/shown-{instance}");
        for path in ["metrics", "dump", "admin/config", explain.as_str()] {
            let url = format!("http://{}/{path}", spec.admin);
            let reply = fleet.run.group.http_client().get(&url).await.unwrap();
            assert_eq!(reply.status, 200, "{path}");
            let text = reply.text();
            assert!(!text.contains("test-key-of-"), "{path}: {text}");
            assert!(!text.contains(&spec.secret), "{path}: {text}");
        }
        let dump = fleet.run.admin(instance).dump().await.unwrap();
        assert_eq!(dump["ready"], true);
        assert_eq!(dump["config"]["keys"], 3);
        assert!(
            metrics(&fleet, instance)
                .await
                .contains("corianderstile_requests_total")
        );
        let log = fleet
            .run
            .group
            .directory()
            .join(format!("{}.log", spec.name));
        let log = fs::read_to_string(log).unwrap();
        assert!(!log.contains("test-key-of-") && !log.contains(&spec.secret));
    }
}

/// Guards against the io_uring driver of the HTTP library, which the project does not use.
#[ntex::test]
async fn processes_hold_no_io_uring() {
    let mut fleet = Fleet::start().await;
    for index in 0..3 {
        let name = fleet.run.instances[index].name.clone();
        let process = fleet.run.group.process_id(&name).unwrap();
        let mut targets = Vec::new();
        for entry in fs::read_dir(format!("/proc/{process}/fd")).unwrap() {
            let target = fs::read_link(entry.unwrap().path());
            targets.extend(target.map(|target| target.display().to_string()));
        }
        assert!(
            targets.iter().any(|target| target.contains("eventpoll")),
            "{targets:?}"
        );
        assert!(
            !targets.iter().any(|target| target.contains("io_uring")),
            "{targets:?}"
        );
    }
}

/// Guards against a process that stops, or closes its peer address, when it receives input that is
/// not a message of the fleet.
#[ntex::test]
async fn malformed_input_is_counted_and_dropped() {
    let mut fleet = Fleet::start().await;
    let frames = "corianderstile_invalid_frames_total";
    let datagrams = "corianderstile_invalid_datagrams";
    let before = (
        metric(&fleet, 0, frames).await,
        metric(&fleet, 0, datagrams).await,
    );
    let peers = fleet.run.instances[0].peers;
    let malformed_inputs: [&[u8]; 4] = [
        &[0xff; 64],
        b"GET / HTTP/1.1\r\nhost: peer\r\n\r\n",
        &[0, 0, 0, 8, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12],
        &[1; 1200],
    ];
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    // Kept open, so that an incomplete frame is not counted only because the connection ended.
    let mut connections = Vec::new();
    for bytes in malformed_inputs {
        let mut connection = TcpStream::connect(peers).unwrap();
        connection.write_all(bytes).unwrap();
        connections.push(connection);
        socket.send_to(bytes, peers).unwrap();
    }
    socket.send_to(&[], peers).unwrap();
    let counted = async || {
        metric(&fleet, 0, frames).await > before.0
            && metric(&fleet, 0, datagrams).await >= before.1 + malformed_inputs.len() as f64
    };
    wait_until("counts of malformed input", FLEET_TIMEOUT, counted)
        .await
        .unwrap();
    for instance in 0..3 {
        let value = format!("after-{instance}");
        let request = CallerRequest::insert(&value).request_id(&value);
        fleet.send_until_ok(instance, &request).await;
        let name = fleet.run.instances[instance].name.clone();
        assert!(fleet.run.group.is_running(&name));
    }
}
