//! The table of members, without oneself: what is known of each, what is still to be passed on, and what is forgotten.
//!
//! Bounded by [`MAX_MEMBERS`]: at the bound the one that has been down or left for longest makes way, and where all live, a
//! further one is not taken in. Addresses of forgotten members are kept, so that halves that were partitioned for longer than any
//! memory find each other again.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use crate::Micros;
use crate::codec::{self, MAX_PIGGYBACK_BYTES};
use crate::member::{Incarnation, MemberId, MemberRecord, MemberState, StateVersion};

/// Maximum number of members known at a time.
pub const MAX_MEMBERS: usize = 1_024;
/// Maximum number of addresses of forgotten members.
const MAX_FORGOTTEN: usize = 256;
/// A change is gossiped this many times, times the logarithm of the fleet's size.
const GOSSIP_FACTOR: u32 = 3;

/// Who suspects a member, and since when.
#[derive(Clone, Debug)]
pub(super) struct Suspicion {
    pub since: Micros,
    /// The first and those who confirmed it; at most four.
    pub reporters: Vec<MemberId>,
    /// When it was last probed to give it a last chance.
    pub last_probed: Micros,
}

/// Which of a sender's frames were seen: the highest counter and the 64 before it. Guards against frames that are played
/// again.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    highest: u64,
    seen: u64,
}

