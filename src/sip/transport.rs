//! Transports (RFC 3261 §18): a UDP socket, a TCP listener, and TCP connections, which are opened on demand.

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

use super::datagram_limiter::DatagramLimiter;
use super::message::{self, Framed};
use super::{Shared, SipFrontend};

/// Largest datagram that can be received.
const MAX_DATAGRAM_BYTES: usize = 65_535;
/// Longest time from the first to the last byte of a message: a peer abandons its transaction after as long (64 T1).
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(32);
/// Limit on open TCP connections.
const MAX_CONNECTIONS: usize = 256;

/// Identifies a TCP connection in this process; values are not reused.
pub type ConnId = u64;

/// Destination or origin of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Peer {
    /// A UDP address.
    Udp(SocketAddr),
    /// A TCP address, and the connection to use while it is open.
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
    connected: bool,
    /// The peer opened the connection.
    accepted: bool,
    /// When a message was last sent or received, or else when the connection was created.
    last_used: Micros,
    /// Messages that wait until the connection is established and its outbox is empty, each with the branch of its
    /// transaction.
    queued: Vec<(String, Bytes)>,
}

/// The sockets and connections of the frontend.
pub struct Transport {
    udp: Rc<UdpSocket>,
    /// Local UDP address, for Via and Contact.
    pub udp_address: SocketAddr,
    /// Local TCP address, for Via and Contact.
    pub tcp_address: SocketAddr,
    conns: BTreeMap<ConnId, Conn>,
    last_id: ConnId,
    dial_timeout: Duration,
    /// Connections for which [`SipFrontend::start_dials`] has yet to start a task.
    pending_dials: Vec<ConnId>,
}

impl Transport {
    /// Creates the transport on an open UDP socket.
    pub fn new(
        udp: Rc<UdpSocket>,
        udp_address: SocketAddr,
        tcp_address: SocketAddr,
        dial_timeout: Duration,
    ) -> Self {
        let (conns, pending_dials) = (BTreeMap::new(), Vec::new());
        Transport { udp, udp_address, tcp_address, conns, last_id: 0, dial_timeout, pending_dials }
    }

    /// Sends a message; `branch` identifies it until it is written. A datagram that cannot be sent at once is
    /// dropped, since transactions retransmit it. Returns the peer with the connection that was used.
    pub fn send(&mut self, peer: Peer, branch: &str, bytes: Bytes) -> Peer {
        let (address, conn) = match peer {
            Peer::Udp(address) => {
                let _ = self.udp.try_send_to(&bytes, address);
                return peer;
            }
            Peer::Tcp(address, conn) => (address, conn),
        };
        let is_usable = |id: &ConnId| self.conns.get(id).is_some_and(|c| c.outbox.is_open());
        let mut to_address = self
            .conns
            .iter()
            .rev()
            .filter(|(id, c)| c.address == address && is_usable(id))
            .map(|(id, _)| *id);
        let id = conn.filter(is_usable).or_else(|| to_address.next()).unwrap_or_else(|| self.dial(address));
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.queued.push((branch.to_string(), bytes));
            conn.last_used = clock::now();
        }
        self.flush_queued(id);
        Peer::Tcp(address, Some(id))
    }

    fn dial(&mut self, address: SocketAddr) -> ConnId {
        let id = self.add_connection(address, false);
        self.pending_dials.push(id);
        id
    }

    fn add_connection(&mut self, address: SocketAddr, connected: bool) -> ConnId {
        self.last_id += 1;
        let (outbox, last_used) = (Rc::new(Outbox::default()), clock::now());
        let conn = Conn { address, outbox, connected, accepted: connected, last_used, queued: Vec::new() };
        self.conns.insert(self.last_id, conn);
        self.last_id
    }

    /// Makes room for another connection; false if that is not possible. At the limit, the accepted connection that
    /// has been unused for longest is closed, so that idle peers cannot keep others out. Later responses to its
    /// peer are sent to the address in the Via (§18.2.2).
    fn make_room(&mut self) -> bool {
        if self.conns.values().filter(|c| c.outbox.is_open()).count() < MAX_CONNECTIONS {
            return true;
        }
        let idle = self.conns.values().filter(|c| c.accepted && c.outbox.is_open());
        let Some(conn) = idle.min_by_key(|c| c.last_used) else { return false };
        conn.outbox.close();
        true
    }

    fn flush_queued(&mut self, id: ConnId) {
        let Some(conn) = self.conns.get_mut(&id).filter(|c| c.connected && c.outbox.is_empty()) else {
            return;
        };
        for (_, bytes) in conn.queued.drain(..) {
            conn.outbox.push(&bytes);
        }
    }

    /// Whether a connection to this address is established.
    pub fn is_connected(&self, address: SocketAddr) -> bool {
        self.conns.values().any(|c| c.address == address && c.connected && c.outbox.is_open())
    }

    /// Removes the queued messages with this branch; false if there are none.
    pub fn remove_queued(&mut self, branch: &str) -> bool {
        let mut found = false;
        for conn in self.conns.values_mut() {
            let queued_before = conn.queued.len();
            conn.queued.retain(|(b, _)| b != branch);
            found |= conn.queued.len() < queued_before;
        }
        found
    }
}

