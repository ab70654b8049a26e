//! A client session.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::member::LineReader;
use crate::record::Record;

static LAST_ID: AtomicU64 = AtomicU64::new(0x5c0e_7a21_d94b_0000);

/// Returns a new statement identifier.
pub fn new_id() -> String {
    format!("{:016x}", LAST_ID.fetch_add(1, Ordering::SeqCst))
}

/// How a statement ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// Success with the member's receipt.
    Complete(String),
    /// An error with its code.
    Error(String),
    /// The connection ended without a complete answer.
    Cut(String),
    /// No answer arrived in time.
    Silent,
}

/// A statement and how it ended.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub text: String,
    pub sent_at: Duration,
    pub ended_at: Duration,
    pub outcome: Outcome,
}

impl Sent {
    /// Returns whether it succeeded.
    pub fn is_complete(&self) -> bool {
        matches!(self.outcome, Outcome::Complete(_))
    }
}

/// A session on one instance.
pub struct Session {
    name: String,
    stream: TcpStream,
    lines: LineReader,
    last_row: Option<String>,
    record: Record,
}

impl Session {
    /// Opens a session; `None` if it is refused.
    pub fn open(
        name: &str,
        address: SocketAddr,
        database: &str,
        key: &str,
        record: &Record,
    ) -> Option<Self> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_nodelay(true).ok()?;
        stream
            .set_read_timeout(Some(Duration::from_secs(10)))
            .ok()?;
        let mut session = Self {
            name: name.to_owned(),
            lines: LineReader::new(stream.try_clone().ok()?),
            stream,
            last_row: None,
            record: record.clone(),
        };
        let startup = format!("STARTUP {database} {key}\r\n");
        session.stream.write_all(startup.as_bytes()).ok()?;
        let answer = session.lines.next().ok()??;
        record.write(&format!(
            "client    {name} STARTUP {database} {key}: {answer}"
        ));
        answer.starts_with("READY").then_some(session)
    }

    /// Sends a read and returns its row if it succeeds.
    pub fn read(&mut self, text: &str) -> Option<String> {
        let sent = self.query(text);
        self.last_row.take().filter(|_| sent.is_complete())
    }

    /// Sends a statement and waits for its end.
    pub fn query(&mut self, text: &str) -> Sent {
        let id = new_id();
        let sent_at = self
            .record
            .write(&format!("sent      {} id={id} {text}", self.name));
        let line = format!("QUERY {id} {text}\r\n");
        let outcome = match self.stream.write_all(line.as_bytes()) {
            Ok(()) => self.read_outcome(),
            Err(error) => Outcome::Cut(error.to_string()),
        };
        let ended_at = self
            .record
            .write(&format!("answered  {} id={id} {outcome:?}", self.name));
        Sent {
            id,
            text: text.to_owned(),
            sent_at,
            ended_at,
            outcome,
        }
    }

    fn read_outcome(&mut self) -> Outcome {
        let mut outcome = None;
        loop {
            let line = match self.lines.next() {
                Ok(Some(line)) => line,
                Ok(None) => return Outcome::Cut("connection closed".to_owned()),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                    return Outcome::Silent;
                }
                Err(error) => return Outcome::Cut(error.to_string()),
            };
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "COMPLETE" => outcome = Some(Outcome::Complete(rest.to_owned())),
                "ERROR" => {
                    let code = rest.split(' ').next().unwrap_or_default();
                    outcome = Some(Outcome::Error(code.to_owned()));
                }
                "READY" => return outcome.unwrap_or(Outcome::Cut("no result".to_owned())),
                "ROW" => {
                    self.record
                        .write(&format!("row       {} {rest}", self.name));
                    self.last_row = Some(rest.to_owned());
                }
                _ => return Outcome::Cut(format!("unexpected message {line}")),
            }
        }
    }
}
