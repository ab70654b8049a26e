//! The part of a caller's pipeline that is sent to the upstream.

use libsql_hrana::proto::{
    CloseStreamResp, GetAutocommitStreamReq, StreamRequest, StreamResponse, StreamResult,
};

/// A caller's requests without those that concern only the caller's own stream.
///
/// Closing the caller's stream must not close the pooled upstream stream, so close requests are
/// handled by the gateway.
pub struct UpstreamPipeline {
    requests: Vec<StreamRequest>,
    is_close: Vec<bool>,
    stores_sql: bool,
}

impl UpstreamPipeline {
    /// Separates close requests from the others.
    pub fn new(requests: Vec<StreamRequest>) -> Self {
        let is_close = |request: &StreamRequest| matches!(request, StreamRequest::Close(_));
        let stores_sql = |request: &StreamRequest| matches!(request, StreamRequest::StoreSql(_));
        Self {
            is_close: requests.iter().map(is_close).collect(),
            stores_sql: requests.iter().any(stores_sql),
            requests: requests
                .into_iter()
                .filter(|request| !is_close(request))
                .collect(),
        }
    }

    /// Returns the requests for the upstream.
    pub fn requests(&self) -> &[StreamRequest] {
        &self.requests
    }

    /// Returns whether the caller closes its stream.
    pub fn closes_stream(&self) -> bool {
        self.is_close.contains(&true)
    }

    /// Returns whether the caller stores SQL texts on the stream for later requests.
    pub fn keeps_stored_sql(&self) -> bool {
        self.stores_sql && !self.closes_stream()
    }

    /// Appends a query for the autocommit state; `pop_autocommit` removes its result.
    pub fn append_autocommit_query(&mut self) {
        self.requests
            .push(StreamRequest::GetAutocommit(GetAutocommitStreamReq {}));
    }

    /// Inserts the results of close requests into the upstream's results.
    pub fn insert_close_results(&self, results: Vec<StreamResult>) -> Vec<StreamResult> {
        let mut results = results.into_iter();
        let closed = || StreamResult::Ok {
            response: StreamResponse::Close(CloseStreamResp {}),
        };
        let next = |is_close: &bool| {
            if *is_close {
                Some(closed())
            } else {
                results.next()
            }
        };
        self.is_close.iter().map_while(next).collect()
    }
}

/// Removes the result of the appended query and returns whether no transaction is open.
///
/// An unusable result counts as an open transaction.
pub fn pop_autocommit(results: &mut Vec<StreamResult>) -> bool {
    match results.pop() {
        Some(StreamResult::Ok {
            response: StreamResponse::GetAutocommit(response),
        }) => response.is_autocommit,
        _ => false,
    }
}
