//! Returned addresses stay unbound while other addresses are chosen.

use coriander_standin::process::unused_address;

#[test]
fn unused_address_does_not_bind_returned_addresses() {
    // A process that starts to listen must not find its port briefly bound by another test that
    // chooses addresses.
    let returned: Vec<_> = (0..50)
        .map(|_| unused_address().expect("a free port"))
        .collect();
    let other = std::thread::spawn(|| (0..300).filter_map(|_| unused_address().ok()).count());
    while !other.is_finished() {
        for address in &returned {
            let listener = std::net::TcpListener::bind(address);
            assert!(listener.is_ok(), "{address}: {listener:?}");
        }
    }
    assert_eq!(other.join().expect("not panicked"), 300);
}
