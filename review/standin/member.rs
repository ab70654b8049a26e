//! Stand-in for the members of a service.

use std::collections::{BTreeMap, HashMap};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::record::{Record, Run};
use crate::store::Store;

/// Time that a new connection takes.
const OPEN_TIME: Duration = Duration::from_millis(12);

/// How far replicas are behind.
const REPLICA_LAG: Duration = Duration::from_millis(60);

/// Time from an accepted promotion until the member leads.
const PROMOTE_TIME: Duration = Duration::from_millis(600);

/// Interval between two check-ins.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Number of the primary while there is none.
const NO_PRIMARY: usize = usize::MAX;

/// Maximum number of connections of a member.
pub const MAX_CONNECTIONS: usize = 21;

struct Commit {
    term: u64,
    index: u64,
    at: Instant,
    writes: Vec<(String, String)>,
}

struct GroupState {
    primary: usize,
    term: u64,
    log: Vec<Commit>,
}

/// A service: one primary and its replicas, whose logs never differ.
pub struct Group {
    pub name: String,
    /// Identifier, zone and address of each member.
    pub members: Vec<(String, String, SocketAddr)>,
    state: Mutex<GroupState>,
    receipts: AtomicU64,
    work: Duration,
    record: Record,
}

impl Group {
    /// Starts one member in each zone; the first one is the primary. Each statement takes `work`.
    /// Identifiers of the members begin with `prefix`.
    pub fn start(
        name: &str,
        prefix: &str,
        zones: &[&str],
        work: Duration,
        record: &Record,
    ) -> Arc<Self> {
        let bind = |_: &&str| TcpListener::bind("127.0.0.1:0").unwrap();
        let listeners: Vec<_> = zones.iter().map(bind).collect();
        let member = |(number, zone): (usize, &&str)| {
            let address = listeners[number].local_addr().unwrap();
            (format!("{prefix}-{number}"), (*zone).to_owned(), address)
        };
        let group = Arc::new(Self {
            name: name.to_owned(),
            members: zones.iter().enumerate().map(member).collect(),
            state: Mutex::new(GroupState {
                primary: 0,
                term: 3,
                log: vec![Commit {
                    term: 3,
                    index: 1_200,
                    at: Instant::now(),
                    writes: Vec::new(),
                }],
            }),
            receipts: AtomicU64::new(0),
            work,
            record: record.clone(),
        });
        for (number, listener) in listeners.into_iter().enumerate() {
            let group = group.clone();
            let open = Arc::new(AtomicUsize::new(0));
            std::thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let (group, open) = (group.clone(), open.clone());
                    std::thread::spawn(move || {
                        open.fetch_add(1, Ordering::SeqCst);
                        let _ = Connection::serve(&group, number, stream, &open);
                        open.fetch_sub(1, Ordering::SeqCst);
                    });
                }
            });
        }
        group
    }

    /// Keeps the entries of the members in the store up to date.
    pub fn check_in(self: &Arc<Self>, store: &Store) {
        let (group, store) = (self.clone(), store.clone());
        let mut roles = vec![false; self.members.len()];
        let mut sequence = 0;
        let mut due = Instant::now();
        std::thread::spawn(move || {
            loop {
                let primary = group.state.lock().unwrap().primary;
                let is_due = Instant::now() >= due;
                if is_due {
                    due += HEARTBEAT;
                }
                for (number, (id, zone, address)) in group.members.iter().enumerate() {
                    let leads = number == primary;
                    if is_due || roles[number] != leads {
                        roles[number] = leads;
                        sequence += 1;
                        let role = if leads { "primary" } else { "replica" };
                        let entry = format!(
                            r#"{{"service":"{}","address":"{address}","zone":"{zone}","version":"v1","capacity":3,"state":"ready","warmupLeftMs":0,"dbRole":"{role}","sequence":{sequence},"born":1780000000000}}"#,
                            group.name
                        );
                        store.put(&format!("servers/{id}"), &entry);
                    }
                }
                std::thread::sleep(Duration::from_millis(10));
            }
        });
    }

    /// Makes a member primary after some time. Returns false if there is no such member.
    pub fn promote(self: &Arc<Self>, id: &str) -> bool {
        let Some(number) = self.members.iter().position(|member| member.0 == id) else {
            return false;
        };
        let group = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(PROMOTE_TIME);
            let mut state = group.state.lock().unwrap();
            if state.primary != number {
                state.primary = number;
                state.term += 1;
                let id = &group.members[number].0;
                group
                    .record
                    .write(&format!("member    {id} leads term {}", state.term));
            }
        });
        true
    }

    /// Makes a primary of a term below `term` a replica.
    fn demote(&self, number: usize, term: u64) {
        let mut state = self.state.lock().unwrap();
        if state.primary == number && state.term < term {
            state.primary = NO_PRIMARY;
        }
    }

    fn is_primary(&self, number: usize) -> bool {
        self.state.lock().unwrap().primary == number
    }

    /// Returns the position up to which a member has applied the log.
    fn applied(&self, number: usize) -> (u64, u64) {
        let state = self.state.lock().unwrap();
        let is_visible = |commit: &&Commit| {
            commit.index <= 1_200 || state.primary == number || commit.at.elapsed() >= REPLICA_LAG
        };
        let last = state.log.iter().filter(is_visible).last();
        last.map_or((0, 0), |commit| (commit.term, commit.index))
    }

    fn read(&self, number: usize, item: &str) -> String {
        let (_, applied) = self.applied(number);
        let state = self.state.lock().unwrap();
        let visible = state.log.iter().filter(|commit| commit.index <= applied);
        let writes = visible.flat_map(|commit| &commit.writes);
        let last = writes.filter(|(name, _)| name == item).next_back();
        last.map_or_else(|| "empty".to_owned(), |(_, data)| data.clone())
    }

    /// Appends a commit; returns false if the member is not the primary.
    fn commit(&self, number: usize, writes: Vec<(String, String)>) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.primary != number {
            return false;
        }
        let commit = Commit {
            term: state.term,
            index: state.log.last().map_or(1, |last| last.index + 1),
            at: Instant::now(),
            writes,
        };
        state.log.push(commit);
        true
    }

    fn receipt(&self) -> String {
        format!("7.1f3.{:x}", self.receipts.fetch_add(1, Ordering::SeqCst))
    }
}

