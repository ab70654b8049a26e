//! Simulation in virtual time of two monitors, three members and writers over a faulty network.

#![allow(dead_code)]

pub mod faults;
pub mod member;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use coriander_core::{
    ConfirmReply, ControlReply, LogPosition, MemberId, MonotonicTime, TermNumber, WriteCertainty,
};
use coriander_failover::{
    AckState, CallFailure, GroupAction, GroupEvent, GroupMember, GroupMonitor, MonitorSettings,
    PrimaryView, WriteAcknowledgement,
};
pub use faults::Fault;
use member::{BrokenRule, LogTail, SimulatedMember};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub const MEMBERS: usize = 3;
const WRITE_INTERVAL_MICROS: u64 = 5_000;
const PULL_INTERVAL_MICROS: u64 = 2_000;
const CONFIRM_INTERVAL_MICROS: u64 = 2_000;
const CALL_TIMEOUT_MICROS: u64 = 1_000_000;

pub fn member_id(number: usize) -> MemberId {
    ["a", "b", "c", "d", "e"][number].parse().expect("name")
}

fn member_number(id: &MemberId) -> usize {
    usize::from(id.as_str().as_bytes()[0] - b'a')
}

pub fn group_members() -> Vec<GroupMember> {
    let member = |number| GroupMember {
        id: member_id(number),
        zone: ["berrechid", "ain-sebaa", "mohammedia"][number]
            .parse()
            .expect("name"),
        is_leaving: false,
        is_zone_out: false,
    };
    (0..MEMBERS).map(member).collect()
}

/// One-way delays in microseconds and fault rates of the network.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    pub delay: u64,
    pub jitter: u64,
    pub spike: (f64, u64),
    pub loss: f64,
    pub duplicates: f64,
}

impl Network {
    pub const RELIABLE: Self = Self {
        delay: 1_500,
        jitter: 200,
        spike: (0.0, 0),
        loss: 0.0,
        duplicates: 0.0,
    };
    pub const FAULTY: Self = Self {
        delay: 1_500,
        jitter: 6_000,
        spike: (0.02, 150_000),
        loss: 0.03,
        duplicates: 0.05,
    };
    /// Jitter and spikes of a busy but healthy network.
    pub const JITTERED: Self = Self {
        delay: 1_500,
        jitter: 20_000,
        spike: (0.01, 120_000),
        loss: 0.0,
        duplicates: 0.0,
    };
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Node {
    Member(usize),
    Proposer(usize),
}

#[derive(Clone, Debug)]
enum Message {
    Call(GroupAction, u64),
    Reply(GroupEvent, u64),
    Write(u64, u64),
    Written(u64, Option<LogPosition>, usize),
    Confirm(u64, LogPosition),
    Confirmed(u64, usize, ConfirmReply),
    Pull(usize, u64, LogPosition),
    Tail(LogTail),
}

#[derive(Clone, Debug)]
enum Event {
    Deliver(Node, Node, Message),
    Tick(usize),
    NextWrite(usize),
    NextConfirm(usize, u64),
    NextPull(usize),
    Resume(Node),
    Inject(Fault),
}

struct Proposer {
    monitor: GroupMonitor,
    incarnation: u64,
    tick_at: u64,
    writes: BTreeMap<u64, (WriteAcknowledgement, LogPosition, u64)>,
}

/// The simulation; all times are in microseconds, and `violations` lists what the checks found.
pub struct Cluster {
    pub now: u64,
    pub members: Vec<SimulatedMember>,
    pub violations: Vec<String>,
    /// Primary by term, with the writes in its log when it was promoted.
    pub promotions: BTreeMap<u64, (usize, Vec<u64>)>,
    pub promotion_times: Vec<u64>,
    /// Acknowledged writes: number, term and times of sending and acknowledgement.
    pub acknowledged: Vec<(u64, u64, u64, u64)>,
    proposers: Vec<Proposer>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    deferred_events: Vec<(Node, Event)>,
    paused: Vec<Node>,
    killed: Vec<usize>,
    isolated: Vec<usize>,
    network: Network,
    random: SmallRng,
    broken_rule: Option<BrokenRule>,
    last_event: u64,
    last_write: u64,
    last_incarnation: u64,
    sent_at: BTreeMap<u64, u64>,
    settings: MonitorSettings,
    /// Factor of the intervals of writes, confirmations and replication.
    pub interval_factor: u64,
}

impl Cluster {
    pub fn new(seed: u64, network: Network, broken_rule: Option<BrokenRule>) -> Self {
        // Odd seeds cover the longer interval that a large fleet needs.
        let replica_interval = Duration::from_millis([100, 500][usize::from(seed % 2 == 1)]);
        let mut cluster = Self {
            now: 0,
            members: (0..MEMBERS)
                .map(|number| SimulatedMember::new(number, broken_rule))
                .collect(),
            violations: Vec::new(),
            promotions: BTreeMap::new(),
            promotion_times: Vec::new(),
            acknowledged: Vec::new(),
            proposers: Vec::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            deferred_events: Vec::new(),
            paused: Vec::new(),
            killed: Vec::new(),
            isolated: Vec::new(),
            network,
            random: SmallRng::seed_from_u64(seed),
            broken_rule,
            last_event: 0,
            last_write: 0,
            last_incarnation: 0,
            sent_at: BTreeMap::new(),
            settings: MonitorSettings::default().with_replica_probe_interval(replica_interval),
            interval_factor: 1,
        };
        for rank in 0..2 {
            let proposer = cluster.new_proposer(rank);
            cluster.proposers.push(proposer);
            cluster.push(0, Event::Tick(rank));
            cluster.push(WRITE_INTERVAL_MICROS, Event::NextWrite(rank));
        }
        for member in 0..MEMBERS {
            cluster.push(0, Event::NextPull(member));
        }
        cluster
    }

