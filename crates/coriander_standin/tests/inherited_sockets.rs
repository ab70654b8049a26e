//! Returned addresses are free while other processes start.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::net::TcpListener;
use std::path::Path;
use std::thread;
use std::time::Duration;

use coriander_standin::process::{ProcessGroup, unused_address};

const ADDRESSES: usize = 4_000;
const MAX_PROCESSES: usize = 300;

#[ntex::test]
async fn unused_address_is_free_while_processes_start() {
    // A process that is being started has a copy of every socket until it runs its program. A copy
    // of the socket that probed a port keeps the port occupied, so its process cannot listen.
    let mut group = ProcessGroup::create("inherited-sockets").await.unwrap();
    let checks = thread::spawn(|| {
        for _ in 0..ADDRESSES {
            let address = unused_address().unwrap();
            let listener = TcpListener::bind(address);
            assert!(listener.is_ok(), "{address}: {listener:?}");
            // Lets the other thread start a process.
            thread::sleep(Duration::from_micros(50));
        }
    });
    for number in 0..MAX_PROCESSES {
        if checks.is_finished() {
            break;
        }
        let name = format!("process-{number}");
        let program = Path::new("/bin/true");
        group.start(&name, program, Vec::new()).unwrap();
    }
    checks.join().unwrap();
}
