//! Updates the configuration: platform watch, confirmation by other instances, fetching.

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

/// Maximum duration of one watch call. A completed watch confirms the version as of the time it was
/// sent, so two of them and a response time fit into the freshness period of 2 s.
const WATCH_TIMEOUT: Duration = Duration::from_millis(600);

/// Delay after a failed call to the platform.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Time between two rounds of confirmation requests to other instances.
const ROUND_INTERVAL: Duration = Duration::from_millis(400);

/// Age of the confirmation below which no confirmation from other instances is needed.
const MAX_RECENT_AGE: Duration = Duration::from_millis(700);

/// Time between two rounds that check whether a version is accepted.
const ACCEPTANCE_INTERVAL: Duration = Duration::from_millis(100);

/// Time within which another instance must reply.
const PEER_TIMEOUT: Duration = Duration::from_millis(800);

/// Watches the root on the platform while `is_watcher` returns true.
pub async fn watch_platform(service: Rc<ConfigService>, is_watcher: Box<dyn Fn() -> bool>) {
    let mut index = ModifyIndex::default();
    loop {
        // An instance that is not a watcher reads the root only if its confirmation is not recent.
        let is_needed = is_watcher()
            || service
                .confirmed_age()
                .is_none_or(|age| age > MAX_RECENT_AGE);
        if !is_needed {
            tokio::time::sleep(ROUND_INTERVAL).await;
            continue;
        }
        let sent = service.now();
        let read = if index == ModifyIndex::default() {
            service.context.store.read_key(ROOT_KEY).await
        } else {
            service
                .context
                .store
                .watch_key(ROOT_KEY, index, WATCH_TIMEOUT)
                .await
        };
        match read {
            Ok(read) => {
                index = read.watch_index;
                service.handle_root_read(read, sent).await;
            }
            Err(error) => {
                log::debug!("config: root not read: {error}");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

impl ConfigService {
    async fn handle_root_read(&self, read: KeyRead, sent: coriander_core::MonotonicTime) {
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
        let applied = self.root();
        let names = sections_to_fetch(applied.as_ref().map(|root| &root.sections), root);
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
        let read = self.context.store.read_key(&key).await?;
        Ok(read.value.map(|value| EncodedSection {
            name,
            bytes: value.bytes,
        }))
    }

    /// Requests confirmation from other instances while the last confirmation is not recent.
    ///
    /// `watchers` returns the instances that are queried first: the watchers of the own zone.
    pub async fn confirm_by_peers(
        self: Rc<Self>,
        watchers: Box<dyn Fn() -> Vec<(InstanceId, SocketAddr)>>,
    ) {
        loop {
            tokio::time::sleep(ROUND_INTERVAL).await;
            if self.confirmed_age().is_some_and(|age| age < MAX_RECENT_AGE) {
                continue;
            }
            let own = &self.context.own_id;
            let mut targets: Vec<_> = watchers();
            if self
                .confirmed_age()
                .is_none_or(|age| age >= MAX_RECENT_AGE + ROUND_INTERVAL)
            {
                // The watchers did not confirm the version, so a majority of the fleet is needed.
                let document = self.document();
                targets = document
                    .fleet
                    .iter()
                    .map(|(id, member)| (id.clone(), member.peer_address))
                    .collect();
            }
            targets.retain(|(id, _)| id != own);
            let request = self.begin_round();
            let own_reply = self.confirm_version(request);
            self.record_reply(&own_reply);
            for (_, address) in targets {
                let service = self.clone();
                ntex::rt::spawn(async move {
                    if let Some(reply) = service.request_confirmation(address, request).await {
                        service.handle_confirmation(&reply, address).await;
                    }
                });
            }
        }
    }

    /// Queries the version that another instance has applied.
    pub(super) async fn request_confirmation(
        &self,
        address: SocketAddr,
        request: coriander_config::ConfirmVersion,
    ) -> Option<VersionConfirmed> {
        let request = PeerRequest::ConfirmVersion(request);
        match self
            .context
            .peers
            .call(address, request, PEER_TIMEOUT)
            .await
        {
            Ok(PeerReply::VersionConfirmed(reply)) => Some(reply),
            _ => None,
        }
    }

    async fn handle_confirmation(&self, reply: &VersionConfirmed, address: SocketAddr) {
        if reply.version > self.version() {
            self.fetch_from(address).await;
        }
        self.record_reply(reply);
    }

    /// Calls `accepted` with the applied version as soon as the fleet has accepted it.
    ///
    /// Rate limits depend on it, because instances with the previous version may spend tokens until
    /// then.
    pub async fn watch_acceptance(self: Rc<Self>, accepted: Box<dyn Fn(ConfigVersion)>) {
        let mut previous = BTreeSet::new();
        loop {
            let document = self.document();
            let fleet: BTreeSet<InstanceId> = document.fleet.keys().cloned().collect();
            let fleets = vec![previous.clone(), fleet.clone()];
            let tally = RefCell::new(AcceptanceTally::new(document.version, fleets));
            while !tally.borrow().is_accepted() && self.version() == document.version {
                self.request_fleet_confirmations(&document, &tally).await;
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

    async fn request_fleet_confirmations(
        &self,
        document: &ConfigDocument,
        tally: &RefCell<AcceptanceTally>,
    ) {
        let request = self.begin_round();
        tally
            .borrow_mut()
            .record_reply(&self.confirm_version(request), self.now());
        let others = document
            .fleet
            .iter()
            .filter(|(id, _)| **id != self.context.own_id);
        let calls = others.map(|(_, member)| async move {
            if let Some(reply) = self
                .request_confirmation(member.peer_address, request)
                .await
            {
                tally.borrow_mut().record_reply(&reply, self.now());
            }
        });
        // An instance that does not reply delays the round only by the timeout of the call.
        let _ = tokio::time::timeout(PEER_TIMEOUT, join_all(calls)).await;
        tokio::time::sleep(ACCEPTANCE_INTERVAL).await;
    }

    /// Fetches a newer configuration from another instance.
    pub async fn fetch_from(&self, address: SocketAddr) {
        let request = PeerRequest::FetchConfig(self.fetch_request());
        let reply = self
            .context
            .peers
            .call(address, request, PEER_TIMEOUT)
            .await;
        let Ok(PeerReply::Config(bundle)) = reply else {
            return;
        };
        if let Err(error) = self.apply_bundle(&bundle) {
            log::warn!("config: reply of {address} not applied: {error}");
        }
    }
}
