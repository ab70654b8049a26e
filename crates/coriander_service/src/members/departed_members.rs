//! Members that have left a group without a successor for their log.

use std::cell::RefCell;
use std::sync::Arc;
use std::time::Duration;

use coriander_core::MonotonicTime;

/// How long a group waits for absent members before the commits that only they hold are given up. A
/// member that is cut off loses its entry in the store within seconds and returns with its log.
pub const RETURN_TIMEOUT: Duration = Duration::from_secs(20);

struct DepartedMember {
    id: Arc<str>,
    removed_at: MonotonicTime,
}

/// Replicas that were removed from a group because their entries were gone, and may hold commits.
#[derive(Default)]
pub struct DepartedMembers {
    members: RefCell<Vec<DepartedMember>>,
}

impl DepartedMembers {
    /// Records that a replica was removed.
    pub fn add(&self, id: &Arc<str>, now: MonotonicTime) {
        self.remove(id);
        self.members.borrow_mut().push(DepartedMember {
            id: id.clone(),
            removed_at: now,
        });
    }

    /// Forgets a member, as it has returned.
    pub fn remove(&self, id: &str) {
        let mut members = self.members.borrow_mut();
        members.retain(|member| &*member.id != id);
    }

    /// Returns how many members may still return.
    pub fn count(&self, now: MonotonicTime) -> usize {
        let mut members = self.members.borrow_mut();
        members.retain(|member| now.since(member.removed_at) < RETURN_TIMEOUT);
        members.len()
    }
}
