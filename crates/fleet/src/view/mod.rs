//! A view of the fleet: who is there, by whose word, how sure. Gossip without agreement, after SWIM with suspicion and
//! Lifeguard's local health, for hundreds of members. Pure: frames, times and news in, frames and events out.
//!
//! `table` holds what is known, `probe` finds who does not answer, `twin` settles two starts under one id. The tie
//! between two words about one member is [`Stamp`]'s order; only the member itself raises its own count, so that whoever
//! is reachable can always refute what is said of it.

mod probe;
mod table;
mod twin;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::Micros;
use crate::member::{Life, MemberId, News, Record, Stamp, State};
use crate::wire::{Frame, Kind};
use probe::{Helped, Probe};
pub use table::MEMBERS_MOST;
use table::Table;
pub use twin::Twin;
use twin::{Lives, Verdict};

/// What a member is started with.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Its id.
    pub id: MemberId,
    /// Its zone.
    pub zone: Arc<str>,
    /// Its program's version.
    pub version: Arc<str>,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Whom to ask first.
    pub seeds: Vec<SocketAddr>,
    /// Members that are looked for by name.
    pub known: Vec<(MemberId, SocketAddr)>,
    /// From one probe to the next.
    pub period: Micros,
    /// For how long the dead are remembered.
    pub memory: Micros,
    /// Drawn anew at each start; not 0.
    pub nonce: u64,
}

/// Where a frame goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum To {
    /// To a member, at the address that it told, unless there is another way to it.
    Member(MemberId, SocketAddr),
    /// To an address, whoever is there.
    Address(SocketAddr),
    /// To where the frame in hand came from.
    Back,
}

/// What the view wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    /// A datagram. It may be lost.
    Datagram(To, Box<Frame>),
    /// An exchange of whole tables over a stream. It may fail.
    Exchange(To),
    /// Something that staff may want to know.
    Event(Event),
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A member is there that was not known, or a new start of one.
    Joined(MemberId),
    /// It does not answer, by the word of the second.
    Suspected(MemberId, MemberId),
    /// It is down, by the word of the second.
    Down(MemberId, MemberId),
    /// It is there again, or was all the time.
    Back(MemberId),
    /// It said that it goes.
    Left(MemberId),
    /// Others doubted this one, and it said that it is there.
    Refuted,
    /// This process missed so much time, and doubts itself first.
    Stalled(Micros),
    /// Another process lives under this id.
    Twin(Twin),
    /// It is the newer start: this one falls silent in the fleet.
    Yielded(Twin),
    /// Nobody has the id any more: this one speaks again.
    Resumed,
    /// All live members are known, as far as this one can tell, and nothing changed of late.
    Settled(usize),
    /// A member was not taken in: the table is full.
    Full(MemberId),
}

/// Frames that were dropped, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Drops {
    /// Played again, or meant for an earlier start of this process.
    pub replayed: u64,
    /// Sent to a process that stands by.
    pub unwanted: u64,
}

/// A member as staff see it.
#[derive(Clone, Debug, PartialEq)]
pub struct Shown {
    /// Its id.
    pub id: MemberId,
    /// How it stands.
    pub state: State,
    /// Its generation.
    pub incarnation: u64,
    /// How long ago it was heard itself; `None`: never, or it is this one.
    pub heard: Option<Micros>,
    /// Who said so, where it is suspect or down.
    pub by: Option<MemberId>,
    /// What it told last.
    pub news: News,
}

/// The view of one member.
#[derive(Clone, Debug)]
pub struct View {
    set: Setup,
    rng: Pcg64Mcg,
    started: Micros,
    life: Life,
    seq: u32,
    state: State,
    news: News,
    told_at: Micros,
    table: Table,
    counter: u64,
    probes: u64,
    /// How far this one trusts itself: 0 is wholly, and each step makes it slower to judge others.
    health: u32,
    round: VecDeque<MemberId>,
    /// Questions that are out.
    asked: Vec<Probe>,
    /// When it last came to trust itself less.
    worse_at: Micros,
    helped: Vec<Helped>,
    next_probe: Micros,
    next_reach: Micros,
    next_exchange: Micros,
    last_exchange: Option<Micros>,
    last_tick: Micros,
    stalled: Option<Micros>,
    joined: bool,
    changed: Micros,
    settled_told: bool,
    lives: Lives,
    twin: Option<Twin>,
    /// Where the process is reached that this one stood by for.
    rival: Option<SocketAddr>,
    stands_by: bool,
    drops: Drops,
}

