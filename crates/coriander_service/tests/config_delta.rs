//! Changes of a large configuration between instances.

mod support;

use std::sync::Arc;

use coriander_service::{ConfigDelta, ConfigHistory};
use coriander_service_api::{ClientAccount, FleetConfig, ReadFreshness};

use support::config;

fn account(index: usize, rate: f64) -> Arc<ClientAccount> {
    Arc::new(ClientAccount {
        name: format!("account-{index}").into(),
        rate: Some(rate),
        burst: rate,
    })
}

fn large_config(version: u64) -> FleetConfig {
    let mut config = config(version, ReadFreshness::Newest);
    for index in 0..300 {
        let account = account(index, 20.0);
        config
            .accounts
            .insert(account.name.clone(), account.clone());
        config.keys.insert(format!("key-{index}").into(), account);
    }
    config
}

#[test]
fn apply_to_restores_a_changed_quota_and_a_withdrawn_key() {
    // Every instance read the whole configuration from the store after each change.
    let old = large_config(7);
    let mut new = large_config(9);
    let changed = account(5, 12.0);
    new.accounts.insert(changed.name.clone(), changed.clone());
    new.keys.insert("key-5".into(), changed);
    new.keys.remove("key-8");
    new.routes.clear();
    let delta = ConfigDelta::between(&old, &new);
    assert_eq!(delta.apply_to(&old), Some(new));
    let size = postcard::to_stdvec(&delta).expect("encodes").len();
    assert!(size < 200, "was {size} bytes");
}

#[test]
fn apply_to_rejects_another_base_version() {
    let delta = ConfigDelta::between(&large_config(7), &large_config(9));
    assert_eq!(delta.apply_to(&large_config(8)), None);
}

#[test]
fn delta_since_knows_recent_versions_only() {
    let mut history = ConfigHistory::default();
    for version in 1..=12 {
        history.record(&config(version, ReadFreshness::Newest).into());
    }
    assert_eq!(history.delta_since(3), None);
    let delta = history.delta_since(8).expect("recent");
    let known = config(8, ReadFreshness::Newest);
    let newest = delta.apply_to(&known).map(|config| config.version);
    assert_eq!(newest, Some(12));
    // The difference is kept for the other instances that ask, but not for another version.
    assert_eq!(history.delta_since(8), Some(delta));
    let since_10 = history.delta_since(10).expect("recent");
    assert_eq!(since_10.apply_to(&known), None);
    history.record(&config(13, ReadFreshness::Newest).into());
    let delta = history.delta_since(10).expect("recent");
    let known = config(10, ReadFreshness::Newest);
    let newest = delta.apply_to(&known).map(|config| config.version);
    assert_eq!(newest, Some(13));
}

#[test]
fn record_ignores_older_versions() {
    let mut history = ConfigHistory::default();
    for version in [4, 6, 5] {
        history.record(&config(version, ReadFreshness::Newest).into());
    }
    let delta = history.delta_since(4).expect("recent");
    let newest = delta.apply_to(&config(4, ReadFreshness::Newest));
    assert_eq!(newest.map(|config| config.version), Some(6));
}