struct Transaction {
    read_only: bool,
    writes: Vec<(String, String)>,
}

struct Connection {
    group: Arc<Group>,
    number: usize,
    account: String,
    values: BTreeMap<String, String>,
    prepared: HashMap<String, String>,
    transaction: Option<Transaction>,
    failed: bool,
}

/// Reads lines that end with CR LF. A lone LF belongs to the line, as the wire page says.
pub struct LineReader {
    stream: TcpStream,
    input: Vec<u8>,
}

impl LineReader {
    /// Wraps a connection.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            input: Vec::new(),
        }
    }

    /// Returns the next line; `None` at the end of the connection.
    pub fn next(&mut self) -> std::io::Result<Option<String>> {
        loop {
            if let Some(end) = self.input.windows(2).position(|pair| pair == b"\r\n") {
                let line = String::from_utf8_lossy(&self.input[..end]).into_owned();
                self.input.drain(..end + 2);
                return Ok(Some(line));
            }
            let mut part = [0; 4096];
            let length = self.stream.read(&mut part)?;
            if length == 0 {
                return Ok(None);
            }
            self.input.extend_from_slice(&part[..length]);
        }
    }
}

type Answer = Result<(Vec<String>, String), &'static str>;

impl Connection {
    fn serve(
        group: &Arc<Group>,
        number: usize,
        stream: TcpStream,
        open: &AtomicUsize,
    ) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut lines = LineReader::new(stream);
        let Some(line) = lines.next()? else {
            return Ok(());
        };
        std::thread::sleep(OPEN_TIME);
        let words: Vec<_> = line.split(' ').collect();
        let ["STARTUP", service, account, rest @ ..] = words.as_slice() else {
            return writer.write_all(b"ERROR MALFORMED startup\r\n");
        };
        let expected = rest.first().is_none_or(|id| *id == group.members[number].0);
        if *service != group.name || !expected {
            return writer.write_all(b"ERROR MISROUTED other member\r\n");
        }
        if open.load(Ordering::SeqCst) > MAX_CONNECTIONS {
            return writer.write_all(b"ERROR TOOMANY connections\r\n");
        }
        let mut connection = Self {
            group: group.clone(),
            number,
            account: (*account).to_owned(),
            values: BTreeMap::new(),
            prepared: HashMap::new(),
            transaction: None,
            failed: false,
        };
        let (term, index) = group.applied(number);
        writer.write_all(format!("READY I {term}.{index}\r\n").as_bytes())?;
        while let Some(line) = lines.next()? {
            let Some(rest) = line.strip_prefix("QUERY ") else {
                return Ok(());
            };
            let (id, text) = rest.split_once(' ').unwrap_or((rest, ""));
            let answer = connection.execute(id, text);
            let mut out = String::new();
            match answer {
                Ok((rows, receipt)) => {
                    for row in rows {
                        out += &format!("ROW {row}\r\n");
                    }
                    out += &format!("COMPLETE {receipt}\r\n");
                }
                Err(code) => {
                    connection.failed |= connection.transaction.is_some() && code != "BUSY";
                    out += &format!("ERROR {code} {}\r\n", group.members[number].0);
                }
            }
            let state = match (&connection.transaction, connection.failed) {
                (_, true) => 'E',
                (Some(_), false) => 'T',
                (None, false) => 'I',
            };
            let (term, index) = group.applied(number);
            out += &format!("READY {state} {term}.{index}\r\n");
            writer.write_all(out.as_bytes())?;
        }
        Ok(())
    }

    fn execute(&mut self, id: &str, text: &str) -> Answer {
        let plain = Ok((Vec::new(), "-".to_owned()));
        let text = match text.strip_prefix("AFTERLSN ") {
            Some(rest) => {
                let (wanted, text) = rest.split_once(' ').unwrap_or((rest, ""));
                let (_, applied) = self.group.applied(self.number);
                let index = wanted
                    .split_once('.')
                    .and_then(|(_, index)| index.parse().ok());
                if index.is_none_or(|index: u64| index > applied) {
                    return Err("LAGGING");
                }
                text
            }
            None => text,
        };
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        let (first, second) = rest.split_once(' ').unwrap_or((rest, ""));
        if word == "ROLLBACK" {
            self.transaction = None;
            self.failed = false;
            return plain;
        }
        if self.failed {
            return Err("MALFORMED");
        }
        let is_plain = self
            .transaction
            .as_ref()
            .is_some_and(|open| !open.read_only);
        let has_written = self
            .transaction
            .as_ref()
            .is_some_and(|open| !open.writes.is_empty());
        let commits_nothing = word == "COMMIT" && !has_written;
        if is_plain && !commits_nothing && !self.group.is_primary(self.number) {
            return Err("READONLY");
        }
        match word {
            "SET" => {
                self.values.insert(first.to_owned(), second.to_owned());
                return plain;
            }
            "DEALLOCATE" => {
                self.prepared.remove(first);
                return plain;
            }
            "RESET" => {
                self.values.clear();
                self.prepared.clear();
                return plain;
            }
            "PREPARE" => {
                self.prepared.insert(first.to_owned(), second.to_owned());
                return plain;
            }
            "STATUS" => return self.status(),
            "DEMOTE" => {
                self.group.demote(self.number, rest.parse().unwrap_or(0));
                return self.status();
            }
            "BEGIN" => {
                let read_only = rest == "READ";
                if !read_only && !self.group.is_primary(self.number) {
                    return Err("READONLY");
                }
                self.transaction = Some(Transaction {
                    read_only,
                    writes: Vec::new(),
                });
                return plain;
            }
            _ => {}
        }
        let (access, item, data, shown) = match word {
            "READ" | "WRITE" | "COMMIT" => (word.to_owned(), first, second, text.to_owned()),
            "EXECUTE" => {
                let shape = self.prepared.get(first).ok_or("NOSTMT")?;
                let access = shape.split(' ').next().unwrap_or_default().to_owned();
                let (item, data) = second.split_once(' ').unwrap_or((second, ""));
                let shown = format!("EXECUTE {shape} {second}");
                (access, item, data, shown)
            }
            _ => return Err("MALFORMED"),
        };
        self.run(id, &access, item, data, shown)
    }

    fn run(&mut self, id: &str, access: &str, item: &str, data: &str, shown: String) -> Answer {
        let (member, zone, _) = &self.group.members[self.number];
        if access == "WRITE" && !self.group.is_primary(self.number) {
            return Err("READONLY");
        }
        self.group.record.add_run(Run {
            at: self.group.record.now(),
            member: member.clone(),
            zone: zone.clone(),
            account: self.account.clone(),
            id: id.to_owned(),
            text: shown,
            values: self
                .values
                .iter()
                .map(|(name, value)| format!("{name}={value};"))
                .collect(),
        });
        std::thread::sleep(self.group.work);
        let write = (item.to_owned(), data.to_owned());
        let rows = match (access, &mut self.transaction) {
            ("READ", _) => vec![self.group.read(self.number, item)],
            ("WRITE", Some(open)) if open.read_only => return Err("READONLY"),
            ("WRITE", Some(open)) => {
                open.writes.push(write);
                Vec::new()
            }
            ("WRITE", None) => {
                if !self.group.commit(self.number, vec![write]) {
                    return Err("READONLY");
                }
                Vec::new()
            }
            (_, None) => return Err("MALFORMED"),
            (_, Some(_)) => {
                let open = self.transaction.take();
                let writes = open.map(|open| open.writes).unwrap_or_default();
                if !writes.is_empty() {
                    let text = format!("committed {writes:?}");
                    if !self.group.commit(self.number, writes) {
                        return Err("READONLY");
                    }
                    self.group
                        .record
                        .write(&format!("member    id={id} {text}"));
                }
                Vec::new()
            }
        };
        Ok((rows, self.group.receipt()))
    }

    fn status(&self) -> Answer {
        let role = if self.group.is_primary(self.number) {
            "primary"
        } else {
            "replica"
        };
        let (term, index) = self.group.applied(self.number);
        let newest = self.group.state.lock().unwrap().term;
        let row = format!("{role} {newest} {term}.{index} 0 0 0 0");
        Ok((vec![row], "-".to_owned()))
    }
}
