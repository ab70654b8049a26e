//! Runs one change of the configuration for an operator or for this instance.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use coriander_config::{
    ChangeCoordinator, ChangeRequest, ChangeResult, ConfigRoot, CoordinatorAction, ROOT_KEY,
    RootRead, SectionName, SectionRef, VersionConfirmed, WriteResult,
};
use coriander_consul::{ModifyIndex, PlatformError, PutCondition, PutOutcome};
use coriander_core::{ConfigVersion, FleetMember, InstanceId};
use std::collections::BTreeMap;
use tokio::sync::mpsc;

use super::ConfigService;

/// Time between two calls of the coordinator.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Time after which a change without any result is reported as undetermined.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(8);

type Fleet = BTreeMap<InstanceId, FleetMember>;

/// Result of an action that runs concurrently with the coordinator.
enum ActionResult {
    RootRead(RootRead, ConfigVersion),
    DocumentLoaded(ConfigVersion),
    FleetsLoaded(Option<Vec<Fleet>>),
    SectionStored(String, WriteResult),
    RootWritten(WriteResult),
    Reply(VersionConfirmed),
}

impl ConfigService {
    /// Makes a change and waits until it is accepted, refused or undetermined.
    pub async fn run_change(self: &Rc<Self>, request: ChangeRequest) -> ChangeResult {
        let started = self.now();
        let (mut coordinator, actions) = ChangeCoordinator::start(request, started);
        let mut queue: VecDeque<CoordinatorAction> = actions.into();
        let (sender, mut results) = mpsc::unbounded_channel();
        loop {
            while let Some(action) = queue.pop_front() {
                if let CoordinatorAction::Finish(result) = action {
                    return result;
                }
                self.start_action(action, &sender);
            }
            let result = tokio::time::timeout(TICK_INTERVAL, results.recv()).await;
            let now = self.now();
            let actions = match result {
                Ok(Some(result)) => self.handle_result(&mut coordinator, result),
                _ => coordinator.tick(now),
            };
            queue.extend(actions);
            if now.since(started) > CHANGE_TIMEOUT && queue.is_empty() {
                return ChangeResult::Undetermined;
            }
        }
    }

    fn handle_result(
        &self,
        coordinator: &mut ChangeCoordinator,
        result: ActionResult,
    ) -> Vec<CoordinatorAction> {
        let now = self.now();
        match result {
            ActionResult::RootRead(read, applied) => coordinator.root_read(read, applied, now),
            ActionResult::DocumentLoaded(version) => {
                let document = self.document();
                let loaded = (document.version == version).then_some(document);
                coordinator.document_loaded(loaded, now)
            }
            ActionResult::FleetsLoaded(fleets) => coordinator.fleets_loaded(fleets, now),
            ActionResult::SectionStored(key, result) => {
                coordinator.section_stored(&key, result, now)
            }
            ActionResult::RootWritten(result) => coordinator.root_written(result, now),
            ActionResult::Reply(reply) => coordinator.record_reply(&reply, now),
        }
    }

    fn start_action(
        self: &Rc<Self>,
        action: CoordinatorAction,
        results: &mpsc::UnboundedSender<ActionResult>,
    ) {
        if let CoordinatorAction::Apply { root, document } = &action {
            self.apply_document(root, document);
            return;
        }
        let service = self.clone();
        let results = results.clone();
        ntex::rt::spawn(async move { service.perform(action, &results).await });
    }

    async fn perform(
        self: Rc<Self>,
        action: CoordinatorAction,
        results: &mpsc::UnboundedSender<ActionResult>,
    ) {
        let result = match action {
            CoordinatorAction::ReadRoot => {
                let applied = self.version();
                ActionResult::RootRead(self.read_root().await, applied)
            }
            CoordinatorAction::LoadDocument(root) => {
                if root.version > self.version()
                    && let Err(error) = self.load_root(&root).await
                {
                    log::warn!("config: version {} not loaded: {error}", root.version);
                }
                ActionResult::DocumentLoaded(root.version)
            }
            CoordinatorAction::LoadFleets(refs) => {
                ActionResult::FleetsLoaded(self.read_fleets(&refs).await)
            }
            CoordinatorAction::StoreSection { key, bytes } => {
                let put = self
                    .context
                    .store
                    .put_key(&key, &bytes, PutCondition::Always)
                    .await;
                ActionResult::SectionStored(key, write_result(&put))
            }
            CoordinatorAction::WriteRoot {
                bytes,
                expected_index,
            } => {
                let condition = expected_index.map_or(PutCondition::Absent, |index| {
                    PutCondition::Unchanged(ModifyIndex::new(index))
                });
                let put = self
                    .context
                    .store
                    .put_key(ROOT_KEY, &bytes, condition)
                    .await;
                ActionResult::RootWritten(write_result(&put))
            }
            CoordinatorAction::RequestConfirmations(instances) => {
                self.request_confirmations(instances, results);
                return;
            }
            CoordinatorAction::DeleteSections(keys) => {
                for key in keys {
                    // A section that is not deleted only takes up space.
                    let _ = self.context.store.delete_key(&key).await;
                }
                return;
            }
            CoordinatorAction::Apply { .. } | CoordinatorAction::Finish(_) => return,
        };
        // The receiver is closed if the coordinator has finished.
        let _ = results.send(result);
    }

    fn request_confirmations(
        self: &Rc<Self>,
        instances: Vec<(InstanceId, std::net::SocketAddr)>,
        results: &mpsc::UnboundedSender<ActionResult>,
    ) {
        let request = self.begin_round();
        for (id, address) in instances {
            if id == self.context.own_id {
                let _ = results.send(ActionResult::Reply(self.confirm_version(request)));
                continue;
            }
            let service = self.clone();
            let results = results.clone();
            ntex::rt::spawn(async move {
                if let Some(reply) = service.request_confirmation(address, request).await {
                    let _ = results.send(ActionResult::Reply(reply));
                }
            });
        }
    }

    async fn read_root(&self) -> RootRead {
        match self.context.store.read_key(ROOT_KEY).await {
            Ok(read) => match read.value {
                None => RootRead::Absent,
                Some(value) => match ConfigRoot::decode(&value.bytes) {
                    Ok(root) => RootRead::Found {
                        root: Rc::new(root),
                        index: value.modify_index.get(),
                    },
                    Err(error) => {
                        log::error!("config: root not decoded: {error}");
                        RootRead::Failed
                    }
                },
            },
            Err(_) => RootRead::Failed,
        }
    }

    async fn read_fleets(&self, refs: &[SectionRef]) -> Option<Vec<Fleet>> {
        let mut fleets = Vec::with_capacity(refs.len());
        for fleet in refs {
            let key = fleet.platform_key(SectionName::Fleet);
            let value = self.context.store.read_key(&key).await.ok()?.value?;
            fleets.push(serde_json::from_slice(&value.bytes).ok()?);
        }
        Some(fleets)
    }
}

fn write_result(put: &Result<PutOutcome, PlatformError>) -> WriteResult {
    match put {
        Ok(PutOutcome::Written) => WriteResult::Written,
        Ok(PutOutcome::ConditionFailed) => WriteResult::ConditionFailed,
        Err(error) if error.may_have_taken_effect() => WriteResult::ResponseLost,
        Err(_) => WriteResult::NotSent,
    }
}
