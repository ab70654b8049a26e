//! Waiting requests of one database.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use coriander_core::{AccountName, ClassName, ErrorCode, KeyDigest, MonotonicTime, RequestError};

use crate::class_queue::{ClassQueue, QueuedEntry};

/// Where a request can run.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum SlotRole {
    /// Only on the primary: writes, and reads that no replica may serve.
    Primary,
    /// On a replica.
    Replica,
}

/// A request to be queued.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueuedRequest {
    /// Identifies the request in later calls.
    pub ticket: u64,
    /// Class of the request.
    pub class: ClassName,
    /// Account for which it runs.
    pub account: AccountName,
    /// Key with which it was sent, so that a withdrawn key ends its waiting requests.
    pub key: KeyDigest,
    /// Where it can run.
    pub role: SlotRole,
    /// Expected work; 1 is one usual statement.
    pub cost: u32,
    /// Caller's deadline, if it is earlier than the class's latency target.
    pub deadline: Option<MonotonicTime>,
}

/// A request that was refused because it cannot be served in time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ShedRequest {
    /// Ticket of the request.
    pub ticket: u64,
    /// Error for the caller; its outcome is always not run.
    pub error: RequestError,
}

/// Bounds of a queue.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueBounds {
    /// Most waiting requests of one account, class and role.
    pub max_per_account: usize,
    /// Most waiting requests per role.
    pub max_per_role: usize,
    /// Latency target of classes that are not listed.
    pub default_latency_target: Duration,
}

impl Default for QueueBounds {
    fn default() -> Self {
        Self {
            max_per_account: 256,
            max_per_role: 2_048,
            default_latency_target: Duration::from_secs(1),
        }
    }
}

#[derive(Clone, Debug, Default)]
struct RoleQueue {
    classes: BTreeMap<ClassName, ClassQueue>,
    len: usize,
}

/// Queue of one database: accounts share each class by deficit round robin, and classes are
/// served by latency target and deadline.
///
/// ```
/// use coriander_core::{KeyDigest, MonotonicTime};
/// use coriander_limits::{FairQueue, QueueBounds, QueuedRequest, SlotRole};
///
/// let mut queue = FairQueue::new(QueueBounds::default());
/// let request = QueuedRequest {
///     ticket: 1,
///     class: "default".parse()?,
///     account: "harbour".parse()?,
///     key: KeyDigest::new([0; 32]),
///     role: SlotRole::Replica,
///     cost: 1,
///     deadline: None,
/// };
/// let now = MonotonicTime::from_millis(10);
/// assert!(queue.enqueue(request, now).is_empty());
/// assert_eq!(queue.next(SlotRole::Primary, now), None);
/// assert_eq!(queue.next(SlotRole::Replica, now), Some(1));
/// # Ok::<(), coriander_core::NameError>(())
/// ```
#[derive(Clone, Debug)]
pub struct FairQueue {
    bounds: QueueBounds,
    targets: HashMap<ClassName, Duration>,
    primary: RoleQueue,
    replica: RoleQueue,
}

impl FairQueue {
    /// Creates an empty queue.
    pub fn new(bounds: QueueBounds) -> Self {
        Self {
            bounds,
            targets: HashMap::new(),
            primary: RoleQueue::default(),
            replica: RoleQueue::default(),
        }
    }

    /// Sets the latency target of a class. Waiting requests keep their deadlines.
    pub fn set_latency_target(&mut self, class: ClassName, latency: Duration) {
        self.targets.insert(class, latency);
    }

    /// Queues a request and returns those that are refused for it.
    ///
    /// At a bound, requests that can no longer meet their target go first. If there are none,
    /// the newest request of the account with the most waiting ones goes.
    pub fn enqueue(&mut self, request: QueuedRequest, now: MonotonicTime) -> Vec<ShedRequest> {
        let target = self.targets.get(&request.class).copied();
        let target = target.unwrap_or(self.bounds.default_latency_target);
        let bounds = self.bounds.clone();
        let class_deadline = now + target;
        let deadline = request
            .deadline
            .map_or(class_deadline, |d| d.min(class_deadline));
        let entry = QueuedEntry {
            ticket: request.ticket,
            key: request.key,
            cost: request.cost.max(1),
            deadline,
        };
        let queue = self.role_mut(request.role);
        let mut shed = Vec::new();
        if queue.len >= bounds.max_per_role {
            shed.extend(queue.shed_late(now).into_iter().map(overdue));
        }
        let class = queue.classes.entry(request.class);
        let class = class.or_insert_with(|| ClassQueue::new(target));
        class.set_latency_target(target);
        if class.account_len(&request.account) >= bounds.max_per_account {
            shed.push(overflow(request.ticket));
            return shed;
        }
        class.push(&request.account, entry);
        queue.len += 1;
        if queue.len > bounds.max_per_role {
            shed.extend(queue.drop_newest_of_longest().map(overflow));
        }
        shed
    }

