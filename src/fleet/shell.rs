//! The fleet's sockets: moves the view's frames, keeps its time, and tells it what this process does. It decides nothing, and
//! waits for no peer: a datagram that the system does not take at once is dropped, and a stream has a bound in time.
//!
//! At an upgrade the newer process binds the same address once the older one, which knows by `platform::sibling` that the newer
//! serves, has closed its sockets: the two are one member, and its newer start.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use cobaltspool_fleet::live_instances::MembershipSummary;
use cobaltspool_fleet::member::News;
use cobaltspool_fleet::view::{Event, Out, Setup, To, View};
use cobaltspool_fleet::wire::{self, DATAGRAM_BYTES, Drop, Frame, STREAM_BYTES};
use rand_core::{OsRng, TryRngCore};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use cobaltspool_fleet::envelope::{MAX_ENVELOPE_BYTES, PeerMessage};
use cobaltspool_fleet::lease::{ProcessId, ResourceName};
use cobaltspool_fleet::member::MemberId;
use tokio::sync::{Notify, mpsc};

use super::consensus_node::{ConsensusNode, VoterConfig};
use super::peer_connections::PeerConnections;
use super::settings::Fleet;
use super::status::{Dropped, Status};
use super::stream;
use crate::Micros;
use crate::clock;
use crate::operate::{self, AdminService};

/// Most datagrams read a second; further ones are dropped unread.
const DATAGRAMS: u32 = 4_000;
/// Datagrams in a row before others have their turn.
const IN_A_ROW: usize = 32;
/// Streams held open by others, at most.
const STREAMS_IN: usize = 4;
/// Streams held open to others, at most.
const STREAMS_OUT: usize = 2;
/// Streams of messages held open by others, at most.
const MAX_MESSAGE_STREAMS: usize = 64;
/// A stream that brings no message for so long is closed.
const MESSAGE_STREAM_IDLE: Duration = Duration::from_secs(30);
/// An election timeout in periods.
const ELECTION_PERIODS: u64 = 2;
/// What is said on the way out is written within this.
const LAST_WORDS: Duration = Duration::from_millis(100);
/// Between tries to bind an address that another process has.
const BIND_AGAIN: Duration = Duration::from_millis(250);

/// An address that was bound, over UDP and TCP.
struct Bound {
    udp: Rc<UdpSocket>,
    tcp: TcpListener,
    address: SocketAddr,
}

/// Binds the address. Port 0 takes one that is free for both.
async fn try_bind(address: SocketAddr) -> io::Result<Bound> {
    let mut last = io::Error::from(io::ErrorKind::AddrInUse);
    for _ in 0..if address.port() == 0 { 16 } else { 1 } {
        let tcp = TcpListener::bind(address).await?;
        let address = tcp.local_addr()?;
        match UdpSocket::bind(address).await {
            Ok(udp) => return Ok(Bound { udp: Rc::new(udp), tcp, address }),
            Err(e) => last = e,
        }
    }
    Err(last)
}

/// One member, as the program holds it.
struct Member {
    set: Fleet,
    view: RefCell<View>,
    started: Instant,
    dropped: Cell<Dropped>,
    /// What datagrams go out by, while this process takes part.
    udp: RefCell<Option<Rc<UdpSocket>>>,
    streams_out: Cell<usize>,
    summary: watch::Sender<(Micros, MembershipSummary)>,
    /// Digest of the operators' file.
    ops: u64,
    address: Cell<SocketAddr>,
    /// Its part among the voters, and in owning resources; `None`: there are no voters.
    consensus: Option<ConsensusNode>,
    peers: Rc<PeerConnections>,
    /// Wakes the consensus node before the deadline it asked for.
    consensus_wake: Notify,
    #[cfg(feature = "faults")]
    test_effects: super::test_effects::TestEffects,
    message_streams: Cell<usize>,
}

impl operate::FleetStatus for Member {
    fn status(&self) -> String {
        let view = self.view.borrow();
        let consensus = self.consensus.as_ref().map(|node| node.report(self.now()));
        let status = Status::of(&view, self.now(), self.set.period, self.dropped.get(), consensus);
        serde_json::to_string(&status).unwrap_or_default()
    }

    fn log(&self) -> Option<String> {
        serde_json::to_string(&self.consensus.as_ref()?.recent_changes()).ok()
    }

