//! Table of open Hrana streams with their batons.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use rusqlite::Connection;

use super::group_log::LoggedStatement;
use super::member_refusal::MemberRefusal;

/// A stream, which has one SQLite connection and the state of its transaction.
pub struct SqlStream {
    id: u64,
    sequence: u64,
    secret: u64,
    last_used_at: Instant,
    /// Epoch in which the stream was opened.
    pub epoch: u64,
    /// Connection to the database of the member.
    pub connection: Connection,
    /// Statements of the open transaction that change data.
    pub pending_statements: Vec<LoggedStatement>,
    /// Texts stored with `store_sql`.
    pub stored_sql: HashMap<i32, String>,
}

impl SqlStream {
    fn baton(&self) -> String {
        format!("{}.{}.{:016x}", self.id, self.sequence, self.secret)
    }
}

enum StreamEntry {
    Idle(Box<SqlStream>),
    Busy,
}

/// Open streams of a member.
#[derive(Default)]
pub struct StreamTable {
    streams: HashMap<u64, StreamEntry>,
    next_id: u64,
    max_open: usize,
}

impl StreamTable {
    /// Returns the number of open streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns the maximum number of streams that have been open at once.
    pub fn max_open(&self) -> usize {
        self.max_open
    }

    /// Reserves the id of a new stream; refuses it if `limit` streams are open.
    pub fn reserve(&mut self, limit: usize) -> Result<u64, MemberRefusal> {
        if self.streams.len() >= limit {
            let message = format!("{limit} streams are open");
            return Err(MemberRefusal::overload("CONNECTION_LIMIT", message));
        }
        self.next_id += 1;
        self.streams.insert(self.next_id, StreamEntry::Busy);
        self.max_open = self.max_open.max(self.streams.len());
        Ok(self.next_id)
    }

    /// Creates a stream with a reserved id; it is busy until it is put back.
    pub fn create(id: u64, connection: Connection, epoch: u64) -> Box<SqlStream> {
        Box::new(SqlStream {
            id,
            sequence: 0,
            secret: rand::random(),
            last_used_at: Instant::now(),
            epoch,
            connection,
            pending_statements: Vec::new(),
            stored_sql: HashMap::new(),
        })
    }

    /// Returns the stream of a baton and marks it busy.
    pub fn take(&mut self, baton: &str) -> Result<Box<SqlStream>, MemberRefusal> {
        let unknown = || MemberRefusal::conflict("STREAM_NOT_FOUND", "the baton has no stream");
        let id = baton.split('.').next().and_then(|text| text.parse().ok());
        let id: u64 = id.ok_or_else(unknown)?;
        match self.streams.get(&id) {
            Some(StreamEntry::Idle(stream)) if stream.baton() == baton => {}
            Some(_) => {
                let message = "the stream is in use or the baton was used before";
                return Err(MemberRefusal::conflict("BATON_REUSED", message));
            }
            None => return Err(unknown()),
        }
        match self.streams.insert(id, StreamEntry::Busy) {
            Some(StreamEntry::Idle(stream)) => Ok(stream),
            _ => Err(unknown()),
        }
    }

    /// Marks a stream idle and returns its next baton.
    pub fn put_back(&mut self, mut stream: Box<SqlStream>) -> String {
        stream.sequence += 1;
        stream.secret = rand::random();
        stream.last_used_at = Instant::now();
        let baton = stream.baton();
        self.streams.insert(stream.id, StreamEntry::Idle(stream));
        baton
    }

    /// Closes a busy stream.
    pub fn close(&mut self, stream: &SqlStream) {
        self.streams.remove(&stream.id);
    }

    /// Releases a reserved id.
    pub fn cancel_reservation(&mut self, id: u64) {
        self.streams.remove(&id);
    }

    /// Closes all idle streams; their transactions are rolled back.
    pub fn close_idle(&mut self) {
        self.streams
            .retain(|_, entry| matches!(entry, StreamEntry::Busy));
    }

    /// Closes streams that have been idle for longer than the limits.
    pub fn expire(&mut self, stream_idle: Duration, transaction_idle: Duration) {
        self.streams.retain(|_, entry| match entry {
            StreamEntry::Busy => true,
            StreamEntry::Idle(stream) if stream.connection.is_autocommit() => {
                stream.last_used_at.elapsed() < stream_idle
            }
            StreamEntry::Idle(stream) => stream.last_used_at.elapsed() < transaction_idle,
        });
    }
}
