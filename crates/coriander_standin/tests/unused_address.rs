//! Distinct addresses for processes that do not listen yet.

use std::collections::HashSet;

use coriander_standin::process::unused_address;

#[test]
fn unused_address_returns_distinct_ports_of_one_block() {
    // Four soak runs that started at the same time assigned one port to two of their processes.
    let ports: Vec<_> = (0..100)
        .map(|_| unused_address().expect("a free port").port())
        .collect();
    let lowest = ports.iter().min().expect("100 ports");
    let highest = ports.iter().max().expect("100 ports");
    assert!(highest - lowest < 200, "{lowest} to {highest}");
    // If two processes get the same port, the second fails to start. A deployment takes about 40
    // addresses before its processes listen.
    let addresses = (0..2_000).map(|_| unused_address().expect("a free port"));
    let distinct: HashSet<_> = addresses.collect();
    assert_eq!(distinct.len(), 2_000);
}
