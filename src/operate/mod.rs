//! Operation of the gatekeeper: the admin HTTP endpoint, metrics, and taking the gatekeeper in and out of service.
//!
//! `http` encodes and decodes HTTP, `metrics` renders the metrics, `serving_state` tracks whether a frontend serves
//! clients, and `handover` defines the messages of an upgrade; none of them does I/O. `admin` does the I/O of the
//! endpoint, and [`AdminService`] connects all of them with the frontends. Routing decisions are made elsewhere.

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

/// The part of a frontend that the admin endpoint reports on.
pub trait FrontendStatus {
    /// Whether the frontend currently accepts clients.
    fn is_ready(&self) -> bool;

    /// The current metrics.
    fn metrics(&self) -> Metrics;

    /// Whether a newer process of this gatekeeper accepts clients at the same address.
    fn has_successor(&self) -> bool;

    /// When the last endpoint list was received.
    fn list_received_at(&self) -> Option<Micros>;
}

/// The part of the fleet membership that the admin endpoint and the frontends use.
pub trait FleetStatus {
    /// The JSON body of the response to `GET /control/fleet`.
    fn status(&self) -> String;

    /// The JSON body of the response to `GET /control/fleet/log`; `None` if there are no voters.
    fn log(&self) -> Option<String>;

    /// Publishes the settling bound and a summary of the membership to the frontends.
    fn membership(&self) -> watch::Receiver<(Micros, MembershipSummary)>;
}

/// Handles the requests to the admin endpoint. It owns the out-of-service flag; each frontend owns its serving state
/// and updates it when the flag changes.
#[derive(Default)]
pub struct AdminService {
    frontends: RefCell<Vec<Weak<dyn FrontendStatus>>>,
    /// The number of frontends. The gatekeeper is not ready before all of them are registered.
    expected_frontends: Cell<usize>,
    out_of_service: watch::Sender<bool>,
    is_shutting_down: Cell<bool>,
    fleet: RefCell<Option<Rc<dyn FleetStatus>>>,
}

impl AdminService {
    /// Creates a service that expects the given number of frontends.
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

    /// Subscribes to the fleet's membership; `None` if there is no fleet.
    pub fn membership(&self) -> Option<watch::Receiver<(Micros, MembershipSummary)>> {
        self.fleet.borrow().as_ref().map(|fleet| fleet.membership())
    }

    /// Whether an operator has taken the gatekeeper out of service.
    pub fn is_out_of_service(&self) -> bool {
        *self.out_of_service.borrow()
    }

    /// Whether the program is shutting down.
    pub fn is_shutting_down(&self) -> bool {
        self.is_shutting_down.get()
    }

    /// Whether a newer process of this gatekeeper accepts clients at the same address.
    pub fn has_successor(&self) -> bool {
        self.live_frontends().iter().any(|frontend| frontend.has_successor())
    }

    /// The number of open calls: those without a final answer and established ones.
    pub fn open_call_count(&self) -> usize {
        self.live_frontends().iter().map(|frontend| frontend.metrics().in_flight).sum()
    }

    /// When the oldest of the frontends' endpoint lists was received; `None` if a frontend has none.
    pub fn list_received_at(&self) -> Option<Micros> {
        self.live_frontends().iter().map(|frontend| frontend.list_received_at()).min().flatten()
    }

    /// Subscribes to the out-of-service flag.
    pub fn watch_out_of_service(&self) -> watch::Receiver<bool> {
        self.out_of_service.subscribe()
    }

    /// Records that the program is shutting down; from then on requests to go back into service are refused.
    pub fn shut_down(&self) {
        self.is_shutting_down.set(true);
    }

    fn live_frontends(&self) -> Vec<Rc<dyn FrontendStatus>> {
        self.frontends.borrow().iter().filter_map(Weak::upgrade).collect()
    }

    /// Whether all expected frontends are registered and accept clients.
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

    /// Handles a request and returns the response.
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

    /// Sets the out-of-service flag. Setting it to the same value again has no effect.
    fn set_out_of_service(&self, is_out: bool) -> Response {
        let has_changed =
            self.out_of_service.send_if_modified(|current| std::mem::replace(current, is_out) != is_out);
        if has_changed {
            tracing::info!(out = is_out, "an operator changed whether the gatekeeper is in service");
        }
        Response::new(200, if is_out { "out of service\n" } else { "in service\n" })
    }
}

/// Sets a fail point, as in `PUT /faults/wall=return(3600)`. For tests only: release builds do not include it.
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
