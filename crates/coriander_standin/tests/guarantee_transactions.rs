//! G3, G4 and G9: transactions by baton, forged and repeated tokens, late responses.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::fleet::{CallerRequest, Fleet, insert_sql};
use coriander_standin::member::FaultUpdate;

const SELECT_ALL: &str = "SELECT value FROM items ORDER BY id";

/// Replaces one character in the middle of a token.
fn forge(text: &str) -> String {
    let middle = text.len() / 2;
    let other = if &text[middle..=middle] == "A" {
        "B"
    } else {
        "A"
    };
    format!("{}{other}{}", &text[..middle], &text[middle + 1..])
}

/// Guards against transactions that work only on the instance that opened them, and against batons
/// that are used by another account, used twice or modified: these must be refused as not run and
/// must not change the transaction.
#[ntex::test]
async fn transaction_moves_between_instances_by_baton() {
    let fleet = Fleet::start().await;
    let opened = fleet
        .send(0, &CallerRequest::open(&["BEGIN"]))
        .await
        .expect_ok();
    let first = opened.baton();
    let insert = CallerRequest::open(&[&insert_sql("one")]);
    let second = fleet.send(1, &insert.clone().baton(&first)).await;
    let second = second.expect_ok().baton();
    for instance in 0..3 {
        let stolen = insert.clone().account("account-2").baton(&second);
        fleet
            .send(instance, &stolen)
            .await
            .expect_refused("BAD_BATON");
        let repeated = insert.clone().baton(&first);
        fleet
            .send(instance, &repeated)
            .await
            .expect_refused("BAD_BATON");
        let forged = insert.clone().baton(&forge(&second));
        fleet
            .send(instance, &forged)
            .await
            .expect_refused("BAD_BATON");
        let malformed = insert.clone().baton("garbage");
        fleet
            .send(instance, &malformed)
            .await
            .expect_refused("BAD_BATON");
    }
    // The stand-in's database blocks reads while a transaction writes, so its log is checked.
    let log = fleet.primary().await.client.log_entries().await.unwrap();
    assert!(!format!("{log:?}").contains("'one'"), "not committed");
    let third = fleet
        .send(2, &CallerRequest::open(&[SELECT_ALL]).baton(&second))
        .await;
    let third = third.expect_ok();
    assert_eq!(third.values(0), ["one"]);
    let commit = CallerRequest::new(&["COMMIT"]).baton(&third.baton());
    fleet.send(0, &commit).await.expect_ok();
    assert_eq!(fleet.stored_values().await, ["one"]);
    // The COMMIT took effect, so its repetition must not be reported as not run.
    let ended = fleet.send(1, &commit).await;
    ended.expect_unknown("TRANSACTION_LOST");
}

/// Guards against accepting modified session tokens and those of another account.
#[ntex::test]
async fn session_tokens_are_checked() {
    let fleet = Fleet::start().await;
    let written = fleet
        .send(0, &CallerRequest::insert("one").request_id("one"))
        .await
        .expect_ok();
    let read = CallerRequest::new(&[SELECT_ALL]);
    for instance in 0..3 {
        let forged = read.clone().session(&forge(&written.session));
        fleet
            .send(instance, &forged)
            .await
            .expect_refused("BAD_SESSION");
        let stolen = read.clone().account("account-2").session(&written.session);
        fleet
            .send(instance, &stolen)
            .await
            .expect_refused("BAD_SESSION");
        let cut = read
            .clone()
            .session(&written.session[..written.session.len() - 4]);
        fleet
            .send(instance, &cut)
            .await
            .expect_refused("BAD_SESSION");
        let unknown = read.clone().key("no-such-key");
        fleet
            .send(instance, &unknown)
            .await
            .expect_refused("UNAUTHORIZED");
    }
}

