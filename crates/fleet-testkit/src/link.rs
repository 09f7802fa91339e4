//! Directed links between members: UDP and TCP forwarders that can drop, duplicate, delay and stall traffic. All
//! forwarders run as tasks on one thread.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::sleep;

/// Faults injected into one directed link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fault {
    /// No datagram and no stream byte is forwarded.
    pub cut: bool,
    /// Fraction of datagrams that are dropped.
    pub loss: f64,
    /// Fraction of datagrams that are sent twice.
    pub duplication: f64,
    /// Minimum delay of a datagram. The actual delay is one to two times this value at random, so datagrams are
    /// reordered.
    pub delay: Duration,
    /// Streams are accepted, but no byte is forwarded.
    pub stalled: bool,
    /// Streams are forwarded one byte every 20 ms.
    pub byte_by_byte: bool,
}

#[derive(Default)]
struct State {
    faults: BTreeMap<(usize, usize), Fault>,
    targets: BTreeMap<usize, SocketAddr>,
}

/// Links between all pairs of members, in both directions.
pub struct Links {
    size: usize,
    addresses: BTreeMap<(usize, usize), SocketAddr>,
    state: Arc<Mutex<State>>,
    _end: Option<tokio::sync::oneshot::Sender<()>>,
}

impl Links {
    pub(crate) fn new(size: usize, seed: u64) -> Links {
        let state: Arc<Mutex<State>> = Arc::default();
        if size == 0 {
            return Links { size, addresses: BTreeMap::new(), state, _end: None };
        }
        let (end, ended) = tokio::sync::oneshot::channel::<()>();
        let (sender, receiver) = std::sync::mpsc::channel();
        let shared = state.clone();
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("build the runtime");
            tokio::task::LocalSet::new().block_on(&runtime, async {
                let mut all = BTreeMap::new();
                for pair in (0..size).flat_map(|a| (0..size).map(move |b| (a, b))).filter(|(a, b)| a != b) {
                    all.insert(pair, open_link(pair, shared.clone(), seed).await);
                }
                let _ = sender.send(all);
                let _ = ended.await;
            });
        });
        let addresses = receiver.recv().expect("the link thread opens all links");
        Links { size, addresses, state, _end: Some(end) }
    }

    /// Address at which `from` reaches `to`.
    pub fn address(&self, from: usize, to: usize) -> SocketAddr {
        self.addresses[&(from, to)]
    }

    /// Sets the address of a member to which all links towards it forward.
    pub(crate) fn set_target(&self, member: usize, address: SocketAddr) {
        self.state.lock().expect("lock the link state").targets.insert(member, address);
    }

    /// Replaces the faults of the link between two members in this direction.
    pub fn set_fault(&self, from: usize, to: usize, fault: Fault) {
        self.state.lock().expect("lock the link state").faults.insert((from, to), fault);
    }

    /// Replaces the faults of all links.
    pub fn set_fault_on_all(&self, fault: Fault) {
        for (from, to) in self.addresses.keys() {
            self.set_fault(*from, *to, fault);
        }
    }

    /// Cuts the links from one set of members to another, with `both` also those in the opposite direction.
    pub fn cut(&self, from: &BTreeSet<usize>, to: &BTreeSet<usize>, both: bool) {
        let cut = Fault { cut: true, ..Fault::default() };
        for (a, b) in from.iter().flat_map(|a| to.iter().map(move |b| (*a, *b))).filter(|(a, b)| a != b) {
            self.set_fault(a, b, cut);
            if both {
                self.set_fault(b, a, cut);
            }
        }
    }

    /// All members that are not in the set.
    pub fn others(&self, of: &BTreeSet<usize>) -> BTreeSet<usize> {
        (0..self.size).filter(|n| !of.contains(n)).collect()
    }

    /// Removes all faults.
    pub fn clear_faults(&self) {
        self.state.lock().expect("lock the link state").faults.clear();
    }
}

