//! Tests the admission of connections and the choice of those that close.

use std::sync::Arc;

use coriander_memory::{Admission, ConnectionTable, MachineLimits, MemoryLimits};

fn small_table() -> (ConnectionTable, MemoryLimits) {
    let machine = MachineLimits {
        memory_mb: 64,
        descriptors: 360,
    };
    let limits = MemoryLimits::new(&machine);
    assert_eq!((limits.max_connections, limits.max_unidentified), (32, 8));
    (ConnectionTable::new(&limits), limits)
}

#[test]
fn accept_replaces_oldest_unidentified_connection() {
    // Guards against silent connections that keep callers from saying who they are.
    let (mut table, limits) = small_table();
    for _ in 0..limits.max_unidentified {
        assert_eq!(table.accept().1, Admission::Admitted);
    }
    assert_eq!(table.accept().1, Admission::Replaces(1));
    assert_eq!(table.accept().1, Admission::Replaces(2));
    assert_eq!(table.unidentified_count(), limits.max_unidentified);
}

#[test]
fn accept_replaces_longest_idle_session_of_largest_account() {
    // Guards against one account whose sessions leave no connection to another.
    let (mut table, limits) = small_table();
    let (crowd, other): (Arc<str>, Arc<str>) = ("crowd".into(), "other".into());
    for number in 0..limits.max_connections {
        let (connection, _) = table.accept();
        let account = if number < 4 { &other } else { &crowd };
        assert_eq!(table.identify(connection, account), Admission::Admitted);
        table.set_idle(connection, true);
    }
    table.set_idle(5, false);
    assert_eq!(table.accept().1, Admission::Replaces(6));
    assert_eq!(table.len(), limits.max_connections);
}

#[test]
fn accept_replaces_session_of_smaller_account_when_the_largest_has_none_idle() {
    // Guards against an account whose sessions are all in use and so refuse newcomers, although
    // other accounts have idle ones.
    let (mut table, limits) = small_table();
    let (crowd, other): (Arc<str>, Arc<str>) = ("crowd".into(), "other".into());
    for number in 0..limits.max_connections {
        let (connection, _) = table.accept();
        let account = if number < 4 { &other } else { &crowd };
        table.identify(connection, account);
        table.set_idle(connection, number < 4);
    }
    assert_eq!(table.accept().1, Admission::Replaces(1));
}

#[test]
fn accept_refuses_when_every_session_is_in_use() {
    // Guards against a statement whose connection is closed for a newcomer.
    let (mut table, limits) = small_table();
    for number in 0..limits.max_connections {
        let (connection, _) = table.accept();
        table.identify(connection, &format!("account{}", number % 2).into());
    }
    assert_eq!(table.accept().1, Admission::Refused);
    assert_eq!(table.len(), limits.max_connections);
}

#[test]
fn identify_refuses_session_over_limit_of_account() {
    // Guards against an account that holds all connections while it uses them.
    let (mut table, limits) = small_table();
    let account: Arc<str> = "crowd".into();
    for _ in 0..limits.max_per_account {
        let (connection, _) = table.accept();
        assert_eq!(table.identify(connection, &account), Admission::Admitted);
    }
    let (connection, _) = table.accept();
    assert_eq!(table.identify(connection, &account), Admission::Refused);
    table.set_idle(1, true);
    assert_eq!(table.identify(connection, &account), Admission::Replaces(1));
}

#[test]
fn accept_spares_connections_that_have_sent_their_first_line() {
    // Guards against callers that are closed while many of them connect at the same time.
    let (mut table, limits) = small_table();
    for _ in 0..limits.max_connections {
        let (connection, admission) = table.accept();
        assert_eq!(admission, Admission::Admitted);
        table.set_named(connection);
    }
    assert_eq!(table.accept().1, Admission::Refused);
}

#[test]
fn is_identified_ends_with_the_connection() {
    // Guards against an HTTP connection that is counted for its account with each request.
    let (mut table, _) = small_table();
    let (connection, _) = table.accept();
    assert!(!table.is_identified(connection));
    table.identify(connection, &"account".into());
    assert!(table.is_identified(connection));
    table.remove(connection);
    assert!(!table.is_identified(connection));
}
