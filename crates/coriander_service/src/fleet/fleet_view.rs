//! The instances of the fleet and the home instances of members.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;

use coriander_core::stable_hash;
use coriander_service_api::InstanceEntry;

use crate::members::connection_caps::ConnectionCaps;
use crate::spread::update_tree::UpdateTree;

/// Input of the choice of the home instances of a member.
#[derive(Clone, Copy, Debug)]
pub struct MemberLocation<'a> {
    /// Identifier of the member.
    pub id: &'a str,
    /// Its availability zone.
    pub zone: &'a str,
    /// Number of connections that it accepts from the whole fleet.
    pub connections: usize,
}

/// Instances of the fleet.
#[derive(Debug, Default)]
pub struct FleetView {
    instances: Vec<InstanceEntry>,
    /// Instances that have announced their shutdown; they get no new work.
    leaving: HashSet<Arc<str>>,
    /// Home instances by the hash of the input of their choice.
    cached_homes: RefCell<HashMap<u64, CachedHomes>>,
}

/// Chosen home instances, with the input of their choice.
#[derive(Debug)]
struct CachedHomes {
    member: Arc<str>,
    zone: Arc<str>,
    connections: usize,
    homes: Rc<[InstanceEntry]>,
    /// Whether they were asked for since the last list; those of removed members are not.
    is_used: Cell<bool>,
}

impl CachedHomes {
    fn location(&self) -> MemberLocation<'_> {
        MemberLocation {
            id: &self.member,
            zone: &self.zone,
            connections: self.connections,
        }
    }

    /// Replaces home instances by added ones that rank better. Returns false if all have to be
    /// chosen again, because one is no longer listed or none is in the zone of the member, or if
    /// nobody asks for them any more.
    fn update(&mut self, listed: &HashMap<&str, &InstanceEntry>, added: &[&InstanceEntry]) -> bool {
        let is_kept = |home: &InstanceEntry| {
            home.zone == self.zone && listed.get(&*home.id).is_some_and(|entry| *entry == home)
        };
        if !self.is_used.take() || self.homes.is_empty() || !self.homes.iter().all(is_kept) {
            return false;
        }
        let in_zone = added
            .iter()
            .copied()
            .filter(|entry| entry.zone == self.zone);
        let in_zone: Vec<_> = in_zone.collect();
        if !in_zone.is_empty() {
            let candidates = self.homes.iter().chain(in_zone).collect();
            self.homes = choose_best(candidates, &self.location());
        }
        true
    }
}

/// Returns the home instances of a member among the candidates, best first.
fn choose_best(
    mut candidates: Vec<&InstanceEntry>,
    member: &MemberLocation<'_>,
) -> Rc<[InstanceEntry]> {
    candidates.sort_by_cached_key(|entry| stable_hash((member.id, &*entry.id)));
    candidates.truncate(ConnectionCaps::max_home_instances(member.connections));
    candidates.into_iter().cloned().collect()
}

impl FleetView {
    /// Applies the registered instances.
    pub fn apply(&mut self, instances: &[InstanceEntry]) {
        let listed: HashMap<&str, &InstanceEntry> =
            instances.iter().map(|entry| (&*entry.id, entry)).collect();
        let known: HashMap<&str, &InstanceEntry> = self
            .instances
            .iter()
            .map(|entry| (&*entry.id, entry))
            .collect();
        // A new registration with the same name belongs to a new process.
        self.leaving.retain(|name| {
            let created =
                |list: &HashMap<&str, &InstanceEntry>| list.get(&**name).map(|entry| entry.created);
            created(&listed).is_some() && created(&listed) == created(&known)
        });
        // Choosing the home instances of all members at each change of the list cost as many hashes
        // as there are members times instances, and while a fleet starts, every list is a change.
        let is_added = |entry: &&InstanceEntry| known.get(&*entry.id) != Some(entry);
        let added: Vec<_> = instances.iter().filter(is_added).collect();
        let mut homes = self.cached_homes.borrow_mut();
        if self.leaving.is_empty() {
            homes.retain(|_, cached| cached.update(&listed, &added));
        } else {
            homes.clear();
        }
        drop(homes);
        self.instances = instances.to_vec();
    }

    /// Records that an instance is about to stop.
    pub fn set_leaving(&mut self, name: &str) {
        if let Some(entry) = self.instances.iter().find(|entry| &*entry.id == name) {
            self.leaving.insert(entry.id.clone());
            self.cached_homes.borrow_mut().clear();
        }
    }

    /// Returns the home instances of a member, best first. They are in its zone if any instance is.
    fn home_instances(&self, member: &MemberLocation<'_>) -> Rc<[InstanceEntry]> {
        let key = stable_hash((member.id, member.zone, member.connections));
        let mut cached = self.cached_homes.borrow_mut();
        let homes = cached.entry(key).or_insert_with(|| CachedHomes {
            member: member.id.into(),
            zone: member.zone.into(),
            connections: member.connections,
            homes: choose_best(self.candidates(member.zone), member),
            is_used: Cell::default(),
        });
        homes.is_used.set(true);
        homes.homes.clone()
    }