/// Ticks in a period.
const TICKS: u64 = 5;
/// Nothing has changed for so many periods when the view calls itself settled.
const SETTLED: u64 = 3;
/// Seeds and unseen members are looked for once in so many periods.
const REACH: u64 = 2;
/// Whole tables are exchanged with a drawn member once in so many periods, and on a difference no more often than ...
const EXCHANGE: u64 = 30;
/// ... once in so many.
const EXCHANGE_LEAST: u64 = 4;
/// News goes straight to so many; further ones hear it from them.
const FAN_OUT: usize = 3;
/// Who leaves says so to so many.
const LEAVE_FAN_OUT: usize = 8;
/// One who stands by asks once in so many periods whether the id is free.
const STAND_BY: u64 = 5;
/// A process that missed time is not sure of anything for so many periods.
const DOUBT: u64 = 3;

impl View {
    /// A member that has just started. `seed` is for its random choices.
    pub fn new(now: Micros, set: Setup, seed: u64) -> View {
        let news = News { zone: set.zone.clone(), version: set.version.clone(), ..News::at(set.address) };
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (probes, jitter) = (rng.next_u64(), rng.next_u64() % set.period.max(1));
        View {
            rng,
            started: now,
            life: Life { generation: 1, nonce: set.nonce },
            seq: 0,
            state: State::Alive,
            news,
            told_at: now,
            table: Table::default(),
            counter: 0,
            probes,
            health: 0,
            round: VecDeque::new(),
            asked: Vec::new(),
            worse_at: now,
            helped: Vec::new(),
            next_probe: now + jitter,
            next_reach: now,
            next_exchange: now + set.period * EXCHANGE / 2 + jitter * EXCHANGE / 2,
            last_exchange: None,
            last_tick: now,
            stalled: None,
            joined: false,
            changed: now,
            settled_told: false,
            lives: Lives::default(),
            twin: None,
            rival: None,
            stands_by: false,
            drops: Drops::default(),
            set,
        }
    }

    /// T: with no fault for so long, all live members hold the same list, and it is the true one. A function of the fleet's
    /// size, from `docs/design/fleet.md`.
    pub fn bound(period: Micros, size: usize) -> Micros {
        period * (16.0 + 14.0 * (size.max(10) as f64).log10()).ceil() as u64
    }

    /// When it wants the next tick.
    pub fn next_due(&self) -> Micros {
        self.last_tick + self.set.period / TICKS
    }

    /// Takes a datagram.
    pub fn take(&mut self, now: Micros, frame: Frame, out: &mut Vec<Out>) {
        if self.state == State::Left || frame.from.id == self.set.id && frame.from.stamp.life == self.life {
            return;
        }
        if frame.kind == Kind::Query {
            return self.answer_query(now, &frame, out);
        }
        if self.stands_by {
            return self.take_standing_by(now, frame, out);
        }
        if !self.table.fresh(&frame.from.id, frame.from.stamp.life, frame.counter) {
            self.drops.replayed += 1;
            return;
        }
        // Meant for an earlier start of this process: whoever sends it may not know this one yet, and is answered; nothing
        // that stands in it is believed.
        let stale = frame.to != 0 && frame.to != self.life.nonce;
        if stale && frame.kind != Kind::Ping {
            self.drops.replayed += 1;
            return;
        }
        let Frame { kind, from, counter, probe, target, you, digest, records, .. } = frame;
        let sender = from.clone();
        let known = self.table.stamp(&from.id).is_some_and(|held| held.life == from.stamp.life);
        // It hears of an earlier start of its generation, so that its own may go above that.
        let earlier = self.table.stamp(&from.id).filter(|held| {
            held.life != from.stamp.life && held.life.generation == from.stamp.life.generation
        });
        if !stale {
            self.hear(now, from, you, records, out);
            // The first frame of a start counts as seen too.
            if !known {
                self.table.fresh(&sender.id, sender.stamp.life, counter);
            }
        }
        if kind == Kind::Ping || earlier.is_some() {
            let answer = if kind == Kind::Ping { Kind::Ack } else { Kind::Tell };
            let mut frame = self.frame(now, answer, Some((&sender.id, sender.stamp.life)), probe);
            frame.you = earlier.or(frame.you);
            out.push(Out::Datagram(to(&sender), Box::new(frame)));
        }
        match kind {
            Kind::Ack => {
                self.acked(probe);
                self.compare(now, &sender, digest, out);
            }
            Kind::Ask => self.help(now, &sender, probe, target, out),
            Kind::Nack => self.declined(probe),
            Kind::Ping | Kind::Tell | Kind::Table | Kind::Query => {}
        }
        if kind == Kind::Ack {
            self.pass_ack(now, &sender, probe, out);
        }
    }

