//! Addresses of processes that have not started to listen.

use std::collections::HashSet;

use coriander_standin::process::unused_address;

#[test]
fn unused_address_returns_distinct_ports_of_one_block() {
    // Four soak runs that started in the same instant gave one port to two of their processes.
    let ports: Vec<_> = (0..100)
        .map(|_| unused_address().expect("a free port").port())
        .collect();
    let lowest = ports.iter().min().expect("100 ports");
    let highest = ports.iter().max().expect("100 ports");
    assert!(highest - lowest < 200, "{lowest} to {highest}");
    // With two processes on one port, the second ends at its start. A deployment takes about 40
    // addresses before its processes listen.
    let addresses = (0..2_000).map(|_| unused_address().expect("a free port"));
    let distinct: HashSet<_> = addresses.collect();
    assert_eq!(distinct.len(), 2_000);
}
