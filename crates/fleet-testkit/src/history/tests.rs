//! Proves that the check for members reported down too long fails when it must.

use serde_json::json;

use super::*;

/// A member that is reported down past the bound is returned, one within the bound is not.
#[test]
fn a_member_down_past_the_bound_is_reported() {
    let view = |state: &str| {
        Some(FleetView::of(json!({"settled": true, "members": [{"id": "n1", "state": state}]})))
    };
    let mut history = History::default();
    history.record_disturbance();
    history.record(&[view("down"), None]);
    let ids = ["n1".to_string()];
    assert_eq!(history.ids_down_past_bound(&ids, Duration::from_secs(60)), Vec::<String>::new());
    assert_eq!(history.ids_down_past_bound(&ids, Duration::ZERO), ids);
    assert_eq!((history.down_reports("n1"), history.down_reports("n2")), (1, 0));
    let mut healthy = History::default();
    healthy.record(&[view("alive")]);
    assert!(healthy.ids_down_past_bound(&ids, Duration::ZERO).is_empty());
}
