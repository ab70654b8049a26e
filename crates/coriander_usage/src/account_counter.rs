//! Counts the operations of this process.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::is_kept;
use crate::usage_messages::AccountCounts;

/// How often the counts of a window that has ended are sent, because datagrams may be lost.
const CLOSED_SENDS: u8 = 2;

#[derive(Debug, Default)]
struct WindowCounter {
    counts: BTreeMap<Arc<str>, u64>,
    /// Whether the counts have changed since they were sent.
    is_changed: bool,
    /// How often they were sent after the end of the window.
    closed_sends: u8,
}

/// Counts of a window that are to be sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WindowCounts {
    /// Number of the window.
    pub window: u64,
    /// Whether the window has ended.
    pub is_closed: bool,
    /// Operations since the beginning of the window.
    pub counts: AccountCounts,
}

/// Counts the operations of this process by window and client account. Counts only grow.
#[derive(Debug, Default)]
pub struct AccountCounter {
    windows: BTreeMap<u64, WindowCounter>,
}

impl AccountCounter {
    /// Counts an operation.
    pub fn count(&mut self, account: &Arc<str>, window: u64) {
        let counter = self.windows.entry(window).or_default();
        counter.is_changed = true;
        if let Some(count) = counter.counts.get_mut(account) {
            *count += 1;
        } else {
            counter.counts.insert(account.clone(), 1);
        }
    }

    /// Returns the counts to be sent now: those of windows with changed counts, and those of windows
    /// that have ended, twice.
    pub fn take_due(&mut self, open_window: u64) -> Vec<WindowCounts> {
        // A window without operations is closed as well.
        self.windows.entry(open_window).or_default();
        self.remove_old(open_window);
        let mut due = Vec::new();
        for (window, counter) in &mut self.windows {
            let is_closed = *window < open_window;
            let is_due = counter.is_changed || is_closed && counter.closed_sends < CLOSED_SENDS;
            if !is_due {
                continue;
            }
            counter.is_changed = false;
            if is_closed {
                counter.closed_sends = counter.closed_sends.saturating_add(1);
            }
            let counts = counter.counts.iter();
            let counts = counts.map(|(account, count)| (account.clone(), *count));
            due.push(WindowCounts {
                window: *window,
                is_closed,
                counts: counts.collect(),
            });
        }
        due
    }

    /// Removes the windows that are not kept, also while there is no collector.
    pub fn remove_old(&mut self, open_window: u64) {
        self.windows
            .retain(|window, _| is_kept(*window, open_window));
    }

    /// Returns the number of windows that are kept.
    pub fn window_count(&self) -> usize {
        self.windows.len()
    }

    /// Returns the operations in the windows that are kept.
    pub fn total(&self) -> u64 {
        let windows = self.windows.values();
        windows.flat_map(|counter| counter.counts.values()).sum()
    }

    /// Makes all windows due again, for a new collector or before the process stops.
    pub fn resend_all(&mut self) {
        for counter in self.windows.values_mut() {
            counter.is_changed = true;
        }
    }
}
