//! Ranks of instances for gateways, rate owners and watchers.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use coriander_core::{
    AccountName, ConfigDocument, DatabaseName, InstanceId, MonotonicTime, ZoneName, ZoneState,
};
use smallvec::SmallVec;

use crate::weighted_ranks::MIN_CACHED_RANKS;
use crate::{InstanceState, PeerChange, RankKey, WeightedRanks};

/// Maximum number of instances that own shards of one account's token bucket.
pub const MAX_OWNERS: usize = 3;

/// Number of gateways per database: the gateway and its backup.
const GATEWAYS_PER_DATABASE: usize = 2;

/// Number of instances per zone with platform watches.
const WATCHERS_PER_ZONE: usize = 2;

/// Time in which the weight of a zone that is back in service increases to its full value.
const RAMP_TIME: Duration = Duration::from_secs(10);

/// Number of steps of that increase; more steps move fewer gateways at a time.
const RAMP_STEPS: u32 = 20;

/// Ranked instances, best first.
pub type RankedInstances = SmallVec<[InstanceId; 3]>;

#[derive(Clone, Debug)]
struct RankedMember {
    instance: InstanceId,
    zone: ZoneName,
    /// Whether the zone is in service and the configuration does not drain the instance.
    eligible: bool,
    /// Whether the instance is live and does not report draining.
    available: bool,
}

/// Ranks the instances of the fleet for databases, accounts and zones.
///
/// Ranks of gateways and watchers depend on liveness. Ranks of rate owners depend only on the
/// configuration: with liveness, instances with different views could choose more owners than
/// allowed, which would all grant tokens of one account.
///
/// ```
/// use coriander_core::{ConfigDocument, MonotonicTime};
/// use coriander_membership::RankTable;
///
/// let mut ranks = RankTable::new();
/// ranks.apply_document(&ConfigDocument::default(), MonotonicTime::ZERO);
/// assert!(ranks.gateways(&"orders".parse()?).is_empty());
/// # Ok::<(), coriander_core::NameError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct RankTable {
    members: Vec<RankedMember>,
    slots: HashMap<InstanceId, u32>,
    live_ranks: WeightedRanks,
    configured_ranks: WeightedRanks,
    zones: BTreeMap<ZoneName, ZoneRanks>,
}

#[derive(Clone, Debug, Default)]
struct ZoneRanks {
    state: ZoneState,
    /// Start of the weight increase after the zone's return to service.
    ramp_start: Option<MonotonicTime>,
    weight: f64,
    ranks: WeightedRanks,
    /// Index in `RankTable::members` of each candidate in `ranks`.
    members: Vec<u32>,
}

impl RankTable {
    /// Creates a table without instances.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the fleet and zones of a configuration.
    ///
    /// Only the weights of instances that the configuration adds, removes or moves change.
    pub fn apply_document(&mut self, document: &ConfigDocument, now: MonotonicTime) {
        self.apply_zones(document, now);
        for (instance, slot) in &self.slots {
            if !document.fleet.contains_key(instance) {
                self.members[*slot as usize].eligible = false;
            }
        }
        for (instance, member) in &document.fleet {
            let slot = self.member_slot(instance, &member.zone);
            let eligible = !member.draining && document.is_zone_in(&member.zone);
            self.members[slot as usize].eligible = eligible;
        }
        if self.members.len() > 2 * document.fleet.len() + 16 {
            self.rebuild(document);
        }
        self.update_weights();
    }

    /// Applies a change of a peer's liveness or state.
    pub fn apply_change(&mut self, change: &PeerChange) {
        let available = change.live && change.state == InstanceState::Serving;
        self.set_available(&change.instance, available);
    }

    /// Sets whether an instance accepts work; also used when the own instance drains.
    pub fn set_available(&mut self, instance: &InstanceId, available: bool) {
        if let Some(&slot) = self.slots.get(instance) {
            self.members[slot as usize].available = available;
            self.update_weight(slot);
        }
    }

    /// Increases the weights of zones that are back in service; must be called about twice a
    /// second.
    pub fn advance(&mut self, now: MonotonicTime) {
        let mut changed = false;
        for zone in self.zones.values_mut() {
            changed |= zone.advance(now);
        }
        if changed {
            self.update_weights();
        }
    }

    /// Returns the gateway of a database and its backup, which is in another zone if possible.
    pub fn gateways(&mut self, database: &DatabaseName) -> RankedInstances {
        let ranked = self
            .live_ranks
            .top(RankKey::new("gateway", database.as_str()));
        self.pick_across_zones(&ranked, GATEWAYS_PER_DATABASE)
    }

    /// Returns the owners of an account's token bucket, in different zones if possible.
    pub fn rate_owners(&mut self, account: &AccountName) -> RankedInstances {
        let ranked = self
            .configured_ranks
            .top(RankKey::new("rate", account.as_str()));
        self.pick_across_zones(&ranked, MAX_OWNERS)
    }

    /// Returns the instances of a zone with platform watches.
    ///
    /// A zone that is out of service has watchers as well, so that its instances receive the
    /// configuration that returns it to service.
    pub fn watchers(&mut self, zone: &ZoneName) -> RankedInstances {
        let Some(ranks) = self.zones.get_mut(zone) else {
            return RankedInstances::new();
        };
        let ranked = ranks.ranks.top(RankKey::new("watcher", zone.as_str()));
        let slots = ranked.iter().take(WATCHERS_PER_ZONE);
        slots
            .map(|&slot| {
                self.members[ranks.members[slot as usize] as usize]
                    .instance
                    .clone()
            })
            .collect()
    }