/// Guards against statements of two open transactions on one stream: each must see only its own
/// changes, whichever instance its requests pass through.
#[ntex::test]
async fn transactions_do_not_mix() {
    let fleet = Fleet::start().await;
    let count = "SELECT count(*) FROM items";
    let mut readers = Vec::new();
    for instance in 0..3 {
        let opened = fleet
            .send(instance, &CallerRequest::open(&["BEGIN", count]))
            .await;
        readers.push(opened.expect_ok().baton());
    }
    let begin =
        CallerRequest::open(&["BEGIN IMMEDIATE", &insert_sql("writer")]).account("account-2");
    let mut writer = fleet.send(0, &begin).await.expect_ok().baton();
    for round in 0..3 {
        let value = format!("writer-{round}");
        let request = CallerRequest::open(&[&insert_sql(&value), count]).account("account-2");
        let reply = fleet.send(round, &request.baton(&writer)).await.expect_ok();
        assert_eq!(reply.values(1), [(round + 2).to_string()]);
        writer = reply.baton();
        for (index, reader) in readers.iter_mut().enumerate() {
            let request = CallerRequest::open(&[count]).baton(reader);
            let reply = fleet.send((index + round) % 3, &request).await.expect_ok();
            assert_eq!(reply.values(0), ["0"], "reader {index} in round {round}");
            *reader = reply.baton();
        }
    }
    for reader in &readers {
        let rollback = CallerRequest::new(&["ROLLBACK"]).baton(reader);
        fleet.send(1, &rollback).await.expect_ok();
    }
    let commit = CallerRequest::new(&["COMMIT"])
        .account("account-2")
        .baton(&writer);
    fleet.send(2, &commit).await.expect_ok();
    assert_eq!(fleet.stored_values().await.len(), 4);
}

/// Guards against transactions that stay open or are partially committed after their gateway has
/// crashed, and against callers that receive no error for them.
#[ntex::test]
async fn transaction_of_killed_instance_is_rolled_back() {
    let mut fleet = Fleet::start().await;
    let gateway = fleet.gateway().await;
    let others: Vec<usize> = (0..3).filter(|&index| index != gateway).collect();
    let begin = CallerRequest::open(&["BEGIN IMMEDIATE", &insert_sql("lost")]);
    let baton = fleet.send(others[0], &begin).await.expect_ok().baton();
    let name = fleet.run.instances[gateway].name.clone();
    fleet.run.group.kill(&name).unwrap();
    for &instance in &others {
        let commit = CallerRequest::new(&["COMMIT"]).baton(&baton);
        let reply = fleet.send(instance, &commit).await;
        assert_ne!(reply.status, 200, "{reply:?}");
        assert!(
            ["TRANSACTION_LOST", "OUTCOME_UNKNOWN"].contains(&reply.code()),
            "{reply:?}"
        );
    }
    let write = CallerRequest::insert("kept").request_id("kept");
    fleet.send_until_ok(others[0], &write).await;
    let read = CallerRequest::new(&[SELECT_ALL]);
    let stored = fleet.send_until_ok(others[1], &read).await.values(0);
    assert_eq!(stored, ["kept"]);
    fleet.run.group.restart(&name).unwrap();
    fleet.run.wait_until_ready().await.unwrap();
    let commit = CallerRequest::new(&["COMMIT"]).baton(&baton);
    fleet
        .send(gateway, &commit)
        .await
        .expect_unknown("TRANSACTION_LOST");
}

/// Guards against requests that are sent on the connection to a gateway that has just crashed and
/// then wait for a response until they time out: nothing was sent to a running process, so the
/// outcome must not be unknown, not even of a request that must not be repeated.
#[ntex::test]
async fn transaction_starts_after_gateway_crash() {
    let mut fleet = Fleet::start().await;
    let gateway = fleet.gateway().await;
    let other = (gateway + 1) % 3;
    let begin = CallerRequest::open(&["BEGIN"]);
    let opened = fleet.send(other, &begin).await.expect_ok();
    let rollback = CallerRequest::new(&["ROLLBACK"]).baton(&opened.baton());
    fleet.send(other, &rollback).await.expect_ok();
    let name = fleet.run.instances[gateway].name.clone();
    fleet.run.group.kill(&name).unwrap();
    let opened = fleet.send(other, &begin).await;
    assert_ne!(opened.outcome(), "unknown", "{opened:?}");
}

/// Guards against responses that reach another request when the member replies late and out of
/// order.
#[ntex::test]
async fn late_responses_reach_their_own_request() {
    let fleet = Fleet::start().await;
    for member in &fleet.run.members {
        let late = FaultUpdate {
            late_ms: Some(400),
            late_count: Some(15),
            ..FaultUpdate::default()
        };
        member.client.set_faults(&late).await.unwrap();
    }
    let send_one = |number: usize| {
        let client = fleet.client.clone();
        ntex::rt::spawn(async move {
            let text = format!("own-{number}");
            let class = if number.is_multiple_of(2) {
                "default"
            } else {
                "tracking"
            };
            let request = CallerRequest::new(&[&format!("SELECT '{text}'")]).class(class);
            let reply = client.send_until_ok(number % 3, &request).await;
            (text, reply.values(0))
        })
    };
    let tasks: Vec<_> = (0..120).map(send_one).collect();
    for task in tasks {
        let (expected, found) = task.await.unwrap();
        assert_eq!(found, [expected]);
    }
}
