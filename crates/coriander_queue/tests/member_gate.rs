//! What callers get when a gate limits the statements inside a member, under the loads that it
//! answers. The play is that of the example `member_gate`.

#[path = "../examples/member_gate/played_member.rs"]
mod played_member;

use std::time::Duration;

use coriander_core::MonotonicTime;
use coriander_queue::{ServiceRate, StatementGate};

use played_member::{ACCOUNTS, HOMES, Outcome, POLICIES, Phase, Policy, SLOTS, play};

/// No gate, and the gate as the service uses it.
const OPEN: Policy = POLICIES[0].1;
const GATE: Policy = POLICIES[3].1;

/// Seeds of each play; a bound holds for all of them.
const SEEDS: [u64; 3] = [7, 21, 42];

/// On-time percentage of a class from one time to another.
fn on_time(outcome: &Outcome, class: usize, from_ms: u64, to_ms: u64) -> f64 {
    let tally = outcome.tally(|arrival| {
        arrival.class == class && arrival.at_ms >= from_ms && arrival.at_ms < to_ms
    });
    tally.percent(tally.on_time)
}

fn worst_account(outcome: &Outcome, from_ms: u64) -> f64 {
    let percent = |account: usize| {
        let tally = outcome.tally(|a| a.account == account && a.at_ms >= from_ms);
        tally.percent(tally.on_time)
    };
    (1..ACCOUNTS).map(percent).fold(f64::INFINITY, f64::min)
}

#[test]
fn gate_serves_urgent_requests_when_there_is_too_little_room_for_all() {
    // Guards against urgent requests that wait inside the member behind patient ones. They need a
    // quarter of the room at this load.
    for seed in SEEDS {
        let phases = [Phase::well(2_000, 0.5), Phase::well(14_000, 1.7)];
        let gated = play(&phases, GATE, seed);
        let open = play(&phases, OPEN, seed);
        let urgent = on_time(&gated, 0, 2_000, 14_000);
        assert!(urgent >= 90.0, "seed {seed}: {urgent:.0} % of the urgent");
        let (usual, before) = (
            on_time(&gated, 1, 2_000, 14_000),
            on_time(&open, 1, 2_000, 14_000),
        );
        assert!(
            usual > before,
            "seed {seed}: {usual:.0} % of the usual, {before:.0} % without"
        );
    }
}

#[test]
fn gate_protects_other_accounts_from_one_at_seven_times_its_usual() {
    // Guards against an account that fills the member with its requests.
    for seed in SEEDS {
        let hot = Phase {
            hot: 7,
            ..Phase::well(16_000, 1.3)
        };
        let phases = [Phase::well(6_000, 0.9), hot];
        let gated = play(&phases, GATE, seed);
        let open = play(&phases, OPEN, seed);
        let urgent = on_time(&gated, 0, 6_000, 16_000);
        assert!(urgent >= 90.0, "seed {seed}: {urgent:.0} % of the urgent");
        let (worst, before) = (worst_account(&gated, 6_000), worst_account(&open, 6_000));
        assert!(
            worst >= before.min(90.0),
            "seed {seed}: {worst:.0} %, {before:.0} % without"
        );
    }
}

#[test]
fn gate_keeps_its_limit_through_a_lasting_overload() {
    // Guards against a measure of the usual latency that follows the overload, so that the limit
    // grows until all of it waits inside the member. The urgent requests need 0.4 of the capacity.
    for seed in SEEDS {
        let phases = [Phase::well(2_000, 0.5), Phase::well(22_000, 2.5)];
        let gated = play(&phases, GATE, seed);
        let limits = &gated.limits[4..22];
        let most = limits.iter().copied().fold(0.0, f64::max);
        assert!(most <= 6.0 * SLOTS as f64, "seed {seed}: {limits:?}");
        let urgent = on_time(&gated, 0, 2_000, 22_000);
        assert!(urgent >= 90.0, "seed {seed}: {urgent:.0} % of the urgent");
    }
}

#[test]
fn gate_follows_a_member_that_is_five_times_slower_and_well_again() {
    // Guards against a limit that holds a crowd in a slow member, or one that stays low afterwards.
    for seed in SEEDS {
        let slow = Phase {
            slow: 5.0,
            ..Phase::well(14_000, 0.3)
        };
        let phases = [Phase::well(6_000, 0.6), slow, Phase::well(24_000, 0.6)];
        let gated = play(&phases, GATE, seed);
        // At the floor, each home instance keeps one statement at the member.
        let slow_limit = gated.limits[7];
        assert!(
            slow_limit <= 2.0 * HOMES as f64 + 1.0,
            "seed {seed}: {slow_limit} in second 2"
        );
        assert!(
            gated.limits[16] >= (SLOTS + HOMES) as f64,
            "seed {seed}: {:?}",
            gated.limits
        );
        let again = on_time(&gated, 1, 15_000, 24_000);
        assert!(again >= 99.0, "seed {seed}: {again:.0} % after a second");
    }
}

