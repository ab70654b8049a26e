//! A store in memory that accepts the writes of one fencing token and refuses all other calls.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use coriander_service_api::{
    ControlSnapshot, ControlStore, DesignatedPrimary, Duty, FleetConfig, FleetContacts,
    InstanceEntry, LeaseId, LineageRecord, StoreError,
};
use coriander_usage::UsageRecord;

/// Accepts writes with the fencing token `token` only.
pub struct FakeStore {
    pub token: Cell<u64>,
    pub primaries: RefCell<Vec<DesignatedPrimary>>,
    pub lineages: RefCell<HashMap<Arc<str>, LineageRecord>>,
    pub usage_record: RefCell<UsageRecord>,
    /// Whether it sends no response.
    pub is_silent: Cell<bool>,
    /// Time until it responds to the end of a lease.
    pub lease_end_delay: Cell<Duration>,
    /// Reads of the contacts that fail before one succeeds.
    pub failing_contacts: Cell<usize>,
}

impl FakeStore {
    pub fn new(token: u64) -> Rc<Self> {
        Rc::new(Self {
            token: Cell::new(token),
            primaries: RefCell::default(),
            lineages: RefCell::default(),
            usage_record: RefCell::default(),
            is_silent: Cell::new(false),
            lease_end_delay: Cell::default(),
            failing_contacts: Cell::new(0),
        })
    }

    fn check_reachable(&self) -> Result<(), StoreError> {
        if self.is_silent.get() {
            return Err(StoreError::NoResponse("silent".to_owned()));
        }
        Ok(())
    }
}

#[async_trait(?Send)]
impl ControlStore for FakeStore {
    async fn read_all(&self) -> Result<ControlSnapshot, StoreError> {
        Err(StoreError::Refused(503))
    }

    async fn read_contacts(&self, _own_id: &str) -> Result<FleetContacts, StoreError> {
        let failing = self.failing_contacts.get();
        if failing > 0 {
            self.failing_contacts.set(failing - 1);
            return Err(StoreError::Refused(503));
        }
        let secret: Arc<[u8]> = Arc::from([7; 32].as_slice());
        Ok(FleetContacts {
            fleet_secret: Some(secret),
            instances: Vec::new(),
        })
    }

    async fn read_config(&self) -> Result<Option<Arc<FleetConfig>>, StoreError> {
        Err(StoreError::Refused(503))
    }

    async fn start_lease(&self, _ttl: Duration) -> Result<LeaseId, StoreError> {
        Err(StoreError::Refused(503))
    }

    async fn renew_lease(&self, _lease: LeaseId) -> Result<(), StoreError> {
        Err(StoreError::Refused(503))
    }

    async fn end_lease(&self, _lease: LeaseId) -> Result<(), StoreError> {
        tokio::time::sleep(self.lease_end_delay.get()).await;
        Err(StoreError::Refused(503))
    }

    async fn register(&self, _entry: &InstanceEntry, _lease: LeaseId) -> Result<u64, StoreError> {
        Err(StoreError::Refused(503))
    }

    async fn create_fleet_secret(&self, _secret: &[u8]) -> Result<(), StoreError> {
        Err(StoreError::Refused(503))
    }

    async fn acquire_duty(
        &self,
        _duty: Duty,
        _holder: &str,
        _address: SocketAddr,
        _lease: LeaseId,
        _replaced_token: Option<u64>,
    ) -> Result<u64, StoreError> {
        Err(StoreError::Refused(503))
    }

    async fn read_lineages(&self) -> Result<Vec<LineageRecord>, StoreError> {
        self.check_reachable()?;
        Ok(self.lineages.borrow().values().cloned().collect())
    }

    async fn write_lineage(&self, record: &LineageRecord, token: u64) -> Result<u64, StoreError> {
        self.check_reachable()?;
        let mut lineages = self.lineages.borrow_mut();
        let revision = lineages
            .get(&record.group)
            .map_or(0, |known| known.revision);
        if token != self.token.get() || record.revision != revision {
            return Err(StoreError::Conflict);
        }
        let revision = revision + 1;
        let written = LineageRecord {
            revision,
            ..record.clone()
        };
        lineages.insert(record.group.clone(), written);
        Ok(revision)
    }

    async fn read_usage_record(&self) -> Result<UsageRecord, StoreError> {
        self.check_reachable()?;
        Ok(self.usage_record.borrow().clone())
    }

    async fn write_usage_record(
        &self,
        record: &UsageRecord,
        token: u64,
    ) -> Result<u64, StoreError> {
        self.check_reachable()?;
        let mut known = self.usage_record.borrow_mut();
        if token != self.token.get() || record.revision != known.revision {
            return Err(StoreError::Conflict);
        }
        let revision = known.revision + 1;
        *known = UsageRecord {
            revision,
            ..record.clone()
        };
        Ok(revision)
    }

    async fn designate_primary(
        &self,
        primary: &DesignatedPrimary,
        token: u64,
    ) -> Result<(), StoreError> {
        if token != self.token.get() {
            return Err(StoreError::Conflict);
        }
        self.primaries.borrow_mut().push(primary.clone());
        Ok(())
    }
}
