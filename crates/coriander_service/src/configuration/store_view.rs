//! The newest snapshot of the store, for this instance and for those that request updates.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use coriander_core::MonotonicTime;
use coriander_service_api::ControlSnapshot;

use crate::configuration::config_delta::{ConfigDelta, ConfigHistory};
use crate::configuration::read_span::ReadSpan;
use crate::configuration::store_update::{
    KnownSnapshot, SnapshotDigest, SnapshotHistory, StoreUpdate,
};

#[derive(Clone)]
struct NewestRead {
    snapshot: Rc<ControlSnapshot>,
    sent_at: MonotonicTime,
    digest: SnapshotDigest,
}

/// The newest snapshot of the store, read by this instance or received from another one.
#[derive(Default)]
pub struct StoreView {
    newest: RefCell<Option<NewestRead>>,
    reads: Cell<ReadSpan>,
    history: RefCell<SnapshotHistory>,
    config_history: RefCell<ConfigHistory>,
}

impl StoreView {
    /// Records the snapshot of a read sent at `sent_at`. Returns the previous digest, or `None` if
    /// the recorded snapshot is newer.
    pub fn record(
        &self,
        snapshot: &ControlSnapshot,
        sent_at: MonotonicTime,
    ) -> Option<SnapshotDigest> {
        let mut newest = self.newest.borrow_mut();
        if let Some(known) = &*newest
            && known.snapshot.revision > snapshot.revision
        {
            return None;
        }
        let reads = match &*newest {
            Some(_) => self.reads.get().extended(sent_at),
            None => ReadSpan::starting(sent_at),
        };
        self.reads.set(reads);
        let previous = newest.as_ref().map(|known| known.digest);
        let digest = SnapshotDigest::of(snapshot);
        let mut history = self.history.borrow_mut();
        history.record(&digest, snapshot);
        if let Some(config) = &snapshot.config {
            self.config_history.borrow_mut().record(config);
        }
        *newest = Some(NewestRead {
            snapshot: Rc::new(snapshot.clone()),
            sent_at,
            digest,
        });
        Some(previous.unwrap_or_default())
    }

    /// Records that the newest snapshot was still current at a later revision, by a read sent at
    /// `sent_at`. Returns the snapshot; `None` if there is none or if it is newer.
    pub fn confirm(&self, revision: u64, sent_at: MonotonicTime) -> Option<Rc<ControlSnapshot>> {
        let mut newest = self.newest.borrow_mut();
        let read = newest.as_mut()?;
        if read.snapshot.revision > revision {
            return None;
        }
        read.sent_at = read.sent_at.max(sent_at);
        self.reads.set(self.reads.get().extended(sent_at));
        if read.snapshot.revision < revision {
            let mut snapshot = (*read.snapshot).clone();
            snapshot.revision = revision;
            read.snapshot = Rc::new(snapshot);
        }
        Some(read.snapshot.clone())
    }

    /// Returns the newest snapshot.
    pub fn snapshot(&self) -> Option<Rc<ControlSnapshot>> {
        let newest = self.newest.borrow();
        newest.as_ref().map(|read| read.snapshot.clone())
    }

    /// Returns the newest reads that followed each other without a gap.
    pub fn reads(&self) -> ReadSpan {
        self.reads.get()
    }

    /// Returns the digest of the newest snapshot.
    pub fn digest(&self) -> SnapshotDigest {
        let newest = self.newest.borrow();
        let digest = newest.as_ref().map(|read| read.digest);
        digest.unwrap_or_default()
    }

    /// Returns the digest and the revision of the newest snapshot.
    pub fn known(&self) -> KnownSnapshot {
        let newest = self.newest.borrow();
        let known = newest.as_ref().map(|read| KnownSnapshot {
            digest: read.digest,
            revision: read.snapshot.revision,
        });
        known.unwrap_or_default()
    }

    /// Returns the difference between a recent version of the configuration and the newest one;
    /// `None` if that version is not known.
    pub fn config_delta(&self, version: u64) -> Option<ConfigDelta> {
        self.config_history.borrow_mut().delta_since(version)
    }

    /// Returns the update for an instance that has `known`.
    pub fn update_since(&self, known: &KnownSnapshot, now: MonotonicTime) -> StoreUpdate {
        let Some(read) = self.newest.borrow().clone() else {
            return StoreUpdate::default();
        };
        let age = now.since(read.sent_at);
        if known.revision > read.snapshot.revision {
            return StoreUpdate::older(&read.snapshot, read.digest.config_version, age);
        }
        let history = self.history.borrow();
        StoreUpdate::since(&known.digest, &history, &read.snapshot, &read.digest, age)
    }
}