    fn membership(&self) -> watch::Receiver<(Micros, MembershipSummary)> {
        self.summary.subscribe()
    }
}

/// This process as a member, before it takes part.
pub struct Joined {
    member: Rc<Member>,
    bound: Option<Bound>,
    admin: Rc<AdminService>,
}

/// Binds the address and tells the admin of the fleet. An address that another process has is no error: it may be the older one
/// of an upgrade. `ops` is the digest of the operators' file.
pub async fn join(set: Fleet, ops: u64, admin: &Rc<AdminService>) -> Result<Joined, String> {
    let bound = match try_bind(set.address).await {
        Ok(bound) => Some(bound),
        Err(e) if e.kind() == io::ErrorKind::AddrInUse => None,
        Err(e) => {
            return Err(format!("cannot bind the fleet's address {}: {e}; see fleet.address", set.address));
        }
    };
    let draw =
        || OsRng.try_next_u64().map_err(|e| format!("the fleet needs the system's random numbers: {e}"));
    let address = bound.as_ref().map_or(set.address, |b| b.address);
    let nonce = draw()? | 1;
    let voter_config = (!set.voters.is_empty()).then(|| VoterConfig {
        process: ProcessId { member: set.id.clone(), nonce },
        voters: set.voters.clone(),
        folder: set.state.clone(),
        election_timeout: set.period * ELECTION_PERIODS,
        lease: set.lease,
        trust_disk: set.trust_disk,
    });
    let consensus = voter_config.map(|config| ConsensusNode::new(0, config));
    let setup = Setup {
        id: set.id.clone(),
        zone: set.zone.as_str().into(),
        version: env!("CARGO_PKG_VERSION").into(),
        address,
        seeds: set.seeds.clone(),
        known: set.known.clone(),
        period: set.period,
        memory: set.memory,
        nonce,
    };
    let settling = View::bound(set.period, set.known.len());
    let member = Rc::new(Member {
        view: RefCell::new(View::new(0, setup, draw()?)),
        started: Instant::now(),
        dropped: Cell::default(),
        udp: RefCell::default(),
        streams_out: Cell::new(0),
        summary: watch::Sender::new((settling, MembershipSummary::default())),
        ops,
        address: Cell::new(address),
        consensus,
        peers: Rc::default(),
        consensus_wake: Notify::new(),
        message_streams: Cell::new(0),
        #[cfg(feature = "faults")]
        test_effects: super::test_effects::TestEffects::from_environment(),
        set,
    });
    if let (Some(consensus), Some(release)) = (&member.consensus, ResourceName::new("release")) {
        consensus.want(release);
        #[cfg(feature = "faults")]
        member.test_effects.want_resources(consensus);
    }
    admin.register_fleet(member.clone());
    Ok(Joined { member, bound, admin: admin.clone() })
}

impl Joined {
    /// Takes part in the fleet until `stop`, then says that it leaves.
    pub async fn serve(self, stop: impl Future<Output = ()>) {
        let Joined { member, mut bound, admin } = self;
        tokio::pin!(stop);
        loop {
            // An older process of an upgrade closes its sockets, and opens them again should the newer one die.
            let next = async {
                match bound.take() {
                    Some(bound) => bound,
                    None => member.bind_when_free(&admin).await,
                }
            };
            let next = tokio::select! {
                next = next => next,
                () = &mut stop => return,
            };
            tokio::select! {
                () = member.take_part(&next, &admin) => {}
                () = &mut stop => {
                    member.leave();
                    // What it put down is told on streams, which need a moment.
                    return sleep(LAST_WORDS).await;
                }
            }
        }
    }
}

impl Member {
    fn now(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }

    fn count(&self, what: impl FnOnce(&mut Dropped)) {
        let mut dropped = self.dropped.get();
        what(&mut dropped);
        self.dropped.set(dropped);
    }

    async fn bind_when_free(&self, admin: &AdminService) -> Bound {
        let mut told = false;
        loop {
            if !admin.has_successor() {
                match try_bind(self.address.get()).await {
                    Ok(bound) => return bound,
                    Err(e) if !told => {
                        told = true;
                        tracing::warn!(
                            target: "fleet", address = %self.address.get(), error = %e,
                            "the fleet's address is taken: the older process of an upgrade, or another one; tried again"
                        );
                    }
                    Err(_) => {}
                }
            }
            sleep(BIND_AGAIN).await;
        }
    }

