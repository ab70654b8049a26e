//! Steps of one change: lost responses, conflicts, confirmations and fleets of earlier versions.

use std::collections::BTreeMap;
use std::rc::Rc;

use coriander_config::{
    AcceptanceTally, ChangeCommand, ChangeCoordinator, ChangeRequest, ChangeResult, ConfigRoot,
    ConfirmVersion, CoordinatorAction, Incarnation, RefusalReason, RootRead, VersionConfirmed,
    WriteResult, encode_changes,
};
use coriander_core::{ConfigDocument, ConfigVersion, FleetMember, InstanceId, MonotonicTime};

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn fleet(names: &[&str]) -> BTreeMap<InstanceId, FleetMember> {
    let member = FleetMember {
        zone: "z".parse().expect("valid name"),
        peer_address: "10.0.0.1:7000".parse().expect("valid address"),
        draining: false,
    };
    let entry = |name: &&str| (name.parse().expect("valid name"), member.clone());
    names.iter().map(entry).collect()
}

fn base(names: &[&str]) -> (Rc<ConfigRoot>, Rc<ConfigDocument>) {
    let document = ConfigDocument {
        version: ConfigVersion::new(1),
        author: "setup".into(),
        change_id: "c0".into(),
        fleet: fleet(names),
        ..ConfigDocument::default()
    };
    let (sections, _) = encode_changes(None, &document).expect("small sections");
    let root = ConfigRoot {
        version: document.version,
        author: document.author.clone(),
        change_id: document.change_id.clone(),
        fleet_version: document.fleet_version,
        fleets: vec![sections.fleet.clone()],
        sections,
        recent: vec![],
    };
    (Rc::new(root), Rc::new(document))
}

fn request() -> ChangeRequest {
    ChangeRequest {
        change_id: "c1".into(),
        author: "amina".into(),
        expected: ConfigVersion::new(1),
        change: ChangeCommand::AddDatabase {
            database: "orders".parse().expect("valid name"),
        },
    }
}

fn found(root: &Rc<ConfigRoot>, index: u64) -> RootRead {
    RootRead::Found {
        root: Rc::clone(root),
        index,
    }
}

fn reply(name: &str, incarnation: u64, version: u64, sent: u64) -> VersionConfirmed {
    VersionConfirmed {
        request: ConfirmVersion {
            requester: Incarnation::new(1),
            sent: at(sent).since_start(),
            version: ConfigVersion::new(version),
        },
        instance: name.parse().expect("valid name"),
        incarnation: Incarnation::new(incarnation),
        version: ConfigVersion::new(version),
        loaded: true,
        age: None,
        has_recent_platform_read: false,
    }
}

/// Runs a change up to the write of the root; returns the coordinator, the base and the new root.
fn run_until_write(names: &[&str]) -> (ChangeCoordinator, Rc<ConfigRoot>, Rc<ConfigRoot>) {
    let (root, document) = base(names);
    let (mut coordinator, _) = ChangeCoordinator::start(request(), at(0));
    let applied = ConfigVersion::new(1);
    coordinator.root_read(found(&root, 5), applied, at(1));
    let actions = coordinator.document_loaded(Some(document), at(2));
    let [CoordinatorAction::StoreSection { key, .. }] = &actions[..] else {
        panic!("only the databases differ: {actions:?}");
    };
    let actions = coordinator.section_stored(key, WriteResult::Written, at(3));
    let written = written_root(&actions);
    (coordinator, root, written)
}

fn written_root(actions: &[CoordinatorAction]) -> Rc<ConfigRoot> {
    let [
        CoordinatorAction::WriteRoot {
            bytes,
            expected_index,
        },
    ] = actions
    else {
        panic!("expected a write of the root: {actions:?}");
    };
    assert_eq!(*expected_index, Some(5));
    Rc::new(ConfigRoot::decode(bytes).expect("valid root"))
}

