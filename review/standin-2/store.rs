//! The platform's metadata store and the call that promotes a member, over HTTP/1.1.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::json::{Json, base64};

/// Items of a page.
const PAGE_ITEMS: usize = 500;

/// Time of an answer of the store.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    leases: HashMap<u64, (Duration, Instant)>,
    revision: u64,
    /// Highest fencing token of each service.
    tokens: HashMap<String, u64>,
    /// Since when the store is down.
    down_since: Option<Instant>,
}

impl State {
    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|lease| lease.1.1 < now).map(|lease| *lease.0).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|item| item.1.lease == lease)
            .map(|item| item.0.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        self.items.insert(key.to_owned(), Item { value, revision, created, lease });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
        }
    }
}

/// What the store asks to carry out a promotion: service, member, holder, token. Returns the status.
pub type Promote = dyn Fn(&str, &str, &str, u64) -> u16 + Send + Sync;

/// The store. Clones share it.
#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    promote: Arc<Promote>,
}

fn render(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"leaseId\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}

impl Store {
    pub fn new(promote: Arc<Promote>) -> Self {
        Self { state: Arc::default(), promote }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("store")
    }

    /// Writes a document for the operator or a member.
    pub fn put(&self, key: &str, document: &str) {
        self.lock().put(key, base64(document.as_bytes()), 0);
    }

    pub fn remove(&self, key: &str) {
        self.lock().remove(key);
    }

    /// Takes the store down, which resets its connections. Leases pause meanwhile.
    pub fn go_down(&self) {
        self.lock().down_since = Some(Instant::now());
    }

    pub fn come_back(&self) {
        let mut state = self.lock();
        let Some(since) = state.down_since.take() else { return };
        let pause = since.elapsed();
        for (_, end) in state.leases.values_mut() {
            *end += pause;
        }
    }

    pub fn is_down(&self) -> bool {
        self.lock().down_since.is_some()
    }

    pub fn serve(&self, address: SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve_connection(stream));
            }
        });
        Ok(())
    }

    fn serve_connection(&self, stream: TcpStream) -> Option<()> {
        if self.is_down() {
            return None;
        }
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut writer = stream;
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let mut words = line.split_whitespace();
            let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
            let mut headers = HashMap::new();
            loop {
                let mut line = String::new();
                reader.read_line(&mut line).ok()?;
                let Some((name, value)) = line.trim_end().split_once(':') else { break };
                headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
            }
            let length = headers.get("content-length").and_then(|text| text.parse().ok());
            let mut body = vec![0; length.unwrap_or(0)];
            reader.read_exact(&mut body).ok()?;
            if self.is_down() {
                return None;
            }
            let body = Json::parse(&String::from_utf8_lossy(&body)).unwrap_or(Json::Null);
            thread::sleep(ANSWER_TIME);
            let (status, text) = self.handle(&method, &target, &headers, &body);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                text.len()
            );
            writer.write_all(format!("{head}{text}").as_bytes()).ok()?;
        }
    }

    fn handle(
        &self,
        method: &str,
        target: &str,
        headers: &HashMap<String, String>,
        body: &Json,
    ) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.filter(|pair| pair.0 == name).map(|pair| unescape(pair.1)).next();
            found.unwrap_or_default()
        };
        if path == "/promote" {
            return self.handle_promotion(headers, body);
        }
        let mut state = self.lock();
        state.expire();
        match (method, path) {
            ("GET", "/api/kv-range") => {
                let (prefix, after) = (parameter("prefix"), parameter("after"));
                let matching = |item: &(&String, &Item)| item.0.starts_with(&prefix) && *item.0 > after;
                let found: Vec<_> = state.items.iter().filter(matching).take(PAGE_ITEMS + 1).collect();
                let page: Vec<String> =
                    found.iter().take(PAGE_ITEMS).map(|item| render(item.0, item.1)).collect();
                let more = found.len() > PAGE_ITEMS;
                let items = page.join(",");
                (200, format!("{{\"items\":[{items}],\"hasMore\":{more},\"atRev\":{}}}", state.revision))
            }
            ("GET", "/api/kv-key") => {
                let key = parameter("key");
                match state.items.get(&key) {
                    Some(item) => (200, render(&key, item)),
                    None => (404, "{}".into()),
                }
            }
            ("POST", "/api/kv-txn") => {
                let expected = body.list("expectedRev");
                let holds = |row: &Json| {
                    let current = state.items.get(&row.text("key"));
                    current.map_or(0, |item| item.revision) == row.number("revision")
                };
                if !expected.iter().all(holds) {
                    let keys = expected.iter().map(|row| row.text("key"));
                    let items = keys.filter_map(|key| state.items.get(&key).map(|item| render(&key, item)));
                    let items: Vec<String> = items.collect();
                    return (412, format!("{{\"items\":[{}]}}", items.join(",")));
                }
                let writes = body.list("writes");
                let has_lease = |write: &Json| {
                    let lease = write.number("leaseId");
                    lease == 0 || state.leases.contains_key(&lease)
                };
                if !writes.iter().all(has_lease) {
                    return (404, "{}".into());
                }
                for write in writes {
                    state.put(&write.text("key"), write.text("value"), write.number("leaseId"));
                }
                for key in body.list("deletes") {
                    state.remove(key.as_text());
                }
                (200, format!("{{\"revision\":{}}}", state.revision))
            }
            ("POST", "/api/kv-lease") => {
                state.revision += 1;
                let (lease, ttl_ms) = (state.revision, body.number("ttlMs"));
                let ttl = Duration::from_millis(ttl_ms);
                state.leases.insert(lease, (ttl, Instant::now() + ttl));
                (200, format!("{{\"leaseId\":{lease},\"ttlMs\":{ttl_ms}}}"))
            }
            ("POST", path) if path.starts_with("/api/kv-keep/") => {
                let lease = path.rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(0);
                match state.leases.get_mut(&lease) {
                    Some((ttl, end)) => {
                        *end = Instant::now() + *ttl;
                        (200, format!("{{\"ttlMs\":{}}}", ttl.as_millis()))
                    }
                    None => (404, "{}".into()),
                }
            }
            ("DELETE", path) if path.starts_with("/api/kv-lease-end/") => {
                let lease = path.rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(0);
                state.end_lease(lease);
                (200, "{}".into())
            }
            _ => (404, "{}".into()),
        }
    }

    fn handle_promotion(&self, headers: &HashMap<String, String>, body: &Json) -> (u16, String) {
        let token = headers.get("x-corianderstile-fencing-token").and_then(|text| text.parse().ok());
        let holder = headers.get("x-corianderstile-holder").cloned().unwrap_or_default();
        let (token, service): (u64, String) = (token.unwrap_or(0), body.text("service"));
        {
            let mut state = self.lock();
            let newest = state.tokens.entry(service.clone()).or_default();
            if token < *newest {
                return (409, "{}".into());
            }
            *newest = token;
        }
        ((self.promote)(&service, &body.text("id"), &holder, token), "{}".into())
    }
}

fn unescape(text: &str) -> String {
    let mut out = Vec::new();
    let bytes = text.as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
