//! Admits operations of client accounts within the share of this instance and loans of other
//! instances.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use coriander_core::MonotonicTime;
use coriander_limits::{FleetInstance, LoanOffer, RateShares};
use coriander_service_api::{ClientAccount, FleetConfig, InstanceEntry};
use smallvec::SmallVec;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::BootClock;
use crate::fleet::peer_messages::{LoanRefusal, LoanReply, LoanRequest, PeerMessage};
use crate::fleet::peer_socket::PeerSocket;

/// Maximum time for which an operation waits for loans.
const BORROW_TIMEOUT: Duration = Duration::from_millis(120);

/// Time after which an owner without a reply is skipped and the next one is asked.
const OWNER_TIMEOUT: Duration = Duration::from_millis(25);

/// Time for which an owner without a reply is asked only if no other one replies.
const SILENT_PERIOD: Duration = Duration::from_millis(1_000);

/// Time after which a loan request without a reply is dropped.
const REPLY_TIMEOUT: Duration = Duration::from_millis(300);

struct PendingLoan {
    requested_at: MonotonicTime,
    /// Signals the offer to the operation that waits for it.
    offered: oneshot::Sender<LoanOffer>,
}

/// Rate limits of client accounts on this instance.
pub struct RateLimiter {
    clock: BootClock,
    peers: Rc<PeerSocket>,
    shares: RefCell<RateShares>,
    pending_loans: RefCell<HashMap<u64, PendingLoan>>,
    last_number: Cell<u64>,
    /// Number of operations that asked the owners; rotates the order in which they are asked.
    turn: Cell<usize>,
    /// Owners that did not reply, with the time until which they are asked last.
    silent_owners: RefCell<HashMap<SocketAddr, MonotonicTime>>,
    /// Whether refused callers get a time behind those already asked to come back.
    orders_returns: bool,
    /// Creation revision of the own entry in the last list, and the revision of that list.
    own_listing: Cell<Option<(Option<u64>, u64)>>,
    /// Revision of the first registration of this process.
    first_registration: Cell<Option<u64>>,
    /// Whether a registration may have created the entry without a reply.
    has_failed_registration: Cell<bool>,
    /// Whether it is known if this instance was listed since its process started.
    knows_idle_time: Cell<bool>,
}

impl RateLimiter {
    /// Creates a rate limiter without accounts.
    pub fn new(own_name: Arc<str>, peers: Rc<PeerSocket>) -> Self {
        Self {
            clock: BootClock,
            peers,
            shares: RefCell::new(RateShares::new(own_name)),
            pending_loans: RefCell::default(),
            last_number: Cell::new(0),
            turn: Cell::new(0),
            silent_owners: RefCell::default(),
            orders_returns: false,
            own_listing: Cell::new(None),
            first_registration: Cell::new(None),
            has_failed_registration: Cell::new(false),
            knows_idle_time: Cell::new(false),
        }
    }

    /// Gives refused callers a time behind those already asked to come back, lets a request of an
    /// account that sends more than its rate ask few owners, and prefers owners in the availability
    /// zone of this instance.
    #[must_use]
    pub fn with_ordered_returns(mut self, own_zone: Arc<str>) -> Self {
        self.orders_returns = true;
        // The peer address is bound, so the former process of this instance has ended.
        let shares = self.shares.into_inner().with_idle_since(self.clock.now());
        self.shares = RefCell::new(shares.with_own_zone(own_zone));
        self
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
        drop(shares);
        self.check_idle_time();
    }

    /// Sets the instances of the fleet, as listed at a revision of the store.
    pub fn set_fleet(&self, instances: &[InstanceEntry], revision: u64) {
        let now = self.clock.now();
        let listed = instances.iter();
        let fleet: Vec<_> = listed
            .map(|entry| FleetInstance::new(entry.id.clone(), entry.zone.clone()))
            .collect();
        let mut shares = self.shares.borrow_mut();
        shares.set_fleet(&fleet, now);
        let own = instances.iter().find(|entry| *entry.id == *shares.own_id());
        drop(shares);
        let created = own.map(|entry| entry.created);
        self.own_listing.set(Some((created, revision)));
        self.check_idle_time();
    }

    /// Records the revision of a registration of this instance.
    pub fn record_registration(&self, revision: u64) {
        let first = self.first_registration.get().unwrap_or(revision);
        self.first_registration.set(Some(first));
        self.check_idle_time();
    }