/// Guards against reporting a write whose response was lost as made or not made, without reading
/// the root again.
#[test]
fn lost_response_is_read_back() {
    let (mut coordinator, root, written) = run_until_write(&["a", "b", "c"]);
    let applied = ConfigVersion::new(1);
    let actions = coordinator.root_written(WriteResult::ResponseLost, at(10));
    assert_eq!(actions, [CoordinatorAction::ReadRoot]);
    // The first write may still be in transit, so it is repeated with the same condition.
    let actions = coordinator.root_read(found(&root, 5), applied, at(11));
    assert_eq!(written_root(&actions), written);
    let actions = coordinator.root_written(WriteResult::ConditionFailed, at(12));
    assert_eq!(actions, [CoordinatorAction::ReadRoot]);
    let actions = coordinator.root_read(found(&written, 6), applied, at(13));
    assert!(
        matches!(actions[0], CoordinatorAction::Apply { .. }),
        "{actions:?}"
    );
}

/// Guards against reporting an unresolved write as not made.
#[test]
fn unresolved_write_is_undetermined() {
    let (mut coordinator, ..) = run_until_write(&["a"]);
    coordinator.root_written(WriteResult::ResponseLost, at(10));
    coordinator.root_read(RootRead::Failed, ConfigVersion::new(1), at(11));
    let actions = coordinator.tick(at(5_000));
    assert_eq!(
        actions,
        [CoordinatorAction::Finish(ChangeResult::Undetermined)]
    );
    let (mut coordinator, ..) = run_until_write(&["a"]);
    coordinator.root_written(WriteResult::NotSent, at(10));
    let actions = coordinator.tick(at(5_000));
    assert_eq!(
        actions,
        [CoordinatorAction::Finish(ChangeResult::NotRecorded)]
    );
}

/// Guards against a conflict that does not report the winner, or keeps the sections of the loser.
#[test]
fn lost_race_names_the_winner() {
    let (mut coordinator, root, written) = run_until_write(&["a", "b", "c"]);
    let mut other = (*written).clone();
    other.change_id = "c2".into();
    other.sections = root.sections.clone();
    other.recent[0].change_id = "c2".into();
    other.recent[0].author = "youssef".into();
    coordinator.root_written(WriteResult::ConditionFailed, at(10));
    let read = found(&Rc::new(other), 6);
    let actions = coordinator.root_read(read, ConfigVersion::new(1), at(11));
    let conflict = ChangeResult::Conflict {
        version: ConfigVersion::new(2),
        winner: "youssef".into(),
        winner_version: ConfigVersion::new(2),
    };
    let [
        CoordinatorAction::DeleteSections(keys),
        CoordinatorAction::Finish(result),
    ] = &actions[..]
    else {
        panic!("{actions:?}");
    };
    assert_eq!(*result, conflict);
    assert!(keys.iter().all(|key| key.ends_with(".c1")) && keys.len() == 1);
}

/// Guards against a return to an older version when the platform has lost data.
#[test]
fn platform_behind_is_refused() {
    let (root, _) = base(&["a"]);
    let (mut coordinator, _) = ChangeCoordinator::start(request(), at(0));
    let actions = coordinator.root_read(found(&root, 5), ConfigVersion::new(9), at(1));
    let reason = RefusalReason::PlatformBehind;
    assert_eq!(
        actions,
        [CoordinatorAction::Finish(ChangeResult::Refused { reason })]
    );
}

