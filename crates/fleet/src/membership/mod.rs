//! Membership of the fleet by gossip: SWIM with suspicion and Lifeguard's local health, for several hundred members.
//! There is no consensus on the list. No I/O: it takes frames, times and information, and returns frames and events.
//!
//! `table` stores what is known about the other members, `failure_detector` finds members that do not answer, `gossip`
//! merges and spreads records, `duplicate_id` decides between two processes under one id, and `standby` is the mode of
//! the one that yields. Records about one member are ordered by [`StateVersion`]. Only the member itself raises its
//! sequence number, so a reachable member can always refute a false report about itself.

mod duplicate_id;
mod failure_detector;
mod frames;
mod gossip;
mod report;
mod standby;
mod table;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::Micros;
use crate::codec::{Frame, FrameKind};
use crate::member::{Incarnation, MemberId, MemberInfo, MemberRecord, MemberState, StateVersion};
pub use duplicate_id::DuplicateProcess;
use duplicate_id::SupersededIncarnations;
use failure_detector::{IndirectProbe, PendingProbe};
pub use table::MAX_MEMBERS;
use table::Table;

/// Configuration of a member.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// The member's id.
    pub id: MemberId,
    /// The zone that it runs in.
    pub zone: Arc<str>,
    /// Version of its program.
    pub version: Arc<str>,
    /// Address at which it accepts frames.
    pub address: SocketAddr,
    /// Addresses to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Members from the configuration that are contacted even when the table does not list them.
    pub configured: Vec<(MemberId, SocketAddr)>,
    /// Interval between probes.
    pub period: Micros,
    /// How long members that are down or left stay in the table.
    pub retention: Micros,
    /// Random number drawn at each start; not 0.
    pub nonce: u64,
}

/// Destination of a frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Destination {
    /// A member, at its announced address unless the caller has another route to it.
    Member(MemberId, SocketAddr),
    /// An address, whichever process uses it.
    Address(SocketAddr),
    /// The source of the frame being handled.
    Sender,
}

/// An action that the caller is to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram. It may be lost.
    Datagram(Destination, Box<Frame>),
    /// Exchange full tables over a stream. It may fail.
    ExchangeTables(Destination),
    /// Report an event to the operators.
    Notify(Event),
}

/// A change of the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A previously unknown member, or a new start of a known one, is live.
    Joined(MemberId),
    /// The second member reports that the first does not answer.
    Suspected(MemberId, MemberId),
    /// The second member reports that the first is down.
    Down(MemberId, MemberId),
    /// A suspect or failed member is alive.
    Recovered(MemberId),
    /// A member announced that it leaves.
    Left(MemberId),
    /// This process was suspected and refuted it.
    Refuted,
    /// This process was stalled for this long. It suspects no other member until it has recovered.
    Stalled(Micros),
    /// Another process is running under this id.
    DuplicateId(DuplicateProcess),
    /// The other process under this id is the newer start: this one goes into standby.
    YieldedToDuplicate(DuplicateProcess),
    /// The id is no longer in use: this process ends its standby.
    Resumed,
    /// The membership has had no suspect and no change for a while. Carries the number of live members.
    Settled(usize),
    /// A member was not added because the table is full.
    TableFull(MemberId),
}

/// Numbers of dropped frames, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DropCounters {
    /// Replayed, or addressed to an earlier start of this process.
    pub replayed: u64,
    /// Received while this process was in standby.
    pub in_standby: u64,
}

/// A member as reported to operators.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberReport {
    /// The member's id.
    pub id: MemberId,
    /// The member's state.
    pub state: MemberState,
    /// Generation of its incarnation.
    pub generation: u64,
    /// Time since the last frame from the member itself; `None` if there was none, or for this member.
    pub last_heard_age: Option<Micros>,
    /// The member that reported it as suspect or down.
    pub reported_by: Option<MemberId>,
    /// Its latest information about itself.
    pub info: MemberInfo,
}

