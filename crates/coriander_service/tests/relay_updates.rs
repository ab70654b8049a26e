//! Contents of the store that instances send each other, over real sockets.

mod support;

use std::sync::Arc;
use std::time::Duration;

use coriander_service::{BootClock, KnownSnapshot, run_store_sync};
use coriander_service_api::{ControlSnapshot, FleetContacts, ReadFreshness};

use support::fake_store::FakeStore;
use support::relay_instance::{RelayInstance, fleet_snapshot, usage_reports};
use support::{FakeGroup, config};

#[ntex::test]
async fn store_reader_is_one_instance_of_the_zone() {
    let group = FakeGroup::new(&["a"]);
    let first = RelayInstance::start("first", "berrechid", usage_reports(), &group).await;
    let second = RelayInstance::start("second", "berrechid", usage_reports(), &group).await;
    let entries = vec![first.entry.clone(), second.entry.clone()];
    let snapshot = fleet_snapshot(&group, entries);
    for instance in [&first, &second] {
        instance.service.apply_snapshot(&snapshot, BootClock.now());
    }
    tokio::time::sleep(Duration::from_millis(20)).await;
    let readers = [
        first.service.update_sources(false, 0),
        second.service.update_sources(false, 0),
    ];
    let updated = readers.iter().filter(|readers| !readers.is_empty()).count();
    assert_eq!(
        updated, 1,
        "one reads the store, the other requests updates: {readers:?}"
    );
    // The store may turn away the first reader alone, which then needs the others.
    for instance in [&first, &second] {
        assert_eq!(instance.service.update_sources(true, 0).len(), 1);
    }
}

#[ntex::test]
async fn config_delta_is_sent_to_an_instance_of_an_older_version() {
    let group = FakeGroup::new(&["a"]);
    let (remote, home_instance) = RelayInstance::start_two(&group).await;
    let mut newer = fleet_snapshot(&group, vec![remote.entry.clone()]);
    newer.config = Some(config(4, ReadFreshness::Newest).into());
    newer.revision += 1;
    let reader = &remote.service;
    reader.apply_snapshot(&newer, BootClock.now());
    let relay = &home_instance.service.relay;
    let delta = relay.request_config_delta(remote.entry.address, 1).await;
    let known = config(1, ReadFreshness::Newest);
    let version = delta.and_then(|delta| delta.apply_to(&known));
    assert_eq!(version.map(|config| config.version), Some(4));
    let delta = relay.request_config_delta(remote.entry.address, 2).await;
    assert!(delta.is_none(), "version 2 was never known");
}

#[ntex::test]
async fn store_update_omits_known_parts() {
    let group = FakeGroup::new(&["a"]);
    let (remote, _home) = RelayInstance::start_two(&group).await;
    let known = remote.service.store_view.known();
    let update = remote
        .service
        .store_view
        .update_since(&known, BootClock.now());
    assert!(update.age.is_some());
    assert!(update.config.is_none() && update.members.is_none());
    assert!(update.instances.is_none() && update.other.is_none());
    let update = remote
        .service
        .store_view
        .update_since(&KnownSnapshot::default(), BootClock.now());
    assert!(update.config.is_some() && update.members.is_some());
}

#[ntex::test]
async fn held_update_is_sent_when_a_snapshot_is_applied() {
    // A request that is answered at once tells a change only with the next request, so that each
    // level of the tree would add the interval between two of them.
    let group = FakeGroup::new(&["a"]);
    let (remote, home) = RelayInstance::start_two(&group).await;
    let known = remote.service.store_view.known();
    let hold = Duration::from_millis(600);
    let mut newer = (*remote.service.store_view.snapshot().expect("applied")).clone();
    newer.revision += 1;
    newer.evacuated_zones.push("berrechid".into());
    let service = remote.service.clone();
    ntex::rt::spawn(async move {
        tokio::time::sleep(Duration::from_millis(60)).await;
        service.apply_snapshot(&newer, BootClock.now());
    });
    let relay = &home.service.relay;
    let request = relay.request_update(remote.entry.address, known, hold);
    let reply = request.await.expect("replies");
    assert!(reply.update.other.is_some(), "{reply:?}");
    assert!(reply.held >= Duration::from_millis(40), "{:?}", reply.held);
    assert!(reply.held < hold, "{:?}", reply.held);
    // The sender lacks a part now, so the next request is not held.
    let request = relay.request_update(remote.entry.address, known, hold);
    let reply = request.await.expect("replies");
    assert!(reply.held < Duration::from_millis(40), "{:?}", reply.held);
}

#[ntex::test]
async fn held_update_without_news_has_the_age_of_its_reply() {
    // The sender takes the held time off the age; an age from before the hold would let it believe
    // that the store was read later than it was.
    let group = FakeGroup::new(&["a"]);
    let (remote, home) = RelayInstance::start_two(&group).await;
    let known = remote.service.store_view.known();
    let hold = Duration::from_millis(120);
    let relay = &home.service.relay;
    let request = relay.request_update(remote.entry.address, known, hold);
    let reply = request.await.expect("replies");
    assert!(reply.update.is_unchanged(known.digest.config_version));
    assert!(
        reply.held >= hold && reply.update.age >= Some(reply.held),
        "{reply:?}"
    );
}

