//! Tests of the statements that transfer session values to a connection.

use coriander_service_api::{MemberStatement, SessionValues};

fn values(pairs: &[(&str, &str)]) -> SessionValues {
    let mut values = SessionValues::default();
    for (name, value) in pairs {
        values.set((*name).into(), (*value).into());
    }
    values
}

#[test]
fn changes_to_sets_only_different_values() {
    let connection = values(&[("tz", "utc"), ("lang", "el")]);
    let session = values(&[("lang", "fr"), ("tz", "utc")]);
    let changes = connection.changes_to(&session);
    let expected = MemberStatement::Set {
        name: "lang".into(),
        value: "fr".into(),
    };
    assert_eq!(changes.as_slice(), [expected]);
}

#[test]
fn changes_to_resets_values_that_the_session_never_set() {
    // Values that another client set on the connection must not be visible to this session.
    let connection = values(&[("tz", "utc"), ("lang", "el")]);
    let session = values(&[("tz", "utc")]);
    let changes = connection.changes_to(&session);
    assert_eq!(changes.len(), 2);
    assert_eq!(changes[0], MemberStatement::Reset);
}

#[test]
fn matches_ignores_the_order() {
    let first = values(&[("a", "1"), ("b", "2")]);
    let second = values(&[("b", "2"), ("a", "1")]);
    assert!(first.matches(&second));
    assert!(!first.matches(&values(&[("a", "1")])));
}
