//! Admission of requests to the slots of a database group.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::time::Duration;

use coriander_core::{
    AccountName, ClassName, ErrorCode, KeyDigest, MemberId, MonotonicTime, RequestError,
};
use coriander_limits::{FairQueue, QueueBounds, QueuedRequest, ShedRequest, SlotLimiter, SlotRole};
use tokio::sync::oneshot;

use crate::process_clock::ProcessClock;

/// A request for a slot.
pub struct SlotRequest {
    /// Account of the request.
    pub account: AccountName,
    /// Key of the request, so that withdrawing it ends the wait.
    pub key: KeyDigest,
    /// Class of the request.
    pub class: ClassName,
    /// Members that the request may run on.
    pub role: SlotRole,
    /// Time by which the request must have a slot.
    pub deadline: MonotonicTime,
}

/// Permission to run one request on a member; dropping it releases the slot.
pub struct SlotPermit {
    gate: Weak<SlotGate>,
    member: MemberId,
    was_refused: bool,
    acquired_at: MonotonicTime,
}

impl SlotPermit {
    /// Returns the member on which the request may run.
    pub fn member(&self) -> &MemberId {
        &self.member
    }

    /// Ends the permit of a request that the member refused because all its slots are in use.
    pub fn refuse(mut self) {
        self.was_refused = true;
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        let Some(gate) = self.gate.upgrade() else {
            return;
        };
        if self.was_refused {
            gate.slots
                .borrow_mut()
                .record_refusal(&self.member, gate.clock.now());
        } else {
            gate.slots.borrow_mut().release(&self.member);
            gate.record_hold_time(gate.clock.now().since(self.acquired_at));
        }
        gate.dispatch();
    }
}

type SlotWaiter = oneshot::Sender<Result<SlotPermit, RequestError>>;

/// Members that may receive requests, in order of preference.
#[derive(Clone, Debug, Default)]
pub struct SlotMembers {
    /// The primary, if it accepts requests.
    pub primary: Option<MemberId>,
    /// Replicas in use.
    pub replicas: Vec<MemberId>,
}

/// Limits how many requests run on each member and selects the next one.
pub struct SlotGate {
    clock: ProcessClock,
    queue: RefCell<FairQueue>,
    slots: RefCell<SlotLimiter>,
    waiters: RefCell<HashMap<u64, SlotWaiter>>,
    members: RefCell<SlotMembers>,
    next_ticket: Cell<u64>,
    /// Moving average of the time for which a request holds its slot.
    mean_hold_time: Cell<Duration>,
    slots_per_member: u32,
    weak_self: Weak<Self>,
}

impl SlotGate {
    /// Creates the gate of a group without members.
    pub fn new(clock: ProcessClock, slots_per_member: usize) -> Rc<Self> {
        let slots = u32::try_from(slots_per_member).unwrap_or(u32::MAX);
        Rc::new_cyclic(|weak_self| Self {
            clock,
            queue: RefCell::new(FairQueue::new(QueueBounds::default())),
            slots: RefCell::new(SlotLimiter::new(slots)),
            waiters: RefCell::default(),
            members: RefCell::default(),
            next_ticket: Cell::new(0),
            mean_hold_time: Cell::default(),
            slots_per_member: slots.max(1),
            weak_self: weak_self.clone(),
        })
    }

    /// Sets the latency target of a class.
    pub fn set_target(&self, class: ClassName, latency: Duration) {
        self.queue.borrow_mut().set_latency_target(class, latency);
    }

    /// Sets the members that may receive requests.
    pub fn set_members(&self, members: SlotMembers) {
        *self.members.borrow_mut() = members;
        self.dispatch();
    }

    /// Waits for a slot; a request that waits too long is refused as not run.
    pub async fn acquire(&self, request: SlotRequest) -> Result<SlotPermit, RequestError> {
        let ticket = self.next_ticket.get() + 1;
        self.next_ticket.set(ticket);
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().insert(ticket, sender);
        let queued = QueuedRequest {
            ticket,
            class: request.class,
            account: request.account,
            key: request.key,
            role: request.role,
            cost: 1,
            deadline: Some(request.deadline),
        };
        let shed = self.queue.borrow_mut().enqueue(queued, self.clock.now());
        self.refuse(shed);
        self.dispatch();
        receiver.await.unwrap_or_else(|_| {
            Err(RequestError::not_run(
                ErrorCode::Overloaded,
                "the gateway stopped serving",
            ))
        })
    }

    /// Returns the number of requests that wait for a role.
    pub fn waiting(&self, role: SlotRole) -> usize {
        self.queue.borrow().len(role)
    }

    /// Returns the number of waiting requests.
    pub fn waiting_total(&self) -> usize {
        self.waiting(SlotRole::Primary) + self.waiting(SlotRole::Replica)
    }

    /// Returns the time that a new request would wait for a slot of the primary.
    pub fn expected_wait(&self) -> Duration {
        let waiting = u32::try_from(self.waiting(SlotRole::Primary)).unwrap_or(u32::MAX);
        self.mean_hold_time.get().saturating_mul(waiting) / self.slots_per_member
    }

    fn record_hold_time(&self, held: Duration) {
        // A weight of 1/8 adapts to a change of load within some tens of requests.
        self.mean_hold_time
            .set((self.mean_hold_time.get() * 7 + held) / 8);
    }

    /// Refuses the waiting requests of withdrawn keys.
    pub fn cancel_keys(&self, keys: &[KeyDigest]) {
        for key in keys {
            let tickets = self.queue.borrow_mut().cancel_key(key);
            let message = "key was withdrawn while the request waited";
            let error = RequestError::not_run(ErrorCode::Unauthorized, message);
            let refused = tickets.into_iter().map(|ticket| ShedRequest {
                ticket,
                error: error.clone(),
            });
            self.refuse(refused.collect());
        }
    }

    /// Assigns free slots to waiting requests and refuses overdue ones; also called periodically.
    pub fn dispatch(&self) {
        let now = self.clock.now();
        let overdue = self.queue.borrow_mut().shed_overdue(now);
        self.refuse(overdue);
        let members = self.members.borrow().clone();
        if let Some(primary) = &members.primary {
            self.dispatch_to(primary, SlotRole::Primary);
        }
        for replica in &members.replicas {
            self.dispatch_to(replica, SlotRole::Replica);
        }
        if members.replicas.is_empty() && self.waiting(SlotRole::Replica) > 0 {
            self.queue.borrow_mut().move_to_primary();
            if let Some(primary) = &members.primary {
                self.dispatch_to(primary, SlotRole::Primary);
            }
        }
    }

    fn dispatch_to(&self, member: &MemberId, role: SlotRole) {
        loop {
            let now = self.clock.now();
            if self.slots.borrow_mut().free_slots(member, now) == 0 {
                return;
            }
            let Some(ticket) = self.queue.borrow_mut().next(role, now) else {
                return;
            };
            let Some(waiter) = self.waiters.borrow_mut().remove(&ticket) else {
                continue;
            };
            self.slots.borrow_mut().acquire(member, now);
            let permit = SlotPermit {
                gate: self.weak_self.clone(),
                member: member.clone(),
                was_refused: false,
                acquired_at: now,
            };
            // If the waiter was dropped, the permit is dropped here and releases its slot.
            drop(waiter.send(Ok(permit)));
        }
    }

    fn refuse(&self, shed: Vec<ShedRequest>) {
        for ShedRequest { ticket, error } in shed {
            if let Some(waiter) = self.waiters.borrow_mut().remove(&ticket) {
                drop(waiter.send(Err(error)));
            }
        }
    }
}