#[test]
fn gate_delays_nothing_on_a_calm_day_with_peaks() {
    // Guards against a limit that costs statements while the member has room.
    for (seed, peak) in SEEDS
        .into_iter()
        .flat_map(|seed| [(seed, 0.9), (seed, 1.2)])
    {
        let phases: Vec<_> = (0..10)
            .flat_map(|index| {
                let start = index * 2_000;
                [
                    Phase::well(start + 1_800, 0.4),
                    Phase::well(start + 2_000, peak),
                ]
            })
            .collect();
        let gated = play(&phases, GATE, seed).tally(|_| true);
        let open = play(&phases, OPEN, seed).tally(|_| true);
        assert_eq!(
            gated.on_time + gated.late,
            gated.total,
            "seed {seed}: refused"
        );
        // Above the capacity, requests of accounts at more than twice their usual wait longer.
        assert!(gated.late == 0 || peak > 1.0, "seed {seed}: late");
        let (mean, before) = (gated.mean_latency_ms(), open.mean_latency_ms());
        assert!(
            mean <= before * 1.05,
            "seed {seed}: {mean:.1} ms, {before:.1} ms without"
        );
    }
}

#[test]
fn gate_of_a_successor_takes_over_after_a_home_instance_is_killed() {
    // Guards against accounts that are starved by the low limit of the instance they move to.
    for seed in SEEDS {
        let lost = Phase {
            is_home_lost: true,
            ..Phase::well(12_000, 0.8)
        };
        let phases = [Phase::well(5_000, 0.8), lost, Phase::well(18_000, 0.8)];
        let gated = play(&phases, GATE, seed);
        for (from_ms, to_ms) in [(6_000, 12_000), (13_000, 18_000)] {
            let usual = on_time(&gated, 1, from_ms, to_ms);
            assert!(usual >= 97.0, "seed {seed}: {usual:.0} % from {from_ms} ms");
        }
    }
}

#[test]
fn gate_gives_the_place_of_an_unanswered_statement_to_another() {
    // Guards against an instance that was frozen or cut off from the member, whose statements are
    // never answered, and which then sends no others.
    for seed in SEEDS {
        let silent = Phase {
            silent: 1.0,
            ..Phase::well(6_000, 0.5)
        };
        let phases = [Phase::well(4_000, 0.5), silent, Phase::well(12_000, 0.5)];
        let gated = play(&phases, GATE, seed);
        let again = on_time(&gated, 1, 9_000, 12_000);
        assert!(
            again >= 97.0,
            "seed {seed}: {again:.0} % three seconds later"
        );
    }
}

#[test]
fn statement_gate_lets_transactions_go_on_and_counts_them() {
    // Guards against a deadlock: a transaction that waits for room holds locks that those inside
    // wait for. New operations wait meanwhile.
    let now = MonotonicTime::from_millis(0);
    let later = MonotonicTime::from_millis(50);
    let end = MonotonicTime::from_millis(1_000);
    let mut gate = StatementGate::new(2.5);
    let first = gate.begin_operation(now, end);
    gate.end(first, later);
    gate.begin_operation(later, end);
    gate.begin_operation(later, end);
    gate.begin_statement(later, end);
    assert_eq!((gate.running(later), gate.room(later)), (3, 0));
    gate.set_limit(0.3, later);
    assert_eq!((gate.places(), gate.room(end)), (1, 1));
}

#[test]
fn service_rate_is_that_of_the_scarcer_of_connections_and_room() {
    // Guards against waits promised from connections that the gate does not let through.
    let now = MonotonicTime::from_millis(0);
    let mut gate = StatementGate::new(2.0);
    for _ in 0..50 {
        let number = gate.begin_operation(now, MonotonicTime::from_millis(500));
        gate.end(number, MonotonicTime::from_millis(20));
    }
    let rate = ServiceRate {
        connections: 10,
        available: 10,
        mean_hold: Duration::from_millis(20),
        mean_exchange: Duration::from_millis(20),
    };
    let limited = rate.limited_by(&gate, now);
    assert_eq!((limited.connections, limited.available), (2, 2));
    let few = ServiceRate {
        connections: 1,
        available: 1,
        ..rate
    };
    assert_eq!(few.limited_by(&gate, now), few);
}

#[test]
fn expected_places_follow_a_fall_slowly_also_after_a_quiet_time() {
    // Guards against requests that are refused because the first slow statement after a pause makes
    // the limit fall, although it grows again within a second.
    let mut gate = StatementGate::new(4.0);
    gate.set_limit(2.0, MonotonicTime::from_millis(10_000));
    assert_eq!(gate.expected_places(), 4);
    gate.set_limit(2.0, MonotonicTime::from_millis(10_500));
    assert_eq!(gate.expected_places(), 3);
    gate.set_limit(2.0, MonotonicTime::from_millis(14_000));
    assert_eq!(gate.expected_places(), 2);
}
