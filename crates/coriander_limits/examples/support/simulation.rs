//! Virtual-time fleet of owners and grant clients, shared by the property tests and the examples.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use coriander_core::{AccountName, InstanceId, MonotonicTime};
use coriander_limits::{
    AdmitDecision, FleetVersion, GrantClient, GrantEvent, HandOver, HandOverReply, OwnerTable,
    PlanTable, TokenGrant, TokenRequest,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::simulated_plans::{make_document, make_plans};
use super::simulation_settings::{Action, Fault, Settings};
use super::usage_record::UsageRecord;

/// Freshness period of the configuration, in microseconds.
const FRESHNESS: u64 = 2_000_000;
const CONFIRM_PERIOD: u64 = 100_000;

#[derive(Clone, Debug)]
enum Message {
    Request(TokenRequest),
    Grant(TokenGrant),
    HandOver(HandOver),
    HandOverReply(HandOver, HandOverReply),
}

#[derive(Debug)]
enum Event {
    Act(Action),
    Deliver {
        from: usize,
        to: usize,
        message: Message,
    },
    Poll(usize),
    Confirm(usize),
    Apply(usize, usize),
    Accepted(usize, usize),
    RepeatHandOver {
        from: usize,
        to: usize,
        hand_over: HandOver,
        remaining_attempts: u32,
    },
}

struct Instance {
    id: InstanceId,
    /// Offset of the instance's clock in microseconds; clocks of instances are not comparable.
    clock: u64,
    owner: OwnerTable,
    client: GrantClient,
    applied: usize,
    fresh_until: u64,
    paused: bool,
    isolated: bool,
    deferred: VecDeque<Event>,
    owner_before_hand_over: Option<OwnerTable>,
    waiting: BTreeMap<u64, (usize, u64)>,
    /// Time of the earliest scheduled poll.
    next_poll: Option<u64>,
}

struct Version {
    plans: Arc<PlanTable>,
    fleet: Vec<usize>,
    accepted: bool,
}

pub struct Simulation {
    settings: Settings,
    rng: SmallRng,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    scheduled: BTreeMap<u64, Event>,
    last_event: u64,
    last_ticket: u64,
    accounts: Vec<AccountName>,
    instances: Vec<Instance>,
    versions: Vec<Version>,
    fleet_version: u64,
    scale: u32,
    handed_over: BTreeSet<(usize, AccountName, u64)>,
    pub usage: UsageRecord,
}

impl Simulation {
    /// Starts a fleet with the first `fleet` of `instances` instances; the others can join later.
    pub fn new(settings: Settings, instances: usize, fleet: usize) -> Self {
        let rng = SmallRng::seed_from_u64(settings.seed);
        let accounts =
            (0..settings.limits.len()).map(|n| format!("account-{n}").parse().expect("valid name"));
        let mut simulation = Self {
            rng,
            now: 0,
            events: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            last_event: 0,
            last_ticket: 0,
            accounts: accounts.collect(),
            instances: Vec::new(),
            versions: Vec::new(),
            fleet_version: 0,
            scale: 100,
            handed_over: BTreeSet::new(),
            usage: UsageRecord::new(&settings.limits),
            settings,
        };
        for number in 0..instances {
            let id: InstanceId = format!("i-{number}").parse().expect("valid name");
            let clock = simulation.rng.random_range(0..1_000_000_000);
            simulation.instances.push(Instance {
                clock,
                owner: OwnerTable::new(id.clone()),
                client: GrantClient::new(id.clone()),
                applied: usize::MAX,
                fresh_until: 0,
                paused: false,
                isolated: false,
                deferred: VecDeque::new(),
                owner_before_hand_over: None,
                waiting: BTreeMap::new(),
                next_poll: None,
                id,
            });
            simulation.push(1_000 + 7 * number as u64, Event::Confirm(number));
        }
        simulation.change_fleet((0..fleet).collect());
        simulation
    }

    /// Schedules an action; `time` is in microseconds.
    pub fn schedule(&mut self, time: u64, action: Action) {
        self.push(time, Event::Act(action));
    }

    pub fn run_until(&mut self, end: u64) {
        while let Some(Reverse((time, number))) = self.events.peek().copied() {
            if time > end {
                break;
            }
            self.events.pop();
            self.now = time;
            if let Some(event) = self.scheduled.remove(&number) {
                self.handle(event);
            }
        }
        self.now = end;
    }

    /// Returns the index of the owner of an account with a rank in the newest fleet.
    pub fn owner(&self, account: usize, rank: usize) -> usize {
        let plans = &self.versions.last().expect("a version").plans;
        let plan = plans.get(&self.accounts[account]).expect("a plan");
        self.index(&plan.owners[rank % plan.owners.len()])
    }

    fn push(&mut self, time: u64, event: Event) {
        self.last_event += 1;
        self.scheduled.insert(self.last_event, event);
        self.events.push(Reverse((time, self.last_event)));
    }

    fn index(&self, id: &InstanceId) -> usize {
        id.as_str()[2..].parse().expect("a number")
    }

    fn clock(&self, instance: usize) -> MonotonicTime {
        MonotonicTime::new(Duration::from_micros(
            self.instances[instance].clock + self.now,
        ))
    }

    fn change_fleet(&mut self, fleet: Vec<usize>) {
        self.fleet_version += 1;
        self.write_version(fleet);
    }

    fn write_version(&mut self, fleet: Vec<usize>) {
        let ids = fleet.iter().map(|&i| self.instances[i].id.clone());
        let number = self.versions.len() as u64 + 1;
        let document = make_document(number, ids, &self.accounts, &self.settings, self.scale);
        let version = FleetVersion::new(self.fleet_version);
        let plans = Arc::new(make_plans(&document, version, &self.settings));
        self.versions.push(Version {
            plans,
            fleet,
            accepted: false,
        });
    }

    fn handle(&mut self, event: Event) {
        let target = match &event {
            Event::Act(action) => return self.handle_action(action.clone()),
            Event::Deliver { to, .. } => *to,
            Event::Poll(i) | Event::Confirm(i) | Event::Apply(i, _) | Event::Accepted(i, _) => *i,
            Event::RepeatHandOver { from, .. } => *from,
        };
        if self.instances[target].paused {
            self.instances[target].deferred.push_back(event);
            return;
        }
        match event {
            Event::Act(_) => {}
            Event::Deliver { from, to, message } => self.deliver(from, to, message),
            Event::Poll(i) => {
                let now = self.clock(i);
                self.instances[i].next_poll = None;
                self.instances[i].client.poll(now);
            }
            Event::Confirm(i) => self.confirm(i),
            Event::Apply(i, version) => self.apply(i, version),
            Event::Accepted(i, version) => {
                let now = self.clock(i);
                let version = self.versions[version].plans.config_version;
                self.instances[i].owner.record_acceptance(version, now);
                self.instances[i].client.record_acceptance(version, now);
            }
            Event::RepeatHandOver {
                from,
                to,
                hand_over,
                remaining_attempts,
            } => {
                self.send_hand_over(from, to, hand_over, remaining_attempts);
            }
        }
        self.handle_events(target);
    }

    fn handle_action(&mut self, action: Action) {
        match action {
            Action::Request { instance, account } => self.request(instance, account),
            Action::Pause(i) => self.instances[i].paused = true,
            Action::Resume(i) => {
                self.instances[i].paused = false;
                let deferred = std::mem::take(&mut self.instances[i].deferred);
                for event in deferred {
                    self.handle(event);
                }
            }
            Action::Isolate(i) => self.instances[i].isolated = true,
            Action::Rejoin(i) => self.instances[i].isolated = false,
            Action::ChangeFleet(fleet) => self.change_fleet(fleet),
            Action::ScaleLimits(percent) => {
                self.scale = percent;
                let fleet = self.versions.last().expect("a version").fleet.clone();
                self.write_version(fleet);
            }
        }
    }

    fn request(&mut self, instance: usize, account: usize) {
        self.usage.record_offered(account, self.now);
        if self.instances[instance].paused || self.now >= self.instances[instance].fresh_until {
            return self.usage.record_unavailable(account);
        }
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        let now = self.clock(instance);
        let token_timeout = Duration::from_micros(self.settings.token_timeout);
        let deadline = now + token_timeout;
        let entry = &mut self.instances[instance];
        match entry
            .client
            .admit(&self.accounts[account], ticket, deadline, now)
        {
            AdmitDecision::Admitted => self.usage.record_admitted(account, self.now, 0),
            AdmitDecision::WaitUntil(_) => {
                entry.waiting.insert(ticket, (account, self.now));
            }
            AdmitDecision::Refused { .. } => self.usage.record_refused(account),
        }
        self.handle_events(instance);
    }

    fn confirm(&mut self, i: usize) {
        self.push(self.now + CONFIRM_PERIOD, Event::Confirm(i));
        let newest = self.versions.len() - 1;
        if self.instances[i].isolated {
            return;
        }
        if self.instances[i].applied == newest {
            let until = self.now + FRESHNESS;
            let time = self.clock(i) + Duration::from_micros(FRESHNESS);
            let instance = &mut self.instances[i];
            instance.fresh_until = until;
            instance.owner.set_fresh_until(time);
            instance.client.set_fresh_until(time);
        } else {
            let apply_time = self.now + self.rng.random_range(5_000..300_000);
            self.push(apply_time, Event::Apply(i, newest));
        }
    }

    fn apply(&mut self, i: usize, version: usize) {
        let applied = self.instances[i].applied;
        if applied != usize::MAX && applied >= version {
            return;
        }
        let now = self.clock(i);
        let mut plans = Arc::clone(&self.versions[version].plans);
        let instance = &mut self.instances[i];
        instance.applied = version;
        instance.owner_before_hand_over = None;
        let mut hand_overs = instance.owner.apply(&plans, now);
        // The iteration order of a hash map would make runs with the same seed differ.
        hand_overs.sort_by(|(_, a), (_, b)| a.account.cmp(&b.account));
        if self.settings.fault == Fault::NoClientExpiry {
            let mut endless = (*plans).clone();
            endless.policy = endless.policy.with_grant_expiry(Duration::from_secs(3_600));
            plans = Arc::new(endless);
        }
        instance.client.apply(&plans, now);
        for (next, hand_over) in hand_overs {
            let to = self.index(&next);
            self.send_hand_over(i, to, hand_over, 20);
        }
        self.check_accepted(version);
    }

    fn check_accepted(&mut self, version: usize) {
        for number in 0..=version {
            if self.versions[number].accepted {
                continue;
            }
            let applied = |i: &&usize| {
                let applied = self.instances[**i].applied;
                applied != usize::MAX && applied >= number
            };
            let majority = |fleet: &[usize]| fleet.iter().filter(applied).count() * 2 > fleet.len();
            let old = &self.versions[number.saturating_sub(1)].fleet;
            if majority(old) && majority(&self.versions[number].fleet) {
                self.versions[number].accepted = true;
                for i in 0..self.instances.len() {
                    let acceptance_time = self.now + self.rng.random_range(0..50_000);
                    self.push(acceptance_time, Event::Accepted(i, number));
                }
            }
        }
    }

    fn deliver(&mut self, from: usize, to: usize, message: Message) {
        let now = self.clock(to);
        match message {
            Message::Request(request) => {
                let reply = self.instances[to].owner.handle_request(&request, now);
                if request.amount > 0 {
                    self.send(to, from, &Message::Grant(reply));
                }
            }
            Message::Grant(mut grant) => {
                if self.settings.fault == Fault::NoClientExpiry {
                    grant.expiry = Duration::from_secs(3_600);
                }
                let owner = self.instances[from].id.clone();
                self.instances[to].client.handle_grant(&owner, &grant, now);
            }
            Message::HandOver(hand_over) => {
                let sender = self.instances[from].id.clone();
                let instance = &mut self.instances[to];
                if self.settings.fault == Fault::DuplicateHandOver {
                    // Restoring the state before the first hand-over makes the production code
                    // accept the repeated one.
                    match &instance.owner_before_hand_over {
                        Some(before) => instance.owner = before.clone(),
                        None => instance.owner_before_hand_over = Some(instance.owner.clone()),
                    }
                }
                let reply = instance.owner.hand_over(&sender, &hand_over, now);
                if reply == HandOverReply::NotYet {
                    instance.owner_before_hand_over = None;
                }
                self.send(to, from, &Message::HandOverReply(hand_over, reply));
            }
            Message::HandOverReply(hand_over, reply) => {
                if reply != HandOverReply::NotYet {
                    let version = hand_over.fleet_version.get();
                    self.handed_over.insert((to, hand_over.account, version));
                }
            }
        }
    }

    fn send_hand_over(
        &mut self,
        from: usize,
        to: usize,
        hand_over: HandOver,
        remaining_attempts: u32,
    ) {
        let version = hand_over.fleet_version.get();
        let key = (from, hand_over.account.clone(), version);
        if remaining_attempts == 0 || self.handed_over.contains(&key) {
            return;
        }
        self.usage.hand_overs += 1;
        self.send(from, to, &Message::HandOver(hand_over.clone()));
        let remaining_attempts = remaining_attempts - 1;
        let repetition = Event::RepeatHandOver {
            from,
            to,
            hand_over,
            remaining_attempts,
        };
        self.push(self.now + 50_000, repetition);
    }

    fn send(&mut self, from: usize, to: usize, message: &Message) {
        if from != to {
            let account = match message {
                Message::Request(request) => &request.account,
                Message::Grant(grant) => &grant.account,
                Message::HandOver(hand_over) | Message::HandOverReply(hand_over, _) => {
                    &hand_over.account
                }
            };
            let number: usize = account.as_str()[8..].parse().expect("a number");
            self.usage.accounts[number].messages += 1;
            let (a, b) = (&self.instances[from], &self.instances[to]);
            if a.isolated || b.isolated || self.rng.random_bool(self.settings.loss) {
                return;
            }
        }
        let mut copies = 1;
        if from != to && self.rng.random_bool(self.settings.duplicate) {
            copies += 1;
        }
        for _ in 0..copies {
            let (min_delay, max_delay) = self.settings.delay;
            let delay = self.rng.random_range(min_delay..=max_delay);
            let delay = if from == to { 0 } else { delay };
            let message = message.clone();
            self.push(self.now + delay, Event::Deliver { from, to, message });
        }
    }

    fn handle_events(&mut self, i: usize) {
        for event in self.instances[i].client.take_events() {
            match event {
                GrantEvent::Send { owner, message } => {
                    let to = self.index(&owner);
                    self.send(i, to, &Message::Request(message));
                }
                GrantEvent::Admitted { ticket } => {
                    if let Some((account, since)) = self.instances[i].waiting.remove(&ticket) {
                        self.usage
                            .record_admitted(account, self.now, self.now - since);
                    }
                }
                GrantEvent::Refused { ticket, .. } => {
                    if let Some((account, _)) = self.instances[i].waiting.remove(&ticket) {
                        self.usage.record_refused(account);
                    }
                }
            }
        }
        if let Some(time) = self.instances[i].client.next_wakeup() {
            let start = self.instances[i].clock;
            let time = (time.since_start().as_nanos().div_ceil(1_000) as u64).saturating_sub(start);
            let time = time.max(self.now + 100);
            if self.instances[i].next_poll.is_none_or(|next| next > time) {
                self.instances[i].next_poll = Some(time);
                self.push(time, Event::Poll(i));
            }
        }
    }
}
