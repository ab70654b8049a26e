//! Content of the platform's store for the fleet, and the interface to the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use coriander_core::{LogPosition, TermNumber};
use coriander_usage::{UsageRecord, WindowUsage};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::FleetConfig;

/// Role that a member reports for itself.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MemberRole {
    /// Accepts writes.
    Primary,
    /// Replicates from a primary.
    Replica,
}

/// Entry of a member in the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberEntry {
    /// Identifier of the member.
    pub id: Arc<str>,
    /// Group of the member.
    pub group: Arc<str>,
    /// Address for connections.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Whether the member is about to be removed and must receive no new work.
    pub draining: bool,
    /// Role that the member reports for itself.
    pub role: MemberRole,
    /// Remaining time of the warm-up after the member's start.
    pub warm_up_remaining: Duration,
    /// Start time of the process, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
    /// Revision at which the entry was written.
    pub revision: u64,
}

/// Entry of an instance of the fleet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceEntry {
    /// Name of the instance.
    pub id: Arc<str>,
    /// Address for other instances.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Revision at which the entry was created.
    pub created: u64,
}

/// What a starting instance needs to ask others for the contents of the store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FleetContacts {
    /// Secret that authenticates messages between instances; `None` if it does not exist yet.
    pub fleet_secret: Option<Arc<[u8]>>,
    /// Some instances of the fleet, or all of them.
    pub instances: Vec<InstanceEntry>,
}

/// A duty that one instance performs at a time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Duty {
    /// Promotes members.
    Promotion,
    /// Reports the usage of client accounts.
    UsageReport,
}

impl Duty {
    /// Returns the name of the duty in logs.
    ///
    /// ```
    /// assert_eq!(coriander_service_api::Duty::UsageReport.label(), "usage_report");
    /// ```
    pub const fn label(self) -> &'static str {
        match self {
            Self::Promotion => "promotion",
            Self::UsageReport => "usage_report",
        }
    }
}

/// Lease of a duty.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DutyLease {
    /// Identifier of the process that holds the lease.
    pub holder: Arc<str>,
    /// Address of the holder for other instances; `None` if the entry has no valid address.
    pub address: Option<SocketAddr>,
    /// Fencing token; increases with each holder.
    pub token: u64,
}

/// The only member of a group that may be used as primary, on platforms that do not stop a former
/// primary.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DesignatedPrimary {
    /// Group.
    pub group: Arc<str>,
    /// Member.
    pub member: Arc<str>,
}

/// A promotion, recorded before it is requested.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TermOrigin {
    /// The promoted member.
    pub member: Arc<str>,
    /// Term that it starts; the highest possible one while it is not certain.
    pub term: TermNumber,
    /// Newest term that was known when it was requested.
    pub previous_term: TermNumber,
    /// End of the member's log before; the log may have been longer when the promotion took effect.
    pub parent: LogPosition,
    /// Whether the promotion has taken effect; otherwise it may have.
    pub is_certain: bool,
}

/// The recorded promotions of a group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LineageRecord {
    /// Group.
    pub group: Arc<str>,
    /// Promotions in their order.
    pub origins: Vec<TermOrigin>,
    /// Revision of the record in the store; 0 if there is none.
    pub revision: u64,
}

/// Content of the store for the fleet, as of one read.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ControlSnapshot {
    /// Revision of the store.
    pub revision: u64,
    /// Newest valid configuration.
    pub config: Option<Arc<FleetConfig>>,
    /// Revision at which the configuration was written; 0 if it is not known.
    pub config_revision: u64,
    /// Availability zones that operators have taken out of service.
    pub evacuated_zones: Vec<Arc<str>>,
    /// Members.
    pub members: Vec<MemberEntry>,
    /// Instances of the fleet.
    pub instances: Vec<InstanceEntry>,
    /// Secret that authenticates messages between instances.
    pub fleet_secret: Option<Arc<[u8]>>,
    /// Lease of the promotion duty, if an instance holds it.
    pub duty_lease: Option<DutyLease>,
    /// Lease of the duty to report usage, if an instance holds it.
    pub usage_lease: Option<DutyLease>,
    /// Designated primaries; groups without a promotion have none.
    pub primaries: Vec<DesignatedPrimary>,
    /// Number of invalid entries that were left out.
    pub entries_left_out: u64,
}

/// Identifier of a lease in the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseId(pub u64);

