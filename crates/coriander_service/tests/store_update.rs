//! Updates of the store between instances.

mod support;

use std::time::Duration;

use coriander_service::{
    BootClock, InstanceUpdate, KnownSnapshot, MemberUpdate, SnapshotDigest, SnapshotHistory,
    StoreUpdate, StoreView,
};
use coriander_service_api::{ControlSnapshot, InstanceEntry, MemberRole, ReadFreshness};

use support::{config, member_entry, snapshot};

const INSTANCES: usize = 300;

fn large_snapshot() -> ControlSnapshot {
    let members = (b'a'..=b'z').map(|name| {
        let name = char::from(name).to_string();
        member_entry(&name, MemberRole::Replica)
    });
    let mut snapshot = snapshot(config(7, ReadFreshness::Newest), members.collect());
    let instance = |number: usize| InstanceEntry {
        id: format!("frontend-berrechid-{number}").into(),
        address: ([10, 1, 1, 1], 7560).into(),
        zone: "berrechid".into(),
        created: number as u64,
    };
    snapshot.instances = (0..INSTANCES).map(instance).collect();
    snapshot
}

fn encoded_size(update: &StoreUpdate) -> usize {
    postcard::to_stdvec(update).expect("encodes").len()
}

fn update_after(change: impl FnOnce(&mut ControlSnapshot)) -> (ControlSnapshot, StoreUpdate) {
    let known = large_snapshot();
    let mut newer = known.clone();
    newer.revision += 1;
    change(&mut newer);
    let digests = [SnapshotDigest::of(&known), SnapshotDigest::of(&newer)];
    let mut history = SnapshotHistory::default();
    history.record(&digests[0], &known);
    history.record(&digests[1], &newer);
    let update = StoreUpdate::since(&digests[0], &history, &newer, &digests[1], Duration::ZERO);
    assert_eq!(update.clone().apply_to(&known).revision, newer.revision);
    let complete = update.clone().apply_to(&known);
    assert_eq!(SnapshotDigest::of(&complete), digests[1]);
    (newer, update)
}

#[test]
fn since_sends_a_few_bytes_while_members_only_renew_their_entries() {
    // Every instance requests updates from the store reader of its zone at short intervals. With
    // all entries in each update, the network link of the reader was saturated at 100 instances.
    let (_, update) = update_after(|snapshot| {
        for member in &mut snapshot.members {
            member.revision += 40;
        }
    });
    assert!(
        encoded_size(&update) < 32,
        "{} bytes",
        encoded_size(&update)
    );
}

#[test]
fn since_sends_the_part_that_has_changed() {
    let (_, update) = update_after(|snapshot| snapshot.evacuated_zones.push("berrechid".into()));
    assert!(update.other.is_some() && update.instances.is_none());
    let (_, update) = update_after(|snapshot| snapshot.members[3].draining = true);
    assert!(update.members.is_some() && update.other.is_none());
    let (_, update) = update_after(|snapshot| {
        snapshot.instances.remove(0);
        snapshot.instances[7].created += 1;
    });
    let Some(InstanceUpdate::Delta { changed, removed }) = &update.instances else {
        panic!("expected a delta: {:?}", update.instances);
    };
    assert_eq!((changed.len(), removed.len()), (1, 1));
    assert!(
        encoded_size(&update) < 150,
        "{} bytes",
        encoded_size(&update)
    );
}

#[test]
fn since_sends_all_parts_for_an_empty_digest() {
    let snapshot = large_snapshot();
    let digest = SnapshotDigest::of(&snapshot);
    let history = SnapshotHistory::default();
    let update = StoreUpdate::since(
        &SnapshotDigest::default(),
        &history,
        &snapshot,
        &digest,
        Duration::ZERO,
    );
    let complete = update.apply_to(&ControlSnapshot::default());
    assert_eq!(SnapshotDigest::of(&complete), digest);
    assert_eq!(complete.members, snapshot.members);
}