impl Window {
    fn is_new_frame(&mut self, counter: u64) -> bool {
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
pub(super) struct MemberEntry {
    pub record: MemberRecord,
    /// Since when it is in its state.
    pub since: Micros,
    /// When a frame of its own came last.
    pub last_heard: Option<Micros>,
    pub suspicion: Option<Suspicion>,
    window: Window,
    /// Its place among those that are still to be passed on.
    queued: Option<(u32, u64)>,
    /// Its part of the table's digest; 0 where it is not live.
    digest: u64,
}

impl MemberEntry {
    pub fn state(&self) -> MemberState {
        self.record.state_version.state
    }

    /// The record as it is told now.
    fn current_record(&self, now: Micros) -> MemberRecord {
        let since = if self.state().is_live() { 0 } else { now.saturating_sub(self.since) };
        MemberRecord { state_age: since, ..self.record.clone() }
    }
}

/// See the module.
#[derive(Clone, Debug, Default)]
pub(super) struct Table {
    pub entries: BTreeMap<MemberId, MemberEntry>,
    /// Whose records are still to be passed on: by how often each was since it changed, then the newest first.
    queue: BTreeMap<(u32, u64), MemberId>,
    next: u64,
    pub forgotten: VecDeque<(MemberId, SocketAddr)>,
    pub suspect_ids: BTreeSet<MemberId>,
    pub live: usize,
    /// Of the live ones; kept up with each change.
    digest: u64,
    /// None that has gone is to be forgotten before this.
    forget_at: Micros,
}

impl Table {
    pub fn get(&self, id: &MemberId) -> Option<&MemberEntry> {
        self.entries.get(id)
    }

    /// Takes a record in place of what was held; false: there is no room for it.
    pub fn insert(&mut self, now: Micros, record: MemberRecord) -> bool {
        let id = record.id.clone();
        if !self.entries.contains_key(&id) && !self.make_room(now) {
            return false;
        }
        let state = record.state_version.state;
        let since = now.saturating_sub(record.state_age);
        let suspicion = (state == MemberState::Suspect).then(|| Suspicion {
            since: now,
            reporters: record.reported_by.iter().cloned().collect(),
            last_probed: now,
        });
        let digest = if state.is_live() { digest_of(&record) } else { 0 };
        let window = Window::default();
        let fresh = MemberEntry { record, since, last_heard: None, suspicion, window, queued: None, digest };
        let old = self.entries.remove(&id);
        self.digest ^= digest ^ old.as_ref().map_or(0, |old| old.digest);
        if let Some(at) = old.as_ref().and_then(|old| old.queued) {
            self.queue.remove(&at);
        }
        self.count(&id, old.as_ref().map(MemberEntry::state), Some(state));
        let entry = match old {
            // What one process was heard to say counts for that process only.
            Some(old) if old.record.state_version.incarnation == fresh.record.state_version.incarnation => {
                MemberEntry { last_heard: old.last_heard, window: old.window, ..fresh }
            }
            _ => fresh,
        };
        self.forgotten.retain(|(known, _)| *known != id);
        self.entries.insert(id.clone(), entry);
        self.queue_gossip(&id);
        true
    }

    fn make_room(&mut self, now: Micros) -> bool {
        if self.entries.len() < MAX_MEMBERS {
            return true;
        }
        let gone = self.entries.iter().filter(|(_, e)| !e.state().is_live());
        let oldest = gone.max_by_key(|(_, e)| now.saturating_sub(e.since)).map(|(id, _)| id.clone());
        oldest.is_some_and(|id| {
            self.forget(&id);
            true
        })
    }

    fn count(&mut self, id: &MemberId, old: Option<MemberState>, new: Option<MemberState>) {
        let live = |s: Option<MemberState>| usize::from(s.is_some_and(MemberState::is_live));
        if new == Some(MemberState::Suspect) {
            self.suspect_ids.insert(id.clone());
        } else {
            self.suspect_ids.remove(id);
        }
        if new.is_some_and(|s| !s.is_live()) {
            self.forget_at = 0;
        }
        self.live = self.live + live(new) - live(old);
    }

    /// The suspects.
    pub fn suspects(&self) -> impl Iterator<Item = (&MemberId, &MemberEntry, &Suspicion)> {
        self.suspect_ids.iter().filter_map(|id| {
            let entry = self.entries.get(id)?;
            Some((id, entry, entry.suspicion.as_ref()?))
        })
    }

    /// One more doubts a suspect: true if that is info.
    pub fn confirm(&mut self, id: &MemberId, by: &MemberId) -> bool {
        let Some(entry) = self.entries.get_mut(id) else { return false };
        let Some(suspicion) = &mut entry.suspicion else { return false };
        if suspicion.reporters.len() >= 4 || suspicion.reporters.contains(by) {
            return false;
        }
        suspicion.reporters.push(by.clone());
        entry.record.reported_by = Some(by.clone());
        self.queue_gossip(id);
        true
    }

    /// Has its record go out again with the next frames.
    fn queue_gossip(&mut self, id: &MemberId) {
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
    pub fn take_gossip(&mut self, now: Micros) -> Vec<MemberRecord> {
        let max_sends = GOSSIP_FACTOR * ((self.live + 2) as f64).log2().ceil() as u32;
        let (mut room, mut records, mut taken) = (MAX_PIGGYBACK_BYTES, Vec::new(), Vec::new());
        while let Some(first) = self.queue.first_entry() {
            let Some(entry) = self.entries.get_mut(first.get()) else {
                first.remove();
                continue;
            };
            let size = codec::estimated_record_size(&entry.record);
            if size > room {
                break;
            }
            room -= size;
            records.push(entry.current_record(now));
            let ((sent, order), id) = first.remove_entry();
            entry.queued = (sent + 1 < max_sends).then_some((sent + 1, order));
            taken.extend(entry.queued.map(|at| (at, id)));
        }
        self.queue.extend(taken);
        records
    }

    /// All that is known, as it is told now.
    pub fn current_records(&self, now: Micros) -> Vec<MemberRecord> {
        self.entries.values().map(|e| e.current_record(now)).collect()
    }

    /// One record, as it is told now.
    pub fn current_record(&self, now: Micros, id: &MemberId) -> Option<MemberRecord> {
        self.entries.get(id).map(|e| e.current_record(now))
    }

    /// Whether a frame of this start was not seen before.
    pub fn is_new_frame(&mut self, id: &MemberId, incarnation: Incarnation, counter: u64) -> bool {
        match self.entries.get_mut(id) {
            Some(entry) if entry.record.state_version.incarnation == incarnation => {
                entry.window.is_new_frame(counter)
            }
            _ => true,
        }
    }

    /// DropCounters those that have been down or left for so long; their addresses stay for a while.
    pub fn forget_expired(&mut self, now: Micros, after: Micros) {
        if now < self.forget_at {
            return;
        }
        let old = |e: &MemberEntry| !e.state().is_live() && now.saturating_sub(e.since) >= after;
        let gone: Vec<MemberId> =
            self.entries.iter().filter(|(_, e)| old(e)).map(|(id, _)| id.clone()).collect();
        for id in gone {
            self.forget(&id);
        }
        let next = self.entries.values().filter(|e| !e.state().is_live()).map(|e| e.since).min();
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
            if entry.state() == MemberState::Down {
                self.forgotten.push_back((id.clone(), entry.record.info.address));
                if self.forgotten.len() > MAX_FORGOTTEN {
                    self.forgotten.pop_front();
                }
            }
        }
    }

    /// Digest of the live ones, and of oneself: the same wherever the same are held live with the same news that matters.
    pub fn digest(&self, me: &MemberRecord) -> u64 {
        self.digest ^ digest_of(me)
    }

    pub fn state_version(&self, id: &MemberId) -> Option<StateVersion> {
        self.entries.get(id).map(|e| e.record.state_version)
    }
}

/// FNV-1a over what has to agree, then a finalizer: sums of similar ids must not cancel out.
fn digest_of(record: &MemberRecord) -> u64 {
    let info = &record.info;
    let flags = u8::from(info.ready) | u8::from(info.draining) << 1 | u8::from(info.leaving) << 2;
    let incarnation = record.state_version.incarnation;
    let bytes = record.id.as_str().bytes().chain([0, flags]).chain(incarnation.generation.to_le_bytes());
    let hash = bytes
        .chain(incarnation.nonce.to_le_bytes())
        .fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3));
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^ (hash >> 33)
}

#[cfg(test)]
mod tests;
