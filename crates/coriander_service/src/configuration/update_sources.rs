//! The instances from which this one requests updates of the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coriander_core::MonotonicTime;
use coriander_service_api::{FleetContacts, InstanceEntry};
use coriander_wire::FrameCodec;
use smallvec::SmallVec;
use tokio::time::timeout;

use crate::configuration::store_update::KnownSnapshot;
use crate::fleet::relay_messages::HeldUpdate;
use crate::service::SessionService;
use crate::spread::update_tree::{READERS_PER_ZONE, UpdateTree};

/// Addresses of the instances from which updates are requested, in order.
pub type UpdateSources = SmallVec<[SocketAddr; READERS_PER_ZONE]>;

impl SessionService {
    /// Applies what a starting instance has read to reach others. A fleet without a secret leaves it
    /// without other instances, so that it reads the whole store.
    pub fn apply_contacts(&self, contacts: &FleetContacts) {
        let Some(secret) = &contacts.fleet_secret else {
            return;
        };
        if self.store_view.snapshot().is_some() {
            return;
        }
        let settings = self.settings();
        let mut instances = contacts.instances.clone();
        if instances.iter().all(|entry| entry.id != settings.name) {
            instances.push(InstanceEntry {
                id: settings.name.clone(),
                address: settings.peer_address,
                zone: settings.zone.clone(),
                created: 0,
            });
        }
        self.peers.set_peers(&instances);
        self.fleet.borrow_mut().apply(&instances);
        self.apply_secret(secret);
    }

    /// Applies the fleet secret, by which messages between instances are authenticated.
    pub fn apply_secret(&self, secret: &Arc<[u8]>) {
        if let Some(key) = self.peers.set_secret(secret) {
            self.relay.set_codec(FrameCodec::new(&key));
            self.fleet_key.send_replace(Some(key));
        }
    }

    /// Returns the position of this instance in the update tree of its zone.
    pub fn update_tree(&self) -> UpdateTree {
        let settings = self.settings();
        let fleet = self.fleet.borrow();
        let is_usable = self.is_usable_instance(&settings.name);
        fleet
            .update_tree(&settings.zone, &settings.name, is_usable)
            .0
    }

    /// Returns the instances to request updates from, in order. `turn` differs between calls.
    pub fn update_sources(&self, own_reads_fail: bool, turn: usize) -> UpdateSources {
        let settings = self.settings();
        let fleet = self.fleet.borrow();
        let is_usable = self.is_usable_instance(&settings.name);
        let (tree, in_zone) = fleet.update_tree(&settings.zone, &settings.name, is_usable);
        let ranks = tree.sources(own_reads_fail, turn).into_iter();
        ranks.map(|rank| in_zone[rank].address).collect()
    }

    /// Returns a usable instance of the fleet other than this one, if the one of the number is.
    pub fn any_other_instance(&self, number: usize) -> Option<SocketAddr> {
        let fleet = self.fleet.borrow();
        let entry = fleet.any_instance(number)?;
        let is_other = entry.id != self.settings().name;
        (is_other && self.relay.is_usable(entry.address)).then_some(entry.address)
    }

    /// Returns the update for an instance with `known`, as soon as it lacks a part or this instance
    /// has applied another snapshot that is not older, and at the latest after `hold`.
    pub async fn hold_update(&self, known: &KnownSnapshot, hold: Duration) -> HeldUpdate {
        let arrived_at = self.clock.now();
        let newer_snapshot = async {
            loop {
                self.snapshot_applied.notified().await;
                if known.revision <= self.store_view.known().revision {
                    return;
                }
            }
        };
        if !hold.is_zero() && known.waits_for(&self.store_view.known()) {
            let _ = timeout(hold, newer_snapshot).await;
        }
        self.held_update(known, arrived_at, self.clock.now())
    }

    /// Returns the parts of the newest snapshot that an instance with `known` lacks, for
    /// a request that arrived at `arrived_at`. The age of the read and the time for which the
    /// request was held refer to the same moment `now`.
    pub fn held_update(
        &self,
        known: &KnownSnapshot,
        arrived_at: MonotonicTime,
        now: MonotonicTime,
    ) -> HeldUpdate {
        HeldUpdate {
            held: now.since(arrived_at),
            update: self.store_view.update_since(known, now),
        }
    }

    fn is_usable_instance(&self, own_name: &Arc<str>) -> impl Fn(&InstanceEntry) -> bool {
        move |entry| entry.id == *own_name || self.relay.is_usable(entry.address)
    }
}