    /// What a sender tells: of itself, of the one that it writes to, and of others.
    fn hear(
        &mut self,
        now: Micros,
        from: Record,
        you: Option<Stamp>,
        records: Vec<Record>,
        out: &mut Vec<Out>,
    ) {
        let (id, life, address) = (from.id.clone(), from.stamp.life, from.news.address);
        let was_there = self.table.get(&id).is_some_and(|e| e.state().live());
        self.learn(now, from, out);
        if let Some(entry) = self.table.entries.get_mut(&id)
            && entry.record.stamp.life == life
        {
            entry.heard = Some(now);
        }
        let told_of_me = records.iter().any(|r| r.id == self.set.id && r.stamp.life != self.life);
        for record in records {
            self.learn(now, record, out);
        }
        if let Some(stamp) = you.filter(|_| !told_of_me) {
            self.told_of_me(now, stamp, None, out);
        }
        let is_there = self.table.get(&id).is_some_and(|e| e.state().live());
        // Who was unseen or unknown may bring a whole half of the fleet along.
        let first = !std::mem::replace(&mut self.joined, true);
        if is_there && (first || !was_there) {
            self.exchange_with(now, To::Member(id, address), if first { 0 } else { 1 }, out);
        }
    }

    /// Takes a word about a member.
    fn learn(&mut self, now: Micros, record: Record, out: &mut Vec<Out>) {
        if record.id == self.set.id {
            return self.told_of_me(now, record.stamp, Some(&record), out);
        }
        let (id, stamp, by) = (record.id.clone(), record.stamp, record.by.clone());
        let Some(held) = self.table.get(&id) else {
            if !stamp.state.live() && record.since >= self.set.memory {
                return; // forgotten here already
            }
            if !self.table.put(now, record) {
                return out.push(Out::Event(Event::Full(id)));
            }
            self.has_changed(now);
            if stamp.state.live() {
                out.push(Out::Event(Event::Joined(id)));
            }
            return;
        };
        let (old, matter) = (held.record.stamp, held.record.news.matters() != record.news.matters());
        if stamp < old {
            return;
        }
        if stamp == old {
            if let (State::Suspect, Some(by)) = (stamp.state, &by) {
                self.table.confirm(&id, by);
            }
            return;
        }
        self.table.put(now, record);
        if old.state != stamp.state || old.life != stamp.life || matter {
            self.has_changed(now);
        }
        let by = by.unwrap_or_else(|| id.clone());
        let event = match stamp.state {
            State::Alive if old.life != stamp.life => Event::Joined(id),
            State::Alive if old.state != State::Alive => Event::Back(id),
            State::Suspect if old.state != State::Suspect => Event::Suspected(id, by),
            State::Down if old.state != State::Down => Event::Down(id, by),
            State::Left if old.state != State::Left => Event::Left(id),
            State::Alive | State::Suspect | State::Down | State::Left => return,
        };
        out.push(Out::Event(event));
    }

