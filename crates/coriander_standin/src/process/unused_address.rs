//! Choice of loopback ports.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};

use super::process_error::ProcessError;

/// Below the range from which Linux takes ports of outgoing connections, so that no client socket
/// takes the port before the process listens on it.
const PORTS: std::ops::Range<u16> = 12_000..32_000;
const ATTEMPTS: u32 = 1_000;

/// Returns a loopback address whose port nobody uses for TCP or UDP.
pub fn unused_address() -> Result<SocketAddr, ProcessError> {
    for _ in 0..ATTEMPTS {
        let port = rand::random_range(PORTS);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(ProcessError::NoPort)
}
