//! Validation of names from operators and the network, key digests and log positions.

use coriander_core::{AccountName, KeyDigest, LogPosition, NameError, TermNumber};

#[test]
fn from_str_rejects_bad_names() {
    assert_eq!("".parse::<AccountName>(), Err(NameError::Empty));
    assert_eq!(
        "a b".parse::<AccountName>(),
        Err(NameError::Character { character: ' ' })
    );
    let long = "x".repeat(65);
    assert_eq!(
        long.parse::<AccountName>(),
        Err(NameError::TooLong { length: 65 })
    );
}

#[test]
fn deserialize_rejects_bad_names() {
    // Deserialization must not accept a name that the parser rejects.
    let bytes = postcard::to_allocvec("a\nb").expect("encodes");
    assert!(postcard::from_bytes::<AccountName>(&bytes).is_err());
}

#[test]
fn key_digest_round_trip() {
    let digest = KeyDigest::new([0xa5; 32]);
    let text = serde_json::to_string(&digest).expect("encodes");
    assert_eq!(
        serde_json::from_str::<KeyDigest>(&text).expect("decodes"),
        digest
    );
    assert!(!format!("{digest:?}").contains(&"a5".repeat(8)));
}

#[test]
fn includes_compares_term_and_index() {
    let position = |term, index| LogPosition::new(TermNumber::new(term), index);
    assert!(position(2, 5).includes(position(2, 5)));
    assert!(position(3, 6).includes(position(2, 5)));
    // A member of an older term may have different entries at the same index.
    assert!(!position(1, 9).includes(position(2, 5)));
    assert!(!position(3, 4).includes(position(2, 5)));
}
