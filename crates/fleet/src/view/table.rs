//! The table of members, without oneself: what is known of each, what is still to be passed on, and what is forgotten.
//!
//! Bounded by [`MEMBERS_MOST`]: at the bound the one that has been down or left for longest makes way, and where all live, a
//! further one is not taken in. Who is forgotten stays in an address book, so that halves that were cut for longer than
//! any memory find each other again.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use crate::Micros;
use crate::member::{Life, MemberId, Record, Stamp, State};
use crate::wire::{self, PIGGYBACK_BYTES};

/// Most members known at a time.
pub const MEMBERS_MOST: usize = 1_024;
/// Most addresses of forgotten members.
const BOOK_MOST: usize = 256;
/// A change is passed on this many times, times the logarithm of the fleet's size.
const SPREAD: u32 = 3;

/// Who doubts a member, and since when.
#[derive(Clone, Debug)]
pub(super) struct Suspicion {
    pub since: Micros,
    /// The first and those who confirmed it; at most four.
    pub by: Vec<MemberId>,
    /// When it was last asked whether it is there after all.
    pub asked: Micros,
}

/// Which of a sender's frames were seen: the highest counter and the 64 before it. Guards against frames that are played
/// again.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    highest: u64,
    seen: u64,
}

impl Window {
    fn fresh(&mut self, counter: u64) -> bool {
        if counter > self.highest {
            let ahead = counter - self.highest;
            self.seen = if ahead >= 64 { 0 } else { self.seen << ahead };
            self.seen |= 1;
            self.highest = counter;
            return true;
        }
        let behind = self.highest - counter;
        let bit = if behind >= 64 { return false } else { 1u64 << behind };
        let fresh = self.seen & bit == 0;
        self.seen |= bit;
        fresh
    }
}

/// What is known of one member.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub record: Record,
    /// Since when it stands so.
    pub since: Micros,
    /// When a frame of its own came last.
    pub heard: Option<Micros>,
    pub suspicion: Option<Suspicion>,
    window: Window,
    /// Its place among those that are still to be passed on.
    queued: Option<(u32, u64)>,
    /// Its part of the table's digest; 0 where it is not live.
    digest: u64,
}

impl Entry {
    pub fn state(&self) -> State {
        self.record.stamp.state
    }

    /// The record as it is told now.
    fn told(&self, now: Micros) -> Record {
        let since = if self.state().live() { 0 } else { now.saturating_sub(self.since) };
        Record { since, ..self.record.clone() }
    }
}

/// See the module.
#[derive(Clone, Debug, Default)]
pub(super) struct Table {
    pub entries: BTreeMap<MemberId, Entry>,
    /// Whose records are still to be passed on: by how often each was since it changed, then the newest first.
    queue: BTreeMap<(u32, u64), MemberId>,
    next: u64,
    pub book: VecDeque<(MemberId, SocketAddr)>,
    pub suspects: BTreeSet<MemberId>,
    pub live: usize,
    /// Of the live ones; kept up with each change.
    digest: u64,
    /// None that has gone is to be forgotten before this.
    forget_at: Micros,
}

impl Table {
    pub fn get(&self, id: &MemberId) -> Option<&Entry> {
        self.entries.get(id)
    }

    /// Takes a record in place of what was held; false: there is no room for it.
    pub fn put(&mut self, now: Micros, record: Record) -> bool {
        let id = record.id.clone();
        if !self.entries.contains_key(&id) && !self.make_room(now) {
            return false;
        }
        let state = record.stamp.state;
        let since = now.saturating_sub(record.since);
        let suspicion = (state == State::Suspect).then(|| Suspicion {
            since: now,
            by: record.by.iter().cloned().collect(),
            asked: now,
        });
        let digest = if state.live() { digest_of(&record) } else { 0 };
        let window = Window::default();
        let fresh = Entry { record, since, heard: None, suspicion, window, queued: None, digest };
        let old = self.entries.remove(&id);
        self.digest ^= digest ^ old.as_ref().map_or(0, |old| old.digest);
        if let Some(at) = old.as_ref().and_then(|old| old.queued) {
            self.queue.remove(&at);
        }
        self.count(&id, old.as_ref().map(Entry::state), Some(state));
        let entry = match old {
            // What one process was heard to say counts for that process only.
            Some(old) if old.record.stamp.life == fresh.record.stamp.life => {
                Entry { heard: old.heard, window: old.window, ..fresh }
            }
            _ => fresh,
        };
        self.book.retain(|(known, _)| *known != id);
        self.entries.insert(id.clone(), entry);
        self.pass_on(&id);
        true
    }