    /// Until a newer process of this gatekeeper serves.
    async fn take_part(self: &Rc<Self>, bound: &Bound, admin: &AdminService) {
        tracing::info!(target: "fleet", id = %self.set.id, address = %bound.address, "takes part in the fleet");
        *self.udp.borrow_mut() = Some(bound.udp.clone());
        tokio::select! {
            () = self.hear(&bound.udp) => {}
            () = self.accept(&bound.tcp) => {}
            () = self.keep_time(admin) => {}
            () = self.run_consensus() => {}
        }
        if let Some(consensus) = &self.consensus {
            self.post(consensus.hand_over(self.now()));
        }
        *self.udp.borrow_mut() = None;
    }

    async fn hear(self: &Rc<Self>, udp: &UdpSocket) {
        let mut buffer = [0; DATAGRAM_BYTES + 1];
        let (mut since, mut count, mut row) = (Instant::now(), 0, 0);
        loop {
            let (size, from) = match udp.recv_from(&mut buffer).await {
                Ok(got) => got,
                // Told of a datagram that nobody took: no reason to stop.
                Err(_) => {
                    tokio::task::yield_now().await;
                    continue;
                }
            };
            if since.elapsed() >= Duration::from_secs(1) {
                (since, count) = (Instant::now(), 0);
            }
            count += 1;
            if count > DATAGRAMS {
                self.count(|d| d.flood += 1);
            } else if let Some(frame) = self.read(&buffer[..size], DATAGRAM_BYTES) {
                let mut out = Vec::new();
                self.view.borrow_mut().take(self.now(), frame, &mut out);
                self.carry_out(out, Some(from));
            }
            row += 1;
            if row >= IN_A_ROW {
                row = 0;
                tokio::task::yield_now().await;
            }
        }
    }

    fn read(&self, bytes: &[u8], most: usize) -> Option<Frame> {
        match wire::decode(bytes, most, &self.set.key) {
            Ok(frame) => Some(frame),
            Err(why) => {
                self.count_drop(why);
                None
            }
        }
    }

    fn count_drop(&self, why: Drop) {
        self.count(|d| match why {
            Drop::Cut => d.cut += 1,
            Drop::Oversized => d.oversized += 1,
            Drop::Forged => d.forged += 1,
            Drop::Version => d.version += 1,
        });
    }

    async fn accept(self: &Rc<Self>, tcp: &TcpListener) {
        let places = Rc::new(());
        loop {
            let Ok((mut stream, _)) = tcp.accept().await else {
                sleep(Duration::from_millis(20)).await;
                continue;
            };
            if Rc::strong_count(&places) > STREAMS_IN {
                self.count(|d| d.streams += 1);
                continue;
            }
            let (member, place) = (self.clone(), places.clone());
            tokio::task::spawn_local(async move {
                // A peer that sends a message first goes on sending messages, under a bound of its own.
                let first = timeout(stream::WHOLE, stream::read(&mut stream, MAX_ENVELOPE_BYTES)).await;
                let Ok(Ok(Some(bytes))) = first else {
                    if matches!(first, Ok(Ok(None))) {
                        member.count(|d| d.oversized += 1);
                    }
                    return;
                };
                if wire::is_envelope(&bytes) {
                    drop(place);
                    return member.receive_messages(stream, bytes).await;
                }
                let whole = async {
                    let Some(frame) = member.read(&bytes, STREAM_BYTES) else { return Ok(()) };
                    let answer = {
                        let mut view = member.view.borrow_mut();
                        view.active().then(|| view.exchange(member.now()))
                    };
                    member.take_table(frame);
                    match answer {
                        Some(answer) => {
                            stream::write(&mut stream, &wire::encode(&answer, &member.set.key)).await
                        }
                        None => Ok(()),
                    }
                };
                // An exchange that fails or takes too long is made up for by the next.
                let _ = timeout(stream::WHOLE, whole).await;
                drop(place);
            });
        }
    }

