//! Database members: logs, roles, replication, promotions, and the line protocol.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::record::Record;

/// Statements that a member runs at a time.
const SLOTS: usize = 3;

/// Statements that wait for a slot; further ones are refused as busy.
const QUEUE: usize = 24;

/// Time that opening a connection takes a slot.
const HANDSHAKE: Duration = Duration::from_millis(12);

/// A position in a log.
pub type Position = (u64, u64);

/// One commit: its position, and the id, item and data of each write.
#[derive(Clone)]
pub struct Entry {
    pub position: Position,
    pub writes: Vec<(String, String, String)>,
}

pub struct MemberState {
    pub id: String,
    pub zone: String,
    pub address: SocketAddr,
    pub is_primary: bool,
    pub term: u64,
    pub log: Vec<Entry>,
    items: HashMap<String, String>,
    /// Receives nothing of the log.
    pub is_deaf: bool,
    pub is_draining: bool,
    /// Reaches the platform's store.
    pub reaches_store: bool,
    pub born: u64,
    /// Does not write its entry before this time.
    pub checks_in_after: Instant,
    connections: usize,
    busy: usize,
    waiting: usize,
}

impl MemberState {
    pub fn received(&self) -> Position {
        self.log.last().map_or((1, 0), |entry| entry.position)
    }

    fn push(&mut self, entry: Entry) {
        for (_, item, data) in &entry.writes {
            self.items.insert(item.clone(), data.clone());
        }
        self.log.push(entry);
    }

    fn copy_log(&mut self, log: &[Entry]) {
        let mut length = self.log.len().min(log.len());
        while length > 0 && self.log[length - 1].position != log[length - 1].position {
            length -= 1;
        }
        if length < self.log.len() {
            let kept: Vec<Entry> = self.log.drain(..length).collect();
            self.log.clear();
            self.items.clear();
            for entry in kept {
                self.push(entry);
            }
        }
        for entry in &log[length..] {
            self.push(entry.clone());
        }
    }
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

/// How a group behaves.
#[derive(Clone, Copy)]
pub struct GroupPlan {
    pub sync_replicas: usize,
    pub promote_time: Duration,
    pub max_connections: usize,
    /// Time of a statement in its slot.
    pub work: Duration,
    /// Rows of a read of an item whose name begins with `report`, and the length of each.
    pub report_rows: usize,
    pub report_row_bytes: usize,
}

pub struct Group {
    pub name: String,
    pub plan: GroupPlan,
    state: Mutex<Vec<MemberState>>,
    changed: Condvar,
    record: Arc<Record>,
    /// Whether a member receives nothing from the moment that its promotion is accepted.
    pub goes_deaf_at_promotion: AtomicBool,
}

impl Group {
    pub fn start(
        name: &str,
        plan: GroupPlan,
        members: &[(String, String, SocketAddr)],
        record: &Arc<Record>,
    ) -> std::io::Result<Arc<Self>> {
        let states = members.iter().enumerate().map(|(number, (id, zone, address))| MemberState {
            id: id.clone(),
            zone: zone.clone(),
            address: *address,
            is_primary: number == 0,
            term: 1,
            log: Vec::new(),
            items: HashMap::new(),
            is_deaf: false,
            is_draining: false,
            reaches_store: true,
            born: unix_ms(),
            checks_in_after: Instant::now(),
            connections: 0,
            busy: 0,
            waiting: 0,
        });
        let group = Arc::new(Self {
            name: name.to_owned(),
            plan,
            state: Mutex::new(states.collect()),
            changed: Condvar::new(),
            record: record.clone(),
            goes_deaf_at_promotion: AtomicBool::new(false),
        });
        for (number, (_, _, address)) in members.iter().enumerate() {
            let listener = TcpListener::bind(address)?;
            let group = group.clone();
            thread::spawn(move || group.listen(number, listener));
        }
        Ok(group)
    }

