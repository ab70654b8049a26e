//! Event loop of the simulation; times are in milliseconds.

use std::collections::BTreeMap;
use std::rc::Rc;

use coriander_config::{
    ChangeCommand, ChangeCoordinator, ChangeRequest, ChangeResult, ConfigBundle, CoordinatorAction,
    RootRead, SectionRef, decode_fleet, sections_to_fetch,
};
use coriander_core::{AccountLimits, ConfigVersion, MonotonicTime};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::node::{Message, Node, fleet_member, node_id, node_index};
use super::platform::{Platform, PlatformCall, PlatformReply};
use super::{BrokenRule, NODES, Step, choose_command, give_key};

const TICK_MILLIS: u64 = 100;
const CALL_TIMEOUT_MILLIS: u64 = 500;

/// Origin of a platform call: the process, and the change for which it made the call.
#[derive(Clone, Copy, Debug)]
struct PlatformCaller {
    node: usize,
    incarnation: u64,
    change: Option<usize>,
    call: u64,
    sent: MonotonicTime,
    applied: ConfigVersion,
}

#[derive(Clone, Debug)]
enum Event {
    Tick(usize, u64),
    Resume(usize, u64),
    Deliver(usize, usize, Box<Message>),
    Arrive(PlatformCaller, PlatformCall),
    Reply(PlatformCaller, PlatformReply),
    Submit(usize, usize),
}

pub struct SubmittedChange {
    pub request: ChangeRequest,
    pub results: Vec<ChangeResult>,
    pub attempts: usize,
}

pub struct FleetSimulation {
    pub now: u64,
    queue: BTreeMap<(u64, u64), Event>,
    last_serial: u64,
    random: SmallRng,
    pub nodes: Vec<Node>,
    pub platform: Platform,
    partition_sides: [bool; NODES],
    reaches_platform: [bool; NODES],
    loss_probability: f64,
    slow_probability: f64,
    broken_rule: Option<BrokenRule>,
    pub changes: Vec<SubmittedChange>,
    /// Accepted versions with the time of acceptance and the key that the change withdrew.
    pub accepted: Vec<(u64, u64, Option<String>)>,
    pub violations: Vec<String>,
}

impl FleetSimulation {
    /// Starts a fleet whose initial configuration has one account and one key.
    pub fn new(seed: u64, fleet: usize, broken_rule: Option<BrokenRule>) -> Self {
        let mut simulation = Self {
            now: 0,
            queue: BTreeMap::new(),
            last_serial: 0,
            random: SmallRng::seed_from_u64(seed),
            nodes: (0..NODES)
                .map(|n| Node::start(n, n as u64 + 1, 0))
                .collect(),
            platform: Platform::default(),
            partition_sides: [false; NODES],
            reaches_platform: [true; NODES],
            loss_probability: 0.0,
            slow_probability: 0.0,
            broken_rule,
            changes: Vec::new(),
            accepted: Vec::new(),
            violations: Vec::new(),
        };
        for node in 0..NODES {
            let incarnation = simulation.nodes[node].incarnation;
            simulation.push(node as u64, Event::Tick(node, incarnation));
        }
        let limits = AccountLimits { rate: 1, burst: 2 };
        let account = "orders".parse().expect("valid name");
        let mut commands = vec![ChangeCommand::SetAccount { account, limits }, give_key(0)];
        commands.extend((0..fleet).map(|node| ChangeCommand::JoinFleet {
            instance: node_id(node),
            member: fleet_member(node),
        }));
        for command in commands {
            simulation.submit(0, command);
            simulation.run(1_500);
        }
        assert_eq!(
            simulation.platform.version(),
            fleet as u64 + 2,
            "the fleet did not start"
        );
        simulation.slow_probability = 0.03;
        simulation
    }

    /// Runs the history and then 15 s without faults, after which the fleet must have recovered.
    pub fn run_history(&mut self, steps: &[(u64, Step)]) {
        for (delay, step) in steps {
            self.run(*delay);
            self.step(step);
        }
        self.step(&Step::Heal);
        self.step(&Step::PlatformDown(false));
        self.run(15_000);
        self.check_end();
    }