#[ntex::test]
async fn held_update_counts_age_and_hold_at_one_moment() {
    // A source that is paused between two reads of its clock made its read look younger, at each
    // level of the tree, so that withdrawn keys were accepted for longer.
    let group = FakeGroup::new(&["a"]);
    let (remote, _home) = RelayInstance::start_two(&group).await;
    let known = remote.service.store_view.known();
    let arrived_at = BootClock.now();
    let made_at = arrived_at + Duration::from_millis(400);
    let update = remote.service.held_update(&known, arrived_at, made_at);
    let true_read = made_at.saturating_sub(update.update.age.expect("has read the store"));
    for delay in [0, 5, 250].map(Duration::from_millis) {
        // The request takes `delay`, the reply arrives at once.
        let sent_at = arrived_at.saturating_sub(delay);
        let read_at = update.read_time(sent_at, made_at).expect("has an age");
        assert!(
            read_at <= true_read,
            "{read_at:?} is later than {true_read:?}"
        );
    }
    // A hold longer than the whole exchange is limited by it.
    let received_at = arrived_at + Duration::from_millis(100);
    let limited = update
        .read_time(arrived_at, received_at)
        .expect("has an age");
    assert!(limited < true_read);
}

#[ntex::test]
async fn confirmed_snapshot_without_leases_frees_both_duties() {
    // A lease that ended before any snapshot contained it changes no content, so the duty counted as
    // held until something else changed.
    let group = FakeGroup::new(&["a"]);
    let (remote, _home) = RelayInstance::start_two(&group).await;
    let service = &remote.service;
    service.promotion_duty.record_acquired(5);
    service.promotion_duty.release();
    service.usage_duty.record_acquired(6);
    service.usage_duty.release();
    assert!(!service.promotion_duty.is_free() && !service.usage_duty.is_free());
    let snapshot = service.store_view.snapshot().expect("has read the store");
    service.confirm_snapshot(snapshot.revision + 1, BootClock.now());
    assert!(service.promotion_duty.is_free() && service.usage_duty.is_free());
}

#[ntex::test]
async fn starting_instance_gets_a_snapshot_from_another() {
    // A fleet that starts together transferred its document, 256 KB, once for each instance, and
    // again after each kill, although the service uses a small part of it.
    let group = FakeGroup::new(&["a"]);
    let (remote, _home) = RelayInstance::start_two(&group).await;
    let mut newer = (*remote.service.store_view.snapshot().expect("applied")).clone();
    let mut large = config(2, ReadFreshness::Newest);
    large.document_bytes = 256 << 10;
    newer.config = Some(Arc::new(large));
    newer.revision += 1;
    remote.service.apply_snapshot(&newer, BootClock.now());
    let starting = RelayInstance::start("new", "ain-sebaa", usage_reports(), &group).await;
    let contacts = FleetContacts {
        fleet_secret: newer.fleet_secret.clone(),
        instances: vec![remote.entry.clone()],
    };
    starting.service.apply_contacts(&contacts);
    let sources = starting.service.update_sources(true, 0);
    assert!(sources.contains(&remote.entry.address), "{sources:?}");
    let relay = &starting.service.relay;
    let hold = Duration::from_millis(300);
    let request = relay.request_update(remote.entry.address, KnownSnapshot::default(), hold);
    let reply = request.await.expect("replies");
    assert!(reply.held < hold, "{:?}", reply.held);
    assert!(!reply.update.lacks_config(0), "{reply:?}");
    let snapshot = reply.update.apply_to(&ControlSnapshot::default());
    assert_eq!(snapshot.instances, newer.instances);
    // Contacts without a secret, as before the first start, leave an instance on its own.
    let alone = RelayInstance::start("alone", "ain-sebaa", usage_reports(), &group).await;
    let contacts = FleetContacts {
        fleet_secret: None,
        ..contacts
    };
    alone.service.apply_contacts(&contacts);
    assert!(alone.service.update_sources(true, 0).is_empty());
    assert!(alone.service.update_tree().is_reader());
}

#[ntex::test]
async fn starting_instance_reads_its_contacts_again() {
    // An instance whose first read of the contacts failed had no way to ask others while it could
    // not read the whole store either.
    let group = FakeGroup::new(&["a"]);
    let starting = RelayInstance::start("new", "ain-sebaa", usage_reports(), &group).await;
    let store = FakeStore::new(1);
    store.failing_contacts.set(1);
    ntex::rt::spawn(run_store_sync(starting.service.clone(), store));
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(starting.service.fleet_key.borrow().is_none());
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    assert!(starting.service.fleet_key.borrow().is_some());
}
