//! Client for other instances; connections are opened on demand.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use coriander_core::MonotonicTime;
use coriander_wire::FrameCodec;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;

use crate::boot_clock::BootClock;
use crate::peer_connection::{PeerConnection, PeerError};

/// Timeout of opening a connection; well above the network delay between zones.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Sends requests to other instances over one connection per instance.
pub struct PeerClient<Q, R> {
    codec: FrameCodec,
    connections: RefCell<HashMap<SocketAddr, Rc<PeerConnection<Q, R>>>>,
}

impl<Q, R> PeerClient<Q, R>
where
    Q: DeserializeOwned + Serialize + 'static,
    R: DeserializeOwned + Serialize + 'static,
{
    /// Creates a client without connections.
    pub fn new(codec: FrameCodec) -> Self {
        Self {
            codec,
            connections: RefCell::default(),
        }
    }

    /// Sends a request to the instance at `address` and waits for the reply.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Q,
        timeout: Duration,
    ) -> Result<R, PeerError> {
        let deadline = BootClock.now() + timeout;
        self.call_until(address, request, deadline).await
    }

    /// Sends a request to the instance at `address` and waits for the reply until `deadline`, which
    /// is on the clock of [`BootClock`]. Opening a connection is part of that time.
    pub async fn call_until(
        &self,
        address: SocketAddr,
        request: Q,
        deadline: MonotonicTime,
    ) -> Result<R, PeerError> {
        let connection = self.get_or_connect(address).await?;
        let result = connection.call(request, deadline).await;
        if !connection.is_open() {
            self.connections.borrow_mut().remove(&address);
        }
        result
    }

    /// Resets the connection to an instance, so that requests that are held up on the way are not
    /// delivered; requests in flight fail with [`PeerError::NoReply`].
    pub fn disconnect(&self, address: SocketAddr) {
        if let Some(connection) = self.connections.borrow_mut().remove(&address) {
            connection.close();
        }
    }

    async fn open(&self, address: SocketAddr) -> Result<PeerConnection<Q, R>, PeerError> {
        let stream = TcpStream::connect(address).await;
        let stream = stream.map_err(|_| PeerError::NotSent)?;
        // Without this, small frames are delayed until the previous one is acknowledged.
        let _ = stream.set_nodelay(true);
        PeerConnection::open(stream, self.codec.clone()).await
    }

    async fn get_or_connect(
        &self,
        address: SocketAddr,
    ) -> Result<Rc<PeerConnection<Q, R>>, PeerError> {
        let existing = self.connections.borrow().get(&address).cloned();
        if let Some(connection) = existing.filter(|connection| connection.is_open()) {
            return Ok(connection);
        }
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, self.open(address)).await;
        let connection = Rc::new(opened.map_err(|_| PeerError::NotSent)??);
        self.connections
            .borrow_mut()
            .insert(address, connection.clone());
        Ok(connection)
    }
}
