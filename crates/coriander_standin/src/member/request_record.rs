//! Record of received requests, with which tests check that no client key is sent to a member.

use std::collections::VecDeque;
use std::fs::File;
use std::io::Write;

use ntex::util::Bytes;
use ntex::web::HttpRequest;
use serde::{Deserialize, Serialize};

/// A request as it was received.
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
    /// Copies an HTTP request with its body.
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

/// Record of the most recent requests.
///
/// Group requests are limited separately, so that health probes do not displace statements.
#[derive(Default)]
pub struct RequestRecord {
    limit: usize,
    statement_requests: VecDeque<ReceivedRequest>,
    group_requests: VecDeque<ReceivedRequest>,
    file: Option<File>,
}

impl RequestRecord {
    /// Creates a record with a limit per kind and an optional file, to which every request is
    /// appended.
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
