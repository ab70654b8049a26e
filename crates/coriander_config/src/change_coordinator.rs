//! Writes one operator's change and determines whether it is accepted.

mod change_ending;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use coriander_core::{ConfigDocument, ConfigVersion, FleetMember, InstanceId, MonotonicTime};

use crate::change_plan::ChangePlan;
use crate::{
    AcceptanceTally, ChangeRequest, ConfigRoot, CoordinatorAction, RefusalReason, RootRead,
    VersionConfirmed, WriteResult,
};

/// Time within which a change has a result.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time to determine whether the version before the change is accepted.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before a step is repeated. The client of the platform limits the rate of calls as well.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time between two rounds of requests to the fleet. Acceptance requires two rounds.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(150);
/// Maximum length of a change id or author; the root contains both for recent changes.
const MAX_TEXT_BYTES: usize = 64;

type Fleet = BTreeMap<InstanceId, FleetMember>;

/// Result that the coordinator waits for.
#[derive(Clone, Debug)]
enum ChangePhase {
    /// The root, before or after a write.
    Reading,
    /// The document of the root that was read.
    LoadingDocument,
    /// Fleets of earlier versions that also have to confirm.
    LoadingFleets,
    /// Confirmations of the version before the change.
    Settling { deadline: MonotonicTime },
    /// Sections that are being stored.
    Storing {
        remaining: BTreeMap<String, Vec<u8>>,
    },
    /// The conditional write of the root.
    Writing,
    /// Confirmations of the change.
    Confirming,
    /// Nothing.
    Finished,
}

/// Applies one change to the version that the operator expects.
///
/// The root is written with compare-and-swap. After a lost response the root is read back: if it
/// lists the change id, the change is recorded; if it is unchanged, the same write is repeated,
/// because the first one may be lost or still in transit, and at most one of them can take effect.
/// A change that is found to be recorded already, for example by a retry through another
/// instance, is only confirmed.
///
/// ```
/// use coriander_config::{ChangeCommand, ChangeCoordinator, ChangeRequest, CoordinatorAction};
/// use coriander_core::{ConfigVersion, MonotonicTime};
///
/// let request = ChangeRequest {
///     change_id: "6f1c".into(),
///     author: "amina".into(),
///     expected: ConfigVersion::default(),
///     change: ChangeCommand::AddDatabase { database: "orders".parse().expect("valid name") },
/// };
/// let (coordinator, actions) = ChangeCoordinator::start(request, MonotonicTime::ZERO);
/// assert_eq!(actions, [CoordinatorAction::ReadRoot]);
/// assert!(!coordinator.is_finished());
/// ```
#[derive(Clone, Debug)]
pub struct ChangeCoordinator {
    request: ChangeRequest,
    phase: ChangePhase,
    deadline: MonotonicTime,
    retry_at: Option<MonotonicTime>,
    /// Whether a write of the root may have taken effect or may still do so.
    has_unresolved_write: bool,
    base: Option<(Rc<ConfigRoot>, u64)>,
    base_document: Rc<ConfigDocument>,
    /// Fleets that must confirm, the newest last.
    fleets: Vec<Fleet>,
    plan: Option<ChangePlan>,
    recorded_version: Option<ConfigVersion>,
    tally: Option<AcceptanceTally>,
}