/// The membership as one member sees it.
#[derive(Clone, Debug)]
pub struct Membership {
    config: MembershipConfig,
    rng: Pcg64Mcg,
    started: Micros,
    incarnation: Incarnation,
    seq: u32,
    state: MemberState,
    info: MemberInfo,
    info_sent_at: Micros,
    table: Table,
    counter: u64,
    last_probe_id: u64,
    /// Lifeguard's local health score: 0 is healthy, and each step makes this process slower to suspect others.
    local_health_score: u32,
    probe_order: VecDeque<MemberId>,
    /// Probes that have not been answered yet.
    pending_probes: Vec<PendingProbe>,
    /// When a failed probe last raised the local health score.
    health_score_raised_at: Micros,
    indirect_probes: Vec<IndirectProbe>,
    next_probe: Micros,
    next_rediscovery: Micros,
    next_exchange: Micros,
    last_exchange: Option<Micros>,
    last_tick: Micros,
    stalled_at: Option<Micros>,
    has_joined: bool,
    changed_at: Micros,
    has_reported_settled: bool,
    superseded: SupersededIncarnations,
    duplicate: Option<DuplicateProcess>,
    /// Address of the process that this one was last in standby for.
    last_duplicate_address: Option<SocketAddr>,
    is_standby: bool,
    drop_counters: DropCounters,
}

/// Number of ticks in a probe period.
const TICKS_PER_PERIOD: u64 = 5;
/// Periods without a change after which the membership counts as settled.
const SETTLED_PERIODS: u64 = 3;
/// Periods between attempts to contact seeds and unreachable members.
const REDISCOVERY_PERIODS: u64 = 2;
/// Mean number of periods between exchanges of full tables with a random member.
const EXCHANGE_PERIODS: u64 = 30;
/// Minimum number of periods between exchanges triggered by differing digests.
const MIN_EXCHANGE_PERIODS: u64 = 4;
/// Number of members that urgent gossip is sent to directly.
const GOSSIP_FAN_OUT: usize = 3;
/// Number of members that a leaving member notifies.
const LEAVE_FAN_OUT: usize = 8;
/// Periods between a standby process's queries for whether its id is free.
const STANDBY_QUERY_PERIODS: u64 = 5;
/// Periods after a stall in which a process does not suspect others.
const STALL_RECOVERY_PERIODS: u64 = 3;

impl Membership {
    /// Creates a member that has just started. `seed` seeds its random choices.
    pub fn new(now: Micros, config: MembershipConfig, seed: u64) -> Membership {
        let info = MemberInfo {
            zone: config.zone.clone(),
            version: config.version.clone(),
            ..MemberInfo::at(config.address)
        };
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (last_probe_id, jitter) = (rng.next_u64(), rng.next_u64() % config.period.max(1));
        Membership {
            rng,
            started: now,
            incarnation: Incarnation { generation: 1, nonce: config.nonce },
            seq: 0,
            state: MemberState::Alive,
            info,
            info_sent_at: now,
            table: Table::default(),
            counter: 0,
            last_probe_id,
            local_health_score: 0,
            probe_order: VecDeque::new(),
            pending_probes: Vec::new(),
            health_score_raised_at: now,
            indirect_probes: Vec::new(),
            next_probe: now + jitter,
            next_rediscovery: now,
            next_exchange: now + config.period * EXCHANGE_PERIODS / 2 + jitter * EXCHANGE_PERIODS / 2,
            last_exchange: None,
            last_tick: now,
            stalled_at: None,
            has_joined: false,
            changed_at: now,
            has_reported_settled: false,
            superseded: SupersededIncarnations::default(),
            duplicate: None,
            last_duplicate_address: None,
            is_standby: false,
            drop_counters: DropCounters::default(),
            config,
        }
    }

    /// The settling bound: once no fault has occurred for this long, all live members have the same, correct list. It
    /// depends on the size of the fleet (`docs/design/fleet.md`).
    pub fn settling_bound(period: Micros, size: usize) -> Micros {
        period * (16.0 + 14.0 * (size.max(10) as f64).log10()).ceil() as u64
    }

    /// Time of the next tick.
    pub fn next_deadline(&self) -> Micros {
        self.last_tick + self.config.period / TICKS_PER_PERIOD
    }

