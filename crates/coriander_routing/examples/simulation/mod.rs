//! Discrete event simulation of one gateway and one database group.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use coriander_core::{LogPosition, MemberId, MonotonicTime, TermNumber, ZoneName};
use coriander_limits::RetryBudget;
use coriander_routing::{
    HedgePolicy, MemberPlacement, MemberReport, ReadChoice, ReadRequest, ReadRouter, ReplicaTable,
};
use coriander_tokens::SessionPosition;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

mod deployment;
mod events;
mod read_statistics;

pub use deployment::{Deployment, Policy};
pub use read_statistics::ReadStatistics;

use events::{Event, Job, Member};

const SEED: u64 = 20_240_611;
const RUN_MICROS: u64 = 300_000_000;
const STATUS_INTERVAL_MICROS: u64 = 100_000;
const SESSIONS: usize = 200;
const LATENCY_TARGET: Duration = Duration::from_millis(100);
const READ_SERVICE_MICROS: f64 = 4_000.0;
const WRITE_SERVICE_MICROS: f64 = 6_000.0;
const TERM: TermNumber = TermNumber::new(1);

pub struct Simulation<'a> {
    deployment: &'a Deployment,
    policy: Policy,
    interval: f64,
    primary: usize,
    now: u64,
    event_number: u64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    payloads: BTreeMap<u64, Event>,
    /// Separate generators, so that arrivals and disturbances are the same for all policies.
    arrivals: SmallRng,
    disturbances: SmallRng,
    services: SmallRng,
    table: ReplicaTable,
    ids: Vec<MemberId>,
    members: Vec<Member>,
    /// Commit time of each log entry; entry 0 is the empty log.
    commits: Vec<u64>,
    sessions: Vec<Option<u64>>,
    /// Reads sent to replicas that have no reply yet.
    pending_reads: HashMap<u64, (usize, Job)>,
    hedges: Vec<HedgePolicy>,
    budget: RetryBudget,
    job_count: u64,
    next_replica_index: usize,
}

impl<'a> Simulation<'a> {
    pub fn new(deployment: &'a Deployment, policy: Policy, load: f64, primary: usize) -> Self {
        let zones: Vec<ZoneName> = deployment
            .zones
            .iter()
            .map(|z| z.parse().expect("zone"))
            .collect();
        let mut table = ReplicaTable::new(zones[0].clone(), deployment.slots);
        let ids: Vec<MemberId> = ["a", "b", "c"]
            .iter()
            .map(|id| id.parse().expect("id"))
            .collect();
        for (id, zone) in ids.iter().zip(zones) {
            let (is_leaving, is_zone_out) = (false, false);
            table.set_member(
                id,
                MemberPlacement {
                    zone,
                    is_leaving,
                    is_zone_out,
                },
            );
        }
        let generator = |stream: u64| SmallRng::seed_from_u64(SEED + 10 * stream + primary as u64);
        let classes = deployment.classes.iter();
        let mean_service: f64 = classes
            .map(|(fraction, writes, _)| {
                fraction * (writes * WRITE_SERVICE_MICROS + (1.0 - writes) * READ_SERVICE_MICROS)
            })
            .sum();
        Self {
            deployment,
            policy,
            interval: mean_service / (f64::from(deployment.slots) * load),
            primary,
            now: 0,
            event_number: 0,
            events: BinaryHeap::new(),
            payloads: BTreeMap::new(),
            arrivals: generator(0),
            disturbances: generator(1),
            services: generator(2),
            table,
            ids,
            members: (0..3).map(|_| Member::default()).collect(),
            commits: vec![0],
            sessions: vec![None; SESSIONS],
            pending_reads: HashMap::new(),
            hedges: vec![HedgePolicy::new(LATENCY_TARGET); 3],
            budget: RetryBudget::default(),
            job_count: 0,
            next_replica_index: 0,
        }
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.event_number += 1;
        self.events
            .push(Reverse((self.now + delay, self.event_number)));
        self.payloads.insert(self.event_number, event);
    }

    fn delay(&self, member: usize) -> u64 {
        if member == 0 {
            100
        } else {
            self.deployment.zone_delay
        }
    }

