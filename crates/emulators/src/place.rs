//! Addresses on loopback that no two worlds have at the same time, in whatever
//! processes they run.
//!
//! A port that was found free by binding it and let go may be anybody's when a
//! controller binds it later: tests side by side ended so, "address already in
//! use". So each world claims an address of its own and holds the claim as long
//! as it lives, and what listens there has fixed ports outside the range from
//! which the system gives ports to others.

use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// The port that shows an address is claimed: bound until the claim ends.
const GUARD: u16 = 21_000;
/// The stand-ins' own ports.
const STATE: u16 = 21_001;
const CLOUD: u16 = 21_002;
/// The first controller's ports; the others' follow.
const USERS: u16 = 21_100;
const PEERS: u16 = 21_200;
/// Of lines that can be cut: to the state service, and between two controllers.
const STATE_LINES: u16 = 21_300;
const PEER_LINES: u16 = 21_400;
const MIDDLES: u16 = 21_500;
/// The state service's own port for each controller.
const STATES: u16 = 21_700;
/// For whatever else listens, and how many of them.
const MORE: u16 = 21_600;
const MAX_MORE: usize = 32;
/// So many controllers at the most.
const MAX: usize = 8;
/// Addresses that may be claimed: 127.240.0.0/13. No machine's address lies there.
const FIRST: u32 = 0x7ff0_0000;
const ADDRESSES: u32 = 1 << 19;

static CLAIMS: AtomicU32 = AtomicU32::new(0);

/// An address of one's own, as long as this lives.
pub struct Place {
    address: Ipv4Addr,
    _guard: TcpListener,
}

impl Place {
    /// Claims an address with room for so many controllers.
    ///
    /// # Panics
    /// If none of very many is free.
    pub fn claim(controllers: usize) -> Self {
        // Each process looks elsewhere first. That is no more than a good guess:
        // what tells is whether the guard's port can be bound.
        let nth = CLAIMS.fetch_add(1, Ordering::Relaxed);
        let from = std::process::id()
            .wrapping_mul(0x9e37_79b1)
            .wrapping_add(nth);
        let found = (0..4096).find_map(|tried: u32| {
            let offset = from.wrapping_add(tried.wrapping_mul(257)) % ADDRESSES;
            let address = Ipv4Addr::from(FIRST + offset);
            let place = Self {
                address,
                _guard: TcpListener::bind((address, GUARD)).ok()?,
            };
            // A process that outlived the test which started it may still listen.
            place.is_free(controllers).then_some(place)
        });
        found.expect("an address on loopback")
    }

    /// Whether nobody listens where so many controllers would.
    fn is_free(&self, controllers: usize) -> bool {
        let own = [self.state(), self.cloud()].into_iter();
        let own = own.chain((0..MAX_MORE).map(|n| self.more(n)));
        let all = 0..controllers;
        let theirs = all.clone();
        let theirs = theirs.flat_map(|i| {
            [
                self.users(i),
                self.peers(i),
                self.state_line(i),
                self.state_of(i),
            ]
        });
        let pairs = all.flat_map(|i| (0..controllers).map(move |o| (i, o)));
        let lines = pairs.flat_map(|(i, o)| [self.peer_line(i, o), self.middle(i, o)]);
        own.chain(theirs).chain(lines).all(|at| !listens(at))
    }

    /// A port of the address.
    fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::from((self.address, port))
    }

    /// What is bound as long as the claim lives, so that nobody else can have it.
    pub fn guard(&self) -> SocketAddr {
        self.at(GUARD)
    }

    /// Where the state service listens.
    pub fn state(&self) -> SocketAddr {
        self.at(STATE)
    }

    /// Where the state service listens for one controller.
    pub fn state_of(&self, controller: usize) -> SocketAddr {
        self.at(STATES + controller as u16)
    }

    /// Where the cloud listens.
    pub fn cloud(&self) -> SocketAddr {
        self.at(CLOUD)
    }

    /// Where whatever else listens, by a number below 32.
    pub fn more(&self, n: usize) -> SocketAddr {
        assert!(n < MAX_MORE, "there are {MAX_MORE}");
        self.at(MORE + n as u16)
    }

    /// Where a controller takes users' and workers' requests.
    pub fn users(&self, controller: usize) -> SocketAddr {
        self.at(USERS + controller as u16)
    }

    /// Where a controller's line to the state service begins.
    pub fn state_line(&self, controller: usize) -> SocketAddr {
        self.at(STATE_LINES + controller as u16)
    }

    /// Where a controller's line to another one begins.
    pub fn peer_line(&self, from: usize, to: usize) -> SocketAddr {
        self.at(PEER_LINES + (from * MAX + to) as u16)
    }

    /// Where that goes over to the other's own line.
    pub fn middle(&self, from: usize, to: usize) -> SocketAddr {
        self.at(MIDDLES + (from * MAX + to) as u16)
    }

    /// Where a controller takes the other controllers' messages.
    pub fn peers(&self, controller: usize) -> SocketAddr {
        self.at(PEERS + controller as u16)
    }
}

/// Whether anybody listens there. Asked, not tried by binding: a controller that
/// another test starts at that moment holds a copy of what is bound until it runs its
/// own program, and then the port could not be bound again ("address already in use").
fn listens(at: SocketAddr) -> bool {
    let response = TcpStream::connect_timeout(&at, Duration::from_millis(200));
    !response.is_err_and(|error| error.kind() == ErrorKind::ConnectionRefused)
}
