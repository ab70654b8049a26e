//! Measures CPU time, bytes and memory of ranks and heartbeats against fleet size and databases.

use std::hint::black_box;
use std::time::Instant;

use coriander_core::{ConfigDocument, DatabaseName, FleetMember, InstanceId, MonotonicTime};
use coriander_membership::{Heartbeat, OwnStatus, PeerTable, RankTable};

/// Version byte, MAC, and UDP/IP headers.
const FRAME_BYTES: usize = 61;
const ZONES: usize = 10;
const SECONDS: u64 = 10;

type MeasureError = Box<dyn std::error::Error>;

fn instance(number: usize) -> Result<InstanceId, MeasureError> {
    Ok(format!("i-{number:04}").parse()?)
}

fn document(instances: usize) -> Result<ConfigDocument, MeasureError> {
    let mut document = ConfigDocument::default();
    for number in 0..instances {
        let member = FleetMember {
            zone: format!("zone-{}", number % ZONES).parse()?,
            peer_address: ([127, 0, 0, 1], 7000).into(),
            draining: false,
        };
        document.fleet.insert(instance(number)?, member);
    }
    Ok(document)
}

fn resident_kb() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or(0)
        * 4
}

fn measure_lookups(ranks: &mut RankTable, databases: &[DatabaseName]) -> f64 {
    let begin = Instant::now();
    for database in databases {
        black_box(ranks.gateways(database));
    }
    begin.elapsed().as_secs_f64() * 1e6
}

/// Returns CPU use in percent, bytes per second and period in ms of heartbeats at one instance.
fn measure_heartbeats(
    document: &ConfigDocument,
    own: usize,
    ranks: &mut RankTable,
) -> Result<(f64, f64, u128), MeasureError> {
    let status = OwnStatus::default();
    let mut senders: Vec<PeerTable> = Vec::new();
    let own_id = instance(own)?;
    let sends_here = |sender: &mut PeerTable, ranks: &mut RankTable| {
        let targets = sender.heartbeat_targets(ranks);
        targets.iter().any(|(target, _)| *target == own_id)
    };
    for id in document.fleet.keys() {
        let mut table = PeerTable::new(id.clone());
        table.apply_document(document, MonotonicTime::ZERO);
        // Watchers are targets in alternate rounds, so two rounds show all senders.
        let first = sends_here(&mut table, ranks);
        table.next_heartbeat(status, MonotonicTime::ZERO);
        if first || sends_here(&mut table, ranks) {
            senders.push(table);
        }
    }
    let mut table = PeerTable::new(instance(own)?);
    table.apply_document(document, MonotonicTime::ZERO);
    let period = table.period();
    let (mut spent, mut bytes) = (0.0, 0);
    for millis in (0..SECONDS * 1_000).step_by(10) {
        let now = MonotonicTime::from_millis(millis);
        let mut received: Vec<Heartbeat> = Vec::new();
        for sender in &mut senders {
            if let Some(heartbeat) = sender.next_heartbeat(status, now)
                && sends_here(sender, ranks)
            {
                received.push(heartbeat);
            }
        }
        let begin = Instant::now();
        for heartbeat in &received {
            if let Ok(ack) = table.handle_heartbeat(heartbeat, status, now) {
                bytes += 2 * FRAME_BYTES + postcard::to_stdvec(heartbeat)?.len();
                bytes += postcard::to_stdvec(&ack)?.len();
            }
        }
        if let Some(heartbeat) = table.next_heartbeat(status, now) {
            let size = FRAME_BYTES + postcard::to_stdvec(&heartbeat)?.len();
            // Each target replies with an acknowledgement of about the same size.
            bytes += 2 * size * table.heartbeat_targets(ranks).len();
        }
        if millis % 100 == 0 {
            black_box(table.advance(now));
        }
        spent += begin.elapsed().as_secs_f64();
    }
    let seconds = SECONDS as f64;
    Ok((
        100.0 * spent / seconds,
        bytes as f64 / seconds,
        period.as_millis(),
    ))
}