    fn time(&self) -> MonotonicTime {
        MonotonicTime::new(Duration::from_micros(self.now))
    }

    pub fn run(mut self, statistics: &mut ReadStatistics) {
        self.schedule(0, Event::StatusTick);
        self.schedule(20_000, Event::Arrive);
        for member in 0..3 {
            self.schedule(5_000_000, Event::Stall(member, 0));
            self.schedule(7_000_000, Event::Slow(member, 0));
        }
        while let Some(Reverse((time, event_number))) = self.events.pop() {
            self.now = time;
            let event = self
                .payloads
                .remove(&event_number)
                .expect("payload of event");
            self.handle(event, statistics);
        }
    }

    fn handle(&mut self, event: Event, statistics: &mut ReadStatistics) {
        match event {
            Event::Arrive => self.arrive(statistics),
            Event::Retry(job) => self.route(job, statistics),
            Event::Hedge(id) => self.hedge(id, statistics),
            Event::AtMember(member, job) => {
                self.members[member].queue.push_back(job);
                self.start_jobs(member, statistics);
            }
            Event::Done(member, job) => self.done(member, job, statistics),
            Event::Response(member, job, index) => self.respond(member, job, index, statistics),
            Event::StatusTick => {
                (0..3).for_each(|member| self.send_status(member));
                if self.now < RUN_MICROS {
                    self.schedule(STATUS_INTERVAL_MICROS, Event::StatusTick);
                }
            }
            Event::Status(member, sent) => {
                let index = self.members[member].index;
                let log = LogPosition::new(TERM, index);
                let report = MemberReport {
                    term: TERM,
                    is_primary: member == self.primary,
                    log,
                };
                self.schedule(self.delay(member), Event::StatusBack(member, report, sent));
            }
            Event::StatusBack(member, report, sent) => {
                let sent = MonotonicTime::new(Duration::from_micros(sent));
                let now = self.time();
                self.table
                    .record_status(&self.ids[member], report, sent, now);
            }
            Event::Apply(member, index) => self.apply(member, index),
            Event::Stall(member, length) => {
                self.members[member].stalled_until = self.now + length;
                if self.now < RUN_MICROS {
                    let length = self.disturbances.random_range(200_000..1_500_000);
                    let pause = exponential(&mut self.disturbances, 10_000_000.0);
                    self.schedule(pause, Event::Stall(member, length));
                }
            }
            Event::Slow(member, length) => {
                self.members[member].slow_until = self.now + length;
                if self.now < RUN_MICROS {
                    let length = self.disturbances.random_range(300_000..1_000_000);
                    let pause = exponential(&mut self.disturbances, 20_000_000.0);
                    self.schedule(pause, Event::Slow(member, length));
                }
            }
        }
    }

    fn send_status(&mut self, member: usize) {
        let sent = self.now;
        self.schedule(self.delay(member), Event::Status(member, sent));
    }

    fn apply(&mut self, member: usize, index: u64) {
        let stalled_until = self.members[member].stalled_until;
        if self.now < stalled_until {
            let delay = stalled_until - self.now;
            return self.schedule(delay, Event::Apply(member, index));
        }
        let state = &mut self.members[member];
        state.index = state.index.max(index);
    }

    fn arrive(&mut self, statistics: &mut ReadStatistics) {
        if self.now < RUN_MICROS {
            let pause = exponential(&mut self.arrivals, self.interval);
            self.schedule(pause, Event::Arrive);
        }
        let mut remaining: f64 = self.arrivals.random();
        let classes = &self.deployment.classes;
        let found = classes.iter().position(|(fraction, ..)| {
            remaining -= fraction;
            remaining < 0.0
        });
        let class = found.unwrap_or(2);
        let session = self.arrivals.random_range(0..SESSIONS);
        let has_token = self.arrivals.random_bool(0.95);
        let session_position = match self.sessions[session] {
            _ if !has_token => SessionPosition::Unknown,
            Some(index) => SessionPosition::AtLeast(LogPosition::new(TERM, index)),
            None => SessionPosition::Unwritten,
        };
        let is_write = self.arrivals.random_bool(classes[class].1);
        let start = self.now;
        if !is_write {
            statistics.reads += 1;
            let freshness = Duration::from_micros(self.deployment.classes[class].2);
            let now = self.time();
            if self.policy >= Policy::Router && self.table.is_status_due(freshness, now) {
                statistics.status_rounds += 1;
                (0..3).for_each(|member| self.send_status(member));
            }
            statistics.allowed += u64::from(self.is_allowed(class, session_position));
        }
        let (min_position, excluded, ticket) = (None, Vec::new(), None);
        self.job_count += 1;
        self.budget.record_request();
        let job = Job {
            id: self.job_count,
            is_hedge: false,
            start,
            class,
            session,
            is_write,
            session_position,
            min_position,
            excluded,
            ticket,
        };
        self.route(job, statistics);
    }

