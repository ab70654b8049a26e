//! Applied document, deltas, sections, freshness of one instance, keys and commands.

use coriander_config::{
    ChangeCommand, CommandError, ConfigBundle, ConfigChange, ConfigRoot, ConfigState,
    EncodedSection, FreshnessGuard, Incarnation, KeyVerifier, SectionError, SectionName,
    VersionConfirmed, digest_key, encode_changes,
};
use coriander_core::{
    AccountLimits, AccountName, ConfigDocument, ConfigVersion, InstanceId, KeyEntry, MonotonicTime,
};
use proptest::prelude::*;
use std::time::Duration;

fn account(name: &str) -> AccountName {
    name.parse().expect("valid name")
}

fn document(version: u64, keys: &[&str]) -> ConfigDocument {
    let mut document = ConfigDocument {
        version: ConfigVersion::new(version),
        author: "amina".into(),
        change_id: format!("c{version}"),
        ..ConfigDocument::default()
    };
    for key in keys {
        let entry = KeyEntry {
            account: account("orders"),
            key_id: (*key).into(),
        };
        document.keys.insert(digest_key(key), entry);
    }
    document
}

fn root(base: Option<&ConfigRoot>, document: &ConfigDocument) -> (ConfigRoot, Vec<EncodedSection>) {
    let encoded = encode_changes(base.map(|root| &root.sections), document);
    let (sections, changed) = encoded.expect("small sections");
    let root = ConfigRoot {
        version: document.version,
        author: document.author.clone(),
        change_id: document.change_id.clone(),
        fleet_version: document.fleet_version,
        fleets: vec![sections.fleet.clone()],
        sections,
        recent: vec![],
    };
    (root, changed)
}

fn state(versions: &[&[&str]]) -> ConfigState {
    let mut state = ConfigState::default();
    for (index, keys) in versions.iter().enumerate() {
        let document = document(index as u64 + 1, keys);
        let (root, _) = root(state.root().map(|root| &**root), &document);
        state.apply(root, document);
    }
    state
}

/// Guards against an older document that replaces a newer one.
#[test]
fn apply_ignores_older_document() {
    let mut state = state(&[&["k1"], &["k1", "k2"]]);
    let older = document(1, &[]);
    let (root, _) = root(None, &older);
    assert!(state.apply(root, older).is_empty());
    assert_eq!(state.version().get(), 2);
    assert_eq!(state.document().keys.len(), 2);
}

/// Guards against requests that continue after their key was removed or moved.
#[test]
fn apply_lists_withdrawn_keys() {
    let mut state = state(&[&["k1", "k2", "k3"]]);
    let mut next = document(2, &["k1", "k2"]);
    let moved = next.keys.get_mut(&digest_key("k2")).expect("a key");
    moved.account = account("billing");
    let (root, _) = root(state.root().map(|root| &**root), &next);
    let changes = state.apply(root, next);
    let mut withdrawn = vec![digest_key("k3"), digest_key("k2")];
    withdrawn.sort();
    let listed = changes.iter().find_map(|change| match change {
        ConfigChange::KeysWithdrawn(keys) => Some(keys.clone()),
        _ => None,
    });
    let mut listed = listed.expect("withdrawn keys");
    listed.sort();
    assert_eq!(listed, withdrawn);
    assert!(changes.contains(&ConfigChange::KeysGiven(vec![digest_key("k2")])));
}

/// Guards against applying a section whose content does not match the root.
#[test]
fn apply_sections_checks_digests() {
    let mut state = ConfigState::default();
    let wanted = document(1, &["k1"]);
    let (root, mut sections) = root(None, &wanted);
    let keys = sections
        .iter_mut()
        .find(|section| section.name == SectionName::Keys);
    keys.expect("keys").bytes = b"{}".to_vec();
    let name = SectionName::Keys;
    assert_eq!(
        state.apply_sections(&root, &sections),
        Err(SectionError::DigestMismatch { name })
    );
    assert_eq!(state.version().get(), 0);
}

/// Guards against a section that only the platform refuses, with values over 1 MB.
#[test]
fn encode_changes_refuses_large_sections() {
    let names: Vec<_> = (0..12_000).map(|n| format!("key-{n}")).collect();
    let keys: Vec<_> = names.iter().map(String::as_str).collect();
    let Err(SectionError::TooLarge { name, bytes }) = encode_changes(None, &document(1, &keys))
    else {
        panic!("the section was accepted");
    };
    assert_eq!(name, SectionName::Keys);
    assert!(bytes > 1_000_000);
}