    /// Records that a registration was sent and not confirmed. It may have created the entry, which
    /// then says nothing about the time before.
    pub fn record_failed_registration(&self) {
        self.has_failed_registration.set(true);
    }

    /// Finds out whether this instance was listed from the start of its process: then no other one
    /// owned its shares meanwhile.
    fn check_idle_time(&self) {
        let mut shares = self.shares.borrow_mut();
        let listing = self.own_listing.get();
        let known = self.first_registration.get().zip(listing);
        let Some((registered, (created, revision))) = known else {
            return;
        };
        // A list read before the registration may show an entry that expired before it.
        if self.knows_idle_time.get() || revision < registered || !shares.has_limits() {
            return;
        }
        self.knows_idle_time.set(true);
        // An entry created by the registration says that the former one had expired.
        let was_listed = !self.has_failed_registration.get()
            && created.is_some_and(|created| created < registered);
        shares.resolve_idle_time(was_listed, self.clock.now());
    }

    /// Takes one operation of an account, borrowing it from other instances if necessary. Fails with
    /// the delay after which the caller should retry.
    pub async fn acquire(&self, account: &ClientAccount) -> Result<(), Duration> {
        let name = &account.name;
        let now = self.clock.now();
        self.shares.borrow_mut().record_demand(name, now);
        let result = self.shares.borrow_mut().spend(name, now);
        self.borrow_in_advance(name, now);
        match result {
            Ok(()) => Ok(()),
            Err(own_delay) => self.borrow_and_spend(name, own_delay).await,
        }
    }

    /// Describes the remaining operations of an account on this instance, for logs.
    pub fn describe(&self, account: &str) -> String {
        self.shares.borrow().describe(account)
    }

    /// Asks one owner after the other for a token until one lends it.
    async fn borrow_and_spend(
        &self,
        account: &Arc<str>,
        own_delay: Duration,
    ) -> Result<(), Duration> {
        let started = self.clock.now();
        if let Some(retry_after) = self.exhausted_retry_after(account, started) {
            return Err(retry_after);
        }
        let owners = self.owners_to_ask(account, started);
        let asked = owners.len();
        let amount = self.shares.borrow().loan_size(account, started);
        let asked_owners = self
            .orders_returns
            .then(|| u32::try_from(asked).unwrap_or(u32::MAX));
        // The delay of an instance that owns no share says nothing about the owners' tokens.
        let mut delay = (!self.orders_returns || self.is_owner(account)).then_some(own_delay);
        let mut has_replied = false;
        let mut all_replied = true;
        for owner in owners {
            let waited = self.clock.now().since(started);
            if waited >= BORROW_TIMEOUT || (has_replied && self.is_silent(owner)) {
                all_replied = false;
                break;
            }
            match self.ask_owner(owner, account, amount, asked_owners).await {
                Some(LoanOffer::RetryAfter(retry_after)) => {
                    delay = Some(delay.map_or(retry_after, |delay| delay.min(retry_after)));
                    has_replied = true;
                }
                Some(LoanOffer::Tokens(_)) => {
                    has_replied = true;
                    // If another request spends the loan first, the owner may still have more.
                    all_replied = false;
                }
                None => all_replied = false,
            }
            // Also finds a late loan of another owner and what the own share has gained.
            let now = self.clock.now();
            if self.shares.borrow_mut().spend(account, now).is_ok() {
                return Ok(());
            }
        }
        let delay = delay.unwrap_or(own_delay);
        if all_replied {
            let now = self.clock.now();
            let mut shares = self.shares.borrow_mut();
            let is_exhausted = shares.record_refusal(account, asked, delay, now);
            if is_exhausted && self.orders_returns {
                shares.record_saturated(account, now);
            }
        }
        Err(delay)
    }

    fn is_owner(&self, account: &str) -> bool {
        self.shares.borrow().is_owner(account)
    }

    fn exhausted_retry_after(&self, account: &str, now: MonotonicTime) -> Option<Duration> {
        self.shares.borrow().exhausted_retry_after(account, now)
    }

    /// Returns the owners that a request asks, in order. The first one rotates, so that all lend
    /// alike.
    fn owners_to_ask(&self, account: &str, now: MonotonicTime) -> SmallVec<[SocketAddr; 8]> {
        self.turn.set(self.turn.get().wrapping_add(1));
        let shares = self.shares.borrow();
        let is_silent = |name: &str| {
            let address = self.peers.address(name);
            address.is_none_or(|address| self.is_silent(address))
        };
        let owners = shares.lenders_in_turn(account, self.turn.get(), is_silent, now);
        let addresses = owners.iter().map(|name| self.peers.address(name));
        addresses.flatten().collect()
    }