#[test]
fn since_omits_a_large_configuration() {
    let mut large = config(8, ReadFreshness::Newest);
    large.document_bytes = 500_000;
    let known = SnapshotDigest::of(&large_snapshot());
    let newer = snapshot(large, Vec::new());
    let digest = SnapshotDigest::of(&newer);
    let history = SnapshotHistory::default();
    let update = StoreUpdate::since(&known, &history, &newer, &digest, Duration::ZERO);
    assert!(update.config.is_none());
    assert!(update.lacks_config(7));
    assert!(!update.lacks_config(8));
}

#[test]
fn since_omits_a_configuration_with_many_keys() {
    // A configuration of 300 keys passes, one of 3,000 would saturate the link of its source.
    for (keys, is_sent) in [(300, true), (3_000, false)] {
        let mut large = config(8, ReadFreshness::Newest);
        large.document_bytes = 256 << 10;
        let account = large.keys.values().next().expect("a key").clone();
        let names = (0..keys).map(|number| format!("key-{number}").into());
        large.keys = names.map(|name| (name, account.clone())).collect();
        let newer = snapshot(large, Vec::new());
        let digest = SnapshotDigest::of(&newer);
        let mut history = SnapshotHistory::default();
        history.record(&digest, &newer);
        let known = SnapshotDigest::default();
        let update = StoreUpdate::since(&known, &history, &newer, &digest, Duration::ZERO);
        assert_eq!(update.config.is_some(), is_sent, "{keys} keys");
        assert!(encoded_size(&update) < 33 << 10, "{keys} keys");
    }
}

#[test]
fn since_sends_a_change_of_one_member_as_a_change() {
    // All members in each update, about 10 kB at 100 members, saturated the link of a store reader
    // whenever one member changed its role or was drained.
    let (newer, update) = update_after(|snapshot| {
        for member in &mut snapshot.members {
            member.revision += 40;
        }
        snapshot.members[3].draining = true;
        snapshot.members.remove(7);
    });
    let Some(MemberUpdate::Delta { changed, removed }) = &update.members else {
        panic!("expected a delta: {:?}", update.members);
    };
    assert_eq!((changed.len(), removed.len()), (1, 1));
    assert!(encoded_size(&update) < 150, "{}", encoded_size(&update));
    let complete = update.apply_to(&large_snapshot());
    assert_eq!(complete.members[3], newer.members[3]);
}

#[test]
fn is_unchanged_only_without_any_part() {
    // Guards against a request that is held although the requesting instance lacks a change.
    let (_, update) = update_after(|_| {});
    assert!(update.is_unchanged(7) && !update.is_unchanged(6));
    let (_, update) = update_after(|snapshot| snapshot.members[3].draining = true);
    assert!(!update.is_unchanged(7));
    let (_, update) = update_after(|snapshot| snapshot.evacuated_zones.push("berrechid".into()));
    assert!(!update.is_unchanged(7));
}

#[test]
fn update_since_sends_no_list_to_an_instance_with_a_newer_snapshot() {
    // An instance that has read the store itself got all lists of its source about six times a
    // second, and ignored them, until the source had caught up.
    for instances in [30, 300, 2_100] {
        let mut snapshot = large_snapshot();
        let entry = snapshot.instances[0].clone();
        snapshot.instances = vec![entry; instances];
        let view = StoreView::default();
        view.record(&snapshot, BootClock.now());
        let own = view.known();
        let mut ahead = own;
        ahead.revision += 1;
        ahead.digest = SnapshotDigest::default();
        assert!(ahead.waits_for(&own), "is held");
        let update = view.update_since(&ahead, BootClock.now());
        assert!(update.age.is_some() && update.revision < ahead.revision);
        assert!(encoded_size(&update) < 32, "{instances} instances");
        // One that lacks parts, of the same or of an older snapshot, gets them at once.
        let behind = KnownSnapshot::default();
        assert!(!behind.waits_for(&own));
        assert!(
            view.update_since(&behind, BootClock.now())
                .instances
                .is_some()
        );
    }
}
