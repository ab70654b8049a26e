//! A store in memory that accepts the writes of one fencing token and refuses all other calls.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use coriander_service_api::{
    ControlSnapshot, ControlStore, DesignatedPrimary, FleetConfig, InstanceEntry, LeaseId,
    StoreError, TermStart,
};

/// Accepts writes with the fencing token `token` only.
pub struct FakeStore {
    token: u64,
    pub primaries: RefCell<Vec<DesignatedPrimary>>,
    pub term_starts: RefCell<Vec<TermStart>>,
}

impl FakeStore {
    pub fn new(token: u64) -> Rc<Self> {
        Rc::new(Self {
            token,
            primaries: RefCell::default(),
            term_starts: RefCell::default(),
        })
    }
}

#[async_trait(?Send)]
impl ControlStore for FakeStore {
    async fn read_all(&self) -> Result<ControlSnapshot, StoreError> {
        Err(StoreError::Refused(503))
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
        Err(StoreError::Refused(503))
    }

    async fn register(&self, _entry: &InstanceEntry, _lease: LeaseId) -> Result<(), StoreError> {
        Err(StoreError::Refused(503))
    }

    async fn create_fleet_secret(&self, _secret: &[u8]) -> Result<(), StoreError> {
        Err(StoreError::Refused(503))
    }

    async fn acquire_promotion_duty(
        &self,
        _holder: &str,
        _address: SocketAddr,
        _lease: LeaseId,
        _replaced_token: Option<u64>,
    ) -> Result<u64, StoreError> {
        Err(StoreError::Refused(503))
    }

    async fn record_term_start(&self, start: &TermStart, token: u64) -> Result<(), StoreError> {
        if token != self.token {
            return Err(StoreError::Conflict);
        }
        self.term_starts.borrow_mut().push(start.clone());
        Ok(())
    }

    async fn designate_primary(
        &self,
        primary: &DesignatedPrimary,
        token: u64,
    ) -> Result<(), StoreError> {
        if token != self.token {
            return Err(StoreError::Conflict);
        }
        self.primaries.borrow_mut().push(primary.clone());
        Ok(())
    }
}
