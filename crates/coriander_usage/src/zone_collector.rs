//! Sums the counts of the processes of availability zones.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::is_kept;
use crate::usage_messages::{AccountCounts, InstanceCounts, ZoneCounts, total_of};

/// How often an unchanged sum is sent, because datagrams may be lost.
const SUM_SENDS: u8 = 2;

#[derive(Debug, Default)]
struct ProcessCounts {
    /// Whether the process has ended the window.
    is_closed: bool,
    /// Operations that the process has counted.
    total: u64,
    counts: HashMap<Arc<str>, u64>,
}

impl ProcessCounts {
    fn received(&self) -> u64 {
        self.counts.values().sum()
    }

    /// Returns whether all parts of the final counts have arrived.
    fn is_complete(&self) -> bool {
        self.is_closed && self.received() >= self.total
    }
}

#[derive(Debug, Default)]
struct ZoneWindow {
    processes: HashMap<u64, ProcessCounts>,
    /// How often the present sum was sent.
    sends: u8,
}

/// Sums the counts of processes by availability zone and window. Every process counts once, however
/// often its messages arrive.
#[derive(Debug, Default)]
pub struct ZoneCollector {
    windows: BTreeMap<(u64, Arc<str>), ZoneWindow>,
    /// The open window at the last removal of old ones.
    open_window: Option<u64>,
}

impl ZoneCollector {
    /// Removes the windows that are not kept, also while there is no holder. Messages for windows
    /// that are not kept are ignored from then on.
    pub fn remove_old(&mut self, open_window: u64) {
        self.open_window = Some(open_window);
        self.windows
            .retain(|(window, _), _| is_kept(*window, open_window));
    }

    /// Returns the number of windows that are kept, of all zones.
    pub fn window_count(&self) -> usize {
        self.windows.len()
    }

    /// Records the counts of a process.
    pub fn record(&mut self, message: &InstanceCounts) {
        let open_window = self.open_window.unwrap_or(message.window);
        if !is_kept(message.window, open_window) {
            return;
        }
        let key = (message.window, message.zone.clone());
        let window = self.windows.entry(key).or_default();
        let process = window.processes.entry(message.process).or_default();
        let was_complete = process.is_complete();
        process.is_closed |= message.is_closed;
        process.total = process.total.max(message.total);
        let mut is_changed = false;
        for (account, count) in &message.counts {
            let known = process.counts.entry(account.clone()).or_default();
            is_changed |= *known < *count;
            *known = (*known).max(*count);
        }
        if is_changed || process.is_complete() != was_complete {
            window.sends = 0;
        }
    }

    /// Returns the operations of a process in a window that have been received; `None` if nothing
    /// has.
    pub fn received(&self, process: u64, zone: &Arc<str>, window: u64) -> Option<u64> {
        let window = self.windows.get(&(window, zone.clone()))?;
        window.processes.get(&process).map(ProcessCounts::received)
    }

    /// Returns the sums to be sent now to the holder of the duty: those of windows before
    /// `settled_window` that are new, have changed or were sent once.
    pub fn take_due(&mut self, collector: u64, settled_window: u64) -> Vec<ZoneCounts> {
        let due = self.windows.iter_mut().filter(|((window, _), state)| {
            *window < settled_window && state.sends < SUM_SENDS && !state.processes.is_empty()
        });
        due.map(|((window, zone), state)| {
            state.sends += 1;
            let processes = state.processes.values();
            let closed = processes.filter(|process| process.is_complete());
            let counts = state.sums();
            ZoneCounts {
                collector,
                zone: zone.clone(),
                window: *window,
                closed_processes: u32::try_from(closed.count()).unwrap_or(u32::MAX),
                total: total_of(&counts),
                counts,
            }
        })
        .collect()
    }

    /// Makes all sums due again, for a new holder of the duty.
    pub fn resend_all(&mut self) {
        for window in self.windows.values_mut() {
            window.sends = 0;
        }
    }
}

impl ZoneWindow {
    fn sums(&self) -> AccountCounts {
        let mut sums: BTreeMap<&Arc<str>, u64> = BTreeMap::new();
        for (account, count) in self.processes.values().flat_map(|process| &process.counts) {
            *sums.entry(account).or_default() += count;
        }
        let sums = sums.into_iter();
        sums.map(|(account, count)| (account.clone(), count))
            .collect()
    }
}
