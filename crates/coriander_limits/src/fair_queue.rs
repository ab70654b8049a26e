//! Fair queue for the waiting requests of one database.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use coriander_core::{AccountName, ClassName, ErrorCode, KeyDigest, MonotonicTime, RequestError};

use crate::class_queue::{ClassQueue, QueuedEntry};

/// Member role on which a request can run.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum SlotRole {
    /// Primary only: writes, and reads that no replica may serve.
    Primary,
    /// Replica.
    Replica,
}

/// A request to enqueue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueuedRequest {
    /// Identifier of the request in later calls.
    pub ticket: u64,
    /// Class of the request.
    pub class: ClassName,
    /// Account of the request.
    pub account: AccountName,
    /// Key of the request; when it is withdrawn, its waiting requests are cancelled.
    pub key: KeyDigest,
    /// Member role on which it can run.
    pub role: SlotRole,
    /// Expected work; a usual statement has cost 1.
    pub cost: u32,
    /// Deadline of the caller; applies if it is earlier than the class's latency target.
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

/// Limits of a queue.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueBounds {
    /// Maximum number of waiting requests per account, class and role.
    pub max_per_account: usize,
    /// Maximum number of waiting requests per role.
    pub max_per_role: usize,
    /// Latency target of classes without one of their own.
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

/// Queue of one database.
///
/// Within a class, accounts are served by deficit round robin. Classes are served by deadline and
/// latency target.
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

    /// Enqueues a request and returns the requests that are refused because of it.
    ///
    /// If the role's limit is reached, overdue requests are refused first; if there are none, the
    /// newest request of the account with the most waiting requests is refused. At the limit of
    /// an account, the new request is refused.
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
            shed.extend(queue.remove_overdue(now).into_iter().map(refuse_overdue));
        }
        let class = queue.classes.entry(request.class);
        let class = class.or_insert_with(|| ClassQueue::new(target));
        class.set_latency_target(target);
        if class.account_len(&request.account) >= bounds.max_per_account {
            shed.push(refuse_excess(request.ticket));
            return shed;
        }
        class.push(&request.account, entry);
        queue.len += 1;
        if queue.len > bounds.max_per_role {
            shed.extend(queue.drop_newest_of_longest().map(refuse_excess));
        }
        shed
    }

    /// Removes the next request for a free slot and returns its ticket.
    pub fn next(&mut self, role: SlotRole, now: MonotonicTime) -> Option<u64> {
        let queue = self.role_mut(role);
        let class = queue.choose_class(now)?;
        let ticket = class.pop()?;
        queue.len -= 1;
        Some(ticket)
    }

    /// Removes and returns all requests whose deadline has passed. Must be called before
    /// [`FairQueue::next`].
    pub fn shed_overdue(&mut self, now: MonotonicTime) -> Vec<ShedRequest> {
        let mut overdue = self.primary.remove_overdue(now);
        overdue.extend(self.replica.remove_overdue(now));
        overdue.into_iter().map(refuse_overdue).collect()
    }

    /// Returns the time at which the next request becomes overdue.
    pub fn next_deadline(&self) -> Option<MonotonicTime> {
        let queues = [&self.primary, &self.replica].into_iter();
        let classes = queues.flat_map(|queue| queue.classes.values());
        classes.filter_map(ClassQueue::first_deadline).min()
    }

    /// Moves all requests that wait for a replica to the primary, for example because no replica
    /// is available. They keep their deadlines.
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

    /// Removes one waiting request, for example because its caller has disconnected.
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

    /// Returns whether no request is waiting.
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
    /// Returns the class to serve next: the one with the earliest deadline among urgent classes,
    /// else the one with the lowest latency target.
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

    fn remove_overdue(&mut self, now: MonotonicTime) -> Vec<u64> {
        let mut overdue = Vec::new();
        for class in self.classes.values_mut() {
            // Avoids a scan of all waiting requests in each call.
            if class.first_deadline().is_some_and(|first| first <= now) {
                overdue.extend(class.remove_where(|_, entry| entry.deadline <= now));
            }
        }
        self.len -= overdue.len();
        overdue
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

fn refuse_overdue(ticket: u64) -> ShedRequest {
    let message = "request waited longer than its class allows";
    let error = RequestError::not_run(ErrorCode::Overloaded, message);
    ShedRequest { ticket, error }
}

fn refuse_excess(ticket: u64) -> ShedRequest {
    let message = "too many requests are waiting";
    let error = RequestError::not_run(ErrorCode::Overloaded, message);
    ShedRequest { ticket, error }
}
