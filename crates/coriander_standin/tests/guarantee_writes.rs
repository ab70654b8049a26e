//! G2 and G11: no acknowledged write is lost and none runs twice while the primary fails.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use common::fleet::{CallerRequest, DATABASE, FLEET_TIMEOUT, Fleet};
use common::write_load::WriteLoad;
use coriander_standin::member::{CutMode, FaultUpdate};
use coriander_standin::process::wait_until;
use tokio::time::sleep;

const WRITERS: usize = 6;
/// Acknowledged writes to wait for before and after each fault.
const WRITES_PER_PHASE: usize = 30;

async fn wait_for_writes(load: &WriteLoad, count: usize) {
    let target = load.acknowledged() + count;
    wait_until("acknowledged writes", FLEET_TIMEOUT, async || {
        load.acknowledged() >= target
    })
    .await
    .unwrap();
}

/// Asserts that the table contains every expected value once and nothing else, also after retries.
async fn assert_stored_once(fleet: &Fleet, mut expected: Vec<String>) {
    let mut stored = fleet.stored_values().await;
    stored.sort();
    expected.sort();
    assert_eq!(stored, expected);
    // Retries with the same id return the stored outcome and change nothing.
    for (index, value) in expected.iter().enumerate().step_by(10) {
        let repeated = CallerRequest::insert(value).request_id(value);
        fleet.send_until_ok(index % 3, &repeated).await;
        fleet.send_until_ok((index + 1) % 3, &repeated).await;
        let other = CallerRequest::insert("other body").request_id(value);
        let reply = fleet.send(index % 3, &other).await;
        reply.expect_refused("REQUEST_ID_REUSED");
    }
    let mut after = fleet.stored_values().await;
    after.sort();
    assert_eq!(after, expected);
}

fn cut(peers: &[&str], cut_mode: CutMode, cut_statements: bool) -> FaultUpdate {
    let peers = peers.iter().map(|&peer| peer.to_owned());
    FaultUpdate {
        cut_peers: Some(peers.collect::<BTreeSet<_>>()),
        cut_mode: Some(cut_mode),
        cut_statements: Some(cut_statements),
        ..FaultUpdate::default()
    }
}

/// Guards against lost and doubled writes when the primary crashes and restarts with its journal,
/// twice in a row.
#[ntex::test]
async fn writes_survive_killed_primary() {
    let mut fleet = Fleet::start().await;
    let load = WriteLoad::start(&fleet, "kill", WRITERS);
    for _ in 0..2 {
        wait_for_writes(&load, WRITES_PER_PHASE).await;
        let (old, process) = {
            let primary = fleet.primary().await;
            (primary.name, primary.process_name.clone())
        };
        fleet.run.group.kill(&process).unwrap();
        fleet.wait_for_other_primary(old).await;
        wait_for_writes(&load, WRITES_PER_PHASE).await;
        fleet.run.group.restart(&process).unwrap();
    }
    wait_for_writes(&load, WRITES_PER_PHASE).await;
    let values = load.finish().await;
    assert_stored_once(&fleet, values).await;
}

/// Guards against an old primary that resumes and acknowledges or applies writes of its old term.
#[ntex::test]
async fn writes_survive_paused_primary() {
    let mut fleet = Fleet::start().await;
    let load = WriteLoad::start(&fleet, "pause", WRITERS);
    wait_for_writes(&load, WRITES_PER_PHASE).await;
    let (old, process) = {
        let primary = fleet.primary().await;
        (primary.name, primary.process_name.clone())
    };
    fleet.run.group.pause(&process).unwrap();
    // A paused member replies to no status query, so it is not found as a primary.
    fleet.wait_for_other_primary(old).await;
    wait_for_writes(&load, WRITES_PER_PHASE).await;
    fleet.run.group.resume(&process).unwrap();
    wait_for_writes(&load, WRITES_PER_PHASE).await;
    let values = load.finish().await;
    assert_stored_once(&fleet, values).await;
}

/// Guards against acknowledgement by a primary that still executes statements but is cut off from
/// the other members and from group control.
#[ntex::test]
async fn writes_survive_isolated_primary() {
    let fleet = Fleet::start().await;
    let load = WriteLoad::start(&fleet, "cut", WRITERS);
    for mode in [CutMode::Ignore, CutMode::Refuse] {
        wait_for_writes(&load, WRITES_PER_PHASE).await;
        let old = fleet.primary().await.name;
        fleet.member_faults(old, cut(&["*"], mode, false)).await;
        fleet.wait_for_other_primary(old).await;
        wait_for_writes(&load, WRITES_PER_PHASE).await;
        fleet.member_faults(old, cut(&[], mode, false)).await;
    }
    wait_for_writes(&load, WRITES_PER_PHASE).await;
    let values = load.finish().await;
    assert_stored_once(&fleet, values).await;
}

/// Guards against acknowledgement of writes that no other member has: while no replica copies the
/// log, nothing may be acknowledged, and the same requests succeed once replication works again.
#[ntex::test]
async fn writes_wait_for_replication() {
    let fleet = Fleet::start().await;
    let load = WriteLoad::start(&fleet, "replication", WRITERS);
    wait_for_writes(&load, WRITES_PER_PHASE).await;
    let primary = fleet.run.primary(DATABASE).await.unwrap().name;
    fleet
        .member_faults(primary, cut(&["members"], CutMode::Refuse, false))
        .await;
    // Confirmations that are already in flight may still arrive.
    sleep(Duration::from_secs(1)).await;
    let before = load.acknowledged();
    sleep(Duration::from_secs(2)).await;
    if fleet.primary().await.name == primary {
        assert_eq!(load.acknowledged(), before);
    }
    fleet
        .member_faults(primary, cut(&[], CutMode::Refuse, false))
        .await;
    wait_for_writes(&load, WRITES_PER_PHASE).await;
    let values = load.finish().await;
    assert_stored_once(&fleet, values).await;
}

/// Guards against a second execution when the response of the primary is lost after the first one,
/// and against a stored outcome that differs from the first response.
#[ntex::test]
async fn lost_responses_do_not_repeat_writes() {
    let fleet = Fleet::start().await;
    let primary = fleet.primary().await.name;
    let mut expected = Vec::new();
    for round in 0..6 {
        let drops = FaultUpdate {
            drop_count: Some(round),
            ..FaultUpdate::default()
        };
        fleet.member_faults(primary, drops).await;
        let value = format!("drop-{round}");
        let request = CallerRequest::insert(&value).request_id(&value);
        let first = fleet.send_until_ok(round as usize % 3, &request).await;
        let again = fleet
            .send_until_ok((round as usize + 1) % 3, &request)
            .await;
        assert_eq!(first.body["results"], again.body["results"]);
        expected.push(value);
    }
    assert_stored_once(&fleet, expected).await;
}