    pub fn primary(&self) -> Option<PrimaryView> {
        self.proposers[0].monitor.primary().cloned()
    }

    pub fn inject_at(&mut self, time: u64, fault: Fault) {
        self.push(time.saturating_sub(self.now), Event::Inject(fault));
    }

    pub fn run_until(&mut self, end: u64) {
        while let Some(Reverse((time, id))) = self.queue.peek().copied() {
            if time > end {
                break;
            }
            self.queue.pop();
            self.now = time;
            if let Some(event) = self.events.remove(&id) {
                self.process(event);
            }
        }
        self.now = end;
    }

    /// Returns the time from `fault` to the first acknowledgement of a write that was sent after it.
    pub fn gap_after(&self, fault: u64) -> Option<u64> {
        let sent_after = self
            .acknowledged
            .iter()
            .filter(|(_, _, sent, _)| *sent > fault);
        sent_after
            .map(|(_, _, _, acknowledged)| acknowledged - fault)
            .min()
    }

    fn new_proposer(&mut self, rank: usize) -> Proposer {
        self.last_incarnation += 1;
        let now = self.time();
        let database = "orders".parse().expect("name");
        let mut monitor = GroupMonitor::new(database, self.settings, now);
        monitor.set_members(&group_members(), now);
        monitor.set_rank(u32::try_from(rank).ok(), now);
        let incarnation = self.last_incarnation;
        Proposer {
            monitor,
            incarnation,
            tick_at: self.now,
            writes: BTreeMap::new(),
        }
    }

    fn time(&self) -> MonotonicTime {
        MonotonicTime::new(Duration::from_micros(self.now))
    }

    fn push(&mut self, after: u64, event: Event) {
        self.last_event += 1;
        self.queue
            .push(Reverse((self.now + after, self.last_event)));
        self.events.insert(self.last_event, event);
    }

    fn is_isolated(&self, from: Node, to: Node) -> bool {
        let is_isolated = |node| matches!(node, Node::Member(m) if self.isolated.contains(&m));
        from != to && (is_isolated(from) || is_isolated(to))
    }

