//! Frames that go out, and random choices among members.

use super::*;

impl Membership {
    pub(super) fn own_record(&self, now: Micros) -> MemberRecord {
        let state_version = StateVersion { incarnation: self.incarnation, seq: self.seq, state: self.state };
        let info = MemberInfo { uptime: now - self.started, ..self.info.clone() };
        MemberRecord { id: self.config.id.clone(), state_version, reported_by: None, state_age: 0, info }
    }

    pub(super) fn new_frame(
        &mut self,
        now: Micros,
        kind: FrameKind,
        to: Option<(&MemberId, Incarnation)>,
        probe: u64,
    ) -> Frame {
        let records = self.table.take_gossip(now);
        self.new_frame_with(now, kind, to, probe, records)
    }

    pub(super) fn new_frame_with(
        &mut self,
        now: Micros,
        kind: FrameKind,
        to: Option<(&MemberId, Incarnation)>,
        probe: u64,
        mut records: Vec<MemberRecord>,
    ) -> Frame {
        self.counter += 1;
        let you = to.and_then(|(id, _)| self.table.state_version(id));
        // Whoever is not the one that we hold under its id has to hear of that one.
        if let (Some((id, incarnation)), Some(you)) = (to, you)
            && you.incarnation != incarnation
            && let Some(record) = self.table.current_record(now, id)
        {
            records.retain(|r| r.id != *id);
            records.push(record);
        }
        Frame {
            kind,
            from: self.own_record(now),
            receiver_nonce: to.map_or(0, |(_, incarnation)| incarnation.nonce),
            counter: self.counter,
            probe_id: probe,
            target: None,
            receiver_version: you,
            digest: self.digest(now),
            records,
        }
    }

    /// Sends a frame; `known` is the receiver as its own frame told it, otherwise it is as the table has it.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn send_frame(
        &mut self,
        now: Micros,
        kind: FrameKind,
        to: Destination,
        known: Option<&MemberRecord>,
        probe: u64,
        target: Option<(MemberId, SocketAddr)>,
        out: &mut Vec<Action>,
    ) {
        let held = match (&to, known) {
            (_, Some(record)) => Some((record.id.clone(), record.state_version.incarnation)),
            (Destination::Member(id, _), None) => {
                self.table.state_version(id).map(|state_version| (id.clone(), state_version.incarnation))
            }
            (Destination::Address(_) | Destination::Sender, None) => None,
        };
        // One that is down may have started anew since: it is greeted as whoever it is now.
        let down = known.is_none() && held.as_ref().is_some_and(|(id, _)| !self.is_live(id));
        let mut frame =
            self.new_frame(now, kind, held.as_ref().map(|(id, incarnation)| (id, *incarnation)), probe);
        if down {
            frame.receiver_nonce = 0;
        }
        frame.target = target;
        out.push(Action::Datagram(to, Box::new(frame)));
    }

    pub(super) fn is_live(&self, id: &MemberId) -> bool {
        self.table.get(id).is_some_and(|e| e.state().is_live())
    }

    pub(super) fn next_probe_number(&mut self) -> u64 {
        self.last_probe = self.last_probe.wrapping_add(1);
        self.last_probe
    }

    pub(super) fn random_below(&mut self, below: u64) -> u64 {
        if below == 0 { 0 } else { self.rng.next_u64() % below }
    }

    /// Random live members, `count` at most, without one.
    pub(super) fn random_live(&mut self, count: usize, without: Option<&MemberId>) -> Vec<Destination> {
        let live = self.table.entries.iter().filter(|(id, e)| e.state().is_live() && Some(*id) != without);
        let all = live.map(|(id, e)| Destination::Member(id.clone(), e.record.info.address)).collect();
        self.choose_random(all, count)
    }

    /// Chooses `count` of these at random.
    pub(super) fn choose_random(&mut self, mut all: Vec<Destination>, count: usize) -> Vec<Destination> {
        for n in 0..count.min(all.len()) {
            let other = n + self.random_below((all.len() - n) as u64) as usize;
            all.swap(n, other);
        }
        all.truncate(count);
        all
    }
}