    /// Returns whether some replica currently satisfies the class and the session.
    fn is_allowed(&self, class: usize, session_position: SessionPosition) -> bool {
        let freshness = self.deployment.classes[class].2;
        (0..3)
            .filter(|member| *member != self.primary)
            .any(|member| {
                let index = self.members[member].index;
                let satisfies_session = match session_position {
                    SessionPosition::Unwritten => true,
                    SessionPosition::AtLeast(position) => index >= position.index,
                    SessionPosition::Unknown => false,
                };
                satisfies_session && freshness > 0 && self.staleness(index) <= freshness
            })
    }

    fn staleness(&self, index: u64) -> u64 {
        self.commits
            .get(index as usize + 1)
            .map_or(0, |commit| self.now - commit)
    }

    fn route(&mut self, mut job: Job, statistics: &mut ReadStatistics) {
        let member = match self.policy {
            _ if job.is_write => self.primary,
            Policy::PrimaryOnly => self.primary,
            Policy::RoundRobin => self.next_replica(&mut job),
            Policy::Router | Policy::HedgedRouter => {
                match ReadRouter.choose(&self.table, &self.request(&job), self.time()) {
                    ReadChoice::Replica {
                        member,
                        min_position,
                    } => {
                        job.min_position = Some(min_position);
                        self.ids
                            .iter()
                            .position(|id| *id == member)
                            .expect("known member")
                    }
                    ReadChoice::Wait {
                        member,
                        retry_after,
                    } => {
                        statistics.waits += 1;
                        let replica = self.ids.iter().position(|id| *id == member);
                        self.send_status(self.primary);
                        self.send_status(replica.expect("known member"));
                        let delay = retry_after.as_micros() as u64;
                        return self.schedule(delay.max(1), Event::Retry(job));
                    }
                    ReadChoice::Primary { .. } | ReadChoice::Unavailable => self.primary,
                }
            }
        };
        if self.policy == Policy::HedgedRouter && !job.is_write && member != self.primary {
            let delay = self.hedges[job.class].delay().as_micros() as u64;
            self.schedule(delay, Event::Hedge(job.id));
            self.pending_reads.insert(job.id, (member, job.clone()));
        }
        self.send(member, job);
    }

    fn send(&mut self, member: usize, mut job: Job) {
        let now = self.time();
        job.ticket = Some(Rc::new(self.table.record_start(&self.ids[member], now)));
        self.schedule(self.delay(member), Event::AtMember(member, job));
    }

    /// Sends a read without a reply to a second replica.
    fn hedge(&mut self, id: u64, statistics: &mut ReadStatistics) {
        let Some((first, job)) = self.pending_reads.get(&id) else {
            return;
        };
        let mut job = job.clone();
        job.is_hedge = true;
        job.excluded.push(self.ids[*first].clone());
        let request = self.request(&job);
        let choice = ReadRouter.choose_hedge(&self.table, &request, self.time());
        let Some((member, min_position)) = choice else {
            return;
        };
        let elapsed = Duration::from_micros(self.now - job.start);
        if self.hedges[job.class].try_hedge(elapsed, &mut self.budget) {
            statistics.hedges += 1;
            job.min_position = Some(min_position);
            let member = self.ids.iter().position(|id| *id == member);
            self.send(member.expect("known member"), job);
        }
    }

