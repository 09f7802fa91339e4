//! What the admin endpoint answers.

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
#[case::under_a_call("GET", "/control/ready/now", 404, None)]
#[case::asked_as_an_order("PUT", "/control/ready", 405, Some("GET, HEAD"))]
#[case::order_as_a_question("GET", "/control/out-of-service", 405, Some("PUT"))]
#[case::post("POST", "/control/in-service", 405, Some("PUT"))]
fn refuses_what_is_no_call(
    #[case] method: &str,
    #[case] path: &str,
    #[case] status: u16,
    #[case] allow: Option<&str>,
) {
    let answer = AdminService::new(0).handle_request(method, path);
    assert_eq!((answer.status, answer.allow), (status, allow));
}

#[test]
fn is_ready_when_all_frontends_are() {
    let service = AdminService::new(2);
    let ask = || service.handle_request("GET", "/control/ready").status;
    let (one, two) = (Rc::new(StubFrontend(Cell::new(true))), Rc::new(StubFrontend(Cell::new(true))));
    let as_status = |frontend: &Rc<StubFrontend>| -> Weak<dyn FrontendStatus> {
        Rc::downgrade(&(frontend.clone() as Rc<dyn FrontendStatus>))
    };
    service.register_frontend(as_status(&one));
    assert_eq!(ask(), 503, "one frontend is still to come");
    service.register_frontend(as_status(&two));
    assert_eq!(ask(), 200);
    two.0.set(false);
    assert_eq!(ask(), 503);
    assert!(service.handle_request("GET", "/control/counters").body.contains("edge_lb_in_flight 4\n"));
}

#[test]
fn orders_are_idempotent_and_refused_after_shutdown() {
    let service = AdminService::new(0);
    let orders = service.watch_out_of_service();
    for path in ["out-of-service", "out-of-service"] {
        assert_eq!(service.handle_request("PUT", &format!("/control/{path}")).status, 200);
        assert!(*orders.borrow());
    }
    assert_eq!(service.handle_request("PUT", "/control/in-service").status, 200);
    assert!(!*orders.borrow());
    service.handle_request("PUT", "/control/out-of-service");
    service.shut_down();
    assert_eq!(service.handle_request("PUT", "/control/in-service").status, 409);
    assert!(*orders.borrow());
}
