//! Counts the operations of this process.

use std::collections::BTreeMap;
use std::sync::Arc;

use smallvec::SmallVec;

use crate::is_kept;
use crate::usage_messages::AccountCounts;

/// How often the counts of a window that has ended are sent at most, until all collectors have
/// confirmed them. One round follows another within a second, and the window is reported about 3 s
/// after its end.
const MAX_CLOSED_SENDS: u8 = 4;

#[derive(Debug, Default)]
struct WindowCounter {
    counts: BTreeMap<Arc<str>, u64>,
    /// Whether the counts have changed since they were sent.
    is_changed: bool,
    /// How often they were sent after the end of the window.
    closed_sends: u8,
    /// Collectors that have confirmed the present counts.
    confirmed_by: SmallVec<[u64; 2]>,
}

impl WindowCounter {
    fn mark_changed(&mut self) {
        self.is_changed = true;
        self.closed_sends = 0;
        self.confirmed_by.clear();
    }

    fn total(&self) -> u64 {
        self.counts.values().sum()
    }
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
        counter.mark_changed();
        if let Some(count) = counter.counts.get_mut(account) {
            *count += 1;
        } else {
            counter.counts.insert(account.clone(), 1);
        }
    }

    /// Returns the counts to be sent now to the collectors: those of windows with changed counts, and
    /// those of windows that have ended, until every collector has confirmed them.
    pub fn take_due(&mut self, open_window: u64, collectors: usize) -> Vec<WindowCounts> {
        // A window without operations is closed as well.
        self.windows.entry(open_window).or_default();
        self.remove_old(open_window);
        let mut due = Vec::new();
        for (window, counter) in &mut self.windows {
            let is_closed = *window < open_window;
            let is_unconfirmed = counter.closed_sends < MAX_CLOSED_SENDS
                && counter.confirmed_by.len() < collectors.max(1);
            let is_due = counter.is_changed || is_closed && is_unconfirmed;
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

    /// Records how many operations of this process a collector has received for a window that has
    /// ended. Only the present total confirms the counts.
    pub fn confirm(&mut self, window: u64, collector: u64, received: u64) {
        let Some(counter) = self.windows.get_mut(&window) else {
            return;
        };
        let is_known = counter.confirmed_by.contains(&collector);
        if received >= counter.total() && !is_known {
            counter.confirmed_by.push(collector);
        }
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
        self.windows.values().map(WindowCounter::total).sum()
    }

    /// Makes all windows due again, for a new collector or before the process stops.
    pub fn resend_all(&mut self) {
        for counter in self.windows.values_mut() {
            counter.mark_changed();
        }
    }
}
