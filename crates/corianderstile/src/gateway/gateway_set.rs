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
    /// Classes of the previous configuration.
    classes: RefCell<Vec<ClassName>>,
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
        let mut gateways = self.gateways.borrow_mut();
        let create = || DatabaseGateway::start(database.clone(), self.context.clone());
        gateways
            .entry(database.clone())
            .or_insert_with(create)
            .clone()
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
        self.gateways
            .borrow_mut()
            .retain(|name, _| document.databases.contains(name));
        let mut removed = self.classes.borrow_mut();
        removed.retain(|class| !document.classes.contains_key(class));
        for gateway in self.list() {
            for (class, target) in &document.classes {
                gateway.set_class(class.clone(), target);
            }
            for class in &*removed {
                gateway.set_class(class.clone(), &ClassTarget::default());
            }
            gateway.apply_config();
        }
        *removed = document.classes.keys().cloned().collect();
    }

    /// Ends waiting requests and transactions of withdrawn keys.
    pub fn end_keys(&self, keys: &[KeyDigest]) {
        for gateway in self.list() {
            gateway.end_keys(keys);
        }
    }

    /// Returns the number of requests and transactions in progress.
    pub fn in_flight(&self) -> usize {
        self.list().iter().map(|gateway| gateway.in_flight()).sum()
    }
}
