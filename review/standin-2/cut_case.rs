//! A primary is cut from the store and nothing else. While its successor is being promoted it goes on
//! acknowledging commits, and the successor stops receiving.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::group::{GroupPlan, wait_until};
use crate::lost_case::write;
use crate::{Outcome, Setup};

const ROUNDS: usize = 5;

/// Time for which the primary is cut from the store (`primary_cut`, core, at most 5 s).
const CUT: Duration = Duration::from_millis(5_000);

/// Time for which the successor receives nothing, from the moment that its promotion is accepted
/// (`replica_lag`, deaf, count 1, at most 6.5 s). The promotion itself ends it after 0.6 s.
const DEAF: Duration = Duration::from_millis(1_000);

/// Time between two rounds.
const CALM: Duration = Duration::from_millis(4_000);

const WRITERS: usize = 12;

pub fn play(folder: &Path, trouble: bool) -> Outcome {
    let plan = GroupPlan {
        sync_replicas: 1,
        promote_time: Duration::from_millis(600),
        max_connections: 21,
        work: Duration::from_millis(6),
        report_rows: 1,
        report_row_bytes: 1,
    };
    let setup = Setup::start(folder, 3, plan)?;
    let stop = Arc::new(AtomicBool::new(false));
    for number in 0..WRITERS {
        let (setup, stop) = (setup.clone(), stop.clone());
        thread::spawn(move || write(&setup, number, &stop));
    }
    for round in 0..ROUNDS {
        thread::sleep(CALM);
        if trouble {
            disturb(&setup, round);
        } else {
            thread::sleep(CUT);
        }
        if setup.record.lost_count() > 0 {
            break;
        }
    }
    stop.store(true, Ordering::Relaxed);
    let (kept, lost) = (setup.record.kept_count(), setup.record.lost_count());
    setup.record.note(&format!("{kept} acknowledged writes are kept, {lost} are lost"));
    if kept < 100 {
        return Err("too few writes were served".into());
    }
    Ok(lost == 0)
}

fn disturb(setup: &Setup, round: usize) {
    let group = &setup.groups[0];
    let primary = group.primary();
    setup.record.note(&format!("round {round}: member {primary} of {} is cut from the store", group.name));
    group.goes_deaf_at_promotion.store(true, Ordering::Relaxed);
    let started = Instant::now();
    group.lock()[primary].reaches_store = false;
    let promoted = wait_until(CUT, || !group.goes_deaf_at_promotion.load(Ordering::Relaxed));
    let deaf_until = Instant::now() + DEAF;
    group.goes_deaf_at_promotion.store(false, Ordering::Relaxed);
    thread::sleep(CUT.saturating_sub(started.elapsed()).min(DEAF));
    group.lock()[primary].reaches_store = true;
    setup.record.note("the cut has ended");
    if promoted {
        thread::sleep(deaf_until.saturating_duration_since(Instant::now()));
        for number in 0..3 {
            group.set_deaf(number, false);
        }
        setup.record.note("all members receive again");
    }
}
