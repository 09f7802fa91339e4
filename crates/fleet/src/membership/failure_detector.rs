//! The failure detector: one member a period is pinged, directly and then through helpers; one that fails both is suspect, and down
//! when neither it nor anybody for it has refuted that in time. The time shrinks as others confirm the suspicion, and grows with
//! the fleet; a process that trusts itself less probes more slowly and waits longer (Lifeguard).

use std::net::SocketAddr;

use super::table::MemberEntry;
use super::{Action, Destination, Membership, to};
use crate::Micros;
use crate::codec::FrameKind;
use crate::member::{MemberId, MemberRecord, MemberState};

/// The most that a process distrusts itself.
pub(super) const MAX_DISTRUST: u32 = 4;
/// How many members ping another for us.
const HELPERS: usize = 3;
/// They were heard within so many periods.
const HELPER_HEARD_PERIODS: u64 = 8;
/// Maximum number of probes at a time besides the first, one for four suspects.
const MAX_EXTRA_PROBES: usize = 3;
/// Maximum number of indirect probes for others at a time; at the bound further ones are not sent.
const MAX_INDIRECT_PROBES: usize = 64;
/// A suspect has so many periods to refute it, times the logarithm of the fleet's size, with all confirmations ...
const MIN_SUSPICION_PERIODS: f64 = 4.0;
/// ... and so many times more with none.
const UNCONFIRMED_FACTOR: f64 = 3.0;
/// So many suspects are probed a last time in a period, those that have waited longest first.
const MAX_LAST_PROBES_PER_PERIOD: usize = 32;

/// A probe without an answer.
#[derive(Clone, Debug)]
pub(super) struct PendingProbe {
    id: u64,
    target: MemberId,
    address: SocketAddr,
    /// Helpers are asked from here on.
    indirect: Micros,
    deadline: Micros,
    helpers: usize,
    nacks: usize,
}

/// A probe on behalf of another member.
#[derive(Clone, Debug)]
pub(super) struct IndirectProbe {
    id: u64,
    requester: MemberRecord,
    /// The requester's number for it.
    requester_probe: u64,
    deadline: Micros,
}

impl Membership {
    /// Goes on with the pending probes, judges suspects, and sends the next probe.
    pub(super) fn detect_failures(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.send_overdue_nacks(now, out);
        for n in 0..self.pending_probes.len() {
            if self.pending_probes[n].helpers == 0 && now >= self.pending_probes[n].indirect {
                self.probe_indirectly(now, n, out);
            }
        }
        while let Some(at) = self.pending_probes.iter().position(|p| now >= p.deadline) {
            let failed = self.pending_probes.swap_remove(at);
            self.handle_probe_failure(now, &failed, out);
        }
        self.declare_down(now, out);
        self.probe_expiring_suspects(now, out);
        if now >= self.next_probe && self.pending_probes.is_empty() {
            let period = self.config.period * u64::from(self.distrust + 1);
            self.next_probe = now + period;
            // Where many fall silent at once, one question a period would take a turn of the whole fleet to find them.
            for _ in 0..1 + (self.table.suspect_ids.len() / 4).min(MAX_EXTRA_PROBES) {
                self.probe_next(now, period, out);
            }
        }
    }

    fn probe_next(&mut self, now: Micros, period: Micros, out: &mut Vec<Action>) {
        for _ in 0..2 {
            while let Some(target) = self.probe_order.pop_front() {
                let Some(entry) = self.table.get(&target).filter(|e| e.state().is_live()) else { continue };
                let address = entry.record.info.address;
                let id = self.next_probe_number();
                let (indirect, deadline) = (now + period * 2 / 5, now + period * 9 / 10);
                let to = Destination::Member(target.clone(), address);
                self.pending_probes.push(PendingProbe {
                    id,
                    target,
                    address,
                    indirect,
                    deadline,
                    helpers: 0,
                    nacks: 0,
                });
                return self.send_frame(now, FrameKind::Ping, to, None, id, None, out);
            }
            // Everyone in turn, each turn in another order: none waits longer than two turns.
            let mut all: Vec<MemberId> = self.table.entries.keys().cloned().collect();
            for n in (1..all.len()).rev() {
                let other = self.random_below(n as u64 + 1) as usize;
                all.swap(n, other);
            }
            self.probe_order = all.into();
        }
    }

