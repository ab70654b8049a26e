//! All gateways of this instance.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use coriander_core::{ClassName, ClassTarget, ConfigDocument, DatabaseName, KeyDigest};

use super::database_gateway::{DatabaseGateway, GatewayContext};

/// Gateways by database, created when first needed.
pub struct GatewaySet {
    context: Rc<GatewayContext>,
    gateways: RefCell<BTreeMap<DatabaseName, Rc<DatabaseGateway>>>,
    classes: RefCell<BTreeMap<ClassName, ClassTarget>>,
}

impl GatewaySet {
    /// Creates an empty set.
    pub fn new(context: Rc<GatewayContext>) -> Self {
        Self {
            context,
            gateways: RefCell::default(),
            classes: RefCell::default(),
        }
    }

    /// Returns the gateway of a database, creating it if needed.
    pub fn get(&self, database: &DatabaseName) -> Rc<DatabaseGateway> {
        if let Some(gateway) = self.find(database) {
            return gateway;
        }
        let gateway = DatabaseGateway::start(database.clone(), self.context.clone());
        for (class, target) in &*self.classes.borrow() {
            gateway.set_class_target(class.clone(), target);
        }
        let mut gateways = self.gateways.borrow_mut();
        gateways.insert(database.clone(), gateway.clone());
        gateway
    }

    /// Returns the gateway of a database if it exists.
    pub fn find(&self, database: &DatabaseName) -> Option<Rc<DatabaseGateway>> {
        self.gateways.borrow().get(database).cloned()
    }

    /// Returns the gateways that exist.
    pub fn list(&self) -> Vec<Rc<DatabaseGateway>> {
        self.gateways.borrow().values().cloned().collect()
    }

    /// Applies targets, zones and databases of a configuration.
    pub fn apply_config(&self, document: &ConfigDocument) {
        self.remove_databases(document);
        let previous = self.classes.replace(document.classes.clone());
        let is_removed = |class: &&ClassName| !document.classes.contains_key(*class);
        for gateway in self.list() {
            for (class, target) in &document.classes {
                gateway.set_class_target(class.clone(), target);
            }
            for class in previous.keys().filter(is_removed) {
                gateway.set_class_target(class.clone(), &ClassTarget::default());
            }
            gateway.apply_config();
        }
    }

    fn remove_databases(&self, document: &ConfigDocument) {
        self.gateways.borrow_mut().retain(|name, gateway| {
            let is_kept = document.databases.contains(name);
            if !is_kept {
                gateway.stop();
            }
            is_kept
        });
    }

    /// Cancels waiting requests and rolls back transactions of withdrawn keys.
    pub fn withdraw_keys(&self, keys: &[KeyDigest]) {
        for gateway in self.list() {
            gateway.withdraw_keys(keys);
        }
    }

    /// Returns the number of requests and transactions in progress.
    pub fn in_flight(&self) -> usize {
        self.list().iter().map(|gateway| gateway.in_flight()).sum()
    }
}
