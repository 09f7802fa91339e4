//! Who does not answer: one member a period is asked, directly and then through helpers; who fails both is suspect, and
//! down when neither it nor anybody for it has refuted that in time. The time shrinks as others confirm the suspicion, and grows
//! with the fleet; one that trusts itself less asks more slowly and waits longer (Lifeguard).

use std::net::SocketAddr;

use super::table::Entry;
use super::{Out, To, View, to};
use crate::Micros;
use crate::member::{MemberId, Record, State};
use crate::wire::Kind;

/// The least that this one trusts itself.
pub(super) const HEALTH_MOST: u32 = 4;
/// Who asks a member for us.
const HELPERS: usize = 3;
/// They were heard within so many periods.
const HEARD: u64 = 8;
/// Questions that are out at a time besides the first, one for four suspects.
const MORE: usize = 3;
/// Most that are asked for others at a time; at the bound further ones are not.
const HELPED_MOST: usize = 64;
/// A suspect has so many periods to refute it, times the logarithm of the fleet's size, with all confirmations ...
const SUSPICION: f64 = 4.0;
/// ... and so many times more with none.
const ALONE: f64 = 3.0;
/// So many suspects are asked for a last word in a period, those that have waited longest first.
const LAST_WORDS: usize = 32;

/// The question that is out.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    id: u64,
    target: MemberId,
    address: SocketAddr,
    /// Helpers are asked from here on.
    indirect: Micros,
    deadline: Micros,
    helpers: usize,
    nacks: usize,
}

/// A question that is out for another.
#[derive(Clone, Debug)]
pub(super) struct Helped {
    id: u64,
    asker: Record,
    /// The asker's number for it.
    its: u64,
    deadline: Micros,
}

impl View {
    /// Goes on with the question that is out, judges suspects, and asks the next.
    pub(super) fn judge(&mut self, now: Micros, out: &mut Vec<Out>) {
        self.nack_overdue(now, out);
        for n in 0..self.asked.len() {
            if self.asked[n].helpers == 0 && now >= self.asked[n].indirect {
                self.ask_helpers(now, n, out);
            }
        }
        while let Some(at) = self.asked.iter().position(|p| now >= p.deadline) {
            let failed = self.asked.swap_remove(at);
            self.fail(now, &failed, out);
        }
        self.bury(now, out);
        self.ask_for_last_words(now, out);
        if now >= self.next_probe && self.asked.is_empty() {
            let period = self.set.period * u64::from(self.health + 1);
            self.next_probe = now + period;
            // Where many fall silent at once, one question a period would take a turn of the whole fleet to find them.
            for _ in 0..1 + (self.table.suspects.len() / 4).min(MORE) {
                self.ask_next(now, period, out);
            }
        }
    }

    fn ask_next(&mut self, now: Micros, period: Micros, out: &mut Vec<Out>) {
        for _ in 0..2 {
            while let Some(target) = self.round.pop_front() {
                let Some(entry) = self.table.get(&target).filter(|e| e.state().live()) else { continue };
                let address = entry.record.news.address;
                let id = self.new_probe();
                let (indirect, deadline) = (now + period * 2 / 5, now + period * 9 / 10);
                let to = To::Member(target.clone(), address);
                self.asked.push(Probe { id, target, address, indirect, deadline, helpers: 0, nacks: 0 });
                return self.send(now, Kind::Ping, to, None, id, None, out);
            }
            // Everyone in turn, each turn in another order: none waits longer than two turns.
            let mut all: Vec<MemberId> = self.table.entries.keys().cloned().collect();
            for n in (1..all.len()).rev() {
                let other = self.draw(n as u64 + 1) as usize;
                all.swap(n, other);
            }
            self.round = all.into();
        }
    }

