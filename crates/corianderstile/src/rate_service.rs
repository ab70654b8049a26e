//! Rate limits of client accounts on this instance.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use coriander_config::FRESHNESS_PERIOD;
use coriander_core::{
    AccountName, ConfigDocument, ConfigVersion, InstanceId, MonotonicTime, RequestError,
};
use coriander_limits::{
    AdmitDecision, FleetVersion, GrantClient, GrantEvent, HandOver, HandOverReply, LimitPolicy,
    OwnerTable, PlanTable, TokenGrant, TokenRequest, rate_error,
};
use tokio::sync::{Notify, oneshot};

use crate::membership_service::MembershipService;
use crate::peer::{PeerClient, PeerReply, PeerRequest};
use crate::process_clock::ProcessClock;

/// Time within which an owner must reply.
const OWNER_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum time between polls of the grant client.
const MAX_WAKE_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum time between polls of the grant client.
const MIN_WAKE_INTERVAL: Duration = Duration::from_millis(1);

/// Attempts to hand a shard over to an owner that has not applied the version yet.
const HAND_OVER_ATTEMPTS: usize = 20;

/// Time between two such attempts.
const HAND_OVER_INTERVAL: Duration = Duration::from_millis(100);

type Waiter = oneshot::Sender<Result<(), RequestError>>;

/// Spends and grants tokens of client accounts.
pub struct RateService {
    own_id: InstanceId,
    clock: ProcessClock,
    membership: Rc<MembershipService>,
    peers: Rc<PeerClient>,
    policy: LimitPolicy,
    grant_client: RefCell<GrantClient>,
    owner_table: RefCell<OwnerTable>,
    waiters: RefCell<HashMap<u64, Waiter>>,
    next_ticket: Cell<u64>,
    waiter_added: Notify,
}

impl RateService {
    /// Creates the service without accounts.
    pub fn new(
        own_id: InstanceId,
        clock: ProcessClock,
        membership: Rc<MembershipService>,
        peers: Rc<PeerClient>,
    ) -> Rc<Self> {
        Rc::new(Self {
            grant_client: RefCell::new(GrantClient::new(own_id.clone())),
            owner_table: RefCell::new(OwnerTable::new(own_id.clone())),
            own_id,
            clock,
            membership,
            peers,
            policy: LimitPolicy::default(),
            waiters: RefCell::default(),
            next_ticket: Cell::new(0),
            waiter_added: Notify::new(),
        })
    }

    /// Applies the accounts and the fleet of a configuration.
    pub fn apply_document(self: &Rc<Self>, document: &ConfigDocument) {
        let now = self.clock.now();
        let version = FleetVersion::new(document.fleet_version);
        let owners = |account: &AccountName| self.membership.rate_owners(account);
        let plans = Arc::new(PlanTable::new(document, version, &self.policy, owners));
        self.grant_client.borrow_mut().apply(&plans, now);
        let hand_overs = self.owner_table.borrow_mut().apply(&plans, now);
        for (next_owner, hand_over) in hand_overs {
            ntex::rt::spawn(self.clone().send_hand_over(next_owner, hand_over));
        }
        self.handle_events();
    }

    /// Records that the fleet has accepted a version.
    pub fn set_accepted(self: &Rc<Self>, version: ConfigVersion) {
        let now = self.clock.now();
        self.owner_table
            .borrow_mut()
            .record_acceptance(version, now);
        self.grant_client
            .borrow_mut()
            .record_acceptance(version, now);
        self.handle_events();
    }

    /// Sets the age of the configuration's confirmation; nothing is spent or granted without one.
    pub fn set_confirmed_age(&self, age: Option<Duration>) {
        let now = self.clock.now();
        let until = match age {
            Some(age) => now + FRESHNESS_PERIOD.saturating_sub(age),
            None => MonotonicTime::ZERO,
        };
        self.owner_table.borrow_mut().set_fresh_until(until);
        self.grant_client.borrow_mut().set_fresh_until(until);
    }

    /// Spends one token of an account, waiting for it until the deadline.
    pub async fn admit(
        self: &Rc<Self>,
        account: &AccountName,
        deadline: MonotonicTime,
    ) -> Result<(), RequestError> {
        let ticket = self.next_ticket.get() + 1;
        self.next_ticket.set(ticket);
        let now = self.clock.now();
        let decision = self
            .grant_client
            .borrow_mut()
            .admit(account, ticket, deadline, now);
        let receiver = match decision {
            AdmitDecision::Admitted => {
                self.handle_events();
                return Ok(());
            }
            AdmitDecision::Refused { retry_after } => {
                self.handle_events();
                return Err(rate_error(retry_after));
            }
            AdmitDecision::WaitUntil(_) => {
                let (sender, receiver) = oneshot::channel();
                self.waiters.borrow_mut().insert(ticket, sender);
                self.waiter_added.notify_one();
                receiver
            }
        };
        self.handle_events();
        receiver
            .await
            .unwrap_or_else(|_| Err(rate_error(Duration::from_secs(1))))
    }