    fn listen(self: Arc<Self>, number: usize, listener: TcpListener) {
        for stream in listener.incoming().flatten() {
            let group = self.clone();
            thread::spawn(move || group.serve(number, stream));
        }
    }

    pub fn lock(&self) -> MutexGuard<'_, Vec<MemberState>> {
        self.state.lock().expect("group")
    }

    /// Returns the number of the primary of the newest term.
    pub fn primary(&self) -> usize {
        let members = self.lock();
        let primaries = (0..members.len()).filter(|number| members[*number].is_primary);
        primaries.max_by_key(|number| members[*number].term).unwrap_or(0)
    }

    /// Changes whether a member receives the log.
    pub fn set_deaf(&self, number: usize, is_deaf: bool) {
        let mut members = self.lock();
        members[number].is_deaf = is_deaf;
        Self::replicate(&mut members);
        self.changed.notify_all();
    }

    fn replicate(members: &mut [MemberState]) {
        let primaries = (0..members.len()).filter(|number| members[*number].is_primary);
        let Some(primary) = primaries.max_by_key(|number| members[*number].term) else { return };
        let (log, term) = (members[primary].log.clone(), members[primary].term);
        for (number, member) in members.iter_mut().enumerate() {
            if number != primary && !member.is_deaf {
                member.is_primary = false;
                member.term = term;
                member.copy_log(&log);
            }
        }
    }

    /// The platform's call: the member leads the next term after `promote_time`.
    pub fn promote(self: &Arc<Self>, id: &str) -> u16 {
        let mut members = self.lock();
        let Some(number) = members.iter().position(|member| member.id == id) else { return 409 };
        if members[number].is_primary {
            return 200;
        }
        if self.goes_deaf_at_promotion.swap(false, Ordering::Relaxed) {
            members[number].is_deaf = true;
            self.record.note(&format!("{id} receives nothing"));
        }
        drop(members);
        let group = self.clone();
        thread::spawn(move || {
            thread::sleep(group.plan.promote_time);
            group.lead(number);
        });
        200
    }

    fn lead(&self, number: usize) {
        let mut members = self.lock();
        if members[number].is_primary {
            return;
        }
        let term = members.iter().map(|member| member.term).max().unwrap_or(1) + 1;
        for member in members.iter_mut() {
            member.is_primary = false;
        }
        members[number].term = term;
        members[number].is_primary = true;
        let (id, received) = (members[number].id.clone(), members[number].received());
        let held: std::collections::HashSet<String> = members[number]
            .log
            .iter()
            .flat_map(|entry| entry.writes.iter().map(|write| write.0.clone()))
            .collect();
        self.record.add_promotion(&self.name, &id, term, received, held);
        Self::replicate(&mut members);
        self.changed.notify_all();
    }

    /// Appends a commit at the primary; `None` if the member does not lead.
    fn commit(&self, number: usize, writes: Vec<(String, String, String)>) -> Option<Position> {
        let mut members = self.lock();
        if !members[number].is_primary {
            return None;
        }
        let term = members[number].term;
        let position = (term, members[number].received().1 + 1);
        members[number].push(Entry { position, writes });
        Self::replicate(&mut members);
        loop {
            let has_it = |member: &MemberState| {
                !member.is_primary && !member.is_deaf && member.received() >= position
            };
            if members.iter().filter(|member| has_it(member)).count() >= self.plan.sync_replicas {
                return Some(position);
            }
            if !members[number].is_primary {
                return None;
            }
            members = self.changed.wait_timeout(members, Duration::from_millis(50)).expect("group").0;
        }
    }

    /// Takes a slot for `work`. Returns false if the member is busy.
    fn work(&self, number: usize, work: Duration) -> bool {
        let mut members = self.lock();
        if members[number].waiting >= QUEUE {
            return false;
        }
        members[number].waiting += 1;
        while members[number].busy >= SLOTS {
            members = self.changed.wait_timeout(members, Duration::from_millis(50)).expect("group").0;
        }
        members[number].waiting -= 1;
        members[number].busy += 1;
        drop(members);
        thread::sleep(work);
        self.lock()[number].busy -= 1;
        self.changed.notify_all();
        true
    }

