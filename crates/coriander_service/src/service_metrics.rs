//! Counters and histograms of the session service.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::fleet::peer_traffic::PeerTraffic;
use crate::members::database_group::DatabaseGroup;

/// Upper bound of the first bucket of latency histograms, in seconds.
const FIRST_BUCKET_SECS: f64 = 0.001;

/// Number of buckets of latency histograms; each is twice as wide as the one before.
const BUCKET_COUNT: u16 = 13;

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct StatementLabels {
    database: String,
    statement: &'static str,
    /// Reason of the failure, or `ok`.
    reason: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct DatabaseLabel {
    database: String,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ResultLabel {
    result: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct GroupLabels {
    group: String,
    result: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct RefusalLabels {
    /// Database, or `unknown` if the configuration has no database of the name.
    database: String,
    reason: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct AccountLabels {
    account: String,
    result: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct MemberGroupLabel {
    group: String,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct WaitLabels {
    priority: u32,
    result: &'static str,
}

/// Counter of members set aside and taken back, shared with what decides it.
#[derive(Clone, Default)]
pub struct CapacityChanges(Family<GroupLabels, Counter>);

impl CapacityChanges {
    /// Counts a change of a member of a group: a cause, or `taken_back`.
    pub fn count(&self, group: &str, result: &'static str) {
        self.0.get_or_create(&group_labels(group, result)).inc();
    }
}

fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_SECS, 2.0, BUCKET_COUNT))
}

/// Counters, gauges and histograms. Label values are databases, groups and accounts of the
/// configuration, and fixed words.
pub struct ServiceMetrics {
    registry: Registry,
    statements: Family<StatementLabels, Counter>,
    latency: Family<DatabaseLabel, Histogram, fn() -> Histogram>,
    refused_sessions: Family<RefusalLabels, Counter>,
    account_operations: Family<AccountLabels, Counter>,
    attempts: Family<GroupLabels, Counter>,
    attempt_time: Family<MemberGroupLabel, Histogram, fn() -> Histogram>,
    repetitions: Family<ResultLabel, Counter>,
    store_calls: Family<ResultLabel, Counter>,
    entries_left_out: Gauge,
    promotions: Family<GroupLabels, Counter>,
    promotion_time: Histogram,
    usage_reports: Family<ResultLabel, Counter>,
    late_usage: Counter,
    settings_refused: Gauge,
    sessions: Gauge,
    config_version: Gauge,
    config_age: Gauge<f64, AtomicU64>,
    connections: Family<GroupLabels, Gauge>,
    connection_wait: Family<WaitLabels, Histogram, fn() -> Histogram>,
    capacity_changes: CapacityChanges,
    learned_limit: Family<MemberGroupLabel, Gauge<f64, AtomicU64>>,
    member_statements: Family<GroupLabels, Gauge>,
    set_aside: Family<MemberGroupLabel, Gauge>,
}

impl Default for ServiceMetrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("corianderstile"),
            statements: Family::default(),
            latency: Family::new_with_constructor(latency_histogram),
            refused_sessions: Family::default(),
            account_operations: Family::default(),
            attempts: Family::default(),
            attempt_time: Family::new_with_constructor(latency_histogram),
            repetitions: Family::default(),
            store_calls: Family::default(),
            entries_left_out: Gauge::default(),
            promotions: Family::default(),
            promotion_time: latency_histogram(),
            usage_reports: Family::default(),
            late_usage: Counter::default(),
            settings_refused: Gauge::default(),
            sessions: Gauge::default(),
            config_version: Gauge::default(),
            config_age: Gauge::default(),
            connections: Family::default(),
            connection_wait: Family::new_with_constructor(latency_histogram),
            capacity_changes: CapacityChanges::default(),
            learned_limit: Family::default(),
            member_statements: Family::default(),
            set_aside: Family::default(),
        };
        metrics.register();
        metrics
    }
}

impl ServiceMetrics {
    /// Creates the metrics of a service with the counters of its messages to other instances.
    pub fn with_traffic(traffic: &PeerTraffic) -> Self {
        let mut metrics = Self::default();
        traffic.register(&mut metrics.registry);
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "statements",
            "Statements by database, kind and reason of failure",
            self.statements.clone(),
        );
        registry.register(
            "statement_seconds",
            "Time from a statement to its answer",
            self.latency.clone(),
        );
        registry.register(
            "attempts",
            "Attempts at members by group and result",
            self.attempts.clone(),
        );
        registry.register(
            "attempt_seconds",
            "Time of an attempt at a member of a group, waits for a connection included",
            self.attempt_time.clone(),
        );
        registry.register(
            "refused_sessions",
            "Sessions refused when callers opened them, by database and reason",
            self.refused_sessions.clone(),
        );
        registry.register(
            "account_operations",
            "Operations by client account, admitted or refused for its rate",
            self.account_operations.clone(),
        );
        registry.register(
            "repetitions",
            "Repetitions of statements: allowed, or refused for want of a budget of the account or \
             of the instance",
            self.repetitions.clone(),
        );
        registry.register(
            "store_calls",
            "Reads of the platform's store by result",
            self.store_calls.clone(),
        );
        registry.register(
            "store_entries_left_out",
            "Invalid entries in the last read of the platform's store",
            self.entries_left_out.clone(),
        );
        registry.register(
            "promotions",
            "Promotion steps by group and result",
            self.promotions.clone(),
        );
        registry.register(
            "promotion_seconds",
            "Time from a promotion call until the member leads",
            self.promotion_time.clone(),
        );
        registry.register(
            "usage_windows",
            "Usage windows by the result of their report",
            self.usage_reports.clone(),
        );
        registry.register(
            "usage_late_operations",
            "Operations that became known after their window was reported",
            self.late_usage.clone(),
        );
        registry.register(
            "settings_refused",
            "1 if no process starts with the settings file as it is now",
            self.settings_refused.clone(),
        );
        registry.register("sessions", "Open sessions", self.sessions.clone());
        registry.register(
            "config_version",
            "Configuration version in force",
            self.config_version.clone(),
        );
        registry.register(
            "config_age_seconds",
            "Age of the proof that the version is the newest",
            self.config_age.clone(),
        );
        registry.register(
            "member_connections",
            "Connections to members by group, open and waited for",
            self.connections.clone(),
        );
        registry.register(
            "connection_wait_seconds",
            "Time for which requests waited for connections, by priority, served or refused",
            self.connection_wait.clone(),
        );
        registry.register(
            "member_capacity_changes",
            "Members set aside, by cause, and taken back",
            self.capacity_changes.0.clone(),
        );
        registry.register(
            "member_learned_limit",
            "Sum of the learned concurrency limits of the members of a group",
            self.learned_limit.clone(),
        );
        registry.register(
            "member_statements",
            "Statements at the members of a group, running and the learned limit of the queue",
            self.member_statements.clone(),
        );
        registry.register(
            "members_set_aside",
            "Members of a group that are set aside",
            self.set_aside.clone(),
        );
    }

    /// Returns the counter of members set aside and taken back.
    pub fn capacity_changes(&self) -> CapacityChanges {
        self.capacity_changes.clone()
    }

    /// Sets what this instance has learned about the members of a group.
    pub fn set_capacity(&self, group: &str, limit: f64, set_aside: usize) {
        let label = MemberGroupLabel {
            group: group.to_owned(),
        };
        self.learned_limit.get_or_create(&label).set(limit);
        self.set_aside.get_or_create(&label).set(set_aside as i64);
    }

    /// Counts a statement that has ended.
    pub fn count_statement(
        &self,
        database: &str,
        statement: &'static str,
        reason: Option<&'static str>,
        duration: Duration,
    ) {
        let labels = StatementLabels {
            database: database.to_owned(),
            statement,
            reason: reason.unwrap_or("ok"),
        };
        self.statements.get_or_create(&labels).inc();
        let label = DatabaseLabel {
            database: database.to_owned(),
        };
        let histogram = self.latency.get_or_create(&label);
        histogram.observe(duration.as_secs_f64());
    }

    /// Counts a session that was refused when its caller opened it.
    pub fn count_refused_session(&self, database: &str, reason: &'static str) {
        let labels = RefusalLabels {
            database: database.to_owned(),
            reason,
        };
        self.refused_sessions.get_or_create(&labels).inc();
    }

    /// Counts an operation of an account.
    pub fn count_operation(&self, account: &str, result: &'static str) {
        let labels = AccountLabels {
            account: account.to_owned(),
            result,
        };
        self.account_operations.get_or_create(&labels).inc();
    }

    /// Counts an attempt at a member of a group.
    pub fn count_attempt(&self, group: &str, result: &'static str, duration: Duration) {
        self.attempts
            .get_or_create(&group_labels(group, result))
            .inc();
        let label = MemberGroupLabel {
            group: group.to_owned(),
        };
        let histogram = self.attempt_time.get_or_create(&label);
        histogram.observe(duration.as_secs_f64());
    }

    /// Counts a repetition of a statement that was allowed, or the budget that refused it.
    pub fn count_repetition(&self, result: &'static str) {
        let label = ResultLabel { result };
        self.repetitions.get_or_create(&label).inc();
    }

    /// Counts a read of the store.
    pub fn count_store_call(&self, result: &'static str) {
        let label = ResultLabel { result };
        self.store_calls.get_or_create(&label).inc();
    }

    /// Sets the number of invalid entries in the last read of the store.
    pub fn set_entries_left_out(&self, count: u64) {
        self.entries_left_out
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Counts windows of usage by the result of their report.
    pub fn count_usage(&self, result: &'static str, windows: u64) {
        let label = ResultLabel { result };
        self.usage_reports.get_or_create(&label).inc_by(windows);
    }

    /// Counts operations that became known after their window was reported.
    pub fn count_late_usage(&self, operations: u64) {
        self.late_usage.inc_by(operations);
    }

    /// Counts a step of a promotion.
    pub fn count_promotion(&self, group: &str, result: &'static str) {
        self.promotions
            .get_or_create(&group_labels(group, result))
            .inc();
    }

    /// Records the duration of a promotion.
    pub fn record_promotion(&self, duration: Duration) {
        self.promotion_time.observe(duration.as_secs_f64());
    }

    /// Records whether the settings file as it is now is refused.
    pub fn set_settings_refused(&self, is_refused: bool) {
        self.settings_refused.set(i64::from(is_refused));
    }

    /// Sets the gauges.
    pub fn set_gauges(&self, sessions: usize, config_version: u64, config_age: Option<Duration>) {
        self.sessions.set(sessions as i64);
        self.config_version.set(config_version as i64);
        let age = config_age.map_or(f64::INFINITY, |age| age.as_secs_f64());
        self.config_age.set(age);
    }

    /// Records the connections to the members of a group, and the waits for them since the last
    /// call.
    pub fn record_pools(&self, group: &DatabaseGroup) {
        let members = group.members();
        let open = members.iter().map(|member| member.pool.open_count()).sum();
        let waiting = members.iter().map(|member| member.pool.waiting_count());
        self.set_connections(&group.name, open, waiting.sum());
        let counts = members
            .iter()
            .filter_map(|member| member.pool.gate_counts());
        let counts = counts.reduce(|sum, next| (sum.0 + next.0, sum.1 + next.1));
        if let Some((running, limit)) = counts {
            for (result, count) in [("running", running), ("limit", limit)] {
                let labels = group_labels(&group.name, result);
                self.member_statements
                    .get_or_create(&labels)
                    .set(count as i64);
            }
        }
        for wait in members.iter().flat_map(|member| member.pool.take_waits()) {
            self.record_connection_wait(wait.priority, wait.served, wait.duration);
        }
    }

    fn set_connections(&self, group: &str, open: usize, waiting: usize) {
        let gauge = |result, value: usize| {
            let labels = group_labels(group, result);
            self.connections.get_or_create(&labels).set(value as i64);
        };
        gauge("open", open);
        gauge("waited_for", waiting);
    }

    fn record_connection_wait(&self, priority: u32, served: bool, duration: Duration) {
        let result = if served { "served" } else { "refused" };
        let labels = WaitLabels { priority, result };
        let histogram = self.connection_wait.get_or_create(&labels);
        histogram.observe(duration.as_secs_f64());
    }

    /// Returns all values in the text format of OpenMetrics.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            log::error!(error:% = error; "encoding of metrics failed");
        }
        text
    }
}

fn group_labels(group: &str, result: &'static str) -> GroupLabels {
    GroupLabels {
        group: group.to_owned(),
        result,
    }
}
