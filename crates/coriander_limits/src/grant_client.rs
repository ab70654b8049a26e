//! Client side of the grant protocol: admits requests with tokens granted by owners.

use std::collections::{BTreeSet, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use coriander_core::{
    AccountName, ConfigVersion, ErrorCode, InstanceId, MonotonicTime, RequestError,
};

use crate::account_grants::{AccountGrants, ClientContext};
use crate::{AccountPlan, BucketShare, PlanTable, TokenGrant, TokenRequest};

/// Retry time of requests for accounts without a plan.
const UNKNOWN_ACCOUNT_RETRY: Duration = Duration::from_secs(1);

/// Admission decision for one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmitDecision {
    /// A token has been spent; the request may run.
    Admitted,
    /// The request waits for tokens. A [`GrantEvent`] with its ticket follows by this time.
    WaitUntil(MonotonicTime),
    /// No token is expected before the deadline, too many requests are waiting, or the account has
    /// no plan.
    Refused {
        /// Time after which a retry can succeed.
        retry_after: Duration,
    },
}

impl AdmitDecision {
    /// Returns the error for the caller if the request is refused.
    pub fn error(&self) -> Option<RequestError> {
        match self {
            Self::Refused { retry_after } => Some(rate_error(*retry_after)),
            Self::Admitted | Self::WaitUntil(_) => None,
        }
    }
}

/// Returns the error of a request that exceeds its account's rate.
pub fn rate_error(retry_after: Duration) -> RequestError {
    RequestError::not_run(ErrorCode::RateLimited, "account exceeds its rate")
        .with_retry_after(retry_after)
}

/// An action that the caller of [`GrantClient`] must carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GrantEvent {
    /// Send a request for tokens; pass the reply to [`GrantClient::handle_grant`].
    Send {
        /// Receiver.
        owner: InstanceId,
        /// Message; with amount 0 there is no reply.
        message: TokenRequest,
    },
    /// A waiting request may run.
    Admitted {
        /// Ticket of the request.
        ticket: u64,
    },
    /// A waiting request received no token before its deadline.
    Refused {
        /// Ticket of the request.
        ticket: u64,
        /// Time after which a retry can succeed.
        retry_after: Duration,
    },
}

/// Requests tokens from owners and admits requests of all accounts at one instance.
///
/// After each call, handle [`GrantClient::take_events`] and call [`GrantClient::poll`] at
/// [`GrantClient::next_wakeup`].
///
/// ```
/// use coriander_core::{AccountLimits, ConfigDocument, MonotonicTime};
/// use coriander_limits::{
///     AdmitDecision, FleetVersion, GrantClient, GrantEvent, LimitPolicy, PlanTable,
/// };
/// use std::sync::Arc;
///
/// let mut document = ConfigDocument::default();
/// document.accounts.insert("harbour".parse()?, AccountLimits { rate: 100, burst: 100 });
/// let owners = |_: &_| [("i-0".parse()).expect("valid name")].into_iter().collect();
/// let plans = PlanTable::new(&document, FleetVersion::new(1), &LimitPolicy::default(), owners);
///
/// let mut client = GrantClient::new("i-1".parse()?);
/// let now = MonotonicTime::from_millis(10);
/// client.apply(&Arc::new(plans), now);
/// let deadline = MonotonicTime::from_millis(200);
/// let decision = client.admit(&"harbour".parse()?, 1, deadline, now);
/// assert_eq!(decision, AdmitDecision::WaitUntil(deadline));
/// assert!(matches!(client.take_events()[..], [GrantEvent::Send { .. }]));
/// # Ok::<(), coriander_core::NameError>(())
/// ```
#[derive(Debug)]
pub struct GrantClient {
    own_id: InstanceId,
    plans: Arc<PlanTable>,
    accounts: HashMap<AccountName, ClientEntry>,
    wakeups: BTreeSet<(MonotonicTime, AccountName)>,
    /// Newest accepted version and the time at which this instance received the acceptance.
    accepted: Option<(ConfigVersion, MonotonicTime)>,
    context: ClientContext,
}

#[derive(Debug)]
struct ClientEntry {
    grants: AccountGrants,
    wakeup: Option<MonotonicTime>,
}

impl GrantClient {
    /// Creates the client of an instance without plans.
    pub fn new(own_id: InstanceId) -> Self {
        let mut hasher = DefaultHasher::new();
        own_id.hash(&mut hasher);
        let plans: Arc<PlanTable> = Arc::default();
        Self {
            own_id,
            accounts: HashMap::new(),
            wakeups: BTreeSet::new(),
            accepted: None,
            context: ClientContext {
                // Truncated so that adding a small number cannot overflow.
                own_hash: (hasher.finish() >> 33) as usize,
                policy: plans.policy.clone(),
                fleet_version: plans.fleet_version,
                fresh_until: MonotonicTime::ZERO,
                links: HashMap::new(),
                last_number: 0,
                events: Vec::new(),
            },
            plans,
        }
    }

    /// Applies new plans. Waiting requests of removed accounts are refused.
    pub fn apply(&mut self, plans: &Arc<PlanTable>, now: MonotonicTime) {
        let follows = plans.follows(&self.plans) && self.plans.has_instance(&self.own_id);
        self.context.policy = plans.policy.clone();
        self.context.fleet_version = plans.fleet_version;
        self.plans = Arc::clone(plans);
        let in_fleet = plans.has_instance(&self.own_id);
        let accepted = self.accepted;
        let events = &mut self.context.events;
        self.accounts.retain(|account, entry| {
            let Some(plan) = plans.get(account) else {
                for ticket in entry.grants.cancel_all() {
                    let retry_after = UNKNOWN_ACCOUNT_RETRY;
                    events.push(GrantEvent::Refused {
                        ticket,
                        retry_after,
                    });
                }
                return false;
            };
            let plan = own_plan(plan, in_fleet);
            entry.grants.apply(&plan, plans, follows, now);
            if let Some((version, time)) = accepted {
                entry.grants.reserve_mut().record_acceptance(version, time);
            }
            true
        });
        let accounts = &self.accounts;
        self.wakeups
            .retain(|(_, account)| accounts.contains_key(account));
    }

