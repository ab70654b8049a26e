//! G10: a request that was refused as not run was not executed.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use common::fleet::{CallerRequest, Fleet, insert_sql};
use coriander_standin::member::FaultUpdate;
use tokio::time::sleep;

const PHASE_DURATION: Duration = Duration::from_secs(2);
const SENDERS: usize = 9;

/// Values by reported outcome: `ok`, `statement error`, `not_run`, `run`, `unknown` or
/// `no response`.
type ValuesByOutcome = Rc<RefCell<BTreeMap<String, BTreeSet<String>>>>;

/// Sends each write once, without retries; a third of them in transactions of two requests and a
/// third for an account that exceeds its rate.
async fn send_writes(
    client: common::fleet::FleetClient,
    sender: usize,
    outcomes: ValuesByOutcome,
    stop_requested: Rc<Cell<bool>>,
) {
    let account = if sender.is_multiple_of(3) {
        "limited"
    } else {
        "account-1"
    };
    for number in 0.. {
        if stop_requested.get() {
            return;
        }
        let value = format!("once-{sender}-{number}");
        let instance = (sender + number) % 3;
        let request = if sender % 3 == 1 {
            let begin = CallerRequest::open(&["BEGIN IMMEDIATE"]);
            let Ok(begun) = client.try_send(instance, &begin).await else {
                continue;
            };
            if !begun.is_ok() {
                continue;
            }
            let request = CallerRequest::new(&[&insert_sql(&value), "COMMIT"]);
            request.baton(&begun.baton())
        } else {
            CallerRequest::insert(&value)
                .class("quick")
                .account(account)
        };
        let outcome = match client.try_send(instance, &request).await {
            Ok(reply) if reply.is_ok() => "ok".to_owned(),
            // A statement error, such as a lock that another transaction holds, is a result.
            Ok(reply) if reply.status == 200 => "statement error".to_owned(),
            Ok(reply) => reply.outcome().to_owned(),
            Err(_) => "no response".to_owned(),
        };
        outcomes
            .borrow_mut()
            .entry(outcome)
            .or_default()
            .insert(value);
        sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against "not run" for a write that was executed: after lost responses, a change of
/// primary, a killed instance, an exceeded rate and an expired deadline.
#[ntex::test]
async fn refused_requests_were_not_executed() {
    let mut fleet = Fleet::start().await;
    let outcomes = ValuesByOutcome::default();
    let stop_requested = Rc::new(Cell::new(false));
    let start = |sender| {
        let task = send_writes(
            fleet.client.clone(),
            sender,
            outcomes.clone(),
            stop_requested.clone(),
        );
        ntex::rt::spawn(task)
    };
    let tasks: Vec<_> = (0..SENDERS).map(start).collect();
    let drops = FaultUpdate {
        drop_count: Some(25),
        ..FaultUpdate::default()
    };
    sleep(PHASE_DURATION).await;
    let primary = fleet.primary().await;
    let (old, process) = (primary.name, primary.process_name.clone());
    primary.client.set_faults(&drops).await.unwrap();
    sleep(PHASE_DURATION).await;
    fleet.run.group.kill(&process).unwrap();
    fleet.wait_for_other_primary(old).await;
    sleep(PHASE_DURATION).await;
    fleet.run.group.restart(&process).unwrap();
    sleep(PHASE_DURATION).await;
    let primary = fleet.primary().await;
    let (old, process) = (primary.name, primary.process_name.clone());
    primary.client.set_faults(&drops).await.unwrap();
    fleet.run.group.pause(&process).unwrap();
    fleet.wait_for_other_primary(old).await;
    fleet.run.group.resume(&process).unwrap();
    let gateway = fleet.gateway().await;
    let name = fleet.run.instances[gateway].name.clone();
    fleet.run.group.kill(&name).unwrap();
    sleep(PHASE_DURATION).await;
    fleet.run.group.restart(&name).unwrap();
    fleet.run.wait_until_ready().await.unwrap();
    stop_requested.set(true);
    for task in tasks {
        task.await.unwrap();
    }
    // A write succeeds only after every open transaction has ended.
    fleet
        .send_until_ok(0, &CallerRequest::insert("last").request_id("last"))
        .await;
    let stored = fleet.stored_values().await;
    let unique: BTreeSet<_> = stored.iter().cloned().collect();
    assert_eq!(unique.len(), stored.len(), "a value was stored twice");
    let outcomes = outcomes.borrow();
    for (outcome, values) in outcomes.iter() {
        let present = values.intersection(&unique).count();
        println!("{outcome}: {} values, {present} stored", values.len());
    }
    let not_run = &outcomes["not_run"];
    let executed: Vec<_> = not_run.intersection(&unique).collect();
    assert!(executed.is_empty(), "not run but stored: {executed:?}");
    let lost: Vec<_> = outcomes["ok"].difference(&unique).collect();
    assert!(lost.is_empty(), "acknowledged but lost: {lost:?}");
    assert!(not_run.len() > SENDERS, "too few refusals for this check");
}
