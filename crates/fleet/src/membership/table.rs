//! The table of the other members: the records about them, the gossip queue, and the addresses of removed members.
//!
//! It is limited to [`MAX_MEMBERS`]. When it is full, the member that has been down or left for longest is evicted; if
//! all members are live, a new one is rejected. The addresses of removed members that were down are kept, so that two
//! sides of a partition that outlasts the retention period can still find each other.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use crate::Micros;
use crate::codec::{self, MAX_PIGGYBACK_BYTES};
use crate::member::{Incarnation, MemberId, MemberRecord, MemberState, StateVersion};

/// Maximum number of members in the table.
pub const MAX_MEMBERS: usize = 1_024;
/// Maximum number of addresses of removed members.
const MAX_REMOVED_ADDRESSES: usize = 256;
/// A change is gossiped this many times, multiplied by the binary logarithm of the fleet's size.
const GOSSIP_SENDS_FACTOR: u32 = 3;

/// A suspicion: when it began, who reported it, and when the suspect was last probed.
#[derive(Clone, Debug)]
pub(super) struct Suspicion {
    pub since: Micros,
    /// The member that reported it first and those that confirmed it; at most four.
    pub reporters: Vec<MemberId>,
    /// When the suspect was last probed before its expiry.
    pub last_probed: Micros,
}

/// Replay window over a sender's frame counters: the highest counter received, and a bitmap of it and the 63 before it.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    highest: u64,
    seen: u64,
}

impl Window {
    fn record_if_new(&mut self, counter: u64) -> bool {
        if counter > self.highest {
            let ahead = counter - self.highest;
            self.seen = if ahead >= 64 { 0 } else { self.seen << ahead };
            self.seen |= 1;
            self.highest = counter;
            return true;
        }
        let behind = self.highest - counter;
        let bit = if behind >= 64 { return false } else { 1u64 << behind };
        let is_new = self.seen & bit == 0;
        self.seen |= bit;
        is_new
    }
}

/// What is known about one member.
#[derive(Clone, Debug)]
pub(super) struct MemberEntry {
    pub record: MemberRecord,
    /// Since when the member has been in its state.
    pub since: Micros,
    /// When the last frame from the member itself arrived.
    pub last_heard: Option<Micros>,
    pub suspicion: Option<Suspicion>,
    window: Window,
    /// Its key in the gossip queue, if it is queued.
    queue_key: Option<(u32, u64)>,
    /// Its contribution to the table's digest; 0 if it is not live.
    digest: u64,
}

impl MemberEntry {
    pub fn state(&self) -> MemberState {
        self.record.state_version.state
    }

    /// The record with its state age as of `now`.
    fn current_record(&self, now: Micros) -> MemberRecord {
        let since = if self.state().is_live() { 0 } else { now.saturating_sub(self.since) };
        MemberRecord { state_age: since, ..self.record.clone() }
    }
}

/// The table; see the module documentation.
#[derive(Clone, Debug, Default)]
pub(super) struct Table {
    pub entries: BTreeMap<MemberId, MemberEntry>,
    /// The gossip queue: members whose records are still to be sent, by number of sends since the last change, then
    /// newest first.
    queue: BTreeMap<(u32, u64), MemberId>,
    next_order: u64,
    pub removed_addresses: VecDeque<(MemberId, SocketAddr)>,
    pub suspect_ids: BTreeSet<MemberId>,
    pub live: usize,
    /// Digest of the live members, updated with each change.
    digest: u64,
    /// No member's retention period ends before this time.
    next_expiry: Micros,
}

impl Table {
    pub fn get(&self, id: &MemberId) -> Option<&MemberEntry> {
        self.entries.get(id)
    }

