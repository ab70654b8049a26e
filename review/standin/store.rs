//! Stand-in for the platform's store and its promotion call.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::json::Json;
use crate::member::Group;
use crate::record::Record;

/// Maximum number of items of a page.
const MAX_PAGE_ITEMS: usize = 500;

/// Time that an answer of the store takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

struct Item {
    /// Value as base64 text.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct StoreState {
    items: BTreeMap<String, Item>,
    leases: HashMap<u64, (Duration, Instant)>,
    revision: u64,
    tokens: HashMap<String, u64>,
}

impl StoreState {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let known = self.leases.remove(&lease).is_some();
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<_> = held.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
        known
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (_, end))| *end < now);
        let ended: Vec<_> = ended.map(|(lease, _)| *lease).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn render(&self, key: &str) -> Option<String> {
        let item = self.items.get(key)?;
        Some(format!(
            r#"{{"key":"{key}","value":"{}","revision":{},"created":{},"leaseId":{}}}"#,
            item.value, item.revision, item.created, item.lease
        ))
    }
}

/// The store and the promotion call, served at one address.
#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<StoreState>>,
    groups: Arc<Vec<Arc<Group>>>,
    record: Record,
}

impl Store {
    /// Starts to serve on a free port.
    pub fn start(groups: Vec<Arc<Group>>, record: Record) -> (Self, SocketAddr) {
        let store = Self {
            state: Arc::default(),
            groups: Arc::new(groups),
            record,
        };
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let server = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = server.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        (store, address)
    }

    /// Writes a document of the operator or of a member.
    pub fn put(&self, key: &str, document: &str) {
        let value = encode_base64(document.as_bytes());
        self.state.lock().unwrap().put(key, value, 0);
    }

    /// Writes a document of the operator and records the confirmation, whose time is returned.
    pub fn put_as_operator(&self, key: &str, document: &str) -> Duration {
        self.put(key, document);
        self.record
            .write(&format!("operator  put {key} confirmed: {document}"))
    }