    async fn receive_messages(self: &Rc<Self>, mut stream: TcpStream, first: Vec<u8>) {
        let Some(consensus) = &self.consensus else { return };
        if self.message_streams.get() >= MAX_MESSAGE_STREAMS {
            return self.count(|d| d.streams += 1);
        }
        self.message_streams.set(self.message_streams.get() + 1);
        let mut next = Some(first);
        while let Some(bytes) = next {
            match wire::decode_envelope(&bytes, &self.set.key) {
                // One who stands by for a newer start under its id takes no part.
                Ok(message) if self.view.borrow().active() => {
                    let mut outgoing = Vec::new();
                    consensus.handle_message(self.now(), message, &mut outgoing);
                    self.post(outgoing);
                    self.consensus_wake.notify_one();
                }
                Ok(_) => self.count(|d| d.replayed += 1),
                Err(why) => {
                    self.count_drop(why);
                    break;
                }
            }
            next = timeout(MESSAGE_STREAM_IDLE, stream::read(&mut stream, MAX_ENVELOPE_BYTES))
                .await
                .ok()
                .and_then(Result::ok)
                .flatten();
        }
        self.message_streams.set(self.message_streams.get() - 1);
    }

    fn post(&self, outgoing: Vec<PeerMessage>) {
        for message in outgoing {
            let Some(address) = self.address_of(&message.to) else { continue };
            let bytes = wire::encode_envelope(&message, &self.set.key);
            if !self.peers.send(&message.to, address, bytes) {
                self.count(|d| d.unsent += 1);
            }
        }
    }

    /// Where a member is reached: as the file says, as it told, or as it is looked for by name.
    fn address_of(&self, id: &MemberId) -> Option<SocketAddr> {
        let told = || self.view.borrow().address(id);
        let known = || self.set.known.iter().find(|(known, _)| known == id).map(|(_, at)| *at);
        self.set.via.get(id).copied().or_else(told).or_else(known)
    }

    /// The consensus node's timer, and its disk's reports.
    async fn run_consensus(self: &Rc<Self>) {
        let Some(consensus) = &self.consensus else { return std::future::pending().await };
        let (store_events, mut store_reports) = mpsc::unbounded_channel();
        let mut next_start = self.now();
        loop {
            let (now, mut outgoing) = (self.now(), Vec::new());
            if consensus.is_missing_vote() && now >= next_start {
                // A folder that another process has, maybe the older one of an upgrade, is tried again.
                next_start = now + self.set.period;
                let nonce = OsRng.try_next_u64().unwrap_or(now) | 1;
                consensus.start_voting(now, nonce, store_events.clone(), &mut outgoing);
            }
            let active = self.view.borrow().active();
            let due = if active { consensus.tick(now, &mut outgoing) } else { now + self.set.period };
            self.post(outgoing);
            #[cfg(feature = "faults")]
            self.test_effects.send_effects(&self.set.id, || self.now(), consensus);
            let wait = due.saturating_sub(now).clamp(5_000, self.set.period / 4);
            tokio::select! {
                () = sleep(Duration::from_micros(wait)) => {}
                () = self.consensus_wake.notified() => {}
                Some(event) = store_reports.recv() => {
                    let mut outgoing = Vec::new();
                    consensus.handle_store_event(self.now(), event, &mut outgoing);
                    self.post(outgoing);
                }
            }
        }
    }

    fn take_table(self: &Rc<Self>, frame: Frame) {
        let mut out = Vec::new();
        self.view.borrow_mut().take_exchange(self.now(), frame, &mut out);
        self.carry_out(out, None);
    }

    fn exchange(self: &Rc<Self>, to: &To, back: Option<SocketAddr>) {
        let Some(address) = self.way(to, back) else { return };
        if self.streams_out.get() >= STREAMS_OUT {
            return; // another is under way; differences are found again
        }
        self.streams_out.set(self.streams_out.get() + 1);
        let member = self.clone();
        tokio::task::spawn_local(async move {
            let whole = async {
                let mut stream = TcpStream::connect(address).await?;
                let own = member.view.borrow_mut().exchange(member.now());
                stream::write(&mut stream, &wire::encode(&own, &member.set.key)).await?;
                if let Some(frame) =
                    stream::read(&mut stream, STREAM_BYTES).await?.and_then(|b| member.read(&b, STREAM_BYTES))
                {
                    member.take_table(frame);
                }
                Ok::<_, io::Error>(())
            };
            let _ = timeout(stream::WHOLE, whole).await;
            member.streams_out.set(member.streams_out.get() - 1);
        });
    }

