//! A member with a few slots and an unordered queue inside, and home instances that send to it, in
//! virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use coriander_capacity::{CapacityBoard, ExchangeSample, GateLimit, SampleOutcome, StatementClass};
use coriander_core::MonotonicTime;
use coriander_queue::{
    QueuedRequest, RequestTicket, ServiceRate, StatementGate, StatementNumber, WaitingQueue,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub const SLOTS: usize = 4;
pub const HOMES: usize = 6;
/// Connections of a home instance to the member.
const CONNECTIONS: usize = 7;
pub const WORK_MS: f64 = 14.0;
/// Time of a message between an instance and the member.
const WAY_MS: u64 = 1;
pub const ACCOUNTS: usize = 18;
/// Share, target and deadline of the urgent, the usual and the patient class.
pub const CLASSES: [(f64, u64, u64); 3] = [(0.15, 150, 800), (0.7, 250, 800), (0.15, 800, 1_500)];

/// How many statements a home instance lets through to the member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// One for each of its connections.
    Connections,
    /// A multiple of the limit that orders read targets.
    LimitTimes(f64),
    /// The learned limit of the gate.
    Gate,
}

/// Policies that the example compares.
pub const POLICIES: [(&str, Policy); 4] = [
    ("none", Policy::Connections),
    ("limit", Policy::LimitTimes(1.0)),
    ("2 x limit", Policy::LimitTimes(2.0)),
    ("gate", Policy::Gate),
];

/// A stretch of a play: its end, load relative to the capacity of the well member, factor of the
/// work, and how much more than another account the first one sends.
#[derive(Clone, Copy)]
pub struct Phase {
    pub until_ms: u64,
    pub load: f64,
    pub slow: f64,
    pub hot: u32,
    /// Share of the statements that the member leaves unanswered, without taking a slot.
    pub silent: f64,
    /// Whether the first home instance is gone. Its accounts use the second one.
    pub is_home_lost: bool,
}

impl Phase {
    pub const fn well(until_ms: u64, load: f64) -> Self {
        Self {
            until_ms,
            load,
            slow: 1.0,
            hot: 1,
            silent: 0.0,
            is_home_lost: false,
        }
    }
}

#[derive(Clone, Copy)]
pub struct Arrival {
    pub at_ms: u64,
    pub account: usize,
    pub class: usize,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub total: u32,
    pub on_time: u32,
    pub late: u32,
    /// Sum of the times from arrival to reply of the served requests.
    pub latency_ms: u64,
}

impl Tally {
    pub fn percent(&self, count: u32) -> f64 {
        100.0 * f64::from(count) / f64::from(self.total.max(1))
    }

    pub fn mean_latency_ms(&self) -> f64 {
        self.latency_ms as f64 / f64::from((self.on_time + self.late).max(1))
    }
}

struct Home {
    queue: WaitingQueue,
    tickets: HashMap<RequestTicket, usize>,
    gate: StatementGate,
    board: CapacityBoard,
    gate_limit: GateLimit,
    in_flight: u32,
    sent: usize,
    mean_exchange: f64,
}

/// A statement at the member: end as its instance sees it, and what it was.
struct Exchange {
    home: usize,
    index: usize,
    sent_ms: u64,
    number: StatementNumber,
    is_answered: bool,
}

pub struct Outcome {
    pub arrivals: Vec<Arrival>,
    /// Time of the reply by arrival; `None` if the request was refused or unanswered.
    pub replied_ms: Vec<Option<u64>>,
    /// Sum of the limits, mean of each second.
    pub limits: Vec<f64>,
}

impl Outcome {
    pub fn tally(&self, filter: impl Fn(&Arrival) -> bool) -> Tally {
        let mut tally = Tally::default();
        for (arrival, replied) in self.arrivals.iter().zip(&self.replied_ms) {
            if !filter(arrival) {
                continue;
            }
            tally.total += 1;
            let Some(replied) = replied else { continue };
            let latency = replied - arrival.at_ms;
            tally.latency_ms += latency;
            if latency <= CLASSES[arrival.class].1 {
                tally.on_time += 1;
            } else {
                tally.late += 1;
            }
        }
        tally
    }
}

