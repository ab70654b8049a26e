//! In-memory member that follows the rules of the design page, of which a test can break some.

use coriander_core::{
    ConfirmReply, ControlReply, GroupStatus, LogPosition, MemberRole, TermNumber,
};

use super::member_id;

/// A rule that a test breaks to show that the checks detect it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BrokenRule {
    /// Fence replies hide the log position, so the proposer cannot compare.
    HiddenPosition,
    /// Only one member is really fenced; the network forges the other replies.
    ForgedFence,
    /// Fenced members continue to replicate from the primary of an older term and to confirm.
    UnfencedReplication,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LogEntry {
    pub term: u64,
    /// Number of the write; `None` is the no-op of a new term.
    pub write: Option<u64>,
}

/// Entries after `base`, which is the term and index of the last entry before them. An index of 0
/// means the whole log.
#[derive(Clone, Debug)]
pub struct LogTail {
    pub term: u64,
    pub base: (u64, usize),
    pub entries: Vec<LogEntry>,
}

pub struct SimulatedMember {
    pub number: usize,
    pub term: u64,
    pub proposer: u64,
    pub role: MemberRole,
    pub primary: Option<usize>,
    pub log: Vec<LogEntry>,
    pub broken_rule: Option<BrokenRule>,
}

impl SimulatedMember {
    pub fn new(number: usize, broken_rule: Option<BrokenRule>) -> Self {
        let (role, log) = (MemberRole::Fenced, Vec::new());
        Self {
            number,
            term: 0,
            proposer: 0,
            role,
            primary: None,
            log,
            broken_rule,
        }
    }

    pub fn position(&self) -> LogPosition {
        let term = self.log.last().map_or(0, |entry| entry.term);
        LogPosition::new(TermNumber::new(term), self.log.len() as u64)
    }

    pub fn status(&self) -> GroupStatus {
        GroupStatus {
            member: member_id(self.number),
            term: TermNumber::new(self.term),
            role: self.role,
            log: self.position(),
            primary: None,
        }
    }

    fn ignores_fencing(&self) -> bool {
        self.broken_rule == Some(BrokenRule::UnfencedReplication)
    }

    fn reply(&self, accepted: bool) -> ControlReply {
        ControlReply {
            accepted,
            term: TermNumber::new(self.term),
            log: self.position(),
        }
    }

    pub fn fence(&mut self, term: u64, proposer: u64) -> ControlReply {
        let accepted = term > self.term || (term == self.term && proposer == self.proposer);
        if term > self.term {
            (self.term, self.proposer) = (term, proposer);
            if !self.ignores_fencing() || self.role == MemberRole::Primary {
                (self.role, self.primary) = (MemberRole::Fenced, None);
            }
        }
        let mut reply = self.reply(accepted);
        if self.broken_rule == Some(BrokenRule::HiddenPosition) {
            reply.log = LogPosition::new(TermNumber::new(term - 1), u64::MAX);
        }
        reply
    }

    /// Returns the reply and whether the member became primary by this call.
    pub fn promote(&mut self, term: u64, proposer: u64) -> (ControlReply, bool) {
        let accepted = term == self.term
            && proposer == self.proposer
            && (self.primary.is_none() || self.ignores_fencing());
        let is_new = accepted && self.role != MemberRole::Primary;
        if is_new {
            (self.role, self.primary) = (MemberRole::Primary, None);
            self.log.push(LogEntry { term, write: None });
        }
        (self.reply(accepted), is_new)
    }

    pub fn follow(&mut self, term: u64, primary: usize) -> ControlReply {
        let accepted = term > self.term || (term == self.term && self.role != MemberRole::Primary);
        if accepted {
            (self.term, self.role, self.primary) = (term, MemberRole::Replica, Some(primary));
        }
        self.reply(accepted)
    }

    pub fn write(&mut self, term: u64, write: u64) -> Option<LogPosition> {
        if term != self.term || self.role != MemberRole::Primary {
            return None;
        }
        self.log.push(LogEntry {
            term,
            write: Some(write),
        });
        Some(self.position())
    }

    pub fn confirm(&self, wanted: LogPosition) -> ConfirmReply {
        let log = self.position();
        let is_held = log.term == wanted.term && log.index >= wanted.index;
        let confirmed = is_held && self.term == wanted.term.get();
        if self.ignores_fencing() {
            return ConfirmReply {
                confirmed: is_held,
                term: wanted.term,
                log,
            };
        }
        ConfirmReply {
            confirmed,
            term: TermNumber::new(self.term),
            log,
        }
    }

    pub fn tail_after(&self, term: u64, last: LogPosition) -> Option<LogTail> {
        if self.role != MemberRole::Primary || (term != self.term && !self.ignores_fencing()) {
            return None;
        }
        let length = usize::try_from(last.index).expect("small log");
        let known = length
            .checked_sub(1)
            .and_then(|i| self.log.get(i))
            .map(|entry| entry.term);
        let is_prefix = known == Some(last.term.get());
        let base = if is_prefix {
            (last.term.get(), length)
        } else {
            (0, 0)
        };
        Some(LogTail {
            term: self.term,
            base,
            entries: self.log[base.1..].to_vec(),
        })
    }

    /// Never shortens the log within a term: replies may arrive out of order.
    pub fn append(&mut self, tail: LogTail) {
        if (tail.term != self.term && !self.ignores_fencing()) || self.role != MemberRole::Replica {
            return;
        }
        let (base_term, base) = tail.base;
        let base_entry = base.checked_sub(1).and_then(|i| self.log.get(i));
        if base > 0 && base_entry.map(|entry| entry.term) != Some(base_term) {
            return;
        }
        let last_term = tail.entries.last().map_or(0, |entry| entry.term);
        let last = (last_term, base + tail.entries.len());
        let own = self.position();
        if last > (own.term.get(), self.log.len()) {
            self.log.truncate(base);
            self.log.extend(tail.entries);
        }
    }

    /// A restarted member keeps its term and log but never resumes as primary.
    pub fn restart(&mut self, keeps_log: bool) {
        (self.role, self.primary) = (MemberRole::Fenced, None);
        if !keeps_log {
            self.log.clear();
            (self.term, self.proposer) = (0, 0);
        }
    }
}
