//! What the staff who run the gatekeeper see and say: a door of their own, figures, and whether it takes clients.
//!
//! `http` and `figures` are the wire and the text, `service` the state and `handover` what passes at an upgrade, all
//! without I/O; `door` moves the bytes.
//! [`Desk`] joins them to the fronts. Nothing here decides a call.

pub mod door;
pub mod figures;
pub mod handover;
pub mod http;
pub mod service;

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};

use cobaltspool_fleet::fronts::Seen;
use tokio::sync::watch;

use crate::Micros;

use figures::Figures;
use http::Answer;

/// A front, as the operators see it.
pub trait View {
    /// Whether it takes clients now.
    fn ready(&self) -> bool;

    /// Its figures now.
    fn figures(&self) -> Figures;

    /// Another process of this gatekeeper takes clients at its address.
    fn succeeded(&self) -> bool;

    /// When its last list of servers came.
    fn listed(&self) -> Option<Micros>;
}

/// The fleet, as the operators see it.
pub trait Fleet {
    /// The object that `GET /control/fleet` answers.
    fn status(&self) -> String;

    /// The list that `GET /control/fleet/log` answers; `None`: there are no voters.
    fn log(&self) -> Option<String>;

    /// What the fronts hear of it.
    fn seen(&self) -> watch::Receiver<(Micros, Seen)>;
}

/// What the door's calls act on.
#[derive(Default)]
pub struct Desk {
    views: RefCell<Vec<Weak<dyn View>>>,
    /// How many fronts there will be; before all are there, nobody takes clients.
    fronts: Cell<usize>,
    out: watch::Sender<bool>,
    stopping: Cell<bool>,
    fleet: RefCell<Option<Rc<dyn Fleet>>>,
}

impl Desk {
    /// A desk for so many fronts.
    pub fn of(fronts: usize) -> Rc<Desk> {
        Rc::new(Desk { fronts: Cell::new(fronts), ..Desk::default() })
    }

    /// A front has started.
    pub fn attend(&self, view: Weak<dyn View>) {
        self.views.borrow_mut().push(view);
    }

    /// This gatekeeper is one of a fleet.
    pub fn attend_fleet(&self, fleet: Rc<dyn Fleet>) {
        *self.fleet.borrow_mut() = Some(fleet);
    }

    /// What the fleet's view says, where there is a fleet.
    pub fn fleet_seen(&self) -> Option<watch::Receiver<(Micros, Seen)>> {
        self.fleet.borrow().as_ref().map(|fleet| fleet.seen())
    }

    /// Staff have sent clients away.
    pub fn is_out(&self) -> bool {
        *self.out.borrow()
    }

    /// The program has been told to end.
    pub fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Another process of this gatekeeper takes clients at its address.
    pub fn is_succeeded(&self) -> bool {
        self.fronts().iter().any(|front| front.succeeded())
    }

    /// Calls open and standing.
    pub fn calls(&self) -> usize {
        self.fronts().iter().map(|front| front.figures().in_flight).sum()
    }

    /// When the older of the fronts' lists came; `None`: one has none.
    pub fn listed(&self) -> Option<Micros> {
        self.fronts().iter().map(|front| front.listed()).min().flatten()
    }

    /// Tells whether the gatekeeper is to be out of service.
    pub fn orders(&self) -> watch::Receiver<bool> {
        self.out.subscribe()
    }

    /// The program ends: there is no way back into service.
    pub fn stops(&self) {
        self.stopping.set(true);
    }

    fn fronts(&self) -> Vec<Rc<dyn View>> {
        self.views.borrow().iter().filter_map(Weak::upgrade).collect()
    }

    /// Whether all of it takes clients, told by the fronts themselves.
    pub fn ready(&self) -> bool {
        let fronts = self.fronts();
        fronts.len() >= self.fronts.get() && fronts.iter().all(|front| front.ready())
    }

    fn figures(&self) -> String {
        let mut sum = Figures::default();
        for front in self.fronts() {
            sum.add(front.figures());
        }
        sum.render()
    }

