//! Whether a front takes clients: in service, sent away, or at its end. Pure: the time comes with each question.

use crate::Micros;

/// From the order on, fronts may still send new connections for this long: they ask ten times a second, and stop 0.2 s
/// after a no. What is closed earlier only comes again.
const SETTLE: Micros = 400_000;
/// From here on a connection that is never idle is made to fall idle: 4 s after the order it must have been without a
/// request for 2 s.
const TURN_AWAY: Micros = 1_200_000;
/// When a call that is turned away may come again; it will find another gatekeeper.
const COME_BACK: Micros = 100_000;

/// What a front does for clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Service {
    /// Since when the operators have it out of service.
    out: Option<Micros>,
    /// Since when the program ends.
    stopping: Option<Micros>,
}

impl Service {
    /// The operators say whether it is to be out of service. The same again changes nothing.
    pub fn order(&mut self, now: Micros, out: bool) {
        self.out = out.then(|| self.out.unwrap_or(now));
    }

    /// The program is told to end.
    pub fn stop(&mut self, now: Micros) {
        self.stopping.get_or_insert(now);
    }

    /// Clients are welcome.
    pub fn takes_clients(&self) -> bool {
        self.out.is_none() && self.stopping.is_none()
    }

    /// Since when the program ends.
    pub fn stopping(&self) -> Option<Micros> {
        self.stopping
    }

    /// Clients' connections are to be closed where nothing is open on them.
    pub fn sheds(&self, now: Micros) -> bool {
        self.out.is_some_and(|since| now >= since + SETTLE)
    }

    /// New calls are turned away, with when they may come again. `at_once`: there are no connections that clients
    /// keep to this gatekeeper, so nothing else has to come first.
    pub fn turns_away(&self, now: Micros, at_once: bool) -> Option<Micros> {
        let after = if at_once { 0 } else { TURN_AWAY };
        self.out.filter(|since| now >= since + after).map(|_| COME_BACK)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_order_holds_until_it_is_taken_back_and_counts_from_its_first_word() {
        let mut service = Service::default();
        assert!(service.takes_clients());
        service.order(5, true);
        service.order(9, true);
        assert!(!service.takes_clients());
        assert_eq!((service.sheds(4 + SETTLE), service.sheds(5 + SETTLE)), (false, true));
        assert_eq!(service.turns_away(4 + TURN_AWAY, false), None);
        assert_eq!(service.turns_away(5 + TURN_AWAY, false), Some(COME_BACK));
        assert_eq!(service.turns_away(5, true), Some(COME_BACK));
        service.order(11, false);
        assert!(service.takes_clients());
        service.order(12, false);
        assert!(service.takes_clients());
        assert!(!service.sheds(Micros::MAX) && service.turns_away(Micros::MAX, true).is_none());
    }

    #[test]
    fn the_end_is_the_end() {
        let mut service = Service::default();
        service.order(1, true);
        service.stop(2);
        service.stop(3);
        service.order(4, false);
        assert_eq!((service.stopping(), service.takes_clients()), (Some(2), false));
    }
}
