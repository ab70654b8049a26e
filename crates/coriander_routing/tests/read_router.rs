//! Read routing over random histories with lagging members, lost and late replies, and term
//! changes that the router detects late.

use std::collections::BTreeMap;
use std::time::Duration;

use coriander_core::{LogPosition, MemberId, MonotonicTime, TermNumber};
use coriander_routing::{
    MemberPlacement, MemberReport, ReadChoice, ReadRequest, ReadRouter, ReplicaTable,
};
use coriander_tokens::SessionPosition;
use proptest::prelude::*;
use proptest::test_runner::{Config, TestCaseResult, TestRunner};

const MEMBERS: usize = 3;

#[derive(Clone, Debug)]
enum Step {
    /// Advances the time by this many milliseconds.
    Pass(u64),
    /// The primary appends an entry.
    Write,
    /// A member that follows the primary copies up to this many entries.
    Replicate(usize, usize),
    /// A majority is fenced and a member is promoted; the others do not follow yet.
    Promote(usize),
    /// A member follows the current primary and truncates its log accordingly.
    Follow(usize),
    /// The members other than the primary promote one of them and acknowledge a write, while the
    /// isolated old primary still replies.
    PromoteOthers,
    /// A status request is sent to a member. The reply is sent after the first number of further
    /// steps and arrives after the second.
    Status(usize, usize, usize),
    /// A read is routed: freshness in milliseconds, and whether the session has a token.
    Read(u64, Option<bool>),
    /// A member refuses a read because of its minimum position.
    Refuse(usize),
}

fn any_step() -> impl Strategy<Value = Step> {
    let member = 0..MEMBERS;
    prop_oneof![
        3 => (1..40u64).prop_map(Step::Pass),
        3 => Just(Step::Write),
        4 => (member.clone(), 1..4usize).prop_map(|(m, n)| Step::Replicate(m, n)),
        1 => member.clone().prop_map(Step::Promote),
        2 => member.clone().prop_map(Step::Follow),
        1 => Just(Step::PromoteOthers),
        6 => (member.clone(), 0..4usize, 0..4usize).prop_map(|(m, a, b)| Step::Status(m, a, b)),
        5 => (0..200u64, prop::option::weighted(0.9, any::<bool>()))
            .prop_map(|(freshness, token)| Step::Read(freshness, token)),
        1 => member.prop_map(Step::Refuse),
    ]
}

#[derive(Clone, Default)]
struct ModelMember {
    term: u64,
    is_primary: bool,
    /// Term of each entry.
    log: Vec<u64>,
}

impl ModelMember {
    fn position(&self) -> LogPosition {
        let term = self.log.last().copied().unwrap_or_default();
        LogPosition::new(TermNumber::new(term), self.log.len() as u64)
    }
}

struct Model {
    now: u64,
    members: Vec<ModelMember>,
    /// Position and time of each acknowledged write.
    acknowledged: Vec<(LogPosition, u64)>,
    table: ReplicaTable,
    ids: Vec<MemberId>,
    /// Replies by the steps at which they are sent and received.
    unsent: Vec<(usize, usize, usize, u64)>,
    unreceived: Vec<(usize, usize, MemberReport, u64)>,
    /// Logs at the time of the last received report, by member and position.
    reported_logs: BTreeMap<(usize, LogPosition), Vec<u64>>,
}