    fn send(&mut self, from: Node, to: Node, message: &Message) {
        let copies = 1 + usize::from(self.random.random_bool(self.network.duplicates));
        for _ in 0..copies {
            if self.random.random_bool(self.network.loss) || self.is_isolated(from, to) {
                continue;
            }
            let mut delay = self.network.delay + self.random.random_range(0..=self.network.jitter);
            let (chance, spike) = self.network.spike;
            if self.random.random_bool(chance) {
                delay += self.random.random_range(0..=spike);
            }
            self.push(delay, Event::Deliver(from, to, message.clone()));
        }
    }

    fn process(&mut self, event: Event) {
        let node = match &event {
            Event::Deliver(_, to, _) => Some(*to),
            Event::Tick(p) | Event::NextWrite(p) | Event::NextConfirm(p, _) => {
                Some(Node::Proposer(*p))
            }
            Event::NextPull(m) => Some(Node::Member(*m)),
            Event::Resume(_) | Event::Inject(_) => None,
        };
        if let Some(node) = node.filter(|node| self.paused.contains(node)) {
            self.deferred_events.push((node, event));
            return;
        }
        match event {
            Event::Deliver(from, to, message) => self.deliver(from, to, message),
            Event::Tick(p) if self.proposers[p].tick_at == self.now => {
                self.feed_monitor(p, GroupEvent::Tick);
            }
            Event::Tick(_) => {}
            Event::NextWrite(p) => self.send_write(p),
            Event::NextConfirm(p, write) => self.send_confirms(p, write),
            Event::NextPull(m) => self.send_pull(m),
            Event::Resume(node) => self.resume(node),
            Event::Inject(fault) => self.inject(fault),
        }
    }

    fn feed_monitor(&mut self, p: usize, event: GroupEvent) {
        let now = self.time();
        let actions = self.proposers[p]
            .monitor
            .handle(event, now, &mut self.random);
        let incarnation = self.proposers[p].incarnation;
        for action in actions {
            let to = member_number(action.member());
            self.send(
                Node::Proposer(p),
                Node::Member(to),
                &Message::Call(action, incarnation),
            );
        }
        let wakeup = self.proposers[p].monitor.next_wakeup(now).since_start();
        let wakeup = u64::try_from(wakeup.as_micros())
            .expect("small time")
            .max(self.now + 1);
        self.proposers[p].tick_at = wakeup;
        self.push(wakeup - self.now, Event::Tick(p));
    }

    fn deliver(&mut self, from: Node, to: Node, message: Message) {
        match (to, message) {
            (Node::Member(m), Message::Call(action, incarnation)) => {
                let event = if self.killed.contains(&m) {
                    action.into_failure_event(CallFailure::Refused)
                } else {
                    self.execute(m, action, incarnation)
                };
                self.send(to, from, &Message::Reply(event, incarnation));
            }
            (Node::Member(m), Message::Write(write, _)) if self.killed.contains(&m) => {
                self.send(to, from, &Message::Written(write, None, m));
            }
            (Node::Member(m), _) if self.killed.contains(&m) => {}
            (Node::Member(m), Message::Write(write, term)) => {
                let position = self.members[m].write(term, write);
                self.send(to, from, &Message::Written(write, position, m));
            }
            (Node::Member(m), Message::Confirm(write, position)) => {
                let reply = self.members[m].confirm(position);
                self.send(to, from, &Message::Confirmed(write, m, reply));
            }
            (Node::Member(m), Message::Pull(replica, term, last)) => {
                if let Some(tail) = self.members[m].tail_after(term, last) {
                    self.send(to, Node::Member(replica), &Message::Tail(tail));
                }
            }
            (Node::Member(m), Message::Tail(tail)) => self.members[m].append(tail),
            (Node::Proposer(p), Message::Reply(event, incarnation))
                if self.proposers[p].incarnation == incarnation =>
            {
                self.feed_monitor(p, event);
            }
            (Node::Proposer(p), Message::Written(write, Some(position), _)) => {
                self.start_confirms(p, write, position);
            }
            (Node::Proposer(p), Message::Written(_, None, m)) => {
                let member = member_id(m);
                self.feed_monitor(p, GroupEvent::StatementFailed { member });
            }
            (Node::Proposer(p), Message::Confirmed(write, m, reply)) => {
                self.record_confirm(p, write, m, reply);
            }
            _ => {}
        }
    }

