//! Plays a slow group of members beside fast ones, whose reads are of the same class.

use std::sync::Arc;
use std::time::Duration;

use coriander_capacity::{
    CapacityBoard, ExchangeSample, ReadCandidate, SampleOutcome, StatementClass,
};
use coriander_core::MonotonicTime;

const CLASS: StatementClass = StatementClass::new(1, false, false);
const SLOW_MEMBERS: [&str; 3] = ["a", "b", "c"];
const FAST_MS: u64 = 14;

/// Timeout of a statement, and the longest time of one attempt.
const TIMEOUT_MS: u64 = 800;
const ATTEMPT_MS: u64 = TIMEOUT_MS * 45 / 100;

/// Result of the reads of the slow group.
#[derive(Default)]
struct SlowReads {
    served: u32,
    cut: u32,
}

struct PlayedBoard {
    board: CapacityBoard,
    now_ms: u64,
}

impl PlayedBoard {
    fn new() -> Self {
        let mut played = Self {
            board: CapacityBoard::default(),
            now_ms: 10_000,
        };
        (0..200).for_each(|_| played.run_fast());
        played
    }

    fn now(&self) -> MonotonicTime {
        MonotonicTime::from_millis(self.now_ms)
    }

    fn run_fast(&mut self) {
        self.now_ms += 5;
        self.record("fast", SampleOutcome::Served, FAST_MS);
    }

    fn record(&mut self, member: &str, outcome: SampleOutcome, latency_ms: u64) {
        let sample = ExchangeSample {
            class: CLASS,
            outcome,
            latency: Duration::from_millis(latency_ms),
        };
        let peers: Vec<Arc<str>> = SLOW_MEMBERS
            .iter()
            .filter(|peer| SLOW_MEMBERS.contains(&member) && **peer != member)
            .map(|peer| (*peer).into())
            .collect();
        let now = self.now();
        self.board
            .record_local_with_peers(member, &sample, &peers, now);
    }

    /// Runs one read of the slow group: early attempts at members not tried, and the whole time of
    /// an attempt at the last one.
    fn run_slow(&mut self, latency_ms: u64, reads: &mut SlowReads) {
        let started_ms = self.now_ms;
        let mut left = SLOW_MEMBERS.to_vec();
        while let Some(remaining) = (started_ms + TIMEOUT_MS).checked_sub(self.now_ms)
            && !left.is_empty()
        {
            let candidates: Vec<_> = left
                .iter()
                .map(|member| ReadCandidate {
                    member,
                    in_flight: 0,
                    is_primary: *member == "a",
                })
                .collect();
            let now = self.now();
            let order = self.board.order(&candidates, SLOW_MEMBERS.len(), now);
            let member = left.remove(order[0]);
            let longest_ms = ATTEMPT_MS.min(remaining);
            let limit_ms = if left.is_empty() {
                longest_ms
            } else {
                let longest = Duration::from_millis(longest_ms);
                let time = self.board.attempt_time(member, CLASS, longest, now);
                time.as_millis() as u64
            };
            self.now_ms += latency_ms.min(limit_ms);
            if latency_ms <= limit_ms {
                self.record(member, SampleOutcome::Served, latency_ms);
                reads.served += 1;
                return;
            }
            reads.cut += 1;
            self.record(member, SampleOutcome::Unanswered, limit_ms);
        }
    }
}

fn play(latency_ms: u64, fast_per_slow: u32, reads: u32) -> SlowReads {
    let mut played = PlayedBoard::new();
    let mut result = SlowReads::default();
    for _ in 0..reads {
        (0..fast_per_slow).for_each(|_| played.run_fast());
        played.run_slow(latency_ms, &mut result);
    }
    result
}

#[test]
fn slow_group_beside_fast_ones_is_served_within_the_timeout() {
    // Guards against reads that are cut off and repeated until their deadline although the members
    // answer in a fifth of the timeout. A group may lose reads only while its latency is learned.
    for fast_per_slow in 1..=9 {
        let reads = play(TIMEOUT_MS * 3 / 16, fast_per_slow, 1_000);
        assert!(
            reads.served >= 990,
            "{fast_per_slow} fast: {} served",
            reads.served
        );
        assert!(reads.cut <= 100, "{fast_per_slow} fast: {} cut", reads.cut);
    }
}

#[test]
fn group_slower_than_the_greatest_ratio_is_served_by_its_last_attempt() {
    // Guards against cuts at each member of a group that is slower than a ratio can say.
    let reads = play(ATTEMPT_MS - 10, 9, 300);
    assert!(reads.served >= 297, "{} served", reads.served);
}

#[test]
fn reads_too_rare_to_learn_from_are_served_by_their_last_attempt() {
    // Guards against a rule that needs recent samples of a member: here, each read is the first.
    let reads = play(TIMEOUT_MS * 3 / 16, 800, 30);
    assert_eq!(reads.served, 30);
}