    fn candidates(&self, zone: &str) -> Vec<&InstanceEntry> {
        let active = || {
            let instances = self.instances.iter();
            instances.filter(|entry| !self.leaving.contains(&entry.id))
        };
        let in_zone: Vec<_> = active().filter(|entry| &*entry.zone == zone).collect();
        if in_zone.is_empty() {
            return active().collect();
        }
        in_zone
    }

    /// Returns the usable home instance with the highest rank for an account and a member. If no
    /// home instance is usable, another instance of the member's zone is returned.
    pub fn home_instance(
        &self,
        member: &MemberLocation<'_>,
        account: &str,
        is_usable: impl Fn(&InstanceEntry) -> bool,
    ) -> Option<InstanceEntry> {
        let by_rank = |entry: &&InstanceEntry| stable_hash((member.id, account, &*entry.id));
        let homes = self.home_instances(member);
        let usable_homes = homes.iter().filter(|entry| is_usable(entry));
        let best = usable_homes.max_by_key(by_rank).or_else(|| {
            let others = self.candidates(member.zone).into_iter();
            others.filter(|entry| is_usable(entry)).max_by_key(by_rank)
        });
        best.cloned()
    }

    /// Returns the connection limits of an instance for a member.
    pub fn connection_caps(&self, member: &MemberLocation<'_>, own_name: &str) -> ConnectionCaps {
        let homes = self.home_instances(member);
        if homes.is_empty() {
            // Without a registered instance, this one counts as the only one.
            return ConnectionCaps::divide(member.connections, 1, 1, true);
        }
        let is_home = homes.iter().any(|entry| &*entry.id == own_name);
        let instances = self.instances.len();
        ConnectionCaps::divide(member.connections, instances, homes.len(), is_home)
    }

    /// Returns the rank of an instance for a member, starting at 0, and the number of instances.
    pub fn member_rank(&self, member: &str, own_name: &str) -> (usize, usize) {
        let is_listed = self.instances.iter().any(|entry| &*entry.id == own_name);
        let own = stable_hash((member, own_name));
        let is_before = |entry: &&InstanceEntry| stable_hash((member, &*entry.id)) < own;
        let before = self.instances.iter().filter(is_before).count();
        (
            if is_listed { before } else { 0 },
            self.instances.len().max(1),
        )
    }

    /// Returns the position of an instance in the update tree of its zone, and the usable instances
    /// of the zone by rank.
    pub fn update_tree(
        &self,
        zone: &str,
        own_name: &str,
        is_usable: impl Fn(&InstanceEntry) -> bool,
    ) -> (UpdateTree, Vec<&InstanceEntry>) {
        let in_zone = self.candidates(zone).into_iter();
        let mut in_zone: Vec<_> = in_zone
            .filter(|entry| &*entry.zone == zone && is_usable(entry))
            .collect();
        let rank = |name: &str| stable_hash((zone, name));
        in_zone.sort_by_cached_key(|entry| rank(&entry.id));
        let listed = in_zone.iter().position(|entry| &*entry.id == own_name);
        let own_rank = listed.unwrap_or_else(|| {
            let own = rank(own_name);
            in_zone.partition_point(|entry| rank(&entry.id) < own)
        });
        let tree = UpdateTree::new(own_rank, listed.is_some(), in_zone.len());
        (tree, in_zone)
    }

    /// Returns an instance of the whole fleet, by a number that the caller chooses.
    pub fn any_instance(&self, number: usize) -> Option<&InstanceEntry> {
        let count = self.instances.len();
        (count > 0).then(|| &self.instances[number % count])
    }

    /// Returns the usable collectors of the usage of a zone, best first. Their order differs from
    /// that of the store readers, so that the two tasks are spread.
    pub fn usage_collectors(
        &self,
        zone: &str,
        limit: usize,
        is_usable: impl Fn(&InstanceEntry) -> bool,
    ) -> Vec<InstanceEntry> {
        let mut collectors = self.candidates(zone);
        collectors.retain(|entry| is_usable(entry));
        collectors.sort_by_cached_key(|entry| stable_hash(("usage", zone, &*entry.id)));
        collectors.truncate(limit);
        collectors.into_iter().cloned().collect()
    }

    /// Returns a description of the fleet in one line.
    pub fn describe(&self) -> String {
        let names: Vec<&str> = self.instances.iter().map(|entry| &*entry.id).collect();
        let leaving: Vec<&str> = self.leaving.iter().map(|name| &**name).collect();
        format!(
            "fleet instances={} leaving={}",
            names.join(","),
            leaving.join(",")
        )
    }
}
