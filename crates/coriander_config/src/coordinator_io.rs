//! Actions that a [`ChangeCoordinator`](crate::ChangeCoordinator) requests, and their results.

use std::net::SocketAddr;
use std::rc::Rc;

use coriander_core::{ConfigDocument, InstanceId};

use crate::{ChangeResult, ConfigRoot, SectionRef};

/// An action that the caller of a coordinator must perform.
#[derive(Clone, Debug, PartialEq)]
pub enum CoordinatorAction {
    /// Read the root; report with `root_read`.
    ReadRoot,
    /// Load and apply the version of a root; report with `document_loaded`.
    LoadDocument(Rc<ConfigRoot>),
    /// Read stored fleet sections; report with `fleets_loaded`.
    LoadFleets(Vec<SectionRef>),
    /// Store a section unconditionally; report with `section_stored`.
    StoreSection {
        /// Key in the platform.
        key: String,
        /// Encoded section.
        bytes: Vec<u8>,
    },
    /// Write the root if it is unchanged; report with `root_written`.
    WriteRoot {
        /// Encoded root.
        bytes: Vec<u8>,
        /// Modify index that the root must still have; `None` if there must be no root.
        expected_index: Option<u64>,
    },
    /// Apply a version that has been written to the platform.
    Apply {
        /// Root.
        root: Rc<ConfigRoot>,
        /// Document.
        document: Rc<ConfigDocument>,
    },
    /// Send `ConfirmVersion`, with the current time, to these instances. Pass their replies, and a
    /// reply of this instance at the same time, to `record_reply`.
    RequestConfirmations(Vec<(InstanceId, SocketAddr)>),
    /// Delete sections that no root refers to any more; the result is not reported.
    DeleteSections(Vec<String>),
    /// Report the result to the operator; the coordinator has finished.
    Finish(ChangeResult),
}

/// Result of reading the root.
#[derive(Clone, Debug, PartialEq)]
pub enum RootRead {
    /// The root and its modify index.
    Found {
        /// Root.
        root: Rc<ConfigRoot>,
        /// Modify index, for the conditional write.
        index: u64,
    },
    /// There is no root.
    Absent,
    /// The platform did not respond.
    Failed,
}

/// Result of a write to the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteResult {
    /// The value was written.
    Written,
    /// The condition does not hold.
    ConditionFailed,
    /// The write had no effect.
    NotSent,
    /// The response was lost; the write may have taken effect or may still do so.
    ResponseLost,
}
