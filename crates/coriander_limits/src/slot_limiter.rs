//! Limits of concurrent statements per member, adapted to the member's refusals.

use std::collections::HashMap;
use std::time::Duration;

use coriander_core::{MemberId, MonotonicTime};

/// Initial time without a refusal after which a lowered limit is raised by one slot.
const MIN_RAISE_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum of that time. It doubles when a member refuses a statement after the limit was raised,
/// so that a stable limit is tested less often.
const MAX_RAISE_INTERVAL: Duration = Duration::from_secs(300);

#[derive(Clone, Debug)]
struct MemberSlots {
    in_use: u32,
    limit: u32,
    /// Limit from the settings, the maximum of `limit`.
    max_limit: u32,
    changed_at: MonotonicTime,
    raise_interval: Duration,
    /// Whether the last change of the limit was an increase.
    last_change_raised: bool,
}

/// Slots for concurrent statements on the members of one database.
///
/// ```
/// use coriander_core::MonotonicTime;
/// use coriander_limits::SlotLimiter;
///
/// let mut slots = SlotLimiter::new(3);
/// let member = "a".parse()?;
/// let now = MonotonicTime::from_millis(10);
/// assert!(slots.acquire(&member, now) && slots.acquire(&member, now));
/// // The member accepted only one of the two statements.
/// slots.record_refusal(&member, now);
/// assert_eq!(slots.limit(&member), 1);
/// assert!(!slots.acquire(&member, now));
/// # Ok::<(), coriander_core::NameError>(())
/// ```
#[derive(Clone, Debug)]
pub struct SlotLimiter {
    default_limit: u32,
    members: HashMap<MemberId, MemberSlots>,
}

impl SlotLimiter {
    /// Creates a limiter with the slots per member from the settings.
    pub fn new(default_limit: u32) -> Self {
        Self {
            default_limit: default_limit.max(1),
            members: HashMap::new(),
        }
    }

    /// Sets the slots of one member from the settings.
    pub fn set_max_slots(&mut self, member: &MemberId, slots: u32, now: MonotonicTime) {
        let entry = self.entry(member, now);
        entry.max_limit = slots.max(1);
        entry.limit = entry.max_limit;
    }

    /// Returns the number of free slots of a member.
    pub fn free_slots(&mut self, member: &MemberId, now: MonotonicTime) -> u32 {
        let entry = self.entry(member, now);
        entry.raise(now);
        entry.limit.saturating_sub(entry.in_use)
    }

    /// Acquires a slot if one is free; returns whether it did.
    pub fn acquire(&mut self, member: &MemberId, now: MonotonicTime) -> bool {
        let has_free_slot = self.free_slots(member, now) > 0;
        if has_free_slot {
            self.entry(member, now).in_use += 1;
        }
        has_free_slot
    }

    /// Releases a slot after its statement has ended.
    pub fn release(&mut self, member: &MemberId) {
        if let Some(entry) = self.members.get_mut(member) {
            entry.in_use = entry.in_use.saturating_sub(1);
        }
    }

    /// Releases a slot whose statement the member refused because too many were running, and lowers
    /// the limit.
    pub fn record_refusal(&mut self, member: &MemberId, now: MonotonicTime) {
        let entry = self.entry(member, now);
        entry.in_use = entry.in_use.saturating_sub(1);
        // The member has accepted the statements in the other slots. Refusals of statements sent
        // together arrive one by one and must not lower the limit below the running ones.
        entry.limit = entry.limit.min(entry.in_use.max(1));
        if entry.last_change_raised {
            entry.raise_interval = (entry.raise_interval * 2).min(MAX_RAISE_INTERVAL);
        }
        entry.last_change_raised = false;
        entry.changed_at = now;
    }

    /// Returns the current limit of concurrent statements of a member.
    pub fn limit(&self, member: &MemberId) -> u32 {
        self.members
            .get(member)
            .map_or(self.default_limit, |entry| entry.limit)
    }

    /// Returns the number of slots in use of a member.
    pub fn in_use(&self, member: &MemberId) -> u32 {
        self.members.get(member).map_or(0, |entry| entry.in_use)
    }

    /// Removes a member that has left the group.
    pub fn remove(&mut self, member: &MemberId) {
        self.members.remove(member);
    }

    fn entry(&mut self, member: &MemberId, now: MonotonicTime) -> &mut MemberSlots {
        let limit = self.default_limit;
        let entry = self.members.entry(member.clone());
        entry.or_insert_with(|| MemberSlots {
            in_use: 0,
            limit,
            max_limit: limit,
            changed_at: now,
            raise_interval: MIN_RAISE_INTERVAL,
            last_change_raised: false,
        })
    }
}

impl MemberSlots {
    fn raise(&mut self, now: MonotonicTime) {
        if self.limit < self.max_limit && now.since(self.changed_at) >= self.raise_interval {
            if self.last_change_raised {
                // The previous increase caused no refusal.
                self.raise_interval = MIN_RAISE_INTERVAL;
            }
            self.limit += 1;
            self.changed_at = now;
            self.last_change_raised = true;
        }
    }
}