    fn request<'b>(&self, job: &'b Job) -> ReadRequest<'b> {
        ReadRequest {
            freshness: Duration::from_micros(self.deployment.classes[job.class].2),
            session: job.session_position,
            primary_queue_time: Duration::ZERO,
            elapsed_wait: Duration::from_micros(self.now - job.start),
            excluded: &job.excluded,
        }
    }

    /// Returns the replicas in turn; a replica checks only the session's position.
    fn next_replica(&mut self, job: &mut Job) -> usize {
        if job.session_position == SessionPosition::Unknown || !job.excluded.is_empty() {
            return self.primary;
        }
        if let SessionPosition::AtLeast(position) = job.session_position {
            job.min_position = Some(position);
        }
        self.next_replica_index += 1;
        let replicas: Vec<usize> = (0..3).filter(|member| *member != self.primary).collect();
        replicas[self.next_replica_index % replicas.len()]
    }

    fn start_jobs(&mut self, member: usize, statistics: &mut ReadStatistics) {
        while self.members[member].busy < self.deployment.slots {
            let Some(job) = self.members[member].queue.pop_front() else {
                return;
            };
            let index = self.members[member].index;
            if job
                .min_position
                .is_some_and(|position| index < position.index)
            {
                statistics.refused += 1;
                self.schedule(self.delay(member), Event::Response(member, job, None));
                continue;
            }
            if !job.is_write && member != self.primary {
                let staleness = self.staleness(index);
                statistics.staleness.saturating_record(staleness);
                let freshness = self.deployment.classes[job.class].2;
                statistics.violations += u64::from(staleness > freshness);
            }
            self.members[member].busy += 1;
            let mean = if job.is_write {
                WRITE_SERVICE_MICROS
            } else {
                READ_SERVICE_MICROS
            };
            let factor = if self.now < self.members[member].slow_until {
                3.0
            } else {
                1.0
            };
            let service =
                (mean * factor / 2.0) as u64 + exponential(&mut self.services, mean * factor / 2.0);
            self.schedule(service, Event::Done(member, job));
        }
    }

    fn done(&mut self, member: usize, job: Job, statistics: &mut ReadStatistics) {
        self.members[member].busy -= 1;
        if job.is_write {
            self.commits.push(self.now);
            let index = self.commits.len() as u64 - 1;
            self.members[member].index = index;
            let primary = self.primary;
            for replica in (0..3).filter(|replica| *replica != primary) {
                // A replica applies entries in order.
                let arrival = self.now
                    + self.deployment.zone_delay
                    + exponential(&mut self.services, 2_000.0);
                let arrival = arrival.max(self.members[replica].applied);
                self.members[replica].applied = arrival;
                self.schedule(arrival - self.now, Event::Apply(replica, index));
            }
        }
        let index = self.members[member].index;
        self.schedule(
            self.delay(member),
            Event::Response(member, job, Some(index)),
        );
        self.start_jobs(member, statistics);
    }

    fn respond(
        &mut self,
        member: usize,
        mut job: Job,
        index: Option<u64>,
        statistics: &mut ReadStatistics,
    ) {
        let ticket = job.ticket.take().expect("ticket of a sent request");
        let Some(index) = index else {
            self.table.record_refusal(&ticket);
            if job.is_hedge {
                return;
            }
            job.excluded.push(self.ids[member].clone());
            return self.route(job, statistics);
        };
        let log = Some(LogPosition::new(TERM, index));
        let now = self.time();
        self.table.record_response(&ticket, TERM, log, now);
        if job.is_write {
            let session = &mut self.sessions[job.session];
            *session = Some(session.unwrap_or(0).max(index));
            return;
        }
        let latency = self.now - job.start;
        if self.policy == Policy::HedgedRouter && member != self.primary {
            if !job.is_hedge {
                self.hedges[job.class].record_latency(Duration::from_micros(latency));
            }
            if self.pending_reads.remove(&job.id).is_none() {
                return;
            }
        }
        statistics.latency.saturating_record(latency);
        if member != self.primary {
            statistics.on_replica += 1;
            statistics.replica_latency.saturating_record(latency);
        }
    }
}

fn exponential(random: &mut SmallRng, mean: f64) -> u64 {
    (-mean * (1.0 - random.random::<f64>()).ln()) as u64
}
