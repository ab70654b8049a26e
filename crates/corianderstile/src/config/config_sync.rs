//! Keeps the configuration current: platform watch, confirmation by other instances, fetching.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use coriander_config::{
    AcceptanceTally, ConfigRoot, EncodedSection, ROOT_KEY, SectionName, VersionConfirmed,
    sections_to_fetch,
};
use coriander_consul::{KeyRead, ModifyIndex, PlatformError};
use coriander_core::{ConfigDocument, ConfigVersion, InstanceId};
use ntex::util::join_all;

use super::ConfigService;
use crate::peer::{PeerReply, PeerRequest};

/// Longest wait of one watch. An answered watch confirms the version as of its sending, so two of
/// them and an answer time fit into the freshness period of 2 s.
const WATCH_WAIT: Duration = Duration::from_millis(600);

/// Pause after a failed call to the platform.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Time between two rounds of questions to other instances.
const ROUND_PERIOD: Duration = Duration::from_millis(400);

/// Age of the confirmation below which other instances need not be asked.
const YOUNG_AGE: Duration = Duration::from_millis(700);

/// Pause between two rounds that find out whether a version is accepted.
const ACCEPTANCE_PAUSE: Duration = Duration::from_millis(100);

/// Time within which another instance must answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(800);

/// Watches the root in the platform while `is_watcher` says so.
pub async fn watch_platform(service: Rc<ConfigService>, is_watcher: Box<dyn Fn() -> bool>) {
    let mut index = ModifyIndex::default();
    loop {
        // A non-watcher reads by itself only if the others leave it without confirmation.
        let is_needed = is_watcher() || service.confirmed_age().is_none_or(|age| age > YOUNG_AGE);
        if !is_needed {
            tokio::time::sleep(ROUND_PERIOD).await;
            continue;
        }
        let sent = service.now();
        let read = if index == ModifyIndex::default() {
            service.parts.store.read_key(ROOT_KEY).await
        } else {
            service
                .parts
                .store
                .watch_key(ROOT_KEY, index, WATCH_WAIT)
                .await
        };
        match read {
            Ok(read) => {
                index = read.watch_index;
                service.take_root_read(read, sent).await;
            }
            Err(error) => {
                log::debug!("config: root not read: {error}");
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

impl ConfigService {
    async fn take_root_read(&self, read: KeyRead, sent: coriander_core::MonotonicTime) {
        let Some(value) = read.value else {
            return;
        };
        let root = match ConfigRoot::decode(&value.bytes) {
            Ok(root) => root,
            Err(error) => return log::error!("config: root not decoded: {error}"),
        };
        if root.version < self.version() {
            log::error!(
                "config: platform has version {} below the applied {}; keeping the applied one",
                root.version,
                self.version()
            );
        }
        let version = root.version;
        if version > self.version()
            && let Err(error) = self.load_root(&root).await
        {
            return log::warn!("config: version {version} not loaded: {error}");
        }
        self.record_platform(version, sent);
    }

    /// Reads the sections of a root that this instance does not have, and applies the root.
    pub(super) async fn load_root(&self, root: &ConfigRoot) -> Result<(), PlatformError> {
        let have = self.root();
        let names = sections_to_fetch(have.as_ref().map(|root| &root.sections), root);
        let mut fetched = Vec::with_capacity(names.len());
        for name in names {
            if let Some(section) = self.read_section(root, name).await? {
                fetched.push(section);
            }
        }
        if let Err(error) = self.apply_sections(root, &fetched) {
            // A section may have been deleted because a later version replaced it.
            log::warn!("config: version {} not assembled: {error}", root.version);
        }
        Ok(())
    }

    async fn read_section(
        &self,
        root: &ConfigRoot,
        name: SectionName,
    ) -> Result<Option<EncodedSection>, PlatformError> {
        let key = root.sections.get(name).platform_key(name);
        let read = self.parts.store.read_key(&key).await?;
        Ok(read.value.map(|value| EncodedSection {
            name,
            bytes: value.bytes,
        }))
    }

    /// Asks other instances for confirmation while the own one grows old.
    ///
    /// `targets` returns the instances that are asked first: the watchers of the own zone.
    pub async fn confirm_by_peers(
        self: Rc<Self>,
        targets: Box<dyn Fn() -> Vec<(InstanceId, SocketAddr)>>,
    ) {
        loop {
            tokio::time::sleep(ROUND_PERIOD).await;
            if self.confirmed_age().is_some_and(|age| age < YOUNG_AGE) {
                continue;
            }
            let own = &self.parts.own_id;
            let mut asked: Vec<_> = targets();
            if self
                .confirmed_age()
                .is_none_or(|age| age >= YOUNG_AGE + ROUND_PERIOD)
            {
                // The watchers did not help, so a majority of the fleet has to be asked.
                let document = self.document();
                asked = document
                    .fleet
                    .iter()
                    .map(|(id, member)| (id.clone(), member.peer_address))
                    .collect();
            }
            asked.retain(|(id, _)| id != own);
            let request = self.begin_round();
            let own_answer = self.answer_confirm(request);
            self.record_answer(&own_answer);
            for (_, address) in asked {
                let service = self.clone();
                ntex::rt::spawn(async move {
                    if let Some(answer) = service.ask(address, request).await {
                        service.take_answer(&answer, address).await;
                    }
                });
            }
        }
    }

    /// Asks one instance which version it has applied.
    pub(super) async fn ask(
        &self,
        address: SocketAddr,
        request: coriander_config::ConfirmVersion,
    ) -> Option<VersionConfirmed> {
        let request = PeerRequest::ConfirmVersion(request);
        match self.parts.peers.call(address, request, ASK_TIMEOUT).await {
            Ok(PeerReply::VersionConfirmed(answer)) => Some(answer),
            _ => None,
        }
    }

    async fn take_answer(&self, answer: &VersionConfirmed, address: SocketAddr) {
        if answer.version > self.version() {
            self.fetch_from(address).await;
        }
        self.record_answer(answer);
    }

    /// Finds out when the applied version is accepted, and calls `accepted` with it.
    ///
    /// Rate limits need to know, because instances of the previous version may spend until then.
    pub async fn watch_acceptance(self: Rc<Self>, accepted: Box<dyn Fn(ConfigVersion)>) {
        let mut previous = BTreeSet::new();
        loop {
            let document = self.document();
            let fleet: BTreeSet<InstanceId> = document.fleet.keys().cloned().collect();
            let fleets = vec![previous.clone(), fleet.clone()];
            let tally = RefCell::new(AcceptanceTally::new(document.version, fleets));
            while !tally.borrow().is_accepted() && self.version() == document.version {
                self.ask_fleet(&document, &tally).await;
            }
            if tally.borrow().is_accepted() {
                accepted(document.version);
                previous = fleet;
            } else {
                previous.extend(fleet);
            }
            while self.version() == document.version {
                self.changed.notified().await;
            }
        }
    }

    async fn ask_fleet(&self, document: &ConfigDocument, tally: &RefCell<AcceptanceTally>) {
        let request = self.begin_round();
        tally
            .borrow_mut()
            .record_reply(&self.answer_confirm(request), self.now());
        let others = document
            .fleet
            .iter()
            .filter(|(id, _)| **id != self.parts.own_id);
        let calls = others.map(|(_, member)| async move {
            if let Some(answer) = self.ask(member.peer_address, request).await {
                tally.borrow_mut().record_reply(&answer, self.now());
            }
        });
        // A member that does not answer delays the round by the timeout of the call only.
        let _ = tokio::time::timeout(ASK_TIMEOUT, join_all(calls)).await;
        tokio::time::sleep(ACCEPTANCE_PAUSE).await;
    }

    /// Fetches a newer configuration from another instance.
    pub async fn fetch_from(&self, address: SocketAddr) {
        let request = PeerRequest::FetchConfig(self.fetch_request());
        let reply = self.parts.peers.call(address, request, ASK_TIMEOUT).await;
        let Ok(PeerReply::Config(bundle)) = reply else {
            return;
        };
        if let Err(error) = self.apply_bundle(&bundle) {
            log::warn!("config: answer of {address} not applied: {error}");
        }
    }
}
