//! Configurations and plans of a simulated fleet.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use coriander_core::{
    AccountLimits, AccountName, ConfigDocument, ConfigVersion, FleetMember, InstanceId,
};
use coriander_limits::{FleetVersion, PlanTable};

use super::simulation_settings::{Fault, Settings};

/// Creates a configuration whose limits are `scale` percent of those in the settings.
pub fn make_document(
    number: u64,
    fleet: impl Iterator<Item = InstanceId>,
    accounts: &[AccountName],
    settings: &Settings,
    scale: u32,
) -> ConfigDocument {
    let mut document = ConfigDocument {
        version: ConfigVersion::new(number),
        ..ConfigDocument::default()
    };
    for id in fleet {
        let member = FleetMember {
            zone: "berrechid".parse().expect("valid name"),
            peer_address: ([127, 0, 0, 1], 7000).into(),
            draining: false,
        };
        document.fleet.insert(id, member);
    }
    for (account, limits) in accounts.iter().zip(&settings.limits) {
        let limits = AccountLimits {
            rate: limits.rate * scale / 100,
            burst: limits.burst * scale / 100,
        };
        document.accounts.insert(account.clone(), limits);
    }
    document
}

/// Creates plans with owners ranked by a hash of instance and account.
pub fn make_plans(
    document: &ConfigDocument,
    version: FleetVersion,
    settings: &Settings,
) -> PlanTable {
    let mut policy = settings.policy.clone();
    if settings.fault == Fault::NoWaitingPeriod {
        policy = policy.with_freshness_period(Duration::ZERO);
    }
    let ids: Vec<InstanceId> = document.fleet.keys().cloned().collect();
    PlanTable::new(document, version, &policy, |account| {
        let mut ranked = ids.clone();
        ranked.sort_by_key(|id| hash(&(id, account)));
        ranked.truncate(3);
        ranked.into()
    })
}

fn hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