    /// Takes the next request for a free slot.
    pub fn next(&mut self, role: SlotRole, now: MonotonicTime) -> Option<u64> {
        let queue = self.role_mut(role);
        let class = queue.choose_class(now)?;
        let ticket = class.pop()?;
        queue.len -= 1;
        Some(ticket)
    }

    /// Refuses all requests whose deadline has passed. To be called before [`FairQueue::next`].
    pub fn shed_overdue(&mut self, now: MonotonicTime) -> Vec<ShedRequest> {
        let mut late = self.primary.shed_late(now);
        late.extend(self.replica.shed_late(now));
        late.into_iter().map(overdue).collect()
    }

    /// Returns the time at which the next request becomes overdue.
    pub fn next_deadline(&self) -> Option<MonotonicTime> {
        let queues = [&self.primary, &self.replica].into_iter();
        let classes = queues.flat_map(|queue| queue.classes.values());
        classes.filter_map(ClassQueue::first_deadline).min()
    }

    /// Moves all requests that wait for a replica to the primary, for example because no replica
    /// is left. Their deadlines stay.
    pub fn move_to_primary(&mut self) {
        let moved = std::mem::take(&mut self.replica);
        for (name, class) in moved.classes {
            let target = class.latency_target();
            let queue = self.primary.classes.entry(name);
            let queue = queue.or_insert_with(|| ClassQueue::new(target));
            for (account, entry) in class.into_entries() {
                queue.push(&account, entry);
                self.primary.len += 1;
            }
        }
    }

    /// Removes one waiting request, for example because its caller has gone.
    pub fn cancel(&mut self, ticket: u64) -> bool {
        !self
            .cancel_where(|_, entry| entry.ticket == ticket)
            .is_empty()
    }

    /// Removes the waiting requests of an account and returns their tickets.
    pub fn cancel_account(&mut self, account: &AccountName) -> Vec<u64> {
        self.cancel_where(|other, _| other == account)
    }

    /// Removes the waiting requests sent with a key and returns their tickets.
    pub fn cancel_key(&mut self, key: &KeyDigest) -> Vec<u64> {
        self.cancel_where(|_, entry| entry.key == *key)
    }

    /// Returns the number of requests that wait for a role.
    pub fn len(&self, role: SlotRole) -> usize {
        match role {
            SlotRole::Primary => self.primary.len,
            SlotRole::Replica => self.replica.len,
        }
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.primary.len + self.replica.len == 0
    }

    fn role_mut(&mut self, role: SlotRole) -> &mut RoleQueue {
        match role {
            SlotRole::Primary => &mut self.primary,
            SlotRole::Replica => &mut self.replica,
        }
    }

    fn cancel_where(&mut self, remove: impl Fn(&AccountName, &QueuedEntry) -> bool) -> Vec<u64> {
        let mut cancelled = Vec::new();
        for queue in [&mut self.primary, &mut self.replica] {
            for class in queue.classes.values_mut() {
                let removed = class.remove_where(&remove);
                queue.len -= removed.len();
                cancelled.extend(removed);
            }
        }
        cancelled
    }
}

impl RoleQueue {
    /// Chooses the class: the earliest deadline among classes about to miss their target, else
    /// the smallest target.
    fn choose_class(&mut self, now: MonotonicTime) -> Option<&mut ClassQueue> {
        let waiting = self.classes.values_mut().filter(|class| !class.is_empty());
        waiting.min_by_key(|class| {
            let deadline = class.first_deadline();
            let urgent = class.is_urgent(now);
            let rank = if urgent {
                Duration::ZERO
            } else {
                class.latency_target()
            };
            (!urgent, rank, deadline)
        })
    }

    fn shed_late(&mut self, now: MonotonicTime) -> Vec<u64> {
        let mut late = Vec::new();
        for class in self.classes.values_mut() {
            // Without this check, each call would visit every waiting request.
            if class.first_deadline().is_some_and(|first| first <= now) {
                late.extend(class.remove_where(|_, entry| entry.deadline <= now));
            }
        }
        self.len -= late.len();
        late
    }

    fn drop_newest_of_longest(&mut self) -> Option<u64> {
        let longest = self
            .classes
            .values_mut()
            .max_by_key(|class| class.longest_queue_len());
        let ticket = longest?.drop_newest_of_longest()?;
        self.len -= 1;
        Some(ticket)
    }
}

fn overdue(ticket: u64) -> ShedRequest {
    let message = "request waited longer than its class allows";
    let error = RequestError::not_run(ErrorCode::Overloaded, message);
    ShedRequest { ticket, error }
}

fn overflow(ticket: u64) -> ShedRequest {
    let message = "too many requests are waiting";
    let error = RequestError::not_run(ErrorCode::Overloaded, message);
    ShedRequest { ticket, error }
}