fn ms(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn class_of(class: usize) -> StatementClass {
    StatementClass::new(class as u32, false, false)
}

fn phase_at(phases: &[Phase], now: u64) -> Option<&Phase> {
    phases.iter().find(|phase| now < phase.until_ms)
}

fn draw_arrivals(phases: &[Phase], random: &mut SmallRng) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    let end = phases.last().map_or(0, |phase| phase.until_ms);
    for at_ms in 0..end {
        let Some(phase) = phase_at(phases, at_ms) else {
            break;
        };
        let expected = phase.load * SLOTS as f64 / WORK_MS;
        // At most four per millisecond occur at the loads played.
        for _ in 0..4 {
            if random.random::<f64>() >= expected / 4.0 {
                continue;
            }
            let extra = phase.hot as usize - 1;
            let account = random
                .random_range(0..ACCOUNTS + extra)
                .saturating_sub(extra);
            let mut draw: f64 = random.random();
            let class = CLASSES.iter().position(|class| {
                draw -= class.0;
                draw < 0.0
            });
            arrivals.push(Arrival {
                at_ms,
                account,
                class: class.unwrap_or(1),
            });
        }
    }
    arrivals
}

impl Home {
    fn new() -> Self {
        let board = CapacityBoard::default();
        let mut gate_limit = GateLimit::default();
        gate_limit.set_shortest_target(Duration::from_millis(CLASSES[0].1));
        Self {
            queue: WaitingQueue::default(),
            tickets: HashMap::new(),
            gate: StatementGate::new(board.limit("m")),
            board,
            gate_limit,
            in_flight: 0,
            sent: 0,
            mean_exchange: 0.0,
        }
    }

    fn room(&self, policy: Policy, now: u64) -> usize {
        let connections = CONNECTIONS.saturating_sub(self.sent);
        match policy {
            Policy::Connections => connections,
            _ => connections.min(self.gate.room(ms(now))),
        }
    }

    fn rate(&self, policy: Policy, now: u64) -> ServiceRate {
        let mean = Duration::from_secs_f64(self.mean_exchange / 1_000.0);
        let rate = ServiceRate {
            connections: CONNECTIONS,
            available: CONNECTIONS.saturating_sub(self.sent),
            mean_hold: mean,
            mean_exchange: mean,
        };
        match policy {
            Policy::Connections => rate,
            _ => rate.limited_by(&self.gate, ms(now)),
        }
    }

    fn arrive(&mut self, index: usize, arrival: &Arrival) {
        let (_, target, deadline) = CLASSES[arrival.class];
        let request = QueuedRequest {
            account: format!("account-{}", arrival.account).into(),
            weight: 10,
            priority: arrival.class as u32,
            target: ms(arrival.at_ms + target),
            deadline: ms(arrival.at_ms + deadline),
            finish_by: ms(arrival.at_ms + deadline),
        };
        let ticket = self.queue.enqueue(request, ms(arrival.at_ms));
        self.tickets.insert(ticket, index);
        self.board.begin("m", ms(arrival.at_ms));
        self.in_flight += 1;
    }

    fn refuse(&mut self, policy: Policy, now: u64) {
        for ticket in self
            .queue
            .refuse_unservable(self.rate(policy, now), ms(now))
        {
            self.tickets.remove(&ticket);
            self.board.end("m");
            self.in_flight -= 1;
        }
    }

    fn finish(&mut self, exchange: &Exchange, class: usize, policy: Policy, now: u64) {
        self.sent -= 1;
        self.gate.end(exchange.number, ms(now));
        let latency = now - exchange.sent_ms;
        let outcome = if exchange.is_answered {
            SampleOutcome::Served
        } else {
            SampleOutcome::Unanswered
        };
        let sample = ExchangeSample {
            class: class_of(class),
            outcome,
            latency: Duration::from_millis(latency),
        };
        self.board.record_local("m", &sample, ms(now));
        self.gate_limit.record(&sample, self.in_flight, ms(now));
        self.board.end("m");
        self.in_flight -= 1;
        if self.mean_exchange == 0.0 {
            self.mean_exchange = latency as f64;
        }
        self.mean_exchange += 0.1 * (latency as f64 - self.mean_exchange);
        self.gate.set_limit(
            match policy {
                Policy::LimitTimes(factor) => self.board.limit("m") * factor,
                _ => self.gate_limit.limit(),
            },
            ms(now),
        );
    }
}

