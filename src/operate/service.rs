//! Whether a front takes clients: in service, sent away, or at its end. Pure: the time comes with each question.

use crate::Micros;

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

    /// Since when clients are being sent away by the operators.
    pub fn out(&self) -> Option<Micros> {
        self.out
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
        assert_eq!((service.out(), service.takes_clients()), (Some(5), false));
        service.order(11, false);
        assert!(service.takes_clients());
        service.order(12, false);
        assert!(service.takes_clients());
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