    /// Ticks and news, until a newer process serves.
    async fn keep_time(self: &Rc<Self>, admin: &AdminService) {
        loop {
            let now = self.now();
            let mut out = Vec::new();
            let wait = {
                let mut view = self.view.borrow_mut();
                view.tell(now, self.news(admin), &mut out);
                view.tick(now, &mut out);
                let (live, down) = view.counts();
                let summary = MembershipSummary {
                    live: live as u32,
                    unseen: down as u32,
                    is_settled: view.settled(now),
                    has_joined: view.joined(),
                };
                let bound = View::bound(self.set.period, live + down);
                self.summary.send_replace((bound, summary));
                view.next_due().saturating_sub(now)
            };
            self.carry_out(out, None);
            if admin.has_successor() {
                tracing::info!(target: "fleet", "a newer process of this gatekeeper serves: it is this member from now on");
                return;
            }
            sleep(Duration::from_micros(wait)).await;
        }
    }

    fn news(&self, admin: &AdminService) -> News {
        let age = admin.list_received_at().map(|at| clock::now().saturating_sub(at) / 1000);
        News {
            ready: admin.is_ready(),
            draining: admin.is_out_of_service(),
            leaving: admin.is_shutting_down(),
            calls: u32::try_from(admin.calls()).unwrap_or(u32::MAX),
            list_age: age,
            ops: self.ops,
            ..News::at(self.address.get())
        }
    }

    fn way(&self, to: &To, back: Option<SocketAddr>) -> Option<SocketAddr> {
        match to {
            To::Member(id, told) => Some(self.set.via.get(id).copied().unwrap_or(*told)),
            To::Address(address) => Some(*address),
            To::Back => back,
        }
    }

    fn carry_out(self: &Rc<Self>, out: Vec<Out>, back: Option<SocketAddr>) {
        let udp = self.udp.borrow().clone();
        for out in out {
            match out {
                Out::Event(event) => self.log(event),
                Out::Exchange(to) => self.exchange(&to, back),
                Out::Datagram(to, frame) => {
                    let Some(address) = self.way(&to, back) else { continue };
                    let bytes = wire::encode(&frame, &self.set.key);
                    if udp.as_ref().is_none_or(|udp| udp.try_send_to(&bytes, address).is_err()) {
                        self.count(|d| d.unsent += 1);
                    }
                }
            }
        }
    }

    fn leave(self: &Rc<Self>) {
        if let Some(consensus) = &self.consensus {
            self.post(consensus.release_all(self.now()));
        }
        let mut out = Vec::new();
        self.view.borrow_mut().leave(self.now(), &mut out);
        self.carry_out(out, None);
        tracing::info!(target: "fleet", "has left the fleet");
    }

    fn log(&self, event: Event) {
        match event {
            Event::Joined(id) => tracing::info!(target: "fleet", member = %id, "joined"),
            Event::Suspected(id, by) => tracing::info!(target: "fleet", member = %id, %by, "suspect"),
            Event::Down(id, by) => tracing::warn!(target: "fleet", member = %id, %by, "down"),
            Event::Back(id) => tracing::info!(target: "fleet", member = %id, "back"),
            Event::Left(id) => tracing::info!(target: "fleet", member = %id, "left"),
            Event::Refuted => tracing::info!(target: "fleet", "was doubted, and says that it is there"),
            Event::Stalled(missed) => {
                tracing::warn!(target: "fleet", missed_ms = missed / 1000, "missed time: doubts itself, and not the others");
            }
            Event::Twin(twin) => {
                let (address, age_ms) = (twin.address, twin.age / 1000);
                tracing::error!(target: "fleet", id = %self.set.id, %address, age_ms, "another process runs under this id");
            }
            Event::Yielded(twin) => {
                tracing::error!(
                    target: "fleet", id = %self.set.id, address = %twin.address,
                    "it is the newer start: this one is silent in the fleet until the id is free"
                );
            }
            Event::Resumed => {
                tracing::warn!(target: "fleet", id = %self.set.id, "the id is free: speaks again")
            }
            Event::Settled(live) => tracing::info!(target: "fleet", live, "settled"),
            Event::Full(id) => {
                tracing::warn!(target: "fleet", member = %id, "the table is full: not taken in")
            }
        }
    }
}
