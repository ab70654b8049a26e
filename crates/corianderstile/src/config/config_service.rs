//! Applied configuration, freshness and keys of this instance.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use coriander_config::{
    ConfigBundle, ConfigChange, ConfigRoot, ConfigState, ConfigView, ConfirmVersion,
    EncodedSection, FetchConfig, FreshnessGuard, Incarnation, KeyVerifier, SectionError,
    VerifiedKey, VersionConfirmed,
};
use coriander_consul::PlatformStore;
use coriander_core::{
    ClassName, ClassTarget, ConfigDocument, ConfigVersion, ErrorCode, InstanceId, KeyDigest,
    MonotonicTime, RequestError, ZoneName,
};
use tokio::sync::Notify;

use crate::peer::PeerClient;
use crate::process_clock::ProcessClock;

/// Function that is called with each applied version.
pub type ConfigListener = Box<dyn Fn(&ConfigDocument, &[ConfigChange])>;

/// Dependencies of the configuration service.
pub struct ConfigContext {
    /// Identifier of this instance.
    pub own_id: InstanceId,
    /// Random number that identifies this process.
    pub incarnation: Incarnation,
    /// Clock of this process.
    pub clock: ProcessClock,
    /// Store of the platform.
    pub store: Rc<dyn PlatformStore>,
    /// Connections to other instances.
    pub peers: Rc<PeerClient>,
}

/// The configuration of this instance.
pub struct ConfigService {
    pub(super) context: ConfigContext,
    state: RefCell<ConfigState>,
    guard: RefCell<FreshnessGuard>,
    verifier: RefCell<KeyVerifier>,
    listeners: RefCell<Vec<ConfigListener>>,
    notified_version: Cell<ConfigVersion>,
    pub(super) changed: Notify,
}

impl ConfigService {
    /// Creates the service without a configuration.
    pub fn new(context: ConfigContext) -> Rc<Self> {
        let guard = FreshnessGuard::new(context.own_id.clone(), context.incarnation);
        Rc::new(Self {
            context,
            state: RefCell::default(),
            guard: RefCell::new(guard),
            verifier: RefCell::new(KeyVerifier::new(&ConfigDocument::default())),
            listeners: RefCell::default(),
            notified_version: Cell::default(),
            changed: Notify::new(),
        })
    }

    /// Adds a function that is called with each applied version.
    pub fn add_listener(&self, listener: ConfigListener) {
        self.listeners.borrow_mut().push(listener);
    }

    /// Fails if this instance may not serve requests now.
    pub fn may_serve(&self) -> Result<(), RequestError> {
        if self.guard.borrow().may_serve(self.now()) {
            return Ok(());
        }
        let message = "the configuration was not confirmed within the last 2 s";
        Err(RequestError::not_run(ErrorCode::ConfigStale, message))
    }

    /// Returns the account of a key.
    pub fn verify(&self, key: &str) -> Result<VerifiedKey, RequestError> {
        self.verifier
            .borrow()
            .verify(key)
            .map_err(|error| RequestError::not_run(ErrorCode::Unauthorized, error.to_string()))
    }

    /// Fails if the instance may not serve or the key is no longer valid.
    pub fn check_key(&self, key: &KeyDigest) -> Result<(), RequestError> {
        self.may_serve()?;
        if self.document().keys.contains_key(key) {
            return Ok(());
        }
        Err(RequestError::not_run(
            ErrorCode::Unauthorized,
            "key is not valid",
        ))
    }

    /// Returns the target of a class; a class that is not configured has the default target.
    pub fn class_target(&self, class: &ClassName) -> ClassTarget {
        self.document()
            .classes
            .get(class)
            .cloned()
            .unwrap_or_default()
    }

    /// Returns whether operators keep a zone in service.
    pub fn is_zone_in(&self, zone: &ZoneName) -> bool {
        self.document().is_zone_in(zone)
    }

    /// Returns the applied document.
    pub fn document(&self) -> Rc<ConfigDocument> {
        self.state.borrow().document().clone()
    }

    /// Returns the applied version.
    pub fn version(&self) -> ConfigVersion {
        self.state.borrow().version()
    }

    /// Returns the time since the version was confirmed, if it is fresh.
    pub fn confirmed_age(&self) -> Option<Duration> {
        self.guard.borrow().confirmed_age(self.now())
    }

    /// Returns whether the platform responded within the freshness period.
    pub fn is_platform_reached(&self) -> bool {
        self.guard.borrow().has_recent_platform_read(self.now())
    }

    /// Returns the configuration for operators.
    pub fn view(&self) -> ConfigView {
        let age = self.confirmed_age();
        ConfigView {
            instance: self.context.own_id.clone(),
            document: (*self.document()).clone(),
            fresh: age.is_some(),
            age,
        }
    }

    /// Returns the reply to a query for the applied version.
    pub fn confirm_version(&self, request: ConfirmVersion) -> VersionConfirmed {
        self.guard.borrow().reply_to(request, self.now())
    }

    /// Returns the reply to a request for a newer configuration.
    pub fn newer_bundle(&self, request: &FetchConfig) -> ConfigBundle {
        self.state
            .borrow()
            .reply_to_fetch(request)
            .unwrap_or_else(|error| {
                log::error!("config: bundle not encoded: {error}");
                ConfigBundle::Current
            })
    }

    pub(super) fn now(&self) -> MonotonicTime {
        self.context.clock.now()
    }

    pub(super) fn root(&self) -> Option<Rc<ConfigRoot>> {
        self.state.borrow().root().cloned()
    }

    pub(super) fn fetch_request(&self) -> FetchConfig {
        self.state.borrow().fetch_request()
    }

    pub(super) fn begin_round(&self) -> ConfirmVersion {
        self.guard.borrow_mut().begin_round(self.now())
    }

    pub(super) fn record_reply(&self, reply: &VersionConfirmed) {
        self.guard.borrow_mut().record_reply(reply, self.now());
    }

    pub(super) fn record_platform(&self, version: ConfigVersion, sent: MonotonicTime) {
        self.guard.borrow_mut().record_platform_read(version, sent);
    }

    pub(super) fn apply_sections(
        &self,
        root: &ConfigRoot,
        fetched: &[EncodedSection],
    ) -> Result<(), SectionError> {
        let changes = self.state.borrow_mut().apply_sections(root, fetched)?;
        self.notify_listeners(&changes);
        Ok(())
    }

    pub(super) fn apply_bundle(&self, bundle: &ConfigBundle) -> Result<(), SectionError> {
        let changes = self.state.borrow_mut().apply_bundle(bundle)?;
        self.notify_listeners(&changes);
        Ok(())
    }

    pub(super) fn apply_document(&self, root: &ConfigRoot, document: &ConfigDocument) {
        let changes = self
            .state
            .borrow_mut()
            .apply(root.clone(), document.clone());
        self.notify_listeners(&changes);
    }

    /// Updates the key verifier and calls all listeners for a newly applied version.
    fn notify_listeners(&self, changes: &[ConfigChange]) {
        let document = self.document();
        if document.version <= self.notified_version.replace(document.version) {
            return;
        }
        // The verifier is replaced first, so that no request with a withdrawn key is accepted once
        // the version counts as applied.
        *self.verifier.borrow_mut() = KeyVerifier::new(&document);
        for listener in &*self.listeners.borrow() {
            listener(&document, changes);
        }
        self.guard.borrow_mut().record_applied(&document);
        log::info!(
            "config: applied version {} by {}",
            document.version,
            document.author
        );
        self.changed.notify_waiters();
    }
}