/// Failure of a call to the store.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum StoreError {
    /// The call had no effect.
    #[error("store refused the call with status {0}")]
    Refused(u16),
    /// No response was received; a write may take effect later.
    #[error("no response from the store: {0}")]
    NoResponse(String),
    /// The response could not be parsed.
    #[error("store sent an invalid response: {0}")]
    Invalid(String),
    /// The condition of a write was not met.
    #[error("another instance changed the key first")]
    Conflict,
    /// The lease has ended.
    #[error("lease has ended")]
    LeaseEnded,
}

/// The platform's store.
#[async_trait(?Send)]
pub trait ControlStore {
    /// Reads the whole content; the result is at least as recent as the start of the call.
    async fn read_all(&self) -> Result<ControlSnapshot, StoreError>;

    /// Reads the secret of the fleet and some instances in few calls, for the instance `own_id` that
    /// starts. A store that offers no shorter way returns nothing, so that all is read.
    async fn read_contacts(&self, _own_id: &str) -> Result<FleetContacts, StoreError> {
        Ok(FleetContacts::default())
    }

    /// Reads only the configuration; `None` if the store contains no valid one.
    async fn read_config(&self) -> Result<Option<Arc<FleetConfig>>, StoreError>;

    /// Takes over a configuration that another instance has read at `revision`, so that later reads
    /// need not transfer it.
    fn adopt_config(&self, _revision: u64, _config: &Arc<FleetConfig>) {}

    /// Starts a lease.
    async fn start_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError>;

    /// Renews a lease.
    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError>;

    /// Ends a lease; entries written under it are deleted.
    async fn end_lease(&self, lease: LeaseId) -> Result<(), StoreError>;

    /// Writes the entry of this instance under a lease. Returns the revision of the write.
    async fn register(&self, entry: &InstanceEntry, lease: LeaseId) -> Result<u64, StoreError>;

    /// Stores the fleet secret unless the store already contains one.
    async fn create_fleet_secret(&self, secret: &[u8]) -> Result<(), StoreError>;

    /// Acquires a duty if it has no holder, or replaces its token if `replaced_token` is the
    /// current token. Returns the new fencing token.
    async fn acquire_duty(
        &self,
        duty: Duty,
        holder: &str,
        address: SocketAddr,
        lease: LeaseId,
        replaced_token: Option<u64>,
    ) -> Result<u64, StoreError>;

    /// Designates the member of a group that may be used as primary, if `token` is the current
    /// token of the promotion duty.
    async fn designate_primary(
        &self,
        primary: &DesignatedPrimary,
        token: u64,
    ) -> Result<(), StoreError>;

    /// Reads the recorded promotions of all groups.
    async fn read_lineages(&self) -> Result<Vec<LineageRecord>, StoreError>;

    /// Replaces the recorded promotions of a group and returns the new revision, if `token` is the
    /// current token of the promotion duty and the record still has the given revision.
    async fn write_lineage(&self, record: &LineageRecord, token: u64) -> Result<u64, StoreError>;

    /// Reads the record of usage reports; an empty one if there is none.
    async fn read_usage_record(&self) -> Result<UsageRecord, StoreError>;

    /// Replaces the record of usage reports and returns the new revision, if `token` is the current
    /// token of the duty to report usage and the record still has the given revision.
    async fn write_usage_record(&self, record: &UsageRecord, token: u64)
    -> Result<u64, StoreError>;
}

/// Failure of a promotion call.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum PromotionError {
    /// The member is not running or a higher fencing token was used.
    #[error("promotion was rejected: member is down or the fencing token is outdated")]
    Rejected,
    /// The call had no effect.
    #[error("promotion was refused with status {0}")]
    Refused(u16),
    /// The call was not sent.
    #[error("promotion was not sent: {0}")]
    NotSent(String),
    /// No response was received; the call may still take effect.
    #[error("no response to the promotion: {0}")]
    NoResponse(String),
}

/// The platform's promotion call.
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

/// Failure of a usage report.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum UsageReportError {
    /// A higher fencing token was used.
    #[error("usage report was rejected: the fencing token is outdated")]
    Rejected,
    /// The call had no effect.
    #[error("usage report was refused with status {0}")]
    Refused(u16),
    /// The call was not sent.
    #[error("usage report was not sent: {0}")]
    NotSent(String),
    /// No response was received; the call may still take effect.
    #[error("no response to the usage report: {0}")]
    NoResponse(String),
}

/// The platform's call for usage reports.
#[async_trait(?Send)]
pub trait UsageApi {
    /// Reports the usage of a window. A repeat with the same counts has no effect.
    async fn report(
        &self,
        usage: &WindowUsage,
        holder: &str,
        token: u64,
    ) -> Result<(), UsageReportError>;
}
