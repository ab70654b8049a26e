//! The recorded promotions of all groups, as the holder of the promotion duty keeps them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use coriander_service_api::{ControlStore, LineageRecord, StoreError};

use crate::promotion::term_lineage::TermLineage;

#[derive(Clone, Default)]
struct KnownLineage {
    lineage: TermLineage,
    /// Revision of its record in the store.
    revision: u64,
}

/// Reads and writes the recorded promotions.
pub struct LineageStore {
    store: Rc<dyn ControlStore>,
    known: RefCell<HashMap<Arc<str>, KnownLineage>>,
    /// Tenure of the promotion duty for which the records were read.
    read_in_tenure: Cell<Option<u64>>,
}

impl LineageStore {
    /// Creates the store without a known record.
    pub fn new(store: Rc<dyn ControlStore>) -> Self {
        Self {
            store,
            known: RefCell::default(),
            read_in_tenure: Cell::new(None),
        }
    }

    /// Reads the records unless they have been read since the duty was acquired. Only the holder
    /// writes them, so they are current from then on.
    pub async fn ensure_read(&self, tenure: u64) -> Result<(), StoreError> {
        if self.read_in_tenure.get() == Some(tenure) {
            return Ok(());
        }
        let records = self.store.read_lineages().await?;
        let known = records.into_iter().map(|record| {
            let lineage = KnownLineage {
                lineage: TermLineage::new(record.origins),
                revision: record.revision,
            };
            (record.group, lineage)
        });
        *self.known.borrow_mut() = known.collect();
        self.read_in_tenure.set(Some(tenure));
        Ok(())
    }

    /// Returns the lineage of a group.
    pub fn lineage(&self, group: &str) -> TermLineage {
        let known = self.known.borrow();
        known
            .get(group)
            .map_or_else(TermLineage::default, |known| known.lineage.clone())
    }

    /// Writes the lineage of a group if it has changed. After a failure the records are read again,
    /// because the write may have taken effect.
    pub async fn write(
        &self,
        group: &Arc<str>,
        lineage: TermLineage,
        token: u64,
    ) -> Result<(), StoreError> {
        let old = self.known.borrow().get(group).cloned().unwrap_or_default();
        if old.lineage == lineage && old.revision > 0 {
            return Ok(());
        }
        let record = LineageRecord {
            group: group.clone(),
            origins: lineage.origins().to_vec(),
            revision: old.revision,
        };
        match self.store.write_lineage(&record, token).await {
            Ok(revision) => {
                let written = KnownLineage { lineage, revision };
                self.known.borrow_mut().insert(group.clone(), written);
                Ok(())
            }
            Err(error) => {
                self.read_in_tenure.set(None);
                Err(error)
            }
        }
    }

    /// Restores the lineage of a group after a promotion that had no effect. The record in the
    /// store follows with the next write; until then it only excludes more logs.
    pub fn restore(&self, group: &str, lineage: TermLineage) {
        if let Some(known) = self.known.borrow_mut().get_mut(group) {
            known.lineage = lineage;
        }
    }
}
