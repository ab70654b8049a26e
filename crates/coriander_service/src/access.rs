//! Admission: key, route, age of the configuration, and rate.

use std::sync::Arc;
use std::time::Duration;

use coriander_core::MonotonicTime;
use coriander_service_api::{
    ClientAccount, DatabaseRoute, FailureCode, FailureReason, FleetConfig, SessionFailure,
};
use tokio::time::timeout;

use crate::service::SessionService;

/// Subtracted from the lifetime of withdrawn keys. Covers different clock rates and the transfer of
/// the read that confirms the configuration.
const KEY_LIFETIME_MARGIN: Duration = Duration::from_millis(250);

/// Age of the configuration up to which an unknown key or database is refused at once. With an
/// older configuration the caller waits for the next read of the store, which may contain the name.
const UNKNOWN_NAME_AGE: Duration = Duration::from_millis(500);

/// How long such a caller waits.
const UNKNOWN_NAME_TIMEOUT: Duration = Duration::from_millis(500);

/// Age of the configuration beyond the key lifetime from which an idle session is closed, so that
/// its caller can connect to an instance that reaches the store.
const CLOSE_IDLE_AGE: Duration = Duration::from_millis(500);

/// Delay after which a caller should retry a failure that may concern this instance only.
const INSTANCE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Result of an admission check: who may run statements on which route.
#[derive(Clone)]
pub struct GrantedAccess {
    /// Configuration that the check used.
    pub config: Arc<FleetConfig>,
    /// Route of the database.
    pub route: Arc<DatabaseRoute>,
    /// Account of the key; `None` for an unknown key on a route that is open to all.
    pub account: Option<Arc<ClientAccount>>,
    /// Account name sent to members.
    pub account_name: Arc<str>,
}

impl SessionService {
    /// Returns whether the configuration is recent enough to accept keys.
    pub fn is_config_recent(&self, now: MonotonicTime) -> bool {
        let Some(age) = self.config_view.age(now) else {
            return false;
        };
        let limit = self.settings().key_lifetime;
        limit.is_none_or(|limit| age < limit.saturating_sub(KEY_LIFETIME_MARGIN))
    }

    /// Checks key and database against the configuration in force.
    pub fn check_access(&self, database: &str, key: &str) -> Result<GrantedAccess, SessionFailure> {
        let Some(config) = self.config_view.config() else {
            let failure = SessionFailure::new(FailureCode::Busy, FailureReason::NoConfig);
            return Err(failure.with_retry_after(INSTANCE_RETRY_AFTER));
        };
        let Some(route) = config.routes.get(database).cloned() else {
            return Err(SessionFailure::new(
                FailureCode::UnknownDatabase,
                FailureReason::NoRoute,
            ));
        };
        let account = config.account_for_key(key).cloned();
        if route.open_to_all {
            let name = account.as_ref().map(|account| account.name.clone());
            return Ok(GrantedAccess {
                account_name: name.unwrap_or_else(|| self.anonymous_account.clone()),
                config,
                route,
                account,
            });
        }
        let Some(account) = account else {
            return Err(SessionFailure::new(
                FailureCode::UnknownKey,
                FailureReason::KeyNotInConfig,
            ));
        };
        if !self.is_config_recent(self.clock.now()) {
            let failure = SessionFailure::new(FailureCode::Busy, FailureReason::ConfigTooOld);
            return Err(failure.with_retry_after(INSTANCE_RETRY_AFTER));
        }
        Ok(GrantedAccess {
            account_name: account.name.clone(),
            config,
            route,
            account: Some(account),
        })
    }

    /// Checks access, and checks it again after the next read of the store if the first check fails
    /// for a reason that a newer configuration can remove.
    pub async fn check_access_with_retry(
        &self,
        database: &str,
        key: &str,
    ) -> Result<GrantedAccess, SessionFailure> {
        let failure = match self.check_access(database, key) {
            Ok(access) => return Ok(access),
            Err(failure) => failure,
        };
        let unknown = matches!(
            failure.reason,
            FailureReason::KeyNotInConfig | FailureReason::NoRoute
        );
        let age = self.config_view.age(self.clock.now());
        if !unknown || age.is_none_or(|age| age < UNKNOWN_NAME_AGE) {
            return Err(failure);
        }
        // Without a newer read the second check has the same result.
        let _ = timeout(UNKNOWN_NAME_TIMEOUT, self.snapshot_applied.notified()).await;
        self.check_access(database, key)
    }

    /// Returns whether the store has been unreachable for so long that callers should use another
    /// instance.
    pub fn is_isolated(&self) -> bool {
        let now = self.clock.now();
        let age = self.config_view.age(now);
        let limit = self.settings().key_lifetime;
        limit.is_some_and(|limit| age.is_none_or(|age| age >= limit + CLOSE_IDLE_AGE))
    }

    /// Takes one operation from the rate limit of an account; fails if the limit is exceeded.
    pub async fn check_rate(&self, access: &GrantedAccess) -> Result<(), SessionFailure> {
        let Some(account) = &access.account else {
            return Ok(());
        };
        let result = self.rate_limiter.acquire(account).await;
        let label = if result.is_ok() {
            "admitted"
        } else {
            "refused"
        };
        self.metrics.count_operation(&account.name, label);
        result.map_err(|delay| {
            SessionFailure::new(FailureCode::Busy, FailureReason::RateExceeded)
                .with_retry_after(delay)
                .with_decision_inputs(self.rate_limiter.describe(&account.name))
        })
    }
}
