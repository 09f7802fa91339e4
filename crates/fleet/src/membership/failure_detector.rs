//! The failure detector. Each period one member is pinged, first directly and then through helpers. A member that
//! answers neither becomes a suspect, and is declared down unless the suspicion is refuted in time. The time shrinks as
//! other members confirm the suspicion and grows with the fleet. A process with a worse local health score probes less
//! often and waits longer for answers (Lifeguard).

use std::net::SocketAddr;

use super::table::MemberEntry;
use super::{Action, Destination, Membership, to};
use crate::Micros;
use crate::codec::FrameKind;
use crate::member::{MemberId, MemberRecord, MemberState};

/// Upper limit of the local health score.
pub(super) const MAX_LOCAL_HEALTH_SCORE: u32 = 4;
/// Number of helpers asked to ping a member indirectly.
const HELPERS: usize = 3;
/// Helpers are preferably members heard from within this many periods.
const HELPER_RECENT_PERIODS: u64 = 8;
/// Maximum number of additional concurrent probes; one is added for every four suspects.
const MAX_EXTRA_PROBES: usize = 3;
/// Maximum number of concurrent indirect probes for other members. Further requests are ignored.
const MAX_INDIRECT_PROBES: usize = 64;
/// Suspicion timeout with all confirmations, in periods, multiplied by the decimal logarithm of the fleet's size.
const MIN_SUSPICION_PERIODS: f64 = 4.0;
/// Factor by which the suspicion timeout is longer without any confirmation.
const UNCONFIRMED_FACTOR: f64 = 3.0;
/// Maximum number of suspects probed before expiry per period, those probed least recently first.
const MAX_LAST_PROBES_PER_PERIOD: usize = 32;

/// A probe that has not been answered yet.
#[derive(Clone, Debug)]
pub(super) struct PendingProbe {
    id: u64,
    target: MemberId,
    address: SocketAddr,
    /// Time from which helpers are asked.
    indirect_at: Micros,
    deadline: Micros,
    helpers: usize,
    nacks: usize,
}

/// A probe on behalf of another member.
#[derive(Clone, Debug)]
pub(super) struct IndirectProbe {
    id: u64,
    requester: MemberRecord,
    /// The requester's probe id.
    requester_probe_id: u64,
    deadline: Micros,
}

impl Membership {
    /// Advances the pending probes, declares expired suspects down, and sends the next probe.
    pub(super) fn detect_failures(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.send_overdue_nacks(now, out);
        for n in 0..self.pending_probes.len() {
            if self.pending_probes[n].helpers == 0 && now >= self.pending_probes[n].indirect_at {
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
            let period = self.config.period * u64::from(self.local_health_score + 1);
            self.next_probe = now + period;
            // When many members fail at once, one probe per period would need a full round over the fleet to find them.
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
                let id = self.next_probe_id();
                let (indirect_at, deadline) = (now + period * 2 / 5, now + period * 9 / 10);
                let to = Destination::Member(target.clone(), address);
                self.pending_probes.push(PendingProbe {
                    id,
                    target,
                    address,
                    indirect_at,
                    deadline,
                    helpers: 0,
                    nacks: 0,
                });
                return self.send_frame(now, FrameKind::Ping, to, None, id, None, out);
            }
            // Every member once per round, in a new random order each round, so that none waits longer than two rounds.
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
        // Without helpers the probe still runs until its deadline.
        (self.pending_probes[n].helpers, self.pending_probes[n].indirect_at) =
            (helpers.len(), probe.deadline);
        // Also retries the direct ping. On a lossy link this contributes more than the helpers do.
        let direct = Destination::Member(probe.target.clone(), probe.address);
        self.send_frame(now, FrameKind::Ping, direct, None, probe.id, None, out);
        for to in helpers {
            let target = Some((probe.target.clone(), probe.address));
            self.send_frame(now, FrameKind::PingRequest, to, None, probe.id, target, out);
        }
    }

    /// Chooses helpers at random, from the members heard from recently if there are any: the others may be behind the
    /// same partition as the target.
    fn helpers(&mut self, now: Micros, target: &MemberId) -> Vec<Destination> {
        let recent = |at: Micros| now.saturating_sub(at) <= self.config.period * HELPER_RECENT_PERIODS;
        let is_recently_heard =
            |e: &MemberEntry| e.state() == MemberState::Alive && e.last_heard.is_some_and(recent);
        let candidates = self.table.entries.iter().filter(|(id, e)| *id != target && is_recently_heard(e));
        let candidates: Vec<Destination> =
            candidates.map(|(id, e)| Destination::Member(id.clone(), e.record.info.address)).collect();
        if candidates.is_empty() {
            self.random_live(HELPERS, Some(target))
        } else {
            self.choose_random(candidates, HELPERS)
        }
    }

    /// Completes a probe that was answered directly or through a helper.
    pub(super) fn handle_ack(&mut self, probe_id: u64) {
        if let Some(at) = self.pending_probes.iter().position(|p| p.id == probe_id) {
            self.pending_probes.swap_remove(at);
            self.local_health_score = self.local_health_score.saturating_sub(1);
        }
    }

    /// Counts a helper's report that the target did not answer it.
    pub(super) fn handle_nack(&mut self, probe_id: u64) {
        if let Some(p) = self.pending_probes.iter_mut().find(|p| p.id == probe_id) {
            p.nacks += 1;
        }
    }

    fn handle_probe_failure(&mut self, now: Micros, probe: &PendingProbe, out: &mut Vec<Action>) {
        // Missing nacks suggest that this process itself fails to send or receive.
        let is_local_fault_likely = probe.nacks < probe.helpers || probe.helpers == 0 && self.table.live > 1;
        if is_local_fault_likely && now.saturating_sub(self.health_score_raised_at) >= self.config.period / 2
        {
            self.health_score_raised_at = now;
            self.local_health_score = (self.local_health_score + 1).min(MAX_LOCAL_HEALTH_SCORE);
        }
        if self.is_recovering_from_stall(now) {
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
                self.table.confirm_suspicion(&probe.target, &me);
            }
            MemberState::Down | MemberState::Left => return,
        }
        // Pings the suspect at once, so that it learns of the suspicion and can refute it.
        let probe_id = self.next_probe_id();
        self.send_frame(now, FrameKind::Ping, to(&record), None, probe_id, None, out);
    }

