//! Claims of addresses on loopback.

use std::net::{IpAddr, TcpListener};

use sorrelhinge_emulators::place::Place;

/// Two that live at the same time never share an address, and what was let go
/// can be claimed again.
#[test]
fn no_two_claims_share_an_address() {
    let held: Vec<Place> = (0..20).map(|_| Place::claim(5)).collect();
    let mut addresses: Vec<IpAddr> = held.iter().map(|place| place.guard().ip()).collect();
    addresses.sort();
    addresses.dedup();
    assert_eq!(addresses.len(), 20);
    assert!(held
        .iter()
        .all(|place| TcpListener::bind(place.guard()).is_err()));
    let first = held[0].guard();
    drop(held);
    assert!(TcpListener::bind(first).is_ok());
}
