//! State of a duty in this process: its fencing token and its holder.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use coriander_core::MonotonicTime;
use coriander_service_api::{Duty, DutyLease};

/// The right to perform a duty of one instance at a time.
#[derive(Debug)]
pub struct DutyState {
    duty: Duty,
    /// Fencing token of this process, if it holds the duty.
    token: Cell<Option<u64>>,
    /// Fencing token in the newest lease, of any holder.
    current_token: Cell<Option<u64>>,
    /// The newest lease, if another process holds the duty.
    other_lease: RefCell<Option<DutyLease>>,
    /// Whether the process is about to stop and must not hold the duty again.
    is_retired: Cell<bool>,
    /// Whether the token must be replaced before the next call.
    is_token_spent: Cell<bool>,
    /// Number of times that this process has got the duty.
    tenure: Cell<u64>,
    /// Send time of the last successful renewal of the lease.
    renewed_at: Cell<MonotonicTime>,
}

impl DutyState {
    /// Creates the state of a duty that no process is known to hold.
    pub fn new(duty: Duty) -> Self {
        Self {
            duty,
            token: Cell::default(),
            current_token: Cell::default(),
            other_lease: RefCell::default(),
            is_retired: Cell::default(),
            is_token_spent: Cell::default(),
            tenure: Cell::default(),
            renewed_at: Cell::default(),
        }
    }

    /// Returns the duty.
    pub const fn duty(&self) -> Duty {
        self.duty
    }

    /// Applies the lease of a snapshot of the store.
    pub fn apply(&self, lease: Option<&DutyLease>, own_process: &str) {
        let was_held = self.token.get().is_some();
        self.current_token.set(lease.map(|lease| lease.token));
        let own_lease = lease.filter(|lease| &*lease.holder == own_process);
        let other_lease = lease.filter(|_| own_lease.is_none());
        self.other_lease.replace(other_lease.cloned());
        if let Some(lease) = lease {
            // An older read may still contain the token that a renewal has replaced.
            let known_token = self.token.get().unwrap_or(0);
            let own_token = own_lease.map(|_| lease.token.max(known_token));
            let is_newer = own_lease.is_some() || lease.token > known_token;
            if is_newer && !self.is_retired.get() {
                self.set_token(own_token);
            }
        }
        if was_held && self.token.get().is_none() {
            let holder = lease.map_or("-", |lease| &*lease.holder);
            let token = self.current_token.get();
            log::info!(
                duty = self.duty.label(), holder = holder, token:? = token;
                "another instance holds the duty"
            );
        }
    }

    /// Records that the lease was renewed by a call sent at `sent_at`.
    pub fn record_renewal(&self, sent_at: MonotonicTime) {
        self.renewed_at.set(sent_at);
    }

    /// Returns the fencing token if the last renewal of the lease is younger than
    /// `max_renewal_age`. After it another instance may hold the duty, which a platform that checks
    /// tokens notices only once that instance has used its own.
    pub fn usable_token(&self, max_renewal_age: Duration, now: MonotonicTime) -> Option<u64> {
        let is_renewed = now.since(self.renewed_at.get()) < max_renewal_age;
        self.token().filter(|_| is_renewed)
    }

    /// Records that this process has acquired the duty or a new token.
    pub fn record_acquired(&self, token: u64) {
        log::info!(duty = self.duty.label(), token = token; "duty acquired");
        self.set_token((!self.is_retired.get()).then_some(token));
        self.current_token.set(Some(token));
        self.is_token_spent.set(false);
    }

    fn set_token(&self, token: Option<u64>) {
        if self.token.replace(token).is_none() && token.is_some() {
            self.tenure.set(self.tenure.get() + 1);
        }
    }

    /// Returns how many times this process has got the duty. While the number stays the same, no
    /// other process has held it.
    pub fn tenure(&self) -> u64 {
        self.tenure.get()
    }

    /// Releases the duty, for example because its lease has ended.
    pub fn release(&self) {
        if let Some(token) = self.token.take() {
            log::info!(duty = self.duty.label(), token = token; "duty released");
        }
    }

    /// Releases the duty for good, because the process is about to stop. A snapshot that still
    /// contains the own lease does not restore it.
    pub fn retire(&self) {
        self.is_retired.set(true);
        self.release();
    }

    /// Records that the token must not be used again: a call with it was rejected, or got no reply
    /// and may still be executed unless a newer token is used.
    pub fn mark_token_spent(&self) {
        log::info!(
            duty = self.duty.label(), token:? = self.token.get();
            "fencing token is not used again; a new one will be acquired"
        );
        self.is_token_spent.set(true);
    }

    /// Returns the token that must be replaced by a new one, if there is one.
    pub fn spent_token(&self) -> Option<u64> {
        self.token.get().filter(|_| self.is_token_spent.get())
    }

    /// Returns the fencing token of this process; `None` if it must be replaced.
    pub fn token(&self) -> Option<u64> {
        self.token.get().filter(|_| !self.is_token_spent.get())
    }

    /// Returns the address of the instance that holds the duty, if it is another one.
    pub fn other_holder(&self) -> Option<SocketAddr> {
        self.other_lease
            .borrow()
            .as_ref()
            .and_then(|lease| lease.address)
    }

    /// Returns the newest lease, if another process holds the duty.
    pub fn other_lease(&self) -> Option<DutyLease> {
        self.other_lease.borrow().clone()
    }

    /// Returns the fencing token of this process, even if it must be replaced.
    pub fn held_token(&self) -> Option<u64> {
        self.token.get()
    }

    /// Returns whether this process holds the duty, even if its token must be replaced.
    pub fn is_held(&self) -> bool {
        self.token.get().is_some()
    }

    /// Returns whether no process holds the duty according to the newest lease.
    pub fn is_free(&self) -> bool {
        self.token.get().is_none() && self.current_token.get().is_none()
    }
}
