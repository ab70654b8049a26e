//! A database group in memory: its members, their connections and faults.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use coriander_core::{LogPosition, TermNumber};
use coriander_service_api::{
    FailureCode, LinkError, MemberConnector, MemberEntry, MemberLink, MemberRefusal, MemberReply,
    MemberRole, MemberStatement, MemberStatus, MemberTarget, ReplyBatch, TransactionStatus,
};

use super::GROUP;

/// Fault of a member for the next statement of a kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Runs the statement and sends no reply.
    LoseReply,
    /// Runs the statement, and the instance has no memory for the reply.
    NoMemory,
    /// Refuses the statement.
    Refuse(FailureCode),
}

/// One statement that a member has run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RanStatement {
    pub member: String,
    pub account: String,
    pub id: String,
    pub text: String,
    pub in_transaction: bool,
    pub values: Vec<(String, String)>,
}

pub struct FakeMember {
    pub role: Cell<MemberRole>,
    pub term: Cell<u64>,
    pub applied_index: Cell<u64>,
    /// Whether it receives commits unless it is paused.
    pub receives: Cell<bool>,
    /// Term of the pause in force; 0 without one.
    pub paused_term: Cell<u64>,
    pub reachable: Cell<bool>,
    pub max_connections: Cell<usize>,
    pub open_connections: Cell<usize>,
    pub handshake_time: Cell<Duration>,
    pub statement_time: Cell<Duration>,
    pub opened_connections: Cell<u64>,
    /// Faults by first word of the statement.
    pub faults: RefCell<HashMap<&'static str, VecDeque<Fault>>>,
}

impl FakeMember {
    fn position(&self) -> LogPosition {
        LogPosition::new(TermNumber::new(self.term.get()), self.applied_index.get())
    }

    pub fn is_paused(&self) -> bool {
        self.paused_term.get() > self.term.get()
    }
}

/// A database group in memory. Commits reach replicas only when a test sets their position.
pub struct FakeGroup {
    pub members: RefCell<HashMap<String, Rc<FakeMember>>>,
    pub ran_statements: RefCell<Vec<RanStatement>>,
    pub promoted: RefCell<Vec<(String, u64)>>,
    /// Index of the newest acknowledged commit of [`FakeGroup::commit`].
    pub acknowledged: Cell<u64>,
    /// Number of acknowledged commits that a promoted member lacked.
    pub lost_commits: Cell<u64>,
    weak_self: std::rc::Weak<Self>,
}

impl FakeGroup {
    pub fn new(names: &[&str]) -> Rc<Self> {
        let group = Rc::new_cyclic(|weak_self: &std::rc::Weak<Self>| Self {
            members: RefCell::default(),
            ran_statements: RefCell::default(),
            promoted: RefCell::default(),
            acknowledged: Cell::new(0),
            lost_commits: Cell::new(0),
            weak_self: weak_self.clone(),
        });
        for (index, name) in names.iter().enumerate() {
            let role = if index == 0 {
                MemberRole::Primary
            } else {
                MemberRole::Replica
            };
            let member = FakeMember {
                role: Cell::new(role),
                term: Cell::new(1),
                applied_index: Cell::new(10),
                receives: Cell::new(true),
                paused_term: Cell::new(0),
                reachable: Cell::new(true),
                max_connections: Cell::new(20),
                open_connections: Cell::new(0),
                handshake_time: Cell::new(Duration::ZERO),
                statement_time: Cell::new(Duration::ZERO),
                opened_connections: Cell::new(0),
                faults: RefCell::default(),
            };
            let members = &group.members;
            members.borrow_mut().insert((*name).into(), Rc::new(member));
        }
        group
    }

    pub fn member(&self, name: &str) -> Rc<FakeMember> {
        self.members.borrow()[name].clone()
    }

    pub fn add_fault(&self, member: &str, word: &'static str, fault: Fault) {
        let member = self.member(member);
        let mut faults = member.faults.borrow_mut();
        faults.entry(word).or_default().push_back(fault);
    }

