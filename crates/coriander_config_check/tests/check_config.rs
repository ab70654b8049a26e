//! One configuration for each finding, and the comparison with a version in force.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use coriander_config_check::{CheckReport, CheckVerdict, check_config, compare_configs};
use coriander_service_api::{
    ClientAccount, ConfigProblem, DatabaseRoute, FleetConfig, GroupLimits, ReadFreshness,
};

fn route() -> DatabaseRoute {
    DatabaseRoute {
        database: "orders".into(),
        group: "records".into(),
        freshness: ReadFreshness::Newest,
        statement_timeout: Duration::from_millis(800),
        latency_target: Duration::from_millis(150),
        priority: 0,
        open_to_all: false,
    }
}

fn group() -> GroupLimits {
    GroupLimits {
        connections_per_member: 21,
        warm_up_rate: None,
        sync_replicas: 0,
    }
}

fn config(
    route: DatabaseRoute,
    group: GroupLimits,
    account: ClientAccount,
    keys: &[&str],
) -> FleetConfig {
    let account = Arc::new(account);
    let key = |key: &&str| ((*key).into(), account.clone());
    FleetConfig {
        version: 7,
        routes: HashMap::from([(route.database.clone(), Arc::new(route))]),
        groups: HashMap::from([("records".into(), group)]),
        keys: keys.iter().map(key).collect(),
        accounts: HashMap::from([(account.name.clone(), account)]),
        ..FleetConfig::default()
    }
}

fn account(rate: f64, burst: f64) -> ClientAccount {
    ClientAccount {
        name: "harbour".into(),
        rate: Some(rate),
        burst,
    }
}

fn valid() -> FleetConfig {
    config(route(), group(), account(50.0, 60.0), &["j8pjbvk9"])
}

fn problems(config: &FleetConfig) -> Vec<ConfigProblem> {
    let findings = check_config(config);
    findings
        .into_iter()
        .map(|finding| finding.problem)
        .collect()
}

/// Guards against findings about a configuration in order, which operators would learn to ignore.
#[test]
fn check_config_accepts_a_consistent_one() {
    assert_eq!(problems(&valid()), []);
}

/// Guards against a misspelt group, whose database refuses every request.
#[test]
fn check_config_finds_a_route_without_group() {
    let route = DatabaseRoute {
        group: "record".into(),
        ..route()
    };
    let config = config(route, group(), account(50.0, 60.0), &["j8pjbvk9"]);
    let missing = ConfigProblem::MissingGroup("record".into());
    assert_eq!(problems(&config), [missing, ConfigProblem::UnusedGroup]);
}

/// Guards against a limit of 0 connections, with which no statement reaches a member.
#[test]
fn check_config_finds_members_without_connections() {
    let group = GroupLimits {
        connections_per_member: 0,
        ..group()
    };
    let config = config(route(), group, account(50.0, 60.0), &["j8pjbvk9"]);
    assert_eq!(problems(&config), [ConfigProblem::NoConnections]);
}

/// Guards against an account that was added without the key to use it.
#[test]
fn check_config_finds_an_account_without_key() {
    let mut config = valid();
    let other = ClientAccount {
        name: "depot".into(),
        ..account(5.0, 5.0)
    };
    config.accounts.insert("depot".into(), Arc::new(other));
    assert_eq!(problems(&config), [ConfigProblem::NoKey]);
}

/// Guards against the removal of the last key, after which a database refuses all callers.
#[test]
fn check_config_finds_a_route_that_nobody_can_use() {
    let config = config(route(), group(), account(50.0, 60.0), &[]);
    let expected = [ConfigProblem::NoKey, ConfigProblem::NoCaller];
    assert_eq!(problems(&config), expected);
}

/// Guards against a latency target that no request can miss before it has timed out.
#[test]
fn check_config_finds_a_target_above_the_timeout() {
    let target = Duration::from_millis(900);
    let route = DatabaseRoute {
        latency_target: target,
        ..route()
    };
    let config = config(route, group(), account(50.0, 60.0), &["j8pjbvk9"]);
    let timeout = Duration::from_millis(800);
    let expected = ConfigProblem::TargetAboveTimeout { target, timeout };
    assert_eq!(problems(&config), [expected]);
}

/// Guards against limits that refuse callers who stay within their rate.
#[test]
fn check_config_finds_limits_that_refuse_steady_callers() {
    let config_with = |rate, burst| config(route(), group(), account(rate, burst), &["j8pjbvk9"]);
    let burst_below = ConfigProblem::BurstBelowRate {
        burst: 5.0,
        rate: 50.0,
    };
    assert_eq!(problems(&config_with(50.0, 5.0)), [burst_below]);
    assert_eq!(problems(&config_with(0.0, 5.0)), [ConfigProblem::NoRate]);
}

/// Guards against limits with which nothing can run although each looks like a number.
#[test]
fn check_config_finds_limits_with_which_nothing_runs() {
    let route = DatabaseRoute {
        statement_timeout: Duration::ZERO,
        ..route()
    };
    let mut config = config(route, group(), account(0.2, 0.5), &["j8pjbvk9"]);
    config.idle_transaction_timeout = Some(Duration::ZERO);
    insta::assert_snapshot!(CheckReport::new(&config, Vec::new(), None), @r#"
    version 7: 3 findings
    error: account "harbour": account may run nothing: its burst 0.5 is below 1
    error: limits "transactions": open transactions end at once: idle timeout of 0
    error: route "orders": statements have a timeout of 0
    "#);
    config.idle_transaction_timeout = None;
    assert_eq!(problems(&config).len(), 2);
}

/// Guards against a maximum age that sends all reads to the primary unnoticed.
#[test]
fn check_config_finds_an_age_that_no_replica_meets() {
    let max_age = Duration::from_millis(1);
    let route = DatabaseRoute {
        freshness: ReadFreshness::Bounded { max_age },
        ..route()
    };
    let config = config(route, group(), account(50.0, 60.0), &["j8pjbvk9"]);
    assert_eq!(problems(&config), [ConfigProblem::AgeBelowLag(max_age)]);
}

/// Guards against a change that an operator does not see before it is sent: callers that lose
/// access, a rate that falls, a database that goes.
#[test]
fn compare_configs_tells_what_callers_lose() {
    let in_force = valid();
    let mut checked = config(
        DatabaseRoute {
            database: "views".into(),
            ..route()
        },
        group(),
        account(10.0, 60.0),
        &["u6wsjnba"],
    );
    checked.version = 6;
    let report = CheckReport::new(&checked, Vec::new(), Some(&in_force));
    assert_eq!(report.verdict(), CheckVerdict::Clean);
    insta::assert_snapshot!(report, @r#"
    version 6: 0 findings
    6 changes against the version in force
    version 6 is not above 7 and will be ignored
    database "orders" is removed
    database "views" is added
    account "harbour": 50 operations per second, burst 60 becomes 10 operations per second, burst 60
    key j8pj... of account "harbour" loses access
    key u6ws... gives access to account "harbour"
    "#);
}

/// Guards against a change of a route that the comparison leaves out or reports more than once.
#[test]
fn compare_configs_tells_what_changes_on_a_route() {
    let in_force = valid();
    let mut checked = valid();
    checked.version = 8;
    let changed = DatabaseRoute {
        statement_timeout: Duration::from_millis(500),
        open_to_all: true,
        ..route()
    };
    checked.routes.insert("orders".into(), Arc::new(changed));
    let changes = compare_configs(&in_force, &checked);
    insta::assert_snapshot!(changes[0], @r#"database "orders" changes: timeout 800ms to 500ms, open to all false to true"#);
    assert_eq!(changes.len(), 1);
}
