//! Settings of the session service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coriander_service_api::ServiceFeatures;
use coriander_usage::UsagePolicy;

/// Identity and limits of one instance.
///
/// ```
/// use std::time::Duration;
/// use coriander_service::ServiceSettings;
///
/// let peers = "10.1.0.26:7560".parse().expect("valid address");
/// let settings = ServiceSettings::new("berrechid-1", "berrechid", peers)
///     .with_key_lifetime(Some(Duration::from_secs(5)))
///     .with_shutdown_timeout(Duration::from_secs(6));
/// assert_eq!(settings.shutdown_timeout, Duration::from_secs(6));
/// ```
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Identifier of this process; changes with each restart.
    pub process_id: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Address for other instances.
    pub peer_address: SocketAddr,
    /// Maximum time for which a withdrawn key is still accepted; `None` for no limit.
    pub key_lifetime: Option<Duration>,
    /// Time from the request to stop until the process is killed.
    pub shutdown_timeout: Duration,
    /// Whether the platform rejects promotions with an outdated fencing token.
    pub platform_fences: bool,
    /// Optional parts of the service that work.
    pub features: ServiceFeatures,
    /// Windows of usage reports, and their times.
    pub usage: UsagePolicy,
}

impl ServiceSettings {
    /// Creates settings with defaults.
    pub fn new(name: &str, zone: &str, peer_address: SocketAddr) -> Self {
        Self {
            name: name.into(),
            process_id: name.into(),
            zone: zone.into(),
            peer_address,
            key_lifetime: Some(Duration::from_secs(5)),
            shutdown_timeout: Duration::from_secs(6),
            platform_fences: false,
            features: ServiceFeatures::default(),
            usage: UsagePolicy::default(),
        }
    }

    /// Sets the maximum time for which a withdrawn key is still accepted.
    #[must_use]
    pub const fn with_key_lifetime(mut self, lifetime: Option<Duration>) -> Self {
        self.key_lifetime = lifetime;
        self
    }

    /// Sets the time from the request to stop until the process is killed.
    #[must_use]
    pub const fn with_shutdown_timeout(mut self, timeout: Duration) -> Self {
        self.shutdown_timeout = timeout;
        self
    }

    /// Sets the identifier of this process.
    #[must_use]
    pub fn with_process_id(mut self, process_id: &str) -> Self {
        self.process_id = process_id.into();
        self
    }

    /// Sets whether the platform rejects promotions with an outdated fencing token.
    #[must_use]
    pub const fn with_platform_fences(mut self, fences: bool) -> Self {
        self.platform_fences = fences;
        self
    }

    /// Sets which optional parts of the service work.
    #[must_use]
    pub const fn with_features(mut self, features: ServiceFeatures) -> Self {
        self.features = features;
        self
    }

    /// Sets the windows of usage reports, and their times.
    #[must_use]
    pub const fn with_usage(mut self, usage: UsagePolicy) -> Self {
        self.usage = usage;
        self
    }
}
