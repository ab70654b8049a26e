//! Addresses of processes that have not started to listen.

use std::collections::HashSet;

use coriander_standin::process::unused_address;

#[test]
fn unused_address_returns_no_address_twice() {
    // With two processes on one port, the second ends at its start. A deployment takes about 40
    // addresses before its processes listen.
    let addresses = (0..2_000).map(|_| unused_address().expect("a free port"));
    let distinct: HashSet<_> = addresses.collect();
    assert_eq!(distinct.len(), 2_000);
}
