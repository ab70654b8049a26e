//! Limits of the HTTP client of one member.

use std::time::Duration;

/// Limits of an [`HttpMember`](crate::HttpMember).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberSettings {
    pub(crate) control_timeout: Duration,
    pub(crate) connect_timeout: Duration,
    pub(crate) response_limit: usize,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            control_timeout: Duration::from_secs(1),
            connect_timeout: Duration::from_secs(1),
            response_limit: 16 << 20,
        }
    }
}

impl MemberSettings {
    /// Sets the time after which a group control call counts as lost.
    #[must_use]
    pub fn with_control_timeout(mut self, timeout: Duration) -> Self {
        self.control_timeout = timeout;
        self
    }

    /// Sets the time within which a connection must open.
    #[must_use]
    pub fn with_connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Sets the greatest accepted size of a response body in bytes.
    #[must_use]
    pub fn with_response_limit(mut self, bytes: usize) -> Self {
        self.response_limit = bytes;
        self
    }
}
