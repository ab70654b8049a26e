//! Admits operations of client accounts within the share of this instance and loans of other
//! instances.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use coriander_core::MonotonicTime;
use coriander_limits::RateShares;
use coriander_service_api::{ClientAccount, FleetConfig, InstanceEntry};
use smallvec::SmallVec;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::ServiceClock;
use crate::peer_messages::{LoanReply, LoanRequest, PeerMessage};
use crate::peer_socket::PeerSocket;

/// Maximum time for which an operation waits for a loan.
const LOAN_TIMEOUT: Duration = Duration::from_millis(40);

/// Time after which a loan request without a reply is dropped.
const REPLY_TIMEOUT: Duration = Duration::from_millis(300);

/// Number of instances that are sent a loan request at a time.
const MAX_LENDERS: usize = 2;

struct PendingLoan {
    requested_at: MonotonicTime,
}

/// Rate limits of client accounts on this instance.
pub struct RateLimiter {
    clock: ServiceClock,
    peers: Rc<PeerSocket>,
    shares: RefCell<RateShares>,
    pending_loans: RefCell<HashMap<u64, PendingLoan>>,
    last_number: Cell<u64>,
    next_peer: Cell<usize>,
    loan_received: Notify,
}

impl RateLimiter {
    /// Creates a rate limiter without accounts.
    pub fn new(own_name: Arc<str>, peers: Rc<PeerSocket>) -> Self {
        Self {
            clock: ServiceClock,
            peers,
            shares: RefCell::new(RateShares::new(own_name)),
            pending_loans: RefCell::default(),
            last_number: Cell::new(0),
            next_peer: Cell::new(0),
            loan_received: Notify::new(),
        }
    }

    /// Applies the accounts of a configuration.
    pub fn apply_config(&self, config: &FleetConfig) {
        let now = self.clock.now();
        let mut shares = self.shares.borrow_mut();
        let limited = |name: &str| {
            let account = config.accounts.get(name);
            account.is_some_and(|account| account.rate.is_some())
        };
        shares.retain_accounts(limited);
        for account in config.accounts.values() {
            if let Some(rate) = account.rate {
                shares.set_limits(&account.name, rate, account.burst, now);
            }
        }
    }

    /// Sets the instances of the fleet.
    pub fn set_fleet(&self, instances: &[InstanceEntry]) {
        let now = self.clock.now();
        let names: Vec<_> = instances.iter().map(|entry| entry.id.clone()).collect();
        self.shares.borrow_mut().set_fleet(&names, now);
    }

    /// Takes one operation of an account, waiting for a loan if necessary. Fails with the delay
    /// after which the caller should retry.
    pub async fn acquire(&self, account: &ClientAccount) -> Result<(), Duration> {
        let name = &account.name;
        let started = self.clock.now();
        self.shares.borrow_mut().record_demand(name, started);
        loop {
            let loan_received = self.loan_received.notified();
            let now = self.clock.now();
            let result = self.shares.borrow_mut().spend(name, now);
            self.request_loans(name, now);
            let Err(delay) = result else {
                return Ok(());
            };
            let waited = now.since(started);
            if waited >= LOAN_TIMEOUT {
                return Err(delay);
            }
            let limit = (LOAN_TIMEOUT - waited).min(delay);
            // The share of this instance may have refilled when no loan arrives.
            let _ = timeout(limit, loan_received).await;
        }
    }

    /// Describes the remaining operations of an account on this instance, for logs.
    pub fn describe(&self, account: &str) -> String {
        self.shares.borrow().describe(account)
    }

    fn request_loans(&self, account: &Arc<str>, now: MonotonicTime) {
        let amount = self.shares.borrow_mut().tokens_to_borrow(account, now);
        if amount == 0 {
            return;
        }
        let peers: SmallVec<[SocketAddr; 8]> = {
            let shares = self.shares.borrow();
            let lenders = shares.lenders(account);
            lenders
                .filter_map(|name| self.peers.address(name))
                .collect()
        };
        let count = MAX_LENDERS.min(peers.len());
        if count == 0 {
            return;
        }
        let amount = amount.div_ceil(count as u32);
        let mut pending_loans = self.pending_loans.borrow_mut();
        pending_loans.retain(|_, loan| now.since(loan.requested_at) < REPLY_TIMEOUT);
        for _ in 0..count {
            let index = self.next_peer.get();
            self.next_peer.set(index.wrapping_add(1));
            let number = self.last_number.get() + 1;
            self.last_number.set(number);
            pending_loans.insert(number, PendingLoan { requested_at: now });
            let request = LoanRequest {
                account: account.to_string(),
                number,
                amount,
            };
            let address = peers[index % peers.len()];
            self.peers.send(address, &PeerMessage::LoanRequest(request));
        }
    }

    /// Handles a loan request of another instance.
    pub fn lend(&self, sender: SocketAddr, request: &LoanRequest) {
        let now = self.clock.now();
        let amount = self
            .shares
            .borrow_mut()
            .lend(&request.account, request.amount, now);
        let reply = LoanReply {
            account: request.account.clone(),
            number: request.number,
            amount,
        };
        self.peers.send(sender, &PeerMessage::LoanReply(reply));
    }

    /// Adds a loan to the share of its account, once per request.
    pub fn receive_loan(&self, reply: &LoanReply) {
        let pending_loan = self.pending_loans.borrow_mut().remove(&reply.number);
        let Some(loan) = pending_loan else {
            return;
        };
        let now = self.clock.now();
        self.shares
            .borrow_mut()
            .receive_loan(&reply.account, reply.amount, loan.requested_at, now);
        if reply.amount > 0 {
            self.loan_received.notify_waiters();
        }
    }
}