/// Slope of ln y over ln x by least squares: 0 is constant, 1 is proportional.
fn exponent(points: &[(f64, f64)]) -> f64 {
    let logs: Vec<_> = points
        .iter()
        .map(|(x, y)| (x.ln(), y.max(1e-6).ln()))
        .collect();
    let count = logs.len() as f64;
    let mean_x = logs.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = logs.iter().map(|point| point.1).sum::<f64>() / count;
    let products = logs.iter().map(|(x, y)| (x - mean_x) * (y - mean_y));
    let squares = logs.iter().map(|(x, _)| (x - mean_x).powi(2));
    products.sum::<f64>() / squares.sum::<f64>()
}

fn main() -> Result<(), MeasureError> {
    println!("ranks of all databases, in µs: first time, again, after one instance is lost");
    println!(
        "{:>9} {:>9} {:>10} {:>10} {:>10} {:>10}",
        "instances", "databases", "first", "again", "one lost", "memory KB"
    );
    let (mut by_instances, mut by_databases) = (vec![Vec::new(); 2], vec![Vec::new(); 2]);
    for instances in [50, 200, 800, 2_100] {
        let document = document(instances)?;
        for count in [100, 400, 1_000, 4_000] {
            let names = (0..count).map(|number| format!("db-{number:04}").parse());
            let databases: Vec<DatabaseName> = names.collect::<Result<_, _>>()?;
            let before = resident_kb();
            let mut ranks = RankTable::new();
            ranks.apply_document(&document, MonotonicTime::ZERO);
            let first = measure_lookups(&mut ranks, &databases);
            let memory = resident_kb().saturating_sub(before);
            let again = measure_lookups(&mut ranks, &databases);
            ranks.set_available(&instance(instances / 2)?, false);
            let lost = measure_lookups(&mut ranks, &databases);
            println!(
                "{instances:>9} {count:>9} {first:>10.0} {again:>10.0} {lost:>10.0} {memory:>10}"
            );
            for (index, value) in [first, lost].into_iter().enumerate() {
                if count == 4_000 {
                    by_instances[index].push((instances as f64, value));
                }
                if instances == 2_100 {
                    by_databases[index].push((count as f64, value));
                }
            }
        }
    }
    println!("exponent of growth      first  one lost");
    for (name, points) in [("instances", by_instances), ("databases", by_databases)] {
        println!(
            "{name:<22} {:>6.2} {:>9.2}",
            exponent(&points[0]),
            exponent(&points[1])
        );
    }

    println!("heartbeats at one instance");
    println!(
        "{:>9} {:>9} {:>10} {:>9} {:>12} {:>9}",
        "instances", "period ms", "watcher %", "KB/s", "other inst. %", "KB/s"
    );
    let mut traffic = vec![Vec::new(); 2];
    for instances in [50, 200, 800, 2_100] {
        let document = document(instances)?;
        let mut ranks = RankTable::new();
        ranks.apply_document(&document, MonotonicTime::ZERO);
        let watchers = ranks.watchers(&"zone-0".parse()?);
        let number = |id: &InstanceId| id.as_str()[2..].parse::<usize>();
        let watcher = number(&watchers[0])?;
        let mut other = 0;
        while watchers.contains(&instance(other)?) {
            other += ZONES;
        }
        let (watch_cpu, watch_bytes, period) = measure_heartbeats(&document, watcher, &mut ranks)?;
        let (other_cpu, other_bytes, _) = measure_heartbeats(&document, other, &mut ranks)?;
        println!(
            "{instances:>9} {period:>9} {watch_cpu:>10.3} {:>9.1} {other_cpu:>12.3} {:>9.1}",
            watch_bytes / 1e3,
            other_bytes / 1e3
        );
        traffic[0].push((instances as f64, watch_bytes));
        traffic[1].push((instances as f64, other_bytes));
    }
    println!(
        "exponent of growth of bytes: watcher {:.2}, other {:.2}",
        exponent(&traffic[0]),
        exponent(&traffic[1])
    );
    Ok(())
}
