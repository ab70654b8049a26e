//! UDP socket to the other instances.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use coriander_core::{InstanceId, stable_hash};
use coriander_service_api::InstanceEntry;
use coriander_wire::DatagramCodec;
use sha2::{Digest, Sha256};
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::fleet::peer_messages::PeerMessage;
use crate::fleet::peer_traffic::PeerTraffic;

/// Size of the receive buffer, in bytes; a longer datagram is invalid.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// Delay after a receive error of the socket.
const ERROR_DELAY: Duration = Duration::from_millis(20);

/// Separates the key of datagrams from other keys derived from the fleet secret.
const KEY_DOMAIN: &[u8] = b"corianderstile session peers";

/// Sends messages to the other instances and receives theirs.
pub struct PeerSocket {
    socket: UdpSocket,
    own_name: Arc<str>,
    /// Sender of the datagrams.
    own_id: InstanceId,
    epoch: u64,
    codec: RefCell<Option<(Arc<[u8]>, DatagramCodec)>>,
    /// Addresses of the other instances by name.
    peers: RefCell<HashMap<Arc<str>, SocketAddr>>,
    /// Counters of the messages between instances.
    pub traffic: PeerTraffic,
}

impl PeerSocket {
    /// Creates the peer socket. It sends no messages until the fleet secret is set.
    pub fn new(socket: UdpSocket, own_name: Arc<str>, own_id: InstanceId, epoch: u64) -> Self {
        // Most datagrams are a few bytes long. Processes with the same short id still differ by
        // epoch, so that none takes the datagrams of another for repeated ones.
        let short_id = format!("{:08x}", stable_hash(&*own_name) as u32);
        Self {
            socket,
            own_name,
            own_id: short_id.parse().unwrap_or(own_id),
            epoch: epoch & u64::from(u32::MAX),
            codec: RefCell::default(),
            peers: RefCell::default(),
            traffic: PeerTraffic::default(),
        }
    }

    /// Sets the fleet secret. Returns the key of messages if it is new.
    pub fn set_secret(&self, secret: &Arc<[u8]>) -> Option<[u8; 32]> {
        let mut codec = self.codec.borrow_mut();
        if codec.as_ref().is_some_and(|(known, _)| known == secret) {
            return None;
        }
        let key: [u8; 32] = Sha256::new()
            .chain_update(KEY_DOMAIN)
            .chain_update(secret)
            .finalize()
            .into();
        let new = DatagramCodec::new(&key, self.own_id.clone(), self.epoch);
        *codec = Some((secret.clone(), new));
        Some(key)
    }

    /// Sets the instances of the fleet.
    pub fn set_peers(&self, instances: &[InstanceEntry]) {
        let others = instances.iter().filter(|entry| entry.id != self.own_name);
        let addresses = others.map(|entry| (entry.id.clone(), entry.address));
        *self.peers.borrow_mut() = addresses.collect();
        self.traffic.set_instances(instances, &self.own_name);
    }

    /// Returns the addresses of the other instances.
    pub fn peers(&self) -> Vec<SocketAddr> {
        self.peers.borrow().values().copied().collect()
    }

    /// Returns the address of an instance.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.peers.borrow().get(name).copied()
    }

    /// Sends a message, which may be lost.
    pub fn send(&self, address: SocketAddr, message: &PeerMessage) {
        let mut codec = self.codec.borrow_mut();
        let Some((_, codec)) = codec.as_mut() else {
            return;
        };
        let datagram = match codec.encode(message) {
            Ok(datagram) => datagram,
            Err(error) => {
                log::warn!(message:? = message, error:% = error; "encoding of a datagram failed");
                return;
            }
        };
        match self.socket.try_send_to(&datagram, address) {
            Ok(_) => {
                let traffic = &self.traffic;
                traffic.count_sent(message.kind(), address.ip(), datagram.len());
            }
            Err(error) => {
                log::debug!(address:% = address, error:% = error; "datagram not sent");
            }
        }
    }

    /// Sends a message to all other instances.
    pub fn send_all(&self, message: &PeerMessage) {
        for address in self.peers() {
            self.send(address, message);
        }
    }

    /// Passes each received message to `handle` until the process ends.
    pub async fn receive(self: Rc<Self>, handle: impl Fn(SocketAddr, PeerMessage)) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let (length, sender) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    log::debug!("peers: receive failed: {error}");
                    sleep(ERROR_DELAY).await;
                    continue;
                }
            };
            let mut codec = self.codec.borrow_mut();
            let Some((_, known)) = codec.as_mut() else {
                continue;
            };
            let decoded = known.decode::<PeerMessage>(&buffer[..length]);
            drop(codec);
            match decoded {
                Ok(datagram) => {
                    let kind = datagram.message.kind();
                    self.traffic.count_received(kind, sender.ip(), length);
                    handle(sender, datagram.message);
                }
                Err(error) => log::debug!("peers: datagram from {sender} dropped: {error}"),
            }
        }
    }
}
