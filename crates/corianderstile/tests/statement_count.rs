//! The count of statements before they are decoded.

use corianderstile::count_statements;

#[test]
fn count_statements_counts_requests_and_steps() {
    // Guards against bodies whose statements are decoded although they are too many.
    let many = format!(
        r#"{{"requests":[{}]}}"#,
        vec![r#"{"type":"close"}"#; 60_000].join(",")
    );
    let steps = vec!["{}"; 300].join(",");
    let batch = format!(r#"{{"requests":[{{"type":"batch","batch":{{"steps":[{steps}]}}}}]}}"#);
    let cursor = format!(r#"{{"baton":null,"batch":{{"steps":[{steps}]}}}}"#);
    for (body, expected) in [(&many, 60_000), (&batch, 300), (&cursor, 300)] {
        assert_eq!(count_statements(body.as_bytes()).ok(), Some(expected));
    }
}

#[test]
fn count_statements_counts_requests_with_empty_lists() {
    // Guards against requests that hide from the count behind an empty batch that is not theirs.
    let hidden = r#"{"type":"execute","stmt":{"sql":"SELECT 1"},"batch":{"steps":[]}}"#;
    let body = format!(r#"{{"requests":[{hidden},{hidden}]}}"#);
    assert_eq!(count_statements(body.as_bytes()).ok(), Some(2));
    // A list that is given twice would be counted once.
    assert!(count_statements(br#"{"requests":[],"requests":[]}"#).is_err());
}
