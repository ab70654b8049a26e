//! What the platform's store holds for the fleet, and the interface to it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use coriander_core::LogPosition;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::FleetConfig;

/// Role of a member in its own view.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MemberRole {
    /// Accepts writes.
    Primary,
    /// Follows a primary.
    Replica,
}

/// Entry of a member in the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberEntry {
    /// Identifier of the member.
    pub id: Arc<str>,
    /// Group that it belongs to.
    pub group: Arc<str>,
    /// Its address.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Whether it will leave soon and must get no new work.
    pub draining: bool,
    /// Role in its own view.
    pub role: MemberRole,
    /// How long it stays slow after its start.
    pub warm_up_remaining: Duration,
    /// Start of its process, in milliseconds of the Unix clock.
    pub started_at_ms: u64,
    /// Revision at which the entry was written.
    pub revision: u64,
}

/// Entry of an instance of the fleet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceEntry {
    /// Identifier of the process.
    pub id: Arc<str>,
    /// Address for other instances.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Revision at which the entry was created.
    pub created: u64,
}

/// Lease of the duty to promote members.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DutyLease {
    /// Instance that holds the duty.
    pub holder: Arc<str>,
    /// Its address for other instances, if it is readable.
    pub address: Option<SocketAddr>,
    /// Fencing token; rises with each holder.
    pub token: u64,
}

/// The one member of a group that may be used as primary, on platforms that do not stop a former
/// primary.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DesignatedPrimary {
    /// Group.
    pub group: Arc<str>,
    /// Member.
    pub member: Arc<str>,
}

/// Position of a group's primary soon after its promotion.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TermStart {
    /// Group.
    pub group: Arc<str>,
    /// Position in the term that the promotion began.
    pub position: LogPosition,
}

/// All that the store holds for the fleet, as of one read.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ControlSnapshot {
    /// Revision of the store.
    pub revision: u64,
    /// Newest configuration, if one is readable.
    pub config: Option<Arc<FleetConfig>>,
    /// Availability zones that operators have taken out.
    pub evacuated_zones: Vec<Arc<str>>,
    /// Members.
    pub members: Vec<MemberEntry>,
    /// Instances of the fleet.
    pub instances: Vec<InstanceEntry>,
    /// Secret that authenticates messages between instances.
    pub fleet_secret: Option<Arc<[u8]>>,
    /// Holder of the promotion duty.
    pub duty_lease: Option<DutyLease>,
    /// Designated primaries; groups without a promotion have none.
    pub primaries: Vec<DesignatedPrimary>,
    /// Where the newest terms began; groups without a promotion have none.
    pub term_starts: Vec<TermStart>,
}

/// Identifier of a lease in the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseId(pub u64);

/// Failure of a call to the store.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum StoreError {
    /// Nothing was done.
    #[error("store refused the call with status {0}")]
    Refused(u16),
    /// No answer arrived; a write may take effect later.
    #[error("store did not answer: {0}")]
    NoResponse(String),
    /// The answer could not be understood.
    #[error("store sent an invalid answer: {0}")]
    Invalid(String),
    /// The condition of a write did not hold.
    #[error("another instance changed the key first")]
    Conflict,
    /// The lease has ended.
    #[error("lease has ended")]
    LeaseEnded,
}

/// The platform's store.
#[async_trait(?Send)]
pub trait ControlStore {
    /// Reads everything; the result is at least as recent as the start of the call.
    async fn read_all(&self) -> Result<ControlSnapshot, StoreError>;

    /// Reads the configuration alone; `None` if there is none that is readable.
    async fn read_config(&self) -> Result<Option<Arc<FleetConfig>>, StoreError>;

    /// Starts a lease.
    async fn start_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError>;

    /// Renews a lease.
    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError>;

    /// Ends a lease; its entries go with it.
    async fn end_lease(&self, lease: LeaseId) -> Result<(), StoreError>;

    /// Writes the entry of this instance.
    async fn register(&self, entry: &InstanceEntry, lease: LeaseId) -> Result<(), StoreError>;

    /// Stores the secret of the fleet unless there is one.
    async fn create_fleet_secret(&self, secret: &[u8]) -> Result<(), StoreError>;

    /// Takes the promotion duty if nobody holds it, or renews its token if `replaced_token` is the
    /// token in force. Returns the new fencing token.
    async fn acquire_promotion_duty(
        &self,
        holder: &str,
        address: SocketAddr,
        lease: LeaseId,
        replaced_token: Option<u64>,
    ) -> Result<u64, StoreError>;

    /// Names the member of a group that may be used as primary, if `token` is the token of the
    /// duty in force.
    async fn designate_primary(
        &self,
        primary: &DesignatedPrimary,
        token: u64,
    ) -> Result<(), StoreError>;

    /// Keeps where the newest term of a group began, if `token` is the token of the duty in force.
    async fn record_term_start(&self, start: &TermStart, token: u64) -> Result<(), StoreError>;
}

/// Failure of a promotion call.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum PromotionError {
    /// The member is not running or a higher fencing token was used.
    #[error("promotion was rejected: member is down or the fencing token is outdated")]
    Rejected,
    /// Nothing was done.
    #[error("promotion was refused with status {0}")]
    Refused(u16),
    /// The call may still take effect.
    #[error("promotion was not answered: {0}")]
    NoResponse(String),
}

/// The platform's call that names a new primary.
#[async_trait(?Send)]
pub trait PromotionApi {
    /// Makes a member the primary of its group.
    async fn promote(
        &self,
        group: &str,
        member: &str,
        holder: &str,
        token: u64,
    ) -> Result<(), PromotionError>;
}