    /// Handles a datagram.
    pub fn handle_frame(&mut self, now: Micros, frame: Frame, out: &mut Vec<Action>) {
        let is_own =
            frame.from.id == self.config.id && frame.from.state_version.incarnation == self.incarnation;
        if self.state == MemberState::Left || is_own {
            return;
        }
        if frame.kind == FrameKind::IdQuery {
            return self.answer_query(now, &frame, out);
        }
        if self.is_standby {
            return self.handle_frame_in_standby(now, frame, out);
        }
        if !self.table.record_if_new(&frame.from.id, frame.from.state_version.incarnation, frame.counter) {
            self.drop_counters.replayed += 1;
            return;
        }
        // A frame for an earlier incarnation of this process. Its sender may not know the current one yet, so a ping is
        // answered, but the frame's content is ignored.
        let is_stale = frame.receiver_nonce != 0 && frame.receiver_nonce != self.incarnation.nonce;
        if is_stale && frame.kind != FrameKind::Ping {
            self.drop_counters.replayed += 1;
            return;
        }
        self.handle_new_frame(now, frame, is_stale, out);
    }

    /// Handles a frame that is not a replay.
    fn handle_new_frame(&mut self, now: Micros, frame: Frame, is_stale: bool, out: &mut Vec<Action>) {
        let Frame { kind, from, counter, probe_id, target, receiver_version, digest, records, .. } = frame;
        let sender = from.clone();
        let incarnation = sender.state_version.incarnation;
        let known = self.table.state_version(&from.id);
        let is_known = known.is_some_and(|known| known.incarnation == incarnation);
        // The sender is informed of another incarnation with its generation, so that it can choose a higher one.
        let conflicting = known.filter(|known| {
            known.incarnation != incarnation && known.incarnation.generation == incarnation.generation
        });
        if !is_stale {
            self.handle_sender(now, from, receiver_version, records, out);
            // Registers the first frame of an incarnation in the replay window, too.
            if !is_known {
                self.table.record_if_new(&sender.id, incarnation, counter);
            }
        }
        self.answer_frame(now, kind, &sender, probe_id, conflicting, out);
        match kind {
            FrameKind::Ack => {
                self.handle_ack(probe_id);
                self.compare_digest(now, &sender, digest, out);
                self.forward_ack(now, &sender, probe_id, out);
            }
            FrameKind::PingRequest => self.handle_ping_request(now, &sender, probe_id, target, out),
            FrameKind::Nack => self.handle_nack(probe_id),
            FrameKind::Ping | FrameKind::Gossip | FrameKind::FullState | FrameKind::IdQuery => {}
        }
    }

    /// Answers a ping, and informs a sender of another start with its generation.
    fn answer_frame(
        &mut self,
        now: Micros,
        kind: FrameKind,
        sender: &MemberRecord,
        probe_id: u64,
        conflicting: Option<StateVersion>,
        out: &mut Vec<Action>,
    ) {
        let answer = match kind {
            FrameKind::Ping => FrameKind::Ack,
            _ if conflicting.is_some() => FrameKind::Gossip,
            _ => return,
        };
        let receiver = Some((&sender.id, sender.state_version.incarnation));
        let mut frame = self.new_frame(now, answer, receiver, probe_id);
        frame.receiver_version = conflicting.or(frame.receiver_version);
        out.push(Action::Datagram(to(sender), Box::new(frame)));
    }

    /// Whether this process takes part in the fleet: it has not left and is not in standby.
    pub fn is_active(&self) -> bool {
        self.state != MemberState::Left && !self.is_standby
    }

    fn digest(&self, now: Micros) -> u64 {
        let me = self.own_record(now);
        self.table.digest(&me)
    }