    /// Returns whether an owner has not replied recently.
    fn is_silent(&self, owner: SocketAddr) -> bool {
        let silent = self.silent_owners.borrow();
        let until = silent.get(&owner);
        until.is_some_and(|until| self.clock.now() < *until)
    }

    /// Requests tokens from an owner; `None` without a reply.
    async fn ask_owner(
        &self,
        owner: SocketAddr,
        account: &Arc<str>,
        amount: u32,
        asked_owners: Option<u32>,
    ) -> Option<LoanOffer> {
        let now = self.clock.now();
        let offered = self.request_loan(owner, account, amount, asked_owners, now);
        let offer = timeout(OWNER_TIMEOUT, offered).await;
        if let Ok(Ok(offer)) = offer {
            return Some(offer);
        }
        let until = now + SILENT_PERIOD;
        self.silent_owners.borrow_mut().insert(owner, until);
        None
    }

    /// Sends a loan request and returns a receiver for the offer.
    fn request_loan(
        &self,
        owner: SocketAddr,
        account: &Arc<str>,
        amount: u32,
        asked_owners: Option<u32>,
        now: MonotonicTime,
    ) -> oneshot::Receiver<LoanOffer> {
        let (offered, receiver) = oneshot::channel();
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let loan = PendingLoan {
            requested_at: now,
            offered,
        };
        let mut pending_loans = self.pending_loans.borrow_mut();
        pending_loans.retain(|_, loan| now.since(loan.requested_at) < REPLY_TIMEOUT);
        pending_loans.insert(number, loan);
        drop(pending_loans);
        let request = LoanRequest {
            account: account.to_string(),
            number,
            amount,
            asked_owners,
        };
        self.peers.send(owner, &PeerMessage::LoanRequest(request));
        receiver
    }

    /// Borrows what the next requests are expected to need, without waiting.
    fn borrow_in_advance(&self, account: &Arc<str>, now: MonotonicTime) {
        let amount = self.shares.borrow_mut().tokens_to_borrow(account, now);
        if amount == 0 {
            return;
        }
        if let Some(owner) = self.owners_to_ask(account, now).first() {
            // The offer adds to the share when it arrives; no operation waits for it.
            drop(self.request_loan(*owner, account, amount, None, now));
        }
    }

    /// Handles a loan request of another instance. Without limits of the account it gets no reply.
    pub fn lend(&self, sender: SocketAddr, request: &LoanRequest) {
        let now = self.clock.now();
        let mut shares = self.shares.borrow_mut();
        let offer =
            shares.lend_to_one_of(&request.account, request.amount, request.asked_owners, now);
        let Some(offer) = offer else {
            return;
        };
        let message = match offer {
            LoanOffer::Tokens(amount) => PeerMessage::LoanReply(LoanReply {
                account: request.account.clone(),
                number: request.number,
                amount,
            }),
            LoanOffer::RetryAfter(retry_after) => PeerMessage::LoanRefusal(LoanRefusal {
                number: request.number,
                retry_after,
            }),
        };
        self.peers.send(sender, &message);
    }

    /// Adds a loan to the share of its account, once per request.
    pub fn receive_loan(&self, sender: SocketAddr, reply: &LoanReply) {
        let Some(loan) = self.take_pending(sender, reply.number) else {
            return;
        };
        let now = self.clock.now();
        let mut shares = self.shares.borrow_mut();
        shares.receive_loan(&reply.account, reply.amount, loan.requested_at, now);
        // No operation waits for a loan in advance.
        let _ = loan.offered.send(LoanOffer::Tokens(reply.amount));
    }

    /// Handles the refusal of a loan request.
    pub fn receive_refusal(&self, sender: SocketAddr, refusal: &LoanRefusal) {
        if let Some(loan) = self.take_pending(sender, refusal.number) {
            // No operation waits for a loan in advance.
            let _ = loan
                .offered
                .send(LoanOffer::RetryAfter(refusal.retry_after));
        }
    }

    fn take_pending(&self, sender: SocketAddr, number: u64) -> Option<PendingLoan> {
        self.silent_owners.borrow_mut().remove(&sender);
        self.pending_loans.borrow_mut().remove(&number)
    }
}
