//! G14: configuration changes that conflict, lose responses or coincide with a platform outage.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use std::time::Duration;

use common::fleet::{CallerRequest, FLEET_TIMEOUT, Fleet, insert_sql};
use coriander_config::{ChangeCommand, ChangeRequest, ChangeResult};
use coriander_core::{AccountLimits, ConfigVersion};
use coriander_standin::platform::PlatformUpdate;
use coriander_standin::process::{HttpClient, wait_until};
use ntex::http::Method;
use tokio::time::sleep;

/// Longer than the freshness period of 2 s, after which an unconfirmed instance stops serving.
const CONFIG_EXPIRY: Duration = Duration::from_secs(4);

fn set_rate(account: &str, rate: u32) -> ChangeCommand {
    ChangeCommand::SetAccount {
        account: account.parse().unwrap(),
        limits: AccountLimits { rate, burst: rate },
    }
}

/// Requests a change from an instance, based on the configuration version that the operator read.
async fn change(
    fleet: &Fleet,
    instance: usize,
    (author, expected): (&str, ConfigVersion),
    change: ChangeCommand,
) -> ChangeResult {
    let request = ChangeRequest {
        change_id: format!("change-of-{author}-{:08x}", rand::random::<u32>()),
        author: author.to_owned(),
        expected,
        change,
    };
    let url = format!(
        "http://{}/admin/change",
        fleet.run.instances[instance].admin
    );
    let headers = [("content-type", "application/json")];
    let body = serde_json::to_vec(&request).unwrap();
    // Longer than the timeout of an instance for a change.
    let client = HttpClient::create(Duration::from_secs(20)).await;
    let reply = client.send(Method::POST, &url, &headers, body).await;
    reply.unwrap().json().unwrap()
}

async fn version(fleet: &Fleet, instance: usize) -> ConfigVersion {
    fleet
        .run
        .admin(instance)
        .config()
        .await
        .unwrap()
        .document
        .version
}

async fn rate_of(fleet: &Fleet, instance: usize, account: &str) -> u32 {
    let document = fleet.run.admin(instance).config().await.unwrap().document;
    document.accounts[&account.parse().unwrap()].rate
}

/// Waits until all instances have applied a rate.
async fn wait_for_rate(fleet: &Fleet, account: &str, rate: u32) {
    let in_force = async || {
        for instance in 0..3 {
            if rate_of(fleet, instance, account).await != rate {
                return false;
            }
        }
        true
    };
    wait_until("the change on all instances", FLEET_TIMEOUT, in_force)
        .await
        .unwrap();
}

fn platform_down(down: bool) -> PlatformUpdate {
    PlatformUpdate {
        down: Some(down),
        ..PlatformUpdate::default()
    }
}

async fn write(fleet: &Fleet, instance: usize, value: &str) {
    let request = CallerRequest::insert(value).request_id(value);
    fleet.send_until_ok(instance, &request).await;
}

/// Guards against concurrent changes that are both accepted or both refused, a change that silently
/// overwrites another one, and a conflict that does not name the author of the accepted change.
#[ntex::test]
async fn concurrent_changes_have_one_winner() {
    let fleet = Fleet::start().await;
    for round in 0..5 {
        let seen = version(&fleet, 0).await;
        let same = async || version(&fleet, 1).await == seen;
        wait_until("the same version on both instances", FLEET_TIMEOUT, same)
            .await
            .unwrap();
        let rates = [4_000 + round, 5_000 + round];
        let (first, second) = ntex::util::join(
            change(&fleet, 0, ("first", seen), set_rate("account-1", rates[0])),
            change(&fleet, 1, ("second", seen), set_rate("account-1", rates[1])),
        )
        .await;
        let (won, lost, name, rate) = match (first, second) {
            (won @ ChangeResult::Accepted { .. }, lost) => (won, lost, "first", rates[0]),
            (lost, won) => (won, lost, "second", rates[1]),
        };
        let ChangeResult::Accepted { version } = won else {
            panic!("no winner: {won:?} and {lost:?}");
        };
        assert_eq!(version, seen.next());
        let ChangeResult::Conflict {
            winner,
            winner_version,
            ..
        } = lost
        else {
            panic!("no conflict: {lost:?}");
        };
        assert_eq!((winner.as_str(), winner_version), (name, version));
        wait_for_rate(&fleet, "account-1", rate).await;
    }
}

/// Guards against a change that is lost, reported wrongly or made twice because the platform's
/// response to its write was lost.
#[ntex::test]
async fn lost_response_of_the_platform_is_resolved() {
    let fleet = Fleet::start().await;
    for lost in 1..=3 {
        let seen = version(&fleet, 0).await;
        let faults = PlatformUpdate {
            lose_writes: Some(lost),
            ..PlatformUpdate::default()
        };
        fleet.platform_faults(faults).await;
        let rate = 3_000 + u32::try_from(lost).unwrap();
        let result = change(&fleet, 0, ("operator", seen), set_rate("account-2", rate)).await;
        let accepted = ChangeResult::Accepted {
            version: seen.next(),
        };
        assert_eq!(result, accepted, "{lost} responses lost");
        wait_for_rate(&fleet, "account-2", rate).await;
        assert_eq!(
            version(&fleet, 0).await,
            seen.next(),
            "the change was made twice"
        );
    }
}

