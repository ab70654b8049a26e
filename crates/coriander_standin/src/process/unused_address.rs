//! Choice of loopback ports.

use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::{LazyLock, Mutex, PoisonError};

use super::process_error::ProcessError;

/// Below the range from which Linux takes ports of outgoing connections, so that no client socket
/// takes the port before the process listens on it.
const PORTS: std::ops::Range<u16> = 12_000..32_000;
const ATTEMPTS: u32 = 1_000;

/// Ports that were returned before. Their processes may not listen yet.
static RETURNED: LazyLock<Mutex<HashSet<u16>>> = LazyLock::new(Mutex::default);

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
    let mut returned = RETURNED.lock().unwrap_or_else(PoisonError::into_inner);
    for _ in 0..ATTEMPTS {
        let port = rand::random_range(PORTS);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let is_free = TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok();
        if is_free && returned.insert(port) {
            return Ok(address);
        }
    }
    Err(ProcessError::NoPort)
}
