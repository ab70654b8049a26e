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

/// Ends of a process by itself from which its machine counts, and number of such machines.
const MAX_ENDS: usize = 3;
const MAX_MACHINES: usize = 2;

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
    let grace = if trouble { "6.5" } else { "6" };
    fleet.write_settings(&[("bounds.graceS", grace)])?;
    for number in 0..fleet.fronts.len() {
        fleet.signal(number, "HUP");
    }
    record.note(&format!("the settings files have graceS {grace}; SIGHUP to all fronts"));
    thread::sleep(Duration::from_secs(3));
    for number in 0..fleet.fronts.len() {
        record.note(&format!("SIGTERM to {}", fleet.fronts[number].name));
        fleet.signal(number, "TERM");
        let has_ended = wait_until(GRACE, || fleet.take_end(number).is_some());
        if !has_ended {
            fleet.kill(number);
        }
        fleet.start(number)?;
        thread::sleep(Duration::from_secs(1));
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
    let ready = (0..ends.len()).filter(|number| fleet.is_ready(*number)).count();
    record.note(&format!("ends by themselves: {ends:?}; {ready} of {} fronts are ready", ends.len()));
    Ok(ends.iter().filter(|count| **count >= MAX_ENDS).count() < MAX_MACHINES)
}