/// Guards against an outage of the platform that stops service, and against a change that is
/// reported as accepted although it was not recorded.
#[ntex::test]
async fn service_goes_on_without_platform() {
    let mut fleet = Fleet::start().await;
    let seen = version(&fleet, 0).await;
    fleet.platform_faults(platform_down(true)).await;
    for round in 0..4 {
        sleep(CONFIG_EXPIRY / 4).await;
        for instance in 0..3 {
            write(&fleet, instance, &format!("down-{round}-{instance}")).await;
        }
    }
    let result = change(&fleet, 0, ("operator", seen), set_rate("account-1", 77)).await;
    let is_recorded = matches!(
        result,
        ChangeResult::Accepted { .. } | ChangeResult::Unconfirmed { .. }
    );
    assert!(!is_recorded, "{result:?}");
    assert_ne!(rate_of(&fleet, 0, "account-1").await, 77);
    // A change of primary does not need the platform.
    let (old, process) = {
        let primary = fleet.primary().await;
        (primary.name, primary.process_name.clone())
    };
    fleet.run.group.kill(&process).unwrap();
    fleet.wait_for_other_primary(old).await;
    write(&fleet, 1, "promoted").await;
    fleet.run.group.restart(&process).unwrap();
    fleet.platform_faults(platform_down(false)).await;
    fleet
        .run
        .admin(1)
        .change(&set_rate("account-1", 78))
        .await
        .unwrap();
    wait_for_rate(&fleet, "account-1", 78).await;
}

/// Guards against an instance that restarts while the platform is down and serves without a
/// configuration or with an older one, or does not serve until the platform returns.
#[ntex::test]
async fn instance_restarts_without_platform() {
    let mut fleet = Fleet::start().await;
    fleet
        .run
        .admin(0)
        .change(&set_rate("account-1", 1_234))
        .await
        .unwrap();
    wait_for_rate(&fleet, "account-1", 1_234).await;
    let seen = version(&fleet, 0).await;
    fleet.platform_faults(platform_down(true)).await;
    let name = fleet.run.instances[2].name.clone();
    fleet.run.group.kill(&name).unwrap();
    write(&fleet, 0, "killed").await;
    fleet.run.group.restart(&name).unwrap();
    let health_url = format!("http://{}/health", fleet.run.instances[2].callers);
    fleet.run.group.wait_for_url(&health_url).await.unwrap();
    let reply = fleet.send(2, &CallerRequest::new(&["SELECT 1"])).await;
    if reply.is_ok() {
        assert!(version(&fleet, 2).await >= seen);
    } else {
        assert_eq!(reply.outcome(), "not_run", "{reply:?}");
    }
    fleet.run.wait_until_ready().await.unwrap();
    assert!(version(&fleet, 2).await >= seen);
    write(&fleet, 2, "restarted").await;
    fleet.platform_faults(platform_down(false)).await;
    fleet
        .run
        .admin(2)
        .change(&set_rate("account-1", 1_235))
        .await
        .unwrap();
    wait_for_rate(&fleet, "account-1", 1_235).await;
}

/// Guards against an instance that is paused while a change is accepted and serves under the old
/// version after it resumes: requests with the withdrawn key already wait in its sockets.
#[ntex::test]
async fn paused_instance_does_not_serve_under_the_old_version() {
    let mut fleet = Fleet::start().await;
    let gateway = fleet.gateway().await;
    let others = [(gateway + 1) % 3, (gateway + 2) % 3];
    for paused in [others[0], gateway] {
        let account = if paused == gateway {
            "account-2"
        } else {
            "limited"
        };
        fleet
            .send_until_ok(paused, &CallerRequest::new(&["SELECT 1"]).account(account))
            .await;
        // An earlier pause may have changed the fleet. Once a change has been accepted after that,
        // the next one needs only a majority of the current fleet.
        let settle = set_rate("account-1", 1_000 + u32::try_from(paused).unwrap());
        fleet.run.admin(others[1]).change(&settle).await.unwrap();
        let name = fleet.run.instances[paused].name.clone();
        fleet.run.group.pause(&name).unwrap();
        let key_id = format!("key-{account}");
        let withdraw = ChangeCommand::WithdrawKey { key_id };
        let seen = version(&fleet, others[1]).await;
        let result = change(&fleet, others[1], ("operator", seen), withdraw).await;
        // Two of three instances are a majority.
        assert!(
            matches!(result, ChangeResult::Accepted { .. }),
            "{result:?}"
        );
        let start = |number: usize| {
            let client = fleet.client.clone();
            let sql = insert_sql(&format!("stale-{paused}-{number}"));
            let request = CallerRequest::new(&[&sql]).account(account);
            ntex::rt::spawn(async move { client.try_send(paused, &request).await })
        };
        let tasks: Vec<_> = (0..10).map(start).collect();
        sleep(CONFIG_EXPIRY).await;
        fleet.run.group.resume(&name).unwrap();
        for task in tasks {
            if let Ok(reply) = task.await.unwrap() {
                assert!(!reply.is_ok(), "{reply:?}");
                assert_eq!(reply.outcome(), "not_run", "{reply:?}");
            }
        }
        fleet.run.wait_until_ready().await.unwrap();
        let refused = fleet
            .send(paused, &CallerRequest::new(&["SELECT 1"]).account(account))
            .await;
        refused.expect_refused("UNAUTHORIZED");
    }
    write(&fleet, others[1], "after").await;
    assert_eq!(fleet.stored_values().await, ["after"]);
}
