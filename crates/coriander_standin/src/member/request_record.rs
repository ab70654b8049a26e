//! Everything a member received, for checks that no caller's key reaches an upstream.

use std::collections::VecDeque;
use std::fs::File;
use std::io::Write;

use ntex::util::Bytes;
use ntex::web::HttpRequest;
use serde::{Deserialize, Serialize};

/// A received request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReceivedRequest {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Names and values of all headers.
    pub headers: Vec<(String, String)>,
    /// Body as text.
    pub body: String,
}

impl ReceivedRequest {
    /// Copies a request.
    pub fn from_http(request: &HttpRequest, body: &Bytes) -> Self {
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        Self {
            method: request.method().to_string(),
            target: request.uri().to_string(),
            headers: request
                .headers()
                .iter()
                .map(|(name, value)| (name.to_string(), text(value.as_bytes())))
                .collect(),
            body: text(body),
        }
    }
}

/// The most recent requests of each kind, so that probes do not displace statements.
#[derive(Default)]
pub struct RequestRecord {
    limit: usize,
    statement_requests: VecDeque<ReceivedRequest>,
    group_requests: VecDeque<ReceivedRequest>,
    file: Option<File>,
}

impl RequestRecord {
    /// Creates a record with a limit per kind and an optional file that gets every request.
    pub fn new(limit: usize, file: Option<File>) -> Self {
        Self {
            limit,
            file,
            ..Self::default()
        }
    }

    /// Adds a request.
    pub fn add(&mut self, request: ReceivedRequest) {
        if let Some(file) = &mut self.file {
            let line = serde_json::to_string(&request).expect("serializable request");
            writeln!(file, "{line}").expect("record file is writable");
        }
        let is_group = request.target.starts_with("/group/");
        let requests = if is_group {
            &mut self.group_requests
        } else {
            &mut self.statement_requests
        };
        requests.push_back(request);
        while requests.len() > self.limit {
            requests.pop_front();
        }
    }

    /// Returns the requests, statements first.
    pub fn requests(&self) -> impl Iterator<Item = &ReceivedRequest> {
        self.statement_requests.iter().chain(&self.group_requests)
    }
}
