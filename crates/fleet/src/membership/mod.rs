//! Membership of the fleet: who is there, who says so, how sure that is. Gossip without agreement, after SWIM with suspicion and
//! Lifeguard's local health, for hundreds of members. No I/O: frames, times and information in, frames and events out.
//!
//! `table` holds what is known, `failure_detector` finds who does not answer, `gossip` merges and spreads records, `duplicate_id`
//! settles two processes under one id, `standby` is the silence of the one that yields. Which of two records about one member
//! is the newer is [`StateVersion`]'s order; only the member itself raises its own count, so that whoever
//! is reachable can always refute what is said of it.

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

/// What a member is started with.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// Its id.
    pub id: MemberId,
    /// Its zone.
    pub zone: Arc<str>,
    /// Its program's version.
    pub version: Arc<str>,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Whom to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Members that are looked for by name.
    pub configured: Vec<(MemberId, SocketAddr)>,
    /// From one probe to the next.
    pub period: Micros,
    /// For how long members that are down are remembered.
    pub retention: Micros,
    /// Drawn anew at each start; not 0.
    pub nonce: u64,
}

/// Where a frame goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Destination {
    /// To a member, at the address that it told, unless there is another way to it.
    Member(MemberId, SocketAddr),
    /// To an address, whoever is there.
    Address(SocketAddr),
    /// To where the frame in hand came from.
    Sender,
}

/// What the membership wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A datagram. It may be lost.
    Datagram(Destination, Box<Frame>),
    /// An exchange of whole tables over a stream. It may fail.
    ExchangeTables(Destination),
    /// Something that operators may want to know.
    Notify(Event),
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A member is there that was not known, or a new start of one.
    Joined(MemberId),
    /// The second says that the first does not answer.
    Suspected(MemberId, MemberId),
    /// The second says that the first is down.
    Down(MemberId, MemberId),
    /// It is there again, or was all the time.
    Recovered(MemberId),
    /// It said that it goes.
    Left(MemberId),
    /// Others doubted this one, and it said that it is there.
    Refuted,
    /// This process missed so much time, and doubts itself first.
    Stalled(Micros),
    /// Another process is alive under this id.
    DuplicateId(DuplicateProcess),
    /// It is the newer start: this one falls silent in the fleet.
    YieldedToDuplicate(DuplicateProcess),
    /// Nobody has the id any more: this one speaks again.
    Resumed,
    /// All live members are known, as far as this one can tell, and nothing changed of late.
    Settled(usize),
    /// A member was not taken in: the table is full.
    TableFull(MemberId),
}

/// Frames that were dropped, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DropCounters {
    /// Played again, or meant for an earlier start of this process.
    pub replayed: u64,
    /// Sent to a process that stands by.
    pub in_standby: u64,
}

/// A member as operators see it.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberReport {
    /// Its id.
    pub id: MemberId,
    /// Its state.
    pub state: MemberState,
    /// Its generation.
    pub generation: u64,
    /// How long ago it was heard itself; `None`: never, or it is this one.
    pub last_heard_age: Option<Micros>,
    /// Who said so, where it is suspect or down.
    pub reported_by: Option<MemberId>,
    /// Its last information about itself.
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
    last_probe: u64,
    /// How little this one trusts itself: 0 is wholly, and each step makes it slower to judge others.
    distrust: u32,
    probe_order: VecDeque<MemberId>,
    /// Probes that were not answered yet.
    pending_probes: Vec<PendingProbe>,
    /// When its distrust last grew.
    distrusted_at: Micros,
    indirect_probes: Vec<IndirectProbe>,
    next_probe: Micros,
    next_reach: Micros,
    next_exchange: Micros,
    last_exchange: Option<Micros>,
    last_tick: Micros,
    stalled_at: Option<Micros>,
    has_joined: bool,
    changed_at: Micros,
    has_reported_settled: bool,
    superseded: SupersededIncarnations,
    duplicate: Option<DuplicateProcess>,
    /// Address of the process that this one was in standby for.
    last_duplicate_address: Option<SocketAddr>,
    is_standby: bool,
    drop_counters: DropCounters,
}