/// Guards against whole sections in replies to an instance that lags by a few small changes.
#[test]
fn reply_to_fetch_prefers_small_deltas() {
    let names: Vec<_> = (0..500).map(|n| format!("key-{n}")).collect();
    let mut keys: Vec<_> = names.iter().map(String::as_str).collect();
    let before = keys.clone();
    keys.push("new");
    let mut behind = state(&[&before]);
    let mut ahead = state(&[&before, &keys, &before[1..]]);
    let request = behind.fetch_request();
    let bundle = ahead.reply_to_fetch(&request).expect("small sections");
    assert!(matches!(&bundle, ConfigBundle::Deltas(deltas) if deltas.len() == 2));
    let delta_bytes = postcard::to_allocvec(&bundle).expect("encodes").len();
    let full = ahead.reply_to_fetch(&ConfigState::default().fetch_request());
    let full_bytes = postcard::to_allocvec(&full.expect("small"))
        .expect("encodes")
        .len();
    assert!(
        delta_bytes * 10 < full_bytes,
        "{delta_bytes} bytes of {full_bytes}"
    );
    behind.apply_bundle(&bundle).expect("fitting deltas");
    assert_eq!(behind.document(), ahead.document());
    let late = ahead.apply_bundle(&bundle).expect("ignored");
    assert!(late.is_empty(), "a repeated reply changes nothing");
}

proptest! {
    /// Guards against deltas or sections that produce another document than the applied one.
    #[test]
    fn bundles_lead_to_the_same_document(
        versions in prop::collection::vec(prop::collection::btree_set("[a-f]", 0..6), 2..24),
        applied_count in 0..24usize,
    ) {
        let versions: Vec<Vec<&str>> = versions
            .iter()
            .map(|keys| keys.iter().map(String::as_str).collect())
            .collect();
        let versions: Vec<&[&str]> = versions.iter().map(Vec::as_slice).collect();
        let ahead = state(&versions);
        let mut behind = state(&versions[..applied_count.min(versions.len())]);
        let bundle = ahead.reply_to_fetch(&behind.fetch_request()).expect("small sections");
        let bytes = postcard::to_allocvec(&bundle).expect("encodes");
        let bundle: ConfigBundle = postcard::from_bytes(&bytes).expect("decodes");
        behind.apply_bundle(&bundle).expect("fitting bundle");
        prop_assert_eq!(behind.document(), ahead.document());
        prop_assert_eq!(behind.root(), ahead.root());
    }
}

fn guard(fleet: &[&str], version: u64) -> FreshnessGuard {
    let mut guard = FreshnessGuard::new("a".parse().expect("valid name"), Incarnation::new(1));
    guard.record_applied(&fleet_document(fleet, version));
    guard
}

fn fleet_document(fleet: &[&str], version: u64) -> ConfigDocument {
    let mut document = document(version, &[]);
    for name in fleet {
        let member = coriander_core::FleetMember {
            zone: "z".parse().expect("valid name"),
            peer_address: "10.0.0.1:7000".parse().expect("valid address"),
            draining: false,
        };
        document
            .fleet
            .insert(name.parse().expect("valid name"), member);
    }
    document
}

fn confirm(guard: &mut FreshnessGuard, name: &str, version: u64, age: Option<u64>, sent: u64) {
    let id: InstanceId = name.parse().expect("valid name");
    let request = guard.begin_round(MonotonicTime::from_millis(sent));
    let reply = VersionConfirmed {
        request,
        instance: id,
        incarnation: Incarnation::new(2),
        version: ConfigVersion::new(version),
        loaded: true,
        age: age.map(Duration::from_millis),
        has_recent_platform_read: false,
    };
    guard.record_reply(&reply, MonotonicTime::from_millis(sent + 5_000));
}

fn serves_at(guard: &FreshnessGuard, millis: u64) -> bool {
    guard.may_serve(MonotonicTime::from_millis(millis))
}

/// Guards against a confirmation that is valid from its arrival instead of its request and age.
#[test]
fn record_reply_counts_from_request() {
    let mut guard = guard(&[], 3);
    confirm(&mut guard, "b", 3, Some(700), 10_000);
    assert!(serves_at(&guard, 11_300));
    assert!(!serves_at(&guard, 11_301));
}