    /// Returns the zones with instances.
    pub fn zones(&self) -> impl Iterator<Item = &ZoneName> {
        self.zones.keys()
    }

    /// Returns the number of instances that accept work.
    pub fn available_count(&self) -> usize {
        let members = self.members.iter();
        members.filter(|m| m.eligible && m.available).count()
    }

    /// Returns the number of keys with cached ranks.
    pub fn cached_keys(&self) -> usize {
        self.live_ranks.cached_keys() + self.configured_ranks.cached_keys()
    }

    /// Picks the best instances of different zones, then further ones in rank order.
    fn pick_across_zones(&self, ranked: &[u32], count: usize) -> RankedInstances {
        // Uses only the ranks that every instance has cached, so that all instances agree.
        let ranked = &ranked[..ranked.len().min(MIN_CACHED_RANKS)];
        let mut picked: SmallVec<[u32; 3]> = SmallVec::new();
        for &slot in ranked {
            let zone = &self.members[slot as usize].zone;
            let is_same_zone = |other: &u32| self.members[*other as usize].zone == *zone;
            if picked.len() < count && !picked.iter().any(is_same_zone) {
                picked.push(slot);
            }
        }
        for &slot in ranked {
            if picked.len() < count && !picked.contains(&slot) {
                picked.push(slot);
            }
        }
        let instance = |slot: u32| self.members[slot as usize].instance.clone();
        picked.into_iter().map(instance).collect()
    }

    fn apply_zones(&mut self, document: &ConfigDocument, now: MonotonicTime) {
        for member in document.fleet.values() {
            let state = document.zones.get(&member.zone).copied();
            let state = state.unwrap_or_default();
            let zone = self.zones.entry(member.zone.clone()).or_insert_with(|| {
                let weight = 1.0;
                ZoneRanks {
                    state,
                    weight,
                    ..ZoneRanks::default()
                }
            });
            if zone.state == ZoneState::Out && state == ZoneState::In {
                zone.ramp_start = Some(now);
                zone.weight = 1.0 / f64::from(RAMP_STEPS);
            } else if state == ZoneState::Out {
                zone.ramp_start = None;
            }
            zone.state = state;
        }
    }

    fn member_slot(&mut self, instance: &InstanceId, zone: &ZoneName) -> u32 {
        if let Some(&slot) = self.slots.get(instance) {
            if self.members[slot as usize].zone == *zone {
                return slot;
            }
            self.members[slot as usize].eligible = false;
            self.update_weight(slot);
        }
        let slot = self.live_ranks.add(instance.as_str(), 0.0);
        self.configured_ranks.add(instance.as_str(), 0.0);
        self.members.push(RankedMember {
            instance: instance.clone(),
            zone: zone.clone(),
            eligible: false,
            available: true,
        });
        self.slots.insert(instance.clone(), slot);
        if let Some(ranks) = self.zones.get_mut(zone) {
            ranks.ranks.add(instance.as_str(), 0.0);
            ranks.members.push(slot);
        }
        slot
    }

    /// Removes the slots of instances that have left the fleet.
    fn rebuild(&mut self, document: &ConfigDocument) {
        let old = std::mem::take(&mut self.members);
        self.slots.clear();
        self.live_ranks = WeightedRanks::default();
        self.configured_ranks = WeightedRanks::default();
        self.zones
            .retain(|zone, _| document.fleet.values().any(|member| member.zone == *zone));
        for zone in self.zones.values_mut() {
            zone.ranks = WeightedRanks::default();
            zone.members.clear();
        }
        for member in old {
            let current = document.fleet.get(&member.instance);
            if current.is_some_and(|fleet_member| fleet_member.zone == member.zone) {
                let slot = self.member_slot(&member.instance, &member.zone);
                self.members[slot as usize] = member;
            }
        }
    }

    fn update_weights(&mut self) {
        for slot in (0..).take(self.members.len()) {
            self.update_weight(slot);
        }
    }

    fn update_weight(&mut self, slot: u32) {
        let member = &self.members[slot as usize];
        let present = self.slots.get(&member.instance) == Some(&slot);
        let Some(zone) = self.zones.get_mut(&member.zone) else {
            return;
        };
        let configured = f64::from(u8::from(member.eligible && present));
        let available = f64::from(u8::from(member.available && present));
        self.live_ranks
            .set_weight(slot, configured * available * zone.weight);
        self.configured_ranks.set_weight(slot, configured);
        // Without `configured`, because a zone that is out of service has watchers too.
        if let Ok(index) = zone.members.binary_search(&slot) {
            let index = u32::try_from(index).unwrap_or(u32::MAX);
            zone.ranks.set_weight(index, available);
        }
    }
}

impl ZoneRanks {
    fn advance(&mut self, now: MonotonicTime) -> bool {
        let Some(start) = self.ramp_start else {
            return false;
        };
        let passed = now.since(start).as_secs_f64() / RAMP_TIME.as_secs_f64();
        let steps = f64::from(RAMP_STEPS);
        let weight = ((passed * steps).floor() + 1.0).min(steps) / steps;
        if weight >= 1.0 {
            self.ramp_start = None;
        }
        let changed = weight > self.weight;
        self.weight = weight.max(self.weight);
        changed
    }
}