    /// Records that the fleet has accepted a configuration version.
    pub fn record_acceptance(&mut self, version: ConfigVersion, now: MonotonicTime) {
        if self.accepted.is_some_and(|(newest, _)| newest >= version) {
            return;
        }
        self.accepted = Some((version, now));
        for entry in self.accounts.values_mut() {
            entry.grants.reserve_mut().record_acceptance(version, now);
        }
    }

    /// Sets the time until which the configuration is confirmed; after it, the reserve is not used.
    pub fn set_fresh_until(&mut self, until: MonotonicTime) {
        self.context.fresh_until = until;
    }

    /// Decides whether a request is admitted. It waits for tokens until `deadline` at most.
    pub fn admit(
        &mut self,
        account: &AccountName,
        ticket: u64,
        deadline: MonotonicTime,
        now: MonotonicTime,
    ) -> AdmitDecision {
        if !self.accounts.contains_key(account) && !self.add_account(account, now) {
            return AdmitDecision::Refused {
                retry_after: UNKNOWN_ACCOUNT_RETRY,
            };
        }
        let decision = self.with_entry(account, now, |grants, context| {
            grants.admit(ticket, deadline, context, now)
        });
        decision.unwrap_or(AdmitDecision::Refused {
            retry_after: UNKNOWN_ACCOUNT_RETRY,
        })
    }

    /// Handles an owner's reply.
    pub fn handle_grant(&mut self, owner: &InstanceId, grant: &TokenGrant, now: MonotonicTime) {
        self.with_entry(&grant.account, now, |grants, context| {
            grants.handle_grant(owner, grant, context, now);
        });
    }

    /// Handles a message that could not be delivered to its owner.
    pub fn handle_request_failure(&mut self, message: &TokenRequest, now: MonotonicTime) {
        self.with_entry(&message.account, now, |grants, context| {
            grants.handle_request_failure(message.number, context, now);
        });
    }

    /// Removes a waiting request, for example because its caller has disconnected.
    pub fn cancel(&mut self, account: &AccountName, ticket: u64) -> bool {
        let entry = self.accounts.get_mut(account);
        entry.is_some_and(|entry| entry.grants.cancel(ticket))
    }

    /// Removes all waiting requests of an account and returns their tickets.
    pub fn cancel_account(&mut self, account: &AccountName) -> Vec<u64> {
        let entry = self.accounts.get_mut(account);
        entry.map_or_else(Vec::new, |entry| entry.grants.cancel_all().collect())
    }

    /// Processes all accounts whose wakeup time has passed.
    pub fn poll(&mut self, now: MonotonicTime) {
        while let Some((time, account)) = self.wakeups.first().cloned() {
            if time > now {
                break;
            }
            self.with_entry(&account, now, |grants, context| {
                grants.refresh(context, now);
            });
            // An entry that is due again immediately is left to the next poll.
            if self
                .wakeups
                .first()
                .is_some_and(|first| *first == (time, account))
            {
                break;
            }
        }
    }

    /// Returns the time of the next poll.
    pub fn next_wakeup(&self) -> Option<MonotonicTime> {
        self.wakeups.first().map(|(time, _)| *time)
    }

    /// Returns the events since the last call, in order.
    pub fn take_events(&mut self) -> Vec<GrantEvent> {
        std::mem::take(&mut self.context.events)
    }

    /// Returns the number of accounts with state at this instance.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Returns whether no account has state at this instance.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    fn add_account(&mut self, account: &AccountName, now: MonotonicTime) -> bool {
        let Some(plan) = self.plans.get(account) else {
            return false;
        };
        let plan = own_plan(plan, self.plans.has_instance(&self.own_id));
        let mut grants = AccountGrants::new(account, &plan, &self.plans, now);
        if let Some((version, time)) = self.accepted {
            grants.reserve_mut().record_acceptance(version, time);
        }
        let wakeup = None;
        self.accounts
            .insert(account.clone(), ClientEntry { grants, wakeup });
        true
    }

    /// Calls a function with an account's entry and updates the entry's wakeup time.
    fn with_entry<T>(
        &mut self,
        account: &AccountName,
        now: MonotonicTime,
        function: impl FnOnce(&mut AccountGrants, &mut ClientContext) -> T,
    ) -> Option<T> {
        let entry = self.accounts.get_mut(account)?;
        let result = function(&mut entry.grants, &mut self.context);
        let wakeup = entry.grants.wakeup(&self.context, now);
        if wakeup != entry.wakeup {
            if let Some(time) = entry.wakeup {
                self.wakeups.remove(&(time, account.clone()));
            }
            if let Some(time) = wakeup {
                self.wakeups.insert((time, account.clone()));
            }
            entry.wakeup = wakeup;
        }
        Some(result)
    }
}

/// Returns the plan for this instance. Reserves are split between the instances of the fleet, so an
/// instance outside the fleet has none.
fn own_plan(plan: &AccountPlan, in_fleet: bool) -> AccountPlan {
    let mut plan = plan.clone();
    if !in_fleet {
        plan.reserve = BucketShare::default();
    }
    plan
}
