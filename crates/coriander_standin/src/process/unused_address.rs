//! Chooses unused loopback ports.

use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::{LazyLock, Mutex, MutexGuard, PoisonError};

use super::process_error::ProcessError;

/// Below the ephemeral ports of Linux, so that no outgoing connection takes a port before its
/// process listens on it.
const PORT_RANGE: std::ops::Range<u16> = 12_000..32_000;
const MAX_ATTEMPTS: u32 = 1_000;

/// Number of ports in the block that a process tries first. Processes that start together have
/// successive process ids and thus different blocks, so they do not choose the same port before one
/// of them listens on it.
const PORTS_PER_BLOCK: u16 = 200;

/// Ports that have been returned. Their processes may not listen on them yet.
static RETURNED_PORTS: LazyLock<Mutex<HashSet<u16>>> = LazyLock::new(Mutex::default);

/// Returns a loopback address whose port is unused for TCP and UDP and has not been returned
/// before.
///
/// ```
/// use coriander_standin::process::unused_address;
///
/// let (first, second) = (unused_address().unwrap(), unused_address().unwrap());
/// assert_ne!(first, second);
/// ```
pub fn unused_address() -> Result<SocketAddr, ProcessError> {
    let mut returned = lock_returned_ports();
    for attempt in 0..MAX_ATTEMPTS {
        let ports = if attempt < MAX_ATTEMPTS / 2 {
            process_block()
        } else {
            PORT_RANGE
        };
        let port = rand::random_range(ports);
        // Binding a returned port would briefly occupy it while its process starts to listen.
        if returned.contains(&port) {
            continue;
        }
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let is_free = TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok();
        if is_free {
            returned.insert(port);
            return Ok(address);
        }
    }
    Err(ProcessError::NoPort)
}

/// Locks the returned ports. No port is probed while the lock is held.
///
/// Processes are started under this lock: until a new process runs its program, it has a copy of
/// every open socket, and a copy of a probing socket would keep the port occupied.
pub(super) fn lock_returned_ports() -> MutexGuard<'static, HashSet<u16>> {
    // The set stays usable if a thread panics while it holds the lock.
    RETURNED_PORTS
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
}

fn process_block() -> std::ops::Range<u16> {
    let blocks = u32::from((PORT_RANGE.end - PORT_RANGE.start) / PORTS_PER_BLOCK);
    // The remainder is less than the number of blocks, which fits into `u16`.
    let block = (std::process::id() % blocks) as u16;
    let first = PORT_RANGE.start + block * PORTS_PER_BLOCK;
    first..first + PORTS_PER_BLOCK
}
