//! Clients leave in the middle of their transactions while the machine that holds the connections for
//! them stands still.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::fleet::front_ip;
use crate::group::GroupPlan;
use crate::{Outcome, Setup};

/// Front to which the application is forwarded whose clients leave; the last one.
const FRONT: usize = 5;

/// Clients that begin a transaction.
const CLIENTS: usize = 8;

/// Time for which a machine stands still (`node_freeze`, at most 3.5 s).
const FREEZE: Duration = Duration::from_millis(1_000);

/// Time from the start of the freeze until the clients leave.
const LEAVE_AFTER: Duration = Duration::from_millis(100);

/// Time for which orders are sent afterwards.
const ORDERS: Duration = Duration::from_secs(45);

/// Time between two orders.
const ORDER_INTERVAL: Duration = Duration::from_millis(300);

/// Attempts of an order: the first and two more, each through another front than [`FRONT`].
const ATTEMPTS: usize = 3;

/// Deadline of an order.
const DEADLINE: Duration = Duration::from_millis(2_500);

pub fn play(folder: &Path, trouble: bool) -> Outcome {
    let plan = GroupPlan {
        sync_replicas: 0,
        promote_time: Duration::from_millis(600),
        max_connections: 21,
        work: Duration::from_millis(6),
        report_rows: 1,
        report_row_bytes: 1,
    };
    let setup = Setup::start(folder, 3, plan)?;
    let record = &setup.record;
    let mut sessions = Vec::new();
    for number in 0..CLIENTS {
        let Some(mut client) = Client::open(setup.fleet.fronts[FRONT].address, "orders-db0", "key-1", DEADLINE) else {
            continue;
        };
        let begun = query(&setup, &mut client, &format!("b{number}"), "BEGIN");
        if begun && query(&setup, &mut client, &format!("w{number}"), &format!("WRITE item{number} x")) {
            sessions.push(client);
        }
    }
    let counts: Vec<u64> = (0..6).map(|front| open_connections(&setup, front)).collect();
    let home = (0..6).max_by_key(|front| counts[*front]).unwrap_or(0);
    record.note(&format!("{} transactions are open; connections to members by front: {counts:?}", sessions.len()));
    if sessions.is_empty() || home == FRONT {
        return Err("no transaction is open on another front".into());
    }
    if trouble {
        setup.fleet.signal(home, "STOP");
        record.note(&format!("front {home} stands still"));
    }
    thread::sleep(LEAVE_AFTER);
    drop(sessions);
    record.note("the clients have left in the middle of their transactions");
    thread::sleep(FREEZE - LEAVE_AFTER);
    if trouble {
        setup.fleet.signal(home, "CONT");
        record.note(&format!("front {home} goes on"));
    }
    thread::sleep(Duration::from_secs(2));
    let (mut sent, mut served) = (0, 0);
    let started = Instant::now();
    while started.elapsed() < ORDERS {
        sent += 1;
        served += usize::from(order(&setup, sent));
        thread::sleep(ORDER_INTERVAL);
    }
    let counts: Vec<u64> = (0..6).map(|front| open_connections(&setup, front)).collect();
    record.note(&format!("connections to members by front: {counts:?}"));
    record.note(&format!("{served} of {sent} orders were served in {ORDERS:?}"));
    Ok(served > 0)
}

/// Sends an order with its retries. Returns whether it was served.
fn order(setup: &Setup, number: usize) -> bool {
    let started = Instant::now();
    for attempt in 0..ATTEMPTS {
        let address = setup.fleet.fronts[(number + attempt) % FRONT].address;
        let left = DEADLINE.saturating_sub(started.elapsed());
        if left.is_zero() {
            return false;
        }
        let Some(mut client) = Client::open(address, "orders-db0", "key-1", left) else { continue };
        if query(setup, &mut client, &format!("o{number}-{attempt}"), &format!("WRITE order{number} x")) {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}

fn query(setup: &Setup, client: &mut Client, id: &str, text: &str) -> bool {
    setup.record.message(&format!("sent QUERY {id} {text}"));
    let answer = client.query(id, text);
    setup.record.message(&format!("answer to {id}: {:?}", answer.as_ref().map(|answer| &answer.result)));
    answer.is_some_and(|answer| answer.result.is_ok())
}

/// Returns how many connections to members a front has, from its metrics.
fn open_connections(setup: &Setup, front: usize) -> u64 {
    let ask = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect((front_ip(front), setup.ports.metrics))?;
        stream.set_read_timeout(Some(Duration::from_secs(2)))?;
        stream.write_all(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        Ok(text)
    };
    let text = ask().unwrap_or_default();
    let is_open = |line: &&str| line.starts_with("corianderstile_member_connections{") && line.contains("\"open\"");
    let counts = text.lines().filter(is_open).filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
    counts.sum()
}
