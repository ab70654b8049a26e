//! Bookkeeping of the stream pool.

use std::time::Duration;

use coriander_core::MonotonicTime;
use coriander_upstream::{PoolSettings, StreamLease, StreamPool, StreamUse};
use proptest::prelude::*;

const NOW: MonotonicTime = MonotonicTime::from_millis(1_000);

fn pool(max_streams: usize) -> StreamPool {
    StreamPool::new(
        PoolSettings::default()
            .with_max_streams(max_streams)
            .with_min_streams(0),
    )
}

fn open(pool: &StreamPool, purpose: StreamUse, baton: &str) -> StreamLease {
    let mut lease = pool.check_out(purpose, NOW).expect("below the limit");
    lease.set_baton(baton.into());
    lease
}

/// Guards against two requests on one stream, which would mix transactions.
#[test]
fn check_out_is_exclusive() {
    let pool = pool(2);
    open(&pool, StreamUse::Statement, "s1").check_in(NOW);
    let transaction = pool
        .check_out(StreamUse::Transaction, NOW)
        .expect("idle stream");
    assert_eq!(transaction.baton(), Some("s1"));
    let other = pool
        .check_out(StreamUse::Statement, NOW)
        .expect("below the limit");
    assert_eq!(other.baton(), None);
    assert!(
        pool.check_out(StreamUse::Statement, NOW).is_none(),
        "the limit is reached"
    );
}

/// Guards against reuse of a stream whose state is unknown after an error or a cancelled request.
#[test]
fn drop_discards_stream() {
    let pool = pool(1);
    drop(open(&pool, StreamUse::Transaction, "s1"));
    assert_eq!(pool.counts().total(), 0);
    let lease = pool
        .check_out(StreamUse::Statement, NOW)
        .expect("the dropped stream does not count");
    assert_eq!(lease.baton(), None);
}

/// Guards against streams that survive a restart or a change of role of their member.
#[test]
fn reset_ends_idle_and_leased_streams() {
    let pool = pool(2);
    let leased = open(&pool, StreamUse::Statement, "s1");
    open(&pool, StreamUse::Statement, "s2").check_in(NOW);
    pool.reset();
    leased.check_in(NOW);
    assert_eq!(pool.counts().total(), 0);
}

/// Guards against transactions that use every stream.
#[test]
fn check_out_limits_transactions() {
    let settings = PoolSettings::default()
        .with_max_streams(3)
        .with_max_transactions(1);
    let pool = StreamPool::new(settings);
    let mut first = open(&pool, StreamUse::Statement, "s1");
    first.begin_transaction();
    assert!(pool.check_out(StreamUse::Transaction, NOW).is_none());
    assert!(pool.check_out(StreamUse::Statement, NOW).is_some());
}

/// Guards against streams that are opened only when a request already waits for them.
#[test]
fn warm_up_follows_peak_demand() {
    let pool = pool(6);
    assert!(pool.warm_up(NOW).is_none(), "no demand yet");
    let leases: Vec<_> = (0..3)
        .map(|_| open(&pool, StreamUse::Statement, "s"))
        .collect();
    let spare = pool.warm_up(NOW).expect("one spare stream");
    assert!(pool.warm_up(NOW).is_none());
    drop(spare);
    drop(leases);
    let later = NOW + Duration::from_secs(4);
    let warm: Vec<_> = std::iter::from_fn(|| pool.warm_up(later)).collect();
    assert_eq!(warm.len(), 4, "discarded streams are replaced");
}

/// Guards against the use of idle streams that the member has dropped, and against expired streams
/// that count towards the limit forever.
#[test]
fn next_to_close_expires_idle_streams() {
    let pool = pool(2);
    let old = open(&pool, StreamUse::Statement, "old");
    let new = open(&pool, StreamUse::Statement, "new");
    old.check_in(NOW);
    let later = NOW + Duration::from_secs(8);
    new.check_in(later);
    let closing = pool.next_to_close(later).expect("expired stream");
    assert_eq!(closing.baton(), Some("old"));
    assert!(pool.next_to_close(later).is_none());
    assert_eq!(
        pool.counts().total(),
        2,
        "a stream counts until it is closed"
    );
    drop(closing);
    assert_eq!(
        pool.check_out(StreamUse::Statement, later)
            .expect("below the limit")
            .baton(),
        Some("new")
    );
}

/// Guards against closing all streams when the limit shrinks.
#[test]
fn set_max_streams_closes_excess_only() {
    let pool = pool(3);
    let leases: Vec<_> = (0..3)
        .map(|_| open(&pool, StreamUse::Statement, "s"))
        .collect();
    leases.into_iter().for_each(|lease| lease.check_in(NOW));
    pool.set_max_streams(2);
    let closing: Vec<_> = std::iter::from_fn(|| pool.next_to_close(NOW)).collect();
    assert_eq!(closing.len(), 1);
    assert_eq!(pool.counts().idle, 2);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against exceeding the limit, sharing a baton and leaking leases.
    #[test]
    fn pool_respects_limit(steps in prop::collection::vec((0..7_u8, 0..2_000_u64), 1..80)) {
        let pool = pool(4);
        let mut now = NOW;
        let (mut leases, mut opened): (Vec<StreamLease>, _) = (Vec::new(), 0);
        for (step, millis) in steps {
            now = now + Duration::from_millis(millis);
            match step {
                0 | 1 => leases.extend(pool.check_out(StreamUse::Statement, now)),
                2 => leases.extend(pool.warm_up(now)),
                3 => leases.extend(pool.next_to_close(now)),
                4 if !leases.is_empty() => leases.remove(0).check_in(now),
                5 if !leases.is_empty() => leases.remove(0).close(),
                _ => drop(leases.pop()),
            }
            for lease in leases.iter_mut().filter(|lease| lease.baton().is_none()) {
                opened += 1;
                lease.set_baton(opened.to_string());
            }
            prop_assert!(pool.counts().total() <= 4);
            let mut batons: Vec<_> = leases.iter().filter_map(StreamLease::baton).collect();
            batons.sort_unstable();
            batons.dedup();
            prop_assert_eq!(batons.len(), leases.len());
        }
        leases.clear();
        while pool.next_to_close(now + Duration::from_secs(60)).is_some() {}
        prop_assert_eq!(pool.counts().total(), 0);
    }
}