/// Guards against accepting a change without the earlier fleet after an unconfirmed fleet change.
#[test]
fn earlier_unconfirmed_fleet_must_confirm() {
    let (earlier, _) = base(&["a", "b", "c"]);
    let (root, document) = base(&["d", "e", "f"]);
    let mut root = (*root).clone();
    root.fleets.insert(0, earlier.sections.fleet.clone());
    let (mut coordinator, _) = ChangeCoordinator::start(request(), at(0));
    coordinator.root_read(found(&Rc::new(root), 5), ConfigVersion::new(1), at(1));
    let actions = coordinator.document_loaded(Some(document), at(2));
    assert!(matches!(&actions[..], [CoordinatorAction::LoadFleets(refs)] if refs.len() == 1));
    coordinator.fleets_loaded(Some(vec![fleet(&["a", "b", "c"])]), at(3));
    for (sent, received) in [(3, 4), (200, 201)] {
        for name in ["d", "e", "f"] {
            assert!(
                coordinator
                    .record_reply(&reply(name, 9, 1, sent), at(received))
                    .is_empty()
            );
        }
    }
    let actions = coordinator.tick(at(1_100));
    let [CoordinatorAction::StoreSection { key, .. }] = &actions[..] else {
        panic!("{actions:?}");
    };
    let actions = coordinator.section_stored(key, WriteResult::Written, at(1_101));
    assert_eq!(written_root(&actions).fleets.len(), 2);
    coordinator.root_written(WriteResult::Written, at(1_102));
    let mut finished = Vec::new();
    for (sent, received) in [(1_103, 1_104), (1_300, 1_301)] {
        for name in ["d", "e", "f"] {
            finished.extend(coordinator.record_reply(&reply(name, 9, 2, sent), at(received)));
        }
    }
    assert_eq!(finished, [], "accepted without the fleet a, b, c");
    for (sent, received) in [(1_400, 1_401), (1_500, 1_501)] {
        for name in ["a", "b", "d", "e"] {
            finished.extend(coordinator.record_reply(&reply(name, 9, 2, sent), at(received)));
        }
    }
    let accepted = ChangeResult::Accepted {
        version: ConfigVersion::new(2),
    };
    assert_eq!(finished.last(), Some(&CoordinatorAction::Finish(accepted)));
}

fn tally(names: &[&str]) -> AcceptanceTally {
    let fleet = fleet(names).into_keys().collect();
    AcceptanceTally::new(ConfigVersion::new(2), vec![fleet])
}

/// Guards against counting both replies of an instance that restarted in between.
#[test]
fn is_accepted_needs_one_common_moment() {
    let mut tally = tally(&["a", "b", "c"]);
    tally.record_reply(&reply("a", 1, 2, 10), at(11));
    // Instance a restarts here, loses version 2 and loads version 1 from b and c.
    tally.record_reply(&reply("b", 1, 2, 20), at(21));
    assert!(
        !tally.is_accepted(),
        "a and b never held version 2 together"
    );
    tally.record_reply(&reply("a", 2, 2, 30), at(31));
    tally.record_reply(&reply("b", 1, 2, 30), at(31));
    assert!(
        !tally.is_accepted(),
        "the new process of a replied only once"
    );
    tally.record_reply(&reply("a", 2, 2, 40), at(41));
    tally.record_reply(&reply("b", 1, 2, 40), at(41));
    assert!(tally.is_accepted());
}

/// Guards against an instance that stops after its first reply and blocks the acceptance.
#[test]
fn is_accepted_uses_a_later_moment() {
    let mut tally = tally(&["a", "b", "c", "d", "e"]);
    for name in ["a", "b", "c"] {
        tally.record_reply(&reply(name, 1, 2, 10), at(11));
    }
    for name in ["b", "c", "d"] {
        tally.record_reply(&reply(name, 1, 2, 30), at(31));
    }
    assert!(!tally.is_accepted());
    for name in ["b", "c", "d"] {
        tally.record_reply(&reply(name, 1, 2, 50), at(51));
    }
    assert!(tally.is_accepted());
    assert_eq!(tally.missing(), ["e".parse().expect("valid name")]);
}

/// Guards against counting instances without a loaded configuration or with an older one.
#[test]
fn record_reply_ignores_unloaded_and_older() {
    let mut tally = tally(&["a", "b", "c"]);
    for (sent, received) in [(10, 11), (20, 21)] {
        tally.record_reply(&reply("a", 1, 2, sent), at(received));
        tally.record_reply(&reply("b", 1, 1, sent), at(received));
        let mut unloaded = reply("c", 1, 2, sent);
        unloaded.loaded = false;
        tally.record_reply(&unloaded, at(received));
    }
    assert!(!tally.is_accepted());
}