    /// Commits a write at the primary, as a client of another instance does. It is acknowledged if
    /// `sync_replicas` replicas have received it. Returns whether it was.
    pub fn commit(&self, sync_replicas: usize) -> bool {
        let members = self.members.borrow();
        let primary = members
            .values()
            .find(|member| member.role.get() == MemberRole::Primary);
        let Some(primary) = primary else {
            return false;
        };
        let index = primary.applied_index.get() + 1;
        primary.applied_index.set(index);
        let replicas = members
            .values()
            .filter(|member| member.role.get() == MemberRole::Replica);
        let receiving: Vec<_> = replicas
            .filter(|member| member.receives.get() && !member.is_paused())
            .collect();
        for replica in &receiving {
            replica.applied_index.set(index);
        }
        let is_acknowledged = receiving.len() >= sync_replicas;
        if is_acknowledged {
            self.acknowledged.set(index);
        }
        is_acknowledged
    }

    /// Makes a member primary of the next term with what it has received.
    pub fn lead(&self, name: &str) {
        let members = self.members.borrow();
        let promoted = &members[name];
        if promoted.role.get() == MemberRole::Primary {
            return;
        }
        let lacking = self
            .acknowledged
            .get()
            .saturating_sub(promoted.applied_index.get());
        self.lost_commits.set(self.lost_commits.get() + lacking);
        let newest = members.values().map(|member| member.term.get()).max();
        for member in members.values() {
            member.role.set(MemberRole::Replica);
            member.term.set(newest.unwrap_or(1) + 1);
            member.paused_term.set(0);
        }
        promoted.role.set(MemberRole::Primary);
    }

    /// Returns the statements of clients that members have run, in order.
    pub fn ran_texts(&self) -> Vec<String> {
        let ran = self.ran_statements.borrow();
        let text = |statement: &RanStatement| format!("{} {}", statement.member, statement.text);
        ran.iter().map(text).collect()
    }

    pub fn entries(&self) -> Vec<MemberEntry> {
        let members = self.members.borrow();
        let mut entries: Vec<_> = members
            .iter()
            .map(|(name, member)| member_entry(name, member.role.get()))
            .collect();
        entries.sort_by(|a, b| a.id.cmp(&b.id));
        entries
    }
}

