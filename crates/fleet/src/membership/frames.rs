//! Construction of outgoing frames, and random choices among members.

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
        probe_id: u64,
    ) -> Frame {
        let records = self.table.take_gossip(now);
        self.new_frame_with(now, kind, to, probe_id, records)
    }

    pub(super) fn new_frame_with(
        &mut self,
        now: Micros,
        kind: FrameKind,
        to: Option<(&MemberId, Incarnation)>,
        probe_id: u64,
        mut records: Vec<MemberRecord>,
    ) -> Frame {
        self.counter += 1;
        let receiver_version = to.and_then(|(id, _)| self.table.state_version(id));
        // A receiver whose incarnation differs from the one in the table must be informed of that one.
        if let (Some((id, incarnation)), Some(version)) = (to, receiver_version)
            && version.incarnation != incarnation
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
            probe_id,
            target: None,
            receiver_version,
            digest: self.digest(now),
            records,
        }
    }

    /// Sends a frame. `known` is the receiver's record from its own frame; without it, the table's record is used.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn send_frame(
        &mut self,
        now: Micros,
        kind: FrameKind,
        to: Destination,
        known: Option<&MemberRecord>,
        probe_id: u64,
        target: Option<(MemberId, SocketAddr)>,
        out: &mut Vec<Action>,
    ) {
        let receiver = match (&to, known) {
            (_, Some(record)) => Some((record.id.clone(), record.state_version.incarnation)),
            (Destination::Member(id, _), None) => {
                self.table.state_version(id).map(|state_version| (id.clone(), state_version.incarnation))
            }
            (Destination::Address(_) | Destination::Sender, None) => None,
        };
        // A member that is down may have restarted since, so the frame is addressed to any incarnation.
        let is_down = known.is_none() && receiver.as_ref().is_some_and(|(id, _)| !self.is_live(id));
        let mut frame = self.new_frame(
            now,
            kind,
            receiver.as_ref().map(|(id, incarnation)| (id, *incarnation)),
            probe_id,
        );
        if is_down {
            frame.receiver_nonce = 0;
        }
        frame.target = target;
        out.push(Action::Datagram(to, Box::new(frame)));
    }

    pub(super) fn is_live(&self, id: &MemberId) -> bool {
        self.table.get(id).is_some_and(|e| e.state().is_live())
    }

    pub(super) fn next_probe_id(&mut self) -> u64 {
        self.last_probe_id = self.last_probe_id.wrapping_add(1);
        self.last_probe_id
    }

    pub(super) fn random_below(&mut self, limit: u64) -> u64 {
        if limit == 0 { 0 } else { self.rng.next_u64() % limit }
    }

    /// Chooses at most `count` random live members, excluding `excluded`.
    pub(super) fn random_live(&mut self, count: usize, excluded: Option<&MemberId>) -> Vec<Destination> {
        let live = self.table.entries.iter().filter(|(id, e)| e.state().is_live() && Some(*id) != excluded);
        let all = live.map(|(id, e)| Destination::Member(id.clone(), e.record.info.address)).collect();
        self.choose_random(all, count)
    }

    /// Chooses at most `count` of these at random.
    pub(super) fn choose_random(&mut self, mut all: Vec<Destination>, count: usize) -> Vec<Destination> {
        for n in 0..count.min(all.len()) {
            let other = n + self.random_below((all.len() - n) as u64) as usize;
            all.swap(n, other);
        }
        all.truncate(count);
        all
    }
}
