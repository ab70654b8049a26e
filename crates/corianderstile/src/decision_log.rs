//! Recent decisions about requests, for operators who ask why a request went as it did.

use std::cell::RefCell;
use std::collections::VecDeque;

use coriander_core::{AccountName, ClassName, DatabaseName, ErrorCode, InstanceId, RequestOutcome};
use serde::Serialize;

/// Requests that are remembered.
const KEPT_REQUESTS: usize = 1000;

/// One step in the handling of a request.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "step", rename_all = "snake_case")]
pub enum DecisionStep {
    /// The rate limit admitted the request after a wait.
    Admitted {
        /// Wait in milliseconds.
        waited_ms: u64,
    },
    /// The request was run by the gateway on this instance.
    RunLocally,
    /// The request was sent to another instance.
    Forwarded {
        /// That instance.
        gateway: InstanceId,
    },
    /// The gateway could not be used and the request goes to the next one.
    FallBack {
        /// Why.
        reason: String,
    },
    /// The request succeeded.
    Answered {
        /// Member that executed it with its role, if any.
        served_by: Option<String>,
        /// Time since arrival in milliseconds.
        took_ms: u64,
    },
    /// The request failed.
    Failed {
        /// Code for the caller.
        code: ErrorCode,
        /// What is known about the execution.
        outcome: RequestOutcome,
        /// Explanation for the caller.
        message: String,
        /// Time since arrival in milliseconds.
        took_ms: u64,
    },
}

/// The handling of one request.
#[derive(Clone, Debug, Serialize)]
pub struct DecisionRecord {
    /// Id of the request.
    pub request_id: String,
    /// Account, once the key was verified.
    pub account: Option<AccountName>,
    /// Database, once it was determined.
    pub database: Option<DatabaseName>,
    /// Class of the request.
    pub class: ClassName,
    /// Steps in order.
    pub steps: Vec<DecisionStep>,
}

/// The last requests of this instance.
#[derive(Default)]
pub struct DecisionLog(RefCell<VecDeque<DecisionRecord>>);

impl DecisionLog {
    /// Adds a finished request.
    pub fn push(&self, record: DecisionRecord) {
        let mut records = self.0.borrow_mut();
        if records.len() == KEPT_REQUESTS {
            records.pop_front();
        }
        records.push_back(record);
    }

    /// Returns the records of a request id, newest last.
    pub fn find(&self, request_id: &str) -> Vec<DecisionRecord> {
        let records = self.0.borrow();
        records
            .iter()
            .filter(|record| record.request_id == request_id)
            .cloned()
            .collect()
    }
}
