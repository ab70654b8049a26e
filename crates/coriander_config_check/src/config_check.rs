//! Entries that can never match, and limits that contradict each other.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use coriander_service_api::{
    ClientAccount, ConfigFinding, ConfigProblem, DatabaseRoute, FleetConfig, GroupLimits,
};

/// Shortest time in which an asynchronous replica can apply a commit of another member.
const MIN_REPLICA_LAG: Duration = Duration::from_millis(5);

/// Returns the findings about a decoded configuration, ordered by entry.
///
/// ```
/// use coriander_config_check::check_config;
/// use coriander_service_api::FleetConfig;
///
/// assert!(check_config(&FleetConfig::default()).is_empty());
/// ```
pub fn check_config(config: &FleetConfig) -> Vec<ConfigFinding> {
    let mut findings = Vec::new();
    for route in config.routes.values() {
        check_route(config, route, &mut findings);
    }
    let used: HashSet<_> = config.routes.values().map(|route| &route.group).collect();
    for (name, limits) in &config.groups {
        check_group(name, limits, used.contains(name), &mut findings);
    }
    let with_keys: HashSet<_> = config.keys.values().map(|account| &account.name).collect();
    for account in config.accounts.values() {
        check_account(account, with_keys.contains(&account.name), &mut findings);
    }
    if config.idle_transaction_timeout == Some(Duration::ZERO) {
        let problem = ConfigProblem::NoIdleTime;
        findings.push(ConfigFinding::new("limits", "transactions", problem));
    }
    // Entries come from hash maps, whose order differs from run to run.
    findings.sort_by(|a, b| (a.severity, &a.entry).cmp(&(b.severity, &b.entry)));
    findings
}

fn check_route(config: &FleetConfig, route: &DatabaseRoute, findings: &mut Vec<ConfigFinding>) {
    let mut add = |problem| findings.push(ConfigFinding::new("route", &route.database, problem));
    if !config.groups.contains_key(&route.group) {
        add(ConfigProblem::MissingGroup(route.group.clone()));
    }
    if route.statement_timeout.is_zero() {
        add(ConfigProblem::NoTime);
    } else if route.latency_target > route.statement_timeout {
        add(ConfigProblem::TargetAboveTimeout {
            target: route.latency_target,
            timeout: route.statement_timeout,
        });
    }
    if let Some(age) = route
        .freshness
        .max_age()
        .filter(|age| *age < MIN_REPLICA_LAG)
    {
        add(ConfigProblem::AgeBelowLag(age));
    }
    if !route.open_to_all && config.keys.is_empty() {
        add(ConfigProblem::NoCaller);
    }
}

fn check_group(
    name: &Arc<str>,
    limits: &GroupLimits,
    is_used: bool,
    findings: &mut Vec<ConfigFinding>,
) {
    let mut add = |problem| findings.push(ConfigFinding::new("group", name, problem));
    if limits.connections_per_member == 0 {
        add(ConfigProblem::NoConnections);
    }
    if !is_used {
        add(ConfigProblem::UnusedGroup);
    }
}

fn check_account(account: &ClientAccount, has_key: bool, findings: &mut Vec<ConfigFinding>) {
    let mut add = |problem| findings.push(ConfigFinding::new("account", &account.name, problem));
    if !has_key {
        add(ConfigProblem::NoKey);
    }
    let Some(rate) = account.rate else {
        return;
    };
    let burst = account.burst;
    if rate <= 0.0 {
        add(ConfigProblem::NoRate);
    } else if burst < 1.0 {
        add(ConfigProblem::BurstBelowOne(burst));
    } else if burst < rate {
        add(ConfigProblem::BurstBelowRate { burst, rate });
    }
}
