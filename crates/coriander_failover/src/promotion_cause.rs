//! Reasons for a promotion.

use std::fmt;

/// Why a new primary is needed.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum PromotionCause {
    /// No member is primary.
    NoPrimary,
    /// The primary's host refuses connections.
    Refused,
    /// The primary does not reply.
    Silent,
    /// The primary restarted without its role or term.
    RoleLost,
    /// The primary lacks entries that it had before.
    EntriesLost,
    /// Writes of the primary reach no majority although the other members reply.
    ReplicationStalled,
    /// A member has accepted a later term, which has no primary.
    LaterTerm,
    /// The instance that used the primary was lost and may have left transactions open.
    GatewayLost,
    /// The primary is leaving or its zone is out of service.
    Planned,
}

impl PromotionCause {
    /// Returns the name of the cause in logs and metrics.
    ///
    /// ```
    /// use coriander_failover::PromotionCause;
    ///
    /// assert_eq!(PromotionCause::RoleLost.as_str(), "role_lost");
    /// ```
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoPrimary => "no_primary",
            Self::Refused => "refused",
            Self::Silent => "silent",
            Self::RoleLost => "role_lost",
            Self::EntriesLost => "entries_lost",
            Self::ReplicationStalled => "replication_stalled",
            Self::LaterTerm => "later_term",
            Self::GatewayLost => "gateway_lost",
            Self::Planned => "planned",
        }
    }
}

impl fmt::Display for PromotionCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
