//! The fleet's runtime: moves the membership's frames, runs its timers, and tells it what this process does. It decides nothing, and
//! waits for no peer: a datagram that the system does not take at once is dropped, and a stream has a bound in time.
//!
//! [`FleetNode::serve`] owns all tasks of this process as a member: they end when it is dropped or its `stop` completes; tasks of single
//! streams end by their timeouts.
//!
//! At an upgrade the newer process binds the same address once the older one, which knows by `platform::handover` that the newer
//! serves, has closed its sockets: the two are one member, and its newer start.

mod events;
mod messages;
mod streams;

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use cobaltspool_fleet::codec::{self, DecodeError, Frame, MAX_DATAGRAM_BYTES, MAX_STREAM_BYTES};
use cobaltspool_fleet::live_instances::MembershipSummary;
use cobaltspool_fleet::member::MemberInfo;
use cobaltspool_fleet::membership::{Action, Destination, Event, Membership, MembershipConfig};
use rand_core::{OsRng, TryRngCore};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use cobaltspool_fleet::envelope::{MAX_ENVELOPE_BYTES, PeerMessage};
use cobaltspool_fleet::lease::{ProcessId, ResourceName};
use cobaltspool_fleet::member::MemberId;
use tokio::sync::{Notify, mpsc};

use super::consensus_node::{ConsensusNode, VoterConfig};
use super::framing;
use super::peer_connections::PeerConnections;
use super::settings::FleetSettings;
use super::status::{Dropped, Status};
use crate::Micros;
use crate::clock;
use crate::operate::{self, AdminService};

/// Maximum number of datagrams read a second; further ones are dropped unread.
const MAX_DATAGRAMS_PER_SECOND: u32 = 4_000;
/// Datagrams in a row before others have their turn.
const DATAGRAMS_IN_A_ROW: usize = 32;
/// Maximum number of streams held open by others.
const MAX_INBOUND_STREAMS: usize = 4;
/// Maximum number of streams held open to others.
const MAX_OUTBOUND_STREAMS: usize = 2;
/// Maximum number of message streams held open by others.
const MAX_MESSAGE_STREAMS: usize = 64;
/// A stream that brings no message for so long is closed.
const MESSAGE_STREAM_IDLE: Duration = Duration::from_secs(30);
/// An election timeout in periods.
const ELECTION_PERIODS: u64 = 2;
/// What is sent on leaving is written within this.
const LEAVE_FLUSH_TIME: Duration = Duration::from_millis(100);
/// Between attempts to bind an address that another process has.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(250);

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
    settings: FleetSettings,
    membership: RefCell<Membership>,
    started: Instant,
    dropped: Cell<Dropped>,
    /// What datagrams go out by, while this process takes part.
    udp: RefCell<Option<Rc<UdpSocket>>>,
    outbound_streams: Cell<usize>,
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
        let membership = self.membership.borrow();
        let consensus = self.consensus.as_ref().map(|node| node.report(self.now()));
        let status = Status::of(&membership, self.now(), self.settings.period, self.dropped.get(), consensus);
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
pub struct FleetNode {
    member: Rc<Member>,
    bound: Option<Bound>,
    admin: Rc<AdminService>,
}

/// This process cannot take part in the fleet.
#[derive(Debug, thiserror::Error)]
pub enum JoinError {
    /// Its address cannot be bound.
    #[error("cannot bind the fleet's address {address}: {source}; see fleet.address")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The system has no random numbers.
    #[error("the fleet needs the system's random numbers: {0}")]
    Random(rand_core::OsError),
}

/// What this process is among the voters; `None`: there are no voters.
fn voter_config(settings: &FleetSettings, nonce: u64) -> Option<VoterConfig> {
    (!settings.voters.is_empty()).then(|| VoterConfig {
        process: ProcessId { member: settings.id.clone(), nonce },
        voters: settings.voters.clone(),
        folder: settings.state_dir.clone(),
        election_timeout: settings.period * ELECTION_PERIODS,
        lease: settings.lease,
        trust_disk: settings.trust_disk,
    })
}

