//! The checker is seen to fail.

use serde_json::json;

use super::*;

/// The checker is seen to fail: a death that is held past the bound is told, one within it is not.
#[test]
fn a_death_that_is_held_too_long_is_told() {
    let seen = |state: &str| {
        Some(FleetView::of(json!({"settled": true, "members": [{"id": "n1", "state": state}]})))
    };
    let mut history = History::default();
    history.record_disturbance();
    history.record(&[seen("down"), None]);
    let ids = ["n1".to_string()];
    assert_eq!(history.ids_down_past_bound(&ids, Duration::from_secs(60)), Vec::<String>::new());
    assert_eq!(history.ids_down_past_bound(&ids, Duration::ZERO), ids);
    assert_eq!((history.down_reports("n1"), history.down_reports("n2")), (1, 0));
    let mut well = History::default();
    well.record(&[seen("alive")]);
    assert!(well.ids_down_past_bound(&ids, Duration::ZERO).is_empty());
}