    fn make_room(&mut self, now: Micros) -> bool {
        if self.entries.len() < MEMBERS_MOST {
            return true;
        }
        let gone = self.entries.iter().filter(|(_, e)| !e.state().live());
        let oldest = gone.max_by_key(|(_, e)| now.saturating_sub(e.since)).map(|(id, _)| id.clone());
        oldest.is_some_and(|id| {
            self.forget(&id);
            true
        })
    }

    fn count(&mut self, id: &MemberId, old: Option<State>, new: Option<State>) {
        let live = |s: Option<State>| usize::from(s.is_some_and(State::live));
        if new == Some(State::Suspect) {
            self.suspects.insert(id.clone());
        } else {
            self.suspects.remove(id);
        }
        if new.is_some_and(|s| !s.live()) {
            self.forget_at = 0;
        }
        self.live = self.live + live(new) - live(old);
    }

    /// Those that are doubted.
    pub fn suspected(&self) -> impl Iterator<Item = (&MemberId, &Entry, &Suspicion)> {
        self.suspects.iter().filter_map(|id| {
            let entry = self.entries.get(id)?;
            Some((id, entry, entry.suspicion.as_ref()?))
        })
    }

    /// One more doubts a suspect: true if that is news.
    pub fn confirm(&mut self, id: &MemberId, by: &MemberId) -> bool {
        let Some(entry) = self.entries.get_mut(id) else { return false };
        let Some(suspicion) = &mut entry.suspicion else { return false };
        if suspicion.by.len() >= 4 || suspicion.by.contains(by) {
            return false;
        }
        suspicion.by.push(by.clone());
        entry.record.by = Some(by.clone());
        self.pass_on(id);
        true
    }

    /// Its record goes out again with the next frames.
    fn pass_on(&mut self, id: &MemberId) {
        self.next += 1;
        // The newest first among those told as often: behind the news of some hundreds who start at once a refutation, or a
        // second start under one id, would wait for many periods at each hop.
        let next = (0, u64::MAX - self.next);
        let Some(entry) = self.entries.get_mut(id) else { return };
        if let Some(at) = entry.queued.replace(next) {
            self.queue.remove(&at);
        }
        self.queue.insert(next, id.clone());
    }

    /// What the next frame carries of others: the least told first, within the bound in bytes.
    pub fn gossip(&mut self, now: Micros) -> Vec<Record> {
        let most = SPREAD * ((self.live + 2) as f64).log2().ceil() as u32;
        let (mut room, mut records, mut taken) = (PIGGYBACK_BYTES, Vec::new(), Vec::new());
        while let Some(first) = self.queue.first_entry() {
            let Some(entry) = self.entries.get_mut(first.get()) else {
                first.remove();
                continue;
            };
            let size = wire::size(&entry.record);
            if size > room {
                break;
            }
            room -= size;
            records.push(entry.told(now));
            let ((sent, order), id) = first.remove_entry();
            entry.queued = (sent + 1 < most).then_some((sent + 1, order));
            taken.extend(entry.queued.map(|at| (at, id)));
        }
        self.queue.extend(taken);
        records
    }

    /// All that is known, as it is told now.
    pub fn all(&self, now: Micros) -> Vec<Record> {
        self.entries.values().map(|e| e.told(now)).collect()
    }

    /// One record, as it is told now.
    pub fn told(&self, now: Micros, id: &MemberId) -> Option<Record> {
        self.entries.get(id).map(|e| e.told(now))
    }

    /// Whether a frame of this start was not seen before.
    pub fn fresh(&mut self, id: &MemberId, life: Life, counter: u64) -> bool {
        match self.entries.get_mut(id) {
            Some(entry) if entry.record.stamp.life == life => entry.window.fresh(counter),
            _ => true,
        }
    }

    /// Drops those that have been down or left for so long; their addresses stay for a while.
    pub fn forget_old(&mut self, now: Micros, after: Micros) {
        if now < self.forget_at {
            return;
        }
        let old = |e: &Entry| !e.state().live() && now.saturating_sub(e.since) >= after;
        let gone: Vec<MemberId> =
            self.entries.iter().filter(|(_, e)| old(e)).map(|(id, _)| id.clone()).collect();
        for id in gone {
            self.forget(&id);
        }
        let next = self.entries.values().filter(|e| !e.state().live()).map(|e| e.since).min();
        self.forget_at = next.map_or(Micros::MAX, |since| since.saturating_add(after));
    }

