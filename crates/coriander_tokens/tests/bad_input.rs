//! Refusal of invalid tokens and batons with a typed error, and merging of tokens.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use coriander_core::{AccountName, DatabaseName, KeyDigest, LogPosition, TermNumber};
use coriander_tokens::{
    MAX_BATON_LENGTH, MAX_TOKEN_DATABASES, MAX_TOKEN_LENGTH, RequestDigest, SecretKeys,
    SessionPosition, SessionToken, TokenError, TransactionBaton,
};
use proptest::prelude::*;

fn keys() -> SecretKeys {
    SecretKeys::derive(b"secret of the tested fleet").expect("long enough")
}

fn account(name: &str) -> AccountName {
    name.parse().expect("valid name")
}

fn database(number: usize) -> DatabaseName {
    format!("database-{number}").parse().expect("valid name")
}

type Entries = Vec<(usize, u64, u64)>;

fn any_entries() -> impl Strategy<Value = Entries> {
    prop::collection::vec((0..8usize, 0..5u64, 0..50u64), 0..20)
}

fn token_of(entries: &Entries) -> SessionToken {
    let mut token = SessionToken::new(account("north"));
    for (number, term, index) in entries {
        token.advance(
            &database(*number),
            LogPosition::new(TermNumber::new(*term), *index),
        );
    }
    token
}

fn decode(text: &str) -> Result<SessionToken, TokenError> {
    SessionToken::decode(text, &keys(), &account("north"))
}

fn baton() -> TransactionBaton {
    TransactionBaton {
        account: account("north"),
        key: KeyDigest::new([9; 32]),
        database: database(1),
        gateway: "instance-1".parse().expect("valid name"),
        stream: u64::MAX,
        sequence: 3,
    }
}

proptest! {
    /// Guards against losing positions, and against accepting a truncated token.
    #[test]
    fn token_round_trip(entries in any_entries(), offset: prop::sample::Index) {
        let token = token_of(&entries);
        let text = token.encode(&keys());
        prop_assert_eq!(decode(&text), Ok(token));
        prop_assert_eq!(decode(&text[..offset.index(text.len())]), Err(TokenError::Truncated));
    }

    /// Guards against accepting a modified token.
    #[test]
    fn token_modified(entries in any_entries(), offset: prop::sample::Index, bit in 0..8u8) {
        let mut bytes = URL_SAFE_NO_PAD.decode(token_of(&entries).encode(&keys())).expect("base64");
        let index = offset.index(bytes.len());
        bytes[index] ^= 1 << bit;
        let expected = match index {
            0 => vec![TokenError::Version { found: bytes[0] }],
            // A modified length makes the value appear truncated or moves its code.
            1 | 2 => vec![TokenError::Truncated, TokenError::Forged],
            _ => vec![TokenError::Forged],
        };
        let error = decode(&URL_SAFE_NO_PAD.encode(bytes)).expect_err("modified");
        prop_assert!(expected.contains(&error), "{error}");
    }

    /// Guards against panics on arbitrary texts.
    #[test]
    fn decode_arbitrary_text(text in "\\PC{0,80}", bytes in prop::collection::vec(any::<u8>(), 0..80)) {
        prop_assert!(decode(&text).is_err());
        let text = URL_SAFE_NO_PAD.encode([&[1, 0][..], &bytes].concat());
        prop_assert!(decode(&text).is_err());
        prop_assert!(TransactionBaton::decode(&text, &keys(), &account("north")).is_err());
    }

    /// Guards against lowering a session position when tokens of two instances are merged.
    #[test]
    fn token_merge_highest(first in any_entries(), second in any_entries()) {
        let mut merged = token_of(&first);
        merged.merge(&token_of(&second)).expect("same account");
        for number in 0..8 {
            let greatest = first.iter().chain(&second).filter(|e| e.0 == number);
            let greatest = greatest.map(|e| LogPosition::new(TermNumber::new(e.1), e.2)).max();
            let expected = greatest.map_or(SessionPosition::Unwritten, SessionPosition::AtLeast);
            prop_assert_eq!(merged.position(&database(number)), expected);
        }
    }
}