fn fault(state: &Mutex<State>, pair: (usize, usize)) -> Fault {
    state.lock().expect("lock the link state").faults.get(&pair).copied().unwrap_or_default()
}

fn target(state: &Mutex<State>, pair: (usize, usize)) -> Option<SocketAddr> {
    state.lock().expect("lock the link state").targets.get(&pair.1).copied()
}

/// Binds the UDP and the TCP socket of a link to the same port and starts its forwarders.
async fn open_link(pair: (usize, usize), state: Arc<Mutex<State>>, seed: u64) -> SocketAddr {
    let (udp, tcp) = loop {
        let tcp = TcpListener::bind("127.0.0.1:0").await.expect("bind a TCP port");
        let address = tcp.local_addr().expect("local address of the listener");
        if let Ok(udp) = UdpSocket::bind(address).await {
            break (udp, tcp);
        }
    };
    let address = tcp.local_addr().expect("local address of the listener");
    let rng = Pcg64Mcg::seed_from_u64(seed ^ (pair.0 as u64) << 32 ^ pair.1 as u64);
    tokio::task::spawn_local(forward_datagrams(pair, udp, state.clone(), rng));
    tokio::task::spawn_local(forward_streams(pair, tcp, state));
    address
}

async fn forward_datagrams(
    pair: (usize, usize),
    udp: UdpSocket,
    state: Arc<Mutex<State>>,
    mut rng: Pcg64Mcg,
) {
    let udp = std::rc::Rc::new(udp);
    let mut buffer = [0; 2048];
    loop {
        let Ok((size, _)) = udp.recv_from(&mut buffer).await else { continue };
        let fault = fault(&state, pair);
        let mut happens =
            |share: f64| (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64 <= share && share > 0.0;
        if fault.cut || happens(fault.loss) {
            continue;
        }
        let copies = if happens(fault.duplication) { 2 } else { 1 };
        let Some(to) = target(&state, pair) else { continue };
        for _ in 0..copies {
            if fault.delay.is_zero() {
                let _ = udp.try_send_to(&buffer[..size], to);
                continue;
            }
            let delay = fault.delay + fault.delay.mul_f64((rng.next_u64() % 1000) as f64 / 1000.0);
            let (udp, bytes) = (udp.clone(), buffer[..size].to_vec());
            tokio::task::spawn_local(async move {
                sleep(delay).await;
                let _ = udp.try_send_to(&bytes, to);
            });
        }
    }
}

async fn forward_streams(pair: (usize, usize), tcp: TcpListener, state: Arc<Mutex<State>>) {
    loop {
        let Ok((near, _)) = tcp.accept().await else { continue };
        let state = state.clone();
        tokio::task::spawn_local(async move {
            let Some(to) = target(&state, pair) else { return };
            let Ok(far) = TcpStream::connect(to).await else { return };
            let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
            tokio::select! {
                () = forward_bytes(pair, near_in, far_out, &state) => {}
                // The return direction is subject to the faults of the opposite link.
                () = forward_bytes((pair.1, pair.0), far_in, near_out, &state) => {}
                () = sleep(Duration::from_secs(30)) => {}
            }
        });
    }
}

/// Forwards bytes in one direction until either side closes. Returns 5 s after that, so that bytes still in transit in
/// the other direction arrive before the caller closes both.
async fn forward_bytes(
    pair: (usize, usize),
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    state: &Mutex<State>,
) {
    let mut buffer = [0; 16 * 1024];
    while let Ok(size @ 1..) = from.read(&mut buffer).await {
        let mut sent = 0;
        while sent < size {
            let fault = fault(state, pair);
            if fault.cut || fault.stalled {
                sleep(Duration::from_millis(20)).await;
                continue;
            }
            let end = if fault.byte_by_byte { sent + 1 } else { size };
            if to.write_all(&buffer[sent..end]).await.is_err() {
                return;
            }
            if fault.byte_by_byte {
                sleep(Duration::from_millis(20)).await;
            }
            sent = end;
        }
    }
    let _ = to.shutdown().await;
    sleep(Duration::from_secs(5)).await;
}