    /// Stores a record in place of the current one; false if the table is full.
    pub fn insert(&mut self, now: Micros, record: MemberRecord) -> bool {
        let id = record.id.clone();
        if !self.entries.contains_key(&id) && !self.ensure_capacity(now) {
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
        let new_entry =
            MemberEntry { record, since, last_heard: None, suspicion, window, queue_key: None, digest };
        let old = self.entries.remove(&id);
        self.digest ^= digest ^ old.as_ref().map_or(0, |old| old.digest);
        if let Some(key) = old.as_ref().and_then(|old| old.queue_key) {
            self.queue.remove(&key);
        }
        self.update_counters(&id, old.as_ref().map(MemberEntry::state), Some(state));
        let entry = match old {
            // The replay window and the time last heard apply to one process only.
            Some(old)
                if old.record.state_version.incarnation == new_entry.record.state_version.incarnation =>
            {
                MemberEntry { last_heard: old.last_heard, window: old.window, ..new_entry }
            }
            _ => new_entry,
        };
        self.removed_addresses.retain(|(known, _)| *known != id);
        self.entries.insert(id.clone(), entry);
        self.queue_gossip(&id);
        true
    }

    fn ensure_capacity(&mut self, now: Micros) -> bool {
        if self.entries.len() < MAX_MEMBERS {
            return true;
        }
        let not_live = self.entries.iter().filter(|(_, e)| !e.state().is_live());
        let oldest = not_live.max_by_key(|(_, e)| now.saturating_sub(e.since)).map(|(id, _)| id.clone());
        oldest.is_some_and(|id| {
            self.remove(&id);
            true
        })
    }

    fn update_counters(&mut self, id: &MemberId, old: Option<MemberState>, new: Option<MemberState>) {
        let live = |s: Option<MemberState>| usize::from(s.is_some_and(MemberState::is_live));
        if new == Some(MemberState::Suspect) {
            self.suspect_ids.insert(id.clone());
        } else {
            self.suspect_ids.remove(id);
        }
        if new.is_some_and(|s| !s.is_live()) {
            self.next_expiry = 0;
        }
        self.live = self.live + live(new) - live(old);
    }

    /// The suspects with their entries.
    pub fn suspects(&self) -> impl Iterator<Item = (&MemberId, &MemberEntry, &Suspicion)> {
        self.suspect_ids.iter().filter_map(|id| {
            let entry = self.entries.get(id)?;
            Some((id, entry, entry.suspicion.as_ref()?))
        })
    }

    /// Records that another member suspects a suspect; true if that is new.
    pub fn confirm_suspicion(&mut self, id: &MemberId, by: &MemberId) -> bool {
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

    /// Queues a member's record for the next frames.
    fn queue_gossip(&mut self, id: &MemberId) {
        self.next_order += 1;
        // The newest first among records sent equally often. Otherwise, when several hundred members start at once, a
        // refutation or the record of a second start under one id would wait behind theirs for many periods at each
        // hop.
        let key = (0, u64::MAX - self.next_order);
        let Some(entry) = self.entries.get_mut(id) else { return };
        if let Some(old_key) = entry.queue_key.replace(key) {
            self.queue.remove(&old_key);
        }
        self.queue.insert(key, id.clone());
    }

    /// Takes the records for the next frame, those sent least often first, up to the size limit.
    pub fn take_gossip(&mut self, now: Micros) -> Vec<MemberRecord> {
        let max_sends = GOSSIP_SENDS_FACTOR * ((self.live + 2) as f64).log2().ceil() as u32;
        let (mut remaining_bytes, mut records, mut requeued) = (MAX_PIGGYBACK_BYTES, Vec::new(), Vec::new());
        while let Some(first) = self.queue.first_entry() {
            let Some(entry) = self.entries.get_mut(first.get()) else {
                first.remove();
                continue;
            };
            let size = codec::estimated_record_size(&entry.record);
            if size > remaining_bytes {
                break;
            }
            remaining_bytes -= size;
            records.push(entry.current_record(now));
            let ((sent, order), id) = first.remove_entry();
            entry.queue_key = (sent + 1 < max_sends).then_some((sent + 1, order));
            requeued.extend(entry.queue_key.map(|key| (key, id)));
        }
        self.queue.extend(requeued);
        records
    }

    /// All records, with their state ages as of `now`.
    pub fn current_records(&self, now: Micros) -> Vec<MemberRecord> {
        self.entries.values().map(|e| e.current_record(now)).collect()
    }

    /// A member's record, with its state age as of `now`.
    pub fn current_record(&self, now: Micros, id: &MemberId) -> Option<MemberRecord> {
        self.entries.get(id).map(|e| e.current_record(now))
    }

    /// Whether a frame of this incarnation is not a replay. Registers the frame in the replay window.
    pub fn record_if_new(&mut self, id: &MemberId, incarnation: Incarnation, counter: u64) -> bool {
        match self.entries.get_mut(id) {
            Some(entry) if entry.record.state_version.incarnation == incarnation => {
                entry.window.record_if_new(counter)
            }
            _ => true,
        }
    }

    /// Removes the members that have been down or left for `retention`. The addresses of those that were down are kept.
    pub fn remove_expired(&mut self, now: Micros, retention: Micros) {
        if now < self.next_expiry {
            return;
        }
        let is_expired = |e: &MemberEntry| !e.state().is_live() && now.saturating_sub(e.since) >= retention;
        let expired: Vec<MemberId> =
            self.entries.iter().filter(|(_, e)| is_expired(e)).map(|(id, _)| id.clone()).collect();
        for id in expired {
            self.remove(&id);
        }
        let next = self.entries.values().filter(|e| !e.state().is_live()).map(|e| e.since).min();
        self.next_expiry = next.map_or(Micros::MAX, |since| since.saturating_add(retention));
    }

    fn remove(&mut self, id: &MemberId) {
        if let Some(entry) = self.entries.remove(id) {
            self.digest ^= entry.digest;
            self.update_counters(id, Some(entry.state()), None);
            if let Some(key) = entry.queue_key {
                self.queue.remove(&key);
            }
            // A member that left is not contacted again.
            if entry.state() == MemberState::Down {
                self.removed_addresses.push_back((id.clone(), entry.record.info.address));
                if self.removed_addresses.len() > MAX_REMOVED_ADDRESSES {
                    self.removed_addresses.pop_front();
                }
            }
        }
    }

    /// Digest of the live members and this one. It is equal on two members that have the same live members with the
    /// same incarnations and flags.
    pub fn digest(&self, me: &MemberRecord) -> u64 {
        self.digest ^ digest_of(me)
    }

    pub fn state_version(&self, id: &MemberId) -> Option<StateVersion> {
        self.entries.get(id).map(|e| e.record.state_version)
    }
}

/// FNV-1a over the fields that have to agree, then a finalizer, so that the digests of similar ids do not cancel out in
/// the XOR.
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
