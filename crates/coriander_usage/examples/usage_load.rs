//! Plays a load on three zones of eight processes, with lost and repeated messages, and prints
//! the counted and the reported operations of each window.

use std::time::Duration;

use coriander_usage::{
    AccountCounter, InstanceCounts, LedgerStep, UsageLedger, UsagePolicy, UsageRecord,
    ZoneCollector,
};

const ZONES: [&str; 3] = ["north", "east", "south"];
const PROCESSES: u64 = 8;
const SECONDS: u64 = 60;

fn main() {
    let policy = UsagePolicy::default();
    let start = policy.end_of(1_000);
    let mut counters: Vec<AccountCounter> = Vec::new();
    counters.resize_with(ZONES.len() * PROCESSES as usize, AccountCounter::default);
    let mut collectors: Vec<ZoneCollector> = Vec::new();
    collectors.resize_with(ZONES.len() * 2, ZoneCollector::default);
    let mut ledger = UsageLedger::new(policy);
    ledger.start_tenure(start);
    ledger.set_record(UsageRecord::default());
    let mut counted = std::collections::BTreeMap::<u64, u64>::new();
    let mut messages = 0_u64;
    for second in 0..SECONDS {
        let now = start + Duration::from_secs(second);
        let window = policy.window_at(now);
        for (index, counter) in counters.iter_mut().enumerate() {
            let process = index as u64;
            for operation in 0..(process * 7 + second) % 13 {
                let account = format!("account-{}", (operation + process) % 20);
                counter.count(&account.into(), window);
                *counted.entry(window).or_default() += 1;
            }
            let zone = index / PROCESSES as usize;
            let due = counter.take_due(window, 2).into_iter();
            let parts =
                due.flat_map(|due| InstanceCounts::parts(process, &ZONES[zone].into(), due));
            for message in parts.collect::<Vec<_>>() {
                let receivers = collectors[zone * 2..zone * 2 + 2].iter_mut();
                for (receiver, collector) in (0..).zip(receivers) {
                    messages += 1;
                    // Every ninth message is lost, every seventh arrives twice.
                    if !messages.is_multiple_of(9) {
                        collector.record(&message);
                    }
                    if messages.is_multiple_of(7) {
                        collector.record(&message);
                    }
                    let received = collector.received(process, &message.zone, message.window);
                    counter.confirm(message.window, receiver, received.unwrap_or(0));
                }
            }
        }
        for (index, collector) in collectors.iter_mut().enumerate() {
            let settled = policy.window_at(now.saturating_sub(Duration::from_millis(1_400)));
            for sums in collector.take_due(index as u64, settled) {
                ledger.receive(&sums);
            }
        }
        loop {
            match ledger.next_step(now, counters.len()) {
                LedgerStep::WriteRecord(record) => ledger.set_record(record),
                LedgerStep::Send(usage) => {
                    let reported: u64 = usage.counts.values().sum();
                    let counted = counted.get(&usage.window).copied().unwrap_or(0);
                    println!(
                        "window {}: {counted} counted, {reported} reported",
                        usage.window
                    );
                    ledger.accept(usage.window, now);
                }
                LedgerStep::Wait | LedgerStep::ReadRecord => break,
            }
        }
    }
}