    fn execute(&mut self, m: usize, action: GroupAction, proposer: u64) -> GroupEvent {
        let reply = match &action {
            GroupAction::Probe { member, probe } => {
                let (member, probe, status) = (member.clone(), *probe, self.members[m].status());
                return GroupEvent::Status {
                    probe,
                    member,
                    status,
                };
            }
            GroupAction::Fence { term, .. } => self.fence(m, term.get(), proposer),
            GroupAction::Promote { term, .. } => {
                let (reply, is_new) = self.members[m].promote(term.get(), proposer);
                if is_new {
                    self.check_promotion(m, term.get());
                }
                reply
            }
            GroupAction::Follow { term, primary, .. } => {
                self.members[m].follow(term.get(), member_number(primary))
            }
        };
        action.into_event(Ok(reply))
    }

    fn fence(&mut self, m: usize, term: u64, proposer: u64) -> ControlReply {
        let is_first = self.members.iter().all(|other| other.term < term);
        if self.broken_rule == Some(BrokenRule::ForgedFence) && !is_first {
            let log = self.members[m].position();
            return ControlReply {
                accepted: true,
                term: TermNumber::new(term),
                log,
            };
        }
        self.members[m].fence(term, proposer)
    }

    fn send_write(&mut self, p: usize) {
        self.push(
            WRITE_INTERVAL_MICROS * self.interval_factor,
            Event::NextWrite(p),
        );
        let monitor = &self.proposers[p].monitor;
        let Some(view) = monitor
            .primary()
            .cloned()
            .filter(|_| monitor.accepts_writes())
        else {
            return;
        };
        self.last_write += 1;
        let write = self.last_write;
        self.sent_at.insert(write, self.now);
        let to = Node::Member(member_number(&view.member));
        self.send(
            Node::Proposer(p),
            to,
            &Message::Write(write, view.term.get()),
        );
    }

    fn start_confirms(&mut self, p: usize, write: u64, position: LogPosition) {
        let proposer = &mut self.proposers[p];
        let certainty = WriteCertainty::Majority;
        let Some(ack) = proposer.monitor.acknowledgement(position, certainty) else {
            return;
        };
        proposer.writes.insert(write, (ack, position, self.now));
        self.send_confirms(p, write);
    }

    fn send_confirms(&mut self, p: usize, write: u64) {
        let Some((ack, position, since)) = self.proposers[p].writes.get(&write) else {
            return;
        };
        let position = *position;
        if ack.state() != AckState::Waiting || self.now - since > CALL_TIMEOUT_MICROS {
            self.proposers[p].writes.remove(&write);
            return;
        }
        let waiting: Vec<usize> = ack.undecided().iter().map(member_number).collect();
        for member in waiting {
            let message = Message::Confirm(write, position);
            self.send(Node::Proposer(p), Node::Member(member), &message);
        }
        self.push(
            CONFIRM_INTERVAL_MICROS * self.interval_factor,
            Event::NextConfirm(p, write),
        );
    }

    fn send_pull(&mut self, m: usize) {
        self.push(
            PULL_INTERVAL_MICROS * self.interval_factor,
            Event::NextPull(m),
        );
        let member = &self.members[m];
        if let Some(primary) = member.primary.filter(|_| !self.killed.contains(&m)) {
            let pull = Message::Pull(m, member.term, member.position());
            self.send(Node::Member(m), Node::Member(primary), &pull);
        }
    }
}
