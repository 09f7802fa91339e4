//! What operators see and do: an HTTP endpoint of their own, metrics, and whether the gatekeeper serves clients.
//!
//! `http` and `metrics` are the codec and the text, `serving_state` the state and `handover` what passes at an upgrade, all
//! without I/O; `admin` moves the bytes. [`AdminService`] joins them to the frontends. Nothing here decides a call.

pub mod admin;
pub mod handover;
pub mod http;
pub mod metrics;
pub mod serving_state;

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};

use cobaltspool_fleet::live_instances::MembershipSummary;
use tokio::sync::watch;

use crate::Micros;

use http::Response;
use metrics::Metrics;

/// A frontend, as the operators see it.
pub trait FrontendStatus {
    /// Whether it takes clients now.
    fn is_ready(&self) -> bool;

    /// Its metrics now.
    fn metrics(&self) -> Metrics;

    /// Whether another process of this gatekeeper takes clients at its address.
    fn has_successor(&self) -> bool;

    /// When its last endpoint list came.
    fn list_received_at(&self) -> Option<Micros>;
}

/// The fleet, as the operators see it.
pub trait FleetStatus {
    /// The object that `GET /control/fleet` answers.
    fn status(&self) -> String;

    /// The list that `GET /control/fleet/log` answers; `None`: there are no voters.
    fn log(&self) -> Option<String>;

    /// What the frontends hear of it: the settling bound, and a summary of the membership.
    fn membership(&self) -> watch::Receiver<(Micros, MembershipSummary)>;
}

/// What the operators' calls act on. It owns the order to be out of service; the frontends own their state and follow it.
#[derive(Default)]
pub struct AdminService {
    frontends: RefCell<Vec<Weak<dyn FrontendStatus>>>,
    /// How many frontends there will be; before all are there, nobody takes clients.
    expected_frontends: Cell<usize>,
    out_of_service: watch::Sender<bool>,
    is_shutting_down: Cell<bool>,
    fleet: RefCell<Option<Rc<dyn FleetStatus>>>,
}

impl AdminService {
    /// A service for so many frontends.
    pub fn new(expected_frontends: usize) -> Rc<AdminService> {
        let expected_frontends = Cell::new(expected_frontends);
        Rc::new(AdminService { expected_frontends, ..AdminService::default() })
    }

    /// Registers a frontend that has started.
    pub fn register_frontend(&self, frontend: Weak<dyn FrontendStatus>) {
        self.frontends.borrow_mut().push(frontend);
    }

    /// Registers the fleet that this gatekeeper is a member of.
    pub fn register_fleet(&self, fleet: Rc<dyn FleetStatus>) {
        *self.fleet.borrow_mut() = Some(fleet);
    }

    /// What the fleet's membership says, where there is a fleet.
    pub fn membership(&self) -> Option<watch::Receiver<(Micros, MembershipSummary)>> {
        self.fleet.borrow().as_ref().map(|fleet| fleet.membership())
    }

    /// Whether operators have taken the gatekeeper out of service.
    pub fn is_out_of_service(&self) -> bool {
        *self.out_of_service.borrow()
    }

    /// Whether the program shuts down.
    pub fn is_shutting_down(&self) -> bool {
        self.is_shutting_down.get()
    }

    /// Whether another process of this gatekeeper takes clients at its address.
    pub fn has_successor(&self) -> bool {
        self.live_frontends().iter().any(|frontend| frontend.has_successor())
    }

    /// Calls without a final answer, and established ones.
    pub fn open_call_count(&self) -> usize {
        self.live_frontends().iter().map(|frontend| frontend.metrics().in_flight).sum()
    }

    /// When the older of the frontends' endpoint lists came; `None`: one has none.
    pub fn list_received_at(&self) -> Option<Micros> {
        self.live_frontends().iter().map(|frontend| frontend.list_received_at()).min().flatten()
    }

    /// Tells whether the gatekeeper is to be out of service.
    pub fn watch_out_of_service(&self) -> watch::Receiver<bool> {
        self.out_of_service.subscribe()
    }

    /// The program shuts down: there is no way back into service.
    pub fn shut_down(&self) {
        self.is_shutting_down.set(true);
    }

    fn live_frontends(&self) -> Vec<Rc<dyn FrontendStatus>> {
        self.frontends.borrow().iter().filter_map(Weak::upgrade).collect()
    }

    /// Whether all frontends take clients.
    pub fn is_ready(&self) -> bool {
        let frontends = self.live_frontends();
        let all_started = frontends.len() >= self.expected_frontends.get();
        all_started && frontends.iter().all(|frontend| frontend.is_ready())
    }

    fn render_metrics(&self) -> String {
        let mut sum = Metrics::default();
        for frontend in self.live_frontends() {
            sum.add(frontend.metrics());
        }
        sum.render()
    }

    /// Carries a call out and answers it.
    pub fn handle_request(&self, method: &str, path: &str) -> Response {
        #[cfg(feature = "faults")]
        if let Some(fault) = path.strip_prefix("/faults/") {
            return set_fail_point(fault);
        }
        let allow = match path {
            "/control/ready" | "/control/counters" | "/control/fleet" | "/control/fleet/log" => "GET, HEAD",
            "/control/out-of-service" | "/control/in-service" => "PUT",
            _ => return Response::new(404, "no such call\n"),
        };
        if !allow.split(", ").any(|allowed| allowed == method) {
            return Response { allow: Some(allow), ..Response::from_status(405) };
        }
        match path {
            "/control/ready" if self.is_ready() => Response::new(200, "ready\n"),
            "/control/ready" => Response::new(503, "takes no clients\n"),
            "/control/counters" => Response::new(200, self.render_metrics()),
            "/control/fleet" => self.fleet_status_response(),
            "/control/fleet/log" => self.fleet_log_response(),
            "/control/out-of-service" => self.set_out_of_service(true),
            _ if self.is_shutting_down.get() => Response::new(409, "the program ends\n"),
            _ => self.set_out_of_service(false),
        }
    }

    fn fleet_status_response(&self) -> Response {
        match self.fleet.borrow().as_ref() {
            Some(fleet) => Response::json(fleet.status()),
            None => Response::new(
                404,
                "this gatekeeper is in no fleet: its operators' file has no fleet section\n",
            ),
        }
    }

    fn fleet_log_response(&self) -> Response {
        match self.fleet.borrow().as_ref().and_then(|fleet| fleet.log()) {
            Some(lines) => Response::json(lines),
            None => Response::new(404, "there is no fleet here, or it has no voters and so no log\n"),
        }
    }

    /// Both orders may come again and change nothing then.
    fn set_out_of_service(&self, is_out: bool) -> Response {
        let has_changed =
            self.out_of_service.send_if_modified(|held| std::mem::replace(held, is_out) != is_out);
        if has_changed {
            tracing::info!(out = is_out, "the operators changed what the gatekeeper does for clients");
        }
        Response::new(200, if is_out { "out of service\n" } else { "in service\n" })
    }
}

/// Sets a fail point, as in `PUT /faults/wall=return(3600)`. For tests: release builds lack it.
#[cfg(feature = "faults")]
fn set_fail_point(fault: &str) -> Response {
    let Some((name, action)) = fault.split_once('=') else { return Response::new(400, "NAME=ACTION\n") };
    match fail::cfg(name, action) {
        Ok(()) => Response::new(200, "set\n"),
        Err(e) => Response::new(400, format!("{e}\n")),
    }
}

#[cfg(test)]
mod tests;