/// Guards against accepting a token or baton of another account, fleet secret or kind.
#[test]
fn value_of_other_account_secret_or_kind() {
    let text = token_of(&vec![(1, 2, 3)]).encode(&keys());
    let south = account("south");
    assert_eq!(
        SessionToken::decode(&text, &keys(), &south),
        Err(TokenError::OtherAccount)
    );
    let other = SecretKeys::derive(b"secret of another fleet").expect("long enough");
    assert_eq!(
        SessionToken::decode(&text, &other, &account("north")),
        Err(TokenError::Forged)
    );
    let north = SessionToken::new(account("north"));
    assert_eq!(
        SessionToken::new(south.clone()).merge(&north),
        Err(TokenError::OtherAccount)
    );

    let text = baton().encode(&keys());
    assert_eq!(
        TransactionBaton::decode(&text, &keys(), &account("north")),
        Ok(baton())
    );
    assert_eq!(
        TransactionBaton::decode(&text, &keys(), &south),
        Err(TokenError::OtherAccount)
    );
    assert_eq!(
        decode(&text),
        Err(TokenError::Forged),
        "a baton is not a token"
    );
}

/// Guards against accepting padding, other alphabets and trailing bytes.
#[test]
fn token_encoding() {
    let text = token_of(&vec![(1, 2, 3)]).encode(&keys());
    assert_eq!(decode(&format!("{text}+/")), Err(TokenError::Encoding));
    assert_eq!(decode("a token"), Err(TokenError::Encoding));
    let mut bytes = URL_SAFE_NO_PAD.decode(&text).expect("base64");
    bytes.push(0);
    assert_eq!(
        decode(&URL_SAFE_NO_PAD.encode(bytes)),
        Err(TokenError::Forged)
    );
    assert_eq!(decode(""), Err(TokenError::Truncated));
}

/// Guards against headers over the maximum length, and against losing read-your-writes there.
#[test]
fn token_max_length() {
    let mut token = SessionToken::new("a".repeat(64).parse().expect("valid name"));
    let name =
        |number: usize| -> DatabaseName { format!("{number:064}").parse().expect("valid name") };
    let position = LogPosition::new(TermNumber::new(u64::MAX), u64::MAX);
    for number in 0..MAX_TOKEN_DATABASES {
        token.advance(&name(number), position);
    }
    assert_eq!(token.position(&name(99)), SessionPosition::Unwritten);
    token.advance(&name(99), position);
    assert_eq!(
        token.position(&name(0)),
        SessionPosition::Unknown,
        "dropped entry"
    );
    assert_eq!(token.position(&name(1)), SessionPosition::AtLeast(position));
    let text = token.encode(&keys());
    assert!(text.len() <= MAX_TOKEN_LENGTH, "{}", text.len());
    let decoded = SessionToken::decode(&text, &keys(), token.account()).expect("valid");
    assert_eq!(
        decoded.position(&name(0)),
        SessionPosition::Unknown,
        "preserved by encoding"
    );
    let mut other = SessionToken::new(token.account().clone());
    other.merge(&token).expect("same account");
    assert_eq!(
        other.position(&name(0)),
        SessionPosition::Unknown,
        "preserved by merging"
    );

    let (length, max_length) = (MAX_TOKEN_LENGTH + 1, MAX_TOKEN_LENGTH);
    assert_eq!(
        decode(&"A".repeat(length)),
        Err(TokenError::TooLong { length, max_length })
    );
}

/// Guards against a baton with the longest names exceeding the maximum length.
#[test]
fn baton_max_length() {
    let longest = "x".repeat(64);
    let baton = TransactionBaton {
        account: longest.parse().expect("valid name"),
        database: longest.parse().expect("valid name"),
        gateway: longest.parse().expect("valid name"),
        sequence: u64::MAX,
        ..baton()
    };
    let text = baton.next().encode(&keys());
    assert!(text.len() <= MAX_BATON_LENGTH);
    assert_eq!(
        TransactionBaton::decode(&text, &keys(), &baton.account),
        Ok(baton.clone())
    );
}

/// Guards against equal digests of requests whose parts are split differently.
#[test]
fn request_digest_parts() {
    let digest = |database: &str, class: &str, body: &str| {
        let database = database.parse().expect("valid name");
        RequestDigest::compute(
            &database,
            &class.parse().expect("valid name"),
            body.as_bytes(),
        )
    };
    let first = digest("ab", "c", "d");
    assert_eq!(first, digest("ab", "c", "d"));
    for other in [
        digest("a", "bc", "d"),
        digest("ab", "cd", ""),
        digest("ab", "c", "e"),
    ] {
        assert_ne!(first, other);
    }
}
