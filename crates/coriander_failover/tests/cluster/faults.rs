//! Faults that tests inject, and the checks of every acknowledgement and promotion.

use coriander_core::{ConfirmReply, MemberRole};
use coriander_failover::AckState;

use super::{Cluster, Event, Node, group_members, member_id};

/// A fault that a schedule injects.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    KillMember(usize),
    KillPrimary,
    RestartMember(usize),
    /// Restarts with an empty disk.
    WipeMember(usize),
    PauseMember(usize, u64),
    PausePrimary(u64),
    /// Drops all messages between a member and all others.
    IsolateMember(usize),
    IsolatePrimary,
    HealAll,
    PauseProposer(usize, u64),
    /// Replaces a proposer by a new one without state.
    RestartProposer(usize),
    TakeOutZone(usize),
}

impl Cluster {
    pub(super) fn record_confirm(&mut self, p: usize, write: u64, m: usize, reply: ConfirmReply) {
        let Some((ack, position, _)) = self.proposers[p].writes.get_mut(&write) else {
            return;
        };
        let position = *position;
        if ack.record(&member_id(m), &reply) != AckState::Acknowledged {
            return;
        }
        self.proposers[p].writes.remove(&write);
        let now = self.time();
        self.proposers[p].monitor.record_acknowledged(position, now);
        let term = position.term.get();
        self.acknowledged
            .push((write, term, self.sent_at[&write], self.now));
        for (later, (member, writes)) in self.promotions.range(term + 1..) {
            if !writes.contains(&write) {
                self.violations.push(format!(
                    "write {write} acknowledged in term {term} after primary {member} of term {later}"
                ));
            }
        }
    }

    pub(super) fn check_promotion(&mut self, m: usize, term: u64) {
        let writes: Vec<u64> = self.members[m].log.iter().filter_map(|e| e.write).collect();
        for (write, acknowledged, ..) in &self.acknowledged {
            if *acknowledged < term && !writes.contains(write) {
                self.violations
                    .push(format!("primary {m} of term {term} lacks write {write}"));
            }
        }
        if let Some((other, _)) = self.promotions.insert(term, (m, writes))
            && other != m
        {
            self.violations
                .push(format!("primaries {other} and {m} of term {term}"));
        }
        self.promotion_times.push(self.now);
    }

    pub(super) fn current_primary(&self) -> usize {
        let primaries = self
            .members
            .iter()
            .filter(|m| m.role == MemberRole::Primary);
        primaries.max_by_key(|m| m.term).map_or(0, |m| m.number)
    }

    pub(super) fn inject(&mut self, fault: Fault) {
        let primary = self.current_primary();
        match fault {
            Fault::KillMember(m) => self.killed.push(m),
            Fault::KillPrimary => self.killed.push(primary),
            Fault::RestartMember(m) => {
                if self.killed.contains(&m) {
                    self.killed.retain(|killed| *killed != m);
                    self.members[m].restart(true);
                }
            }
            Fault::WipeMember(m) => {
                self.killed.retain(|killed| *killed != m);
                self.members[m].restart(false);
            }
            Fault::PauseMember(m, time) => self.pause(Node::Member(m), time),
            Fault::PausePrimary(time) => self.pause(Node::Member(primary), time),
            Fault::IsolateMember(m) => self.isolated.push(m),
            Fault::IsolatePrimary => self.isolated.push(primary),
            Fault::HealAll => self.isolated.clear(),
            Fault::PauseProposer(p, time) => self.pause(Node::Proposer(p), time),
            Fault::RestartProposer(p) => {
                self.proposers[p] = self.new_proposer(p);
                self.push(0, Event::Tick(p));
            }
            Fault::TakeOutZone(m) => {
                let mut members = group_members();
                members[m].is_zone_out = true;
                let now = self.time();
                for proposer in &mut self.proposers {
                    proposer.monitor.set_members(&members, now);
                }
            }
        }
    }

    pub(super) fn pause(&mut self, node: Node, time: u64) {
        if !self.paused.contains(&node) {
            self.paused.push(node);
            self.push(time, Event::Resume(node));
        }
    }

    pub(super) fn resume(&mut self, node: Node) {
        self.paused.retain(|paused| *paused != node);
        let (ready, deferred_events) = self
            .deferred_events
            .drain(..)
            .partition(|(deferred_node, _)| *deferred_node == node);
        self.deferred_events = deferred_events;
        for (_, event) in ready {
            if let Event::Tick(p) = event {
                self.proposers[p].tick_at = self.now;
            }
            self.push(0, event);
        }
    }
}