    fn ask_helpers(&mut self, now: Micros, n: usize, out: &mut Vec<Out>) {
        let probe = self.asked[n].clone();
        let helpers = self.helpers(now, &probe.target);
        // Where there is none, the time goes on all the same.
        (self.asked[n].helpers, self.asked[n].indirect) = (helpers.len(), probe.deadline);
        // Once more by the straight way too: on a lossy link that is the better half of the helpers' work.
        let straight = To::Member(probe.target.clone(), probe.address);
        self.send(now, Kind::Ping, straight, None, probe.id, None, out);
        for to in helpers {
            let target = Some((probe.target.clone(), probe.address));
            self.send(now, Kind::Ask, to, None, probe.id, target, out);
        }
    }

    /// Drawn among those that were heard of late, if there are any: the others may be behind the same cut.
    fn helpers(&mut self, now: Micros, target: &MemberId) -> Vec<To> {
        let recent = |at: Micros| now.saturating_sub(at) <= self.set.period * HEARD;
        let heard = |e: &Entry| e.state() == State::Alive && e.heard.is_some_and(recent);
        let fit = self.table.entries.iter().filter(|(id, e)| *id != target && heard(e));
        let fit: Vec<To> = fit.map(|(id, e)| To::Member(id.clone(), e.record.news.address)).collect();
        if fit.is_empty() { self.some_live(HELPERS, Some(target)) } else { self.drawn(fit, HELPERS) }
    }

    /// The question was answered, by whomever.
    pub(super) fn acked(&mut self, probe: u64) {
        if let Some(at) = self.asked.iter().position(|p| p.id == probe) {
            self.asked.swap_remove(at);
            self.health = self.health.saturating_sub(1);
        }
    }

    /// A helper is there, and the target did not answer it.
    pub(super) fn declined(&mut self, probe: u64) {
        if let Some(p) = self.asked.iter_mut().find(|p| p.id == probe) {
            p.nacks += 1;
        }
    }

    fn fail(&mut self, now: Micros, probe: &Probe, out: &mut Vec<Out>) {
        // Helpers that say nothing either are a sign that it is this one that is not heard, or does not hear.
        let unheard = probe.nacks < probe.helpers || probe.helpers == 0 && self.table.live > 1;
        if unheard && now.saturating_sub(self.worse_at) >= self.set.period / 2 {
            self.worse_at = now;
            self.health = (self.health + 1).min(HEALTH_MOST);
        }
        if self.doubts(now) {
            return;
        }
        let me = self.set.id.clone();
        let Some(entry) = self.table.get(&probe.target) else { return };
        let mut record = entry.record.clone();
        match record.stamp.state {
            State::Alive => {
                record.stamp.state = State::Suspect;
                record.by = Some(me);
                self.learn(now, record.clone(), out);
            }
            State::Suspect => {
                self.table.confirm(&probe.target, &me);
            }
            State::Down | State::Left => return,
        }
        // It hears at once what is said of it.
        let number = self.new_probe();
        self.send(now, Kind::Ping, to(&record), None, number, None, out);
    }

    /// How long a suspect has, by how many doubt it.
    fn patience(&self, doubters: usize) -> Micros {
        let size = self.table.live + 1;
        let least = SUSPICION * (size.max(10) as f64).log10();
        let wanted = size.saturating_sub(2).min(3);
        let most = least * ALONE;
        let periods = if wanted == 0 {
            least
        } else {
            let share = (doubters as f64).ln() / (wanted as f64 + 1.0).ln();
            (most - (most - least) * share).max(least)
        };
        (periods * self.set.period as f64) as Micros
    }

    fn bury(&mut self, now: Micros, out: &mut Vec<Out>) {
        if self.table.suspects.is_empty() || self.doubts(now) {
            return;
        }
        let suspects = self.table.suspected();
        let over: Vec<Record> = suspects
            .filter(|(_, _, s)| now >= s.since + self.patience(s.by.len().max(1)))
            .map(|(_, e, _)| e.record.clone())
            .collect();
        for mut record in over {
            record.stamp.state = State::Down;
            record.by = Some(self.set.id.clone());
            self.learn(now, record, out);
        }
    }