pub fn member_entry(name: &str, role: MemberRole) -> MemberEntry {
    let port = 1_000 + u16::from(name.as_bytes()[0]);
    MemberEntry {
        id: name.into(),
        group: GROUP.into(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        zone: "berrechid".into(),
        draining: false,
        role,
        warm_up_remaining: Duration::ZERO,
        started_at_ms: 1,
        revision: 1,
    }
}

struct FakeLink {
    group: Rc<FakeGroup>,
    member: Rc<FakeMember>,
    name: String,
    account: String,
    in_transaction: bool,
    read_only: bool,
    has_written: bool,
    values: Vec<(String, String)>,
    prepared: HashMap<String, String>,
}

impl Drop for FakeLink {
    fn drop(&mut self) {
        self.member
            .open_connections
            .set(self.member.open_connections.get() - 1);
    }
}

#[async_trait(?Send)]
impl MemberConnector for FakeGroup {
    async fn connect(
        &self,
        target: &MemberTarget,
        limit: Duration,
    ) -> Result<Box<dyn MemberLink>, LinkError> {
        let member = self.member(&target.member);
        if !member.reachable.get() {
            return Err(LinkError::ConnectTimeout(limit));
        }
        if member.open_connections.get() >= member.max_connections.get() {
            return Err(LinkError::Declined(MemberRefusal {
                code: FailureCode::TooManyConnections,
                detail: "full".into(),
            }));
        }
        member
            .open_connections
            .set(member.open_connections.get() + 1);
        member
            .opened_connections
            .set(member.opened_connections.get() + 1);
        let link = FakeLink {
            group: self.weak_self.upgrade().expect("group is alive"),
            member: member.clone(),
            name: target.member.to_string(),
            account: target.account.to_string(),
            in_transaction: false,
            read_only: false,
            has_written: false,
            values: Vec::new(),
            prepared: HashMap::new(),
        };
        tokio::time::sleep(member.handshake_time.get()).await;
        Ok(Box::new(link))
    }

    async fn probe(&self, address: SocketAddr, limit: Duration) -> Result<(), LinkError> {
        let name = u8::try_from(address.port() - 1_000).expect("port of a member");
        let members = self.members.borrow();
        let member = members.iter().find(|(id, _)| id.as_bytes()[0] == name);
        if member.is_some_and(|(_, member)| member.reachable.get()) {
            return Ok(());
        }
        Err(LinkError::ConnectTimeout(limit))
    }

    fn parse_status(&self, reply: &MemberReply) -> Option<MemberStatus> {
        let row = reply.rows.first()?;
        let (role, row) = row.split_once(' ')?;
        let (received, paused_term) = row.split_once(' ')?;
        let received: LogPosition = received.parse().ok()?;
        let paused_term: u64 = paused_term.parse().ok()?;
        let role = if role == "primary" {
            MemberRole::Primary
        } else {
            MemberRole::Replica
        };
        Some(MemberStatus {
            role,
            term: received.term,
            received,
            is_paused: paused_term > received.term.get(),
        })
    }
}

#[async_trait(?Send)]
impl MemberLink for FakeLink {
    async fn run(
        &mut self,
        statements: &[MemberStatement],
        limit: Duration,
    ) -> Result<ReplyBatch, LinkError> {
        // A link ends an exchange at its limit, also when the member would reply later.
        let mut remaining = limit;
        let mut replies = ReplyBatch::new();
        for statement in statements {
            let word = first_word(statement);
            let fault = {
                let mut faults = self.member.faults.borrow_mut();
                faults.get_mut(word).and_then(VecDeque::pop_front)
            };
            if !self.member.reachable.get() {
                tokio::time::sleep(limit).await;
                return Err(LinkError::ReplyTimeout(limit));
            }
            if let Some(Fault::Refuse(code)) = fault {
                replies.push(self.reply(Err(refusal(code))));
                continue;
            }
            let statement_time = self.member.statement_time.get();
            if statement_time > remaining {
                tokio::time::sleep(remaining).await;
                return Err(LinkError::ReplyTimeout(limit));
            }
            remaining -= statement_time;
            tokio::time::sleep(statement_time).await;
            let result = self.apply(statement);
            replies.push(result);
            if fault == Some(Fault::NoMemory) {
                return Err(LinkError::NoMemory);
            }
            if fault == Some(Fault::LoseReply) {
                tokio::time::sleep(limit).await;
                return Err(LinkError::ReplyTimeout(limit));
            }
        }
        Ok(replies)
    }

    fn is_broken(&self) -> bool {
        false
    }
}

fn refusal(code: FailureCode) -> MemberRefusal {
    MemberRefusal {
        code,
        detail: "injected".into(),
    }
}

fn first_word(statement: &MemberStatement) -> &'static str {
    match statement {
        MemberStatement::Forward { text, .. } if text.starts_with("READ") => "READ",
        MemberStatement::Forward { text, .. } if text.starts_with("WRITE") => "WRITE",
        MemberStatement::Forward { .. } => "COMMIT",
        MemberStatement::Execute { .. } => "EXECUTE",
        MemberStatement::Begin { .. } => "BEGIN",
        MemberStatement::Rollback => "ROLLBACK",
        MemberStatement::Set { .. } => "SET",
        MemberStatement::Prepare { .. } => "PREPARE",
        MemberStatement::Reset => "RESET",
        MemberStatement::Status => "STATUS",
        MemberStatement::Demote { .. } => "DEMOTE",
        MemberStatement::Pause { .. } => "PAUSE",
        MemberStatement::Resume => "RESUME",
    }
}

impl FakeLink {
    fn is_primary(&self) -> bool {
        self.member.role.get() == MemberRole::Primary
    }

    fn reply(&self, result: Result<Arc<str>, MemberRefusal>) -> MemberReply {
        let status = match (&result, self.in_transaction) {
            (_, false) => TransactionStatus::Idle,
            (Ok(_), true) => TransactionStatus::Open,
            (Err(refusal), true) if refusal.code == FailureCode::Busy => TransactionStatus::Open,
            (Err(_), true) => TransactionStatus::Failed,
        };
        MemberReply {
            rows: Vec::new(),
            result,
            transaction: status,
            position: Some(self.member.position()),
        }
    }