impl Model {
    fn new() -> Self {
        let mut members = vec![
            ModelMember {
                term: 1,
                ..ModelMember::default()
            };
            MEMBERS
        ];
        members[0].is_primary = true;
        members[0].log.push(1);
        let mut table = ReplicaTable::new("z".parse().expect("zone"), 2);
        let ids: Vec<MemberId> = ["a", "b", "c"]
            .iter()
            .map(|id| id.parse().expect("id"))
            .collect();
        for id in &ids {
            let zone = "z".parse().expect("zone");
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
        Self {
            now: 1000,
            members,
            acknowledged: Vec::new(),
            table,
            ids,
            unsent: Vec::new(),
            unreceived: Vec::new(),
            reported_logs: BTreeMap::new(),
        }
    }

    fn time(&self, millis: u64) -> MonotonicTime {
        MonotonicTime::from_millis(millis)
    }

    /// Returns the primary of the highest term; isolated older ones may exist.
    fn primary(&self) -> usize {
        let primaries = (0..MEMBERS).filter(|m| self.members[*m].is_primary);
        primaries
            .max_by_key(|m| self.members[*m].term)
            .expect("a primary exists")
    }

    /// Acknowledges every entry of the newest primary that a majority of its term stores.
    fn acknowledge(&mut self) {
        let primary = &self.members[self.primary()];
        let term = primary.term;
        let mut lengths: Vec<usize> = self
            .members
            .iter()
            .map(|m| {
                if m.term == term && m.log.last() == Some(&term) {
                    m.log.len()
                } else {
                    0
                }
            })
            .collect();
        lengths.sort_unstable();
        let majority_length = lengths[MEMBERS - (MEMBERS / 2 + 1)];
        let start = self
            .acknowledged
            .last()
            .map_or(0, |(position, _)| position.index as usize);
        for index in start..majority_length {
            let position = LogPosition::new(TermNumber::new(primary.log[index]), index as u64 + 1);
            self.acknowledged.push((position, self.now));
        }
    }

    fn promote(&mut self, proposed: usize) {
        let term = self
            .members
            .iter()
            .map(|m| m.term)
            .max()
            .unwrap_or_default()
            + 1;
        let other = (proposed + 1) % MEMBERS;
        let best = [proposed, other]
            .into_iter()
            .max_by_key(|m| self.members[*m].position());
        for member in [proposed, other] {
            self.members[member].term = term;
            self.members[member].is_primary = false;
        }
        let best = &mut self.members[best.expect("two members")];
        best.is_primary = true;
        best.log.push(term);
    }

    fn promote_others(&mut self, number: usize) {
        let old = self.primary();
        self.promote((old + 1) % MEMBERS);
        (0..MEMBERS).for_each(|member| self.copy(member, usize::MAX));
        self.now += 10;
        self.unsent.push((number, number, old, self.now));
    }

    fn copy(&mut self, member: usize, count: usize) {
        let primary = self.members[self.primary()].clone();
        let state = &mut self.members[member];
        if state.is_primary || state.term != primary.term {
            return;
        }
        let common = state
            .log
            .iter()
            .zip(&primary.log)
            .take_while(|(a, b)| a == b)
            .count();
        state.log.truncate(common);
        let missing = primary.log[common..].iter().take(count);
        state.log.extend(missing);
        self.acknowledge();
    }

    fn deliver(&mut self, step: usize) {
        let (due, rest) = std::mem::take(&mut self.unsent)
            .into_iter()
            .partition(|u| u.0 <= step);
        self.unsent = rest;
        let due: Vec<(usize, usize, usize, u64)> = due;
        for (_, received, member, sent) in due {
            let state = &self.members[member];
            let term = TermNumber::new(state.term);
            let report = MemberReport {
                term,
                is_primary: state.is_primary,
                log: state.position(),
            };
            self.reported_logs
                .insert((member, state.position()), state.log.clone());
            self.unreceived.push((received, member, report, sent));
        }
        let (due, rest) = std::mem::take(&mut self.unreceived)
            .into_iter()
            .partition(|u| u.0 <= step);
        self.unreceived = rest;
        let due: Vec<(usize, usize, MemberReport, u64)> = due;
        for (_, member, report, sent) in due {
            let (sent, now) = (self.time(sent), self.time(self.now));
            self.table
                .record_status(&self.ids[member], report, sent, now);
        }
    }

    fn read(
        &self,
        freshness: u64,
        token: Option<bool>,
        choose: &dyn Fn(&ReplicaTable, &ReadRequest<'_>, MonotonicTime) -> ReadChoice,
    ) -> TestCaseResult {
        let session = match (token, self.acknowledged.last()) {
            (None, _) => SessionPosition::Unknown,
            (Some(true), Some((position, _))) => SessionPosition::AtLeast(*position),
            _ => SessionPosition::Unwritten,
        };
        let target = Duration::from_millis(freshness);
        let request = ReadRequest {
            freshness: target,
            session,
            primary_queue_time: Duration::from_millis(50),
            elapsed_wait: Duration::ZERO,
            excluded: &[],
        };
        match choose(&self.table, &request, self.time(self.now)) {
            ReadChoice::Replica {
                member,
                min_position,
            } => {
                prop_assert!(
                    session != SessionPosition::Unknown,
                    "replica without a token"
                );
                self.check_replica(&member, session, min_position, freshness)
            }
            ReadChoice::Primary { min_position, .. } => {
                if let SessionPosition::AtLeast(position) = session {
                    prop_assert!(position.term <= self.table.term(), "replaced primary");
                    prop_assert_eq!(min_position, Some(position));
                }
                Ok(())
            }
            ReadChoice::Wait { .. } | ReadChoice::Unavailable => Ok(()),
        }
    }

    /// Checks the session against the recorded state, and the age against the actual history.
    fn check_replica(
        &self,
        id: &MemberId,
        session: SessionPosition,
        min_position: LogPosition,
        freshness: u64,
    ) -> TestCaseResult {
        let member = self
            .ids
            .iter()
            .position(|known| known == id)
            .expect("known member");
        let known = self.table.position(id).expect("known member");
        if let SessionPosition::AtLeast(position) = session {
            prop_assert!(
                known.includes(position),
                "session {position}, member at {known}"
            );
            prop_assert!(
                min_position.includes(position),
                "member may serve below the session"
            );
        }
        prop_assert!(known.includes(min_position), "member is certain to refuse");
        let log = &self.reported_logs[&(member, known)];
        let oldest = self.now.saturating_sub(freshness);
        for (position, time) in self.acknowledged.iter().filter(|(_, time)| *time < oldest) {
            let entry = log.get(position.index as usize - 1);
            prop_assert_eq!(
                entry,
                Some(&position.term.get()),
                "write {} of {} ms is missing at {} ms",
                position,
                time,
                self.now
            );
        }
        Ok(())
    }
}

type Chooser = dyn Fn(&ReplicaTable, &ReadRequest<'_>, MonotonicTime) -> ReadChoice;

fn check_history(steps: &[Step], choose: &Chooser) -> TestCaseResult {
    let mut model = Model::new();
    for (number, step) in steps.iter().enumerate() {
        match step {
            Step::Pass(millis) => model.now += millis,
            Step::Write => {
                let primary = model.primary();
                let term = model.members[primary].term;
                model.members[primary].log.push(term);
            }
            Step::Replicate(member, count) => model.copy(*member, *count),
            Step::Promote(member) => model.promote(*member),
            Step::PromoteOthers => model.promote_others(number),
            Step::Follow(member) => {
                let primary = model.primary();
                model.members[*member].term = model.members[primary].term;
                model.members[*member].is_primary = *member == primary;
                model.copy(*member, 0);
            }
            Step::Status(member, send, receive) => {
                let due = (number + send, number + send + receive, *member, model.now);
                model.unsent.push(due);
            }
            Step::Read(freshness, token) => model.read(*freshness, *token, choose)?,
            Step::Refuse(member) => {
                let now = model.time(model.now);
                let ticket = model.table.record_start(&model.ids[*member], now);
                model.table.record_refusal(&ticket);
            }
        }
        model.deliver(number);
    }
    Ok(())
}

fn run(choose: &Chooser) -> Result<(), String> {
    let config = Config {
        cases: 2000,
        max_shrink_iters: 500,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = TestRunner::new_with_rng(
        config,
        proptest::test_runner::TestRng::deterministic_rng(
            proptest::test_runner::RngAlgorithm::ChaCha,
        ),
    );
    runner
        .run(&prop::collection::vec(any_step(), 0..120), |steps| {
            check_history(&steps, choose)
        })
        .map_err(|error| error.to_string())
}

/// Guards against reads below the session's position or older than the freshness target.
#[test]
fn read_router_random_histories() {
    run(&|table, request, now| ReadRouter.choose(table, request, now)).expect("no violation");
}

/// Verifies that the check detects a router that ignores the session's position.
#[test]
fn read_router_without_position_check() {
    let result = run(&|table, request, now| {
        let session = match request.session {
            SessionPosition::AtLeast(_) => SessionPosition::Unwritten,
            session => session,
        };
        match ReadRouter.choose(
            table,
            &ReadRequest {
                session,
                ..*request
            },
            now,
        ) {
            choice @ ReadChoice::Replica { .. } => choice,
            _ => ReadRouter.choose(table, request, now),
        }
    });
    let error = result.expect_err("the variant must be caught");
    assert!(error.contains("session"), "{error}");
}

/// Verifies that the check detects a router that ignores the freshness target.
#[test]
fn read_router_without_age_check() {
    let result = run(&|table, request, now| {
        let freshness = Duration::from_secs(3600);
        ReadRouter.choose(
            table,
            &ReadRequest {
                freshness,
                ..*request
            },
            now,
        )
    });
    let error = result.expect_err("the variant must be caught");
    assert!(error.contains("is missing"), "{error}");
}