/// Guards against serving under an older version because a newer one was confirmed.
#[test]
fn record_reply_keeps_newer_confirmation() {
    let mut guard = guard(&[], 3);
    confirm(&mut guard, "b", 4, Some(0), 10_000);
    assert!(!serves_at(&guard, 10_001));
    guard.record_applied(&fleet_document(&[], 4));
    assert!(serves_at(&guard, 12_000));
}

/// Guards against recording a reply to the previous process of the instance.
#[test]
fn record_reply_ignores_other_incarnation() {
    let mut first = guard(&[], 3);
    let mut request = first.begin_round(MonotonicTime::from_millis(10_000));
    request.requester = Incarnation::new(77);
    let reply = first.reply_to(request, MonotonicTime::from_millis(10_000));
    let reply = VersionConfirmed {
        age: Some(Duration::ZERO),
        ..reply
    };
    first.record_reply(&reply, MonotonicTime::from_millis(10_001));
    assert!(!serves_at(&first, 10_001));
}

/// Guards against counting the instance itself before it is loaded, or a reply with a newer
/// version.
#[test]
fn majority_excludes_unloaded_self_and_newer() {
    let mut guard = guard(&["a", "b", "c"], 3);
    confirm(&mut guard, "b", 3, None, 10_000);
    assert!(
        !serves_at(&guard, 10_001),
        "one of three, and not loaded itself"
    );
    confirm(&mut guard, "c", 4, None, 10_000);
    assert!(
        !serves_at(&guard, 10_001),
        "one of the two has a newer version"
    );
    confirm(&mut guard, "c", 3, None, 20_000);
    assert!(
        !guard.is_loaded(),
        "replies to different rounds are counted separately"
    );
    confirm(&mut guard, "b", 3, None, 20_000);
    assert!(guard.is_loaded() && serves_at(&guard, 22_000));
    confirm(&mut guard, "b", 3, None, 30_000);
    assert!(
        serves_at(&guard, 30_001),
        "one other is sufficient for a loaded instance"
    );
}

/// Guards against an outdated response of the platform that confirms a newer applied version.
#[test]
fn record_platform_read_ignores_lower_version() {
    let mut guard = guard(&[], 3);
    guard.record_platform_read(ConfigVersion::new(2), MonotonicTime::from_millis(100));
    assert!(!serves_at(&guard, 101) && !guard.is_loaded());
}

/// Guards against a match by part of a key's digest, and against accepting a withdrawn key.
#[test]
fn verify_needs_the_whole_key() {
    let verifier = KeyVerifier::new(&document(1, &["k1", "k2"]));
    assert_eq!(
        verifier.verify("k1").expect("valid").digest,
        digest_key("k1")
    );
    for key in ["", "k", "k11", "K1", &"k1".repeat(200)] {
        assert!(verifier.verify(key).is_err(), "{key:?}");
    }
    assert!(
        KeyVerifier::new(&document(2, &["k1"]))
            .verify("k2")
            .is_err()
    );
}

/// Guards against applying a change that contradicts the configuration.
#[test]
fn apply_refuses_impossible_commands() {
    let mut document = document(1, &["k1"]);
    let before = document.clone();
    let digest = digest_key("k2");
    let give = |account: AccountName, key_id: &str, digest| ChangeCommand::GiveKey {
        account,
        key_id: key_id.into(),
        digest,
    };
    let unknown = give(account("nobody"), "k2", digest).apply(&mut document);
    assert_eq!(unknown, Err(CommandError::Unknown("account nobody".into())));
    for (rate, burst) in [(0, 5), (5, 1)] {
        let limits = AccountLimits { rate, burst };
        let account = account("orders");
        let set = ChangeCommand::SetAccount { account, limits };
        let refused = Err(CommandError::LowLimit("orders".into()));
        assert_eq!(set.apply(&mut document), refused);
    }
    assert_eq!(document, before);
    let limits = AccountLimits { rate: 5, burst: 5 };
    let set = ChangeCommand::SetAccount {
        account: account("orders"),
        limits,
    };
    set.apply(&mut document).expect("possible");
    let used = give(account("orders"), "k1", digest).apply(&mut document);
    assert_eq!(used, Err(CommandError::KeyIdUsed("k1".into())));
    let used = give(account("orders"), "k2", digest_key("k1")).apply(&mut document);
    assert_eq!(used, Err(CommandError::KeyUsed("k2".into())));
    ChangeCommand::RemoveAccount {
        account: account("orders"),
    }
    .apply(&mut document)
    .expect("possible");
    assert!(
        document.keys.is_empty(),
        "the keys of a removed account stay valid"
    );
}