    /// How long a suspect has to refute the suspicion, given the number of members that reported it.
    fn suspicion_timeout(&self, reporters: usize) -> Micros {
        let size = self.table.live + 1;
        let min = MIN_SUSPICION_PERIODS * (size.max(10) as f64).log10();
        let expected_confirmations = size.saturating_sub(2).min(3);
        let max = min * UNCONFIRMED_FACTOR;
        let periods = if expected_confirmations == 0 {
            min
        } else {
            let share = (reporters as f64).ln() / (expected_confirmations as f64 + 1.0).ln();
            (max - (max - min) * share).max(min)
        };
        (periods * self.config.period as f64) as Micros
    }

    fn declare_down(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self.table.suspect_ids.is_empty() || self.is_recovering_from_stall(now) {
            return;
        }
        let suspects = self.table.suspects();
        let expired: Vec<MemberRecord> = suspects
            .filter(|(_, _, s)| now >= s.since + self.suspicion_timeout(s.reporters.len().max(1)))
            .map(|(_, e, _)| e.record.clone())
            .collect();
        for mut record in expired {
            record.state_version.state = MemberState::Down;
            record.reported_by = Some(self.config.id.clone());
            self.merge_record(now, record, out);
        }
    }

    /// Pings each suspect directly once per period after half of its suspicion timeout. Its refutation may not have
    /// reached this member, since gossip among several hundred members occasionally misses one. These pings carry no
    /// records about others: most go to dead members, and would use up the records' limited number of sends.
    fn probe_expiring_suspects(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self.table.suspect_ids.is_empty() || self.is_recovering_from_stall(now) {
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
            let (destination, record) = (to(&entry.record), entry.record.clone());
            let probe_id = self.next_probe_id();
            let frame = self.new_frame_with(
                now,
                FrameKind::Ping,
                Some((&id, record.state_version.incarnation)),
                probe_id,
                Vec::new(),
            );
            out.push(Action::Datagram(destination, Box::new(frame)));
        }
    }

    /// Pings the target of another member's ping request.
    pub(super) fn handle_ping_request(
        &mut self,
        now: Micros,
        requester: &MemberRecord,
        requester_probe_id: u64,
        target: Option<(MemberId, SocketAddr)>,
        out: &mut Vec<Action>,
    ) {
        let Some((target, address)) = target.filter(|(id, _)| *id != self.config.id) else { return };
        if self.indirect_probes.len() >= MAX_INDIRECT_PROBES {
            return; // the requester gets neither an ack nor a nack
        }
        let id = self.next_probe_id();
        let deadline = now + self.config.period * 2 / 5;
        self.indirect_probes.push(IndirectProbe {
            id,
            requester: requester.clone(),
            requester_probe_id,
            deadline,
        });
        self.send_frame(now, FrameKind::Ping, Destination::Member(target, address), None, id, None, out);
    }

    /// Forwards the answer to an indirect probe to its requester.
    pub(super) fn forward_ack(
        &mut self,
        now: Micros,
        sender: &MemberRecord,
        probe_id: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(at) = self.indirect_probes.iter().position(|p| p.id == probe_id) else { return };
        let probe = self.indirect_probes.swap_remove(at);
        let known = Some((&probe.requester.id, probe.requester.state_version.incarnation));
        let mut frame = self.new_frame(now, FrameKind::Ack, known, probe.requester_probe_id);
        frame.records.retain(|r| r.id != sender.id);
        frame.records.push(sender.clone());
        out.push(Action::Datagram(to(&probe.requester), Box::new(frame)));
    }

    fn send_overdue_nacks(&mut self, now: Micros, out: &mut Vec<Action>) {
        while let Some(at) = self.indirect_probes.iter().position(|p| now >= p.deadline) {
            let probe = self.indirect_probes.swap_remove(at);
            self.send_frame(
                now,
                FrameKind::Nack,
                to(&probe.requester),
                Some(&probe.requester),
                probe.requester_probe_id,
                None,
                out,
            );
        }
    }
}

#[cfg(test)]
mod tests;
