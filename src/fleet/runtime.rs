//! Runtime of the fleet: sends and receives the membership's frames, runs its timers, and passes it the state of this
//! process. It makes no protocol decisions and does not wait for peers: a datagram that the operating system does not
//! accept at once is dropped, and streams have timeouts.
//!
//! [`FleetNode::serve`] owns the tasks of this process as a member. They end when it is dropped or `stop` completes;
//! tasks of single streams end by their timeouts.
//!
//! At an upgrade, `platform::handover` informs the older process that the newer one serves. The older process then
//! closes its sockets, and the newer one binds the same address. Both are the same member; the newer process is a new
//! start of it.

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

use super::consensus_node::{ConsensusConfig, ConsensusNode};
use super::framing;
use super::peer_connections::PeerConnections;
use super::settings::FleetSettings;
use super::status::{Dropped, Status};
use crate::Micros;
use crate::clock;
use crate::operate::{self, AdminService};

/// Maximum number of datagrams handled per second; further ones are dropped without being decoded.
const MAX_DATAGRAMS_PER_SECOND: u32 = 4_000;
/// Number of datagrams handled in a row before the task yields.
const DATAGRAMS_PER_YIELD: usize = 32;
/// Maximum number of inbound streams at a time, not counting message streams.
const MAX_INBOUND_STREAMS: usize = 4;
/// Maximum number of outbound exchanges of tables at a time.
const MAX_OUTBOUND_STREAMS: usize = 2;
/// Maximum number of inbound message streams at a time.
const MAX_MESSAGE_STREAMS: usize = 64;
/// A message stream is closed after this time without a message.
const MESSAGE_STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// The election timeout, in periods.
const ELECTION_PERIODS: u64 = 2;
/// Time allowed for writing the last messages when the process leaves the fleet.
const LEAVE_FLUSH_TIME: Duration = Duration::from_millis(100);
/// Delay between attempts to bind an address that is in use.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(250);

/// The sockets bound to the member's address, for UDP and TCP.
struct BoundSockets {
    udp: Rc<UdpSocket>,
    tcp: TcpListener,
    address: SocketAddr,
}

/// Binds the address for TCP and UDP. For port 0 it picks a port that is free for both.
async fn try_bind(address: SocketAddr) -> io::Result<BoundSockets> {
    let mut last_error = io::Error::from(io::ErrorKind::AddrInUse);
    for _ in 0..if address.port() == 0 { 16 } else { 1 } {
        let tcp = TcpListener::bind(address).await?;
        let address = tcp.local_addr()?;
        match UdpSocket::bind(address).await {
            Ok(udp) => return Ok(BoundSockets { udp: Rc::new(udp), tcp, address }),
            Err(e) => last_error = e,
        }
    }
    Err(last_error)
}

/// State of this process as a member.
struct LocalMember {
    settings: FleetSettings,
    membership: RefCell<Membership>,
    started: Instant,
    dropped: Cell<Dropped>,
    /// Socket for outgoing datagrams; `None` while this process does not take part.
    udp: RefCell<Option<Rc<UdpSocket>>>,
    outbound_streams: Cell<usize>,
    summary: watch::Sender<(Micros, MembershipSummary)>,
    /// Digest of the operators' file.
    ops_digest: u64,
    address: Cell<SocketAddr>,
    /// Voting and ownership of resources; `None` if the fleet has no voters.
    consensus: Option<ConsensusNode>,
    peers: Rc<PeerConnections>,
    /// Wakes the consensus node before its next deadline.
    consensus_wake: Notify,
    #[cfg(feature = "faults")]
    test_effects: super::test_effects::TestEffects,
    message_streams: Cell<usize>,
}

impl operate::FleetStatus for LocalMember {
    fn status(&self) -> String {
        let membership = self.membership.borrow();
        let consensus = self.consensus.as_ref().map(|node| node.report(self.now()));
        let status =
            Status::new(&membership, self.now(), self.settings.period, self.dropped.get(), consensus);
        serde_json::to_string(&status).unwrap_or_default()
    }

    fn log(&self) -> Option<String> {
        serde_json::to_string(&self.consensus.as_ref()?.recent_changes()).ok()
    }