    /// Deletes a document of the operator and records the confirmation.
    pub fn delete_as_operator(&self, key: &str) {
        self.state.lock().unwrap().remove(key);
        self.record
            .write(&format!("operator  delete {key} confirmed"));
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return Some(());
            }
            let mut words = line.split_whitespace();
            let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
            let mut headers = HashMap::new();
            loop {
                let mut header = String::new();
                reader.read_line(&mut header).ok()?;
                let Some((name, value)) = header.trim_end().split_once(':') else {
                    break;
                };
                headers.insert(name.to_lowercase(), value.trim().to_owned());
            }
            let length = headers
                .get("content-length")
                .and_then(|text| text.parse().ok());
            let mut body = vec![0; length.unwrap_or(0)];
            reader.read_exact(&mut body).ok()?;
            let body = String::from_utf8(body).ok()?;
            std::thread::sleep(ANSWER_TIME);
            let (status, answer) = self.answer(&method, &target, &headers, &body);
            let head = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                answer.len()
            );
            writer.write_all((head + &answer).as_bytes()).ok()?;
        }
    }

    fn answer(
        &self,
        method: &str,
        target: &str,
        headers: &HashMap<String, String>,
        body: &str,
    ) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(key, _)| *key == name);
            found.map_or("", |(_, value)| value)
        };
        let body = Json::parse(body).unwrap_or(Json::Null);
        let mut state = self.state.lock().unwrap();
        state.expire_leases();
        match (method, path) {
            ("GET", "/api/kv-key") => match state.render(parameter("key")) {
                Some(item) => {
                    let end = format!(r#","atRev":{}}}"#, state.revision);
                    (200, item[..item.len() - 1].to_owned() + &end)
                }
                None => (404, String::new()),
            },
            ("GET", "/api/kv-range") => {
                (200, list(&state, parameter("prefix"), parameter("after")))
            }
            ("POST", "/api/kv-txn") => write(&mut state, &body),
            ("POST", "/api/kv-lease") => {
                let ttl = body.get("ttlMs").and_then(Json::number).unwrap_or(1_000);
                state.revision += 1;
                let lease = state.revision;
                let ttl_time = Duration::from_millis(ttl);
                state
                    .leases
                    .insert(lease, (ttl_time, Instant::now() + ttl_time));
                (200, format!(r#"{{"leaseId":{lease},"ttlMs":{ttl}}}"#))
            }
            ("POST", "/promote") => {
                drop(state);
                self.promote(headers, &body)
            }
            _ => lease_call(&mut state, method, path),
        }
    }

    fn promote(&self, headers: &HashMap<String, String>, body: &Json) -> (u16, String) {
        let token = headers.get("x-corianderstile-fencing-token");
        let token: u64 = token.and_then(|text| text.parse().ok()).unwrap_or(0);
        let holder = headers
            .get("x-corianderstile-holder")
            .cloned()
            .unwrap_or_default();
        let service = body.get("service").and_then(Json::text).unwrap_or_default();
        let id = body.get("id").and_then(Json::text).unwrap_or_default();
        let mut state = self.state.lock().unwrap();
        let newest = state.tokens.entry(service.to_owned()).or_default();
        let accepted = token >= *newest;
        *newest = token.max(*newest);
        drop(state);
        let group = self.groups.iter().find(|group| group.name == service);
        let status = match group {
            Some(group) if accepted && group.promote(id) => 200,
            _ => 409,
        };
        self.record.write(&format!(
            "platform  promote service={service} id={id} holder={holder} token={token}: {status}"
        ));
        (status, "{}".to_owned())
    }
}

fn list(state: &StoreState, prefix: &str, after: &str) -> String {
    let keys = state.items.keys();
    let mut keys = keys.filter(|key| key.starts_with(prefix) && key.as_str() > after);
    let page: Vec<_> = keys.by_ref().take(MAX_PAGE_ITEMS).collect();
    let items: Vec<_> = page.iter().filter_map(|key| state.render(key)).collect();
    format!(
        r#"{{"items":[{}],"hasMore":{},"atRev":{}}}"#,
        items.join(","),
        keys.next().is_some(),
        state.revision
    )
}

fn write(state: &mut StoreState, body: &Json) -> (u16, String) {
    let entries = |name: &str| body.get(name).map_or(&[][..], Json::list).to_vec();
    let field = |entry: &Json, name: &str| {
        let text = entry.get(name).and_then(Json::text);
        text.unwrap_or_default().to_owned()
    };
    let expected = entries("expectedRev");
    let holds = |entry: &Json| {
        let current = state.items.get(&field(entry, "key"));
        let revision = entry.get("revision").and_then(Json::number).unwrap_or(0);
        current.map_or(0, |item| item.revision) == revision
    };
    if !expected.iter().all(holds) {
        let items = expected
            .iter()
            .filter_map(|entry| state.render(&field(entry, "key")));
        let items: Vec<_> = items.collect();
        return (412, format!(r#"{{"items":[{}]}}"#, items.join(",")));
    }
    let writes = entries("writes");
    let lease = |entry: &Json| entry.get("leaseId").and_then(Json::number).unwrap_or(0);
    let has_lease = |entry: &Json| lease(entry) == 0 || state.leases.contains_key(&lease(entry));
    if !writes.iter().all(has_lease) {
        return (404, String::new());
    }
    for entry in &writes {
        state.put(&field(entry, "key"), field(entry, "value"), lease(entry));
    }
    for key in entries("deletes") {
        state.remove(key.text().unwrap_or_default());
    }
    (200, format!(r#"{{"revision":{}}}"#, state.revision))
}

fn lease_call(state: &mut StoreState, method: &str, path: &str) -> (u16, String) {
    let id = |prefix: &str| {
        path.strip_prefix(prefix)
            .and_then(|id| id.parse::<u64>().ok())
    };
    if let ("POST", Some(lease)) = (method, id("/api/kv-keep/")) {
        return match state.leases.get_mut(&lease) {
            Some((ttl, end)) => {
                *end = Instant::now() + *ttl;
                (200, format!(r#"{{"ttlMs":{}}}"#, ttl.as_millis()))
            }
            None => (404, String::new()),
        };
    }
    if let ("DELETE", Some(lease)) = (method, id("/api/kv-lease-end/")) {
        let status = if state.end_lease(lease) { 200 } else { 404 };
        return (status, "{}".to_owned());
    }
    (404, String::new())
}

/// Encodes bytes as base64 text with padding.
pub fn encode_base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(*chunk.get(index).unwrap_or(&0));
        let group = byte(0) << 16 | byte(1) << 8 | byte(2);
        for position in 0..4 {
            if position <= chunk.len() {
                let letter = group >> (18 - 6 * position) & 63;
                text.push(char::from(LETTERS[letter as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
