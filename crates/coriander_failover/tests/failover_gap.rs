//! Detection and promotion times in virtual time.

mod cluster;

use cluster::{Cluster, Fault, Network};
use coriander_core::MemberId;

const SECOND: u64 = 1_000_000;
const RUN_COUNT: u64 = 40;
/// Ten one-way zone delays of at most 1.7 ms.
const MAX_PROMOTION_MICROS: u64 = 17_000;
/// The writers of the simulation send a write every 5 ms.
const WRITE_INTERVAL_MICROS: u64 = 5_000;

/// Returns the gaps in microseconds over several phases of the probe interval.
fn measure(name: &str, faults: &[(u64, Fault)]) -> Vec<u64> {
    let mut gaps: Vec<u64> = (0..RUN_COUNT)
        .map(|run| {
            let mut cluster = Cluster::new(run, Network::RELIABLE, None);
            let start = 3 * SECOND + run * 2_500;
            for (delay, fault) in faults {
                cluster.inject_at(start + delay, *fault);
            }
            cluster.run_until(start + 4 * SECOND);
            assert!(
                cluster.violations.is_empty(),
                "{name} run {run}: {:?}",
                cluster.violations
            );
            cluster.gap_after(start).expect("service resumes")
        })
        .collect();
    gaps.sort_unstable();
    let mean = gaps.iter().sum::<u64>() / RUN_COUNT;
    println!(
        "{name}: min {} mean {mean} max {} us",
        gaps[0],
        gaps[gaps.len() - 1]
    );
    gaps
}

/// Returns a cluster after 3 s, and the number and id of its primary.
fn run_until_settled(run: u64) -> (Cluster, usize, MemberId) {
    let mut cluster = Cluster::new(run, Network::RELIABLE, None);
    cluster.run_until(3 * SECOND);
    let primary = cluster.primary().expect("primary").member;
    (
        cluster,
        usize::from(primary.as_str().as_bytes()[0] - b'a'),
        primary,
    )
}

fn assert_max_gap(gaps: &[u64], detection_micros: u64) {
    let bound = detection_micros + MAX_PROMOTION_MICROS + WRITE_INTERVAL_MICROS;
    assert!(
        gaps.iter().all(|gap| *gap <= bound),
        "gap over {bound} us: {gaps:?}"
    );
}

/// Guards against a slower detection of refused connections than three probes.
#[test]
fn gap_kill() {
    assert_max_gap(
        &measure("kill", &[(0, Fault::KillPrimary)]),
        100_000 + 2 * 50_000,
    );
}

/// Guards against a slower detection of silence than the minimum timeout.
#[test]
fn gap_isolated_primary() {
    assert_max_gap(
        &measure("isolated primary", &[(0, Fault::IsolatePrimary)]),
        100_000 + 300_000,
    );
}

/// Guards against a paused primary that keeps its role.
#[test]
fn gap_pause() {
    assert_max_gap(
        &measure("pause", &[(0, Fault::PausePrimary(2 * SECOND))]),
        100_000 + 300_000,
    );
}

/// Guards against an instance of the next rank that waits for longer than the rank delay.
#[test]
fn gap_kill_with_gateway() {
    let faults = [
        (0, Fault::KillPrimary),
        (0, Fault::PauseProposer(0, 10 * SECOND)),
    ];
    assert_max_gap(
        &measure("kill with gateway", &faults),
        100_000 + 2 * 50_000 + 500_000,
    );
}

/// Guards against a term that stays without a primary because its proposer stopped after fencing.
#[test]
fn gap_kill_with_promoter() {
    for delay in [104_000, 108_000, 112_000] {
        let pause = Fault::PauseProposer(0, 10 * SECOND);
        let gaps = measure(
            "kill with promoter",
            &[(0, Fault::KillPrimary), (delay, pause)],
        );
        assert_max_gap(&gaps, 100_000 + 2 * 50_000 + 500_000 + 100_000);
    }
}

/// Guards against waiting for a restarted primary that has lost its role.
#[test]
fn gap_restart() {
    let restarts = [0, 1, 2].map(|member| (60_000, Fault::RestartMember(member)));
    let faults = [&[(0, Fault::KillPrimary)], &restarts[..]].concat();
    assert_max_gap(&measure("restart", &faults), 60_000 + 100_000);
}

/// Guards against losing writes to a primary that restarts with an empty disk.
#[test]
fn gap_wiped_primary() {
    let gaps: Vec<u64> = (0..RUN_COUNT)
        .map(|run| {
            let (mut cluster, number, _) = run_until_settled(run);
            let start = 3 * SECOND + run * 2_500;
            cluster.inject_at(start, Fault::WipeMember(number));
            cluster.run_until(6 * SECOND);
            assert!(
                cluster.violations.is_empty(),
                "run {run}: {:?}",
                cluster.violations
            );
            cluster.gap_after(start).expect("service resumes")
        })
        .collect();
    println!("wiped primary: max {:?} us", gaps.iter().max());
    assert_max_gap(&gaps, 100_000);
}

/// Guards against interruptions of planned promotions beyond a few round trips.
#[test]
fn gap_planned() {
    let mut max_gap = 0;
    for run in 0..RUN_COUNT {
        let (mut cluster, number, primary) = run_until_settled(run);
        cluster.inject_at(3 * SECOND + 1, Fault::TakeOutZone(number));
        cluster.run_until(6 * SECOND);
        assert!(
            cluster.violations.is_empty(),
            "run {run}: {:?}",
            cluster.violations
        );
        assert_ne!(cluster.primary().expect("primary").member, primary);
        assert_eq!(
            cluster.promotions.len(),
            2,
            "one planned promotion after the first one"
        );
        let times: Vec<u64> = cluster
            .acknowledged
            .iter()
            .map(|(.., time)| *time)
            .collect();
        let after = times.windows(2).filter(|pair| pair[1] > 3 * SECOND);
        max_gap = max_gap.max(after.map(|pair| pair[1] - pair[0]).max().expect("writes"));
    }
    println!("planned: max {max_gap} us between acknowledgements");
    assert!(
        max_gap <= 100_000,
        "planned promotion interrupted writes for {max_gap} us"
    );
}

/// Guards against promotions that only jitter causes.
#[test]
fn jitter_causes_no_promotion() {
    for seed in 0..4 {
        let mut cluster = Cluster::new(seed, Network::JITTERED, None);
        cluster.interval_factor = 10;
        cluster.run_until(900 * SECOND);
        assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
        let late = cluster
            .promotion_times
            .iter()
            .filter(|time| **time > 2 * SECOND)
            .count();
        assert_eq!(
            late, 0,
            "seed {seed}: promotions at {:?}",
            cluster.promotion_times
        );
    }
}
