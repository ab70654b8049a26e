//! The settings files change, and a bound is now a fraction; then all machines are stopped and started
//! in turn.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::group::{GroupPlan, wait_until};
use crate::{Outcome, Setup};

/// Time after SIGTERM after which the platform kills a process.
const GRACE: Duration = Duration::from_millis(6_000);

/// Delay after which a process that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(700);

/// Time for which processes are started again and again.
const WATCH: Duration = Duration::from_secs(12);

/// Time between two machines that are stopped (`roll_term`, share 1.0).
const GAP: Duration = Duration::from_secs(2);

/// Machines whose settings file changes (`hup`, share at most 0.78 of six), and the time between two
/// of them (over `gap_s` 1.27).
const CHANGED: usize = 4;
const HUP_GAP: Duration = Duration::from_millis(420);

/// Failed starts from which a program counts as one that doesn't start.
const MIN_STARTS: usize = 3;

pub fn play(folder: &Path, trouble: bool) -> Outcome {
    let plan = GroupPlan {
        sync_replicas: 0,
        promote_time: Duration::from_millis(600),
        max_connections: 21,
        work: Duration::from_millis(6),
        report_rows: 1,
        report_row_bytes: 1,
    };
    let setup = Setup::start(folder, 1, plan)?;
    let (record, fleet) = (&setup.record, &setup.fleet);
    if trouble {
        for number in 0..CHANGED {
            fleet.write_front_settings(number, &[("bounds.graceS", "6.5")])?;
            fleet.signal(number, "HUP");
            record.note(&format!("the settings file of {} has graceS 6.5; SIGHUP", fleet.fronts[number].name));
            thread::sleep(HUP_GAP);
        }
    }
    thread::sleep(Duration::from_secs(3));
    for number in 0..fleet.fronts.len() {
        record.note(&format!("SIGTERM to {}", fleet.fronts[number].name));
        fleet.signal(number, "TERM");
        let has_ended = wait_until(GRACE, || fleet.take_end(number).is_some());
        if !has_ended {
            fleet.kill(number);
        }
        fleet.start(number)?;
        thread::sleep(GAP);
    }
    let mut ends = vec![0; fleet.fronts.len()];
    let started = Instant::now();
    while started.elapsed() < WATCH {
        for (number, count) in ends.iter_mut().enumerate() {
            if let Some(code) = fleet.take_end(number) {
                *count += 1;
                record.note(&format!("{} has ended by itself with code {code:?} ({count})", fleet.fronts[number].name));
            }
        }
        thread::sleep(RESTART_DELAY);
        for number in 0..ends.len() {
            if !fleet.has_process(number) {
                fleet.start(number)?;
            }
        }
    }
    let ready: Vec<bool> = (0..ends.len()).map(|number| fleet.is_ready(number)).collect();
    let dead = (0..ends.len()).filter(|number| ends[*number] >= MIN_STARTS && !ready[*number]).count();
    record.note(&format!("ends by themselves: {ends:?}; ready: {ready:?}; programs that don't start: {dead}"));
    Ok(dead == 0)
}
