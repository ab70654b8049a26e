//! Grants bytes of the memory budget, and chooses whom to take them from.

use std::collections::HashMap;
use std::time::Duration;

use coriander_core::MonotonicTime;

use crate::{MemoryLimits, MemoryShare};

/// Rate below which a holder falls behind: an eighth of a slow link of 1 Mbit/s.
pub(crate) const MIN_BYTES_PER_SEC: f64 = 16_384.0;

/// Time by which the sender of a message may be behind before it can be refused.
const INPUT_GRACE: Duration = Duration::from_secs(1);

/// Time by which the reader of an answer may be behind before it can be closed. Longer than for
/// messages, because a message that is refused can be repeated.
const ANSWER_GRACE: Duration = Duration::from_secs(3);

/// Time for which nobody else is chosen after a holder. A session whose statement runs or whose
/// transaction is open gives its bytes back later than that.
const REVOKE_WAIT: Duration = Duration::from_millis(500);

/// Identifier of a grant.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct HolderId(u64);

struct Holder {
    share: MemoryShare,
    bytes: usize,
    /// Time until which the transferred bytes last at the minimum rate.
    covered_until: MonotonicTime,
    /// Whether its bytes are in use by the process itself, so that it cannot give them back.
    is_busy: bool,
    /// Time at which it was chosen to give its bytes back.
    revoked_at: Option<MonotonicTime>,
}

/// The bytes of each share and their holders.
pub struct ByteBudget {
    share_bytes: [usize; 4],
    held_bytes: [usize; 4],
    holders: HashMap<HolderId, Holder>,
    last_id: u64,
}

impl ByteBudget {
    /// Creates a budget of which nothing is held.
    pub fn new(limits: &MemoryLimits) -> Self {
        Self {
            share_bytes: limits.share_bytes,
            held_bytes: [0; 4],
            holders: HashMap::new(),
            last_id: 0,
        }
    }

    /// Returns the bytes of a share that are held.
    pub fn held_bytes(&self, share: MemoryShare) -> usize {
        self.held_bytes[share.index()]
    }

    /// Grants bytes of a share, or returns `None` if its caller has to wait. An unused share grants
    /// more than it has, so that an answer larger than the share can be served alone.
    ///
    /// ```
    /// use coriander_core::MonotonicTime;
    /// use coriander_memory::{ByteBudget, MachineLimits, MemoryLimits, MemoryShare};
    ///
    /// let limits = MemoryLimits::new(&MachineLimits { memory_mb: 64, descriptors: 500 });
    /// let mut budget = ByteBudget::new(&limits);
    /// let share = MemoryShare::Large;
    /// let first = budget.reserve(share, 6 << 20, MonotonicTime::ZERO).expect("unused");
    /// assert!(budget.reserve(share, 6 << 20, MonotonicTime::ZERO).is_none());
    /// budget.release(first);
    /// assert!(budget.reserve(share, 6 << 20, MonotonicTime::ZERO).is_some());
    /// ```
    pub fn reserve(
        &mut self,
        share: MemoryShare,
        bytes: usize,
        now: MonotonicTime,
    ) -> Option<HolderId> {
        let held = self.held_bytes(share);
        if held > 0 && held + bytes > self.share_bytes[share.index()] {
            return None;
        }
        Some(self.add(share, bytes, now))
    }

    /// Counts bytes that are already in memory.
    pub fn add(&mut self, share: MemoryShare, bytes: usize, now: MonotonicTime) -> HolderId {
        self.last_id += 1;
        let id = HolderId(self.last_id);
        self.held_bytes[share.index()] += bytes;
        let holder = Holder {
            share,
            bytes,
            covered_until: now,
            is_busy: false,
            revoked_at: None,
        };
        self.holders.insert(id, holder);
        id
    }

    /// Changes the bytes of a holder and returns whether they were granted.
    pub fn resize(&mut self, id: HolderId, bytes: usize) -> bool {
        let Some(holder) = self.holders.get_mut(&id) else {
            return false;
        };
        let index = holder.share.index();
        let others = self.held_bytes[index] - holder.bytes;
        let is_granted =
            bytes <= holder.bytes || others == 0 || others + bytes <= self.share_bytes[index];
        if is_granted {
            self.held_bytes[index] = others + bytes;
            holder.bytes = bytes;
        }
        is_granted
    }

    /// Returns the bytes of a holder to its share.
    pub fn release(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.remove(&id) {
            self.held_bytes[holder.share.index()] -= holder.bytes;
        }
    }

    /// Records that a holder has sent or read bytes.
    pub fn record_progress(&mut self, id: HolderId, bytes: usize, now: MonotonicTime) {
        if let Some(holder) = self.holders.get_mut(&id) {
            let duration = Duration::from_secs_f64(bytes as f64 / MIN_BYTES_PER_SEC);
            holder.covered_until = (holder.covered_until + duration).min(now);
        }
    }

    /// Sets whether a holder's bytes are in use by the process itself. Afterwards the holder counts
    /// as up to date, and can be chosen again.
    pub fn set_busy(&mut self, id: HolderId, is_busy: bool, now: MonotonicTime) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.is_busy = is_busy;
            holder.covered_until = now;
            holder.revoked_at = None;
        }
    }

    /// Chooses the holder that has to give its bytes back: the largest, and of these the one that
    /// is most behind. It is not chosen again. Returns `None` if nobody is behind, or if the last
    /// choice still has time to give its bytes back.
    pub fn choose_victim(&mut self, share: MemoryShare, now: MonotonicTime) -> Option<HolderId> {
        let grace = match share {
            MemoryShare::Answers => ANSWER_GRACE,
            _ => INPUT_GRACE,
        };
        let in_share = || {
            self.holders
                .iter()
                .filter(|(_, found)| found.share == share)
        };
        let is_releasing = |holder: &Holder| {
            let chosen = holder.revoked_at;
            chosen.is_some_and(|chosen| now.since(chosen) < REVOKE_WAIT)
        };
        if in_share().any(|(_, holder)| is_releasing(holder)) {
            return None;
        }
        let is_behind = |holder: &Holder| {
            !holder.is_busy
                && holder.revoked_at.is_none()
                && now.since(holder.covered_until) >= grace
        };
        let (id, _) = in_share()
            .filter(|(_, holder)| is_behind(holder))
            .max_by_key(|(_, holder)| (holder.bytes, now.since(holder.covered_until)))?;
        let id = *id;
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.revoked_at = Some(now);
        }
        Some(id)
    }
}
