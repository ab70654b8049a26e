//! Admits the connections of callers and operators, and closes those that have to give way.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use coriander_memory::MemoryLimits;
use ntex::http::error::DispatchError;
use ntex::io::{Id, Io, IoRef};
use ntex::web::HttpRequest;
use platform_adapter::{ConnectionGuard, MemoryGate};

/// Maximum number of connections to the admin address. A further one replaces the oldest.
pub const MAX_ADMIN_CONNECTIONS: usize = 32;

/// Open connections of one address.
pub struct CallerConnections {
    gate: Rc<MemoryGate>,
    guards: RefCell<HashMap<Id, Rc<ConnectionGuard>>>,
}

impl CallerConnections {
    /// Creates an empty list of connections, which use the memory of `gate`.
    pub fn new(gate: Rc<MemoryGate>) -> Rc<Self> {
        Rc::new(Self {
            gate,
            guards: RefCell::default(),
        })
    }

    /// Creates an empty list of connections to the admin address.
    pub fn for_admin(limits: &MemoryLimits) -> Rc<Self> {
        let limits = MemoryLimits {
            max_connections: MAX_ADMIN_CONNECTIONS,
            max_unidentified: MAX_ADMIN_CONNECTIONS,
            ..*limits
        };
        Self::new(MemoryGate::new(&limits))
    }

    /// Returns the memory of the connections.
    pub fn gate(&self) -> &Rc<MemoryGate> {
        &self.gate
    }

    /// Admits a connection or closes it. One that is admitted may have to give way later.
    pub fn admit(self: &Rc<Self>, io: Io) -> Result<Io, DispatchError> {
        let Some(guard) = self.gate.accept() else {
            io.terminate();
            return Ok(io);
        };
        let guard = Rc::new(guard);
        let id = io.id();
        self.guards.borrow_mut().insert(id, guard.clone());
        let (connections, closed, connection) = (self.clone(), io.on_disconnect(), io.get_ref());
        ntex::rt::spawn(async move {
            tokio::select! {
                () = guard.signal().wait() => connection.terminate(),
                () = closed => {}
            }
            connections.remove(id, &guard);
        });
        Ok(io)
    }

    /// Removes a connection, unless a later one has been given its number meanwhile.
    fn remove(&self, id: Id, guard: &Rc<ConnectionGuard>) {
        let mut guards = self.guards.borrow_mut();
        if guards.get(&id).is_some_and(|open| Rc::ptr_eq(open, guard)) {
            guards.remove(&id);
        }
    }

    /// Returns the connection of a request while it is open.
    pub fn find(&self, request: &HttpRequest) -> Option<Rc<ConnectionGuard>> {
        let id = request.io().map(IoRef::id)?;
        self.guards.borrow().get(&id).cloned()
    }
}

/// A request on a connection, which is not closed as idle meanwhile.
pub struct ConnectionUse(Rc<ConnectionGuard>);

impl ConnectionUse {
    /// Starts a request. Until a key has been accepted, the connection can be replaced nevertheless:
    /// requests with unknown keys would otherwise keep other callers out.
    pub fn begin(guard: Rc<ConnectionGuard>) -> Self {
        guard.set_idle(false);
        Self(guard)
    }

    /// Returns the connection.
    pub fn guard(&self) -> &Rc<ConnectionGuard> {
        &self.0
    }
}

impl Drop for ConnectionUse {
    fn drop(&mut self) {
        self.0.set_idle(true);
    }
}
