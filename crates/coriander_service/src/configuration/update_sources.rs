//! The instances from which this one requests updates of the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coriander_service_api::InstanceEntry;
use smallvec::SmallVec;
use tokio::time::timeout;

use crate::configuration::store_update::KnownSnapshot;
use crate::fleet::relay_messages::HeldUpdate;
use crate::service::SessionService;
use crate::spread::update_tree::{READERS_PER_ZONE, UpdateTree};

/// Addresses of the instances from which updates are requested, in order.
pub type UpdateSources = SmallVec<[SocketAddr; READERS_PER_ZONE]>;

impl SessionService {
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

    fn is_usable_instance(&self, own_name: &Arc<str>) -> impl Fn(&InstanceEntry) -> bool {
        move |entry| entry.id == *own_name || self.relay.is_usable(entry.address)
    }
}