impl ChangeCoordinator {
    /// Starts a change.
    pub fn start(request: ChangeRequest, now: MonotonicTime) -> (Self, Vec<CoordinatorAction>) {
        let is_valid = |text: &str| !text.is_empty() && text.len() <= MAX_TEXT_BYTES;
        let change_id = &request.change_id;
        // The change id is part of platform keys.
        let has_plain_id = change_id
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b == b'-');
        let is_well_formed =
            has_plain_id && is_valid(&request.change_id) && is_valid(&request.author);
        let mut coordinator = Self {
            request,
            phase: ChangePhase::Reading,
            deadline: now + CHANGE_TIMEOUT,
            retry_at: None,
            has_unresolved_write: false,
            base: None,
            base_document: Rc::default(),
            fleets: Vec::new(),
            plan: None,
            recorded_version: None,
            tally: None,
        };
        let actions = if is_well_formed {
            vec![CoordinatorAction::ReadRoot]
        } else {
            coordinator.refuse(RefusalReason::BadRequest)
        };
        (coordinator, actions)
    }

    /// Returns whether the result has been reported.
    pub const fn is_finished(&self) -> bool {
        matches!(self.phase, ChangePhase::Finished)
    }

    /// Continues after reading the root.
    ///
    /// `applied` is the version that this instance had applied when it sent the read.
    pub fn root_read(
        &mut self,
        read: RootRead,
        applied: ConfigVersion,
        now: MonotonicTime,
    ) -> Vec<CoordinatorAction> {
        if !matches!(self.phase, ChangePhase::Reading) {
            return Vec::new();
        }
        let (version, found) = match read {
            RootRead::Failed => return self.retry_later(now),
            RootRead::Absent => (ConfigVersion::default(), None),
            RootRead::Found { root, index } => (root.version, Some((root, index))),
        };
        if version < applied {
            return self.refuse(RefusalReason::PlatformBehind);
        }
        if let Some((root, _)) = &found
            && let Some(recorded) = root.find_change(&self.request.change_id)
        {
            return self.confirm_recorded(Rc::clone(root), recorded, now);
        }
        if version != self.request.expected {
            return self.report_conflict(found.as_ref().map(|(root, _)| root));
        }
        if self.plan.is_some() {
            // This read follows a lost response: the root is unchanged.
            return self.write_root();
        }
        self.base.clone_from(&found);
        match found {
            Some((root, _)) => {
                self.phase = ChangePhase::LoadingDocument;
                vec![CoordinatorAction::LoadDocument(root)]
            }
            None => self.make_plan(true),
        }
    }

    /// Continues after loading a document; `None` if that failed.
    pub fn document_loaded(
        &mut self,
        document: Option<Rc<ConfigDocument>>,
        now: MonotonicTime,
    ) -> Vec<CoordinatorAction> {
        let (ChangePhase::LoadingDocument, Some((root, _))) = (&self.phase, &self.base) else {
            return Vec::new();
        };
        let Some(document) = document.filter(|document| document.version == root.version) else {
            // The version may be superseded and its sections deleted.
            self.phase = ChangePhase::Reading;
            return self.retry_later(now);
        };
        let current = &root.sections.fleet;
        let earlier = root
            .fleets
            .iter()
            .filter(|fleet| fleet.digest != current.digest);
        let earlier: Vec<_> = earlier.cloned().collect();
        self.fleets = vec![document.fleet.clone()];
        self.base_document = document;
        if earlier.is_empty() {
            return self.continue_with_fleets(now);
        }
        self.phase = ChangePhase::LoadingFleets;
        vec![CoordinatorAction::LoadFleets(earlier)]
    }

    /// Continues after loading fleets of earlier versions; `None` if that failed.
    pub fn fleets_loaded(
        &mut self,
        fleets: Option<Vec<Fleet>>,
        now: MonotonicTime,
    ) -> Vec<CoordinatorAction> {
        if !matches!(self.phase, ChangePhase::LoadingFleets) {
            return Vec::new();
        }
        let Some(fleets) = fleets else {
            self.phase = ChangePhase::Reading;
            return self.retry_later(now);
        };
        self.fleets.splice(..0, fleets);
        self.continue_with_fleets(now)
    }

    /// Continues after storing a section.
    pub fn section_stored(
        &mut self,
        key: &str,
        result: WriteResult,
        now: MonotonicTime,
    ) -> Vec<CoordinatorAction> {
        let ChangePhase::Storing { remaining } = &mut self.phase else {
            return Vec::new();
        };
        if result != WriteResult::Written {
            return self.retry_later(now);
        }
        remaining.remove(key);
        if !remaining.is_empty() {
            return Vec::new();
        }
        self.retry_at = None;
        self.write_root()
    }

    /// Continues after writing the root.
    pub fn root_written(
        &mut self,
        result: WriteResult,
        now: MonotonicTime,
    ) -> Vec<CoordinatorAction> {
        if !matches!(self.phase, ChangePhase::Writing) {
            return Vec::new();
        }
        match result {
            WriteResult::Written => {
                let version = self.request.expected.next();
                self.start_confirming(version, now)
            }
            WriteResult::NotSent => self.retry_later(now),
            // The condition also fails if an earlier write of the same change took effect.
            WriteResult::ConditionFailed | WriteResult::ResponseLost => {
                self.has_unresolved_write |= result == WriteResult::ResponseLost;
                self.phase = ChangePhase::Reading;
                vec![CoordinatorAction::ReadRoot]
            }
        }
    }

    /// Records the reply of an instance, also that of this instance.
    pub fn record_reply(
        &mut self,
        reply: &VersionConfirmed,
        now: MonotonicTime,
    ) -> Vec<CoordinatorAction> {
        let Some(tally) = &mut self.tally else {
            return Vec::new();
        };
        tally.record_reply(reply, now);
        if !tally.is_check_due() || !tally.is_accepted() {
            return Vec::new();
        }
        match self.phase {
            ChangePhase::Settling { .. } => self.make_plan(true),
            ChangePhase::Confirming => self.accept(),
            _ => Vec::new(),
        }
    }

    /// Repeats steps and ends the change at its deadline; should be called about every 50 ms.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<CoordinatorAction> {
        if self.is_finished() {
            return Vec::new();
        }
        if now >= self.deadline {
            return self.expire();
        }
        if let ChangePhase::Settling { deadline } = self.phase
            && now >= deadline
        {
            return self.make_plan(false);
        }
        if self.retry_at.is_none_or(|time| now < time) {
            return Vec::new();
        }
        self.retry_at = None;
        match &self.phase {
            ChangePhase::Reading => vec![CoordinatorAction::ReadRoot],
            ChangePhase::Storing { remaining } => store_actions(remaining),
            ChangePhase::Writing => self.write_root(),
            ChangePhase::Settling { .. } | ChangePhase::Confirming => {
                self.request_confirmations(now)
            }
            ChangePhase::LoadingDocument | ChangePhase::LoadingFleets | ChangePhase::Finished => {
                Vec::new()
            }
        }
    }

    fn confirm_recorded(
        &mut self,
        root: Rc<ConfigRoot>,
        recorded: ConfigVersion,
        now: MonotonicTime,
    ) -> Vec<CoordinatorAction> {
        let is_own_root = self.plan.as_ref().is_some_and(|plan| plan.root == root);
        if is_own_root {
            return self.start_confirming(recorded, now);
        }
        // Acceptance of the current version implies that of the recorded one.
        self.recorded_version = Some(recorded);
        self.plan = None;
        self.base = Some((Rc::clone(&root), 0));
        self.phase = ChangePhase::LoadingDocument;
        vec![CoordinatorAction::LoadDocument(root)]
    }

    fn continue_with_fleets(&mut self, now: MonotonicTime) -> Vec<CoordinatorAction> {
        let version = self.base_document.version;
        if self.recorded_version.is_none() && self.fleets.len() == 1 {
            // Only versions of the current fleet can be unconfirmed, so there is nothing to settle.
            return self.make_plan(false);
        }
        let fleets = self
            .fleets
            .iter()
            .map(|fleet| fleet.keys().cloned().collect());
        self.tally = Some(AcceptanceTally::new(version, fleets.collect()));
        self.phase = if self.recorded_version.is_some() {
            ChangePhase::Confirming
        } else {
            let deadline = now + SETTLE_TIMEOUT;
            ChangePhase::Settling { deadline }
        };
        self.request_confirmations(now)
    }

    fn make_plan(&mut self, is_settled: bool) -> Vec<CoordinatorAction> {
        self.tally = None;
        self.retry_at = None;
        let base = self.base.as_ref().map(|(root, _)| &**root);
        let plan = match ChangePlan::new(&self.request, base, &self.base_document, is_settled) {
            Ok(plan) => plan,
            Err(reason) => return self.refuse(reason),
        };
        if is_settled {
            // The fleet of the base version is the last one.
            self.fleets.drain(..self.fleets.len().saturating_sub(1));
        }
        let remaining = plan.section_writes();
        self.plan = Some(plan);
        let actions = store_actions(&remaining);
        self.phase = ChangePhase::Storing { remaining };
        actions
    }

    fn write_root(&mut self) -> Vec<CoordinatorAction> {
        self.phase = ChangePhase::Writing;
        let bytes = self.plan.as_ref().map(|plan| plan.encoded_root.clone());
        let expected_index = self.base.as_ref().map(|(_, index)| *index);
        let bytes = bytes.unwrap_or_default();
        vec![CoordinatorAction::WriteRoot {
            bytes,
            expected_index,
        }]
    }

    fn start_confirming(
        &mut self,
        version: ConfigVersion,
        now: MonotonicTime,
    ) -> Vec<CoordinatorAction> {
        let Some(plan) = self.plan.clone() else {
            return Vec::new();
        };
        self.recorded_version = Some(version);
        self.has_unresolved_write = false;
        self.fleets.push(plan.document.fleet.clone());
        let fleets: Vec<BTreeSet<_>> = self
            .fleets
            .iter()
            .map(|fleet| fleet.keys().cloned().collect())
            .collect();
        self.tally = Some(AcceptanceTally::new(version, fleets));
        self.phase = ChangePhase::Confirming;
        let mut actions = vec![CoordinatorAction::Apply {
            root: plan.root,
            document: plan.document,
        }];
        actions.extend(self.request_confirmations(now));
        actions
    }

    fn request_confirmations(&mut self, now: MonotonicTime) -> Vec<CoordinatorAction> {
        if self
            .tally
            .as_ref()
            .is_some_and(AcceptanceTally::is_accepted)
        {
            return match self.phase {
                ChangePhase::Settling { .. } => self.make_plan(true),
                _ => self.accept(),
            };
        }
        self.retry_at = Some(now + CONFIRM_INTERVAL);
        // The newest address of an instance is in the newest fleet, which comes last.
        let mut addresses: BTreeMap<InstanceId, SocketAddr> = BTreeMap::new();
        for (id, member) in self.fleets.iter().flatten() {
            addresses.insert(id.clone(), member.peer_address);
        }
        vec![CoordinatorAction::RequestConfirmations(
            addresses.into_iter().collect(),
        )]
    }

    fn retry_later(&mut self, now: MonotonicTime) -> Vec<CoordinatorAction> {
        self.retry_at = Some(now + RETRY_DELAY);
        Vec::new()
    }
}

fn store_actions(remaining: &BTreeMap<String, Vec<u8>>) -> Vec<CoordinatorAction> {
    let store = |(key, bytes): (&String, &Vec<u8>)| CoordinatorAction::StoreSection {
        key: key.clone(),
        bytes: bytes.clone(),
    };
    remaining.iter().map(store).collect()
}