    fn membership(&self) -> watch::Receiver<(Micros, MembershipSummary)> {
        self.summary.subscribe()
    }
}

/// This process as a member that does not take part yet; see [`serve`](Self::serve).
pub struct FleetNode {
    member: Rc<LocalMember>,
    bound: Option<BoundSockets>,
    admin: Rc<AdminService>,
}

/// This process cannot take part in the fleet.
#[derive(Debug, thiserror::Error)]
pub enum JoinError {
    /// The address cannot be bound.
    #[error("cannot bind the fleet's address {address}: {source}; see fleet.address")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The operating system provides no random numbers.
    #[error("cannot read random numbers from the operating system: {0}")]
    Random(rand_core::OsError),
}

/// Returns the configuration of the consensus node; `None` if the fleet has no voters.
fn consensus_config(settings: &FleetSettings, nonce: u64) -> Option<ConsensusConfig> {
    (!settings.voters.is_empty()).then(|| ConsensusConfig {
        process: ProcessId { member: settings.id.clone(), nonce },
        voters: settings.voters.clone(),
        state_dir: settings.state_dir.clone(),
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

/// Binds the address and registers the fleet with the admin service. An address in use is not an error, as the older
/// process of an upgrade may still have it. `ops_digest` is the digest of the operators' file.
pub async fn join(
    settings: FleetSettings,
    ops_digest: u64,
    admin: &Rc<AdminService>,
) -> Result<FleetNode, JoinError> {
    let bound = match try_bind(settings.address).await {
        Ok(bound) => Some(bound),
        Err(e) if e.kind() == io::ErrorKind::AddrInUse => None,
        Err(e) => {
            return Err(JoinError::Bind { address: settings.address, source: e });
        }
    };
    let random_u64 = || OsRng.try_next_u64().map_err(JoinError::Random);
    let address = bound.as_ref().map_or(settings.address, |b| b.address);
    let nonce = random_u64()? | 1;
    let consensus = consensus_config(&settings, nonce).map(|config| ConsensusNode::new(0, config));
    let config = membership_config(&settings, address, nonce);
    let settling_bound = Membership::settling_bound(settings.period, settings.configured_members.len());
    let member = Rc::new(LocalMember {
        membership: RefCell::new(Membership::new(0, config, random_u64()?)),
        started: Instant::now(),
        dropped: Cell::default(),
        udp: RefCell::default(),
        outbound_streams: Cell::new(0),
        summary: watch::Sender::new((settling_bound, MembershipSummary::default())),
        ops_digest,
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
    /// Takes part in the fleet until `stop` completes, then announces that it leaves.
    pub async fn serve(self, stop: impl Future<Output = ()>) {
        let FleetNode { member, mut bound, admin } = self;
        tokio::pin!(stop);
        loop {
            // The older process of an upgrade closes its sockets, and binds them again if the newer process ends.
            let sockets = async {
                match bound.take() {
                    Some(bound) => bound,
                    None => member.bind_when_free(&admin).await,
                }
            };
            let sockets = tokio::select! {
                sockets = sockets => sockets,
                () = &mut stop => return,
            };
            tokio::select! {
                () = member.participate(&sockets, &admin) => {}
                () = &mut stop => {
                    member.leave();
                    // The releases of its resources are sent over streams, by tasks that need time to write them.
                    return sleep(LEAVE_FLUSH_TIME).await;
                }
            }
        }
    }
}

impl LocalMember {
    fn now(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }

    fn count_dropped(&self, increment: impl FnOnce(&mut Dropped)) {
        let mut dropped = self.dropped.get();
        increment(&mut dropped);
        self.dropped.set(dropped);
    }

    async fn bind_when_free(&self, admin: &AdminService) -> BoundSockets {
        let mut is_logged = false;
        loop {
            if !admin.has_successor() {
                match try_bind(self.address.get()).await {
                    Ok(bound) => return bound,
                    Err(e) if !is_logged => {
                        is_logged = true;
                        tracing::warn!(
                            target: "fleet", address = %self.address.get(), error = %e,
                            "the fleet's address is in use, by the older process of an upgrade or by another one; retrying"
                        );
                    }
                    Err(_) => {}
                }
            }
            sleep(BIND_RETRY_DELAY).await;
        }
    }

    /// Takes part in the fleet until a newer process of this gatekeeper serves.
    async fn participate(self: &Rc<Self>, bound: &BoundSockets, admin: &AdminService) {
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
        let (mut window_start, mut in_window, mut in_row) = (Instant::now(), 0, 0);
        loop {
            let Ok((size, from)) = udp.recv_from(&mut buffer).await else {
                // The error may report that an earlier datagram was not delivered; reading can go on.
                tokio::task::yield_now().await;
                continue;
            };
            if window_start.elapsed() >= Duration::from_secs(1) {
                (window_start, in_window) = (Instant::now(), 0);
            }
            in_window += 1;
            if in_window > MAX_DATAGRAMS_PER_SECOND {
                self.count_dropped(|d| d.rate_limited += 1);
            } else if let Some(frame) = self.decode(&buffer[..size], MAX_DATAGRAM_BYTES) {
                let mut actions = Vec::new();
                self.membership.borrow_mut().handle_frame(self.now(), frame, &mut actions);
                self.execute_actions(actions, Some(from));
            }
            in_row += 1;
            if in_row >= DATAGRAMS_PER_YIELD {
                in_row = 0;
                tokio::task::yield_now().await;
            }
        }
    }

    /// Runs the membership's timer and publishes its summary, until a newer process serves.
    async fn run_membership(self: &Rc<Self>, admin: &AdminService) {
        loop {
            let now = self.now();
            let mut actions = Vec::new();
            let wait = {
                let mut membership = self.membership.borrow_mut();
                membership.update_info(now, self.own_info(admin), &mut actions);
                membership.tick(now, &mut actions);
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
            self.execute_actions(actions, None);
            if admin.has_successor() {
                tracing::info!(target: "fleet", "a newer process of this gatekeeper has taken over as this member");
                return;
            }
            sleep(Duration::from_micros(wait)).await;
        }
    }

    fn own_info(&self, admin: &AdminService) -> MemberInfo {
        let list_age = admin.list_received_at().map(|at| clock::now().saturating_sub(at) / 1000);
        MemberInfo {
            ready: admin.is_ready(),
            draining: admin.is_out_of_service(),
            leaving: admin.is_shutting_down(),
            calls: u32::try_from(admin.open_call_count()).unwrap_or(u32::MAX),
            list_age,
            ops_digest: self.ops_digest,
            ..MemberInfo::at(self.address.get())
        }
    }

    /// Returns the address of a destination. `sender` is the source of the frame being handled.
    fn resolve(&self, to: &Destination, sender: Option<SocketAddr>) -> Option<SocketAddr> {
        match to {
            Destination::Member(id, announced) => {
                Some(self.settings.address_overrides.get(id).copied().unwrap_or(*announced))
            }
            Destination::Address(address) => Some(*address),
            Destination::Sender => sender,
        }
    }

    fn execute_actions(self: &Rc<Self>, actions: Vec<Action>, sender: Option<SocketAddr>) {
        let udp = self.udp.borrow().clone();
        for action in actions {
            match action {
                Action::Notify(event) => self.log_event(event),
                Action::ExchangeTables(to) => self.exchange_tables(&to, sender),
                Action::Datagram(to, frame) => {
                    let Some(address) = self.resolve(&to, sender) else { continue };
                    let bytes = codec::encode(&frame, &self.settings.key);
                    if udp.as_ref().is_none_or(|udp| udp.try_send_to(&bytes, address).is_err()) {
                        self.count_dropped(|d| d.unsent += 1);
                    }
                }
            }
        }
    }

    fn leave(self: &Rc<Self>) {
        if let Some(consensus) = &self.consensus {
            self.send_messages(consensus.release_all(self.now()));
        }
        let mut actions = Vec::new();
        self.membership.borrow_mut().leave(self.now(), &mut actions);
        self.execute_actions(actions, None);
        tracing::info!(target: "fleet", "has left the fleet");
    }
}