    fn serve(&self, number: usize, stream: TcpStream) {
        self.lock()[number].connections += 1;
        let _ = self.serve_session(number, stream);
        self.lock()[number].connections -= 1;
    }

    fn serve_session(&self, number: usize, stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut writer = stream;
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let words: Vec<&str> = line.split_whitespace().collect();
        let id = self.lock()[number].id.clone();
        if words.len() < 3 || words[0] != "STARTUP" || words[1] != self.name || (words.len() > 3 && words[3] != id) {
            writer.write_all(b"ERROR MISROUTED another member\r\n").ok()?;
            return None;
        }
        if self.lock()[number].connections > self.plan.max_connections {
            writer.write_all(b"ERROR TOOMANY connections\r\n").ok()?;
            return None;
        }
        if !self.work(number, HANDSHAKE) {
            writer.write_all(b"ERROR BUSY\r\n").ok()?;
            return None;
        }
        let mut session = Session { group: self, number, tenant: words[2].to_owned(), prepared: HashMap::new(), open: None, failed: false };
        writer.write_all(format!("READY I {}\r\n", session.position()).as_bytes()).ok()?;
        loop {
            line.clear();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let rest = line.trim_end_matches(['\r', '\n']).strip_prefix("QUERY ")?;
            let (query, text) = rest.split_once(' ').unwrap_or((rest, ""));
            let answer = session.execute(query, text);
            let mut out = String::new();
            for row in &answer.rows {
                out.push_str("ROW ");
                out.push_str(row);
                out.push_str("\r\n");
            }
            match &answer.result {
                Ok(receipt) => out.push_str(&format!("COMPLETE {receipt}\r\n")),
                Err(code) => out.push_str(&format!("ERROR {code} -\r\n")),
            }
            let letter = if session.failed { 'E' } else if session.open.is_some() { 'T' } else { 'I' };
            out.push_str(&format!("READY {letter} {}\r\n", session.position()));
            writer.write_all(out.as_bytes()).ok()?;
        }
    }
}

struct OpenTransaction {
    read_only: bool,
    writes: Vec<(String, String, String)>,
}

struct Session<'a> {
    group: &'a Group,
    number: usize,
    tenant: String,
    prepared: HashMap<String, (bool, String)>,
    open: Option<OpenTransaction>,
    failed: bool,
}

struct Answer {
    rows: Vec<String>,
    result: Result<String, &'static str>,
}

fn answer(result: Result<String, &'static str>) -> Answer {
    Answer { rows: Vec::new(), result }
}

