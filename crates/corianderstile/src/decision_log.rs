//! Recent decisions about requests, which operators query by request id.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::Duration;

use coriander_config::{ExplainedStep, Explanation};
use coriander_core::InstanceId;

use crate::caller::bounded_text;

/// Maximum number of recorded requests.
const MAX_RECORDS: usize = 1000;

/// Maximum length of the text of a step in bytes. Errors of members can be longer.
const MAX_STEP_BYTES: usize = 500;

/// Steps in the handling of one request.
#[derive(Clone, Debug)]
pub struct DecisionRecord {
    request_id: String,
    steps: Vec<ExplainedStep>,
}

impl DecisionRecord {
    /// Creates the record of a request without steps.
    pub const fn new(request_id: String) -> Self {
        Self {
            request_id,
            steps: Vec::new(),
        }
    }

    /// Adds a step of a component; `after` is the time since the arrival of the request.
    pub fn add(&mut self, after: Duration, part: &str, text: impl AsRef<str>) {
        self.steps.push(ExplainedStep {
            after,
            part: part.to_owned(),
            text: bounded_text(text.as_ref(), MAX_STEP_BYTES),
        });
    }
}

/// The last requests of this instance.
#[derive(Default)]
pub struct DecisionLog(RefCell<VecDeque<DecisionRecord>>);

impl DecisionLog {
    /// Adds a finished request.
    pub fn push(&self, record: DecisionRecord) {
        let mut records = self.0.borrow_mut();
        if records.len() == MAX_RECORDS {
            records.pop_front();
        }
        records.push_back(record);
    }

    /// Returns the steps of all requests with an id, oldest first, or `None` if there are none.
    pub fn explain(&self, request_id: &str, instance: &InstanceId) -> Option<Explanation> {
        let records = self.0.borrow();
        let found = records
            .iter()
            .filter(|record| record.request_id == request_id);
        let steps: Vec<_> = found.flat_map(|record| record.steps.clone()).collect();
        let id = request_id.to_owned();
        let instance = instance.clone();
        (!steps.is_empty()).then_some(Explanation {
            id,
            instance,
            steps,
        })
    }
}