    /// Who has had half of its time is asked itself, once a period: its refutation may have passed this member by, since gossip
    /// reaches all of some hundreds only nearly always. Such a question carries no news of others: most go to the dead, and
    /// would use up how often those are told.
    fn ask_for_last_words(&mut self, now: Micros, out: &mut Vec<Out>) {
        if self.table.suspects.is_empty() || self.doubts(now) {
            return;
        }
        let mut due: Vec<(Micros, MemberId)> = self
            .table
            .suspected()
            .filter(|(_, _, s)| now >= s.asked + self.set.period)
            .filter(|(_, _, s)| now >= s.since + self.patience(s.by.len().max(1)) / 2)
            .map(|(id, _, s)| (s.asked, id.clone()))
            .collect();
        due.sort();
        for (_, id) in due.into_iter().take(LAST_WORDS / super::TICKS as usize) {
            let Some(entry) = self.table.entries.get_mut(&id) else { continue };
            if let Some(suspicion) = &mut entry.suspicion {
                suspicion.asked = now;
            }
            let (whom, record) = (to(&entry.record), entry.record.clone());
            let number = self.new_probe();
            let bare = self.frame_with(now, Kind::Ping, Some((&id, record.stamp.life)), number, Vec::new());
            out.push(Out::Datagram(whom, Box::new(bare)));
        }
    }

    /// Asks a member for another.
    pub(super) fn help(
        &mut self,
        now: Micros,
        asker: &Record,
        its: u64,
        target: Option<(MemberId, SocketAddr)>,
        out: &mut Vec<Out>,
    ) {
        let Some((target, address)) = target.filter(|(id, _)| *id != self.set.id) else { return };
        if self.helped.len() >= HELPED_MOST {
            return; // the asker takes it for a helper that is not there
        }
        let id = self.new_probe();
        let deadline = now + self.set.period * 2 / 5;
        self.helped.push(Helped { id, asker: asker.clone(), its, deadline });
        self.send(now, Kind::Ping, To::Member(target, address), None, id, None, out);
    }

    /// An answer for another is passed on to it.
    pub(super) fn pass_ack(&mut self, now: Micros, sender: &Record, probe: u64, out: &mut Vec<Out>) {
        let Some(at) = self.helped.iter().position(|h| h.id == probe) else { return };
        let helped = self.helped.swap_remove(at);
        let known = Some((&helped.asker.id, helped.asker.stamp.life));
        let mut frame = self.frame(now, Kind::Ack, known, helped.its);
        frame.records.retain(|r| r.id != sender.id);
        frame.records.push(sender.clone());
        out.push(Out::Datagram(to(&helped.asker), Box::new(frame)));
    }

    fn nack_overdue(&mut self, now: Micros, out: &mut Vec<Out>) {
        while let Some(at) = self.helped.iter().position(|h| now >= h.deadline) {
            let helped = self.helped.swap_remove(at);
            self.send(now, Kind::Nack, to(&helped.asker), Some(&helped.asker), helped.its, None, out);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::view::Setup;
    use crate::wire::example;

    #[test]
    fn more_doubters_make_it_quicker_and_a_larger_fleet_slower() {
        let setup = Setup {
            id: MemberId::new("me").unwrap(),
            zone: "".into(),
            version: "".into(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            seeds: Vec::new(),
            known: Vec::new(),
            period: 1000,
            memory: 1_000_000,
            nonce: 1,
        };
        let mut view = View::new(0, setup, 1);
        for n in 0..9 {
            view.table.put(0, example(&format!("m{n}"), 1, 0, State::Alive));
        }
        let times: Vec<Micros> = (1..=4).map(|doubters| view.patience(doubters)).collect();
        assert!(times.is_sorted_by(|a, b| a > b), "{times:?}");
        assert_eq!((times[0], times[3]), (12_000, 4_000));
        for n in 9..99 {
            view.table.put(0, example(&format!("m{n}"), 1, 0, State::Alive));
        }
        assert_eq!(view.patience(4), 8_000);
    }
}
