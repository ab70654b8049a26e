//! Term, role and log of a member, and the rules of fencing and promotion.

use coriander_core::{ControlReply, LogPosition, MemberRole, TermNumber};
use serde::{Deserialize, Serialize};

use super::group_log::{GroupLog, LoggedStatement};

/// Body of fence, promote and follow requests.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ControlRequest {
    /// Proposed term.
    pub term: TermNumber,
    /// Identifier of the proposer.
    pub proposer: String,
    /// Address of the primary; only in follow requests.
    #[serde(default)]
    pub primary_address: Option<String>,
}

/// Replication state of a member, without I/O.
#[derive(Debug)]
pub struct GroupState {
    /// Current term.
    pub term: TermNumber,
    /// Proposer of the last accepted fence or follow request.
    pub proposer: Option<String>,
    /// Role in the current term.
    pub role: MemberRole,
    /// Address of the primary.
    pub primary: Option<String>,
    /// Whether the log was verified to be a prefix of the primary's log.
    pub is_log_matched: bool,
    /// Replicated log.
    pub log: GroupLog,
}

impl Default for GroupState {
    fn default() -> Self {
        Self {
            term: TermNumber::default(),
            proposer: None,
            role: MemberRole::Fenced,
            primary: None,
            is_log_matched: false,
            log: GroupLog::default(),
        }
    }
}

impl GroupState {
    /// Fences the member in a higher term; a repeated request of the same proposer is accepted.
    pub fn fence(&mut self, request: &ControlRequest) -> bool {
        if request.term > self.term {
            self.enter_term(request);
            return true;
        }
        request.term == self.term && self.proposer.as_deref() == Some(&request.proposer)
    }

    /// Makes a fenced member the primary and appends the first entry of the term.
    pub fn promote(&mut self, request: &ControlRequest, own_address: &str) -> bool {
        let fenced_by = self.proposer.as_deref() == Some(&request.proposer);
        if request.term != self.term || !fenced_by || self.role == MemberRole::Replica {
            return false;
        }
        if self.role == MemberRole::Fenced {
            self.log.append(self.term, Vec::new());
            self.role = MemberRole::Primary;
            self.primary = Some(own_address.to_owned());
            self.is_log_matched = true;
        }
        true
    }

    /// Makes the member a replica of the given primary.
    ///
    /// A follow request of the current term is accepted from any proposer: it is sent only after a
    /// majority has been fenced, so no other proposer can promote a member in the same term.
    pub fn follow(&mut self, request: &ControlRequest) -> bool {
        let Some(address) = &request.primary_address else {
            return false;
        };
        if request.term < self.term || request.term.get() == 0 {
            return false;
        }
        if request.term > self.term {
            self.enter_term(request);
        }
        if self.role == MemberRole::Primary {
            return false;
        }
        if self.role == MemberRole::Fenced || self.primary.as_ref() != Some(address) {
            self.is_log_matched = false;
        }
        self.role = MemberRole::Replica;
        self.primary = Some(address.clone());
        self.proposer = Some(request.proposer.clone());
        true
    }

    /// Returns whether the log ends in the given, current term and contains the index.
    pub fn has_confirmed(&self, term: TermNumber, index: u64) -> bool {
        let last = self.log.last_position();
        self.term == term && last.term == term && last.index >= index
    }

    /// Returns whether the member may execute statements.
    pub fn is_serving(&self) -> bool {
        self.role == MemberRole::Primary
            || (self.role == MemberRole::Replica && self.is_log_matched)
    }

    /// Appends a committed transaction; only valid on the primary.
    pub fn commit(&mut self, statements: Vec<LoggedStatement>) -> LogPosition {
        self.log.append(self.term, statements)
    }

    /// Returns the reply to a control request.
    pub fn control_reply(&self, accepted: bool) -> ControlReply {
        ControlReply {
            accepted,
            term: self.term,
            log: self.log.last_position(),
        }
    }

    fn enter_term(&mut self, request: &ControlRequest) {
        self.term = request.term;
        self.proposer = Some(request.proposer.clone());
        self.role = MemberRole::Fenced;
        self.primary = None;
        self.is_log_matched = false;
    }
}