fn membership_config(settings: &FleetSettings, address: SocketAddr, nonce: u64) -> MembershipConfig {
    MembershipConfig {
        id: settings.id.clone(),
        zone: settings.zone.as_str().into(),
        version: env!("CARGO_PKG_VERSION").into(),
        address,
        seeds: settings.seeds.clone(),
        configured: settings.configured_members.clone(),
        period: settings.period,
        retention: settings.retention,
        nonce,
    }
}

/// Binds the address and tells the admin of the fleet. An address that another process has is no error: it may be the older one
/// of an upgrade. `ops` is the digest of the operators' file.
pub async fn join(
    settings: FleetSettings,
    ops: u64,
    admin: &Rc<AdminService>,
) -> Result<FleetNode, JoinError> {
    let bound = match try_bind(settings.address).await {
        Ok(bound) => Some(bound),
        Err(e) if e.kind() == io::ErrorKind::AddrInUse => None,
        Err(e) => {
            return Err(JoinError::Bind { address: settings.address, source: e });
        }
    };
    let draw = || OsRng.try_next_u64().map_err(JoinError::Random);
    let address = bound.as_ref().map_or(settings.address, |b| b.address);
    let nonce = draw()? | 1;
    let consensus = voter_config(&settings, nonce).map(|config| ConsensusNode::new(0, config));
    let config = membership_config(&settings, address, nonce);
    let settling = Membership::settling_bound(settings.period, settings.configured_members.len());
    let member = Rc::new(Member {
        membership: RefCell::new(Membership::new(0, config, draw()?)),
        started: Instant::now(),
        dropped: Cell::default(),
        udp: RefCell::default(),
        outbound_streams: Cell::new(0),
        summary: watch::Sender::new((settling, MembershipSummary::default())),
        ops,
        address: Cell::new(address),
        consensus,
        peers: Rc::default(),
        consensus_wake: Notify::new(),
        message_streams: Cell::new(0),
        #[cfg(feature = "faults")]
        test_effects: super::test_effects::TestEffects::from_environment(),
        settings,
    });
    if let (Some(consensus), Some(release)) = (&member.consensus, ResourceName::new("release")) {
        consensus.request_resource(release);
        #[cfg(feature = "faults")]
        member.test_effects.request_resources(consensus);
    }
    admin.register_fleet(member.clone());
    Ok(FleetNode { member, bound, admin: admin.clone() })
}

impl FleetNode {
    /// Takes part in the fleet until `stop`, then says that it leaves.
    pub async fn serve(self, stop: impl Future<Output = ()>) {
        let FleetNode { member, mut bound, admin } = self;
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
                () = member.participate(&next, &admin) => {}
                () = &mut stop => {
                    member.leave();
                    // What it put down is told on streams, which need a moment.
                    return sleep(LEAVE_FLUSH_TIME).await;
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
            sleep(BIND_RETRY_DELAY).await;
        }
    }

    /// Until a newer process of this gatekeeper serves.
    async fn participate(self: &Rc<Self>, bound: &Bound, admin: &AdminService) {
        tracing::info!(target: "fleet", id = %self.settings.id, address = %bound.address, "takes part in the fleet");
        *self.udp.borrow_mut() = Some(bound.udp.clone());
        tokio::select! {
            () = self.read_datagrams(&bound.udp) => {}
            () = self.accept(&bound.tcp) => {}
            () = self.run_membership(admin) => {}
            () = self.run_consensus() => {}
        }
        if let Some(consensus) = &self.consensus {
            self.send_messages(consensus.hand_over(self.now()));
        }
        *self.udp.borrow_mut() = None;
    }