    /// Takes a word about this member itself.
    fn told_of_me(&mut self, now: Micros, told: Stamp, record: Option<&Record>, out: &mut Vec<Out>) {
        // Another start of the same generation counts as above: the incarnation is to grow from start to start.
        if self.state == State::Left || self.stands_by || told.life.generation < self.life.generation {
            return;
        }
        if told.life == self.life {
            if told.state != State::Alive && told.seq >= self.seq {
                self.seq = told.seq + 1;
                self.health = (self.health + 1).min(probe::HEALTH_MOST);
                out.push(Out::Event(Event::Refuted));
                self.spread(now, Kind::Tell, FAN_OUT, out);
            }
            return;
        }
        let age = now - self.started;
        let stalled = self.stalled.is_some_and(|at| now - at < self.set.period * 10) && told.state.live();
        let its_age = record.map(|r| r.news.age);
        let verdict = self.lives.above(self.life.nonce, age, told.life.nonce, its_age, stalled);
        if let (Verdict::OverTwin | Verdict::Yield, Some(record)) = (verdict, record) {
            let twin = Twin { nonce: told.life.nonce, address: record.news.address, age: record.news.age };
            if self.twin.is_none_or(|t| t.nonce != twin.nonce) {
                out.push(Out::Event(Event::Twin(twin)));
            }
            self.twin = Some(twin);
            if verdict == Verdict::Yield {
                self.stands_by = true;
                self.next_reach = now + self.set.period * STAND_BY;
                out.push(Out::Event(Event::Yielded(twin)));
                // The newer start may know nobody but this one.
                return out.push(Out::Exchange(To::Address(record.news.address)));
            }
        }
        self.life.generation = told.life.generation + 1;
        self.spread(now, Kind::Tell, FAN_OUT, out);
    }

    /// One who stands by hears only whether its id is free. It may be somebody's seed: greetings go on to the newer start, once.
    fn take_standing_by(&mut self, now: Micros, mut frame: Frame, out: &mut Vec<Out>) {
        if let (Kind::Ping, 0, None, Some(twin)) = (frame.kind, frame.to, &frame.target, self.twin)
            && frame.from.id != self.set.id
        {
            frame.target = Some((self.set.id.clone(), twin.address));
            return out.push(Out::Datagram(To::Address(twin.address), Box::new(frame)));
        }
        if frame.kind != Kind::Ack || frame.probe != self.probes || frame.to != self.life.nonce {
            self.drops.unwanted += 1;
            return;
        }
        // Down, left or forgotten; of whichever life, since the others may all have started anew meanwhile. Where the answer was
        // a late one, the two settle it again.
        if frame.you.is_none_or(|you| !you.state.live()) {
            let held = frame.you.map_or(0, |you| you.life.generation);
            self.life.generation = held.max(self.life.generation) + 1;
            self.rival = self.twin.take().map(|twin| twin.address);
            self.stands_by = false;
            self.lives.clear();
            self.last_tick = now;
            out.push(Out::Event(Event::Resumed));
            self.has_changed(now);
            self.reach(now, out);
        }
    }

    fn answer_query(&mut self, now: Micros, frame: &Frame, out: &mut Vec<Out>) {
        if self.stands_by {
            return;
        }
        if frame.from.id == self.set.id {
            return; // it is this one that it stands by for, and hears of it from others
        }
        let mut answer =
            self.frame(now, Kind::Ack, Some((&frame.from.id, frame.from.stamp.life)), frame.probe);
        answer.records.clear();
        out.push(Out::Datagram(To::Back, Box::new(answer)));
    }

    /// What goes over a stream to one that exchanges tables.
    pub fn exchange(&mut self, now: Micros) -> Frame {
        let mut frame = self.frame(now, Kind::Table, None, 0);
        frame.records = self.table.all(now);
        frame
    }

    /// Takes the other's table.
    pub fn take_exchange(&mut self, now: Micros, frame: Frame, out: &mut Vec<Out>) {
        if frame.kind != Kind::Table || !self.active() {
            return;
        }
        if frame.from.id == self.set.id {
            // From the older start, as it yields.
            for record in frame.records {
                self.learn(now, record, out);
            }
        } else {
            self.hear(now, frame.from, None, frame.records, out);
        }
    }

    /// Takes part in the fleet: it has not left and does not stand by for a newer start.
    pub fn active(&self) -> bool {
        self.state != State::Left && !self.stands_by
    }

    fn exchange_with(&mut self, now: Micros, to: To, least: u64, out: &mut Vec<Out>) {
        let since = self.last_exchange.map_or(Micros::MAX, |at| now.saturating_sub(at));
        if since >= self.set.period * least {
            self.last_exchange = Some(now);
            out.push(Out::Exchange(to));
        }
    }