    fn forget(&mut self, id: &MemberId) {
        if let Some(entry) = self.entries.remove(id) {
            self.digest ^= entry.digest;
            self.count(id, Some(entry.state()), None);
            if let Some(at) = entry.queued {
                self.queue.remove(&at);
            }
            // One that left is not looked for.
            if entry.state() == State::Down {
                self.book.push_back((id.clone(), entry.record.news.address));
                if self.book.len() > BOOK_MOST {
                    self.book.pop_front();
                }
            }
        }
    }

    /// Digest of the live ones, and of oneself: the same wherever the same are held live with the same news that matters.
    pub fn digest(&self, me: &Record) -> u64 {
        self.digest ^ digest_of(me)
    }

    pub fn stamp(&self, id: &MemberId) -> Option<Stamp> {
        self.entries.get(id).map(|e| e.record.stamp)
    }
}

/// FNV-1a over what has to agree, then a finalizer: sums of similar ids must not cancel out.
fn digest_of(record: &Record) -> u64 {
    let news = &record.news;
    let flags = u8::from(news.ready) | u8::from(news.draining) << 1 | u8::from(news.leaving) << 2;
    let life = record.stamp.life;
    let bytes = record.id.as_str().bytes().chain([0, flags]).chain(life.generation.to_le_bytes());
    let hash = bytes
        .chain(life.nonce.to_le_bytes())
        .fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3));
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^ (hash >> 33)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::wire::example;

    #[test]
    fn a_frame_played_again_is_known() {
        let mut window = Window::default();
        assert!(window.fresh(5) && window.fresh(9) && window.fresh(7));
        assert!(!window.fresh(7) && !window.fresh(9) && !window.fresh(5));
        assert!(window.fresh(100) && !window.fresh(9), "older than the window");
        assert!(window.fresh(40) && !window.fresh(40));
    }

    #[test]
    fn at_the_bound_the_longest_gone_makes_way_and_the_living_stay() {
        let mut table = Table::default();
        for n in 0..MEMBERS_MOST {
            assert!(table.put(n as u64, example(&format!("m{n}"), 1, 0, State::Alive)));
        }
        assert!(!table.put(5000, example("one-more", 1, 0, State::Alive)));
        assert_eq!(table.live, MEMBERS_MOST);
        assert!(table.put(6000, example("m7", 1, 0, State::Down)));
        assert!(table.put(7000, example("one-more", 1, 0, State::Alive)));
        assert!(table.get(&MemberId::new("m7").unwrap()).is_none());
        assert_eq!(table.book.len(), 1, "its address is kept");
    }

    #[test]
    fn a_change_is_told_so_often_and_no_more_and_one_frame_is_bounded() {
        let mut table = Table::default();
        for n in 0..100 {
            table.put(0, example(&format!("m{n}"), 1, 0, State::Alive));
        }
        let mut told = 0;
        for _ in 0..1000 {
            let records = table.gossip(0);
            assert!(records.iter().map(wire::size).sum::<usize>() <= PIGGYBACK_BYTES);
            told += records.len();
        }
        assert_eq!(told, 100 * 3 * 7, "three times the logarithm of 102, each");
    }

    /// Behind the news of some hundreds who start at once, a newer word does not wait.
    #[test]
    fn the_newest_word_goes_first() {
        let mut table = Table::default();
        for n in 0..500 {
            table.put(0, example(&format!("m{n}"), 1, 0, State::Alive));
        }
        table.put(1, example("m7", 1, 1, State::Suspect));
        let first = table.gossip(1);
        assert_eq!((first[0].id.as_str(), first[0].stamp.state), ("m7", State::Suspect));
    }

    #[test]
    fn the_digest_is_of_who_lives_and_not_of_their_figures() {
        let (mut one, mut two) = (Table::default(), Table::default());
        let me = example("me", 1, 0, State::Alive);
        for n in [1, 2, 3] {
            one.put(0, example(&format!("m{n}"), 1, n, State::Alive));
            let mut other = example(&format!("m{}", 4 - n), 1, 9, State::Suspect);
            other.news.calls = 8;
            two.put(0, other);
        }
        assert_eq!(one.digest(&me), two.digest(&me));
        two.put(0, example("m2", 1, 9, State::Down));
        assert_ne!(one.digest(&me), two.digest(&me));
    }
}