    async fn read_datagrams(self: &Rc<Self>, udp: &UdpSocket) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        let (mut since, mut count, mut row) = (Instant::now(), 0, 0);
        loop {
            let Ok((size, from)) = udp.recv_from(&mut buffer).await else {
                // Told of a datagram that nobody took: no reason to stop.
                tokio::task::yield_now().await;
                continue;
            };
            if since.elapsed() >= Duration::from_secs(1) {
                (since, count) = (Instant::now(), 0);
            }
            count += 1;
            if count > MAX_DATAGRAMS_PER_SECOND {
                self.count(|d| d.flood += 1);
            } else if let Some(frame) = self.decode(&buffer[..size], MAX_DATAGRAM_BYTES) {
                let mut out = Vec::new();
                self.membership.borrow_mut().handle_frame(self.now(), frame, &mut out);
                self.execute_actions(out, Some(from));
            }
            row += 1;
            if row >= DATAGRAMS_IN_A_ROW {
                row = 0;
                tokio::task::yield_now().await;
            }
        }
    }

    /// Ticks and news, until a newer process serves.
    async fn run_membership(self: &Rc<Self>, admin: &AdminService) {
        loop {
            let now = self.now();
            let mut out = Vec::new();
            let wait = {
                let mut membership = self.membership.borrow_mut();
                membership.update_info(now, self.own_info(admin), &mut out);
                membership.tick(now, &mut out);
                let (live, down) = membership.member_counts();
                let summary = MembershipSummary {
                    live: live as u32,
                    down: down as u32,
                    is_settled: membership.is_settled(now),
                    has_joined: membership.has_joined(),
                };
                let bound = Membership::settling_bound(self.settings.period, live + down);
                self.summary.send_replace((bound, summary));
                membership.next_deadline().saturating_sub(now)
            };
            self.execute_actions(out, None);
            if admin.has_successor() {
                tracing::info!(target: "fleet", "a newer process of this gatekeeper serves: it is this member from now on");
                return;
            }
            sleep(Duration::from_micros(wait)).await;
        }
    }

    fn own_info(&self, admin: &AdminService) -> MemberInfo {
        let age = admin.list_received_at().map(|at| clock::now().saturating_sub(at) / 1000);
        MemberInfo {
            ready: admin.is_ready(),
            draining: admin.is_out_of_service(),
            leaving: admin.is_shutting_down(),
            calls: u32::try_from(admin.open_call_count()).unwrap_or(u32::MAX),
            list_age: age,
            ops_digest: self.ops,
            ..MemberInfo::at(self.address.get())
        }
    }

    fn resolve(&self, to: &Destination, back: Option<SocketAddr>) -> Option<SocketAddr> {
        match to {
            Destination::Member(id, told) => {
                Some(self.settings.address_overrides.get(id).copied().unwrap_or(*told))
            }
            Destination::Address(address) => Some(*address),
            Destination::Sender => back,
        }
    }

    fn execute_actions(self: &Rc<Self>, out: Vec<Action>, back: Option<SocketAddr>) {
        let udp = self.udp.borrow().clone();
        for out in out {
            match out {
                Action::Notify(event) => self.log_event(event),
                Action::ExchangeTables(to) => self.exchange_tables(&to, back),
                Action::Datagram(to, frame) => {
                    let Some(address) = self.resolve(&to, back) else { continue };
                    let bytes = codec::encode(&frame, &self.settings.key);
                    if udp.as_ref().is_none_or(|udp| udp.try_send_to(&bytes, address).is_err()) {
                        self.count(|d| d.unsent += 1);
                    }
                }
            }
        }
    }

    fn leave(self: &Rc<Self>) {
        if let Some(consensus) = &self.consensus {
            self.send_messages(consensus.release_all(self.now()));
        }
        let mut out = Vec::new();
        self.membership.borrow_mut().leave(self.now(), &mut out);
        self.execute_actions(out, None);
        tracing::info!(target: "fleet", "has left the fleet");
    }
}
