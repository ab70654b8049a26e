//! G8 and G12: zones out of service and leaving members receive no new requests.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use std::time::Duration;

use common::fleet::{CallerRequest, FLEET_TIMEOUT, Fleet};
use coriander_config::ChangeCommand;
use coriander_standin::process::{RunMember, wait_until};
use tokio::time::sleep;

/// Time after which a zone out of service or a leaving member receives no new requests.
const REROUTE_DELAY: Duration = Duration::from_secs(5);

/// Returns whether a member has received a request that contains a text.
async fn has_received(member: &RunMember, text: &str) -> bool {
    let received = member.client.received().await.unwrap();
    received.iter().any(|request| request.body.contains(text))
}

/// Writes and reads with a marker through the given instances.
async fn write_and_read(fleet: &Fleet, instances: &[usize], marker: &str) {
    for round in 0..10 {
        for &instance in instances {
            let value = format!("{marker}-{instance}-{round}");
            let write = CallerRequest::insert(&value).request_id(&value);
            let session = fleet.send_until_ok(instance, &write).await.session;
            let sql = format!("SELECT '{marker}', count(*) FROM items");
            let read = CallerRequest::new(&[&sql])
                .class("tracking")
                .session(&session);
            fleet.send_until_ok(instance, &read).await;
        }
    }
}

/// Guards against a zone out of service that keeps the primary, replica reads, gateways or callers,
/// and against one that does not return to service.
#[ntex::test]
async fn zone_out_of_service_receives_no_requests_until_it_returns() {
    let fleet = Fleet::start().await;
    write_and_read(&fleet, &[0, 1, 2], "before").await;
    let primary = fleet.primary().await;
    let (old, zone) = (primary.name, primary.zone);
    let zone_name = || zone.parse().unwrap();
    let is_in_zone = |index: &usize| fleet.run.instances[*index].zone == zone;
    let zone_instance = (0..3).find(is_in_zone).unwrap();
    let others: Vec<_> = (0..3).filter(|index| !is_in_zone(index)).collect();
    let zone_out = ChangeCommand::ZoneOut { zone: zone_name() };
    fleet.run.admin(others[0]).change(&zone_out).await.unwrap();
    fleet.wait_until_not_ready(zone_instance).await;
    // Requests succeed while the zone is taken out of service.
    write_and_read(&fleet, &others, "during").await;
    fleet.wait_for_other_primary(old).await;
    sleep(REROUTE_DELAY).await;
    assert_ne!(fleet.gateway().await, zone_instance);
    write_and_read(&fleet, &others, "zone-is-out").await;
    let refused = fleet
        .send(zone_instance, &CallerRequest::new(&["SELECT 'refused'"]))
        .await;
    refused.expect_refused("DRAINING");
    for member in &fleet.run.members {
        let received = has_received(member, "zone-is-out").await;
        if member.zone == zone {
            assert!(!received, "{} received a request", member.name);
        }
        assert!(!has_received(member, "refused").await);
    }
    assert_ne!(fleet.primary().await.zone, zone);

    let zone_in = ChangeCommand::ZoneIn { zone: zone_name() };
    fleet.run.admin(others[0]).change(&zone_in).await.unwrap();
    fleet.run.wait_until_ready().await.unwrap();
    let member = fleet.run.members.iter().find(|member| member.zone == zone);
    let member = member.unwrap();
    // Without the other replica, only the returned member can serve replica reads.
    for replica in fleet.replicas().await {
        if replica.name != member.name {
            fleet.run.register_member(replica, "leaving").await.unwrap();
        }
    }
    let returned = async || {
        write_and_read(&fleet, &[zone_instance], "zone-is-back").await;
        has_received(member, "'zone-is-back'").await
    };
    wait_until("a request to the returned zone", FLEET_TIMEOUT, returned)
        .await
        .unwrap();
}

/// Guards against a leaving primary that keeps its role and against a leaving replica that still
/// serves reads.
#[ntex::test]
async fn leaving_members_receive_no_requests() {
    let fleet = Fleet::start().await;
    write_and_read(&fleet, &[0, 1, 2], "before").await;
    let first = fleet.primary().await;
    fleet.run.register_member(first, "leaving").await.unwrap();
    write_and_read(&fleet, &[0, 1, 2], "during").await;
    fleet.wait_for_other_primary(first.name).await;
    sleep(REROUTE_DELAY).await;
    write_and_read(&fleet, &[0, 1, 2], "primary-left").await;
    assert!(!has_received(first, "primary-left").await);

    fleet.run.register_member(first, "live").await.unwrap();
    let replicas = fleet.replicas().await;
    let second = replicas.iter().find(|replica| replica.name != first.name);
    let second = second.unwrap();
    fleet.run.register_member(second, "leaving").await.unwrap();
    sleep(REROUTE_DELAY).await;
    write_and_read(&fleet, &[0, 1, 2], "replica-left").await;
    assert!(!has_received(second, "replica-left").await);
    assert_ne!(fleet.primary().await.name, second.name);
}