    /// Runs the timers that are due.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Action>) {
        let missed = now.saturating_sub(self.last_tick).saturating_sub(self.config.period / TICKS_PER_PERIOD);
        self.last_tick = now;
        if self.state == MemberState::Left {
            return;
        }
        if self.is_standby {
            return self.query_own_id(now, out);
        }
        if missed > self.config.period {
            self.start_stall_recovery(now, missed, out);
        }
        self.detect_failures(now, out);
        if now >= self.next_rediscovery {
            self.next_rediscovery = now + self.config.period * REDISCOVERY_PERIODS;
            self.rediscover_members(now, out);
        }
        if now >= self.next_exchange {
            self.next_exchange = now
                + self.config.period * EXCHANGE_PERIODS / 2
                + self.random_below(self.config.period * EXCHANGE_PERIODS);
            if let Some(to) = self.random_live(1, None).pop() {
                self.request_exchange(now, to, 1, out);
            }
        }
        self.table.remove_expired(now, self.config.retention);
        let settled = self.is_settled(now);
        if settled && !self.has_reported_settled {
            out.push(Action::Notify(Event::Settled(self.table.live + 1)));
        }
        self.has_reported_settled = settled;
    }

    /// Handles a stall of this process, which the other members did not share: extends the time of every suspect, and
    /// exchanges tables to learn the others' current state.
    fn start_stall_recovery(&mut self, now: Micros, missed: Micros, out: &mut Vec<Action>) {
        out.push(Action::Notify(Event::Stalled(missed)));
        self.stalled_at = Some(now);
        self.pending_probes.clear();
        self.indirect_probes.clear();
        self.next_probe = now;
        self.next_rediscovery = now;
        self.local_health_score = (self.local_health_score + 1).min(failure_detector::MAX_LOCAL_HEALTH_SCORE);
        for id in &self.table.suspect_ids {
            if let Some(suspicion) = self.table.entries.get_mut(id).and_then(|e| e.suspicion.as_mut()) {
                suspicion.since += missed + self.config.period * STALL_RECOVERY_PERIODS;
            }
        }
        if let Some(to) = self.random_live(1, None).pop() {
            self.request_exchange(now, to, 0, out);
        }
        self.record_change(now);
    }

    /// Whether a stall was so recent that this process does not suspect others yet.
    fn is_recovering_from_stall(&self, now: Micros) -> bool {
        self.stalled_at.is_some_and(|at| now.saturating_sub(at) < self.config.period * STALL_RECOVERY_PERIODS)
    }

    /// Pings members that are not live: a random one of those that are down, removed or configured, and the seeds.
    fn rediscover_members(&mut self, now: Micros, out: &mut Vec<Action>) {
        let is_alone = self.table.live == 0;
        let is_live = |id: &MemberId| self.table.get(id).is_some_and(|e| e.state().is_live());
        let down = self.table.entries.iter().filter(|(_, e)| e.state() == MemberState::Down);
        let unreachable: Vec<Destination> = down
            .map(|(id, e)| Destination::Member(id.clone(), e.record.info.address))
            .chain(
                self.table
                    .removed_addresses
                    .iter()
                    .map(|(id, address)| Destination::Member(id.clone(), *address)),
            )
            .chain(
                self.config
                    .configured
                    .iter()
                    .filter(|(id, _)| !is_live(id))
                    .map(|(id, address)| Destination::Member(id.clone(), *address)),
            )
            .filter(|to| !matches!(to, Destination::Member(id, _) if *id == self.config.id))
            .collect();
        let mut destinations: Vec<Destination> = Vec::new();
        if !unreachable.is_empty() {
            destinations.push(unreachable[self.random_below(unreachable.len() as u64) as usize].clone());
        }
        if is_alone {
            destinations
                .extend(self.config.seeds.iter().take(8).map(|address| Destination::Address(*address)));
            destinations.extend(unreachable.into_iter().take(8));
        } else if !self.config.seeds.is_empty() && self.random_below(5) == 0 {
            // Also contacts a seed occasionally while other members are live, to merge fleets that formed separately
            // from their seeds.
            let index = self.random_below(self.config.seeds.len() as u64) as usize;
            destinations.push(Destination::Address(self.config.seeds[index]));
        }
        // The duplicate may only have been partitioned off, and the two processes may have no other member in common.
        destinations.extend(self.last_duplicate_address.map(Destination::Address));
        for to in destinations {
            let probe_id = self.next_probe_id();
            self.send_frame(now, FrameKind::Ping, to, None, probe_id, None, out);
        }
    }

    /// Announces that this member leaves. Nothing is handled or sent afterwards.
    pub fn leave(&mut self, now: Micros, out: &mut Vec<Action>) {
        if !self.is_active() {
            self.state = MemberState::Left;
            return;
        }
        self.seq += 1;
        self.state = MemberState::Left;
        self.gossip_to_some(now, FrameKind::Gossip, LEAVE_FAN_OUT, out);
    }

    fn record_change(&mut self, now: Micros) {
        self.changed_at = now;
    }
}

fn to(record: &MemberRecord) -> Destination {
    Destination::Member(record.id.clone(), record.info.address)
}
