//! Links: a way from one member to another, over UDP and TCP, that can be cut, slowed, stalled and made to lie. All are tasks
//! of one thread.

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

/// What is wrong with a way.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fault {
    /// Nothing passes.
    pub cut: bool,
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// Share that comes twice.
    pub duplication: f64,
    /// A datagram takes this long at least, and up to twice as long: so they overtake each other.
    pub delay: Duration,
    /// A stream is taken, and nothing passes on it.
    pub stalled: bool,
    /// A stream passes a byte at a time.
    pub byte_by_byte: bool,
}

#[derive(Default)]
struct State {
    faults: BTreeMap<(usize, usize), Fault>,
    targets: BTreeMap<usize, SocketAddr>,
}

/// All ways between so many members.
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
        let (told, addresses) = std::sync::mpsc::channel();
        let shared = state.clone();
        std::thread::spawn(move || {
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
            tokio::task::LocalSet::new().block_on(&runtime, async {
                let mut all = BTreeMap::new();
                for pair in (0..size).flat_map(|a| (0..size).map(move |b| (a, b))).filter(|(a, b)| a != b) {
                    all.insert(pair, open_link(pair, shared.clone(), seed).await);
                }
                let _ = told.send(all);
                let _ = ended.await;
            });
        });
        let addresses = addresses.recv().expect("the links are open");
        Links { size, addresses, state, _end: Some(end) }
    }

    /// Where one member reaches another.
    pub fn address(&self, from: usize, to: usize) -> SocketAddr {
        self.addresses[&(from, to)]
    }

    pub(crate) fn set_target(&self, member: usize, address: SocketAddr) {
        self.state.lock().expect("the links").targets.insert(member, address);
    }

    /// Sets what is wrong with the way from one to another.
    pub fn set_fault(&self, from: usize, to: usize, fault: Fault) {
        self.state.lock().expect("the links").faults.insert((from, to), fault);
    }

    /// Sets what is wrong with all ways.
    pub fn set_fault_on_all(&self, fault: Fault) {
        for (from, to) in self.addresses.keys() {
            self.set_fault(*from, *to, fault);
        }
    }

    /// Cuts the ways from these to those; both ways where asked.
    pub fn cut(&self, from: &BTreeSet<usize>, to: &BTreeSet<usize>, both: bool) {
        let cut = Fault { cut: true, ..Fault::default() };
        for (a, b) in from.iter().flat_map(|a| to.iter().map(move |b| (*a, *b))).filter(|(a, b)| a != b) {
            self.set_fault(a, b, cut);
            if both {
                self.set_fault(b, a, cut);
            }
        }
    }

    /// All not in the set.
    pub fn others(&self, of: &BTreeSet<usize>) -> BTreeSet<usize> {
        (0..self.size).filter(|n| !of.contains(n)).collect()
    }

    /// All is well again.
    pub fn clear_faults(&self) {
        self.state.lock().expect("the links").faults.clear();
    }
}

fn fault(state: &Mutex<State>, pair: (usize, usize)) -> Fault {
    state.lock().expect("the links").faults.get(&pair).copied().unwrap_or_default()
}

fn target(state: &Mutex<State>, pair: (usize, usize)) -> Option<SocketAddr> {
    state.lock().expect("the links").targets.get(&pair.1).copied()
}

async fn open_link(pair: (usize, usize), state: Arc<Mutex<State>>, seed: u64) -> SocketAddr {
    let (udp, tcp) = loop {
        let tcp = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = tcp.local_addr().expect("its address");
        if let Ok(udp) = UdpSocket::bind(address).await {
            break (udp, tcp);
        }
    };
    let address = tcp.local_addr().expect("its address");
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
        let mut chance =
            |share: f64| (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64 <= share && share > 0.0;
        if fault.cut || chance(fault.loss) {
            continue;
        }
        let times = if chance(fault.duplication) { 2 } else { 1 };
        let Some(to) = target(&state, pair) else { continue };
        for _ in 0..times {
            if fault.delay.is_zero() {
                let _ = udp.try_send_to(&buffer[..size], to);
                continue;
            }
            let late = fault.delay + fault.delay.mul_f64((rng.next_u64() % 1000) as f64 / 1000.0);
            let (udp, bytes) = (udp.clone(), buffer[..size].to_vec());
            tokio::task::spawn_local(async move {
                sleep(late).await;
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
                // What comes back goes by the other way's faults.
                () = forward_bytes((pair.1, pair.0), far_in, near_out, &state) => {}
                () = sleep(Duration::from_secs(30)) => {}
            }
        });
    }
}

/// Passes bytes one way until either side ends. Returns late, so that what the other way still carries arrives.
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
