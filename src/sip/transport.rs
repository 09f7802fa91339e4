//! Transports (RFC 3261 §18): one UDP socket, one TCP listener, and TCP connections, which are dialled as needed.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

use crate::Micros;
use crate::clock;
use crate::link::{self, Outbox};

use super::message::{self, Framed};
use super::{Shared, SipFrontend};

/// The longest datagram.
const DATAGRAM_BYTES: usize = 65_535;
/// A message that has begun comes whole within this; after as long a peer gives a transaction up (64 T1).
const WHOLE: Duration = Duration::from_secs(32);
/// Most TCP connections at a time.
const MAX_CONNECTIONS: usize = 256;

/// A number of our own for a TCP connection; never used twice.
pub type ConnId = u64;

/// Where a message goes to, or came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Peer {
    /// A UDP address.
    Udp(SocketAddr),
    /// A TCP address, and the connection to be used while it is open.
    Tcp(SocketAddr, Option<ConnId>),
}

impl Peer {
    /// Whether the transport is reliable.
    pub fn reliable(&self) -> bool {
        matches!(self, Peer::Tcp(..))
    }
}

struct Conn {
    address: SocketAddr,
    outbox: Rc<Outbox>,
    up: bool,
    /// It was dialled by its peer.
    taken: bool,
    /// When a message last came or went on it, or when it came up.
    used: Micros,
    /// What waits for the connection to come up, or for its peer to read; with its transaction's branch.
    held: Vec<(String, Bytes)>,
}

/// What is open.
pub struct Transport {
    udp: Rc<UdpSocket>,
    /// Our address in Via and Contact, by transport.
    pub udp_address: SocketAddr,
    /// See `udp_address`.
    pub tcp_address: SocketAddr,
    conns: BTreeMap<ConnId, Conn>,
    next: ConnId,
    dial_timeout: Duration,
    /// Connections to be dialled; the frontend starts them once its state is its own again.
    dials: Vec<ConnId>,
}

impl Transport {
    /// A transport on an open socket.
    pub fn new(udp: Rc<UdpSocket>, udp_address: SocketAddr, tcp_address: SocketAddr, dial: Duration) -> Self {
        let (conns, dials) = (BTreeMap::new(), Vec::new());
        Transport { udp, udp_address, tcp_address, conns, next: 0, dial_timeout: dial, dials }
    }

    /// Sends a message; the branch names it until it is written. A datagram that cannot be sent now is dropped:
    /// repeats make up for that. Returns where it went, with the connection that was used.
    pub fn send(&mut self, peer: Peer, branch: &str, bytes: Bytes) -> Peer {
        let (address, conn) = match peer {
            Peer::Udp(address) => {
                let _ = self.udp.try_send_to(&bytes, address);
                return peer;
            }
            Peer::Tcp(address, conn) => (address, conn),
        };
        let usable = |id: &ConnId| self.conns.get(id).is_some_and(|c| c.outbox.is_open());
        let mut same =
            self.conns.iter().rev().filter(|(id, c)| c.address == address && usable(id)).map(|(id, _)| *id);
        let id = conn.filter(usable).or_else(|| same.next()).unwrap_or_else(|| self.dial(address));
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.held.push((branch.to_string(), bytes));
            conn.used = clock::now();
        }
        self.flush(id);
        Peer::Tcp(address, Some(id))
    }

    fn dial(&mut self, address: SocketAddr) -> ConnId {
        let id = self.add(address, false);
        self.dials.push(id);
        id
    }

    fn add(&mut self, address: SocketAddr, up: bool) -> ConnId {
        self.next += 1;
        let (outbox, used) = (Rc::new(Outbox::default()), clock::now());
        let conn = Conn { address, outbox, up, taken: up, used, held: Vec::new() };
        self.conns.insert(self.next, conn);
        self.next
    }

    /// Makes room for one more connection; false if there is none. The one taken in that has been without use for
    /// longest makes way: peers that say nothing must not keep others out, and what is still to be said to its peer
    /// goes to the address in its Via (§18.2.2).
    fn make_room(&mut self) -> bool {
        if self.conns.values().filter(|c| c.outbox.is_open()).count() < MAX_CONNECTIONS {
            return true;
        }
        let idle = self.conns.values().filter(|c| c.taken && c.outbox.is_open());
        let Some(conn) = idle.min_by_key(|c| c.used) else { return false };
        conn.outbox.close();
        true
    }

    fn flush(&mut self, id: ConnId) {
        let Some(conn) = self.conns.get_mut(&id).filter(|c| c.up && c.outbox.is_empty()) else { return };
        for (_, bytes) in conn.held.drain(..) {
            conn.outbox.push(&bytes);
        }
    }

    /// Whether a connection to this address is up.
    pub fn is_up(&self, address: SocketAddr) -> bool {
        self.conns.values().any(|c| c.address == address && c.up && c.outbox.is_open())
    }

    /// Takes back what was not written yet; false if there is no such thing.
    pub fn withdraw(&mut self, branch: &str) -> bool {
        let mut found = false;
        for conn in self.conns.values_mut() {
            let before = conn.held.len();
            conn.held.retain(|(b, _)| b != branch);
            found |= conn.held.len() < before;
        }
        found
    }
}

