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

/// Key lifetime below which keys are refused now and then although the store is well: a
/// configuration is up to 1.6 s old before it is confirmed again.
pub const SHORT_KEY_LIFETIME: Duration = Duration::from_secs(2);

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

/// Weight of an account without a rate limit.
const DEFAULT_WEIGHT: u32 = 100;

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

impl GrantedAccess {
    /// Returns the share of the account relative to others, in operations per second of its rate
    /// limit.
    pub fn weight(&self) -> u32 {
        let account = self.account.as_ref();
        let rate = account.and_then(|account| account.rate);
        rate.map_or(DEFAULT_WEIGHT, |rate| rate.ceil().max(1.0) as u32)
    }
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
        let config = self.current_config()?;
        let Some(route) = config.routes.get(database).cloned() else {
            return Err(SessionFailure::new(
                FailureCode::UnknownDatabase,
                FailureReason::NoRoute,
            ));
        };
        let account = self.check_key(&config, &route, key)?;
        Ok(GrantedAccess {
            account_name: self.account_name(account.as_ref()),
            config,
            route,
            account,
        })
    }

    /// Checks that the key of an open transaction still belongs to the account for which it runs.
    /// The transaction keeps the route that it started with, even if the route is removed.
    pub fn check_open_transaction(
        &self,
        access: &GrantedAccess,
        key: &str,
    ) -> Result<(), SessionFailure> {
        let config = self.current_config()?;
        let account = self.check_key(&config, &access.route, key)?;
        if self.account_name(account.as_ref()) == access.account_name {
            return Ok(());
        }
        let code = if access.route.open_to_all {
            FailureCode::Aborted
        } else {
            FailureCode::UnknownKey
        };
        Err(SessionFailure::new(code, FailureReason::KeyNotInConfig))
    }

    fn current_config(&self) -> Result<Arc<FleetConfig>, SessionFailure> {
        self.config_view.config().ok_or_else(|| {
            SessionFailure::new(FailureCode::Busy, FailureReason::NoConfig)
                .with_retry_after(INSTANCE_RETRY_AFTER)
        })
    }

    /// Returns the account of a key; `None` for an unknown key on a route that is open to all.
    fn check_key(
        &self,
        config: &FleetConfig,
        route: &DatabaseRoute,
        key: &str,
    ) -> Result<Option<Arc<ClientAccount>>, SessionFailure> {
        let account = config.account_for_key(key).cloned();
        if route.open_to_all {
            return Ok(account);
        }
        if account.is_none() {
            return Err(SessionFailure::new(
                FailureCode::UnknownKey,
                FailureReason::KeyNotInConfig,
            ));
        }
        if !self.is_config_recent(self.clock.now()) {
            let failure = SessionFailure::new(FailureCode::Busy, FailureReason::ConfigTooOld);
            return Err(failure.with_retry_after(INSTANCE_RETRY_AFTER));
        }
        Ok(account)
    }

    /// Returns the account name that is sent to members.
    fn account_name(&self, account: Option<&Arc<ClientAccount>>) -> Arc<str> {
        let name = account.map(|account| account.name.clone());
        name.unwrap_or_else(|| self.anonymous_account.clone())
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