/// Plays the phases.
pub fn play(phases: &[Phase], policy: Policy, seed: u64) -> Outcome {
    let mut random = SmallRng::seed_from_u64(seed);
    let arrivals = draw_arrivals(phases, &mut random);
    let mut homes: Vec<Home> = (0..HOMES).map(|_| Home::new()).collect();
    let mut slots = [0.0_f64; SLOTS];
    let mut open: HashMap<u64, Exchange> = HashMap::new();
    let mut ends = BinaryHeap::new();
    let mut replied_ms = vec![None; arrivals.len()];
    let end = phases.last().map_or(0, |phase| phase.until_ms);
    let mut limits = vec![0.0; (end / 1_000) as usize + 1];
    let (mut next, mut last_id) = (0, 0);
    let mut is_home_lost = false;
    for now in 0..end + 3_000 {
        while ends.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            let Some(Reverse((_, id))) = ends.pop() else {
                break;
            };
            let Some(exchange) = open.remove(&id) else {
                continue;
            };
            let class = arrivals[exchange.index].class;
            replied_ms[exchange.index] = exchange.is_answered.then_some(now);
            homes[exchange.home].finish(&exchange, class, policy, now);
        }
        let phase = phase_at(phases, now)
            .copied()
            .unwrap_or(Phase::well(u64::MAX, 0.0));
        if phase.is_home_lost && !is_home_lost {
            open.retain(|_, exchange| exchange.home != 0);
            homes[0] = Home::new();
        }
        is_home_lost = phase.is_home_lost;
        while let Some(arrival) = arrivals.get(next).filter(|arrival| arrival.at_ms <= now) {
            let home = arrival.account % HOMES;
            let home = if is_home_lost { home.max(1) } else { home };
            homes[home].arrive(next, arrival);
            next += 1;
        }
        // The order in which the instances' statements reach the member differs each time.
        let first = random.random_range(0..HOMES);
        for number in 0..HOMES {
            let index = (first + number) % HOMES;
            let home = &mut homes[index];
            home.refuse(policy, now);
            while home.room(policy, now) > 0
                && let Some(ticket) = home.queue.first(ms(now))
            {
                home.queue.serve(ticket, ms(now));
                let arrival = home.tickets[&ticket];
                let class = arrivals[arrival].class;
                let deadline = arrivals[arrival].at_ms + CLASSES[class].2;
                let overdue = home.gate_limit.overdue_time(class_of(class));
                let is_answered = random.random::<f64>() >= phase.silent;
                let ended = if is_answered {
                    let slot = slots
                        .iter_mut()
                        .min_by(|a, b| a.total_cmp(b))
                        .expect("slots");
                    *slot = slot.max((now + WAY_MS) as f64)
                        + WORK_MS * phase.slow * random.random_range(0.6..1.4);
                    *slot as u64 + WAY_MS
                } else {
                    deadline
                };
                home.sent += 1;
                last_id += 1;
                let number = home.gate.begin_operation(ms(now), ms(now) + overdue);
                open.insert(
                    last_id,
                    Exchange {
                        home: index,
                        index: arrival,
                        sent_ms: now,
                        number,
                        is_answered,
                    },
                );
                ends.push(Reverse((ended.max(now + 1), last_id)));
            }
        }
        if now < end {
            limits[(now / 1_000) as usize] +=
                homes.iter().map(|home| home.gate.limit()).sum::<f64>() / 1_000.0;
        }
    }
    Outcome {
        arrivals,
        replied_ms,
        limits,
    }
}