    pub fn step(&mut self, step: &Step) {
        let mask = |mask: u8| std::array::from_fn(|node| mask & (1 << node) != 0);
        match *step {
            Step::Partition(nodes) => self.partition_sides = mask(nodes),
            Step::DisconnectPlatform(nodes) => self.reaches_platform = mask(!nodes),
            Step::Heal => {
                self.partition_sides = [false; NODES];
                self.reaches_platform = [true; NODES];
                self.loss_probability = 0.0;
            }
            Step::PlatformDown(is_down) => self.platform.is_down = is_down,
            Step::SetLoss(percent) => self.loss_probability = f64::from(percent) / 100.0,
            Step::Pause(node, time) => {
                if self.nodes[node].paused.is_none() {
                    self.nodes[node].paused = Some(self.now);
                    let incarnation = self.nodes[node].incarnation;
                    self.push(time, Event::Resume(node, incarnation));
                }
            }
            Step::Restart(node) => self.restart(node),
            Step::Change(node, kind) => {
                let command = choose_command(kind, self.changes.len());
                self.submit(node, command);
            }
            Step::ConcurrentChanges(first, second, kind) => {
                let commands = [kind, kind.wrapping_add(3)]
                    .map(|kind| choose_command(kind, self.changes.len() + usize::from(kind != 0)));
                for (node, command) in [first, second].into_iter().zip(commands) {
                    self.submit(node, command);
                }
            }
        }
    }

    /// Submits a change of an operator who expects the current version.
    pub fn submit(&mut self, node: usize, command: ChangeCommand) {
        let number = self.changes.len();
        let request = ChangeRequest {
            change_id: format!("c{number}"),
            author: format!("operator{number}"),
            expected: ConfigVersion::new(self.platform.version()),
            change: command,
        };
        let results = Vec::new();
        let attempts = 0;
        self.changes.push(SubmittedChange {
            request,
            results,
            attempts,
        });
        self.push(1, Event::Submit(node, number));
    }

