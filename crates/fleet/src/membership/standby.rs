//! Standby: a process that has yielded to a newer start under its id sends no gossip, and queries periodically whether
//! the id is free again.

use super::*;

impl Membership {
    /// Handles a frame in standby: only answers to the id query are used. This process may be another member's seed, so
    /// a first ping without a target is forwarded once to the newer start.
    pub(super) fn handle_frame_in_standby(&mut self, now: Micros, mut frame: Frame, out: &mut Vec<Action>) {
        if let (FrameKind::Ping, 0, None, Some(duplicate)) =
            (frame.kind, frame.receiver_nonce, &frame.target, self.duplicate)
            && frame.from.id != self.config.id
        {
            frame.target = Some((self.config.id.clone(), duplicate.address));
            return out.push(Action::Datagram(Destination::Address(duplicate.address), Box::new(frame)));
        }
        if frame.kind != FrameKind::Ack
            || frame.probe_id != self.last_probe_id
            || frame.receiver_nonce != self.incarnation.nonce
        {
            self.drop_counters.in_standby += 1;
            return;
        }
        // The id is free if it is down, left or unknown, whatever its incarnation, since all other members may have
        // restarted in the meantime. If the answer was outdated, the two processes decide again.
        if frame.receiver_version.is_none_or(|version| !version.state.is_live()) {
            let generation = frame.receiver_version.map_or(0, |version| version.incarnation.generation);
            self.incarnation.generation = generation.max(self.incarnation.generation) + 1;
            self.last_duplicate_address = self.duplicate.take().map(|duplicate| duplicate.address);
            self.is_standby = false;
            self.superseded.clear();
            self.last_tick = now;
            out.push(Action::Notify(Event::Resumed));
            self.record_change(now);
            self.rediscover_members(now, out);
        }
    }

    pub(super) fn answer_query(&mut self, now: Micros, frame: &Frame, out: &mut Vec<Action>) {
        if self.is_standby {
            return;
        }
        if frame.from.id == self.config.id {
            return; // this process is the newer start; the other learns of it from other members
        }
        let mut answer = self.new_frame(
            now,
            FrameKind::Ack,
            Some((&frame.from.id, frame.from.state_version.incarnation)),
            frame.probe_id,
        );
        answer.records.clear();
        out.push(Action::Datagram(Destination::Sender, Box::new(answer)));
    }

    pub(super) fn query_own_id(&mut self, now: Micros, out: &mut Vec<Action>) {
        if now < self.next_rediscovery {
            return;
        }
        self.next_rediscovery = now + self.config.period * STANDBY_QUERY_PERIODS;
        self.next_probe_id();
        let mut destinations = self.random_live(2, None);
        destinations.extend(self.config.seeds.iter().take(4).map(|at| Destination::Address(*at)));
        for to in destinations {
            let mut frame = self.new_frame(now, FrameKind::IdQuery, None, self.last_probe_id);
            frame.records.clear();
            out.push(Action::Datagram(to, Box::new(frame)));
        }
    }
}
