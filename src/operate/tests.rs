//! Responses of the admin endpoint.

use rstest::rstest;

use super::*;

struct StubFrontend(Cell<bool>);

impl FrontendStatus for StubFrontend {
    fn is_ready(&self) -> bool {
        self.0.get()
    }

    fn metrics(&self) -> Metrics {
        Metrics { in_flight: 2, ..Metrics::default() }
    }

    fn has_successor(&self) -> bool {
        false
    }

    fn list_received_at(&self) -> Option<Micros> {
        None
    }
}

#[rstest]
#[case::unknown("GET", "/", 404, None)]
#[case::path_below_an_endpoint("GET", "/control/ready/now", 404, None)]
#[case::put_on_a_readable_path("PUT", "/control/ready", 405, Some("GET, HEAD"))]
#[case::get_on_a_writable_path("GET", "/control/out-of-service", 405, Some("PUT"))]
#[case::post("POST", "/control/in-service", 405, Some("PUT"))]
fn unknown_paths_and_wrong_methods_are_refused(
    #[case] method: &str,
    #[case] path: &str,
    #[case] status: u16,
    #[case] allow: Option<&str>,
) {
    let response = AdminService::new(0).handle_request(method, path);
    assert_eq!((response.status, response.allow), (status, allow));
}

#[test]
fn is_ready_when_all_frontends_are() {
    let service = AdminService::new(2);
    let readiness_status = || service.handle_request("GET", "/control/ready").status;
    let (first, second) = (Rc::new(StubFrontend(Cell::new(true))), Rc::new(StubFrontend(Cell::new(true))));
    let as_status = |frontend: &Rc<StubFrontend>| -> Weak<dyn FrontendStatus> {
        Rc::downgrade(&(frontend.clone() as Rc<dyn FrontendStatus>))
    };
    service.register_frontend(as_status(&first));
    assert_eq!(readiness_status(), 503, "the second frontend is not registered yet");
    service.register_frontend(as_status(&second));
    assert_eq!(readiness_status(), 200);
    second.0.set(false);
    assert_eq!(readiness_status(), 503);
    assert!(service.handle_request("GET", "/control/counters").body.contains("edge_lb_in_flight 4\n"));
}

#[test]
fn service_changes_are_idempotent_and_refused_after_shutdown() {
    let service = AdminService::new(0);
    let out_of_service = service.watch_out_of_service();
    for path in ["out-of-service", "out-of-service"] {
        assert_eq!(service.handle_request("PUT", &format!("/control/{path}")).status, 200);
        assert!(*out_of_service.borrow());
    }
    assert_eq!(service.handle_request("PUT", "/control/in-service").status, 200);
    assert!(!*out_of_service.borrow());
    service.handle_request("PUT", "/control/out-of-service");
    service.shut_down();
    assert_eq!(service.handle_request("PUT", "/control/in-service").status, 409);
    assert!(*out_of_service.borrow());
}
