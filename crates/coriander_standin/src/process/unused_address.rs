//! Choice of loopback ports.

use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::{LazyLock, Mutex, PoisonError};

use super::process_error::ProcessError;

/// Below the range from which Linux takes ports of outgoing connections, so that no client socket
/// takes the port before the process listens on it.
const PORT_RANGE: std::ops::Range<u16> = 12_000..32_000;
const MAX_ATTEMPTS: u32 = 1_000;

/// Ports of the block that a process prefers. Processes that start together have successive process
/// ids, so they do not choose the same port before one of them listens on it.
const PORTS_PER_BLOCK: u16 = 200;

/// Ports that were returned before. Their processes may not listen yet.
static RETURNED_PORTS: LazyLock<Mutex<HashSet<u16>>> = LazyLock::new(Mutex::default);

/// Returns a loopback address whose port nobody uses for TCP or UDP and that was not returned
/// before.
///
/// ```
/// use coriander_standin::process::unused_address;
///
/// let (first, second) = (unused_address().unwrap(), unused_address().unwrap());
/// assert_ne!(first, second);
/// ```
pub fn unused_address() -> Result<SocketAddr, ProcessError> {
    // A thread that panicked while it held the lock left a usable set.
    let mut returned = RETURNED_PORTS
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    for attempt in 0..MAX_ATTEMPTS {
        let ports = if attempt < MAX_ATTEMPTS / 2 {
            process_block()
        } else {
            PORT_RANGE
        };
        let port = rand::random_range(ports);
        // The check below would hold the port while the process that got it starts to listen.
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

fn process_block() -> std::ops::Range<u16> {
    let blocks = u32::from((PORT_RANGE.end - PORT_RANGE.start) / PORTS_PER_BLOCK);
    // The remainder is below the number of blocks, which fits.
    let block = (std::process::id() % blocks) as u16;
    let first = PORT_RANGE.start + block * PORTS_PER_BLOCK;
    first..first + PORTS_PER_BLOCK
}