/// Ticks in a probe period.
const TICKS_PER_PERIOD: u64 = 5;
/// Periods without a change after which the membership counts as settled.
const SETTLED_PERIODS: u64 = 3;
/// Periods between attempts to reach seeds and unseen members.
const SEARCH_PERIODS: u64 = 2;
/// Periods between exchanges of whole tables with a random member.
const EXCHANGE_PERIODS: u64 = 30;
/// Minimum number of periods between exchanges that a difference of digests causes.
const MIN_EXCHANGE_PERIODS: u64 = 4;
/// Number of members that urgent gossip is sent to directly.
const GOSSIP_FAN_OUT: usize = 3;
/// Number of members that a leaving member notifies.
const LEAVE_FAN_OUT: usize = 8;
/// Periods between a standby process's queries whether its id is free.
const STANDBY_QUERY_PERIODS: u64 = 5;
/// Periods after a stall in which a process does not suspect others.
const DOUBT_PERIODS: u64 = 3;

impl Membership {
    /// A member that has just started. `seed` is for its random choices.
    pub fn new(now: Micros, config: MembershipConfig, seed: u64) -> Membership {
        let info = MemberInfo {
            zone: config.zone.clone(),
            version: config.version.clone(),
            ..MemberInfo::at(config.address)
        };
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (last_probe, jitter) = (rng.next_u64(), rng.next_u64() % config.period.max(1));
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
            last_probe,
            distrust: 0,
            probe_order: VecDeque::new(),
            pending_probes: Vec::new(),
            distrusted_at: now,
            indirect_probes: Vec::new(),
            next_probe: now + jitter,
            next_reach: now,
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

    /// The settling bound: after this time without a fault, all live members hold the same, correct list. It depends on the
    /// size of the fleet (`docs/design/fleet.md`).
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
        if !self.table.is_new_frame(&frame.from.id, frame.from.state_version.incarnation, frame.counter) {
            self.drop_counters.replayed += 1;
            return;
        }
        // A frame for an earlier incarnation of this process: its sender may not know this one yet and is answered, but the
        // frame's content is ignored.
        let is_stale = frame.receiver_nonce != 0 && frame.receiver_nonce != self.incarnation.nonce;
        if is_stale && frame.kind != FrameKind::Ping {
            self.drop_counters.replayed += 1;
            return;
        }
        self.handle_new_frame(now, frame, is_stale, out);
    }

    /// Handles a frame that is not a replay.
    fn handle_new_frame(&mut self, now: Micros, frame: Frame, is_stale: bool, out: &mut Vec<Action>) {
        let Frame {
            kind,
            from,
            counter,
            probe_id: probe,
            target,
            receiver_version: you,
            digest,
            records,
            ..
        } = frame;
        let sender = from.clone();
        let incarnation = sender.state_version.incarnation;
        let held = self.table.state_version(&from.id);
        let is_known = held.is_some_and(|held| held.incarnation == incarnation);
        // The sender is told of an earlier incarnation of its generation, so that it can choose a higher one.
        let earlier = held.filter(|held| {
            held.incarnation != incarnation && held.incarnation.generation == incarnation.generation
        });
        if !is_stale {
            self.handle_sender(now, from, you, records, out);
            // The first frame of an incarnation counts as seen too.
            if !is_known {
                self.table.is_new_frame(&sender.id, incarnation, counter);
            }
        }
        self.answer_frame(now, kind, &sender, probe, earlier, out);
        match kind {
            FrameKind::Ack => {
                self.handle_ack(probe);
                self.compare_digest(now, &sender, digest, out);
                self.forward_ack(now, &sender, probe, out);
            }
            FrameKind::PingRequest => self.handle_ping_request(now, &sender, probe, target, out),
            FrameKind::Nack => self.handle_nack(probe),
            FrameKind::Ping | FrameKind::Gossip | FrameKind::FullState | FrameKind::IdQuery => {}
        }
    }

    /// Answers a ping, and a sender that must hear of an earlier start of its generation.
    fn answer_frame(
        &mut self,
        now: Micros,
        kind: FrameKind,
        sender: &MemberRecord,
        probe: u64,
        earlier: Option<StateVersion>,
        out: &mut Vec<Action>,
    ) {
        let answer = match kind {
            FrameKind::Ping => FrameKind::Ack,
            _ if earlier.is_some() => FrameKind::Gossip,
            _ => return,
        };
        let receiver = Some((&sender.id, sender.state_version.incarnation));
        let mut frame = self.new_frame(now, answer, receiver, probe);
        frame.receiver_version = earlier.or(frame.receiver_version);
        out.push(Action::Datagram(to(sender), Box::new(frame)));
    }