    /// Another holds other members live, and nothing is on its way that would explain it.
    fn compare(&mut self, now: Micros, sender: &Record, digest: u64, out: &mut Vec<Out>) {
        if now.saturating_sub(self.changed) >= self.set.period * SETTLED && digest != self.digest(now) {
            self.exchange_with(now, to(sender), EXCHANGE_LEAST, out);
        }
    }

    fn digest(&self, now: Micros) -> u64 {
        let me = self.record(now);
        self.table.digest(&me)
    }

    /// Keeps time.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Out>) {
        let missed = now.saturating_sub(self.last_tick).saturating_sub(self.set.period / TICKS);
        self.last_tick = now;
        if self.state == State::Left {
            return;
        }
        if self.stands_by {
            return self.ask_for_my_id(now, out);
        }
        if missed > self.set.period {
            self.doubt(now, missed, out);
        }
        self.judge(now, out);
        if now >= self.next_reach {
            self.next_reach = now + self.set.period * REACH;
            self.reach(now, out);
        }
        if now >= self.next_exchange {
            self.next_exchange = now + self.set.period * EXCHANGE / 2 + self.draw(self.set.period * EXCHANGE);
            if let Some(to) = self.some_live(1, None).pop() {
                self.exchange_with(now, to, 1, out);
            }
        }
        self.table.forget_old(now, self.set.memory);
        let settled = self.settled(now);
        if settled && !self.settled_told {
            out.push(Out::Event(Event::Settled(self.table.live + 1)));
        }
        self.settled_told = settled;
    }

    /// This process missed time, and the others did not: it gives everyone it doubted the time again, and hears first how
    /// the others see it.
    fn doubt(&mut self, now: Micros, missed: Micros, out: &mut Vec<Out>) {
        out.push(Out::Event(Event::Stalled(missed)));
        self.stalled = Some(now);
        self.asked.clear();
        self.helped.clear();
        self.next_probe = now;
        self.next_reach = now;
        self.health = (self.health + 1).min(probe::HEALTH_MOST);
        for id in &self.table.suspects {
            if let Some(suspicion) = self.table.entries.get_mut(id).and_then(|e| e.suspicion.as_mut()) {
                suspicion.since += missed + self.set.period * DOUBT;
            }
        }
        if let Some(to) = self.some_live(1, None).pop() {
            self.exchange_with(now, to, 0, out);
        }
        self.has_changed(now);
    }

    /// Still unsure after a stall.
    fn doubts(&self, now: Micros) -> bool {
        self.stalled.is_some_and(|at| now.saturating_sub(at) < self.set.period * DOUBT)
    }

    /// Looks for those who are not there: a drawn one of the unseen, the forgotten, those known by name and the seeds.
    fn reach(&mut self, now: Micros, out: &mut Vec<Out>) {
        let alone = self.table.live == 0;
        let live = |id: &MemberId| self.table.get(id).is_some_and(|e| e.state().live());
        let down = self.table.entries.iter().filter(|(_, e)| e.state() == State::Down);
        let unseen: Vec<To> = down
            .map(|(id, e)| To::Member(id.clone(), e.record.news.address))
            .chain(self.table.book.iter().map(|(id, at)| To::Member(id.clone(), *at)))
            .chain(
                self.set.known.iter().filter(|(id, _)| !live(id)).map(|(id, at)| To::Member(id.clone(), *at)),
            )
            .filter(|to| !matches!(to, To::Member(id, _) if *id == self.set.id))
            .collect();
        let mut goes: Vec<To> = Vec::new();
        if !unseen.is_empty() {
            goes.push(unseen[self.draw(unseen.len() as u64) as usize].clone());
        }
        if alone {
            goes.extend(self.set.seeds.iter().take(8).map(|at| To::Address(*at)));
            goes.extend(unseen.into_iter().take(8));
        } else if !self.set.seeds.is_empty() && self.draw(5) == 0 {
            // Now and then also while all is well: two fleets that grew apart by their seeds.
            let drawn = self.draw(self.set.seeds.len() as u64) as usize;
            goes.push(To::Address(self.set.seeds[drawn]));
        }
        // It may have been cut off only, and then the two may know nobody in common.
        goes.extend(self.rival.map(To::Address));
        for to in goes {
            let probe = self.new_probe();
            self.send(now, Kind::Ping, to, None, probe, None, out);
        }
    }

    fn ask_for_my_id(&mut self, now: Micros, out: &mut Vec<Out>) {
        if now < self.next_reach {
            return;
        }
        self.next_reach = now + self.set.period * STAND_BY;
        self.new_probe();
        let mut goes = self.some_live(2, None);
        goes.extend(self.set.seeds.iter().take(4).map(|at| To::Address(*at)));
        for to in goes {
            let mut frame = self.frame(now, Kind::Query, None, self.probes);
            frame.records.clear();
            out.push(Out::Datagram(to, Box::new(frame)));
        }
    }

    /// Takes this member's own news. What matters goes out at once, other figures now and then.
    pub fn tell(&mut self, now: Micros, news: News, out: &mut Vec<Out>) {
        let news = News { zone: self.set.zone.clone(), version: self.set.version.clone(), ..news };
        let matters = news.matters() != self.news.matters();
        let far = news.calls.abs_diff(self.news.calls) > self.news.calls / 4 + 8;
        let due = now.saturating_sub(self.told_at) >= self.set.period * 5;
        if matters || far && due {
            self.seq += 1;
            self.told_at = now;
            self.news = news;
            if matters && self.active() {
                self.spread(now, Kind::Tell, FAN_OUT, out);
            }
        }
    }

    /// Says that this member goes. Nothing is taken or sent afterwards.
    pub fn leave(&mut self, now: Micros, out: &mut Vec<Out>) {
        if !self.active() {
            self.state = State::Left;
            return;
        }
        self.seq += 1;
        self.state = State::Left;
        self.spread(now, Kind::Tell, LEAVE_FAN_OUT, out);
    }

    /// News of this member, straight to some.
    fn spread(&mut self, now: Micros, kind: Kind, most: usize, out: &mut Vec<Out>) {
        for to in self.some_live(most, None) {
            self.send(now, kind, to, None, 0, None, out);
        }
    }

    fn has_changed(&mut self, now: Micros) {
        self.changed = now;
    }

    /// No suspect, and no change for three periods; for one that has never heard another, not before it could have.
    pub fn settled(&self, now: Micros) -> bool {
        let quiet = now.saturating_sub(self.changed) >= self.set.period * SETTLED;
        let alone_long = now.saturating_sub(self.started) >= self.set.period * SETTLED * 2;
        self.active() && quiet && self.table.suspects.is_empty() && (self.joined || alone_long)
    }

    /// Where a member says that it is reached.
    pub fn address(&self, id: &MemberId) -> Option<SocketAddr> {
        self.table.get(id).map(|entry| entry.record.news.address)
    }

    /// Whether this is this member's id.
    pub fn is_me(&self, id: &MemberId) -> bool {
        self.set.id == *id
    }

    /// Another was heard since the start.
    pub fn joined(&self) -> bool {
        self.joined
    }

    /// The other process under this id, if one is known to live.
    pub fn twin(&self) -> Option<Twin> {
        self.twin
    }

    /// This process has yielded to a newer start under its id.
    pub fn stands_by(&self) -> bool {
        self.stands_by
    }

    /// Frames that were dropped here.
    pub fn drops(&self) -> Drops {
        self.drops
    }

    /// Members that are live, this one included, and those that are down.
    pub fn counts(&self) -> (usize, usize) {
        let down = self.table.entries.values().filter(|e| e.state() == State::Down).count();
        (self.table.live + usize::from(self.active()), down)
    }

    /// All members, by id, this one among them.
    pub fn members(&self, now: Micros) -> Vec<Shown> {
        let me = self.record(now);
        let me = Shown {
            id: me.id,
            state: me.stamp.state,
            incarnation: me.stamp.life.generation,
            heard: None,
            by: None,
            news: me.news,
        };
        let others = self.table.entries.iter().map(|(id, e)| Shown {
            id: id.clone(),
            state: e.state(),
            incarnation: e.record.stamp.life.generation,
            heard: e.heard.map(|at| now.saturating_sub(at)),
            by: e.record.by.clone(),
            news: e.record.news.clone(),
        });
        let mut all: Vec<Shown> = others.chain([me]).collect();
        all.sort_by(|a, b| a.id.cmp(&b.id));
        all
    }

    /// Ids of the live ones, by id, this one among them.
    pub fn live(&self) -> Vec<MemberId> {
        let others = self.table.entries.iter().filter(|(_, e)| e.state().live()).map(|(id, _)| id.clone());
        let mut all: Vec<MemberId> = others.chain(self.active().then(|| self.set.id.clone())).collect();
        all.sort();
        all
    }

    fn record(&self, now: Micros) -> Record {
        let stamp = Stamp { life: self.life, seq: self.seq, state: self.state };
        let news = News { age: now - self.started, ..self.news.clone() };
        Record { id: self.set.id.clone(), stamp, by: None, since: 0, news }
    }

    fn frame(&mut self, now: Micros, kind: Kind, to: Option<(&MemberId, Life)>, probe: u64) -> Frame {
        let records = self.table.gossip(now);
        self.frame_with(now, kind, to, probe, records)
    }

    fn frame_with(
        &mut self,
        now: Micros,
        kind: Kind,
        to: Option<(&MemberId, Life)>,
        probe: u64,
        mut records: Vec<Record>,
    ) -> Frame {
        self.counter += 1;
        let you = to.and_then(|(id, _)| self.table.stamp(id));
        // Whoever is not the one that we hold under its id has to hear of that one.
        if let (Some((id, life)), Some(you)) = (to, you)
            && you.life != life
            && let Some(record) = self.table.told(now, id)
        {
            records.retain(|r| r.id != *id);
            records.push(record);
        }
        Frame {
            kind,
            from: self.record(now),
            to: to.map_or(0, |(_, life)| life.nonce),
            counter: self.counter,
            probe,
            target: None,
            you,
            digest: self.digest(now),
            records,
        }
    }

    /// Sends a frame; `known` is the receiver as its own frame told it, otherwise it is as the table has it.
    #[allow(clippy::too_many_arguments)]
    fn send(
        &mut self,
        now: Micros,
        kind: Kind,
        to: To,
        known: Option<&Record>,
        probe: u64,
        target: Option<(MemberId, SocketAddr)>,
        out: &mut Vec<Out>,
    ) {
        let held = match (&to, known) {
            (_, Some(record)) => Some((record.id.clone(), record.stamp.life)),
            (To::Member(id, _), None) => self.table.stamp(id).map(|stamp| (id.clone(), stamp.life)),
            (To::Address(_) | To::Back, None) => None,
        };
        // One that is down may have started anew since: it is greeted as whoever it is now.
        let down = known.is_none() && held.as_ref().is_some_and(|(id, _)| !self.is_live(id));
        let mut frame = self.frame(now, kind, held.as_ref().map(|(id, life)| (id, *life)), probe);
        if down {
            frame.to = 0;
        }
        frame.target = target;
        out.push(Out::Datagram(to, Box::new(frame)));
    }

    fn is_live(&self, id: &MemberId) -> bool {
        self.table.get(id).is_some_and(|e| e.state().live())
    }

    fn new_probe(&mut self) -> u64 {
        self.probes = self.probes.wrapping_add(1);
        self.probes
    }

    fn draw(&mut self, below: u64) -> u64 {
        if below == 0 { 0 } else { self.rng.next_u64() % below }
    }

    /// So many live members, drawn, without one.
    fn some_live(&mut self, most: usize, without: Option<&MemberId>) -> Vec<To> {
        let live = self.table.entries.iter().filter(|(id, e)| e.state().live() && Some(*id) != without);
        let all = live.map(|(id, e)| To::Member(id.clone(), e.record.news.address)).collect();
        self.drawn(all, most)
    }

    /// So many of these, drawn.
    fn drawn(&mut self, mut all: Vec<To>, most: usize) -> Vec<To> {
        for n in 0..most.min(all.len()) {
            let other = n + self.draw((all.len() - n) as u64) as usize;
            all.swap(n, other);
        }
        all.truncate(most);
        all
    }
}

fn to(record: &Record) -> To {
    To::Member(record.id.clone(), record.news.address)
}