    fn probe_indirectly(&mut self, now: Micros, n: usize, out: &mut Vec<Action>) {
        let probe = self.pending_probes[n].clone();
        let helpers = self.helpers(now, &probe.target);
        // Where there is none, the time goes on all the same.
        (self.pending_probes[n].helpers, self.pending_probes[n].indirect) = (helpers.len(), probe.deadline);
        // Once more by the straight way too: on a lossy link that is the better half of the helpers' work.
        let straight = Destination::Member(probe.target.clone(), probe.address);
        self.send_frame(now, FrameKind::Ping, straight, None, probe.id, None, out);
        for to in helpers {
            let target = Some((probe.target.clone(), probe.address));
            self.send_frame(now, FrameKind::PingRequest, to, None, probe.id, target, out);
        }
    }

    /// Drawn among those that were heard of late, if there are any: the others may be behind the same cut.
    fn helpers(&mut self, now: Micros, target: &MemberId) -> Vec<Destination> {
        let recent = |at: Micros| now.saturating_sub(at) <= self.config.period * HELPER_HEARD_PERIODS;
        let heard = |e: &MemberEntry| e.state() == MemberState::Alive && e.last_heard.is_some_and(recent);
        let fit = self.table.entries.iter().filter(|(id, e)| *id != target && heard(e));
        let fit: Vec<Destination> =
            fit.map(|(id, e)| Destination::Member(id.clone(), e.record.info.address)).collect();
        if fit.is_empty() {
            self.random_live(HELPERS, Some(target))
        } else {
            self.choose_random(fit, HELPERS)
        }
    }

    /// A probe was answered, directly or through a helper.
    pub(super) fn handle_ack(&mut self, probe: u64) {
        if let Some(at) = self.pending_probes.iter().position(|p| p.id == probe) {
            self.pending_probes.swap_remove(at);
            self.distrust = self.distrust.saturating_sub(1);
        }
    }

    /// A helper is there, and the target did not answer it.
    pub(super) fn handle_nack(&mut self, probe: u64) {
        if let Some(p) = self.pending_probes.iter_mut().find(|p| p.id == probe) {
            p.nacks += 1;
        }
    }

    fn handle_probe_failure(&mut self, now: Micros, probe: &PendingProbe, out: &mut Vec<Action>) {
        // Helpers that say nothing either are a sign that it is this one that is not heard, or does not hear.
        let unheard = probe.nacks < probe.helpers || probe.helpers == 0 && self.table.live > 1;
        if unheard && now.saturating_sub(self.distrusted_at) >= self.config.period / 2 {
            self.distrusted_at = now;
            self.distrust = (self.distrust + 1).min(MAX_DISTRUST);
        }
        if self.is_doubting(now) {
            return;
        }
        let me = self.config.id.clone();
        let Some(entry) = self.table.get(&probe.target) else { return };
        let mut record = entry.record.clone();
        match record.state_version.state {
            MemberState::Alive => {
                record.state_version.state = MemberState::Suspect;
                record.reported_by = Some(me);
                self.merge_record(now, record.clone(), out);
            }
            MemberState::Suspect => {
                self.table.confirm(&probe.target, &me);
            }
            MemberState::Down | MemberState::Left => return,
        }
        // It hears at once what is said of it.
        let number = self.next_probe_number();
        self.send_frame(now, FrameKind::Ping, to(&record), None, number, None, out);
    }

    /// How long a suspect has to refute the suspicion, by how many suspect it.
    fn suspicion_timeout(&self, doubters: usize) -> Micros {
        let size = self.table.live + 1;
        let min = MIN_SUSPICION_PERIODS * (size.max(10) as f64).log10();
        let wanted = size.saturating_sub(2).min(3);
        let max = min * UNCONFIRMED_FACTOR;
        let periods = if wanted == 0 {
            min
        } else {
            let share = (doubters as f64).ln() / (wanted as f64 + 1.0).ln();
            (max - (max - min) * share).max(min)
        };
        (periods * self.config.period as f64) as Micros
    }