    fn run_client(&mut self, id: &str, text: &str) -> MemberReply {
        let writes = text.starts_with("WRITE") || text.starts_with("EXECUTE WRITE");
        if text == "COMMIT" {
            self.in_transaction = false;
            if self.has_written {
                self.member
                    .applied_index
                    .set(self.member.applied_index.get() + 1);
            }
            self.has_written = false;
        } else if self.in_transaction && !self.read_only && !self.is_primary()
            || writes && !self.is_primary()
        {
            return self.reply(Err(refusal(FailureCode::ReadOnly)));
        } else if writes && self.in_transaction {
            self.has_written = true;
        } else if writes {
            self.member
                .applied_index
                .set(self.member.applied_index.get() + 1);
        }
        self.group.ran_statements.borrow_mut().push(RanStatement {
            member: self.name.clone(),
            account: self.account.clone(),
            id: id.into(),
            text: text.into(),
            in_transaction: self.in_transaction,
            values: self.values.clone(),
        });
        let mut reply = self.reply(Ok(format!("signed-{id}").into()));
        if !writes && text != "COMMIT" {
            reply.rows.push(format!("row-of-{text}").into());
        }
        reply
    }

    fn lacks_position(&self, min_position: Option<LogPosition>) -> bool {
        min_position.is_some_and(|position| self.member.position() < position)
    }

    fn apply(&mut self, statement: &MemberStatement) -> MemberReply {
        match statement {
            MemberStatement::Forward { min_position, .. }
            | MemberStatement::Execute { min_position, .. }
                if self.lacks_position(*min_position) =>
            {
                self.reply(Err(refusal(FailureCode::Lagging)))
            }
            MemberStatement::Forward { id, text, .. } => self.run_client(id, text),
            MemberStatement::Execute {
                id,
                name,
                arguments,
                ..
            } => match self.prepared.get(&**name).cloned() {
                Some(shape) => self.run_client(id, &format!("EXECUTE {shape} {arguments}")),
                None => self.reply(Err(refusal(FailureCode::UnknownName))),
            },
            MemberStatement::Begin { min_position, .. } if self.lacks_position(*min_position) => {
                self.reply(Err(refusal(FailureCode::Lagging)))
            }
            MemberStatement::Begin { read_only, .. } => {
                if !read_only && !self.is_primary() {
                    return self.reply(Err(refusal(FailureCode::ReadOnly)));
                }
                self.in_transaction = true;
                self.read_only = *read_only;
                self.reply(Ok("-".into()))
            }
            MemberStatement::Rollback => {
                self.in_transaction = false;
                self.has_written = false;
                self.reply(Ok("-".into()))
            }
            MemberStatement::Set { name, value } => {
                self.values.retain(|(known, _)| **known != **name);
                self.values.push((name.to_string(), value.to_string()));
                self.reply(Ok("-".into()))
            }
            MemberStatement::Prepare {
                name,
                access,
                shape,
            } => {
                let text = format!("{access:?} {shape}").to_uppercase();
                self.prepared.insert(name.to_string(), text);
                self.reply(Ok("-".into()))
            }
            MemberStatement::Reset => {
                self.values.clear();
                self.prepared.clear();
                self.reply(Ok("-".into()))
            }
            MemberStatement::Status => self.status(),
            MemberStatement::Demote { term } => {
                if term.get() > self.member.term.get() {
                    self.member.role.set(MemberRole::Replica);
                }
                self.status()
            }
            MemberStatement::Pause { term } => {
                self.member.paused_term.set(term.get());
                self.status()
            }
            MemberStatement::Resume => {
                self.member.paused_term.set(0);
                self.status()
            }
        }
    }

    fn status(&self) -> MemberReply {
        let role = if self.is_primary() {
            "primary"
        } else {
            "replica"
        };
        let mut reply = self.reply(Ok("-".into()));
        let paused_term = self.member.paused_term.get();
        let row = format!("{role} {} {paused_term}", self.member.position());
        reply.rows.push(row.into());
        reply
    }
}
