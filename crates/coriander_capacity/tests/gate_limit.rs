//! What makes the limit of the statements at a member grow and fall.

use std::time::Duration;

use coriander_capacity::{ExchangeSample, GateLimit, SampleOutcome, StatementClass};
use coriander_core::MonotonicTime;

const CLASS: StatementClass = StatementClass::new(1, false, false);

/// Records `count` exchanges with a latency while `in_flight` statements run or wait.
fn record(limit: &mut GateLimit, count: u64, outcome: SampleOutcome, ms: u64, in_flight: u32) {
    for index in 0..count {
        let latency = Duration::from_millis(ms);
        let sample = ExchangeSample {
            class: CLASS,
            outcome,
            latency,
        };
        limit.record(&sample, in_flight, MonotonicTime::from_millis(index * 200));
    }
}

fn limit_with_target(ms: u64) -> GateLimit {
    let mut limit = GateLimit::default();
    limit.set_shortest_target(Duration::from_millis(ms));
    limit
}

#[test]
fn limit_grows_when_requests_wait_and_latency_is_well() {
    // Guards against a limit that holds statements back while the member has room, and against one
    // that grows on a quiet day, so that the next overload meets no limit.
    let mut limit = limit_with_target(150);
    record(&mut limit, 200, SampleOutcome::Served, 12, 1);
    let unused = limit.limit();
    assert!(unused <= 4.0, "{unused}");
    record(&mut limit, 50, SampleOutcome::Served, 12, 20);
    assert!(limit.limit() >= unused * 2.0, "{}", limit.limit());
}

#[test]
fn limit_falls_to_one_during_a_lasting_overload() {
    // Guards against a usual latency that follows the overload, after which all of it is let in.
    let mut limit = limit_with_target(150);
    record(&mut limit, 100, SampleOutcome::Served, 12, 4);
    record(&mut limit, 40, SampleOutcome::Served, 90, 20);
    assert!(limit.limit() < 1.5, "{}", limit.limit());
    record(&mut limit, 400, SampleOutcome::Served, 90, 20);
    assert!(limit.limit() < 1.5, "after 440 samples: {}", limit.limit());
    record(&mut limit, 20, SampleOutcome::Served, 12, 20);
    assert!(limit.limit() >= 4.0, "well again: {}", limit.limit());
}

#[test]
fn limit_of_a_class_with_long_work_is_not_bounded_by_the_target_of_another() {
    // Guards against one statement at a time at a member that is well, because its statements take
    // longer than a fraction of the shortest target.
    let mut limit = limit_with_target(150);
    record(&mut limit, 100, SampleOutcome::Served, 300, 10);
    assert!(limit.limit() > 4.0, "{}", limit.limit());
    assert!(limit.overdue_time(CLASS) > Duration::from_secs(2));
}

#[test]
fn limit_falls_after_refusals_for_load_only() {
    // Guards against a member that fails statements at once and is starved on top of it.
    let mut limit = limit_with_target(150);
    record(&mut limit, 50, SampleOutcome::Failed, 1, 4);
    assert!(limit.limit() >= 4.0, "{}", limit.limit());
    record(&mut limit, 5, SampleOutcome::Rejected, 1, 4);
    assert!(limit.limit() < 2.0, "{}", limit.limit());
}

#[test]
fn limit_does_not_grow_with_statements_that_were_given_up() {
    // Guards against a silent member that gets more and more statements, because callers with long
    // targets let many be given up within the latency up to which the limit grows.
    for (target, given_up_after) in [(300, 60), (500, 100), (1_000, 60), (1_000, 240)] {
        let mut limit = limit_with_target(target);
        record(&mut limit, 20, SampleOutcome::Served, 12, 4);
        let before = limit.limit();
        record(
            &mut limit,
            200,
            SampleOutcome::Unanswered,
            given_up_after,
            30,
        );
        assert!(limit.limit() <= before, "{target} ms: {}", limit.limit());
    }
}