/// Reads datagrams without end.
pub(super) async fn read_datagrams(frontend: Shared, socket: Rc<UdpSocket>, mut limiter: DatagramLimiter) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((_, from)) if !limiter.accepts(from, clock::now()) => {}
            Ok((size, from)) => match message::read_datagram(&buffer[..size]) {
                Some(Ok(message)) => frontend.borrow_mut().handle_message(Peer::Udp(from), message),
                Some(Err(message)) => frontend.borrow_mut().reject_malformed(Peer::Udp(from), message),
                None => {}
            },
            // An ICMP error caused by an earlier datagram; the timers of its transaction detect the loss.
            Err(_) => tokio::task::yield_now().await,
        }
    }
}

/// Accepts TCP connections without end.
pub(super) async fn accept_connections(frontend: Shared, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                if frontend.borrow_mut().transport.make_room() {
                    let id = frontend.borrow_mut().transport.add_connection(from, true);
                    tokio::task::spawn_local(run_connection(frontend.clone(), id, stream));
                }
                // Lets the task of a connection closed by `make_room` run before the next accept.
                tokio::task::yield_now().await;
            }
            Err(e) => {
                tracing::warn!(error = %e, "cannot accept a SIP connection");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn run_connection(frontend: Shared, id: ConnId, mut stream: TcpStream) {
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
                    conn.last_used = clock::now();
                }
                frontend.handle_message(Peer::Tcp(address, Some(id)), message);
            }
            Framed::Incomplete => return true,
            Framed::Invalid => return false,
        }
    };
    let on_drained = || frontend.borrow_mut().transport.flush_queued(id);
    let _ = link::run(&mut stream, &outbox, MESSAGE_TIMEOUT, on_bytes, on_drained).await;
    outbox.flush_without_blocking(&stream);
    frontend.borrow_mut().remove_connection(id, true);
}

async fn dial_connection(
    frontend: Rc<RefCell<SipFrontend>>,
    id: ConnId,
    address: SocketAddr,
    timeout: Duration,
) {
    match tokio::time::timeout(timeout, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => {
            {
                let transport = &mut frontend.borrow_mut().transport;
                if let Some(conn) = transport.conns.get_mut(&id) {
                    conn.connected = true;
                }
                transport.flush_queued(id);
            }
            run_connection(frontend, id, stream).await;
        }
        Ok(Err(e)) => {
            let refused = e.kind() == io::ErrorKind::ConnectionRefused;
            let mut frontend = frontend.borrow_mut();
            frontend.remove_connection(id, false);
            if refused {
                frontend.handle_connection_refused(address);
            }
        }
        Err(_) => frontend.borrow_mut().remove_connection(id, false),
    }
}

impl SipFrontend {
    /// Starts a task for each connection that is to be dialled.
    pub(super) fn start_dials(&mut self) {
        for id in std::mem::take(&mut self.transport.pending_dials) {
            let Some(conn) = self.transport.conns.get(&id) else { continue };
            let (address, timeout) = (conn.address, self.transport.dial_timeout);
            tokio::task::spawn_local(dial_connection(self.shared(), id, address, timeout));
        }
    }

    /// Removes a connection that has ended; `was_connected` is false if it was never established.
    fn remove_connection(&mut self, id: ConnId, was_connected: bool) {
        let Some(conn) = self.transport.conns.remove(&id) else { return };
        let unsent = conn.queued.into_iter().map(|(branch, _)| branch).collect();
        self.handle_connection_end(id, was_connected, unsent);
    }
}