impl Session<'_> {
    fn position(&self) -> String {
        let received = self.group.lock()[self.number].received();
        format!("{}.{}", received.0, received.1)
    }

    fn is_primary(&self) -> bool {
        self.group.lock()[self.number].is_primary
    }

    fn execute(&mut self, id: &str, text: &str) -> Answer {
        let mut text = text;
        if let Some(rest) = text.strip_prefix("AFTERLSN ") {
            let (position, statement) = rest.split_once(' ').unwrap_or((rest, ""));
            let (term, number) = position.split_once('.').unwrap_or((position, "0"));
            let wanted = (term.parse().unwrap_or(0), number.parse().unwrap_or(0));
            text = statement;
            if self.group.lock()[self.number].received() < wanted {
                return answer(Err("LAGGING"));
            }
        }
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        let (first, second) = rest.split_once(' ').unwrap_or((rest, ""));
        match word {
            "SET" => answer(Ok("-".into())),
            "RESET" => {
                self.prepared.clear();
                answer(Ok("-".into()))
            }
            "PREPARE" => {
                let (access, shape) = second.split_once(' ').unwrap_or((second, ""));
                self.prepared.insert(first.to_owned(), (access == "WRITE", shape.to_owned()));
                answer(Ok("-".into()))
            }
            "STATUS" | "DEMOTE" => self.status(word, first),
            "ROLLBACK" => {
                self.open = None;
                self.failed = false;
                answer(Ok("-".into()))
            }
            _ if self.failed => answer(Err("MALFORMED")),
            "BEGIN" => {
                let read_only = rest == "READ";
                if !read_only && !self.is_primary() {
                    return answer(Err("READONLY"));
                }
                self.open = Some(OpenTransaction { read_only, writes: Vec::new() });
                answer(Ok("-".into()))
            }
            "READ" | "WRITE" | "COMMIT" => self.run(id, word, first, second, text),
            "EXECUTE" => match self.prepared.get(first).cloned() {
                Some((writes, _)) => {
                    let (item, data) = second.split_once(' ').unwrap_or((second, ""));
                    let (item, data) = (item.to_owned(), data.to_owned());
                    self.run(id, if writes { "WRITE" } else { "READ" }, &item, &data, text)
                }
                None => answer(Err("NOSTMT")),
            },
            _ => answer(Err("MALFORMED")),
        }
    }

    fn status(&self, word: &str, term: &str) -> Answer {
        if !self.group.work(self.number, Duration::from_millis(1)) {
            return answer(Err("BUSY"));
        }
        let mut members = self.group.lock();
        let member = &mut members[self.number];
        if word == "DEMOTE" && member.is_primary && term.parse().unwrap_or(0) > member.term {
            member.is_primary = false;
            self.group.record.note(&format!("demoted {}", member.id));
        }
        let role = if member.is_primary { "primary" } else { "replica" };
        let (position, term) = (member.received(), member.term);
        let row = format!("{role} {term} {}.{} 0 0 {} {}", position.0, position.1, member.busy, member.connections);
        Answer { rows: vec![row], result: Ok("-".into()) }
    }

    fn run(&mut self, id: &str, word: &str, item: &str, data: &str, text: &str) -> Answer {
        if !self.group.work(self.number, self.group.plan.work) {
            return answer(Err("BUSY"));
        }
        let is_primary = self.is_primary();
        let has_writes = self.open.as_ref().is_some_and(|open| !open.writes.is_empty());
        let is_plain = self.open.as_ref().is_some_and(|open| !open.read_only);
        let result = if !is_primary && (word == "WRITE" || is_plain && (word != "COMMIT" || has_writes)) {
            Err("READONLY")
        } else {
            self.group.record.run(&self.group.name, self.number, &self.tenant, id, text);
            match word {
                "READ" => return self.read(id, item),
                "WRITE" => {
                    let write = (id.to_owned(), item.to_owned(), data.to_owned());
                    match &mut self.open {
                        Some(open) => {
                            open.writes.push(write);
                            Ok(())
                        }
                        None => self.group.commit(self.number, vec![write]).map(drop).ok_or("READONLY"),
                    }
                }
                _ => match self.open.take() {
                    None => Err("MALFORMED"),
                    Some(open) if open.writes.is_empty() => Ok(()),
                    Some(open) => self.group.commit(self.number, open.writes).map(drop).ok_or("READONLY"),
                },
            }
        };
        if result.is_err() && self.open.is_some() {
            self.failed = true;
        }
        answer(result.map(|()| self.group.record.receipt(id)))
    }

    fn read(&self, id: &str, item: &str) -> Answer {
        let rows = if item.starts_with("report") {
            let row = "x".repeat(self.group.plan.report_row_bytes);
            vec![row; self.group.plan.report_rows]
        } else {
            let value = self.group.lock()[self.number].items.get(item).cloned();
            vec![value.unwrap_or_else(|| "none".into())]
        };
        Answer { rows, result: Ok(self.group.record.receipt(id)) }
    }
}

/// Waits until a condition holds, for at most `limit`.
pub fn wait_until(limit: Duration, condition: impl Fn() -> bool) -> bool {
    let end = Instant::now() + limit;
    while !condition() {
        if Instant::now() >= end {
            return false;
        }
        thread::sleep(Duration::from_millis(20));
    }
    true
}
