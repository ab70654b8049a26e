//! Limits of the HTTP client of one member.

use std::time::Duration;

/// Limits of an [`HttpMember`](crate::HttpMember).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberSettings {
    pub(crate) control_timeout: Duration,
    pub(crate) connect_timeout: Duration,
    pub(crate) max_response_bytes: usize,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            control_timeout: Duration::from_secs(1),
            connect_timeout: Duration::from_secs(1),
            max_response_bytes: 16 << 20,
        }
    }
}

impl MemberSettings {
    /// Sets the timeout of group control calls.
    #[must_use]
    pub fn with_control_timeout(mut self, timeout: Duration) -> Self {
        self.control_timeout = timeout;
        self
    }

    /// Sets the timeout for opening a connection.
    #[must_use]
    pub fn with_connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Sets the maximum size of a response body in bytes.
    #[must_use]
    pub fn with_max_response_bytes(mut self, bytes: usize) -> Self {
        self.max_response_bytes = bytes;
        self
    }
}
