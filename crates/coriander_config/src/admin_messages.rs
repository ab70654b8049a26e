//! JSON messages of the admin address, shared by the server and `corianderctl`.

use std::time::Duration;

use coriander_core::{ConfigDocument, ConfigVersion, InstanceId};
use serde::{Deserialize, Serialize};

use crate::{ChangeCommand, CommandError};

/// Response to `GET /admin/config`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigView {
    /// Responding instance.
    pub instance: InstanceId,
    /// Applied document; keys appear as digests with their public identifiers.
    pub document: ConfigDocument,
    /// Whether the instance may serve under this version now.
    pub fresh: bool,
    /// Time since the version was confirmed, if it is fresh.
    pub age: Option<Duration>,
}

/// Body of `POST /admin/change`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeRequest {
    /// Random identifier; a retry repeats it, so that the change is not applied twice.
    pub change_id: String,
    /// Who makes the change.
    pub author: String,
    /// Version on which the operator bases the change; it is applied to no other version.
    pub expected: ConfigVersion,
    /// The change.
    pub change: ChangeCommand,
}

/// Result of a change, and body of the response to `POST /admin/change`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "result")]
pub enum ChangeResult {
    /// The change was written, and a majority of the old and of the new fleet has applied it.
    Accepted {
        /// Version that the change produced.
        version: ConfigVersion,
    },
    /// The change was written, but not confirmed by enough instances yet.
    Unconfirmed {
        /// Version that the change produced.
        version: ConfigVersion,
        /// Instances that have not confirmed it.
        missing: Vec<InstanceId>,
    },
    /// Another change was made to the expected version; this one was not and will not be made.
    Conflict {
        /// Current version.
        version: ConfigVersion,
        /// Who made the change that produced the version after the expected one.
        winner: String,
        /// Version which that change produced.
        winner_version: ConfigVersion,
    },
    /// The change is not possible; nothing was written.
    Refused {
        /// Why.
        reason: RefusalReason,
    },
    /// The platform did not respond; nothing was written.
    NotRecorded,
    /// The platform did not respond after the write was sent. The change may have been made; a
    /// retry with the same change id returns its result.
    Undetermined,
}

/// Reason for the refusal of a change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind", content = "detail")]
pub enum RefusalReason {
    /// The change cannot be applied to the configuration.
    Command(CommandError),
    /// The resulting section is too large or cannot be encoded.
    Section(String),
    /// Too many fleet changes are unconfirmed.
    FleetUnsettled,
    /// The platform's version is lower than the applied one, so the platform has lost data.
    PlatformBehind,
    /// The expected version is newer than the current one.
    VersionUnknown,
    /// The change id or the author is empty or too long.
    BadRequest,
}

/// Response to `GET /admin/explain/ID`: the steps of a request or a decision with their reasons.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Explanation {
    /// Identifier of the request, change or decision.
    pub id: String,
    /// Responding instance.
    pub instance: InstanceId,
    /// Steps in the order in which they were taken.
    pub steps: Vec<ExplainedStep>,
}

/// One step of an [`Explanation`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExplainedStep {
    /// Time since the first step.
    pub after: Duration,
    /// Component that took the step, such as `routing`.
    pub part: String,
    /// What was done and why.
    pub text: String,
}