    /// Carries a call out and answers it.
    pub fn answer(&self, method: &str, path: &str) -> Answer {
        #[cfg(feature = "faults")]
        if let Some(fault) = path.strip_prefix("/faults/") {
            return set_fault(fault);
        }
        let allow = match path {
            "/control/ready" | "/control/counters" | "/control/fleet" | "/control/fleet/log" => "GET, HEAD",
            "/control/out-of-service" | "/control/in-service" => "PUT",
            _ => return Answer::new(404, "no such call\n"),
        };
        if !allow.split(", ").any(|m| m == method) {
            return Answer { allow: Some(allow), ..Answer::plain(405) };
        }
        match path {
            "/control/ready" if self.ready() => Answer::new(200, "ready\n"),
            "/control/ready" => Answer::new(503, "takes no clients\n"),
            "/control/counters" => Answer::new(200, self.figures()),
            "/control/fleet" => match self.fleet.borrow().as_ref() {
                Some(fleet) => Answer::json(fleet.status()),
                None => Answer::new(
                    404,
                    "this gatekeeper is in no fleet: its operators' file has no fleet section\n",
                ),
            },
            "/control/fleet/log" => match self.fleet.borrow().as_ref().and_then(|fleet| fleet.log()) {
                Some(lines) => Answer::json(lines),
                None => Answer::new(404, "there is no fleet here, or it has no voters and so no log\n"),
            },
            "/control/out-of-service" => self.send_away(true),
            _ if self.stopping.get() => Answer::new(409, "the program ends\n"),
            _ => self.send_away(false),
        }
    }

    /// Both calls may come again and change nothing then.
    fn send_away(&self, out: bool) -> Answer {
        let changed = self.out.send_if_modified(|held| std::mem::replace(held, out) != out);
        if changed {
            tracing::info!(out, "the operators changed what the gatekeeper does for clients");
        }
        Answer::new(200, if out { "out of service\n" } else { "in service\n" })
    }
}

/// Sets a fail point, as in `PUT /faults/wall=return(3600)`. For tests: release builds lack it.
#[cfg(feature = "faults")]
fn set_fault(fault: &str) -> Answer {
    let done = fault.split_once('=').ok_or("NAME=ACTION".to_string());
    match done.and_then(|(name, action)| fail::cfg(name, action)) {
        Ok(()) => Answer::new(200, "set\n"),
        Err(e) => Answer::new(400, format!("{e}\n")),
    }
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    struct Front(Cell<bool>);

    impl View for Front {
        fn ready(&self) -> bool {
            self.0.get()
        }

        fn figures(&self) -> Figures {
            Figures { in_flight: 2, ..Figures::default() }
        }

        fn succeeded(&self) -> bool {
            false
        }

        fn listed(&self) -> Option<Micros> {
            None
        }
    }

    #[rstest]
    #[case::unknown("GET", "/", 404, None)]
    #[case::under_a_call("GET", "/control/ready/now", 404, None)]
    #[case::asked_as_an_order("PUT", "/control/ready", 405, Some("GET, HEAD"))]
    #[case::order_as_a_question("GET", "/control/out-of-service", 405, Some("PUT"))]
    #[case::post("POST", "/control/in-service", 405, Some("PUT"))]
    fn what_is_no_call_is_refused(
        #[case] method: &str,
        #[case] path: &str,
        #[case] status: u16,
        #[case] allow: Option<&str>,
    ) {
        let answer = Desk::of(0).answer(method, path);
        assert_eq!((answer.status, answer.allow), (status, allow));
    }

    #[test]
    fn ready_is_what_all_fronts_say() {
        let desk = Desk::of(2);
        let ask = || desk.answer("GET", "/control/ready").status;
        let (one, two) = (Rc::new(Front(Cell::new(true))), Rc::new(Front(Cell::new(true))));
        let as_view =
            |front: &Rc<Front>| -> Weak<dyn View> { Rc::downgrade(&(front.clone() as Rc<dyn View>)) };
        desk.attend(as_view(&one));
        assert_eq!(ask(), 503, "one front is still to come");
        desk.attend(as_view(&two));
        assert_eq!(ask(), 200);
        two.0.set(false);
        assert_eq!(ask(), 503);
        assert!(desk.answer("GET", "/control/counters").body.contains("edge_lb_in_flight 4\n"));
    }

    #[test]
    fn orders_may_come_twice_and_not_after_the_stop() {
        let desk = Desk::of(0);
        let orders = desk.orders();
        for path in ["out-of-service", "out-of-service"] {
            assert_eq!(desk.answer("PUT", &format!("/control/{path}")).status, 200);
            assert!(*orders.borrow());
        }
        assert_eq!(desk.answer("PUT", "/control/in-service").status, 200);
        assert!(!*orders.borrow());
        desk.answer("PUT", "/control/out-of-service");
        desk.stops();
        assert_eq!(desk.answer("PUT", "/control/in-service").status, 409);
        assert!(*orders.borrow());
    }
}
