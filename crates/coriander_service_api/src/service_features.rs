//! Optional parts of the service that an installation asks for.

/// Parts of the service that work only where the settings ask for them.
///
/// ```
/// use coriander_service_api::ServiceFeatures;
///
/// assert!(!ServiceFeatures::default().usage_reports);
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServiceFeatures {
    /// Learns how many concurrent statements each member takes well, and sets failing members
    /// aside.
    pub learned_capacity: bool,
    /// Orders the requests that wait for connections by deadline and account.
    pub ordered_waiting: bool,
    /// Reports the usage of client accounts to the platform.
    pub usage_reports: bool,
}
