//! Interface to the platform's key-value store, sessions and service lists.

use std::time::Duration;

use async_trait::async_trait;

use crate::{
    ExpiryBehavior, InstanceRegistration, KeyRead, ModifyIndex, PlatformError, PutCondition,
    PutOutcome, RenewOutcome, ServiceList, SessionId,
};

/// Platform calls of one instance.
///
/// Reads of keys are linearizable: they return the value that was current when the request was
/// sent, or a newer one. The freshness rule depends on this. A call that returns
/// [`PlatformError::Paced`] or [`PlatformError::NotSent`] had no effect.
#[async_trait(?Send)]
pub trait PlatformStore {
    /// Reads a key.
    async fn read_key(&self, key: &str) -> Result<KeyRead, PlatformError>;

    /// Waits up to `wait` until a key has changed since `index`, and reads it.
    ///
    /// The result confirms the value as of the time at which the request was sent, not the time at
    /// which the response arrived.
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

    /// Writes a key and acquires it for a session; the condition fails if another session holds it.
    async fn put_key_for_session(
        &self,
        key: &str,
        value: &[u8],
        session: &SessionId,
    ) -> Result<PutOutcome, PlatformError>;

    /// Deletes a key; a missing key is not an error.
    async fn delete_key(&self, key: &str) -> Result<(), PlatformError>;

    /// Creates a session that expires unless it is renewed within `ttl`.
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

    /// Registers an instance in the platform's list or updates its entry.
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
