//! Choice of the instances that own an account's rate.

use std::sync::Arc;

use coriander_core::stable_hash;
use smallvec::SmallVec;

/// An instance of the fleet and its availability zone.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct FleetInstance {
    /// Identifier of the instance.
    pub id: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
}

impl FleetInstance {
    /// Creates the description of an instance.
    pub fn new(id: impl Into<Arc<str>>, zone: impl Into<Arc<str>>) -> Self {
        Self {
            id: id.into(),
            zone: zone.into(),
        }
    }
}

/// How the owners of an account are spread over the fleet.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum OwnerSpread {
    /// Without regard to availability zones.
    #[default]
    Fleet,
    /// Evenly over the availability zones, so that each has owners of its own.
    Zones,
}

/// Chooses up to `limit` owners of an account, best first. Owners chosen from all instances are also
/// chosen from any subset that contains them.
pub(crate) fn choose_owners(
    account: &str,
    instances: &[FleetInstance],
    limit: usize,
    spread: OwnerSpread,
) -> Vec<FleetInstance> {
    let hash = |instance: &FleetInstance| stable_hash((account, &*instance.id));
    match spread {
        OwnerSpread::Fleet => {
            let ranked = instances.iter().map(|instance| (hash(instance), instance));
            into_owners(best(ranked.collect(), limit))
        }
        OwnerSpread::Zones => {
            let mut zones: SmallVec<[&str; 8]> = SmallVec::new();
            for instance in instances {
                if !zones.contains(&&*instance.zone) {
                    zones.push(&instance.zone);
                }
            }
            let in_zone = |zone: &str| {
                let in_zone = instances.iter().filter(|instance| &*instance.zone == zone);
                let ranked = in_zone.map(|instance| (hash(instance), instance));
                best(ranked.collect(), limit)
            };
            // The first owner of each zone, then the second one of each, and so on. The order of
            // the zones differs between accounts, so that no zone has more owners than others.
            let ranked = zones.into_iter().flat_map(|zone| {
                let order = stable_hash((account, zone));
                let by_rank = in_zone(zone).into_iter().enumerate();
                by_rank.map(move |(rank, (_, instance))| ((rank, order), instance))
            });
            into_owners(best(ranked.collect(), limit))
        }
    }
}

fn best<K: Ord>(mut ranked: Vec<(K, &FleetInstance)>, limit: usize) -> Vec<(K, &FleetInstance)> {
    if limit < ranked.len() {
        ranked.select_nth_unstable(limit);
        ranked.truncate(limit);
    }
    ranked.sort_unstable();
    ranked
}

fn into_owners<K>(ranked: Vec<(K, &FleetInstance)>) -> Vec<FleetInstance> {
    let owners = ranked.into_iter().map(|(_, instance)| instance.clone());
    owners.collect()
}
