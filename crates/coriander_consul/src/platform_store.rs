//! Interface to the platform's key-value service and lists.

use std::time::Duration;

use async_trait::async_trait;

use crate::{
    ExpiryBehavior, InstanceRegistration, KeyRead, ModifyIndex, PlatformError, PutCondition,
    PutOutcome, RenewOutcome, ServiceList, SessionId,
};

/// The platform as seen by one instance.
///
/// Reads of keys are linearizable: a value that was current before the request was sent is never
/// missed. The freshness rule depends on this. A call that returns
/// [`PlatformError::Paced`] or [`PlatformError::NotSent`] had no effect.
#[async_trait(?Send)]
pub trait PlatformStore {
    /// Reads a key.
    async fn read_key(&self, key: &str) -> Result<KeyRead, PlatformError>;

    /// Waits up to `wait` until a key has changed since `index`, and reads it.
    ///
    /// The result confirms the value as of the moment at which the request was sent, not as of
    /// the moment at which the response arrived.
    async fn watch_key(
        &self,
        key: &str,
        index: ModifyIndex,
        wait: Duration,
    ) -> Result<KeyRead, PlatformError>;

    /// Writes a key if the condition holds.
    async fn put_key(
        &self,
        key: &str,
        value: &[u8],
        condition: PutCondition,
    ) -> Result<PutOutcome, PlatformError>;

    /// Writes a key and takes it for a session; fails if another session holds it.
    async fn put_key_for_session(
        &self,
        key: &str,
        value: &[u8],
        session: &SessionId,
    ) -> Result<PutOutcome, PlatformError>;

    /// Deletes a key; a missing key is no error.
    async fn delete_key(&self, key: &str) -> Result<(), PlatformError>;

    /// Creates a session that lapses unless it is renewed within `ttl`.
    async fn create_session(
        &self,
        name: &str,
        ttl: Duration,
        behavior: ExpiryBehavior,
    ) -> Result<SessionId, PlatformError>;

    /// Renews a session for another TTL.
    async fn renew_session(&self, session: &SessionId) -> Result<RenewOutcome, PlatformError>;

    /// Ends a session, which releases or deletes its keys.
    async fn destroy_session(&self, session: &SessionId) -> Result<(), PlatformError>;

    /// Lists the members of a service.
    async fn list_service(&self, service: &str) -> Result<ServiceList, PlatformError>;

    /// Waits up to `wait` until the list of a service has changed since `index`, and reads it.
    async fn watch_service(
        &self,
        service: &str,
        index: ModifyIndex,
        wait: Duration,
    ) -> Result<ServiceList, PlatformError>;

    /// Enters an instance into the platform's list or updates its entry.
    async fn register_instance(
        &self,
        registration: &InstanceRegistration,
    ) -> Result<(), PlatformError>;

    /// Removes an instance from the platform's list.
    async fn deregister_instance(
        &self,
        registration: &InstanceRegistration,
    ) -> Result<(), PlatformError>;
}