    fn declare_down(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self.table.suspect_ids.is_empty() || self.is_doubting(now) {
            return;
        }
        let suspects = self.table.suspects();
        let over: Vec<MemberRecord> = suspects
            .filter(|(_, _, s)| now >= s.since + self.suspicion_timeout(s.reporters.len().max(1)))
            .map(|(_, e, _)| e.record.clone())
            .collect();
        for mut record in over {
            record.state_version.state = MemberState::Down;
            record.reported_by = Some(self.config.id.clone());
            self.merge_record(now, record, out);
        }
    }

    /// Who has had half of its time is asked itself, once a period: its refutation may have passed this member by, since gossip
    /// reaches all of some hundreds only nearly always. Such a question carries no news of others: most go to the dead, and
    /// would use up how often those are told.
    fn probe_expiring_suspects(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self.table.suspect_ids.is_empty() || self.is_doubting(now) {
            return;
        }
        let mut due: Vec<(Micros, MemberId)> = self
            .table
            .suspects()
            .filter(|(_, _, s)| now >= s.last_probed + self.config.period)
            .filter(|(_, _, s)| now >= s.since + self.suspicion_timeout(s.reporters.len().max(1)) / 2)
            .map(|(id, _, s)| (s.last_probed, id.clone()))
            .collect();
        due.sort();
        for (_, id) in due.into_iter().take(MAX_LAST_PROBES_PER_PERIOD / super::TICKS_PER_PERIOD as usize) {
            let Some(entry) = self.table.entries.get_mut(&id) else { continue };
            if let Some(suspicion) = &mut entry.suspicion {
                suspicion.last_probed = now;
            }
            let (whom, record) = (to(&entry.record), entry.record.clone());
            let number = self.next_probe_number();
            let bare = self.new_frame_with(
                now,
                FrameKind::Ping,
                Some((&id, record.state_version.incarnation)),
                number,
                Vec::new(),
            );
            out.push(Action::Datagram(whom, Box::new(bare)));
        }
    }

    /// Pings a member for another.
    pub(super) fn handle_ping_request(
        &mut self,
        now: Micros,
        requester: &MemberRecord,
        requester_probe: u64,
        target: Option<(MemberId, SocketAddr)>,
        out: &mut Vec<Action>,
    ) {
        let Some((target, address)) = target.filter(|(id, _)| *id != self.config.id) else { return };
        if self.indirect_probes.len() >= MAX_INDIRECT_PROBES {
            return; // the requester takes it for a helper that is not there
        }
        let id = self.next_probe_number();
        let deadline = now + self.config.period * 2 / 5;
        self.indirect_probes.push(IndirectProbe {
            id,
            requester: requester.clone(),
            requester_probe,
            deadline,
        });
        self.send_frame(now, FrameKind::Ping, Destination::Member(target, address), None, id, None, out);
    }

    /// An answer for another is passed on to it.
    pub(super) fn forward_ack(
        &mut self,
        now: Micros,
        sender: &MemberRecord,
        probe: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(at) = self.indirect_probes.iter().position(|h| h.id == probe) else { return };
        let helped = self.indirect_probes.swap_remove(at);
        let known = Some((&helped.requester.id, helped.requester.state_version.incarnation));
        let mut frame = self.new_frame(now, FrameKind::Ack, known, helped.requester_probe);
        frame.records.retain(|r| r.id != sender.id);
        frame.records.push(sender.clone());
        out.push(Action::Datagram(to(&helped.requester), Box::new(frame)));
    }

    fn send_overdue_nacks(&mut self, now: Micros, out: &mut Vec<Action>) {
        while let Some(at) = self.indirect_probes.iter().position(|h| now >= h.deadline) {
            let helped = self.indirect_probes.swap_remove(at);
            self.send_frame(
                now,
                FrameKind::Nack,
                to(&helped.requester),
                Some(&helped.requester),
                helped.requester_probe,
                None,
                out,
            );
        }
    }
}

#[cfg(test)]
mod tests;