/// Reads datagrams for ever.
pub(super) async fn read_datagrams(frontend: Shared, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((size, from)) => match message::read_datagram(&buffer[..size]) {
                Some(Ok(message)) => frontend.borrow_mut().received(Peer::Udp(from), message),
                Some(Err(message)) => frontend.borrow_mut().malformed(Peer::Udp(from), message),
                None => {}
            },
            // An ICMP error of an earlier datagram; timers find out what it means.
            Err(_) => tokio::task::yield_now().await,
        }
    }
}

/// Takes TCP connections for ever.
pub(super) async fn accept(frontend: Shared, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                if frontend.borrow_mut().transport.make_room() {
                    let id = frontend.borrow_mut().transport.add(from, true);
                    tokio::task::spawn_local(run(frontend.clone(), id, stream));
                }
                // What made way is closed before the next comes.
                tokio::task::yield_now().await;
            }
            Err(e) => {
                tracing::warn!(error = %e, "sip: accept");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn run(frontend: Shared, id: ConnId, mut stream: TcpStream) {
    let Some((outbox, address)) =
        frontend.borrow().transport.conns.get(&id).map(|c| (c.outbox.clone(), c.address))
    else {
        return;
    };
    let on_bytes = |buffer: &mut BytesMut| loop {
        match message::take_message(buffer) {
            Framed::Message(message) => {
                let mut frontend = frontend.borrow_mut();
                if let Some(conn) = frontend.transport.conns.get_mut(&id) {
                    conn.used = clock::now();
                }
                frontend.received(Peer::Tcp(address, Some(id)), message);
            }
            Framed::Incomplete => return true,
            Framed::Invalid => return false,
        }
    };
    let on_drained = || frontend.borrow_mut().transport.flush(id);
    let _ = link::run(&mut stream, &outbox, WHOLE, on_bytes, on_drained).await;
    outbox.flush_without_blocking(&stream);
    frontend.borrow_mut().conn_ended(id, true);
}

async fn dial(frontend: Rc<RefCell<SipFrontend>>, id: ConnId, address: SocketAddr, limit: Duration) {
    match tokio::time::timeout(limit, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => {
            {
                let transport = &mut frontend.borrow_mut().transport;
                if let Some(conn) = transport.conns.get_mut(&id) {
                    conn.up = true;
                }
                transport.flush(id);
            }
            run(frontend, id, stream).await;
        }
        Ok(Err(e)) => {
            let refused = e.kind() == io::ErrorKind::ConnectionRefused;
            let mut frontend = frontend.borrow_mut();
            frontend.conn_ended(id, false);
            if refused {
                frontend.refused(address);
            }
        }
        Err(_) => frontend.borrow_mut().conn_ended(id, false),
    }
}

impl SipFrontend {
    /// Starts the dials that sending has asked for.
    pub(super) fn start_dials(&mut self) {
        for id in std::mem::take(&mut self.transport.dials) {
            let Some(conn) = self.transport.conns.get(&id) else { continue };
            let (address, limit) = (conn.address, self.transport.dial_timeout);
            tokio::task::spawn_local(dial(self.shared(), id, address, limit));
        }
    }

    /// A connection is over; `came_up` is false if it never was one.
    fn conn_ended(&mut self, id: ConnId, came_up: bool) {
        let Some(conn) = self.transport.conns.remove(&id) else { return };
        let unsent = conn.held.into_iter().map(|(branch, _)| branch).collect();
        self.conn_lost(id, came_up, unsent);
    }
}
