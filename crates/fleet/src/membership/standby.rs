//! Standby: a process that has yielded to a newer start under its id is silent in the fleet, and asks now and then whether the id is
//! free again.

use super::*;

impl Membership {
    /// In standby only answers about the own id count. This process may be somebody's seed: first pings are forwarded to the newer
    /// start, once.
    pub(super) fn handle_frame_in_standby(&mut self, now: Micros, mut frame: Frame, out: &mut Vec<Action>) {
        if let (FrameKind::Ping, 0, None, Some(duplicate)) =
            (frame.kind, frame.receiver_nonce, &frame.target, self.duplicate)
            && frame.from.id != self.config.id
        {
            frame.target = Some((self.config.id.clone(), duplicate.address));
            return out.push(Action::Datagram(Destination::Address(duplicate.address), Box::new(frame)));
        }
        if frame.kind != FrameKind::Ack
            || frame.probe_id != self.last_probe
            || frame.receiver_nonce != self.incarnation.nonce
        {
            self.drop_counters.in_standby += 1;
            return;
        }
        // Down, left or forgotten; of whichever incarnation, since the others may all have started anew meanwhile. Where the answer was
        // a late one, the two settle it again.
        if frame.receiver_version.is_none_or(|you| !you.state.is_live()) {
            let held = frame.receiver_version.map_or(0, |you| you.incarnation.generation);
            self.incarnation.generation = held.max(self.incarnation.generation) + 1;
            self.last_duplicate_address = self.duplicate.take().map(|duplicate| duplicate.address);
            self.is_standby = false;
            self.superseded.clear();
            self.last_tick = now;
            out.push(Action::Notify(Event::Resumed));
            self.record_change(now);
            self.search_unseen(now, out);
        }
    }

    pub(super) fn answer_query(&mut self, now: Micros, frame: &Frame, out: &mut Vec<Action>) {
        if self.is_standby {
            return;
        }
        if frame.from.id == self.config.id {
            return; // it is this one that it stands by for, and hears of it from others
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
        if now < self.next_reach {
            return;
        }
        self.next_reach = now + self.config.period * STANDBY_QUERY_PERIODS;
        self.next_probe_number();
        let mut goes = self.random_live(2, None);
        goes.extend(self.config.seeds.iter().take(4).map(|at| Destination::Address(*at)));
        for to in goes {
            let mut frame = self.new_frame(now, FrameKind::IdQuery, None, self.last_probe);
            frame.records.clear();
            out.push(Action::Datagram(to, Box::new(frame)));
        }
    }
}