    pub fn run(&mut self, time: u64) {
        let end = self.now + time;
        while let Some((&(at, serial), _)) = self.queue.first_key_value()
            && at <= end
        {
            let event = self.queue.remove(&(at, serial)).expect("first event");
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    fn push(&mut self, delay: u64, event: Event) {
        self.last_serial += 1;
        self.queue
            .insert((self.now + delay, self.last_serial), event);
    }

    fn restart(&mut self, node: usize) {
        self.last_serial += 1;
        let incarnation = 100 + self.last_serial;
        let running: Vec<_> = self.nodes[node].coordinators.keys().copied().collect();
        self.nodes[node] = Node::start(node, incarnation, self.now);
        self.push(1, Event::Tick(node, incarnation));
        for change in running {
            // The operator receives no response and retries through another instance.
            self.push(200, Event::Submit((node + 1) % NODES, change));
        }
    }

    fn handle(&mut self, event: Event) {
        let target = match &event {
            Event::Tick(node, _) | Event::Deliver(node, ..) | Event::Submit(node, _) => *node,
            Event::Reply(caller, _) => caller.node,
            Event::Resume(node, incarnation) => {
                if self.nodes[*node].incarnation == *incarnation {
                    self.resume(*node);
                }
                return;
            }
            Event::Arrive(caller, call) => return self.arrive(*caller, call.clone()),
        };
        if self.nodes[target].paused.is_some() {
            // The socket buffers the event until the process resumes.
            self.push(50, event);
            return;
        }
        match event {
            Event::Tick(node, incarnation) => self.tick(node, incarnation),
            Event::Deliver(node, from, message) => self.receive(node, from, *message),
            Event::Reply(caller, reply) => self.reply(caller, reply),
            Event::Submit(node, change) => {
                self.changes[change].attempts += 1;
                let request = self.changes[change].request.clone();
                let now = self.nodes[node].clock(self.now);
                let (coordinator, actions) = ChangeCoordinator::start(request, now);
                self.nodes[node].coordinators.insert(change, coordinator);
                self.perform(node, change, actions);
            }
            Event::Resume(..) | Event::Arrive(..) => {}
        }
        self.check_node(target);
    }

    fn resume(&mut self, node: usize) {
        let paused = self.nodes[node].paused.take();
        if self.broken_rule == Some(BrokenRule::ClockStopsInPause) {
            self.nodes[node].stopped_millis += self.now - paused.unwrap_or(self.now);
        }
        self.check_node(node);
    }

    fn tick(&mut self, node: usize, incarnation: u64) {
        if self.nodes[node].incarnation != incarnation {
            return;
        }
        self.push(TICK_MILLIS, Event::Tick(node, incarnation));
        let now = self.nodes[node].clock(self.now);
        self.nodes[node].ticks += 1;
        if self.nodes[node].ticks % 3 == 1 {
            self.call(node, None, PlatformCall::ReadRoot);
            let request = self.nodes[node].guard.begin_round(now);
            for other in (0..NODES).filter(|other| *other != node) {
                self.send(node, other, &Message::Confirm(request));
            }
        }
        let running: Vec<_> = self.nodes[node].coordinators.keys().copied().collect();
        for change in running {
            self.advance(node, change, |coordinator| coordinator.tick(now));
        }
    }

    fn send(&mut self, from: usize, to: usize, message: &Message) {
        let copies = if self.random.random_bool(0.05) { 2 } else { 1 };
        for _ in 0..copies {
            if self.random.random_bool(self.loss_probability) {
                continue;
            }
            let delay = self.delay();
            self.push(delay, Event::Deliver(to, from, Box::new(message.clone())));
        }
    }

    /// Returns mostly a few milliseconds, sometimes more than the freshness period.
    fn delay(&mut self) -> u64 {
        if self.random.random_bool(self.slow_probability) {
            self.random.random_range(100..3_000)
        } else {
            self.random.random_range(1..20)
        }
    }

    fn receive(&mut self, node: usize, from: usize, message: Message) {
        if self.partition_sides[node] != self.partition_sides[from] {
            return;
        }
        let now = self.nodes[node].clock(self.now);
        match message {
            Message::Confirm(request) => {
                let mut reply = self.nodes[node].guard.reply_to(request, now);
                if self.broken_rule == Some(BrokenRule::CountRestarted) {
                    reply.loaded = reply.version.get() > 0;
                }
                self.send(node, from, &Message::Confirmed(reply));
                self.fetch_newer(node, from, request.version);
            }
            Message::Confirmed(reply) => {
                self.nodes[node].guard.record_reply(&reply, now);
                let running: Vec<_> = self.nodes[node].coordinators.keys().copied().collect();
                for change in running {
                    self.advance(node, change, |c| c.record_reply(&reply, now));
                }
                self.fetch_newer(node, from, reply.version);
            }
            Message::Fetch(request) => {
                let bundle = self.nodes[node].state.reply_to_fetch(&request);
                let bundle = bundle.expect("sections are small");
                self.send(node, from, &Message::Bundle(bundle));
            }
            Message::Bundle(bundle) => {
                if matches!(bundle, ConfigBundle::Current) {
                    return;
                }
                let node = &mut self.nodes[node];
                let before = node.state.version();
                // If a delta does not match, the next confirmation causes another fetch.
                let _ = node.state.apply_bundle(&bundle);
                node.after_apply(before);
            }
        }
    }

    fn fetch_newer(&mut self, node: usize, from: usize, version: ConfigVersion) {
        if version > self.nodes[node].state.version() {
            let request = self.nodes[node].state.fetch_request();
            self.send(node, from, &Message::Fetch(Box::new(request)));
        }
    }

    fn call(&mut self, node: usize, change: Option<usize>, call: PlatformCall) {
        self.last_serial += 1;
        let caller = PlatformCaller {
            node,
            incarnation: self.nodes[node].incarnation,
            change,
            call: self.last_serial,
            sent: self.nodes[node].clock(self.now),
            applied: self.nodes[node].state.version(),
        };
        self.nodes[node].pending_calls.insert(caller.call);
        let unreachable = self.platform.is_down || !self.reaches_platform[node];
        let was_sent = !unreachable || self.random.random_bool(0.5);
        let failure = Platform::failure(&call, was_sent);
        let delay = if was_sent { CALL_TIMEOUT_MILLIS } else { 5 };
        self.push(delay, Event::Reply(caller, failure));
        if was_sent && !self.random.random_bool(self.loss_probability) {
            let delay = self.delay();
            self.push(delay, Event::Arrive(caller, call));
        }
    }

    fn arrive(&mut self, caller: PlatformCaller, call: PlatformCall) {
        if self.platform.is_down || !self.reaches_platform[caller.node] {
            return;
        }
        let reply = self.platform.call(call);
        if !self.random.random_bool(self.loss_probability) {
            let delay = self.delay();
            self.push(delay, Event::Reply(caller, reply));
        }
    }

    fn reply(&mut self, caller: PlatformCaller, reply: PlatformReply) {
        let node = &mut self.nodes[caller.node];
        if node.incarnation != caller.incarnation || !node.pending_calls.remove(&caller.call) {
            return;
        }
        let now = node.clock(self.now);
        if let PlatformReply::Root(RootRead::Found { root, .. }) = &reply {
            node.guard.record_platform_read(root.version, caller.sent);
        }
        let applied = caller.applied;
        match (reply, caller.change) {
            (PlatformReply::Root(RootRead::Found { root, .. }), None)
                if root.version > node.state.version() =>
            {
                let applied_sections = node.state.root().map(|root| root.sections.clone());
                let names = sections_to_fetch(applied_sections.as_ref(), &root);
                self.call(caller.node, None, PlatformCall::ReadSections(root, names));
            }
            (PlatformReply::Root(read), Some(change)) => {
                self.advance(caller.node, change, |c| c.root_read(read, applied, now));
            }
            (PlatformReply::Sections(root, sections), change) => {
                let before = node.state.version();
                if let Some(sections) = sections {
                    let _ = node.state.apply_sections(&root, &sections);
                }
                node.after_apply(before);
                let document = Rc::clone(node.state.document());
                if let Some(change) = change {
                    self.advance(caller.node, change, |c| {
                        c.document_loaded(Some(document), now)
                    });
                }
            }
            (PlatformReply::Fleets(fleets), Some(change)) => {
                let decode = |(fleet, bytes): (SectionRef, Vec<u8>)| {
                    decode_fleet(&bytes, &fleet).expect("valid fleet")
                };
                let fleets = fleets.map(|list| list.into_iter().map(decode).collect());
                self.advance(caller.node, change, |c| c.fleets_loaded(fleets, now));
            }
            (PlatformReply::Stored(key, result), Some(change)) => {
                self.advance(caller.node, change, |c| c.section_stored(&key, result, now));
            }
            (PlatformReply::RootWritten(result), Some(change)) => {
                self.advance(caller.node, change, |c| c.root_written(result, now));
            }
            _ => {}
        }
    }

    fn advance(
        &mut self,
        node: usize,
        change: usize,
        event: impl FnOnce(&mut ChangeCoordinator) -> Vec<CoordinatorAction>,
    ) {
        if let Some(coordinator) = self.nodes[node].coordinators.get_mut(&change) {
            let actions = event(coordinator);
            self.perform(node, change, actions);
        }
    }

    fn perform(&mut self, node: usize, change: usize, actions: Vec<CoordinatorAction>) {
        let now = self.nodes[node].clock(self.now);
        let origin = Some(change);
        for action in actions {
            match action {
                CoordinatorAction::ReadRoot => self.call(node, origin, PlatformCall::ReadRoot),
                CoordinatorAction::LoadDocument(root) => {
                    let applied_sections = self.nodes[node]
                        .state
                        .root()
                        .map(|root| root.sections.clone());
                    let names = sections_to_fetch(applied_sections.as_ref(), &root);
                    self.call(node, origin, PlatformCall::ReadSections(root, names));
                }
                CoordinatorAction::LoadFleets(refs) => {
                    self.call(node, origin, PlatformCall::ReadFleets(refs));
                }
                CoordinatorAction::StoreSection { key, bytes } => {
                    self.call(node, origin, PlatformCall::Store(key, bytes));
                }
                CoordinatorAction::WriteRoot {
                    bytes,
                    expected_index,
                } => {
                    self.call(node, origin, PlatformCall::WriteRoot(bytes, expected_index));
                }
                CoordinatorAction::DeleteSections(keys) => {
                    self.call(node, origin, PlatformCall::Delete(keys));
                }
                CoordinatorAction::Apply { root, document } => {
                    if self.broken_rule == Some(BrokenRule::SkipConfirmation) {
                        self.record_acceptance(change, root.version.get());
                    }
                    let target = &mut self.nodes[node];
                    let before = target.state.version();
                    target.state.apply((*root).clone(), (*document).clone());
                    target.after_apply(before);
                }
                CoordinatorAction::RequestConfirmations(instances) => {
                    let request = self.nodes[node].guard.begin_round(now);
                    let own = self.nodes[node].guard.reply_to(request, now);
                    for (_, address) in instances {
                        if node_index(address) != node {
                            self.send(node, node_index(address), &Message::Confirm(request));
                        }
                    }
                    self.advance(node, change, |c| c.record_reply(&own, now));
                }
                CoordinatorAction::Finish(result) => self.finish(node, change, result),
            }
        }
    }

    fn finish(&mut self, node: usize, change: usize, result: ChangeResult) {
        self.nodes[node].coordinators.remove(&change);
        if let ChangeResult::Accepted { version } = &result {
            self.record_acceptance(change, version.get());
        }
        let attempts = self.changes[change].results.len();
        if result == ChangeResult::Undetermined && attempts < 3 {
            self.push(300, Event::Submit((node + 1) % NODES, change));
        }
        self.changes[change].results.push(result);
    }
}