    /// Whether it takes part in the fleet: it has not left and is not in standby.
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
            self.start_doubting(now, missed, out);
        }
        self.detect_failures(now, out);
        if now >= self.next_reach {
            self.next_reach = now + self.config.period * SEARCH_PERIODS;
            self.search_unseen(now, out);
        }
        if now >= self.next_exchange {
            self.next_exchange = now
                + self.config.period * EXCHANGE_PERIODS / 2
                + self.random_below(self.config.period * EXCHANGE_PERIODS);
            if let Some(to) = self.random_live(1, None).pop() {
                self.request_exchange(now, to, 1, out);
            }
        }
        self.table.forget_expired(now, self.config.retention);
        let settled = self.is_settled(now);
        if settled && !self.has_reported_settled {
            out.push(Action::Notify(Event::Settled(self.table.live + 1)));
        }
        self.has_reported_settled = settled;
    }

    /// This process missed time, and the others did not: it gives every suspect the time again, and first hears how the others
    /// see it.
    fn start_doubting(&mut self, now: Micros, missed: Micros, out: &mut Vec<Action>) {
        out.push(Action::Notify(Event::Stalled(missed)));
        self.stalled_at = Some(now);
        self.pending_probes.clear();
        self.indirect_probes.clear();
        self.next_probe = now;
        self.next_reach = now;
        self.distrust = (self.distrust + 1).min(failure_detector::MAX_DISTRUST);
        for id in &self.table.suspect_ids {
            if let Some(suspicion) = self.table.entries.get_mut(id).and_then(|e| e.suspicion.as_mut()) {
                suspicion.since += missed + self.config.period * DOUBT_PERIODS;
            }
        }
        if let Some(to) = self.random_live(1, None).pop() {
            self.request_exchange(now, to, 0, out);
        }
        self.record_change(now);
    }

    /// Whether it is still unsure after a stall.
    fn is_doubting(&self, now: Micros) -> bool {
        self.stalled_at.is_some_and(|at| now.saturating_sub(at) < self.config.period * DOUBT_PERIODS)
    }

    /// Pings members that are not seen: a random one of those that are down, forgotten or configured, and the seeds.
    fn search_unseen(&mut self, now: Micros, out: &mut Vec<Action>) {
        let alone = self.table.live == 0;
        let live = |id: &MemberId| self.table.get(id).is_some_and(|e| e.state().is_live());
        let down = self.table.entries.iter().filter(|(_, e)| e.state() == MemberState::Down);
        let unseen: Vec<Destination> = down
            .map(|(id, e)| Destination::Member(id.clone(), e.record.info.address))
            .chain(self.table.forgotten.iter().map(|(id, at)| Destination::Member(id.clone(), *at)))
            .chain(
                self.config
                    .configured
                    .iter()
                    .filter(|(id, _)| !live(id))
                    .map(|(id, at)| Destination::Member(id.clone(), *at)),
            )
            .filter(|to| !matches!(to, Destination::Member(id, _) if *id == self.config.id))
            .collect();
        let mut goes: Vec<Destination> = Vec::new();
        if !unseen.is_empty() {
            goes.push(unseen[self.random_below(unseen.len() as u64) as usize].clone());
        }
        if alone {
            goes.extend(self.config.seeds.iter().take(8).map(|at| Destination::Address(*at)));
            goes.extend(unseen.into_iter().take(8));
        } else if !self.config.seeds.is_empty() && self.random_below(5) == 0 {
            // Now and then also while all is well: two fleets that grew apart by their seeds.
            let drawn = self.random_below(self.config.seeds.len() as u64) as usize;
            goes.push(Destination::Address(self.config.seeds[drawn]));
        }
        // It may have been cut off only, and then the two may know nobody in common.
        goes.extend(self.last_duplicate_address.map(Destination::Address));
        for to in goes {
            let probe = self.next_probe_number();
            self.send_frame(now, FrameKind::Ping, to, None, probe, None, out);
        }
    }

    /// Says that this member leaves. Nothing is handled or sent afterwards.
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
