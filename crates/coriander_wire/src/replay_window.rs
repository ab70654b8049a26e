//! Detection of replayed datagrams.

use std::collections::HashMap;

use coriander_core::InstanceId;

/// Number of recent sequence numbers that may arrive out of order.
const WINDOW_SIZE: u64 = 128;

/// Maximum number of recorded epochs per sender. A restarted instance normally uses a new id, so
/// more than one epoch per id is rare.
const MAX_EPOCHS_PER_SENDER: usize = 4;

/// Maximum number of recorded senders; above the fleet size expected in two years (2,100 nodes).
const MAX_SENDERS: usize = 4096;

/// Received sequence numbers of one epoch of one sender.
struct ReplayWindow {
    epoch: u64,
    max_sequence: u64,
    /// Bit `n` is set if `max_sequence - n` was received.
    received: u128,
    last_use: u64,
}

impl ReplayWindow {
    fn accept(&mut self, sequence: u64) -> bool {
        if sequence > self.max_sequence {
            let shift = sequence - self.max_sequence;
            self.received = if shift < WINDOW_SIZE {
                (self.received << shift) | 1
            } else {
                1
            };
            self.max_sequence = sequence;
            return true;
        }
        let distance = self.max_sequence - sequence;
        if distance >= WINDOW_SIZE || self.received & (1 << distance) != 0 {
            return false;
        }
        self.received |= 1 << distance;
        true
    }
}

/// Replay windows of all senders, with bounded memory.
///
/// Only authenticated datagrams are recorded, so an attacker without the key can fill the table
/// only with captured datagrams of real senders.
#[derive(Default)]
pub(crate) struct ReplayTable {
    senders: HashMap<InstanceId, Vec<ReplayWindow>>,
    use_count: u64,
}

impl ReplayTable {
    /// Records a datagram and returns whether it is new.
    pub(crate) fn accept(&mut self, sender: &InstanceId, epoch: u64, sequence: u64) -> bool {
        self.use_count += 1;
        let last_use = self.use_count;
        if !self.senders.contains_key(sender) {
            self.evict_oldest_sender();
        }
        let windows = self.senders.entry(sender.clone()).or_default();
        if let Some(window) = windows.iter_mut().find(|window| window.epoch == epoch) {
            let is_new = window.accept(sequence);
            if is_new {
                window.last_use = last_use;
            }
            return is_new;
        }
        // A new epoch never invalidates the others: a captured datagram of an earlier process must
        // not lock out the running one.
        if windows.len() == MAX_EPOCHS_PER_SENDER {
            let oldest = (0..MAX_EPOCHS_PER_SENDER).min_by_key(|index| windows[*index].last_use);
            windows.swap_remove(oldest.unwrap_or_default());
        }
        windows.push(ReplayWindow {
            epoch,
            max_sequence: sequence,
            received: 1,
            last_use,
        });
        true
    }

    /// Returns the number of recorded senders.
    pub(crate) fn len(&self) -> usize {
        self.senders.len()
    }

    fn evict_oldest_sender(&mut self) {
        if self.senders.len() < MAX_SENDERS {
            return;
        }
        let last_use = |windows: &Vec<ReplayWindow>| windows.iter().map(|w| w.last_use).max();
        let oldest = self
            .senders
            .iter()
            .min_by_key(|(_, windows)| last_use(windows));
        if let Some(sender) = oldest.map(|(sender, _)| sender.clone()) {
            self.senders.remove(&sender);
        }
    }
}
