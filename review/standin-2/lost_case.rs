//! The store is down and the entries of the members lapse, while one replica of one service receives
//! nothing. No member crashes. The entries are back within two seconds of the store's return, that of
//! the replica which lags first.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::client::Client;
use crate::group::GroupPlan;
use crate::{Outcome, Setup};

const ROUNDS: usize = 10;

/// Time for which one replica receives nothing (`replica_lag`, deaf, count 1, at most 6.5 s).
const DEAF: Duration = Duration::from_millis(6_500);

/// Time for which the store is down (`platform_down`, reset lapse, at most 4.5 s).
const DOWN: Duration = Duration::from_millis(4_500);

/// Time from the start of the outage until the replicas receive nothing.
const DEAF_AFTER_DOWN: Duration = Duration::from_millis(1_300);

/// Time from the return of the store until the entry of the replica that lags is back, and those of
/// the others.
const FIRST_BACK: Duration = Duration::from_millis(100);
const OTHERS_BACK: Duration = Duration::from_millis(1_800);

/// Time between two rounds.
const CALM: Duration = Duration::from_millis(2_500);

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
            thread::sleep(DOWN);
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
    let record = &setup.record;
    // One service has a replica that lags; the first member of the others is back first.
    let lagging_group = &setup.groups[0];
    let primary = lagging_group.primary();
    let lagging = (primary + 1) % 3;
    record.note(&format!("round {round}: the store is down; the primary of {} is member {primary}", lagging_group.name));
    setup.store.go_down();
    thread::sleep(DEAF_AFTER_DOWN);
    lagging_group.set_deaf(lagging, true);
    record.note(&format!("member {lagging} of {} receives nothing", lagging_group.name));
    thread::sleep(DOWN - DEAF_AFTER_DOWN);
    let mut delays = [OTHERS_BACK; 3];
    delays[lagging] = FIRST_BACK;
    for group in &setup.groups {
        setup.lapse_entries(group, delays);
    }
    setup.store.come_back();
    record.note("the store is back; the entries of the members have lapsed");
    thread::sleep(DEAF + DEAF_AFTER_DOWN - DOWN);
    lagging_group.set_deaf(lagging, false);
    record.note("all members receive again");
}

/// Writes one item after the other through one front.
pub fn write(setup: &Setup, number: usize, stop: &AtomicBool) {
    let service = number % setup.groups.len();
    let (database, key) = (format!("orders-db{service}"), format!("key-{}", number % 8));
    let mut client: Option<Client> = None;
    for count in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        thread::sleep(Duration::from_millis(200));
        let address = setup.fleet.fronts[(number + count / 20) % 6].address;
        if client.is_none() || count % 20 == 0 {
            client = Client::open(address, &database, &key, Duration::from_millis(2_500));
        }
        let Some(open) = &mut client else { continue };
        let id = format!("w{number}-{count}");
        setup.record.message(&format!("client {number} sends QUERY {id} WRITE item{number} {id}"));
        let answer = open.query(&id, &format!("WRITE item{number} {id}"));
        match answer {
            Some(answer) => {
                setup.record.message(&format!("client {number} gets {:?} for {id}", answer.result));
                if answer.result.is_ok() {
                    setup.record.add_kept(&setup.groups[service].name, &id);
                }
            }
            None => {
                setup.record.message(&format!("client {number} gets no answer for {id}"));
                client = None;
            }
        }
    }
}