    /// Handles a request for tokens of a shard.
    pub fn grant_tokens(&self, request: &TokenRequest) -> TokenGrant {
        self.owner_table
            .borrow_mut()
            .handle_request(request, self.clock.now())
    }

    /// Accepts a shard from its previous owner.
    pub fn receive_hand_over(&self, from: &InstanceId, hand_over: &HandOver) -> HandOverReply {
        self.owner_table
            .borrow_mut()
            .hand_over(from, hand_over, self.clock.now())
    }

    /// Returns the number of shards that this instance owns.
    pub fn owned_shards(&self) -> usize {
        self.owner_table.borrow().len()
    }

    /// Completes waiting requests when they are due.
    pub async fn run(self: Rc<Self>) {
        loop {
            let now = self.clock.now();
            let wakeup = self.grant_client.borrow().next_wakeup();
            if wakeup.is_some_and(|time| time <= now) {
                self.grant_client.borrow_mut().poll(now);
                self.handle_events();
            }
            let delay = wakeup.map_or(MAX_WAKE_INTERVAL, |time| time.since(now));
            let delay = delay.clamp(MIN_WAKE_INTERVAL, MAX_WAKE_INTERVAL);
            // A request that starts to wait can make the next poll due earlier.
            let _ = tokio::time::timeout(delay, self.waiter_added.notified()).await;
        }
    }

    fn handle_events(self: &Rc<Self>) {
        loop {
            let events = self.grant_client.borrow_mut().take_events();
            if events.is_empty() {
                return;
            }
            for event in events {
                self.handle_event(event);
            }
        }
    }

    fn handle_event(self: &Rc<Self>, event: GrantEvent) {
        match event {
            GrantEvent::Send { owner, message } if owner == self.own_id => {
                let grant = self.grant_tokens(&message);
                if message.amount > 0 {
                    self.grant_client
                        .borrow_mut()
                        .handle_grant(&owner, &grant, self.clock.now());
                }
            }
            GrantEvent::Send { owner, message } => {
                ntex::rt::spawn(self.clone().request_tokens(owner, message));
            }
            GrantEvent::Admitted { ticket } => self.complete_waiter(ticket, Ok(())),
            GrantEvent::Refused {
                ticket,
                retry_after,
            } => {
                self.complete_waiter(ticket, Err(rate_error(retry_after)));
            }
        }
    }

    fn complete_waiter(&self, ticket: u64, result: Result<(), RequestError>) {
        if let Some(waiter) = self.waiters.borrow_mut().remove(&ticket) {
            drop(waiter.send(result));
        }
    }

    async fn request_tokens(self: Rc<Self>, owner: InstanceId, message: TokenRequest) {
        let Some(address) = self.membership.address(&owner) else {
            self.grant_client
                .borrow_mut()
                .handle_request_failure(&message, self.clock.now());
            return self.handle_events();
        };
        let request = PeerRequest::TakeTokens(message.clone());
        let reply = self.peers.call(address, request, OWNER_TIMEOUT).await;
        let now = self.clock.now();
        match reply {
            Ok(PeerReply::Granted(grant)) => {
                self.grant_client
                    .borrow_mut()
                    .handle_grant(&owner, &grant, now);
            }
            _ => self
                .grant_client
                .borrow_mut()
                .handle_request_failure(&message, now),
        }
        self.handle_events();
    }

    async fn send_hand_over(self: Rc<Self>, next_owner: InstanceId, hand_over: HandOver) {
        for _ in 0..HAND_OVER_ATTEMPTS {
            let Some(address) = self.membership.address(&next_owner) else {
                return;
            };
            let from = self.own_id.clone();
            let request = PeerRequest::HandOver {
                from,
                hand_over: hand_over.clone(),
            };
            match self.peers.call(address, request, OWNER_TIMEOUT).await {
                Ok(PeerReply::HandedOver(HandOverReply::NotYet)) | Err(_) => {
                    tokio::time::sleep(HAND_OVER_INTERVAL).await;
                }
                Ok(_) => return,
            }
        }
    }
}
